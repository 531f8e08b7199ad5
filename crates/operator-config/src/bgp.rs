//! The BGP section of the service file: this speaker and its peers.

#![allow(
    missing_docs,
    reason = "some fields need no description in the schema, which is derived from the doc comments"
)]

use crate::{invalid, OperatorFileError};
use cleatgw_bgp::{PeerConfig, Role};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const MAX_PEERS: usize = 16;

/// This router as a BGP speaker, and the routing peers that it announces to.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BgpPart {
    /// Our autonomous system number, 1 to 4294967295. Can't change while running.
    #[schemars(range(min = 1))]
    pub asn: u32,
    /// Our BGP identifier, which must be unique among all instances: it is also part of the large community by which
    /// instances tell each other's paths apart. Can't change while running.
    pub identifier: Ipv4Addr,
    /// The address at which peers can connect to us. Needed for passive peers, and for peers that open sessions
    /// themselves. Absent: no peer can connect to us. Can't change while running.
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// The routing peers, at most 16.
    #[schemars(length(max = 16))]
    pub peers: Vec<PeerPart>,
}

/// One routing peer. Times are in seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PeerPart {
    /// The name of the peer in the log: 1 to 32 printable ASCII characters without spaces.
    pub name: String,
    /// The address and port at which the peer listens. If the peer connects to us, only the address counts.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The peer's autonomous system number, 1 to 4294967295.
    pub asn: u32,
    /// The BGP identifier that the peer must have. Absent: any.
    pub identifier: Option<Ipv4Addr>,
    /// The local address from which we connect. Absent: the system chooses one.
    pub from: Option<IpAddr>,
    /// Whether we wait for the peer to connect instead of connecting to it; needs `listen`.
    pub passive: bool,
    /// The next hop that we announce for IPv4 addresses. Absent: IPv4 addresses are not announced to this peer. At
    /// least one of the two next hops is needed.
    pub next_hop_ipv4: Option<Ipv4Addr>,
    /// The same for IPv6 addresses.
    pub next_hop_ipv6: Option<std::net::Ipv6Addr>,
    /// The hold time that we offer: 0 (no KEEPALIVE messages), or 3 or more.
    pub hold_s: u16,
    /// Our role towards the peer (RFC 9234).
    pub role: Option<RolePart>,
    /// Whether the peer must send its role as well; needs `role`.
    pub strict_role: bool,
    /// How long we ask the peer to keep our routes after the session is lost (RFC 4724), 1 to 4095. Absent: it keeps
    /// none, so a crash of this router also removes its routes.
    pub graceful_restart_s: Option<u16>,
    /// The largest distance of the peer in hops, at least 1 (RFC 5082): the system drops packets from further away.
    /// Absent: any distance.
    pub hops: Option<u8>,
    /// How many times our own AS may occur in a path learned from the peer; 1 is needed if instances share an AS.
    pub own_as_allowed: u8,
    /// The largest number of paths to our addresses that are remembered from the peer, 1 to 100000.
    pub most_routes: u32,
    /// How long a connection attempt may take.
    pub connect_s: f64,
    /// The pause after a connection that was not established or ended before our OPEN was sent; jitter shortens it by
    /// up to a quarter.
    pub connect_retry_s: f64,
    /// How long we wait for the peer's OPEN before we send ours; with 0, we send it at once.
    pub delay_open_s: f64,
    /// The time limit for receiving the peer's OPEN.
    pub open_s: f64,
    /// The pause after a connection that ended after our OPEN was sent; jitter shortens it by up to a quarter. It
    /// doubles with each further such connection up to `idle_hold_most_s`, and returns to this value after a session
    /// that lasted for `stable_s`.
    pub idle_hold_s: f64,
    /// The longest pause after a connection that ended after our OPEN was sent.
    pub idle_hold_most_s: f64,
    /// The duration of a session after which `idle_hold_s` applies again.
    pub stable_s: f64,
    /// The longest time for which stale paths of a restarting peer are kept.
    pub believe_stale_s: f64,
}

/// Our role towards the peer (RFC 9234).
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolePart {
    Provider,
    RouteServer,
    RouteServerClient,
    Customer,
    Peer,
}

// `name`, `address` and `asn` have to be given: `check` rejects their defaults.
impl Default for PeerPart {
    fn default() -> PeerPart {
        PeerPart {
            name: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 179)),
            asn: 0,
            identifier: None,
            from: None,
            passive: false,
            next_hop_ipv4: None,
            next_hop_ipv6: None,
            hold_s: 9,
            role: None,
            strict_role: false,
            graceful_restart_s: None,
            hops: None,
            own_as_allowed: 1,
            most_routes: 1000,
            connect_s: 5.0,
            connect_retry_s: 5.0,
            delay_open_s: 0.0,
            open_s: 30.0,
            idle_hold_s: 0.5,
            idle_hold_most_s: 8.0,
            stable_s: 60.0,
            believe_stale_s: 120.0,
        }
    }
}

/// Checks that a time in seconds is within bounds.
pub(crate) fn check_seconds(path: &str, value: f64, min: f64, max: f64) -> Result<(), OperatorFileError> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => invalid(path, &format!("seconds from {min} to {max}"), value),
    }
}

