//! The part on BGP: who we are, and our peers.

#![allow(missing_docs, reason = "doc comments here are texts of the checked-in schema, which stays as it is")]

use crate::{invalid, OperatorFileError};
use cleatgw_bgp::{PeerConfig, Role};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const MOST_PEERS: usize = 16;

/// Who we are, and the routing peers that we announce to.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BgpPart {
    /// Our autonomous system number, 1 to 4294967295. Can't change while running.
    #[schemars(range(min = 1))]
    pub asn: u32,
    /// Our BGP identifier, unique among all instances: it is also the mark by which they tell each other's paths
    /// apart. Can't change while running.
    pub identifier: Ipv4Addr,
    /// Where peers may connect to us, for those that are passive or begin sessions themselves. Absent: no listener.
    /// Can't change while running.
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// At most 16.
    #[schemars(length(max = 16))]
    pub peers: Vec<PeerPart>,
}

/// One routing peer. Times are seconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PeerPart {
    /// What the log calls it.
    pub name: String,
    /// Where it listens; only the address counts where it connects to us.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    pub asn: u32,
    /// The identifier that it must have; absent: any.
    pub identifier: Option<Ipv4Addr>,
    /// The address that we connect from; absent: the system's choice.
    pub from: Option<IpAddr>,
    /// We wait for it to connect; needs `listen`.
    pub passive: bool,
    /// The next hop that we announce for IPv4 addresses; absent: none is announced to this peer.
    pub next_hop_ipv4: Option<Ipv4Addr>,
    pub next_hop_ipv6: Option<std::net::Ipv6Addr>,
    /// The hold time offered: 0, or 3 and more.
    pub hold_s: u16,
    /// Our role towards it (RFC 9234), and whether it must tell its own.
    pub role: Option<RolePart>,
    pub strict_role: bool,
    /// Asks it to keep our routes for so long when the session is lost (RFC 4724), 1 to 4095. Absent: none are kept,
    /// so a crash of ours takes its routes along.
    pub graceful_restart_s: Option<u16>,
    /// It is so many hops away at most (RFC 5082): packets from further are dropped by the system. Absent: any.
    pub hops: Option<u8>,
    /// How often our own AS may stand in a path that it shows us; 1 where instances share an AS.
    pub own_as_allowed: u8,
    /// Paths to our addresses that are remembered of it.
    pub most_routes: u32,
    pub connect_s: f64,
    pub connect_retry_s: f64,
    pub delay_open_s: f64,
    pub open_s: f64,
    /// The pause after a lost session; it doubles with each up to the other, and begins anew after a session that
    /// lasted for `stable_s`.
    pub idle_hold_s: f64,
    pub idle_hold_most_s: f64,
    pub stable_s: f64,
    /// Stale paths of a peer that restarts are believed for so long at most.
    pub believe_stale_s: f64,
}

/// RFC 9234: what we are to the peer.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolePart {
    Provider,
    RouteServer,
    RouteServerClient,
    Customer,
    Peer,
}

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

/// A time, in seconds, within bounds.
pub(crate) fn seconds(path: &str, value: f64, least: f64, most: f64) -> Result<(), OperatorFileError> {
    match (least..=most).contains(&value) {
        true => Ok(()),
        false => invalid(path, &format!("seconds from {least} to {most}"), value),
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
        if self.peers.len() > MOST_PEERS {
            return invalid("bgp.peers", "at most 16 peers", self.peers.len());
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (at, peer) in self.peers.iter().enumerate() {
            let path = |field: &str| format!("bgp.peers[{at}].{field}");
            peer.check(&path)?;
            if peer.passive && self.listen.is_none() {
                return invalid(path("passive"), "bgp.listen for a passive peer", "none");
            }
            if !names.insert(&peer.name) {
                return invalid(path("name"), "a name of its own", &peer.name);
            }
            // Who connects to us is known by its address alone.
            if !addresses.insert(peer.address.ip()) && self.listen.is_some() {
                return invalid(path("address"), "an address of its own, as bgp.listen is set", peer.address);
            }
        }
        Ok(())
    }
}

impl PeerPart {
    fn check(&self, path: &dyn Fn(&str) -> String) -> Result<(), OperatorFileError> {
        let plain = |byte: u8| byte.is_ascii_graphic();
        if !(1..=32).contains(&self.name.len()) || !self.name.bytes().all(plain) {
            return invalid(path("name"), "1 to 32 letters without blanks", format!("{:?}", self.name));
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return invalid(path("address"), "an address and a port", self.address);
        }
        if let Some(from) = self.from.filter(|from| from.is_ipv4() != self.address.is_ipv4()) {
            return invalid(path("from"), "an address of the peer's family", from);
        }
        if self.asn == 0 {
            return invalid(path("asn"), "1 to 4294967295", 0);
        }
        if matches!(self.hold_s, 1 | 2) {
            return invalid(path("hold_s"), "0, or 3 to 65535", self.hold_s);
        }
        if self.strict_role && self.role.is_none() {
            return invalid(path("strict_role"), "a role beside it", "none");
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
        seconds(&path("connect_s"), self.connect_s, 0.1, 60.0)?;
        seconds(&path("connect_retry_s"), self.connect_retry_s, 0.1, 600.0)?;
        seconds(&path("delay_open_s"), self.delay_open_s, 0.0, 60.0)?;
        seconds(&path("open_s"), self.open_s, 1.0, 600.0)?;
        seconds(&path("idle_hold_s"), self.idle_hold_s, 0.1, 600.0)?;
        seconds(&path("idle_hold_most_s"), self.idle_hold_most_s, self.idle_hold_s, 3600.0)?;
        seconds(&path("stable_s"), self.stable_s, 0.0, 3600.0)?;
        seconds(&path("believe_stale_s"), self.believe_stale_s, 0.0, 4095.0)
    }

    /// What is settled with this peer, for the session.
    pub fn peer_config(&self, bgp: &BgpPart, services: &[IpNet]) -> PeerConfig {
        let of = |is: fn(&IpNet) -> bool| services.iter().any(is);
        let hops = [self.next_hop_ipv4.map(IpAddr::from), self.next_hop_ipv6.map(IpAddr::from)];
        let spoken = [of(|net| matches!(net, IpNet::V4(_))), of(|net| matches!(net, IpNet::V6(_)))];
        PeerConfig {
            local_as: bgp.asn,
            peer_as: self.asn,
            identifier: bgp.identifier,
            peer_identifier: self.identifier,
            hold_time: self.hold_s,
            families: [spoken[0] && hops[0].is_some(), spoken[1] && hops[1].is_some()],
            next_hops: hops,
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
