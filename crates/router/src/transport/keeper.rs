//! The store's thread, and around it the way back to full service (`cleatgw-recovery`). The loop never waits for a disk: it
//! leaves what is to be put, of which the newest counts, and looks in each turn whether something was answered.

use crate::routing::{Counters, Routing};
use cleatgw_deployment_config::name_hash;
use cleatgw_operator_config::StoreFile;
use cleatgw_recovery::{Kept, Looks, Moment, Phase, Pieces, Puts, Recovery, Step, AHEAD};
use cleatgw_snapshot_store::{Found, Store};
use rustix::time::{clock_gettime, ClockId};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A store that can't be opened is tried again so often.
const TRIES: Duration = Duration::from_secs(1);

/// What the thread says.
enum Said {
    Found(cleatgw_recovery::Found),
    /// What was there can't be used, and why.
    Aside(String),
    /// No file can be had, or a put failed.
    Failed(String),
    Put(u64),
}

/// What the loop leaves for the thread.
#[derive(Default)]
struct Left {
    put: Option<(Pieces, f64)>,
    /// Later puts have later epochs than this.
    after: u64,
}

type Desk = Arc<(Mutex<Left>, Condvar)>;

pub struct Keeper {
    path: PathBuf,
    boot: u64,
    looks: Looks,
    desk: Desk,
    said: Receiver<Said>,
    recovery: Recovery,
    puts: Puts,
    epoch: u64,
    put_at: f64,
    shown: Option<u64>,
    changes: u64,
    failing: bool,
    counters: Counters,
}

/// The store's part: opens it, says what it found, then puts whatever was left last.
fn keep(path: &std::path::Path, owner: u64, desk: &Desk, say: &Sender<Said>) {
    let mut store = loop {
        match Store::at(path, owner) {
            Ok((store, found)) => {
                let said = match found {
                    Found::Whole(put) => Said::Found(Some((put.epoch, put.pieces))),
                    Found::Nothing => Said::Found(None),
                    Found::Aside(why) => {
                        let _ = say.send(Said::Aside(why.to_string()));
                        Said::Found(None)
                    }
                };
                let _ = say.send(said);
                break store;
            }
            Err(why) => {
                if say.send(Said::Failed(why.to_string())).is_err() {
                    return;
                }
                std::thread::sleep(TRIES);
            }
        }
    };
    loop {
        let (pieces, at) = {
            let (left, filled) = &**desk;
            let Ok(left) = left.lock() else { return };
            let Ok(mut left) = filled.wait_while(left, |left| left.put.is_none()) else { return };
            store.comes_after(left.after);
            left.put.take().expect("it was waited for")
        };
        let said = match store.put(&pieces, at) {
            Ok(epoch) => Said::Put(epoch),
            Err(why) => Said::Failed(why.to_string()),
        };
        let failed = matches!(said, Said::Failed(_));
        if say.send(said).is_err() {
            return;
        }
        let length = std::fs::metadata(path).map_or(0, |file| file.len());
        let _ = store.compact(length);
        if failed {
            std::thread::sleep(TRIES / 4);
        }
    }
}

fn moment(boot: u64, unix: f64) -> Moment {
    let since = clock_gettime(ClockId::Boottime);
    Moment { boot, steady: since.tv_sec as f64 + since.tv_nsec as f64 / 1e9, unix }
}

