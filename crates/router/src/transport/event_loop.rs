//! Waiting for events between two turns of the server.

use super::clock::WallClock;
use super::event_source::ReadyEvents;
use calloop::EventLoop;
use std::io;
use std::time::Duration;

/// The event loop runs a turn at least this often, in seconds, even if nothing is ready, so that a much longer gap shows
/// that the process was paused.
pub const TURN_INTERVAL: f64 = 0.02;
/// How often one wait polls the system at most, where each poll returned late.
const MAX_POLLS: usize = 3;

/// Waits until a source is ready, or until `wake_at`. A poll that returns late means that the process did not run for a
/// while after the system had reported what is ready. Then the system is polled again: otherwise the next turn would
/// decide without the events that arrived meanwhile, and the turn after it would take them for new ones.
///
/// # Errors
/// The event loop fails for another reason than an interrupted call.
pub fn wait(
    event_loop: &mut EventLoop<ReadyEvents>,
    clock: &mut WallClock,
    wake_at: f64,
    ready: &mut ReadyEvents,
) -> io::Result<()> {
    let mut due = wake_at;
    for _ in 0..MAX_POLLS {
        let started_at = clock.read();
        let timeout = (due - started_at).max(0.0);
        match event_loop.dispatch(Some(Duration::from_secs_f64(timeout)), ready) {
            Ok(()) => {}
            Err(calloop::Error::IoError(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(calloop::Error::IoError(error)) => return Err(error),
            Err(error) => return Err(io::Error::other(error)),
        }
        if clock.read() < started_at + timeout + TURN_INTERVAL {
            break;
        }
        // This time has passed, so the next poll does not wait.
        due = started_at;
    }
    Ok(())
}
