//! A node of the tenant tree: a tenant (leaf) or a group of tenants.

use crate::config::TenantConfig;
use crate::queued_request::{ordered_bits, RequestRank};
use crate::token_bucket::TokenBucket;
use std::collections::BTreeSet;

/// The rank of a node among its siblings, lowest first: nodes within their budget before those over it, then by start
/// tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SiblingRank {
    over_budget: bool,
    /// The start tag as ordered bits.
    start_tag: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub config: TenantConfig,
    /// Children that can offer a request, by rank.
    pub active: BTreeSet<(SiblingRank, usize)>,
    /// The highest start tag at which a child was served; children that become active start here at least.
    pub virtual_time: f64,
    /// Start tag of start-time fair queueing: grows by the node's charged work divided by its weight, and is raised to
    /// the parent's `virtual_time` when an idle node becomes active. The active node with the lowest tag is served
    /// first.
    pub start_tag: f64,
    /// Its rank in the parent's `active` set; `None` while it is not in that set.
    pub rank: Option<SiblingRank>,
    pub bucket: Option<TokenBucket>,
    /// Time (as ordered bits) of its entry in the queue's `refills`; a node has at most one entry there.
    pub refill: Option<u64>,
    /// The queued requests; empty except in a leaf.
    pub queue: BTreeSet<RequestRank>,
    /// Those of the queued requests that may be displaced.
    pub displaceable: BTreeSet<RequestRank>,
    /// Number of queued requests of this node and all its descendants.
    pub queued: usize,
    /// Work of these requests, in seconds.
    pub queued_work: f64,
    /// Number of requests in flight or on offer; counted in leaves only.
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
            start_tag: 0.0,
            rank: None,
            queue: BTreeSet::new(),
            displaceable: BTreeSet::new(),
            queued: 0,
            queued_work: 0.0,
            in_flight: 0,
        }
    }

    /// Whether its budget is used up.
    pub fn is_over_budget(&self) -> bool {
        self.bucket.as_ref().is_some_and(TokenBucket::is_empty)
    }

    /// Its rank among its siblings by its present state.
    pub fn current_rank(&self) -> SiblingRank {
        SiblingRank { over_budget: self.is_over_budget(), start_tag: ordered_bits(self.start_tag) }
    }

    /// Whether one more request may be in flight.
    pub fn is_below_in_flight_limit(&self) -> bool {
        self.in_flight < self.config.max_in_flight
    }

    /// Whether it or one of its children can offer a request: one is queued and one more may be in flight.
    pub fn has_offer(&self) -> bool {
        !self.active.is_empty() || !self.queue.is_empty() && self.is_below_in_flight_limit()
    }

    /// Whether more requests or more work is queued than allowed. A single request never exceeds the limit of work;
    /// otherwise a request larger than the limit could never be queued at all.
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
