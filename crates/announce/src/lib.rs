//! Whether each service address is announced, and with which preference: decisions without I/O. A host hands in readings
//! of the router's health and the paths that its peers show, and takes out the routes to announce.
//!
//! An address has one of four levels. *Announced* is the usual one. *Depreferred* still serves, but other instances are
//! preferred. *Last resort* belongs to an unhealthy instance that says so, and is kept only while no healthy path is
//! seen. *Withdrawn* is not announced. Instances share nothing: what one knows of the others is what its peers show it
//! (see [`Paths`]).
//!
//! **The guard of the last announcer.** An unhealthy instance first announces that it is unhealthy, with a mark that
//! others read (see [`InstanceCommunity`]), and withdraws only if it still sees a healthy path a settling time later. Suppose that the
//! last of all instances withdraws at a moment when it sees another one as healthy. That other one announced itself as
//! unhealthy later than the view was taken, and by the same rule withdraws no sooner than a settling time after. So
//! long as views are younger than the settling time, it withdraws after the last: a contradiction. So a failure that
//! all instances share never takes the last path away, without communication between them. `tests/model.rs` checks
//! this against the code.
//!
//! [`AnnouncerConfig`] is the configuration, [`Announcer`] the decisions; `health` judges the readings, `paths` counts
//! what others announce, `damping` slows an address that fails often. Times are seconds on the host's clock.

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
