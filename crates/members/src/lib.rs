//! Which routers are there: who is present, suspected, failed or gone, in which life, on what evidence; what such a view
//! allows ([`view`]); what only one may do at a time ([`lease`]); and what they tell each other of engines ([`digest`]).
//!
//! No I/O: the host hands in bytes, a clock of its own that nobody sets (seconds), and a seed; it sends what
//! [`Members::outgoing`] gives, and calls [`Members::turn`] when [`Members::due`] says. Design: `docs/design/members.md`.
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

pub use member::{Change, Counts, Member, State};
pub use membership::{cluster_hash, Members, MOST_ROUTERS};
pub use swim::{Defences, YOUNGEST};

/// The former names of [`leader`], until the test bed uses the new ones.
#[doc(hidden)]
pub mod duty {
    pub use crate::leader::role_resource as thing;
}
