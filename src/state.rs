//! What is kept of a request while it is open. It decides nothing, and holds no value that was tuned.

use crate::Taken;
use std::collections::VecDeque;

#[derive(Default)]
pub struct Attempt {
    pub engine: usize,
    pub sent: f64,
    pub grant: f64,
    pub quarter: bool,
    pub out: bool,
    pub never_ran: bool,
    pub cancelled: bool,
}

#[derive(Default)]
pub struct Request {
    pub taken: Taken,
    pub work: f64,
    pub memory: f64,
    pub density: f64,
    pub expected_at: f64,
    pub since: f64,
    pub ledger_held_at: Option<f64>,
    pub ledger_wait: f64,
    pub attempts: Vec<Attempt>,
    pub over: bool,
}

impl Request {
    pub fn out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }
}

#[derive(Default)]
pub struct KeyLine {
    pub requests: VecDeque<usize>,
    pub rests_until: f64,
}

/// What falls due: a request's deadline or last sensible start; an attempt out for too long.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Deadline(usize),
    TooLate(usize),
    Overdue(usize, usize),
    /// The window in which its idempotency key is known ends.
    Expired(usize),
}
