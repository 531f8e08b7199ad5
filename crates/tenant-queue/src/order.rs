//! The order between tenants: hierarchical start-time fair queueing, with budgets.

use crate::config::ROOT;
use crate::queue::TenantQueue;
use crate::queued_request::ordered_bits;

impl TenantQueue {
    /// The leaf that is to be served next; [`ROOT`] if no child of the root is active.
    pub(crate) fn next_leaf(&self) -> usize {
        let mut node = ROOT;
        while let Some(&(_, child)) = self.nodes[node].active.first() {
            node = child;
        }
        node
    }

    /// Enters a node and its ancestors into their parents' `active` sets where they can offer a request.
    pub(crate) fn activate(&mut self, mut node: usize) {
        while node != ROOT {
            let parent = self.nodes[node].config.parent;
            if self.nodes[node].has_offer() {
                if self.nodes[node].rank.is_none() {
                    // A node that was idle gets no credit for the time in which it was idle.
                    let virtual_time = self.nodes[parent].virtual_time;
                    self.nodes[node].start_tag = self.nodes[node].start_tag.max(virtual_time);
                }
                self.update_rank(node);
            }
            node = parent;
        }
    }

    /// Updates a node's entry in its parent's `active` set after the node has changed.
    fn update_rank(&mut self, node: usize) {
        let parent = self.nodes[node].config.parent;
        if let Some(rank) = self.nodes[node].rank.take() {
            self.nodes[parent].active.remove(&(rank, node));
        }
        if self.nodes[node].has_offer() {
            let rank = self.nodes[node].current_rank();
            self.nodes[node].rank = Some(rank);
            self.nodes[parent].active.insert((rank, node));
        }
    }

    /// Updates the ranks of a node and of all its ancestors.
    pub(crate) fn update_ranks(&mut self, mut node: usize) {
        while node != ROOT {
            self.update_rank(node);
            node = self.nodes[node].config.parent;
        }
    }

    /// Charges a node for work, in seconds; negative work is refunded.
    pub(crate) fn charge(&mut self, node: usize, work: f64, now: f64) {
        let charged = &mut self.nodes[node];
        charged.start_tag = (charged.start_tag + work / charged.config.weight).max(0.0);
        if let Some(bucket) = &mut charged.bucket {
            bucket.spend(work, now);
        }
        self.schedule_refill(node, now);
    }

    /// Refills the budgets whose scheduled time has come, and updates the ranks of their nodes.
    pub(crate) fn refill_due(&mut self, now: f64) {
        while let Some(&(due, node)) = self.refills.first().filter(|(due, _)| *due <= ordered_bits(now)) {
            self.refills.remove(&(due, node));
            self.nodes[node].refill = None;
            if let Some(bucket) = &mut self.nodes[node].bucket {
                bucket.refill(now);
            }
            self.schedule_refill(node, now);
            self.update_rank(node);
        }
    }

    /// Schedules a refill for the time at which a used-up budget will have been earned back. A refill that is already
    /// scheduled keeps its time, even if more was spent since; when it comes due the next one is scheduled.
    fn schedule_refill(&mut self, index: usize, now: f64) {
        let node = &mut self.nodes[index];
        if node.refill.is_some() {
            return;
        }
        let Some(bucket) = node.bucket.as_ref().filter(|bucket| bucket.is_empty()) else { return };
        let due = ordered_bits(bucket.refilled_at(now));
        node.refill = Some(due);
        self.refills.insert((due, index));
    }
}
