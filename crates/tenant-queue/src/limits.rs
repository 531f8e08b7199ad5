//! How much may be queued, and what is displaced beyond it.

use crate::config::ROOT;
use crate::node::Node;
use crate::queue::TenantQueue;
use crate::queued_request::{ordered_bits, QueuedRequest};

impl TenantQueue {
    pub(crate) fn count_added(&mut self, queued: &QueuedRequest) {
        self.count(queued.tenant, |node| node.request_added(queued.work));
    }

    pub(crate) fn count_removed(&mut self, queued: &QueuedRequest) {
        self.count(queued.tenant, |node| node.request_removed(queued.work));
    }

    /// Counts a request at its tenant and at all above it.
    fn count(&mut self, tenant: usize, change: impl Fn(&mut Node)) {
        let before = self.length_rank(tenant);
        let mut node = tenant;
        loop {
            change(&mut self.nodes[node]);
            if node == ROOT {
                break;
            }
            node = self.nodes[node].config.parent;
        }
        self.longest.remove(&before);
        if self.nodes[tenant].queued > 0 {
            self.longest.insert(self.length_rank(tenant));
        }
        match self.nodes[tenant].is_over_limit() {
            true => self.over_limit.insert(tenant),
            false => self.over_limit.remove(&tenant),
        };
    }

    fn length_rank(&self, tenant: usize) -> (u64, usize) {
        let node = &self.nodes[tenant];
        (ordered_bits(node.queued_work / node.config.weight), tenant)
    }

    /// A request to displace, if a queue is over its limit: the last one, of those that can't have run, of the tenant whose
    /// own limit is passed; or, where the limit of all is, of the tenant with the most work queued for its weight. It stays
    /// queued until [`TenantQueue::remove`].
    pub fn next_to_displace(&self) -> Option<usize> {
        let last = |tenant: usize| self.nodes[tenant].displaceable.last().map(|rank| rank.request);
        if self.waiting.len() > self.max_queued {
            let of_longest = self.longest.iter().rev().find_map(|&(_, tenant)| last(tenant));
            if of_longest.is_some() {
                return of_longest;
            }
        }
        self.over_limit.iter().find_map(|tenant| last(*tenant))
    }
}
