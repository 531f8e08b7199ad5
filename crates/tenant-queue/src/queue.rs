//! The queue of all tenants. A queued request is offered, then either dispatched or returned to the queue; when an
//! attempt ends, the charge for its work is corrected.

use crate::config::{TenantConfig, ROOT};
use crate::node::Node;
use crate::queued_request::QueuedRequest;
use crate::wait_estimates::WaitStatistics;
use std::collections::{BTreeMap, BTreeSet};

/// A node that was charged for an offered request, and its start tag before the charge.
#[derive(Clone, Copy, Debug)]
struct ChargedNode {
    node: usize,
    start_tag: f64,
}

/// A request for which the host is trying to find an engine. Its tenant and all ancestors are already charged for it.
#[derive(Clone, Debug)]
struct Offer {
    queued: QueuedRequest,
    /// The charged nodes, from the leaf upwards.
    path: Vec<ChargedNode>,
}

/// The queued requests of a tenant and its requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Number of queued requests.
    pub queued: usize,
    /// Queued work, in seconds.
    pub queued_work: f64,
    /// Number of requests in flight or on offer.
    pub in_flight: usize,
}

/// The queue of all tenants.
#[derive(Clone, Debug)]
pub struct TenantQueue {
    pub(crate) nodes: Vec<Node>,
    /// Queued requests by their numbers, without those on offer.
    pub(crate) waiting: BTreeMap<usize, QueuedRequest>,
    /// Tenants with queued requests, by queued work divided by weight.
    pub(crate) by_queued_work: BTreeSet<(u64, usize)>,
    /// Tenants that exceed their limit of queued requests or queued work.
    pub(crate) over_limit: BTreeSet<usize>,
    offers: Vec<Offer>,
    /// Scheduled refills of used-up budgets: time (as ordered bits) and node.
    pub(crate) refills: BTreeSet<(u64, usize)>,
    /// Maximum number of queued requests over all tenants.
    pub(crate) max_queued: usize,
    /// Service rates, and the accuracy of the wait estimates.
    pub waits: WaitStatistics,
}

impl Default for TenantQueue {
    fn default() -> TenantQueue {
        TenantQueue::single()
    }
}

impl TenantQueue {
    /// A queue with a single tenant, ordered by value density.
    pub fn single() -> TenantQueue {
        TenantQueue::new(vec![TenantConfig::default()], 0.0)
    }

    /// A queue for these tenants.
    ///
    /// # Panics
    /// If a parent does not precede its child, or if a weight is not finite and greater than 0. The host checks its
    /// teams file for both beforehand.
    pub fn new(tenants: Vec<TenantConfig>, now: f64) -> TenantQueue {
        for (index, config) in tenants.iter().enumerate() {
            let parent_is_earlier = config.parent < index || index == ROOT && config.parent == ROOT;
            assert!(
                parent_is_earlier,
                "tenant {index}: parent {} does not precede it in the list",
                config.parent
            );
            let weight = config.weight;
            assert!(
                weight > 0.0 && weight.is_finite(),
                "tenant {index}: weight must be finite and greater than 0, got {weight}"
            );
        }
        let max_queued = tenants.first().map_or(usize::MAX, |root| root.max_queued);
        TenantQueue {
            waits: WaitStatistics::new(tenants.len()),
            nodes: tenants.into_iter().map(|config| Node::new(config, now)).collect(),
            waiting: BTreeMap::new(),
            by_queued_work: BTreeSet::new(),
            over_limit: BTreeSet::new(),
            offers: Vec::new(),
            refills: BTreeSet::new(),
            max_queued,
        }
    }

    /// The number of tenants, including groups and the root.
    pub fn tenant_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are tenants below the root; if not, all requests are in one queue.
    pub fn has_tenants(&self) -> bool {
        self.nodes.len() > 1
    }

    /// Whether the request is queued; false while it is on offer.
    pub fn contains(&self, request: usize) -> bool {
        self.waiting.contains_key(&request)
    }

