//! Limits on queued requests and queued work, and the choice of the request that is displaced above a limit.

use crate::config::ROOT;
use crate::node::Node;
use crate::queue::TenantQueue;
use crate::queued_request::{ordered_bits, QueuedRequest};

impl TenantQueue {
    pub(crate) fn count_added(&mut self, queued: &QueuedRequest) {
        self.update_counts(queued.tenant, |node| node.request_added(queued.work));
    }

    pub(crate) fn count_removed(&mut self, queued: &QueuedRequest) {
        self.update_counts(queued.tenant, |node| node.request_removed(queued.work));
    }

    /// Applies a change to the counts of a tenant and of all its ancestors, then updates the tenant in the sets
    /// `by_queued_work` and `over_limit`.
    fn update_counts(&mut self, tenant: usize, change: impl Fn(&mut Node)) {
        let former_key = self.queued_work_key(tenant);
        let mut node = tenant;
        loop {
            change(&mut self.nodes[node]);
            if node == ROOT {
                break;
            }
            node = self.nodes[node].config.parent;
        }
        self.by_queued_work.remove(&former_key);
        if self.nodes[tenant].queued > 0 {
            self.by_queued_work.insert(self.queued_work_key(tenant));
        }
        match self.nodes[tenant].is_over_limit() {
            true => self.over_limit.insert(tenant),
            false => self.over_limit.remove(&tenant),
        };
    }

    fn queued_work_key(&self, tenant: usize) -> (u64, usize) {
        let node = &self.nodes[tenant];
        (ordered_bits(node.queued_work / node.config.weight), tenant)
    }

    /// The request to displace if a queue is over its limit; `None` if there is none. Only requests that cannot have
    /// run are displaced. If the limit over all tenants is exceeded, it is the last such request of the tenant with the
    /// most queued work relative to its weight that has one; otherwise it is the last such request of a tenant that
    /// exceeds its own limit. The request stays queued until [`TenantQueue::remove`].
    pub fn next_to_displace(&self) -> Option<usize> {
        let last_displaceable =
            |tenant: usize| self.nodes[tenant].displaceable.last().map(|rank| rank.request);
        if self.waiting.len() > self.max_queued {
            let of_longest =
                self.by_queued_work.iter().rev().find_map(|&(_, tenant)| last_displaceable(tenant));
            if of_longest.is_some() {
                return of_longest;
            }
        }
        self.over_limit.iter().find_map(|tenant| last_displaceable(*tenant))
    }
}
