//! Decides how much memory a request is granted, by comparing its return on consumption with the threshold θ (Yu and
//! Cornell 1992, section 4).

use super::Gateway;

/// The smaller of the two grants that are considered, the quarter grant, as a share of the request's memory including
/// headroom.
const QUARTER: f64 = 0.25;
/// The largest share of an engine's memory that one request is granted, whatever the deployment allows.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// The largest headroom: the factor by which a grant exceeds the expected need. An engine that pages charges a request
/// only for what it needs, so a larger grant costs nothing there.
const MAX_HEADROOM: f64 = 1.6;
const MAX_HEADROOM_PAGING: f64 = 4.0;

/// A memory grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MemoryGrant {
    /// Megabytes.
    pub memory: f64,
    /// The grant is a quarter of the request's memory including headroom.
    pub is_quarter_grant: bool,
}

/// The grant that a request should get, and the smallest that it can run with.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantChoice {
    pub preferred: MemoryGrant,
    /// The smallest grant, in megabytes.
    pub minimum: f64,
}

impl Gateway {
    /// The largest headroom: the factor by which a grant exceeds the expected need.
    pub(super) fn max_headroom(&self) -> f64 {
        if self.deployment.pages_memory {
            MAX_HEADROOM_PAGING
        } else {
            MAX_HEADROOM
        }
    }

    /// The most memory that one request is granted, in megabytes; 0 if the engines' memory is not configured.
    fn memory_cap(&self) -> f64 {
        let kinds = &self.deployment.engine_kinds;
        let largest = kinds.iter().map(|kind| kind.memory_mb).fold(0.0, f64::max);
        largest * self.deployment.max_memory_share.min(MAX_MEMORY_SHARE)
    }

    /// Chooses the best grant if its return on consumption exceeds θ, and the quarter grant otherwise.
    pub(super) fn grant(&mut self, id: usize) -> GrantChoice {
        let request = &self.requests.open[&id];
        let cap = self.memory_cap();
        let best = if cap > 0.0 { request.memory.min(cap) } else { request.memory };
        let quarter = request.memory * QUARTER;
        let spill_factor = self.classes[request.incoming.class].spill_factor();
        let run_time = |grant: f64| {
            let missing = (1.0 - grant / request.memory.max(1e-9)).max(0.0) / (1.0 - QUARTER);
            request.work * (1.0 + (spill_factor - 1.0) * missing)
        };
        let best_time = run_time(best);
        let quarter_time = run_time(quarter);
        let extra_consumption = best_time * best - quarter_time * quarter;
        if extra_consumption <= 0.0 || best <= quarter {
            let preferred = MemoryGrant { memory: best, is_quarter_grant: false };
            return GrantChoice { preferred, minimum: best };
        }
        let return_on_consumption = (quarter_time - best_time) / extra_consumption;
        self.threshold.record_best_grant(return_on_consumption, best);
        let preferred = if return_on_consumption > self.threshold.theta {
            MemoryGrant { memory: best, is_quarter_grant: false }
        } else {
            MemoryGrant { memory: quarter, is_quarter_grant: true }
        };
        GrantChoice { preferred, minimum: quarter }
    }
}
