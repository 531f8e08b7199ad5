//! The BGP speaker: connections to routing peers, around the sessions of `cleatgw-bgp` and the decisions of
//! `cleatgw-announce`. It decides nothing itself: it reads, hands over, and writes what came of it.

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

/// Connections that the system lets wait to be accepted.
const BACKLOG: i32 = 16;
/// Connections accepted in one turn.
const MAX_ACCEPTED: usize = 16;
/// An action of a session may bring about another one, but no more than these: both connections ended, one begun.
const MAX_ACTIONS: usize = 8;
/// What a session is called in the log when its code panics.
const SESSION: &str = "a routing peer's session";

/// Why a connection of a routing peer is not taken.
#[derive(Debug, thiserror::Error)]
enum RefusedConnection {
    #[error("no peer of ours")]
    UnknownPeer,
    #[error("a connection of its own is open")]
    AlreadyOpen,
    #[error("not wanted now")]
    NotWanted,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What peers are to be told.
struct Advertisements {
    /// Grows with each change.
    version: u64,
    by_prefix: BTreeMap<IpNet, Advertisement>,
}

pub struct BgpSpeaker {
    handle: LoopHandle,
    file: ServiceFile,
    announcer: Announcer,
    peers: Vec<BgpPeer>,
    listener: Option<Rc<TcpListener>>,
    last_connection: u64,
    seed: u64,
    /// What is to be looked at in the next turn, though nothing becomes ready.
    unfinished: Vec<EventSource>,
    advertisements: Advertisements,
    /// When the last messages went out.
    goodbye_at: Option<f64>,
    /// What was counted by peers that are gone.
    counters: Counters,
}

fn listen(handle: &LoopHandle, address: SocketAddr) -> io::Result<Rc<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let socket = Rc::new(TcpListener::from(socket));
    log::info!(address:% = address; "bgp listens");
    watch(handle, socket.clone(), EventSource::BgpListener)?;
    Ok(socket)
}

impl BgpSpeaker {
    /// Sets the peers and addresses of a file up. `seed` is what chance is drawn from.
    ///
    /// # Errors
    /// Its address can't be listened on.
    pub fn open(handle: &LoopHandle, file: ServiceFile, seed: u64, now: f64) -> io::Result<BgpSpeaker> {
        let listener = file.bgp.listen.map(|address| listen(handle, address)).transpose()?;
        let parts = file.bgp.peers.iter().enumerate();
        let peers =
            parts.map(|(index, part)| BgpPeer::new(part, &file, seed.wrapping_add(index as u64), now));
        Ok(BgpSpeaker {
            handle: handle.clone(),
            announcer: Announcer::new(file.terms(), seed, now),
            peers: peers.collect(),
            file,
            listener,
            last_connection: 0,
            seed,
            unfinished: Vec::new(),
            advertisements: Advertisements { version: 1, by_prefix: BTreeMap::new() },
            goodbye_at: None,
            counters: Counters::default(),
        })
    }

    /// Takes a new file: peers that are new or changed begin anew, those that are gone are told so.
    pub fn change(&mut self, new: ServiceFile, now: f64) {
        let fixed = self.file.fixed_that_changed(&new);
        if !fixed.is_empty() {
            log::warn!("service file: {} can't change while running, what was stands", fixed.join(", "));
        }
        let mut file = new;
        file.bgp.asn = self.file.bgp.asn;
        file.bgp.identifier = self.file.bgp.identifier;
        file.bgp.listen = self.file.bgp.listen;
        self.announcer.reconfigure(file.terms(), now);
        self.advertisements_changed();
        for peer in self.peers.iter_mut().filter(|peer| !peer.is_leaving) {
            reconfigure(peer, &file, now);
        }
        // While draining no session begins: it could tell nothing.
        if self.announcer.draining().is_none() {
            self.add_new_peers(&file, now);
        }
        log::info!(peers = file.bgp.peers.len(), addresses = file.addresses.len(); "service file taken");
        self.file = file;
    }

