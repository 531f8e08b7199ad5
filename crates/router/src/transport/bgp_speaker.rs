//! The BGP speaker: connects the sessions of `cleatgw-bgp` and the announcement decisions of `cleatgw-announce` to TCP
//! connections with BGP peers. It makes no decisions itself: it passes received bytes on and writes the results.

mod shutdown;
mod status;

use super::bgp_connection::{BgpConnectionError, BgpPeer};
use super::event_source::{watch, EventSource, LoopHandle};
use super::panic_guard::catch_panic;
use crate::routing::Counters;
use calloop::Readiness;
use cleatgw_announce::{AddressEvent, Announcer, Level, Paths, Readings, Reason};
use cleatgw_bgp::{Action, Advertisement, CeaseSubcode, Direction, Importance, LogEntry, State};
use cleatgw_operator_config::{PeerPart, ServiceFile};
use ipnet::IpNet;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that the system queues until they are accepted.
const LISTEN_BACKLOG: i32 = 16;
/// Connections accepted in one turn of the event loop.
const MAX_ACCEPTED: usize = 16;
/// Actions performed for one session at a time; further ones wait for the next turn. An action may cause another one,
/// but no more than both connections being closed and one being started are expected.
const MAX_ACTIONS: usize = 8;
/// How the log line for a panic in session code names the session.
const SESSION_LABEL: &str = "a routing peer's session";

/// Why an incoming connection is refused.
#[derive(Debug, thiserror::Error)]
enum RefusedConnection {
    #[error("no configured peer has this address")]
    UnknownPeer,
    #[error("a connection opened by this peer is already open, with no bytes left to write")]
    AlreadyOpen,
    #[error("the session accepts no connection in its present state")]
    NotAcceptedBySession,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The routes to announce to all peers.
struct Advertisements {
    /// Starts at 1 and grows with each change.
    version: u64,
    by_prefix: BTreeMap<IpNet, Advertisement>,
}

pub struct BgpSpeaker {
    handle: LoopHandle,
    file: ServiceFile,
    announcer: Announcer,
    peers: Vec<BgpPeer>,
    listener: Option<Rc<TcpListener>>,
    last_connection_id: u64,
    seed: u64,
    /// Sources to process in the next turn even if the event loop does not report them as ready.
    unfinished: Vec<EventSource>,
    advertisements: Advertisements,
    /// When the sessions were shut down at a planned stop, on the monotonic clock; absent before that.
    shutdown_began_at: Option<f64>,
    /// Counters of peers that were removed, and panics in session code.
    counters: Counters,
}

fn listen(handle: &LoopHandle, address: SocketAddr) -> io::Result<Rc<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let socket = Rc::new(TcpListener::from(socket));
    log::info!(address:% = address; "bgp listens on {address}");
    watch(handle, socket.clone(), EventSource::BgpListener)?;
    Ok(socket)
}

impl BgpSpeaker {
    /// Starts a speaker with the peers and addresses of a service file. `seed` initialises the random numbers.
    ///
    /// # Errors
    /// The address in `bgp.listen` can't be listened on.
    pub fn open(handle: &LoopHandle, file: ServiceFile, seed: u64, now: f64) -> io::Result<BgpSpeaker> {
        let listener = file.bgp.listen.map(|address| listen(handle, address)).transpose()?;
        let configs = file.bgp.peers.iter().enumerate();
        let peers =
            configs.map(|(index, config)| BgpPeer::new(config, &file, seed.wrapping_add(index as u64), now));
        Ok(BgpSpeaker {
            handle: handle.clone(),
            announcer: Announcer::new(file.announcer_config(), seed, now),
            peers: peers.collect(),
            file,
            listener,
            last_connection_id: 0,
            seed,
            unfinished: Vec::new(),
            advertisements: Advertisements { version: 1, by_prefix: BTreeMap::new() },
            shutdown_began_at: None,
            counters: Counters::default(),
        })
    }

    /// Applies a new service file. The sessions of removed and changed peers are shut down with a notification; new and
    /// changed peers get new sessions, except during a drain.
    pub fn reconfigure(&mut self, new: ServiceFile, now: f64) {
        let fixed_changes = self.file.changed_fixed_fields(&new);
        if !fixed_changes.is_empty() {
            log::warn!(
                "service file: {} can't change while running; the values read at the start stay in force",
                fixed_changes.join(", ")
            );
        }
        let mut file = new;
        file.bgp.asn = self.file.bgp.asn;
        file.bgp.identifier = self.file.bgp.identifier;
        file.bgp.listen = self.file.bgp.listen;
        self.announcer.reconfigure(file.announcer_config(), now);
        self.advertisements_changed();
        for peer in self.peers.iter_mut().filter(|peer| !peer.is_leaving) {
            reconfigure_peer(peer, &file, now);
        }
        // No new sessions during a drain: they would have no routes to announce.
        if self.announcer.draining().is_none() {
            self.add_new_peers(&file, now);
        }
        log::info!(peers = file.bgp.peers.len(), addresses = file.addresses.len(); "service file applied");
        self.file = file;
    }

