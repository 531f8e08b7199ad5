//! One tenant, or a group, in the tree.

use crate::config::TenantConfig;
use crate::queued_request::{ordered_bits, RequestRank};
use crate::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// Where a node stands among its siblings: those over budget last, then by what they have had for their weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    over_budget: bool,
    service: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub config: TenantConfig,
    /// Children that have a request to offer, in turn.
    pub active: BTreeSet<(Place, usize)>,
    /// The work for its weight that children were last served at: where those that come join.
    pub virtual_time: f64,
    /// What it has had itself, among its siblings.
    pub start: f64,
    /// Its place while it has a request to offer.
    pub place: Option<Place>,
    pub bucket: Option<TokenBucket>,
    /// Its place among the budgets that are used up: one at most.
    pub refill: Option<u64>,
    /// Only in a leaf: the queued requests.
    pub queue: BTreeSet<RequestRank>,
    /// Those of them that may be displaced.
    pub displaceable: BTreeSet<RequestRank>,
    pub queued: usize,
    pub queued_work: f64,
    pub in_flight: usize,
}

impl Node {
    pub fn new(config: TenantConfig, now: f64) -> Node {
        Node {
            bucket: config.budget.map(|budget| TokenBucket::new(budget, now)),
            config,
            refill: None,
            active: BTreeSet::new(),
            virtual_time: 0.0,
            start: 0.0,
            place: None,
            queue: BTreeSet::new(),
            displaceable: BTreeSet::new(),
            queued: 0,
            queued_work: 0.0,
            in_flight: 0,
        }
    }

    /// Its budget is used up.
    pub fn is_over_budget(&self) -> bool {
        self.bucket.as_ref().is_some_and(TokenBucket::is_empty)
    }

    /// Where it belongs among its siblings.
    pub fn current_place(&self) -> Place {
        Place { over_budget: self.is_over_budget(), service: ordered_bits(self.start) }
    }

    /// It has room for one more request in flight.
    pub fn has_room_in_flight(&self) -> bool {
        self.in_flight < self.config.max_in_flight
    }

    /// It, or a child, has something to offer: a queued request, and room for one more in flight.
    pub fn has_offer(&self) -> bool {
        !self.active.is_empty() || !self.queue.is_empty() && self.has_room_in_flight()
    }

    /// More is queued than may be. One request alone is never too much work: it could not come at all.
    pub fn is_over_limit(&self) -> bool {
        let too_much_work = self.queued_work > self.config.max_queued_work && self.queued > 1;
        too_much_work || self.queued > self.config.max_queued
    }

    pub fn request_added(&mut self, work: f64) {
        self.queued += 1;
        self.queued_work = (self.queued_work + work).max(0.0);
    }

    pub fn request_removed(&mut self, work: f64) {
        self.queued -= 1;
        self.queued_work = if self.queued == 0 { 0.0 } else { (self.queued_work - work).max(0.0) };
    }
}
