//! The queue: requests come, are offered, are dispatched or go back, and their attempts end.

use crate::config::{TenantConfig, ROOT};
use crate::node::Node;
use crate::queued_request::QueuedRequest;
use crate::wait_estimates::WaitStatistics;
use std::collections::{BTreeMap, BTreeSet};

/// A node on the path of an offer, and what it had had before.
#[derive(Clone, Copy, Debug)]
struct ChargedNode {
    node: usize,
    start: f64,
}

/// A request that is being tried: its tenant, and those above it, are charged already.
#[derive(Clone, Debug)]
struct Offer {
    queued: QueuedRequest,
    /// From the leaf upwards.
    path: Vec<ChargedNode>,
}

/// What a tenant has queued and in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Requests that are queued.
    pub queued: usize,
    /// Seconds of work that are queued.
    pub queued_work: f64,
    /// Requests that are in flight.
    pub in_flight: usize,
}

/// The queue of all tenants.
#[derive(Clone, Debug)]
pub struct TenantQueue {
    pub(crate) nodes: Vec<Node>,
    pub(crate) waiting: BTreeMap<usize, QueuedRequest>,
    /// Tenants by the work that they have queued for their weight.
    pub(crate) longest: BTreeSet<(u64, usize)>,
    /// Tenants that have more queued than they may.
    pub(crate) over_limit: BTreeSet<usize>,
    offers: Vec<Offer>,
    /// When a tenant's budget is no longer used up, by time.
    pub(crate) refills: BTreeSet<(u64, usize)>,
    /// In all.
    pub(crate) max_queued: usize,
    /// What estimates of waits were worth.
    pub waits: WaitStatistics,
}

impl Default for TenantQueue {
    fn default() -> TenantQueue {
        TenantQueue::single()
    }
}

impl TenantQueue {
    /// One tenant for all: the densest first.
    pub fn single() -> TenantQueue {
        TenantQueue::new(vec![TenantConfig::default()], 0.0)
    }

    /// A queue of these tenants.
    ///
    /// # Panics
    /// Where a parent does not stand before its child, or a weight is not above 0: the host checks its file.
    pub fn new(tenants: Vec<TenantConfig>, now: f64) -> TenantQueue {
        for (index, config) in tenants.iter().enumerate() {
            let parent_is_earlier = config.parent < index || index == ROOT && config.parent == ROOT;
            assert!(parent_is_earlier, "team {index}: its parent comes later");
            let weight = config.weight;
            assert!(weight > 0.0 && weight.is_finite(), "team {index}: a weight of {weight}");
        }
        let max_queued = tenants.first().map_or(usize::MAX, |root| root.max_queued);
        TenantQueue {
            waits: WaitStatistics::new(tenants.len()),
            nodes: tenants.into_iter().map(|config| Node::new(config, now)).collect(),
            waiting: BTreeMap::new(),
            longest: BTreeSet::new(),
            over_limit: BTreeSet::new(),
            offers: Vec::new(),
            refills: BTreeSet::new(),
            max_queued,
        }
    }

    /// How many tenants there are, groups and the root among them.
    pub fn tenant_count(&self) -> usize {
        self.nodes.len()
    }

    /// There are tenants: not all requests stand in one queue.
    pub fn has_tenants(&self) -> bool {
        self.nodes.len() > 1
    }

    /// The request is queued.
    pub fn contains(&self, request: usize) -> bool {
        self.waiting.contains_key(&request)
    }

