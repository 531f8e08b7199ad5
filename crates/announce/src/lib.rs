//! Whether each service address is announced, and how dear: decisions without I/O. A host hands in readings of the
//! router's health and the paths that its peers show, and takes out what is to be told.
//!
//! An address stands on one of four levels. *Announced* is the usual one; *depreferred* still serves, but others are
//! to be preferred; *last resort* is sick and says so, and stays only as nobody sound is seen; *withdrawn* is out.
//! What an instance that shares nothing with others can know of them is what its peers show it (see [`Paths`]).
//!
//! **The guard of the last announcer.** A sick instance first shows that it is sick, with a mark that others read, and
//! withdraws only if it still sees a sound path a settling time later. Let the last of all instances to withdraw do so
//! at a moment when it sees another one as sound. That other one showed itself sick later than the view was taken, and
//! by the same rule goes no sooner than a settling time after. So long as views are younger than the settling time, it
//! goes after the last: a contradiction. So a sickness that all share never takes the last path away, without a word
//! between them. `tests/model.rs` checks this against the code.
//!
//! [`AnnouncerConfig`] is the configuration, [`Announcer`] the decisions; `signs` judges the readings of health, `paths` counts
//! what others announce, `damping` slows an address that falls often. Times are seconds on the host's clock.

mod announcer;
mod config;
mod damping;
mod health;
mod level;
mod paths;

pub use announcer::{AddressEvent, AddressStatus, Announcer, Drain, MINUTE};
pub use config::{AnnouncerConfig, Hold, PathPreference};
pub use damping::Damping;
pub use health::{Effect, HealthCheck, HealthCheckConfig, InTimeShare, Readings};
pub use level::{HeldBackBy, Level, Reason};
pub use paths::{Mark, Paths};
