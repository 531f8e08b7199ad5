//! A host for one [`Peer`] in virtual time. The other end of the session is the `Far` of the test bed.

use cleatgw_bgp::{Action, Advertisement, Capabilities, Direction, GracefulRestart, Open, Peer, PeerConfig};
use cleatgw_testbed::routers::bgp_peer::Far;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub const LOCAL_AS: u32 = 64_512;
pub const FAR_AS: u32 = 64_500;

pub fn net(text: &str) -> IpNet {
    text.parse().unwrap()
}

pub fn config() -> PeerConfig {
    PeerConfig {
        local_as: LOCAL_AS,
        peer_as: FAR_AS,
        identifier: Ipv4Addr::new(192, 0, 2, 1),
        peer_identifier: None,
        hold_time: 9,
        families: [true, true],
        next_hops: [Some("192.0.2.1".parse().unwrap()), Some("2001:db8::1".parse().unwrap())],
        role: None,
        strict_role: false,
        restart_time: None,
        max_stale_time: 120.0,
        passive: false,
        connect_timeout: 5.0,
        connect_retry_time: 8.0,
        delay_open_time: 0.0,
        open_timeout: 20.0,
        idle_hold_time: 1.0,
        max_idle_hold_time: 16.0,
        stable_time: 30.0,
        allowed_own_as: 1,
        max_learned_routes: 64,
        service_prefixes: vec![net("198.51.100.7/32"), net("2001:db8::7/128")],
    }
}

pub fn graceful_restart(restart_time: u16) -> Option<GracefulRestart> {
    Some(GracefulRestart {
        restart_state: false,
        notification_support: true,
        restart_time,
        families: [Some(true), Some(true)],
    })
}

pub fn far_open() -> Open {
    Open {
        asn: FAR_AS,
        hold_time: 30,
        identifier: Ipv4Addr::new(192, 0, 2, 99),
        capabilities: Capabilities {
            families: [true, true],
            four_octet_as: Some(FAR_AS),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: None,
            role: None,
        },
    }
}

/// These prefixes with default attributes.
pub fn default_advertisements(prefixes: &[&str]) -> BTreeMap<IpNet, Advertisement> {
    prefixes.iter().map(|prefix| (net(prefix), Advertisement::default())).collect()
}

