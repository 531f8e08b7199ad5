//! Estimates how long requests will wait, from the work that is queued ahead of them.

use crate::config::ROOT;
use crate::queue::TenantQueue;
use crate::queued_request::QueuedRequest;
use crate::wait_estimates::{EstimateInputs, WaitEstimate};

/// At most this many siblings are summed up; with more, the sum is scaled to their number.
const MAX_SIBLINGS: usize = 64;
/// At most this many requests ahead are summed up. If there are more, the whole queue counts as ahead.
const MAX_AHEAD: usize = 256;

impl TenantQueue {
    /// The tenant's share of all served work while the tenants that wait now continue to wait.
    fn share(&self, tenant: usize) -> f64 {
        let mut share = 1.0;
        let mut node = tenant;
        while node != ROOT {
            let parent = self.nodes[node].config.parent;
            let siblings = &self.nodes[parent].active;
            let sampled: Vec<usize> = siblings.iter().take(MAX_SIBLINGS).map(|&(_, child)| child).collect();
            let weight = |child: &usize| self.nodes[*child].config.weight;
            let others: f64 = sampled.iter().filter(|child| **child != node).map(weight).sum();
            let scale = siblings.len().max(1) as f64 / sampled.len().max(1) as f64;
            let own = self.nodes[node].config.weight;
            share *= own / (own + others * scale.max(1.0));
            node = parent;
        }
        share
    }

    /// Estimates the wait of a request of this tenant with this much work if it were received now and queued behind all
    /// of the tenant's requests. `None` if the tenant is unknown or the service rate is not known.
    pub fn estimate_wait_of_new(&self, tenant: usize, work: f64, now: f64) -> Option<WaitEstimate> {
        let queued_work = self.nodes.get(tenant)?.queued_work;
        let inputs = EstimateInputs { work_ahead: queued_work, queued_work, share: self.share(tenant) };
        self.waits.estimate(tenant, work, &inputs, now)
    }

    /// Estimates the wait of a queued request from now to its first attempt. `None` if the request is not queued or the
    /// service rate is not known.
    pub fn estimate_wait_of_queued(&self, request: usize, now: f64) -> Option<WaitEstimate> {
        let queued = self.waiting.get(&request)?;
        let inputs = EstimateInputs {
            work_ahead: self.work_ahead(queued),
            queued_work: self.nodes[queued.tenant].queued_work,
            share: self.share(queued.tenant),
        };
        self.waits.estimate(queued.tenant, queued.work, &inputs, now)
    }

    /// The work ahead of a request in its tenant's queue.
    fn work_ahead(&self, queued: &QueuedRequest) -> f64 {
        let node = &self.nodes[queued.tenant];
        let earlier = node.queue.range(..queued.rank(&node.config)).take(MAX_AHEAD);
        let mut count = 0;
        let mut work = 0.0;
        for ahead in earlier.filter_map(|rank| self.waiting.get(&rank.request)) {
            count += 1;
            work += ahead.work;
        }
        if count == MAX_AHEAD {
            return node.queued_work.max(work);
        }
        work
    }
}
