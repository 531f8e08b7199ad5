//! Cluster membership: which routers are present, suspected, failed or have left, in which incarnation, and on what
//! evidence.
//!
//! - [`Membership`] is the membership state machine of one router; it combines the modules below.
//! - [`swim`] is the failure detector. [`direct_probe`] complements it when many routers fall silent at once.
//! - [`view`] derives what this router may do from how many of the expected routers are present.
//! - [`lease`] grants exclusive leases on resources; [`leader`] requests leases for named leader roles.
//! - [`digest`] encodes what routers report to each other about engines.
//! - [`wire`] defines the datagram format.
//!
//! This crate does no I/O. The host, the program that embeds it, passes in received bytes, a seed, and the time in
//! seconds of a monotonic clock. It sends what [`Membership::take_outgoing`] returns, and calls [`Membership::turn`],
//! one pass over everything that is due, at the time that [`Membership::due`] returns. Design:
//! `docs/design/members.md`.
//!
//! Membership takes no part in routing: it does not decide where a request goes, and no request waits for it.

pub mod digest;
pub mod direct_probe;
pub mod leader;
pub mod lease;
mod member;
mod membership;
pub mod swim;
pub mod view;
pub mod wire;

pub use member::{Counters, Member, State, StateChange};
pub use membership::{cluster_hash, Membership, MAX_ROUTERS};
pub use swim::{Defences, MAX_GENERATION};