/// Both service prefixes with default attributes.
pub fn both_prefixes() -> BTreeMap<IpNet, Advertisement> {
    default_advertisements(&["198.51.100.7/32", "2001:db8::7/128"])
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Network {
    Up,
    Refuses,
    /// A connection attempt neither succeeds nor fails.
    Silent,
}

#[derive(Clone)]
pub struct Host {
    pub peer: Peer,
    pub far: Far,
    pub now: f64,
    pub network: Network,
    /// The direction of the connection that the far end has open; `None` if it has none.
    pub far_connection: Option<Direction>,
    /// Whether bytes are delivered, in both directions.
    pub delivers_bytes: bool,
}

impl Host {
    pub fn new(config: PeerConfig, open: Open) -> Host {
        let peer = Peer::new(config, 1, 0.0);
        Host {
            peer,
            far: Far::new(open),
            now: 0.0,
            network: Network::Up,
            far_connection: None,
            delivers_bytes: true,
        }
    }

    /// A host whose session is established, with these routes announced.
    pub fn with_session(config: PeerConfig, open: Open, announced: BTreeMap<IpNet, Advertisement>) -> Host {
        let mut host = Host::new(config, open);
        host.peer.announce(announced, 0.0);
        host.run(0.1);
        assert!(host.far.established, "{:?}", host.peer.last_error);
        host
    }

    /// Performs the actions that the peer requests. Returns whether there were any.
    pub fn perform_actions(&mut self) -> bool {
        let mut acted = false;
        while let Some(action) = self.peer.next_action() {
            acted = true;
            match action {
                Action::Connect => match self.network {
                    Network::Up => {
                        assert!(self.peer.connected(Direction::Outgoing, self.now));
                        self.set_far_connection(Direction::Outgoing);
                    }
                    Network::Refuses => self.peer.closed(Direction::Outgoing, "refused", self.now),
                    Network::Silent => {}
                },
                Action::Close(direction) if self.far_connection == Some(direction) => {
                    self.far_connection = None;
                    self.far.ended(None);
                }
                Action::Close(_) => {}
            }
        }
        acted
    }

    /// Delivers the peer's unsent bytes to the far end. Returns whether there were any.
    pub fn deliver_output(&mut self) -> bool {
        let Some(direction) = self.far_connection else { return false };
        let output = self.peer.unsent(direction).to_vec();
        if !output.is_empty() {
            let is_open = self.far.bytes(&output);
            self.peer.written(direction, output.len(), self.now);
            if !is_open {
                self.far_connection = None;
                self.peer.closed(direction, "closed", self.now);
            }
        }
        !output.is_empty()
    }

    /// Delivers the far end's bytes to the peer. Returns whether the peer consumed any.
    pub fn deliver_input(&mut self) -> bool {
        let Some(direction) = self.far_connection else { return false };
        let input = std::mem::take(&mut self.far.out);
        let mut rest = &input[..];
        loop {
            let received = self.peer.receive(direction, rest, self.now);
            rest = &rest[received.consumed..];
            if !received.may_have_more {
                break;
            }
        }
        self.far.out = rest.to_vec();
        rest.len() < input.len()
    }

    /// Resets a connection that the far end no longer has, if the peer has unsent bytes on it. Returns whether there
    /// was one.
    pub fn reset_forgotten_connection(&mut self) -> bool {
        let forgotten = [Direction::Outgoing, Direction::Incoming].into_iter().find(|direction| {
            self.far_connection != Some(*direction) && !self.peer.unsent(*direction).is_empty()
        });
        forgotten.inspect(|direction| self.peer.closed(*direction, "reset", self.now)).is_some()
    }

    /// Performs the peer's actions and delivers bytes until nothing is left to do.
    pub fn settle(&mut self) {
        self.peer.run_timers(self.now);
        for _ in 0..100 {
            let acted = self.perform_actions();
            let delivered = self.delivers_bytes
                && (self.deliver_output() | self.deliver_input() | self.reset_forgotten_connection());
            if !acted && !delivered {
                return;
            }
        }
        panic!("still active after 100 rounds");
    }

    /// Records that the far end has this connection open, and starts its side of the session.
    pub fn set_far_connection(&mut self, direction: Direction) {
        self.far_connection = Some(direction);
        self.far.connected();
    }

    /// Opens a connection from the far end. Returns whether the peer accepts it.
    pub fn connect_from_far(&mut self) -> bool {
        let is_accepted = self.peer.connected(Direction::Incoming, self.now);
        if is_accepted {
            self.set_far_connection(Direction::Incoming);
        }
        is_accepted
    }

    /// Advances the clock by `duration` seconds, and stops at each time at which a timer is due.
    pub fn run(&mut self, duration: f64) {
        let until = self.now + duration;
        self.settle();
        for _ in 0..10_000 {
            let due = self.peer.due();
            if due > until {
                self.now = until;
                self.settle();
                return;
            }
            assert!(due > self.now - 1e-9, "timer due at {due}, before the current time {}", self.now);
            self.now = due.max(self.now);
            self.settle();
        }
        panic!("more than 10000 timers within {duration} s");
    }

    /// Resets the connection; bytes that are not delivered yet are lost.
    pub fn reset_connection(&mut self) {
        if let Some(direction) = self.far_connection.take() {
            self.far.ended(None);
            self.peer.closed(direction, "reset", self.now);
        }
    }

    /// Whether the far end holds a route to this prefix, including a retained one.
    pub fn far_has_route(&self, prefix: &str) -> bool {
        self.far.table.contains_key(&net(prefix))
    }

    /// The number of our routes that the far end holds, including retained ones.
    pub fn far_route_count(&self) -> usize {
        self.far.table.len()
    }
}
