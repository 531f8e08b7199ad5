//! The session with one peer: the state machine of RFC 4271 section 8 over up to two connections, and the routes that
//! are announced on the established one (Adj-RIB-Out). There are two connections if both sides opened one, until the
//! collision detection of section 6.8 has closed one of them.
//!
//! The routes to announce are a set, not a queue: however often the set changes while a peer does not read, the next
//! UPDATEs contain only the difference between the routes announced on this connection and the current set. A new
//! connection starts with an empty Adj-RIB-Out, and the peer removes the routes of the previous one, at the latest at
//! the End-of-RIB marker. So a withdrawal that was lost with the previous connection still takes effect.
//!
//! `config` is the configuration, `connection` the state of one connection, and `loss` the ways in which a session is
//! lost. The methods of [`Peer`] are grouped by purpose: `timers`, `transport` (events that the host reports of a
//! connection), `opening` (OPEN, collisions, the change to Established), `inbound` (received messages and routes),
//! `outbound` (announced routes), and `ending` (drain, NOTIFICATION, loss of a session).

mod config;
mod connection;
mod ending;
mod inbound;
mod loss;
mod opening;
mod outbound;
mod timers;
mod transport;

pub use config::{Advertisement, PeerConfig};
pub use connection::{Direction, State};
pub use transport::ReceiveOutcome;

use crate::adj_rib_in::AdjRibIn;
use crate::family::Family;
use crate::message::{self, RouteRefresh};
use connection::{Connection, Phase};
use ipnet::IpNet;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The maximum number of log entries that are kept until the host takes them; further entries are dropped.
const MAX_LOG_ENTRIES: usize = 64;

/// An action that the host must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Open a TCP connection to the peer. The host reports the result with [`Peer::connected`] or [`Peer::closed`].
    Connect,
    /// Close the connection at once; its unsent bytes are lost. The host need not report this with [`Peer::closed`].
    Close(Direction),
}

/// How important a log entry is for an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// The entry repeats known information, for example another failed connection attempt.
    Routine,
    /// The entry reports a change of the session.
    Notable,
}

/// One log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// How important the entry is for an operator.
    pub importance: Importance,
    /// The text of the entry.
    pub message: String,
}

/// Counts of events since the peer was configured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionCounters {
    /// Sessions that reached Established.
    pub established: u64,
    /// Established sessions that ended.
    pub lost: u64,
    /// Groups of prefixes of one family that were announced with the same attributes, or withdrawn, together. A group
    /// is counted once when it is queued, even if it takes several UPDATEs.
    pub updates_out: u64,
    /// UPDATEs received.
    pub updates_in: u64,
    /// UPDATEs whose routes were treated as withdrawn (RFC 7606).
    pub treated_as_withdrawn: u64,
    /// Path attributes that were discarded (RFC 7606).
    pub attributes_discarded: u64,
    /// NOTIFICATIONs written.
    pub notifications_out: u64,
    /// NOTIFICATIONs received.
    pub notifications_in: u64,
}

/// The administrative state that the host has set.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AdminState {
    Running,
    /// No new routes are announced. Connections are still opened if the peer may retain our routes from a lost session.
    Draining,
    /// No connection is opened or accepted.
    Stopped,
}

/// The timer until we may open the next connection; it runs while there is no connection, and expires at `deadline`
/// (seconds). During `Idle` (IdleHoldTimer) incoming connections are refused, during `Active` (ConnectRetryTimer) they
/// are accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RetryTimer {
    Idle { deadline: f64 },
    Active { deadline: f64 },
}

impl RetryTimer {
    fn deadline(self) -> f64 {
        match self {
            RetryTimer::Idle { deadline } | RetryTimer::Active { deadline } => deadline,
        }
    }
}

/// One peer with its connections and routes. The host passes the current time to its methods as `now`, in seconds of a
/// monotonic clock.
#[derive(Clone, Debug)]
pub struct Peer {
    config: PeerConfig,
    seed: u64,
    random_draws: u64,
    admin_state: AdminState,
    retry_timer: RetryTimer,
    /// The IdleHoldTime that applies after the next failure, in seconds.
    idle_hold_time: f64,
    /// Indexed by [`Direction`].
    connections: [Option<Connection>; 2],
    /// The routes to announce; the Adj-RIB-Out is updated to match them.
    advertisements: BTreeMap<IpNet, Advertisement>,
    /// The time until which the peer may retain our routes from a lost session, in seconds; minus infinity if it
    /// retains none.
    retained_until: f64,
    /// Whether no session has been established since the start: the Restart State bit that our OPEN sends (RFC 4724).
    restart_state: bool,
    /// The routes learned from the peer.
    pub adj_rib_in: AdjRibIn,
    actions: VecDeque<Action>,
    /// Why the last session or attempt to establish one ended; `None` after a session was established.
    pub last_error: Option<String>,
    /// Counts of events since the peer was configured.
    pub counters: SessionCounters,
    log: VecDeque<LogEntry>,
}

