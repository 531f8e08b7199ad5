//! From the start of a router to full service: what it keeps of itself ([`Kept`]), for how long each piece of that is valid
//! and what is assumed where it is missing ([`still_valid`]), the phases in which a fresh router takes it up
//! ([`Recovery`]), and when it writes what it keeps ([`Puts`]).
//!
//! No I/O: the host hands in what its store found, what peers say, and two clocks; it carries out the [`Step`]s.
//! Design: `docs/design/comeback.md`.
//!
//! **Assumptions.** Ages are taken from the machine's own clock since its boot, where the file is of the same boot; else from
//! the Unix clock, and nothing of a time in the future is believed. That the file is the last one that was acknowledged is
//! proved by peers, to whom its epoch was shown; where none answers, it rests on the disk.

#![warn(missing_docs)]

mod kept;
mod moment;
mod puts;
mod recovery;
#[cfg(test)]
mod tests;
mod validity;

pub use kept::{Kept, Pieces, Sent, MAX_MARKS};
pub use moment::Moment;
pub use puts::{Puts, AHEAD};
pub use recovery::{Found, InjectedFault, LossReason, Phase, Recovery, Step};
pub use validity::{still_valid, Looks, StillValid};
