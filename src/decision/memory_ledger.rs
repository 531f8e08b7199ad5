//! What this gateway has granted of an engine's memory, and how much of it may be granted.

use super::TICK;

/// Seconds for which a sign of pressure counts.
const PRESSURE_LASTS: f64 = 2.0;
/// The part of the limit that is left where requests wait for memory, once a second at most.
const SHRINK: f64 = 0.8;
const SHRINK_INTERVAL: f64 = 1.0;
/// The limit is no less than this part of where it began.
const MIN_PART: f64 = 0.25;
/// The part by which the limit grows in a second without pressure.
const GROWTH_PER_SECOND: f64 = 0.1;

/// The open grants of this gateway on one engine.
#[derive(Default)]
pub(super) struct MemoryLedger {
    /// Megabytes that are granted now.
    pub granted: f64,
    /// Megabytes that may be granted while the engine is under pressure.
    pub limit: f64,
    open_grants: u32,
    initial_limit: f64,
    engine_memory: f64,
    pressed_until: f64,
    shrunk_at: f64,
}

impl MemoryLedger {
    /// The engine was started anew, with this much memory and this limit at first; what is granted stays so.
    pub fn restart(&mut self, engine_memory: f64, initial_limit: f64) {
        self.limit = initial_limit;
        self.initial_limit = initial_limit;
        self.engine_memory = engine_memory;
        self.pressed_until = 0.0;
    }

    /// Whether a grant fits. It always does without pressure, or as the first one.
    pub fn fits(&self, grant: f64, now: f64) -> bool {
        now >= self.pressed_until || self.open_grants == 0 || self.granted + grant <= self.limit
    }

    /// Opens a grant.
    pub fn open(&mut self, grant: f64) {
        self.granted += grant;
        self.open_grants += 1;
    }

    /// Closes a grant.
    pub fn close(&mut self, grant: f64) {
        self.granted = (self.granted - grant).max(0.0);
        self.open_grants -= 1;
    }

    /// The engine shows signs of pressure.
    pub fn press(&mut self, now: f64) {
        self.pressed_until = now + PRESSURE_LASTS;
    }

    /// Requests wait for memory there.
    pub fn shrink(&mut self, now: f64) {
        self.press(now);
        if now >= self.shrunk_at + SHRINK_INTERVAL {
            self.shrunk_at = now;
            self.limit = (self.limit * SHRINK).max(self.initial_limit * MIN_PART);
        }
    }

    /// A tick: the limit grows while there is no pressure.
    pub fn tick(&mut self, now: f64) {
        if now >= self.pressed_until {
            let grown = self.limit * (1.0 + GROWTH_PER_SECOND * TICK);
            self.limit = grown.min(self.engine_memory.max(self.initial_limit));
        }
    }
}