    fn add_new_peers(&mut self, file: &ServiceFile, now: f64) {
        for config in &file.bgp.peers {
            let has_name = |peer: &BgpPeer| !peer.is_leaving && peer.config.name == config.name;
            if !self.peers.iter().any(has_name) {
                self.seed = self.seed.wrapping_add(1);
                self.peers.push(BgpPeer::new(config, file, self.seed, now));
            }
        }
    }

    fn advertisements_changed(&mut self) {
        self.advertisements.version += 1;
        self.advertisements.by_prefix = self.announcer.advertisements();
    }

    /// Accepts waiting connections, up to the limit of one turn.
    pub fn accept(&mut self, now: f64) {
        let Some(listener) = &self.listener else { return };
        let socket = listener.clone();
        for _ in 0..MAX_ACCEPTED {
            match socket.accept() {
                Ok((stream, from)) => {
                    if let Err(reason) = self.admit(stream, from.ip(), now) {
                        log::debug!(from:% = from; "bgp connection refused: {reason}");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("bgp can't accept a connection: {error}");
                    return;
                }
            }
        }
        self.unfinished.push(EventSource::BgpListener);
    }

    /// Hands an accepted connection to the peer it came from.
    fn admit(&mut self, stream: TcpStream, from: IpAddr, now: f64) -> Result<(), RefusedConnection> {
        let has_address = |peer: &&mut BgpPeer| !peer.is_leaving && peer.config.address.ip() == from;
        let peer = self.peers.iter_mut().find(has_address).ok_or(RefusedConnection::UnknownPeer)?;
        let socket = peer.prepare_accepted(stream)?;
        // A connection on which bytes are still unwritten is replaced by the new one.
        if peer.has_flushed_incoming() {
            return Err(RefusedConnection::AlreadyOpen);
        }
        if !peer.session.connected(Direction::Incoming, now) {
            return Err(RefusedConnection::NotAcceptedBySession);
        }
        self.last_connection_id += 1;
        let id = self.last_connection_id;
        peer.accept(&self.handle, socket, id, now);
        self.unfinished.push(EventSource::BgpConnection(id));
        Ok(())
    }

    /// Handles a connection that the event loop has reported as ready.
    pub fn handle_ready(&mut self, id: u64, readiness: Readiness, now: f64) {
        let mut peers = self.peers.iter().enumerate();
        let found = peers.find_map(|(index, peer)| Some((index, peer.direction_of(id)?)));
        let Some((index, direction)) = found else { return };
        let peer = &mut self.peers[index];
        if let Some(connection) = peer.connection_mut(direction) {
            connection.note_ready(readiness);
        }
        match catch_panic(SESSION_LABEL, || peer.process_io(direction, now)) {
            Some(Ok(())) => {}
            Some(Err(error)) => self.connection_lost(index, direction, &error, now),
            None => self.restart_peer(index, now),
        }
    }

    fn connection_lost(&mut self, index: usize, direction: Direction, error: &BgpConnectionError, now: f64) {
        let peer = &mut self.peers[index];
        if let Some(connection) = peer.take_connection(direction) {
            self.handle.remove(connection.token);
        }
        peer.session.closed(direction, &error.to_string(), now);
    }

    /// Replaces a peer whose session code panicked. Its connections are closed, so the peer drops the routes announced
    /// to it, and a new session starts. The counters of the old session are lost, and so is the mark that the peer is
    /// leaving.
    fn restart_peer(&mut self, index: usize, now: f64) {
        self.counters.panics += 1;
        let peer = &mut self.peers[index];
        for connection in peer.take_connections() {
            self.handle.remove(connection.token);
        }
        let config: PeerPart = peer.config.clone();
        self.seed = self.seed.wrapping_add(1);
        let mut restarted = BgpPeer::new(&config, &self.file, self.seed, now);
        if self.announcer.draining().is_some() {
            restarted.session.drain(BTreeMap::new(), now);
        }
        self.peers[index] = restarted;
    }

    /// The paths to the service addresses that were learned from peers.
    fn paths(&self) -> Paths {
        let is_up = |peer: &BgpPeer| peer.session.state() == State::Established;
        let mut paths = Paths::new(self.peers.iter().any(is_up));
        let instance_community = self.announcer.config().instance_community;
        for peer in &self.peers {
            for (prefix, route) in peer.session.adj_rib_in.iter() {
                paths.add(&instance_community, prefix, route);
            }
        }
        paths
    }

    /// Runs the speaker's turn: announcement decisions, then the sessions, then the writes.
    pub fn turn(&mut self, now: f64, readings: impl FnOnce() -> Readings) {
        if now >= self.announcer.due() {
            let paths = self.paths();
            if self.announcer.update(now, &readings(), &paths) {
                self.advertisements_changed();
            }
        }
        while let Some(event) = self.announcer.next_event() {
            log_event(&event);
        }
        for index in 0..self.peers.len() {
            if !self.run_session(index, now) {
                self.restart_peer(index, now);
            }
        }
        for index in 0..self.peers.len() {
            self.perform_actions_and_flush(index, now);
        }
        self.drop_finished_peers();
    }

    /// Runs a session's timers and hands it the current advertisements. Returns false if the session's code panicked.
    fn run_session(&mut self, index: usize, now: f64) -> bool {
        let is_draining = self.announcer.draining().is_some();
        let Advertisements { version, by_prefix } = &self.advertisements;
        let peer = &mut self.peers[index];
        let outcome = catch_panic(SESSION_LABEL, || {
            if peer.session.due() <= now {
                peer.session.run_timers(now);
            }
            if peer.applied_version == *version {
                return;
            }
            if is_draining {
                peer.session.drain(by_prefix.clone(), now);
            } else {
                peer.session.announce(by_prefix.clone(), now);
            }
            peer.applied_version = *version;
        });
        outcome.is_some()
    }

    /// Removes peers whose sessions have shut down, and keeps their counters.
    fn drop_finished_peers(&mut self) {
        let handle = &self.handle;
        let counters = &mut self.counters;
        self.peers.retain(|peer| {
            let is_finished = peer.is_leaving && peer.session.is_finished();
            if is_finished {
                for token in peer.tokens() {
                    handle.remove(token);
                }
                status::add_counters(counters, &peer.session);
            }
            !is_finished
        });
    }

    /// Performs a session's actions, writes its queued bytes, and writes its log entries to the log.
    fn perform_actions_and_flush(&mut self, index: usize, now: f64) {
        for _ in 0..MAX_ACTIONS {
            let Some(action) = self.peers[index].session.next_action() else { break };
            self.perform_action(index, action, now);
        }
        for direction in [Direction::Outgoing, Direction::Incoming] {
            if let Err(error) = self.peers[index].flush(direction, now) {
                self.connection_lost(index, direction, &error, now);
            }
        }
        let BgpPeer { config, session, .. } = &mut self.peers[index];
        while let Some(LogEntry { importance, message }) = session.next_log_entry() {
            let level = match importance {
                Importance::Notable => log::Level::Info,
                Importance::Routine => log::Level::Debug,
            };
            log::log!(level, peer = config.name.as_str(), address:% = config.address; "bgp {message}");
        }
    }

    fn perform_action(&mut self, index: usize, action: Action, now: f64) {
        let peer = &mut self.peers[index];
        match action {
            Action::Close(direction) => {
                if let Some(connection) = peer.take_connection(direction) {
                    self.handle.remove(connection.token);
                }
            }
            Action::Connect => {
                self.last_connection_id += 1;
                if let Err(error) = peer.connect(&self.handle, self.last_connection_id) {
                    peer.session.closed(Direction::Outgoing, &error.to_string(), now);
                }
            }
        }
    }

    /// When the speaker's next turn is due, on the monotonic clock in seconds.
    pub fn due(&self) -> f64 {
        let peers = self.peers.iter().map(|peer| peer.session.due());
        let shutdown = self.shutdown_began_at.map_or(f64::INFINITY, |at| at + shutdown::SHUTDOWN_TIMEOUT);
        peers.fold(self.announcer.due().min(shutdown), f64::min)
    }

    /// Sources to process in the next turn even if the event loop does not report them as ready.
    pub fn unfinished(&mut self) -> Vec<EventSource> {
        let mut unfinished = std::mem::take(&mut self.unfinished);
        for peer in &self.peers {
            unfinished.extend(peer.unfinished());
        }
        unfinished
    }
}

/// Applies a new service file to one peer. Changed service addresses are applied to the existing session, unless they
/// add an address family; that, and any change in the peer's own configuration, shuts the session down.
fn reconfigure_peer(peer: &mut BgpPeer, file: &ServiceFile, now: f64) {
    let config = file.bgp.peers.iter().find(|config| config.name == peer.config.name);
    let unchanged = config.filter(|config| **config == peer.config);
    if unchanged
        .is_some_and(|config| peer.session.reconfigure(&config.peer_config(&file.bgp, &file.addresses)))
    {
        return;
    }
    let subcode = match config {
        Some(_) => CeaseSubcode::OtherConfigurationChange,
        None => CeaseSubcode::PeerDeconfigured,
    };
    peer.session.shut_down(subcode, "new service file", now);
    peer.is_leaving = true;
}

/// Logs a change of an address's announcement level, or one that was held back.
fn log_event(event: &AddressEvent) {
    let AddressEvent { prefix, level, reason, healthy_paths, total_paths, suppressed_by } = event;
    let is_planned = matches!(reason, Reason::Draining | Reason::Drained | Reason::Starting);
    let is_unplanned_drop = *level < Level::Depreferred && !is_planned;
    let log_level = if is_unplanned_drop { log::Level::Warn } else { log::Level::Info };
    match suppressed_by {
        None => log::log!(
            log_level, address:% = prefix, level:% = level, sound = *healthy_paths, seen = *total_paths;
            "announce {prefix} {level}: {reason}"
        ),
        Some(suppressed_by) => log::log!(
            log_level, address:% = prefix, level:% = level, sound = *healthy_paths, seen = *total_paths;
            "announce {prefix} stays {level}: {reason}; held back by {suppressed_by}"
        ),
    }
}
