//! The priority lane of a request: what brings more value for its work goes first.

use super::Gateway;

/// The lanes that are used, the fastest last.
const LANE_HEAVY: u8 = 1;
const LANE_LOCKING: u8 = 2;
const LANE_LIGHT: u8 = 3;

impl Gateway {
    /// A light request: as much value for its work as requests have on the whole, or more.
    pub(super) fn is_light(&self, id: usize) -> bool {
        self.requests.open[&id].value_density >= self.load.value_density.mean_or(0.0)
    }

    /// The lane of a request. Whatever waits for the tables that it locks waits for as long as it runs, so it is not in the
    /// slowest one.
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