impl Peer {
    /// A peer without connections; the first connection may be opened at once. `seed` determines the jitter of timers.
    pub fn new(config: PeerConfig, seed: u64, now: f64) -> Peer {
        Peer {
            adj_rib_in: AdjRibIn::new(&config.service_prefixes, config.max_learned_routes),
            idle_hold_time: config.idle_hold_time,
            config,
            seed,
            random_draws: 0,
            admin_state: AdminState::Running,
            retry_timer: RetryTimer::Idle { deadline: now },
            connections: [None, None],
            advertisements: BTreeMap::new(),
            retained_until: f64::NEG_INFINITY,
            restart_state: true,
            actions: VecDeque::new(),
            last_error: None,
            counters: SessionCounters::default(),
            log: VecDeque::new(),
        }
    }

    /// Applies a new configuration if only the service prefixes differ, so that the session need not end. If they
    /// differ, the peer's routes are requested again (RFC 2918). Returns false, and changes nothing, if anything else
    /// differs, such as the enabled families: the first service prefix of another family needs a new session.
    pub fn reconfigure(&mut self, config: &PeerConfig) -> bool {
        if !self.config.equals_except_services(config) {
            return false;
        }
        if config.service_prefixes != self.config.service_prefixes {
            self.config.service_prefixes.clone_from(&config.service_prefixes);
            self.adj_rib_in.set_service_prefixes(&config.service_prefixes);
            self.request_refresh();
        }
        true
    }

    /// Requests all routes from the peer again, if a session is established and the peer supports route refresh.
    fn request_refresh(&mut self) {
        let Some((_, connection)) = self.established_connection() else { return };
        if !connection.peer_capabilities().is_some_and(|capabilities| capabilities.route_refresh) {
            return;
        }
        for family in Family::ALL {
            if connection.has_negotiated(family) {
                message::encode_route_refresh(&mut connection.output, RouteRefresh::Request(family));
            }
        }
    }

    /// The next action for the host.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The next log entry.
    pub fn next_log_entry(&mut self) -> Option<LogEntry> {
        self.log.pop_front()
    }

    /// The most advanced state among the connections; Idle if there is none or it is closing. Instead of Idle, the
    /// state is Active if the ConnectRetryTimer runs and the session is neither draining nor stopped.
    pub fn state(&self) -> State {
        let furthest = self.connections.iter().flatten().map(Connection::state).max().unwrap_or(State::Idle);
        match (furthest, self.retry_timer) {
            (State::Idle, RetryTimer::Active { .. }) if self.admin_state == AdminState::Running => {
                State::Active
            }
            _ => furthest,
        }
    }

    /// The routes that are announced to the peer on the established connection, whether queued or written.
    pub fn adj_rib_out(&self) -> impl Iterator<Item = (&IpNet, &Advertisement)> {
        let established = self.connections.iter().flatten().find(|connection| connection.is_established());
        established.into_iter().flat_map(|connection| &connection.adj_rib_out)
    }

    /// Whether the peer holds none of our routes, as far as can be known: all withdrawals are written, and no routes
    /// are retained from a lost session.
    pub fn all_withdrawn(&self, now: f64) -> bool {
        let has_pending = |connection: &Connection| match connection.phase {
            Phase::Established => !connection.adj_rib_out.is_empty() || !connection.output.is_empty(),
            Phase::Closing { .. } => !connection.output.is_empty(),
            _ => false,
        };
        now >= self.retained_until && !self.connections.iter().flatten().any(has_pending)
    }

    /// Whether no connection is left and none will be opened or accepted.
    pub fn is_finished(&self) -> bool {
        self.admin_state != AdminState::Running
            && self.connections.iter().all(Option::is_none)
            && !self.wants_connection()
    }

    /// Whether connections may be opened and accepted: during a drain only if the peer may retain our routes.
    fn wants_connection(&self) -> bool {
        match self.admin_state {
            AdminState::Running => true,
            AdminState::Draining => self.may_retain_routes(),
            AdminState::Stopped => false,
        }
    }

    /// Whether the peer may retain our routes from a lost session.
    fn may_retain_routes(&self) -> bool {
        self.retained_until > f64::NEG_INFINITY
    }

    fn connection(&self, direction: Direction) -> Option<&Connection> {
        self.connections[direction as usize].as_ref()
    }

    fn connection_mut(&mut self, direction: Direction) -> Option<&mut Connection> {
        self.connections[direction as usize].as_mut()
    }

    /// Whether there is a connection that is not closing.
    fn is_live(&self, direction: Direction) -> bool {
        self.connection(direction).is_some_and(|connection| !connection.is_closing())
    }

    fn established_connection(&mut self) -> Option<(Direction, &mut Connection)> {
        let is_established =
            |direction: &Direction| self.connection(*direction).is_some_and(Connection::is_established);
        let direction = Direction::BOTH.into_iter().find(is_established)?;
        Some((direction, self.connection_mut(direction)?))
    }

    /// A random factor from 0.75 to 1 for timer values, so that the timers of different peers do not synchronize (RFC
    /// 4271 section 10).
    fn jitter(&mut self) -> f64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        0.75 + 0.25 * (hasher.finish() as f64 / u64::MAX as f64)
    }

    fn log(&mut self, importance: Importance, message: String) {
        if self.log.len() < MAX_LOG_ENTRIES {
            self.log.push_back(LogEntry { importance, message });
        }
    }
}
