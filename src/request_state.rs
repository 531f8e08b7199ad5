//! What is known of each request while it is open, and what falls due. It decides nothing and holds no tuned value.

use crate::statistics::order_key;
use crate::IncomingRequest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One attempt of a request.
#[derive(Default)]
pub(crate) struct Attempt {
    pub engine: usize,
    pub sent_at: f64,
    /// The memory that it was granted, in megabytes.
    pub grant: f64,
    /// It was granted a quarter of its need.
    pub at_quarter: bool,
    pub in_flight: bool,
    /// Its engine surely never ran it.
    pub never_ran: bool,
    pub cancelled: bool,
}

/// A request that is open, or that still has an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestState {
    pub incoming: IncomingRequest,
    /// Its expected work, in seconds of one core.
    pub work: f64,
    /// Its expected need of memory, with headroom, in megabytes.
    pub memory: f64,
    /// Its value for each second of its work.
    pub value_density: f64,
    /// When its latency objective is missed.
    pub objective_at: f64,
    pub received_at: f64,
    /// Since when it waits only because its grant fits no ledger.
    pub waits_for_memory_since: Option<f64>,
    /// How long it has waited for that before.
    pub memory_wait: f64,
    pub attempts: Vec<Attempt>,
    /// It has its answer, or needs none.
    pub done: bool,
}

impl RequestState {
    /// It has an attempt in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// No attempt of it can have run.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    /// It is open, and has no attempt in flight.
    pub fn is_queued(&self) -> bool {
        !self.done && !self.in_flight()
    }
}

/// The requests with one key, in the order in which they came.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub requests: VecDeque<usize>,
    /// An attempt may still run until then.
    pub rests_until: f64,
}

/// What falls due for a request. Of what is due at one time, the order of the variants decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DueEvent {
    /// Its deadline passes.
    Deadline(usize),
    /// An attempt that begins later can't meet its objective.
    LastStart(usize),
    /// This attempt has been in flight for longer than it should.
    AttemptOverdue(usize, usize),
    /// The window in which a repeat is recognised ends.
    RetryWindowEnds(usize),
}

/// All requests, the order of their keys, and what falls due for them.
#[derive(Default)]
pub(crate) struct RequestTable {
    pub open: BTreeMap<usize, RequestState>,
    pub keys: BTreeMap<u64, KeyQueue>,
    due: BTreeSet<(u64, DueEvent)>,
}

impl RequestTable {
    /// A request that is open for certain.
    pub fn get_mut(&mut self, id: usize) -> &mut RequestState {
        self.open.get_mut(&id).expect("an open request")
    }

    /// Something falls due then.
    pub fn schedule(&mut self, at: f64, event: DueEvent) {
        self.due.insert((order_key(at), event));
    }

    /// Something does not fall due after all.
    pub fn unschedule(&mut self, at: f64, event: DueEvent) {
        self.due.remove(&(order_key(at), event));
    }

    /// Takes out the first event that is due by now.
    pub fn next_due(&mut self, now: f64) -> Option<DueEvent> {
        let (_, event) = self.due.first().copied().filter(|&(at, _)| at <= order_key(now))?;
        self.due.pop_first();
        Some(event)
    }

    /// When the next event falls due, if there is one.
    pub fn next_due_at(&self) -> Option<f64> {
        self.due.first().map(|&(at, _)| crate::statistics::from_order_key(at))
    }

    /// The order in which the request's key lets it run, where it has one.
    pub fn key_queue(&self, id: usize) -> Option<&KeyQueue> {
        let key = self.open[&id].incoming.key?;
        self.keys.get(&key)
    }

    /// Forgets a request that is done and has no attempt in flight.
    pub fn forget_if_done(&mut self, id: usize) {
        let Some(request) = self.open.get(&id).filter(|request| request.done && !request.in_flight()) else {
            return;
        };
        if let Some(queue) = request.incoming.key.and_then(|key| self.keys.get_mut(&key)) {
            queue.requests.retain(|&other| other != id);
        }
        self.open.remove(&id);
    }

    /// Forgets keys that no request has, and that have rested. Clients choose them, so the table is kept small.
    pub fn forget_idle_keys(&mut self, now: f64) {
        self.keys.retain(|_, queue| !queue.requests.is_empty() || now < queue.rests_until);
    }
}
