//! Waiting for events.

use super::clock::WallClock;
use super::event_source::ReadyEvents;
use calloop::EventLoop;
use std::io;
use std::time::Duration;

/// The loop turns at least so often, in seconds, so that it can tell when it had no turn.
pub const TURN_INTERVAL: f64 = 0.02;
/// How often the system is asked what is ready, at most, where each answer came late.
const MAX_POLLS: usize = 3;

/// Waits until something is ready, or until `wake_at`. Where this process stood still behind the system's answer, what has come
/// meanwhile is asked for once more: the next turn would decide without it, and take it for new in the turn after.
pub fn wait(
    event_loop: &mut EventLoop<ReadyEvents>,
    clock: &mut WallClock,
    wake_at: f64,
    ready: &mut ReadyEvents,
) -> io::Result<()> {
    let mut due = wake_at;
    for _ in 0..MAX_POLLS {
        let began = clock.read();
        let wait = (due - began).max(0.0);
        match event_loop.dispatch(Some(Duration::from_secs_f64(wait)), ready) {
            Ok(()) => {}
            Err(calloop::Error::IoError(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(calloop::Error::IoError(error)) => return Err(error),
            Err(error) => return Err(io::Error::other(error)),
        }
        if clock.read() < began + wait + TURN_INTERVAL {
            break;
        }
        due = began;
    }
    Ok(())
}
