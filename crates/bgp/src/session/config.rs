//! The configuration of one peer, and the attributes with which prefixes are announced to it.

use crate::open::Role;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr};

/// The configuration of one peer. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// Our AS number.
    pub local_as: u32,
    /// The peer's AS number.
    pub peer_as: u32,
    /// Our BGP identifier.
    pub identifier: Ipv4Addr,
    /// The BGP identifier that the peer must send; `None` if any is accepted.
    pub peer_identifier: Option<Ipv4Addr>,
    /// The hold time that we propose: 0 for none, or at least 3.
    pub hold_time: u16,
    /// Indexed by [`crate::Family`]: whether the family is enabled.
    pub families: [bool; 2],
    /// Indexed by [`crate::Family`]: our next hop; without one no prefix of the family is announced.
    pub next_hops: [Option<IpAddr>; 2],
    /// Our role towards this peer (RFC 9234).
    pub role: Option<Role>,
    /// Whether the peer must send its role, too; has no effect without `role`.
    pub strict_role: bool,
    /// How long the peer is asked to retain our routes after the session is lost (RFC 4724), 1 to 4095. If absent, the
    /// peer retains none of our routes; we still retain the routes of a peer that restarts.
    pub restart_time: Option<u16>,
    /// The maximum time for which the peer's stale routes are retained, even if the peer's restart time is longer.
    pub max_stale_time: f64,
    /// Whether we never open a connection and only accept the peer's.
    pub passive: bool,
    /// The time limit for establishing a TCP connection.
    pub connect_timeout: f64,
    /// ConnectRetryTime: the pause after a connection that was not established or ended before our OPEN was sent;
    /// jitter shortens it by up to a quarter.
    pub connect_retry_time: f64,
    /// DelayOpenTime: how long we wait for the peer's OPEN before we send ours; with 0, OPEN is sent at once.
    pub delay_open_time: f64,
    /// The time limit for receiving the peer's OPEN; RFC 4271 suggests 240.
    pub open_timeout: f64,
    /// IdleHoldTime after the first connection that ended after our OPEN was sent; it doubles with each further one.
    pub idle_hold_time: f64,
    /// The maximum of IdleHoldTime.
    pub max_idle_hold_time: f64,
    /// After a session that lasted for at least this time, IdleHoldTime is reset to its initial value.
    pub stable_time: f64,
    /// How often our own AS may occur in a learned path. With 1, instances that share an AS can see each other's
    /// routes.
    pub allowed_own_as: usize,
    /// The maximum number of routes that are learned from the peer.
    pub max_learned_routes: usize,
    /// The prefixes that we may announce; routes outside them are not learned.
    pub service_prefixes: Vec<IpNet>,
}

impl PeerConfig {
    /// Whether both sides are in the same AS (iBGP).
    pub fn is_internal(&self) -> bool {
        self.local_as == self.peer_as
    }

    /// Whether the two configurations differ at most in the service prefixes.
    pub(super) fn equals_except_services(&self, other: &PeerConfig) -> bool {
        let without_services =
            |config: &PeerConfig| PeerConfig { service_prefixes: Vec::new(), ..config.clone() };
        without_services(self) == without_services(other)
    }
}

/// The attributes with which a prefix is announced; prefixes with the same attributes share UPDATEs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Advertisement {
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// How many additional times our AS is prepended to the path, which contains it once anyway; has no effect in iBGP
    /// sessions.
    pub prepend: u8,
    /// LOCAL_PREF; sent only in iBGP sessions, as 100 if absent.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
}