    /// Requests that are queued or on offer.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.offers.len()
    }

    /// None is queued or on offer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What a tenant has queued and in flight.
    pub fn load(&self, tenant: usize) -> TenantLoad {
        self.nodes.get(tenant).map_or(TenantLoad::default(), |node| TenantLoad {
            queued: node.queued,
            queued_work: node.queued_work,
            in_flight: node.in_flight,
        })
    }

    fn known_tenant(&self, tenant: usize) -> usize {
        tenant.min(self.nodes.len() - 1)
    }

    /// The request waits from now on.
    pub fn enqueue(&mut self, queued: QueuedRequest, now: f64) {
        if self.waiting.contains_key(&queued.request) {
            return;
        }
        let tenant = self.known_tenant(queued.tenant);
        let queued = QueuedRequest { tenant, ..queued };
        let first_of_tenant = self.nodes[tenant].queued == 0;
        self.waits.request_queued(tenant, first_of_tenant, self.waiting.is_empty(), now);
        self.waiting.insert(queued.request, queued);
        self.insert(&queued);
        self.refill_due(now);
        self.activate(tenant);
    }

    /// Puts it into its tenant's queue.
    fn insert(&mut self, queued: &QueuedRequest) {
        let node = &mut self.nodes[queued.tenant];
        let rank = queued.rank(&node.config);
        node.queue.insert(rank);
        if queued.never_ran {
            node.displaceable.insert(rank);
        }
        self.count_added(queued);
    }

    /// Takes it off its tenant's queue.
    fn extract(&mut self, queued: &QueuedRequest) {
        let node = &mut self.nodes[queued.tenant];
        let rank = queued.rank(&node.config);
        node.queue.remove(&rank);
        node.displaceable.remove(&rank);
        self.count_removed(queued);
    }

    /// It waits no more: it was answered, or its client has gone.
    pub fn remove(&mut self, request: usize) {
        // One that is on offer goes back into the queue first, so that what it was charged comes back.
        if self.offers.iter().any(|offer| offer.queued.request == request) {
            self.return_offers(f64::NEG_INFINITY);
        }
        self.waits.request_removed(request);
        if let Some(queued) = self.waiting.remove(&request) {
            self.extract(&queued);
            self.update_places(queued.tenant);
        }
    }

    /// The next request to try. It is on offer until [`TenantQueue::dispatched`], or goes back by
    /// [`TenantQueue::return_offers`].
    pub fn next(&mut self, now: f64) -> Option<usize> {
        self.refill_due(now);
        let tenant = self.first_leaf();
        if !self.nodes[tenant].has_room_in_flight() {
            return None;
        }
        let request = self.nodes[tenant].queue.first()?.request;
        let queued = self.waiting.remove(&request)?;
        self.extract(&queued);
        let mut path = Vec::new();
        let mut node = tenant;
        while node != ROOT {
            path.push(ChargedNode { node, start: self.nodes[node].start });
            self.charge(node, queued.work, now);
            node = self.nodes[node].config.parent;
        }
        self.nodes[tenant].in_flight += 1;
        self.update_places(tenant);
        self.offers.push(Offer { queued, path });
        Some(request)
    }

    /// A request on offer was dispatched; it stays charged, and those that join from now on join where it stood.
    pub fn dispatched(&mut self, request: usize, now: f64) {
        let Some(index) = self.offers.iter().position(|offer| offer.queued.request == request) else {
            return;
        };
        let Offer { queued, path } = self.offers.remove(index);
        for ChargedNode { node, start } in path {
            let parent = self.nodes[node].config.parent;
            let parent = &mut self.nodes[parent];
            parent.virtual_time = parent.virtual_time.max(start);
        }
        self.waits.request_dispatched(&queued, now);
    }

    /// Those on offer that were not dispatched go back into the queue, and their tenants have their charges back.
    pub fn return_offers(&mut self, now: f64) {
        while let Some(Offer { queued, path }) = self.offers.pop() {
            for ChargedNode { node, .. } in path {
                self.charge(node, -queued.work, now);
            }
            self.nodes[queued.tenant].in_flight -= 1;
            self.waiting.insert(queued.request, queued);
            self.insert(&queued);
            self.update_places(queued.tenant);
        }
    }

    /// An attempt of this tenant's is in flight already: queues that are set up while requests are open begin with those.
    pub fn count_attempt_in_flight(&mut self, tenant: usize) {
        let tenant = self.known_tenant(tenant);
        self.nodes[tenant].in_flight += 1;
        self.update_places(tenant);
    }

    /// An attempt of the tenant's is over: it needed so much work where so much was charged. Who asks for little and needs
    /// much pays later; who asked for much gets it back.
    pub fn attempt_ended(&mut self, tenant: usize, charged: f64, needed: f64, now: f64) {
        let tenant = self.known_tenant(tenant);
        let more = needed - charged;
        let mut node = tenant;
        while node != ROOT {
            let parent = self.nodes[node].config.parent;
            let floor = self.nodes[parent].virtual_time;
            let before = self.nodes[node].start;
            self.charge(node, more, now);
            // What comes back must not put it ahead of all that was served since.
            let charged = &mut self.nodes[node];
            charged.start = charged.start.max(before.min(floor));
            node = parent;
        }
        let leaf = &mut self.nodes[tenant];
        leaf.in_flight = leaf.in_flight.saturating_sub(1);
        self.activate(tenant);
        self.update_places(tenant);
    }
}
