//! One TCP connection of a peer, from its attempt to its last message, with the Adj-RIB-Out that was sent on it.

use super::Advertisement;
use crate::family::Family;
use crate::open::{Capabilities, GracefulRestart, Open};
use crate::update::UpdateContext;
use ipnet::IpNet;
use std::collections::BTreeMap;

/// RFC 9687: seconds for which a peer may accept no byte, at the least. Twice the hold time if that is longer.
const MIN_SEND_HOLD_TIME: f64 = 30.0;

/// Who began a connection (RFC 4271 section 8.2.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// We did.
    Outgoing,
    /// The peer did.
    Incoming,
}

impl Direction {
    pub(super) const BOTH: [Direction; 2] = [Direction::Outgoing, Direction::Incoming];

    pub(super) fn other(self) -> Direction {
        match self {
            Direction::Outgoing => Direction::Incoming,
            Direction::Incoming => Direction::Outgoing,
        }
    }
}

/// The states of RFC 4271 section 8.2.2; of two connections the further one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Connections are refused until IdleHoldTimer expires, or for good.
    Idle,
    /// The peer may connect; ConnectRetryTimer runs.
    Active,
    /// A TCP connection is under way, or up without an OPEN of ours (DelayOpen).
    Connect,
    /// Our OPEN is sent, the peer's awaited.
    OpenSent,
    /// The peer's OPEN is accepted, its KEEPALIVE awaited.
    OpenConfirm,
    /// Routes are exchanged.
    Established,
}

/// How far a connection has come. Deadlines are seconds on the host's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The TCP connection is under way.
    Connecting {
        deadline: f64,
    },
    /// It is up; OPEN is sent at the deadline, or when the peer's arrives (DelayOpenTimer).
    DelayOpen {
        deadline: f64,
    },
    OpenSent,
    OpenConfirm,
    Established,
    /// Its last message is being written; it is closed then, or at the deadline.
    Closing {
        deadline: f64,
    },
}

/// What is owed to the peer in one address family beside the difference in routes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RefreshState {
    /// The peer asked for a route refresh (RFC 2918).
    pub requested: bool,
    /// The End-of-RIB marker has not been sent yet (RFC 4724).
    pub end_of_rib_due: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub phase: Phase,
    /// When the hold timer expires; infinite while it does not run.
    pub hold_deadline: f64,
    /// The negotiated hold time; 0 is none.
    pub hold_time: f64,
    /// When the next KEEPALIVE is due; infinite while none is.
    pub keepalive_deadline: f64,
    /// Infinite before Established.
    pub established_at: f64,
    /// Bytes that the host has not written yet.
    pub output: Vec<u8>,
    /// When the peer last accepted a byte, or nothing was owed.
    pub last_progress: f64,
    /// The OPEN that the peer sent.
    pub peer_open: Option<Open>,
    /// The capabilities in our own OPEN.
    pub local_capabilities: Capabilities,
    pub adj_rib_out: BTreeMap<IpNet, Advertisement>,
    /// Some route was announced on it, also if it was withdrawn since: a written withdrawal may be lost with it.
    pub has_announced: bool,
    /// By [`Family`].
    pub refresh: [RefreshState; 2],
}

impl Connection {
    pub fn new(phase: Phase, now: f64) -> Connection {
        Connection {
            phase,
            hold_deadline: f64::INFINITY,
            hold_time: 0.0,
            keepalive_deadline: f64::INFINITY,
            established_at: f64::INFINITY,
            output: Vec::new(),
            last_progress: now,
            peer_open: None,
            local_capabilities: Capabilities::default(),
            adj_rib_out: BTreeMap::new(),
            has_announced: false,
            refresh: [RefreshState::default(); 2],
        }
    }

    pub fn state(&self) -> State {
        match self.phase {
            Phase::Closing { .. } => State::Idle,
            Phase::Connecting { .. } | Phase::DelayOpen { .. } => State::Connect,
            Phase::OpenSent => State::OpenSent,
            Phase::OpenConfirm => State::OpenConfirm,
            Phase::Established => State::Established,
        }
    }

    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing { .. })
    }

    pub fn is_established(&self) -> bool {
        self.phase == Phase::Established
    }

    /// When the peer is given up if it accepts no byte until then; infinite where nothing is owed.
    pub fn send_hold_deadline(&self) -> f64 {
        match self.output.is_empty() {
            true => f64::INFINITY,
            false => self.last_progress + MIN_SEND_HOLD_TIME.max(2.0 * self.hold_time),
        }
    }

    /// The earliest of its timers.
    pub fn due(&self) -> f64 {
        let phase = match self.phase {
            Phase::Connecting { deadline } | Phase::DelayOpen { deadline } | Phase::Closing { deadline } => {
                deadline
            }
            _ => f64::INFINITY,
        };
        let timers = [phase, self.hold_deadline, self.keepalive_deadline, self.send_hold_deadline()];
        timers.into_iter().fold(f64::INFINITY, f64::min)
    }

    pub fn peer_capabilities(&self) -> Option<&Capabilities> {
        self.peer_open.as_ref().map(|open| &open.capabilities)
    }

    /// The family is spoken on both sides.
    pub fn speaks(&self, family: Family) -> bool {
        let index = family as usize;
        let peer = self.peer_capabilities().is_some_and(|capabilities| capabilities.families[index]);
        peer && self.local_capabilities.families[index]
    }

    /// How UPDATEs are written on it, in both directions; `internal` tells whether both sides are of one AS.
    pub fn encoding(&self, internal: bool) -> UpdateContext {
        let four_octet_as =
            self.peer_capabilities().is_some_and(|capabilities| capabilities.four_octet_as.is_some());
        UpdateContext { four_octet_as, internal }
    }

    pub fn peer_graceful_restart(&self) -> Option<GracefulRestart> {
        self.peer_capabilities().and_then(|capabilities| capabilities.graceful_restart)
    }

    /// RFC 8538: both sides keep routes over a NOTIFICATION.
    pub fn keeps_over_notification(&self) -> bool {
        let supported = |graceful: Option<GracefulRestart>| {
            graceful.is_some_and(|graceful| graceful.notification_support)
        };
        supported(self.local_capabilities.graceful_restart) && supported(self.peer_graceful_restart())
    }
}
