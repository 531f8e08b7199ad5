//! How the router does, for the decisions on what is announced.

use crate::routing::Routing;
use cleatgw_announce::{InTimeShare, Readings};

/// What has to be remembered for that.
#[derive(Default)]
pub struct Health {
    /// Requests answered in time of late.
    in_time: InTimeShare,
    /// How often the decisions have failed, and when they last did.
    panics: u64,
    last_panic_at: Option<f64>,
}

impl Health {
    /// The present readings.
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
