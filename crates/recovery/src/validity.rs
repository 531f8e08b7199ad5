//! For how long what was kept is valid.

use crate::{Kept, Sent};

/// How far back the rules look, in seconds, as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Looks {
    /// The window of the retry budget.
    pub repeats: f64,
    /// The window of slow start.
    pub cold: f64,
    /// The longest window in which requests are deduplicated.
    pub receipts: f64,
}

impl Looks {
    /// After so long nothing that a former incarnation did matters but its marks.
    pub(crate) fn longest(&self) -> f64 {
        self.repeats.max(self.cold)
    }

    /// Marks are kept for twice their window: a request that comes again after it may have run must not run again.
    pub fn marks(&self) -> f64 {
        2.0 * self.receipts
    }
}

/// What is still valid of a former incarnation, with ages in seconds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StillValid {
    /// The ages of further attempts.
    pub repeats: Vec<f64>,
    /// The engines in slow start, each with the age of what was sent to it.
    pub cold: Vec<(Sent, f64)>,
    /// The marks of deduplicated requests, each with its age.
    pub marks: Vec<(u64, f64)>,
}

/// What is still valid of what was kept `passed` seconds ago. Attempts that may have been made ahead of it are taken as made
/// just now: the process may have gone on without a disk until a moment ago.
pub fn still_valid(kept: &Kept, passed: f64, looks: &Looks) -> StillValid {
    let within = |age: f64, window: f64| Some(age + passed).filter(|age| *age < window);
    let repeats = kept.repeats.iter().filter_map(|age| within(*age, looks.repeats));
    let ahead = std::iter::repeat_n(0.0, kept.ahead as usize);
    // All of it as if sent at the put, as parts of its window are not kept.
    let cold = kept.cold.iter().filter_map(|sent| Some((*sent, within(0.0, looks.cold)?)));
    let marks = kept.marks.iter().filter_map(|(mark, age)| Some((*mark, within(*age, looks.marks())?)));
    StillValid { repeats: repeats.chain(ahead).collect(), cold: cold.collect(), marks: marks.collect() }
}
