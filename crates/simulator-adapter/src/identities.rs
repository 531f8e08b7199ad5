//! The names that requests and engines have on the wire, and the small numbers that the decisions know them by.

use std::collections::HashMap;

/// A request's name on the wire, and whether it may still be heard of.
struct WireRequest {
    id: u64,
    attempts_in_flight: u32,
    is_answered: bool,
}

/// What stands for what, at one instance.
#[derive(Default)]
pub struct Identities {
    requests: HashMap<usize, WireRequest>,
    request_by_id: HashMap<u64, usize>,
    next_request: usize,
    addresses: Vec<String>,
    engine_by_address: HashMap<String, usize>,
}

impl Identities {
    /// A new request.
    pub fn add_request(&mut self, id: u64) -> usize {
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(request, WireRequest { id, attempts_in_flight: 0, is_answered: false });
        self.request_by_id.insert(id, request);
        request
    }

    pub fn request(&self, id: u64) -> Option<usize> {
        self.request_by_id.get(&id).copied()
    }

    pub fn request_id(&self, request: usize) -> Option<u64> {
        self.requests.get(&request).map(|wire| wire.id)
    }

    /// An attempt goes out.
    pub fn attempt_sent(&mut self, request: usize) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.attempts_in_flight += 1;
        }
    }

    /// An attempt is over.
    pub fn attempt_ended(&mut self, request: usize, request_done: bool) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.attempts_in_flight = wire.attempts_in_flight.saturating_sub(1);
            wire.is_answered |= request_done;
        }
    }

    /// A request has its answer.
    pub fn answered(&mut self, request: usize) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.is_answered = true;
        }
        self.remove_if_finished(request);
    }

    /// Forgets a request that will not be heard of again.
    pub fn remove_if_finished(&mut self, request: usize) {
        let finished = |wire: &WireRequest| wire.is_answered && wire.attempts_in_flight == 0;
        if self.requests.get(&request).is_some_and(finished) {
            let id = self.requests.remove(&request).expect("just seen").id;
            self.request_by_id.remove(&id);
        }
    }

    /// The number of an engine, which is given one where it is new.
    pub fn engine(&mut self, address: &str) -> usize {
        if let Some(&engine) = self.engine_by_address.get(address) {
            return engine;
        }
        let engine = self.addresses.len();
        self.addresses.push(address.to_string());
        self.engine_by_address.insert(address.to_string(), engine);
        engine
    }

    pub fn address(&self, engine: usize) -> &str {
        &self.addresses[engine]
    }
}
