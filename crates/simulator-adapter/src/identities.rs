//! Maps the ids of requests and the addresses of engines on the wire to the indices that the decision core uses, and
//! back.

use std::collections::HashMap;

/// A request on the wire. It is kept until it has its answer and none of its attempts is in flight.
struct WireRequest {
    /// The request's id on the wire.
    id: u64,
    attempts_in_flight: u32,
    /// Whether the request has its answer or was withdrawn.
    is_answered: bool,
}

/// The requests and engines of one instance.
#[derive(Default)]
pub struct Identities {
    /// The requests by their indices.
    requests: HashMap<usize, WireRequest>,
    /// The indices of the requests by their ids on the wire.
    request_by_id: HashMap<u64, usize>,
    next_request: usize,
    /// The addresses of the engines by their indices.
    addresses: Vec<String>,
    engine_by_address: HashMap<String, usize>,
}

impl Identities {
    /// Adds a request and returns its index.
    pub fn add_request(&mut self, id: u64) -> usize {
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(request, WireRequest { id, attempts_in_flight: 0, is_answered: false });
        self.request_by_id.insert(id, request);
        request
    }

    /// The index of the request with this id.
    pub fn request(&self, id: u64) -> Option<usize> {
        self.request_by_id.get(&id).copied()
    }

    /// The id of the request with this index.
    pub fn request_id(&self, request: usize) -> Option<u64> {
        self.requests.get(&request).map(|wire| wire.id)
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self, request: usize) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.attempts_in_flight += 1;
        }
    }

    /// Records that an attempt has ended. `request_done` says whether the request has its answer.
    pub fn attempt_ended(&mut self, request: usize, request_done: bool) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.attempts_in_flight = wire.attempts_in_flight.saturating_sub(1);
            wire.is_answered |= request_done;
        }
    }

    /// Records that a request has its answer or was withdrawn.
    pub fn answered(&mut self, request: usize) {
        if let Some(wire) = self.requests.get_mut(&request) {
            wire.is_answered = true;
        }
        self.remove_if_finished(request);
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub fn remove_if_finished(&mut self, request: usize) {
        let is_finished = |wire: &WireRequest| wire.is_answered && wire.attempts_in_flight == 0;
        if self.requests.get(&request).is_some_and(is_finished) {
            let id = self.requests.remove(&request).expect("the request was found above").id;
            self.request_by_id.remove(&id);
        }
    }

    /// The index of the engine with this address. A new engine gets an index.
    pub fn engine(&mut self, address: &str) -> usize {
        if let Some(&engine) = self.engine_by_address.get(address) {
            return engine;
        }
        let engine = self.addresses.len();
        self.addresses.push(address.to_string());
        self.engine_by_address.insert(address.to_string(), engine);
        engine
    }

    /// The address of the engine with this index.
    pub fn address(&self, engine: usize) -> &str {
        &self.addresses[engine]
    }
}