    fn add_new_peers(&mut self, file: &ServiceFile, now: f64) {
        for part in &file.bgp.peers {
            let is_it = |peer: &BgpPeer| !peer.is_leaving && peer.part.name == part.name;
            if !self.peers.iter().any(is_it) {
                self.seed = self.seed.wrapping_add(1);
                self.peers.push(BgpPeer::new(part, file, self.seed, now));
            }
        }
    }

    fn advertisements_changed(&mut self) {
        self.advertisements.version += 1;
        self.advertisements.by_prefix = self.announcer.advertisements();
    }

    /// Accepts what waits, as far as one turn goes.
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
                    log::debug!("bgp accept: {error}");
                    return;
                }
            }
        }
        self.unfinished.push(EventSource::BgpListener);
    }

    fn admit(&mut self, stream: TcpStream, from: IpAddr, now: f64) -> Result<(), RefusedConnection> {
        let is_it = |peer: &&mut BgpPeer| !peer.is_leaving && peer.part.address.ip() == from;
        let peer = self.peers.iter_mut().find(is_it).ok_or(RefusedConnection::UnknownPeer)?;
        let socket = peer.prepare_accepted(stream)?;
        if peer.has_idle_incoming() {
            return Err(RefusedConnection::AlreadyOpen);
        }
        if !peer.session.connected(Direction::Incoming, now) {
            return Err(RefusedConnection::NotWanted);
        }
        self.last_connection += 1;
        let id = self.last_connection;
        peer.accept(&self.handle, socket, id, now);
        self.unfinished.push(EventSource::BgpConnection(id));
        Ok(())
    }

    /// A connection is ready.
    pub fn ready(&mut self, id: u64, readiness: Readiness, now: f64) {
        let mut peers = self.peers.iter().enumerate();
        let found = peers.find_map(|(index, peer)| Some((index, peer.direction_of(id)?)));
        let Some((index, direction)) = found else { return };
        let peer = &mut self.peers[index];
        if let Some(connection) = peer.connection_mut(direction) {
            connection.note_ready(readiness);
        }
        match catch_panic(SESSION, || peer.work(direction, now)) {
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

    /// The session's code panicked: its connections end, so the peer withdraws what it was told, and it begins anew.
    fn restart_peer(&mut self, index: usize, now: f64) {
        self.counters.panics += 1;
        let peer = &mut self.peers[index];
        for connection in peer.take_connections() {
            self.handle.remove(connection.token);
        }
        let part: PeerPart = peer.part.clone();
        self.seed = self.seed.wrapping_add(1);
        let mut restarted = BgpPeer::new(&part, &self.file, self.seed, now);
        if self.announcer.draining().is_some() {
            restarted.session.drain(BTreeMap::new(), now);
        }
        self.peers[index] = restarted;
    }

    /// What peers show of the service addresses.
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

    /// One turn: decisions, then what they ask of the peers, then what is to be written.
    pub fn turn(&mut self, now: f64, readings: impl FnOnce() -> Readings) {
        if now >= self.announcer.due() {
            let paths = self.paths();
            if self.announcer.turn(now, &readings(), &paths) {
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
            self.carry_out(index, now);
        }
        self.drop_finished_peers();
    }

    /// Runs a session's timers, and hands it what it is to announce; false where its code panicked.
    fn run_session(&mut self, index: usize, now: f64) -> bool {
        let is_draining = self.announcer.draining().is_some();
        let Advertisements { version, by_prefix } = &self.advertisements;
        let peer = &mut self.peers[index];
        let done = catch_panic(SESSION, || {
            if peer.session.due() <= now {
                peer.session.run_timers(now);
            }
            if peer.given_version == *version {
                return;
            }
            if is_draining {
                peer.session.drain(by_prefix.clone(), now);
            } else {
                peer.session.announce(by_prefix.clone(), now);
            }
            peer.given_version = *version;
        });
        done.is_some()
    }

    fn drop_finished_peers(&mut self) {
        let handle = &self.handle;
        let counters = &mut self.counters;
        self.peers.retain(|peer| {
            let is_over = peer.is_leaving && peer.session.is_finished();
            if is_over {
                for token in peer.tokens() {
                    handle.remove(token);
                }
                status::add_counters(counters, &peer.session);
            }
            !is_over
        });
    }

    /// Does what a session asks for, writes what it has to tell, and logs what it says.
    fn carry_out(&mut self, index: usize, now: f64) {
        for _ in 0..MAX_ACTIONS {
            let Some(action) = self.peers[index].session.next_action() else { break };
            self.carry_out_action(index, action, now);
        }
        for direction in [Direction::Outgoing, Direction::Incoming] {
            if let Err(error) = self.peers[index].flush(direction, now) {
                self.connection_lost(index, direction, &error, now);
            }
        }
        let BgpPeer { part, session, .. } = &mut self.peers[index];
        while let Some(LogEntry { importance, message }) = session.next_log_entry() {
            let level = match importance {
                Importance::Notable => log::Level::Info,
                Importance::Routine => log::Level::Debug,
            };
            log::log!(level, peer = part.name.as_str(), address:% = part.address; "bgp {message}");
        }
    }

    fn carry_out_action(&mut self, index: usize, action: Action, now: f64) {
        let peer = &mut self.peers[index];
        match action {
            Action::Close(direction) => {
                if let Some(connection) = peer.take_connection(direction) {
                    self.handle.remove(connection.token);
                }
            }
            Action::Connect => {
                self.last_connection += 1;
                if let Err(error) = peer.connect(&self.handle, self.last_connection) {
                    peer.session.closed(Direction::Outgoing, &error.to_string(), now);
                }
            }
        }
    }

    /// When its next turn is due, on the monotonic clock.
    pub fn due(&self) -> f64 {
        let peers = self.peers.iter().map(|peer| peer.session.due());
        let goodbye = self.goodbye_at.map_or(f64::INFINITY, |at| at + shutdown::GOODBYE_TIMEOUT);
        peers.fold(self.announcer.due().min(goodbye), f64::min)
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
    pub fn unfinished(&mut self) -> Vec<EventSource> {
        let mut unfinished = std::mem::take(&mut self.unfinished);
        for peer in &self.peers {
            unfinished.extend(peer.unfinished());
        }
        unfinished
    }
}

/// Other addresses are told on the session that is up; what else is new in a peer's part ends it.
fn reconfigure(peer: &mut BgpPeer, file: &ServiceFile, now: f64) {
    let part = file.bgp.peers.iter().find(|part| part.name == peer.part.name);
    let same = part.filter(|part| **part == peer.part);
    if same.is_some_and(|part| peer.session.reconfigure(&part.terms(&file.bgp, &file.addresses))) {
        return;
    }
    let subcode = match part {
        Some(_) => CeaseSubcode::OtherConfigurationChange,
        None => CeaseSubcode::PeerDeconfigured,
    };
    peer.session.shut_down(subcode, "new service file", now);
    peer.is_leaving = true;
}

/// One line for each change of how an address stands.
fn log_event(event: &AddressEvent) {
    let AddressEvent { prefix, level, reason, healthy_paths, total_paths, suppressed_by } = event;
    let is_planned = matches!(reason, Reason::Draining | Reason::Drained | Reason::Starting);
    let is_bad = *level < Level::Depreferred && !is_planned;
    let log_level = if is_bad { log::Level::Warn } else { log::Level::Info };
    match suppressed_by {
        None => log::log!(
            log_level, address:% = prefix, level:% = level, sound = *healthy_paths, seen = *total_paths;
            "announce {prefix} {level}: {reason}"
        ),
        Some(what) => log::log!(
            log_level, address:% = prefix, level:% = level, sound = *healthy_paths, seen = *total_paths;
            "announce {prefix} stays {level}: {reason}; held back by {what}"
        ),
    }
}
