//! How much memory a request is granted: by return on consumption against θ (Yu and Cornell 1992, section 4).

use super::Gateway;

/// The part of its need at the lesser of the two points of the curve.
const QUARTER: f64 = 0.25;
/// The largest part of an engine's memory that one request gets, whatever the deployment allows.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// The most that is granted over the expected need. An engine that pages counts no more than the need, so that more is free there.
const MAX_HEADROOM: f64 = 1.6;
const MAX_HEADROOM_PAGING: f64 = 4.0;

/// What a request is granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MemoryGrant {
    /// Megabytes.
    pub memory: f64,
    /// It is a quarter of the need.
    pub at_quarter: bool,
}

/// What a request is to be granted, and the least that it can do with.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantChoice {
    pub preferred: MemoryGrant,
    /// Megabytes.
    pub least: f64,
}

impl Gateway {
    /// The most that is granted over the expected need.
    pub(super) fn max_headroom(&self) -> f64 {
        if self.deployment.pages_memory {
            MAX_HEADROOM_PAGING
        } else {
            MAX_HEADROOM
        }
    }

    /// The most memory that one request gets; 0 where no memory is stated.
    fn memory_cap(&self) -> f64 {
        let kinds = &self.deployment.engine_kinds;
        let largest = kinds.iter().map(|kind| kind.memory_mb).fold(0.0, f64::max);
        largest * self.deployment.max_memory_share.min(MAX_MEMORY_SHARE)
    }

    /// The best grant if its return on consumption exceeds θ, and a quarter of the need otherwise.
    pub(super) fn grant(&mut self, id: usize) -> GrantChoice {
        let request = &self.requests.open[&id];
        let cap = self.memory_cap();
        let full = if cap > 0.0 { request.memory.min(cap) } else { request.memory };
        let quarter = request.memory * QUARTER;
        let spill_factor = self.classes[request.incoming.class].spill_factor();
        let run_time = |grant: f64| {
            let missing = (1.0 - grant / request.memory.max(1e-9)).max(0.0) / (1.0 - QUARTER);
            request.work * (1.0 + (spill_factor - 1.0) * missing)
        };
        let fast = run_time(full);
        let slow = run_time(quarter);
        let extra_consumption = fast * full - slow * quarter;
        if extra_consumption <= 0.0 || full <= quarter {
            let preferred = MemoryGrant { memory: full, at_quarter: false };
            return GrantChoice { preferred, least: full };
        }
        let return_on_consumption = (slow - fast) / extra_consumption;
        self.threshold.note_grant(return_on_consumption, full);
        let preferred = if return_on_consumption > self.threshold.theta {
            MemoryGrant { memory: full, at_quarter: false }
        } else {
            MemoryGrant { memory: quarter, at_quarter: true }
        };
        GrantChoice { preferred, least: quarter }
    }
}
