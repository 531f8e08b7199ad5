//! The state of each request while it is open, and the events scheduled for it. This module makes no decision and holds
//! no tuned value.

use crate::statistics::order_key;
use crate::{EngineListing, IncomingRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One attempt of a request.
#[derive(Default)]
pub(crate) struct Attempt {
    /// The engine's index. Once the attempt has ended, the host may give the index to another engine.
    pub engine: usize,
    /// The engine's entry in the engine list when the attempt was sent.
    pub sent_to: EngineListing,
    pub sent_at: f64,
    /// The memory granted to the attempt, in megabytes.
    pub grant: f64,
    /// The grant is a quarter of the request's memory including headroom.
    pub is_quarter_grant: bool,
    pub in_flight: bool,
    /// It is certain that the engine never ran the attempt.
    pub never_ran: bool,
    pub cancelled: bool,
}

/// A request that has no answer yet or still has an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestState {
    pub incoming: IncomingRequest,
    /// The expected work, in seconds of one core.
    pub work: f64,
    /// The memory that the request is expected to need, including headroom, in megabytes.
    pub memory: f64,
    /// The request's value per second of its work.
    pub value_density: f64,
    /// When the request misses its latency objective.
    pub objective_at: f64,
    pub received_at: f64,
    /// Since when the request has waited only because its grant fits no engine's ledger; absent if it does not wait for
    /// memory.
    pub waits_for_memory_since: Option<f64>,
    /// The total of its earlier waits for memory, in seconds.
    pub memory_wait: f64,
    pub attempts: Vec<Attempt>,
    /// The request has its answer, or needs none.
    pub done: bool,
}

impl RequestState {
    /// Whether an attempt is in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether it is certain that no attempt ran.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    /// Whether the request needs an answer and has no attempt in flight.
    pub fn is_queued(&self) -> bool {
        !self.done && !self.in_flight()
    }
}

/// The open requests with one key, in order of arrival.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub requests: VecDeque<usize>,
    /// Until then an attempt that has ended for this gateway may still be running on its engine.
    pub quiet_until: f64,
}

/// An event scheduled for a request, identified by its index. Events that are due at the same time are handled in the
/// order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DueEvent {
    /// The request's deadline passes.
    Deadline(usize),
    /// An attempt that starts later can't meet the request's latency objective or, for a request that is kept after its
    /// objective, its deadline.
    LastStart(usize),
    /// The attempt with this number has been in flight for longer than expected.
    AttemptOverdue(usize, usize),
    /// The window in which engines recognise a repeat ends.
    RetryWindowEnds(usize),
}

/// All open requests, the queues of their keys, and the events scheduled for them.
#[derive(Default)]
pub(crate) struct RequestTable {
    pub open: BTreeMap<usize, RequestState>,
    pub keys: BTreeMap<u64, KeyQueue>,
    due: BTreeSet<(u64, DueEvent)>,
}

impl RequestTable {
    /// The state of a request.
    ///
    /// # Panics
    /// If the request is not in the table.
    pub fn get_mut(&mut self, id: usize) -> &mut RequestState {
        self.open.get_mut(&id).expect("the request is open")
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: f64, event: DueEvent) {
        self.due.insert((order_key(at), event));
    }

    /// Cancels a scheduled event.
    pub fn unschedule(&mut self, at: f64, event: DueEvent) {
        self.due.remove(&(order_key(at), event));
    }

    /// Removes and returns the first event that is due.
    pub fn next_due(&mut self, now: f64) -> Option<DueEvent> {
        let (_, event) = self.due.first().copied().filter(|&(at, _)| at <= order_key(now))?;
        self.due.pop_first();
        Some(event)
    }

    /// When the next event is due; absent if none is scheduled.
    pub fn next_due_at(&self) -> Option<f64> {
        self.due.first().map(|&(at, _)| crate::statistics::from_order_key(at))
    }

    /// The queue of the request's key, if the request has a key.
    pub fn key_queue(&self, id: usize) -> Option<&KeyQueue> {
        let key = self.open[&id].incoming.key?;
        self.keys.get(&key)
    }

    /// Removes the request if it is done and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: usize) {
        let Some(request) = self.open.get(&id).filter(|request| request.done && !request.in_flight()) else {
            return;
        };
        if let Some(queue) = request.incoming.key.and_then(|key| self.keys.get_mut(&key)) {
            queue.requests.retain(|&other| other != id);
        }
        self.open.remove(&id);
    }

    /// Removes the keys that no open request has and whose quiet period is over. Clients choose the keys, so the table
    /// would grow without bound otherwise.
    pub fn remove_idle_keys(&mut self, now: f64) {
        self.keys.retain(|_, queue| !queue.requests.is_empty() || now < queue.quiet_until);
    }
}
