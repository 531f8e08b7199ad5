//! The ledger of an engine: the memory that this gateway has granted there, and how much it may grant.

use super::TICK;

/// How long an engine counts as under memory pressure after a sign of it, in seconds.
const PRESSURE_DURATION: f64 = 2.0;
/// The limit is multiplied by this factor when requests wait for memory, at most once per interval in seconds.
const SHRINK_FACTOR: f64 = 0.8;
const SHRINK_INTERVAL: f64 = 1.0;
/// The minimum of the limit, as a share of its initial value.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// The relative growth of the limit per second without pressure.
const GROWTH_PER_SECOND: f64 = 0.1;

/// The open memory grants of this gateway on one engine, and their limit.
#[derive(Default)]
pub(super) struct MemoryLedger {
    /// The memory that is currently granted, in megabytes.
    pub granted: f64,
    /// The memory that may be granted while the engine is under pressure, in megabytes.
    pub limit: f64,
    open_grants: u32,
    /// Megabytes.
    initial_limit: f64,
    /// Megabytes.
    engine_memory: f64,
    pressure_until: f64,
    shrunk_at: f64,
}

impl MemoryLedger {
    /// Resets the limit after a restart of the engine, to its initial value. Open grants stay in the ledger. Amounts
    /// are in megabytes.
    pub fn restart(&mut self, engine_memory: f64, initial_limit: f64) {
        self.limit = initial_limit;
        self.initial_limit = initial_limit;
        self.engine_memory = engine_memory;
        self.pressure_until = 0.0;
    }

    /// Whether a grant fits. It always fits if the engine is not under pressure or has no open grant of this gateway.
    pub fn fits(&self, grant: f64, now: f64) -> bool {
        now >= self.pressure_until || self.open_grants == 0 || self.granted + grant <= self.limit
    }

    /// Adds a grant.
    pub fn open(&mut self, grant: f64) {
        self.granted += grant;
        self.open_grants += 1;
    }

    /// Removes a grant.
    pub fn close(&mut self, grant: f64) {
        self.granted = (self.granted - grant).max(0.0);
        self.open_grants -= 1;
    }

    /// Records a sign of memory pressure on the engine.
    pub fn mark_pressure(&mut self, now: f64) {
        self.pressure_until = now + PRESSURE_DURATION;
    }

    /// Records that requests wait for memory on the engine, and lowers the limit.
    pub fn shrink(&mut self, now: f64) {
        self.mark_pressure(now);
        if now >= self.shrunk_at + SHRINK_INTERVAL {
            self.shrunk_at = now;
            self.limit = (self.limit * SHRINK_FACTOR).max(self.initial_limit * MIN_LIMIT_SHARE);
        }
    }

    /// Raises the limit at a tick if the engine is not under pressure.
    pub fn tick(&mut self, now: f64) {
        if now >= self.pressure_until {
            let grown = self.limit * (1.0 + GROWTH_PER_SECOND * TICK);
            self.limit = grown.min(self.engine_memory.max(self.initial_limit));
        }
    }
}
