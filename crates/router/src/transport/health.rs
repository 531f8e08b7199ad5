//! Collects the health readings on which the announcer bases its decisions.

use crate::routing::Routing;
use cleatgw_announce::{InTimeShare, Readings};

/// The state that is kept between two readings.
#[derive(Default)]
pub struct Health {
    /// The recent share of requests that were answered in time.
    in_time: InTimeShare,
    /// How many panics of the decision core have been counted.
    panics: u64,
    /// When the last of these panics was noticed; none if there was none.
    last_panic_at: Option<f64>,
}

impl Health {
    /// The current readings. `discovery_silence` is the time in seconds since the discovery service was last heard;
    /// none without a discovery service.
    pub fn readings(
        &mut self,
        now: f64,
        is_listening: bool,
        discovery_silence: Option<f64>,
        routing: &mut Routing,
    ) -> Readings {
        let counters = routing.counters();
        let answered = counters.completed + counters.rejected + counters.failed;
        let in_time = counters.in_time;
        let panics = counters.module_panics;
        if panics > self.panics {
            self.panics = panics;
            self.last_panic_at = Some(now);
        }
        Readings {
            listening: is_listening,
            since_failure: self.last_panic_at.map(|at| now - at),
            discovery_silence,
            usable_engines: routing.usable_engines(),
            in_time_share: self.in_time.update(now, in_time, answered),
        }
    }
}
