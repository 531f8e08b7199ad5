//! The configuration of one peer, and the attributes with which a prefix is announced to it.

use crate::open::Role;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr};

/// What is settled with one peer. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerTerms {
    pub asn: u32,
    pub peer_asn: u32,
    /// Our BGP identifier, and the peer's if only one will do.
    pub id: Ipv4Addr,
    pub peer_id: Option<Ipv4Addr>,
    /// The hold time that we offer: 0, or 3 and more.
    pub hold: u16,
    /// By [`crate::Family`].
    pub families: [bool; 2],
    pub next_hops: [Option<IpAddr>; 2],
    /// Ours towards this peer (RFC 9234), and whether the peer must tell its own.
    pub role: Option<Role>,
    pub strict_role: bool,
    /// How long the peer is asked to keep our routes when the session is lost (RFC 4724); without it none are kept,
    /// and we still wait for a peer that restarts.
    pub graceful: Option<u16>,
    /// The peer's stale routes are believed for this long at most.
    pub believe_stale: f64,
    /// We never begin a connection.
    pub passive: bool,
    /// How long a connection may take to come up, and ConnectRetryTime.
    pub connect_wait: f64,
    pub connect_retry: f64,
    /// DelayOpenTime; 0 sends OPEN at once.
    pub delay_open: f64,
    /// How long an OPEN is waited for; RFC 4271 suggests 240.
    pub open_wait: f64,
    /// IdleHoldTime after the first failure; it doubles with each, up to the other.
    pub idle_hold: f64,
    pub idle_hold_most: f64,
    /// A session that lasted for this long was no flap.
    pub stable: f64,
    /// How often our own AS may stand in a learned path: instances that share an AS see each other with 1.
    pub own_as_allowed: usize,
    pub most_learned: usize,
    pub services: Vec<IpNet>,
}

impl PeerTerms {
    pub fn internal(&self) -> bool {
        self.asn == self.peer_asn
    }

    /// Both are alike but for the service addresses.
    pub(super) fn equals_except_services(&self, other: &PeerTerms) -> bool {
        let without_services = |terms: &PeerTerms| PeerTerms { services: Vec::new(), ..terms.clone() };
        without_services(self) == without_services(other)
    }
}

/// How one service address is announced.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    pub med: Option<u32>,
    /// Our AS so many times more; means nothing within one AS.
    pub prepend: u8,
    /// Means nothing between two.
    pub local_pref: Option<u32>,
    pub communities: Vec<u32>,
    pub large_communities: Vec<[u32; 3]>,
}
