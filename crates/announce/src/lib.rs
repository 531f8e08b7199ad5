//! Decides whether each service address is announced by BGP, and with which preference. The decisions do no I/O: the
//! host passes in readings of the router's health and the paths learned from its peers, and takes out the routes to
//! announce.
//!
//! An address has one of four levels. *Announced* is the normal one. *Depreferred* still serves, but paths of other
//! instances are preferred to it. *Last resort* is the level of an unhealthy instance, marked as unhealthy; it is kept
//! only while no healthy path of another instance is seen. *Withdrawn* is not announced. Instances share no state: each
//! knows of the others only what its peers show it (see [`Paths`]).
//!
//! **The guard of the last announcer** ensures that a failure which all instances share never withdraws the last path,
//! without communication between the instances. An unhealthy instance first announces that it is unhealthy, by a mark
//! that the others read (see [`InstanceCommunity`]). It withdraws only if it still sees a healthy path after a settling
//! time. Proof: suppose that the last announcing instance withdraws because it sees another instance as healthy. As no
//! path is left afterwards, that other instance does not stay healthy: it announced itself as unhealthy after the view
//! was taken, and by the same rule withdraws no sooner than a settling time after that. As long as views are younger
//! than the settling time, it therefore withdraws later than the last instance: a contradiction. `tests/model.rs`
//! checks this against the code.
//!
//! [`AnnouncerConfig`] is the configuration and [`Announcer`] makes the decisions. `health` evaluates the readings,
//! `paths` counts what other instances announce, and `damping` delays the return of an address that fails often. Times
//! are in seconds on the host's clock.

mod announcer;
mod config;
mod damping;
mod health;
mod level;
mod paths;

pub use announcer::{AddressEvent, AddressStatus, Announcer, Drain, CHANGE_CAP_WINDOW};
pub use config::{AnnouncerConfig, Hold, PathPreference};
pub use damping::Damping;
pub use health::{Effect, HealthCheck, HealthCheckConfig, InTimeShare, Readings};
pub use level::{Level, Reason, SuppressedBy};
pub use paths::{InstanceCommunity, Paths};
