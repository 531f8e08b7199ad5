//! One peer: the state machine of RFC 4271 section 8 over up to two connections (ours and the peer's, until section
//! 6.8 has settled which stays), and the routes announced on the one that is established (Adj-RIB-Out).
//!
//! The routes to announce are a set, not a queue: however often it changes while a peer does not read, the next UPDATE
//! holds the difference between what was announced on this connection and what is wanted now. A new connection begins
//! with an empty Adj-RIB-Out, so a withdrawal that was lost with the last one can't be missed.
//!
//! `config` is the configuration, `connection` the state of one connection. The methods of [`Peer`] stand by job:
//! `timers`, `transport` (what the host reports of a connection), `opening` (OPEN, collisions, Established), `inbound`
//! and `outbound` (messages and routes of each direction), `ending` (drain, NOTIFICATION, loss).

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
pub use transport::Received;

use crate::adj_rib_in::AdjRibIn;
use crate::family::Family;
use crate::message::{self, RouteRefresh};
use connection::{Connection, Phase};
use ipnet::IpNet;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Log entries kept until the host takes them; further ones are dropped.
const MAX_LOG_ENTRIES: usize = 64;

/// What the host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Begin a connection; [`Peer::connected`] or [`Peer::closed`] tells what became of it.
    Connect,
    /// End the connection at once; what is unsent on it is lost.
    Close(Direction),
}

/// How much an operator needs to see a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// It repeats what is known, such as one more attempt without an answer.
    Routine,
    /// It changes what is known of the session.
    Notable,
}

/// One line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// How much an operator needs to see it.
    pub importance: Importance,
    /// What happened.
    pub message: String,
}

/// Events since the peer was configured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionCounters {
    /// Sessions that reached Established.
    pub established: u64,
    /// Established sessions that ended.
    pub lost: u64,
    /// UPDATEs written; announcements that take several messages count once.
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

/// What the host wants of the session.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AdminState {
    Running,
    /// Nothing is announced any more; a peer that may keep routes of ours is still sought.
    Draining,
    /// No new connection.
    Stopped,
}

/// When the next connection may begin, while there is none: IdleHoldTimer or ConnectRetryTimer.
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

/// One peer with its connections and routes. The host calls it with its clock, whose seconds must not go back.
#[derive(Clone, Debug)]
pub struct Peer {
    config: PeerConfig,
    seed: u64,
    random_draws: u64,
    admin_state: AdminState,
    retry_timer: RetryTimer,
    /// IdleHoldTime after the next failure.
    idle_hold_time: f64,
    /// By [`Direction`].
    connections: [Option<Connection>; 2],
    /// The routes to announce, which the Adj-RIB-Out follows.
    wanted: BTreeMap<IpNet, Advertisement>,
    /// Until when the peer may keep routes of ours from a lost session; minus infinity where there are none.
    retained_until: f64,
    /// No session has been established since the start (the Restart State bit of RFC 4724).
    restart_state: bool,
    /// The routes learned from the peer.
    pub adj_rib_in: AdjRibIn,
    actions: VecDeque<Action>,
    /// Why the last session or attempt ended.
    pub last_error: Option<String>,
    /// Events since the peer was configured.
    pub counters: SessionCounters,
    log: VecDeque<LogEntry>,
}

impl Peer {
    /// A peer without connections; the first may begin at once. Jitter is drawn from `seed`.
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
            wanted: BTreeMap::new(),
            retained_until: f64::NEG_INFINITY,
            restart_state: true,
            actions: VecDeque::new(),
            last_error: None,
            counters: SessionCounters::default(),
            log: VecDeque::new(),
        }
    }

    /// Takes over another configuration where the session need not end for it: other service prefixes of the families
    /// that are spoken. The routes of the peer are asked for again (RFC 2918). False: nothing was done.
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

    /// Asks the peer for all its routes again, where a session is established and the peer can do it.
    fn request_refresh(&mut self) {
        let Some((_, connection)) = self.established_connection() else { return };
        if !connection.peer_capabilities().is_some_and(|capabilities| capabilities.route_refresh) {
            return;
        }
        for family in Family::ALL {
            if connection.speaks(family) {
                message::encode_route_refresh(&mut connection.output, RouteRefresh::Request(family));
            }
        }
    }

    /// The next action for the host.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The next line for the log.
    pub fn next_log_entry(&mut self) -> Option<LogEntry> {
        self.log.pop_front()
    }

    /// The state of the furthest connection.
    pub fn state(&self) -> State {
        let furthest = self.connections.iter().flatten().map(Connection::state).max().unwrap_or(State::Idle);
        match (furthest, self.retry_timer) {
            (State::Idle, RetryTimer::Active { .. }) if self.admin_state == AdminState::Running => {
                State::Active
            }
            _ => furthest,
        }
    }

    /// The routes that were announced to the peer on the established connection.
    pub fn adj_rib_out(&self) -> impl Iterator<Item = (&IpNet, &Advertisement)> {
        let established = self.connections.iter().flatten().find(|connection| connection.is_established());
        established.into_iter().flat_map(|connection| &connection.adj_rib_out)
    }

    /// No route of ours is left at the peer, as far as can be known: all withdrawals are written, and nothing is kept
    /// from a lost session.
    pub fn all_withdrawn(&self, now: f64) -> bool {
        let owes = |connection: &Connection| match connection.phase {
            Phase::Established => !connection.adj_rib_out.is_empty() || !connection.output.is_empty(),
            Phase::Closing { .. } => !connection.output.is_empty(),
            _ => false,
        };
        now >= self.retained_until && !self.connections.iter().flatten().any(owes)
    }

    /// No connection is left, and none will begin.
    pub fn is_finished(&self) -> bool {
        self.admin_state != AdminState::Running
            && self.connections.iter().all(Option::is_none)
            && !self.seeks_connection()
    }

    /// A connection is still sought.
    fn seeks_connection(&self) -> bool {
        match self.admin_state {
            AdminState::Running => true,
            AdminState::Draining => self.may_retain_routes(),
            AdminState::Stopped => false,
        }
    }

    /// The peer may keep routes of ours from a lost session.
    fn may_retain_routes(&self) -> bool {
        self.retained_until > f64::NEG_INFINITY
    }

    fn connection(&self, direction: Direction) -> Option<&Connection> {
        self.connections[direction as usize].as_ref()
    }

    fn connection_mut(&mut self, direction: Direction) -> Option<&mut Connection> {
        self.connections[direction as usize].as_mut()
    }

    /// There is a connection, and it is not about to be closed.
    fn is_live(&self, direction: Direction) -> bool {
        self.connection(direction).is_some_and(|connection| !connection.is_closing())
    }

    fn established_connection(&mut self) -> Option<(Direction, &mut Connection)> {
        let is_established =
            |direction: &Direction| self.connection(*direction).is_some_and(Connection::is_established);
        let direction = Direction::BOTH.into_iter().find(is_established)?;
        Some((direction, self.connection_mut(direction)?))
    }

    /// RFC 4271 section 10: a factor of 0.75 to 1, so that peers do not move in step.
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
