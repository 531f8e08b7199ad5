//! Recovery of a router from its start to full service: what it persists ([`Snapshot`]), for how long each part of a
//! snapshot is valid ([`valid_history`]), what is assumed if it is missing ([`Step::AssumeLostHistory`]), the phases in
//! which a restarted router restores it ([`Recovery`]), and when the router writes a snapshot ([`WriteSchedule`]).
//!
//! The crate does no I/O: the host hands in what its store holds, what peers report, and the readings of two clocks,
//! and carries out the resulting [`Step`]s. Design: `docs/design/comeback.md`.
//!
//! **Assumptions.** The age of a snapshot is measured by the machine's own clock since boot if the snapshot was taken
//! in the same boot, and otherwise by the Unix clock. A snapshot with a time in the future is not used. Peers are shown
//! the epoch of each write. If one reports a later epoch than the snapshot's, the snapshot is outdated and is not used.
//! If none does, or none answers, the disk is trusted.

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
