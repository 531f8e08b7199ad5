//! How a session was lost, and how long a step may take while it drains.

use crate::notification::Notification;

/// While draining, seconds that each step towards a session may take: a peer that keeps routes of ours must be reached
/// within the drain or not at all.
pub(super) const DRAIN_STEP_TIMEOUT: f64 = 0.3;

/// How a session was lost, as far as kept routes go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Loss {
    /// The connection broke off.
    Connection,
    /// One direction sent a NOTIFICATION.
    Notification,
    /// For good: a hard reset (RFC 8538), or no session that could keep anything.
    HardReset,
}

impl Loss {
    pub fn of(notification: &Notification) -> Loss {
        match notification.hard_reset {
            true => Loss::HardReset,
            false => Loss::Notification,
        }
    }
}