impl BgpPart {
    pub(crate) fn check(&self) -> Result<(), OperatorFileError> {
        if self.asn == 0 {
            return invalid("bgp.asn", "1 to 4294967295", 0);
        }
        if self.identifier.is_unspecified() {
            return invalid("bgp.identifier", "an address other than 0.0.0.0", self.identifier);
        }
        if self.peers.len() > MAX_PEERS {
            return invalid("bgp.peers", "at most 16 peers", self.peers.len());
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let path = |field: &str| format!("bgp.peers[{index}].{field}");
            peer.check(&path)?;
            if peer.passive && self.listen.is_none() {
                return invalid(path("passive"), "bgp.listen for a passive peer", "none");
            }
            if !names.insert(&peer.name) {
                return invalid(path("name"), "a unique name", &peer.name);
            }
            // A peer that connects to us is identified only by its address.
            if !addresses.insert(peer.address.ip()) && self.listen.is_some() {
                return invalid(path("address"), "a unique address, as bgp.listen is set", peer.address);
            }
        }
        Ok(())
    }
}

impl PeerPart {
    fn check(&self, path: &dyn Fn(&str) -> String) -> Result<(), OperatorFileError> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic();
        if !(1..=32).contains(&self.name.len()) || !self.name.bytes().all(is_allowed) {
            return invalid(
                path("name"),
                "1 to 32 printable ASCII characters without spaces",
                format!("{:?}", self.name),
            );
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return invalid(
                path("address"),
                "an address other than 0.0.0.0 and ::, and a port other than 0",
                self.address,
            );
        }
        if let Some(from) = self.from.filter(|from| from.is_ipv4() != self.address.is_ipv4()) {
            return invalid(path("from"), "an address of the same family (IPv4 or IPv6) as the peer's", from);
        }
        if self.asn == 0 {
            return invalid(path("asn"), "1 to 4294967295", 0);
        }
        if matches!(self.hold_s, 1 | 2) {
            return invalid(path("hold_s"), "0, or 3 to 65535", self.hold_s);
        }
        if self.strict_role && self.role.is_none() {
            return invalid(path("strict_role"), "a role, which strict_role needs", "none");
        }
        if let Some(time) = self.graceful_restart_s.filter(|time| !(1..=4095).contains(time)) {
            return invalid(path("graceful_restart_s"), "1 to 4095", time);
        }
        if self.hops == Some(0) {
            return invalid(path("hops"), "1 to 255", 0);
        }
        if self.next_hop_ipv4.is_none() && self.next_hop_ipv6.is_none() {
            return invalid(path("next_hop_ipv4"), "a next hop of at least one family", "none");
        }
        if !(1..=100_000).contains(&self.most_routes) {
            return invalid(path("most_routes"), "1 to 100000", self.most_routes);
        }
        check_seconds(&path("connect_s"), self.connect_s, 0.1, 60.0)?;
        check_seconds(&path("connect_retry_s"), self.connect_retry_s, 0.1, 600.0)?;
        check_seconds(&path("delay_open_s"), self.delay_open_s, 0.0, 60.0)?;
        check_seconds(&path("open_s"), self.open_s, 1.0, 600.0)?;
        check_seconds(&path("idle_hold_s"), self.idle_hold_s, 0.1, 600.0)?;
        check_seconds(&path("idle_hold_most_s"), self.idle_hold_most_s, self.idle_hold_s, 3600.0)?;
        check_seconds(&path("stable_s"), self.stable_s, 0.0, 3600.0)?;
        check_seconds(&path("believe_stale_s"), self.believe_stale_s, 0.0, 4095.0)
    }

    /// The configuration of our session with this peer, on which the prefixes `services` are announced.
    pub fn peer_config(&self, bgp: &BgpPart, services: &[IpNet]) -> PeerConfig {
        let has_service = |is_in_family: fn(&IpNet) -> bool| services.iter().any(is_in_family);
        // By family: IPv4, IPv6.
        let next_hops = [self.next_hop_ipv4.map(IpAddr::from), self.next_hop_ipv6.map(IpAddr::from)];
        let has_services = [
            has_service(|prefix| matches!(prefix, IpNet::V4(_))),
            has_service(|prefix| matches!(prefix, IpNet::V6(_))),
        ];
        PeerConfig {
            local_as: bgp.asn,
            peer_as: self.asn,
            identifier: bgp.identifier,
            peer_identifier: self.identifier,
            hold_time: self.hold_s,
            families: [has_services[0] && next_hops[0].is_some(), has_services[1] && next_hops[1].is_some()],
            next_hops,
            role: self.role.map(|role| match role {
                RolePart::Provider => Role::Provider,
                RolePart::RouteServer => Role::RouteServer,
                RolePart::RouteServerClient => Role::RouteServerClient,
                RolePart::Customer => Role::Customer,
                RolePart::Peer => Role::Peer,
            }),
            strict_role: self.strict_role,
            restart_time: self.graceful_restart_s,
            max_stale_time: self.believe_stale_s,
            passive: self.passive,
            connect_timeout: self.connect_s,
            connect_retry_time: self.connect_retry_s,
            delay_open_time: self.delay_open_s,
            open_timeout: self.open_s,
            idle_hold_time: self.idle_hold_s,
            max_idle_hold_time: self.idle_hold_most_s,
            stable_time: self.stable_s,
            allowed_own_as: self.own_as_allowed.into(),
            max_learned_routes: self.most_routes as usize,
            service_prefixes: services.to_vec(),
        }
    }
}
