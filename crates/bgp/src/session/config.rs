//! The configuration of one peer, and the attributes with which a prefix is announced to it.

use crate::open::Role;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr};

/// What is configured for one peer. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// Our AS number.
    pub local_as: u32,
    /// The peer's AS number.
    pub peer_as: u32,
    /// Our BGP identifier.
    pub identifier: Ipv4Addr,
    /// The peer's BGP identifier, if only one will do.
    pub peer_identifier: Option<Ipv4Addr>,
    /// The hold time that we offer: 0 for none, or 3 and more.
    pub hold_time: u16,
    /// By [`crate::Family`], whether it is spoken.
    pub families: [bool; 2],
    /// By [`crate::Family`]; without a next hop no prefix of the family is announced.
    pub next_hops: [Option<IpAddr>; 2],
    /// Our role towards this peer (RFC 9234).
    pub role: Option<Role>,
    /// The peer must send its role, too; means nothing without `role`.
    pub strict_role: bool,
    /// How long the peer is asked to keep our routes when the session is lost (RFC 4724), 1 to 4095. Without it none are
    /// kept, and we still keep the routes of a peer that restarts.
    pub restart_time: Option<u16>,
    /// The peer's stale routes are kept for this long at most, whatever restart time it asks for.
    pub max_stale_time: f64,
    /// We never begin a connection.
    pub passive: bool,
    /// How long a TCP connection may take to come up.
    pub connect_timeout: f64,
    /// ConnectRetryTime: the pause after an attempt that met no answer, up to a quarter less by jitter.
    pub connect_retry_time: f64,
    /// DelayOpenTime; 0 sends OPEN at once.
    pub delay_open_time: f64,
    /// How long the peer's OPEN is waited for; RFC 4271 suggests 240.
    pub open_timeout: f64,
    /// IdleHoldTime after the first failure; it doubles with each.
    pub idle_hold_time: f64,
    /// The longest that IdleHoldTime grows to.
    pub max_idle_hold_time: f64,
    /// After a session that lasted for this long, IdleHoldTime begins anew.
    pub stable_time: f64,
    /// How often our own AS may stand in a learned path: instances that share an AS see each other with 1.
    pub allowed_own_as: usize,
    /// The most routes that are learned from the peer.
    pub max_learned_routes: usize,
    /// The prefixes that we may announce; routes to others are not learned.
    pub service_prefixes: Vec<IpNet>,
}

impl PeerConfig {
    /// Both sides are of one AS (iBGP).
    pub fn internal(&self) -> bool {
        self.local_as == self.peer_as
    }

    /// Both are alike but for the service prefixes.
    pub(super) fn equals_except_services(&self, other: &PeerConfig) -> bool {
        let without_services =
            |config: &PeerConfig| PeerConfig { service_prefixes: Vec::new(), ..config.clone() };
        without_services(self) == without_services(other)
    }
}

/// The attributes with which a prefix is announced; prefixes with the same ones share UPDATEs.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Advertisement {
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// How often our AS is prepended beside the once that it must stand in the path; means nothing within one AS.
    pub prepend: u8,
    /// LOCAL_PREF; means nothing between two ASes. Without it 100 is sent.
    pub local_pref: Option<u32>,
    /// COMMUNITIES (RFC 1997).
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092).
    pub large_communities: Vec<[u32; 3]>,
}
