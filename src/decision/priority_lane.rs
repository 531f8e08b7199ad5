//! Chooses the priority lane of a request: requests with more value for their work get a faster lane.

use super::Gateway;

/// The lanes that are used. A higher number is a faster lane.
const LANE_HEAVY: u8 = 1;
const LANE_LOCKING: u8 = 2;
const LANE_LIGHT: u8 = 3;

impl Gateway {
    /// Whether the request is light: its value density is at least the mean value density of all requests.
    pub(super) fn is_light(&self, id: usize) -> bool {
        self.requests.open[&id].value_density >= self.load.value_density.mean_or(0.0)
    }

    /// The lane of a request. A heavy request that locks its tables does not get the slowest lane, because requests
    /// that wait for those tables wait for as long as it runs.
    pub(super) fn lane(&self, id: usize) -> u8 {
        let class = self.requests.open[&id].incoming.class;
        if self.is_light(id) {
            LANE_LIGHT
        } else if self.deployment.classes[class].locks_tables {
            LANE_LOCKING
        } else {
            LANE_HEAVY
        }
    }
}
