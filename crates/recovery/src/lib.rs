//! From the start of a router to full service: what it persists of itself ([`Snapshot`]), for how long each piece of that is valid
//! and what is assumed where it is missing ([`valid_history`]), the phases in which a fresh router takes it up
//! ([`Recovery`]), and when it writes a snapshot ([`WriteSchedule`]).
//!
//! No I/O: the host hands in what its store found, what peers say, and two clocks; it carries out the [`Step`]s.
//! Design: `docs/design/comeback.md`.
//!
//! **Assumptions.** Ages are taken from the machine's own clock since its boot, where the file is of the same boot; else from
//! the Unix clock, and nothing of a time in the future is believed. That the file is the last one that was acknowledged is
//! proved by peers, to whom its epoch was shown; where none answers, it rests on the disk.

mod look_back;
mod recovery;
mod snapshot;
mod snapshot_time;
#[cfg(test)]
mod tests;
mod write_schedule;

pub use look_back::{valid_history, AgedWork, LookBack, ValidHistory};
pub use recovery::{InjectedFault, LossReason, Phase, Recovery, Step, StoreContents};
pub use snapshot::{IdempotencyRecord, Pieces, SentWork, Snapshot, MAX_IDEMPOTENCY_RECORDS};
pub use snapshot_time::SnapshotTime;
pub use write_schedule::{WriteSchedule, MAX_UNPERSISTED_RETRIES};