impl Keeper {
    /// Keeps this router's pieces from now on; `owner` ties the file to it. `peers` tells whether others can be asked
    /// what they were shown.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn open(file: StoreFile, owner: u64, looks: Looks, peers: bool, now: f64) -> std::io::Result<Keeper> {
        let (say, said) = channel();
        let desk = Desk::default();
        let (path, left) = (file.path.clone(), desk.clone());
        let thread = std::thread::Builder::new().name("store".to_string());
        thread.spawn(move || keep(&path, owner, &left, &say))?;
        // Which boot of the machine this is; where that can't be told, only the Unix clock counts.
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
        Ok(Keeper {
            path: file.path,
            boot: boot.map_or(0, |boot| name_hash(boot.trim())),
            looks,
            desk,
            said,
            recovery: Recovery::new(looks, peers, now),
            puts: Puts::new(now),
            epoch: 0,
            put_at: f64::NEG_INFINITY,
            shown: None,
            changes: 0,
            failing: false,
            counters: Counters::default(),
        })
    }

    fn hear(&mut self, now: f64) {
        loop {
            let said = match self.said.try_recv() {
                Ok(said) => said,
                Err(TryRecvError::Empty) => return,
                // Its thread has ended: nothing is kept any more, and that is said once.
                Err(TryRecvError::Disconnected) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        log::error!("store: {}: its thread has failed; nothing is kept", self.path.display());
                    }
                    return;
                }
            };
            match said {
                Said::Found(found) => {
                    self.epoch = self.epoch.max(found.as_ref().map_or(0, |(epoch, _)| *epoch));
                    self.recovery.found(found, now);
                }
                Said::Aside(why) => {
                    let aside = cleatgw_snapshot_store::aside(&self.path);
                    log::warn!("store: what was there is set aside as {}: {why}", aside.display());
                }
                Said::Failed(why) => {
                    self.puts.answered(false);
                    self.counters.store_failed += 1;
                    if !std::mem::replace(&mut self.failing, true) {
                        log::warn!("store: {}: {why}; nothing is kept for now", self.path.display());
                    }
                }
                Said::Put(epoch) => {
                    self.puts.answered(true);
                    (self.epoch, self.put_at) = (self.epoch.max(epoch), now);
                    self.counters.store_puts += 1;
                    if std::mem::replace(&mut self.failing, false) {
                        log::info!("store: kept again, epoch {epoch}");
                    }
                }
            }
        }
    }

    /// Its turn, ahead of the decisions': `steady` is a clock that is not set, `unix` that of the decisions. `shown` is what
    /// peers say that they were shown; what they are to be shown is returned.
    pub fn turn(&mut self, steady: f64, unix: f64, shown: Option<u64>, routing: &mut Routing) -> u64 {
        self.hear(steady);
        if let Some(epoch) = shown.filter(|_| shown != self.shown) {
            self.shown = shown;
            self.recovery.peer_was_shown(epoch);
            if let Ok(mut left) = self.desk.0.lock() {
                left.after = left.after.max(epoch);
            }
        }
        for step in self.recovery.turn(steady, &moment(self.boot, unix)) {
            self.carry_out(step, steady, unix, routing);
        }
        if let Some(slow) = self.puts.turn(steady) {
            match slow {
                true => {
                    log::warn!("store: the disk does not answer; at most {AHEAD} further pushes in a window")
                }
                false => log::info!("store: the disk answers again"),
            }
        }
        let changes = routing.changes();
        if std::mem::replace(&mut self.changes, changes) != changes {
            self.puts.changed();
        }
        // Before it is known what is on the disk, that is not written over.
        if self.recovery.phase() > Phase::Proving && self.puts.wants(steady) {
            let (repeats, cold, marks) = routing.kept(unix);
            let kept = Kept { at: moment(self.boot, unix), repeats, ahead: AHEAD, cold, marks };
            if let Ok(mut left) = self.desk.0.lock() {
                left.put = Some((kept.write(), unix));
            }
            self.desk.1.notify_one();
        }
        // The module's times are on the Unix clock; this one's since the start.
        let began = unix - steady;
        let ahead = |times: &mut dyn Iterator<Item = f64>| {
            self.puts.ahead(times.map(|at| at - began), self.looks.repeats, steady)
        };
        routing.ahead(ahead);
        self.epoch
    }

    fn carry_out(&mut self, step: Step, steady: f64, unix: f64, routing: &mut Routing) {
        match step {
            Step::Forgot => routing.forgot(unix),
            Step::Remembers(taken) => {
                let (repeats, marks) = (taken.repeats.len(), taken.marks.len());
                log::info!(repeats = repeats, marks = marks, cold = taken.cold.len();
                    "coming back: {repeats} further pushes and {marks} receipts of before still count");
                routing.remembers(unix, taken);
            }
            Step::Lost(why) => log::warn!("coming back without what was kept: {}", why.word()),
            Step::Enters(phase) => {
                let age = self.recovery.age(steady);
                log::info!(phase = phase.word(), after = age; "coming back: {} after {age:.2} s", phase.word());
            }
        }
    }

    pub fn due(&self) -> f64 {
        self.recovery.due().min(self.puts.due())
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    pub fn status(&self, steady: f64) -> Vec<[String; 3]> {
        let age = format!("{:.1} s after the start", self.recovery.age(steady));
        let state = match () {
            () if self.failing => "failing",
            () if self.puts.slow => "silent",
            () => "kept",
        };
        let ago = steady - self.put_at;
        let last =
            if ago.is_finite() { format!("last put {ago:.2} s ago") } else { "nothing put".to_string() };
        vec![
            ["coming back".to_string(), self.recovery.phase().word().to_string(), age],
            [
                format!("store {}", self.path.display()),
                state.to_string(),
                format!("epoch {}, {last}", self.epoch),
            ],
        ]
    }
}