    /// Number of requests that are queued or on offer.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.offers.len()
    }

    /// Whether no request is queued or on offer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The queued requests and requests in flight of a tenant; zeros for an unknown tenant.
    pub fn load(&self, tenant: usize) -> TenantLoad {
        self.nodes.get(tenant).map_or(TenantLoad::default(), |node| TenantLoad {
            queued: node.queued,
            queued_work: node.queued_work,
            in_flight: node.in_flight,
        })
    }

    /// The tenant itself. An index out of range stands for the last tenant; the host lists the leaves for requests of
    /// unknown tenants last.
    fn known_tenant(&self, tenant: usize) -> usize {
        tenant.min(self.nodes.len() - 1)
    }

    /// Queues a request. A request that is already queued is left as it is.
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

    /// Inserts a request into its tenant's queue.
    fn insert(&mut self, queued: &QueuedRequest) {
        let node = &mut self.nodes[queued.tenant];
        let rank = queued.rank(&node.config);
        node.queue.insert(rank);
        if queued.never_ran {
            node.displaceable.insert(rank);
        }
        self.count_added(queued);
    }

    /// Removes a request from its tenant's queue.
    fn extract(&mut self, queued: &QueuedRequest) {
        let node = &mut self.nodes[queued.tenant];
        let rank = queued.rank(&node.config);
        node.queue.remove(&rank);
        node.displaceable.remove(&rank);
        self.count_removed(queued);
    }

    /// Removes a request that no longer waits: it was answered, or its client has disconnected. If the request is on
    /// offer, all requests on offer are put back into the queue.
    pub fn remove(&mut self, request: usize) {
        // Putting it back into the queue refunds its charge. The present time is not known here; with negative infinity
        // the budgets are refunded, but earn nothing.
        if self.offers.iter().any(|offer| offer.queued.request == request) {
            self.return_offers(f64::NEG_INFINITY);
        }
        self.waits.request_removed(request);
        if let Some(queued) = self.waiting.remove(&request) {
            self.extract(&queued);
            self.update_ranks(queued.tenant);
        }
    }

    /// The next request to try; `None` if no request can be offered. The request is on offer until
    /// [`TenantQueue::dispatched`] or [`TenantQueue::return_offers`].
    pub fn next(&mut self, now: f64) -> Option<usize> {
        self.refill_due(now);
        let tenant = self.next_leaf();
        if !self.nodes[tenant].is_below_in_flight_limit() {
            return None;
        }
        let request = self.nodes[tenant].queue.first()?.request;
        let queued = self.waiting.remove(&request)?;
        self.extract(&queued);
        let mut path = Vec::new();
        let mut node = tenant;
        while node != ROOT {
            path.push(ChargedNode { node, start_tag: self.nodes[node].start_tag });
            self.charge(node, queued.work, now);
            node = self.nodes[node].config.parent;
        }
        self.nodes[tenant].in_flight += 1;
        self.update_ranks(tenant);
        self.offers.push(Offer { queued, path });
        Some(request)
    }

    /// Records that a request on offer was dispatched. Its charge stays, and the virtual time of each ancestor advances
    /// to the start tag at which the child was served.
    pub fn dispatched(&mut self, request: usize, now: f64) {
        let Some(index) = self.offers.iter().position(|offer| offer.queued.request == request) else {
            return;
        };
        let Offer { queued, path } = self.offers.remove(index);
        for ChargedNode { node, start_tag } in path {
            let parent = self.nodes[node].config.parent;
            let parent = &mut self.nodes[parent];
            parent.virtual_time = parent.virtual_time.max(start_tag);
        }
        self.waits.request_dispatched(&queued, now);
    }

    /// Puts the requests that are still on offer back into the queue, and refunds their charges.
    pub fn return_offers(&mut self, now: f64) {
        while let Some(Offer { queued, path }) = self.offers.pop() {
            for ChargedNode { node, .. } in path {
                self.charge(node, -queued.work, now);
            }
            self.nodes[queued.tenant].in_flight -= 1;
            self.waiting.insert(queued.request, queued);
            self.insert(&queued);
            self.update_ranks(queued.tenant);
        }
    }

    /// Counts an attempt of the tenant that is already in flight when this queue is set up: the tenants may be replaced
    /// while requests are open.
    pub fn count_attempt_in_flight(&mut self, tenant: usize) {
        let tenant = self.known_tenant(tenant);
        self.nodes[tenant].in_flight += 1;
        self.update_ranks(tenant);
    }

    /// Records the end of an attempt of the tenant, and corrects the charge from `charged`, the work in seconds with
    /// which the request was queued, to the work that the attempt `needed`, in seconds: a tenant whose requests need
    /// more than they were charged is charged the rest, one whose requests need less is refunded.
    pub fn attempt_ended(&mut self, tenant: usize, charged: f64, needed: f64, now: f64) {
        let tenant = self.known_tenant(tenant);
        let correction = needed - charged;
        let mut node = tenant;
        while node != ROOT {
            let parent = self.nodes[node].config.parent;
            let virtual_time = self.nodes[parent].virtual_time;
            let former_start_tag = self.nodes[node].start_tag;
            self.charge(node, correction, now);
            // A refund must not lower the start tag below the parent's virtual time: the node would go before siblings
            // that were served in the meantime.
            let charged = &mut self.nodes[node];
            charged.start_tag = charged.start_tag.max(former_start_tag.min(virtual_time));
            node = parent;
        }
        let leaf = &mut self.nodes[tenant];
        leaf.in_flight = leaf.in_flight.saturating_sub(1);
        self.activate(tenant);
        self.update_ranks(tenant);
    }
}
