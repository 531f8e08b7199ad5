//! The configuration of the service addresses.

use crate::damping::Damping;
use crate::health::{HealthCheck, HealthCheckConfig};
use crate::paths::InstanceCommunity;
use ipnet::IpNet;

/// The path attributes by which peers prefer one path to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PathPreference {
    /// MULTI_EXIT_DISC; a lower one is preferred.
    pub med: Option<u32>,
    /// How many times our AS is prepended in addition to the one occurrence that the path needs.
    pub prepend: u8,
    /// LOCAL_PREF, used within one AS; a higher one is preferred.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
}

/// The level at which the operator holds all addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// [`crate::Level::Depreferred`], or a worse level if a check that withdraws fails.
    Depreferred,
    /// [`crate::Level::Withdrawn`].
    Withdrawn,
}

/// The configuration of the announcements. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncerConfig {
    /// The prefixes to announce.
    pub addresses: Vec<IpNet>,
    /// The mark on our paths, by which instances tell each other's paths apart.
    pub instance_community: InstanceCommunity,
    /// The configuration of each check, indexed by [`HealthCheck`].
    pub checks: [HealthCheckConfig; HealthCheck::COUNT],
    /// The attributes of an announced path.
    pub announced: PathPreference,
    /// The attributes of a depreferred path.
    pub depreferred: PathPreference,
    /// The attributes of a path of last resort.
    pub last_resort: PathPreference,
    /// The time between two readings.
    pub check_interval: f64,
    /// How long all checks that withdraw must pass before the first announcement.
    pub start_delay: f64,
    /// How long all checks that withdraw must pass before a withdrawn address is announced again.
    pub return_delay: f64,
    /// How long an address stays depreferred, when it is announced for the first time or again, before it is announced
    /// normally.
    pub depreferred_time: f64,
    /// The longest random delay of a move to a worse level.
    pub jitter_down: f64,
    /// The longest random delay of a move to a better level.
    pub jitter_up: f64,
    /// Whether the guard of the last announcer is on (see the documentation of the crate).
    pub guard: bool,
    /// How long an unhealthy instance announces a path of last resort before it may withdraw it. It must be longer
    /// than a change takes to become visible to all instances; otherwise the guard has no effect.
    pub settle_time: f64,
    /// Route flap damping.
    pub damping: Damping,
    /// The largest number of changes of one address within [`crate::CHANGE_CAP_WINDOW`]; 2 or more.
    pub max_changes: u32,
    /// How long a drain announces GRACEFUL_SHUTDOWN (RFC 8326) before it withdraws; 0 to 0.8.
    pub shutdown_lead: f64,
    /// The level at which the operator holds all addresses; `None` if they are not held.
    pub hold: Option<Hold>,
}
