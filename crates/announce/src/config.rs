//! What the operator configures for the service addresses.

use crate::damping::Damping;
use crate::health::{HealthCheck, HealthCheckConfig};
use crate::paths::InstanceCommunity;
use ipnet::IpNet;

/// The attributes that make a path better or worse than others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PathPreference {
    /// MULTI_EXIT_DISC; lower is better.
    pub med: Option<u32>,
    /// How often our AS is prepended beside the once that it must stand in the path.
    pub prepend: u8,
    /// LOCAL_PREF, within one AS; higher is better.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
}

/// The level that the operator holds all addresses at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// [`crate::Level::Depreferred`], or worse where a check fails.
    Depreferred,
    /// [`crate::Level::Withdrawn`].
    Withdrawn,
}

/// What is configured for the announcements. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncerConfig {
    /// The prefixes to announce.
    pub addresses: Vec<IpNet>,
    /// Marks our paths, so that instances know each other's.
    pub instance_community: InstanceCommunity,
    /// By [`HealthCheck`].
    pub checks: [HealthCheckConfig; HealthCheck::COUNT],
    /// What an announced path carries.
    pub announced: PathPreference,
    /// What a depreferred path carries.
    pub depreferred: PathPreference,
    /// What a path of last resort carries.
    pub last_resort: PathPreference,
    /// Time between two readings.
    pub check_interval: f64,
    /// How long all checks must pass before the first announcement.
    pub start_delay: f64,
    /// How long all checks must pass before an address that was withdrawn is announced again.
    pub return_delay: f64,
    /// How long an address that returns is depreferred first.
    pub depreferred_time: f64,
    /// A move to a worse level waits up to this much more, at random.
    pub jitter_down: f64,
    /// A move to a better level waits up to this much more, at random.
    pub jitter_up: f64,
    /// The guard of the last announcer is on: see the crate's comment.
    pub guard: bool,
    /// How long an unhealthy instance announces a path of last resort before it may withdraw it. Longer than a change
    /// takes to be seen by all instances, or the guard guards nothing.
    pub settle_time: f64,
    /// Route flap damping.
    pub damping: Damping,
    /// Changes of one address in [`crate::CHANGE_CAP_WINDOW`] at the most, 2 or more.
    pub max_changes: u32,
    /// How long a drain announces GRACEFUL_SHUTDOWN (RFC 8326) before it withdraws: 0 to 0.8.
    pub shutdown_lead: f64,
    /// The level that the operator holds all addresses at.
    pub hold: Option<Hold>,
}
