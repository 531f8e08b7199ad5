//! The ways in which a session is lost, and the time limit for the steps of opening a session during a drain.

use crate::notification::Notification;

/// The time limit in seconds for each step of opening a session during a drain. A peer that retains our routes can only
/// be told to remove them before the drain ends, so no step may use up that time.
pub(super) const DRAIN_STEP_TIMEOUT: f64 = 0.3;

/// How a session was lost; this determines whether its routes are retained.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Loss {
    /// The connection was lost without a NOTIFICATION.
    Connection,
    /// One side sent a NOTIFICATION that is not a hard reset.
    Notification,
    /// No routes are retained: one side sent a hard reset (RFC 8538), or the connection ended before our OPEN was sent,
    /// so there are no routes to retain. Only evaluated for established sessions.
    HardReset,
}

impl Loss {
    pub fn from_notification(notification: &Notification) -> Loss {
        match notification.hard_reset {
            true => Loss::HardReset,
            false => Loss::Notification,
        }
    }
}
