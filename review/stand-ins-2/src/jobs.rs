//! The job on each machine that a duty is for. It asks its own router ahead of each step, as the on-call page says, and
//! each step takes less than a second.

use crate::cluster::{holds, Duty};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a step takes.
const STEP: Duration = Duration::from_millis(950);

/// One step of a job.
#[derive(Clone, Debug)]
struct Step {
    router: usize,
    epoch: u64,
    from: f64,
    to: f64,
}

pub struct Jobs {
    ends: Arc<AtomicBool>,
    steps: Arc<Mutex<Vec<Step>>>,
    /// The step that was begun last: whose, and how many there were.
    begun: Arc<Mutex<(usize, u64)>>,
    threads: Vec<JoinHandle<()>>,
}

impl Jobs {
    /// One job for each router.
    pub fn start(routers: &[SocketAddr], record: &Record) -> Jobs {
        let mut jobs =
            Jobs { ends: Arc::default(), steps: Arc::default(), begun: Arc::default(), threads: Vec::new() };
        for (index, address) in routers.iter().copied().enumerate() {
            let (ends, steps) = (jobs.ends.clone(), jobs.steps.clone());
            let (begun, record) = (jobs.begun.clone(), record.clone());
            jobs.threads.push(std::thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    let Some(Duty { epoch, remaining }) = holds(address) else {
                        std::thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let from = record.now();
                    record.note(&format!(
                        "the job of n{} begins a step, epoch {epoch}, held for {remaining} s more",
                        index + 1
                    ));
                    {
                        let mut begun = begun.lock().unwrap();
                        *begun = (index, begun.1 + 1);
                    }
                    std::thread::sleep(STEP);
                    let to = record.now();
                    record.note(&format!("the job of n{} ends its step", index + 1));
                    steps.lock().unwrap().push(Step { router: index, epoch, from, to });
                }
            }));
        }
        jobs
    }

    /// Waits until a job begins a step, for four seconds at most, and returns whose.
    pub fn next_step(&self) -> Option<usize> {
        let (_, seen) = *self.begun.lock().unwrap();
        for _ in 0..400 {
            let (router, number) = *self.begun.lock().unwrap();
            if number > seen {
                return Some(router);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Ends the jobs, and returns how many pairs of steps of different routers' jobs overlap in time.
    pub fn end(self, record: &Record) -> usize {
        self.ends.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        let steps = self.steps.lock().unwrap().clone();
        let mut overlaps = 0;
        for (index, one) in steps.iter().enumerate() {
            for other in steps[index + 1..].iter().filter(|other| other.router != one.router) {
                let both = one.to.min(other.to) - one.from.max(other.from);
                if both > 0.0 {
                    overlaps += 1;
                    record.note(&format!(
                        "two act at once for {both:.3} s: the job of n{} (epoch {}) from {:.3} to {:.3}, that of n{} (epoch {}) from {:.3} to {:.3}",
                        one.router + 1, one.epoch, one.from, one.to, other.router + 1, other.epoch, other.from, other.to
                    ));
                }
            }
        }
        record.note(&format!(
            "{} steps, {overlaps} pairs of them at the same time by two routers' jobs",
            steps.len()
        ));
        overlaps
    }
}
