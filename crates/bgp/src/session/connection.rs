//! The state of one TCP connection to a peer, from the connection attempt to the last message, with the Adj-RIB-Out of
//! the routes announced on it.

use super::Advertisement;
use crate::family::Family;
use crate::open::{Capabilities, GracefulRestart, Open};
use crate::update::UpdateContext;
use ipnet::IpNet;
use std::collections::BTreeMap;

/// The minimum send hold time in seconds (RFC 9687): the session ends if the peer accepts no data for this long, or for
/// twice the hold time if that is longer.
const MIN_SEND_HOLD_TIME: f64 = 30.0;

/// Which side opened a connection (RFC 4271 section 8.2.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// We opened it.
    Outgoing,
    /// The peer opened it.
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

/// The states of RFC 4271 section 8.2.2, in order of progress. The state of a peer with two connections is the later
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// There is no connection, and IdleHoldTimer runs (connections are refused until it expires), the session drains
    /// (connections are accepted only if the peer may retain our routes), or it was stopped (connections are refused).
    Idle,
    /// ConnectRetryTimer runs; a connection that the peer opens is accepted.
    Active,
    /// A TCP connection is being established, or is established but our OPEN is not sent yet (DelayOpen).
    Connect,
    /// Our OPEN was sent; the peer's OPEN has not arrived yet.
    OpenSent,
    /// The peer's OPEN was accepted; its first KEEPALIVE has not arrived yet.
    OpenConfirm,
    /// Routes are exchanged.
    Established,
}

/// The phase of one connection. Deadlines are in seconds of the host's clock.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The TCP connection is being established.
    Connecting {
        deadline: f64,
    },
    /// The TCP connection is established. Our OPEN is sent at the deadline (DelayOpenTimer), or when the peer's OPEN
    /// arrives.
    DelayOpen {
        deadline: f64,
    },
    OpenSent,
    OpenConfirm,
    Established,
    /// The last message is being sent. The connection is closed once it is written, or at the deadline.
    Closing {
        deadline: f64,
    },
}

/// What must be sent to the peer for one address family in addition to changed routes.
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
    /// When the hold timer expires, in seconds; infinite while it does not run.
    pub hold_deadline: f64,
    /// The negotiated hold time in seconds; 0 means that there is none.
    pub hold_time: f64,
    /// When the next KEEPALIVE is due, in seconds; infinite if none is.
    pub keepalive_deadline: f64,
    /// When the connection became Established, in seconds; infinite before that.
    pub established_at: f64,
    /// Bytes that the host has not written yet.
    pub output: Vec<u8>,
    /// When the peer last accepted data, or when the OPEN or UPDATEs were queued to an empty output, in seconds. The
    /// send hold timer starts at this time.
    pub last_progress: f64,
    /// The OPEN that the peer sent.
    pub peer_open: Option<Open>,
    /// The capabilities in our own OPEN.
    pub local_capabilities: Capabilities,
    /// The routes whose announcement is queued or written, and whose withdrawal is not queued yet.
    pub adj_rib_out: BTreeMap<IpNet, Advertisement>,
    /// Whether a route was ever announced on the connection. This stays true after the route is withdrawn, because a
    /// written withdrawal may be lost with the connection.
    pub has_announced: bool,
    /// Indexed by [`Family`].
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

    /// When the send hold timer expires (RFC 9687): the session ends if the peer accepts no data until then. Infinite
    /// if there is no unsent data.
    pub fn send_hold_deadline(&self) -> f64 {
        match self.output.is_empty() {
            true => f64::INFINITY,
            false => self.last_progress + MIN_SEND_HOLD_TIME.max(2.0 * self.hold_time),
        }
    }

    /// The earliest deadline of the timers of the connection.
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

    /// Whether both sides have advertised the family.
    pub fn has_negotiated(&self, family: Family) -> bool {
        let index = family as usize;
        let peer = self.peer_capabilities().is_some_and(|capabilities| capabilities.families[index]);
        peer && self.local_capabilities.families[index]
    }

    /// The encoding of UPDATEs on the connection, in both directions; `internal` tells whether both sides are in the
    /// same AS.
    pub fn update_context(&self, internal: bool) -> UpdateContext {
        let four_octet_as =
            self.peer_capabilities().is_some_and(|capabilities| capabilities.four_octet_as.is_some());
        UpdateContext { four_octet_as, internal }
    }

    pub fn peer_graceful_restart(&self) -> Option<GracefulRestart> {
        self.peer_capabilities().and_then(|capabilities| capabilities.graceful_restart)
    }

    /// Whether both sides preserve routes when a NOTIFICATION ends the session (RFC 8538).
    pub fn keeps_routes_over_notification(&self) -> bool {
        let supported = |graceful: Option<GracefulRestart>| {
            graceful.is_some_and(|graceful| graceful.notification_support)
        };
        supported(self.local_capabilities.graceful_restart) && supported(self.peer_graceful_restart())
    }
}
