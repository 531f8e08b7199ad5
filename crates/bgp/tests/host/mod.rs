//! A host for one peer in virtual time, with the far end of the test bed behind it.

use cleatgw_bgp::{Action, Advertisement, Capabilities, Direction, GracefulRestart, Open, Peer, PeerConfig};
use cleatgw_testbed::routers::bgp_peer::Far;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub const OURS: u32 = 64_512;
pub const THEIRS: u32 = 64_500;

pub fn net(word: &str) -> IpNet {
    word.parse().unwrap()
}

pub fn config() -> PeerConfig {
    PeerConfig {
        local_as: OURS,
        peer_as: THEIRS,
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

pub fn graceful(time: u16) -> Option<GracefulRestart> {
    Some(GracefulRestart {
        restart_state: false,
        notification_support: true,
        restart_time: time,
        families: [Some(true), Some(true)],
    })
}

pub fn far_open() -> Open {
    Open {
        asn: THEIRS,
        hold_time: 30,
        identifier: Ipv4Addr::new(192, 0, 2, 99),
        capabilities: Capabilities {
            families: [true, true],
            four_octet_as: Some(THEIRS),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: None,
            role: None,
        },
    }
}

pub fn wanted(words: &[&str]) -> BTreeMap<IpNet, Advertisement> {
    words.iter().map(|word| (net(word), Advertisement::default())).collect()
}

pub fn both() -> BTreeMap<IpNet, Advertisement> {
    wanted(&["198.51.100.7/32", "2001:db8::7/128"])
}

/// What becomes of connections that are begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Net {
    Up,
    Refuses,
    /// Neither comes up nor fails.
    Silent,
}

#[derive(Clone)]
pub struct Host {
    pub peer: Peer,
    pub far: Far,
    pub now: f64,
    pub net: Net,
    /// The connection that the far end is on.
    pub on: Option<Direction>,
    /// Bytes are carried, both ways.
    pub carries: bool,
}

impl Host {
    pub fn new(config: PeerConfig, open: Open) -> Host {
        let peer = Peer::new(config, 1, 0.0);
        Host { peer, far: Far::new(open), now: 0.0, net: Net::Up, on: None, carries: true }
    }

    /// A session that is up, with these announced.
    pub fn up(config: PeerConfig, open: Open, announced: BTreeMap<IpNet, Advertisement>) -> Host {
        let mut host = Host::new(config, open);
        host.peer.announce(announced, 0.0);
        host.run(0.1);
        assert!(host.far.established, "{:?}", host.peer.last_error);
        host
    }

    /// Does what the peer asks.
    pub fn acts(&mut self) -> bool {
        let mut moved = false;
        while let Some(act) = self.peer.next_action() {
            moved = true;
            match act {
                Action::Connect => match self.net {
                    Net::Up => {
                        assert!(self.peer.connected(Direction::Outgoing, self.now));
                        self.begin(Direction::Outgoing);
                    }
                    Net::Refuses => self.peer.closed(Direction::Outgoing, "refused", self.now),
                    Net::Silent => {}
                },
                Action::Close(side) if self.on == Some(side) => {
                    self.on = None;
                    self.far.ended(None);
                }
                Action::Close(_) => {}
            }
        }
        moved
    }

    /// Carries what the peer has written.
    pub fn carry_out(&mut self) -> bool {
        let Some(side) = self.on else { return false };
        let out = self.peer.unsent(side).to_vec();
        if !out.is_empty() {
            let goes_on = self.far.bytes(&out);
            self.peer.written(side, out.len(), self.now);
            if !goes_on {
                self.on = None;
                self.peer.closed(side, "closed", self.now);
            }
        }
        !out.is_empty()
    }

    /// Carries what the far end has written.
    pub fn carry_in(&mut self) -> bool {
        let Some(side) = self.on else { return false };
        let input = std::mem::take(&mut self.far.out);
        let mut rest = &input[..];
        loop {
            let received = self.peer.receive(side, rest, self.now);
            rest = &rest[received.consumed..];
            if !received.may_have_more {
                break;
            }
        }
        self.far.out = rest.to_vec();
        rest.len() < input.len()
    }

    /// A connection that the far end knows nothing of any more is reset by what is written on it.
    pub fn forgotten(&mut self) -> bool {
        let forgotten = [Direction::Outgoing, Direction::Incoming]
            .into_iter()
            .find(|side| self.on != Some(*side) && !self.peer.unsent(*side).is_empty());
        forgotten.inspect(|side| self.peer.closed(*side, "reset", self.now)).is_some()
    }

    /// Does what the peer asks and carries what was written, until nothing is left.
    pub fn settle(&mut self) {
        self.peer.run_timers(self.now);
        for _ in 0..100 {
            let acted = self.acts();
            let carried = self.carries && (self.carry_out() | self.carry_in() | self.forgotten());
            if !acted && !carried {
                return;
            }
        }
        panic!("never comes to rest");
    }

    /// The far end is on this connection now.
    pub fn begin(&mut self, side: Direction) {
        self.on = Some(side);
        self.far.connected();
    }

    /// The far end connects; tells whether that is taken.
    pub fn arrives(&mut self) -> bool {
        let taken = self.peer.connected(Direction::Incoming, self.now);
        if taken {
            self.begin(Direction::Incoming);
        }
        taken
    }

    /// Time passes from due time to due time.
    pub fn run(&mut self, time: f64) {
        let until = self.now + time;
        self.settle();
        for _ in 0..10_000 {
            let due = self.peer.due();
            if due > until {
                self.now = until;
                self.settle();
                return;
            }
            assert!(due > self.now - 1e-9, "due in the past: {due} at {}", self.now);
            self.now = due.max(self.now);
            self.settle();
        }
        panic!("too many due times within {time} s");
    }

    /// The connection breaks off, with what was under way.
    pub fn reset(&mut self) {
        if let Some(side) = self.on.take() {
            self.far.ended(None);
            self.peer.closed(side, "reset", self.now);
        }
    }

    pub fn has(&self, word: &str) -> bool {
        self.far.table.contains_key(&net(word))
    }

    /// Routes of ours at the far end, kept ones too.
    pub fn held(&self) -> usize {
        self.far.table.len()
    }
}
