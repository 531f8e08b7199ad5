//! Lines that a stand-in has seen or a process has logged, which a test can wait for.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Longer than anything here takes; what is awaited comes much sooner.
pub const GENEROUS: Duration = Duration::from_secs(20);

type Follower = Box<dyn Fn(&str) + Send>;

#[derive(Default)]
struct Lines {
    all: Vec<String>,
    follower: Option<Follower>,
}

/// A list that grows, and that a test can wait on.
#[derive(Clone, Default)]
pub struct RecordedLines(Arc<(Mutex<Lines>, Condvar)>);

impl RecordedLines {
    pub fn add(&self, line: &str) {
        let mut lines = self.0 .0.lock().unwrap();
        lines.follower.iter().for_each(|follower| follower(line));
        lines.all.push(line.to_string());
        self.0 .1.notify_all();
    }

    /// Hands every line over, those that were there before first.
    pub fn follow(&self, follower: impl Fn(&str) + Send + 'static) {
        let mut lines = self.0 .0.lock().unwrap();
        lines.all.iter().for_each(|line| follower(line));
        lines.follower = Some(Box::new(follower));
    }

    pub fn forget(&self) {
        self.0 .0.lock().unwrap().all.clear();
    }

    pub fn all(&self) -> Vec<String> {
        self.0 .0.lock().unwrap().all.clone()
    }

    /// Waits for so many lines that hold the words.
    pub fn wait(&self, words: &str, count: usize) -> Vec<String> {
        let found = |lines: &Lines| lines.all.iter().filter(|line| line.contains(words)).count() >= count;
        let guard = self.0 .0.lock().unwrap();
        let (guard, late) = self.0 .1.wait_timeout_while(guard, GENEROUS, |lines| !found(lines)).unwrap();
        assert!(!late.timed_out(), "no {count} lines with {words:?}: {:?}", guard.all);
        guard.all.iter().filter(|line| line.contains(words)).cloned().collect()
    }
}
