//! The order between tenants: hierarchical start-time fair queueing, with budgets.

use crate::config::ROOT;
use crate::queue::TenantQueue;
use crate::queued_request::ordered_bits;

impl TenantQueue {
    /// The leaf whose turn it is.
    pub(crate) fn first_leaf(&self) -> usize {
        let mut node = ROOT;
        while let Some(&(_, child)) = self.nodes[node].active.first() {
            node = child;
        }
        node
    }

    /// Puts a node, and those above it, in its place among its siblings if it has something to offer.
    pub(crate) fn activate(&mut self, mut node: usize) {
        while node != ROOT {
            let parent = self.nodes[node].config.parent;
            if self.nodes[node].has_offer() {
                if self.nodes[node].place.is_none() {
                    // Who was idle has saved nothing.
                    let joined = self.nodes[parent].virtual_time;
                    self.nodes[node].start = self.nodes[node].start.max(joined);
                }
                self.update_place(node);
            }
            node = parent;
        }
    }

    /// Its place anew, after what it stands by has changed.
    fn update_place(&mut self, node: usize) {
        let parent = self.nodes[node].config.parent;
        if let Some(place) = self.nodes[node].place.take() {
            self.nodes[parent].active.remove(&(place, node));
        }
        if self.nodes[node].has_offer() {
            let place = self.nodes[node].current_place();
            self.nodes[node].place = Some(place);
            self.nodes[parent].active.insert((place, node));
        }
    }

    /// The same for all above it.
    pub(crate) fn update_places(&mut self, mut node: usize) {
        while node != ROOT {
            self.update_place(node);
            node = self.nodes[node].config.parent;
        }
    }

    /// Charges a node for work; what is less than 0 comes back.
    pub(crate) fn charge(&mut self, node: usize, work: f64, now: f64) {
        let charged = &mut self.nodes[node];
        charged.start = (charged.start + work / charged.config.weight).max(0.0);
        if let Some(bucket) = &mut charged.bucket {
            bucket.spend(work, now);
        }
        self.schedule_refill(node, now);
    }

    /// Budgets that are no longer used up.
    pub(crate) fn refill_due(&mut self, now: f64) {
        while let Some(&(due, node)) = self.refills.first().filter(|(due, _)| *due <= ordered_bits(now)) {
            self.refills.remove(&(due, node));
            self.nodes[node].refill = None;
            if let Some(bucket) = &mut self.nodes[node].bucket {
                bucket.refill(now);
            }
            self.schedule_refill(node, now);
            self.update_place(node);
        }
    }

    /// A budget that is used up is looked at again once it is earned, or was to be when it was first used up.
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
