//! Cluster membership: which routers are present, suspected, failed or gone, in which incarnation, and on what evidence.
//!
//! - [`Membership`] is one router's part; it ties the others together.
//! - [`swim`] is the failure detector, [`direct_probe`] its complement where many routers fall silent at once.
//! - [`view`] says what a router may do, by how many of those expected are present.
//! - [`lease`] grants what only one router may do at a time, [`leader`] requests that for named roles.
//! - [`digest`] is what routers report to each other of engines.
//! - [`wire`] is the form of the datagrams.
//!
//! No I/O: the host hands in bytes, a clock of its own that nobody sets (seconds), and a seed; it sends what
//! [`Membership::take_outgoing`] gives, and calls [`Membership::turn`] when [`Membership::due`] says. Design: `docs/design/members.md`.
//!
//! Nothing here says where a request goes, and no request waits for any of it.

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
