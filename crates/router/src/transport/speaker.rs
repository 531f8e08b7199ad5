//! The speaker: connections to routing peers, around the sessions of `cleatgw-bgp` and the decisions of
//! `cleatgw-announce`. It decides nothing itself: it reads, hands over, and writes what came of it.

use super::{guarded, Handle, Source};
use crate::routing::Counters;
use calloop::{Readiness, RegistrationToken};
use cleatgw_announce::{AddressEvent, AddressStatus, Announcer, Level, Paths, Readings, Reason};
use cleatgw_bgp::{
    Action, Advertisement, CeaseSubcode, Direction, Importance, LogEntry, Peer, State, MAX_MESSAGE_LENGTH,
};
use cleatgw_operator_config::{PeerPart, ServiceFile};
use ipnet::IpNet;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;

/// Input that is kept of a connection: a whole message and what came with it.
const INPUT: usize = 2 * MAX_MESSAGE_LENGTH;
/// Connections accepted in one turn.
const ACCEPTED: usize = 16;
/// How long the last messages may take at the end.
const FAREWELL: f64 = 0.2;
const WORDS: &str = "planned stop";

struct Wire {
    /// Its own for good: what the loop tells of an older one finds nothing.
    id: u64,
    token: RegistrationToken,
    stream: Rc<TcpStream>,
    input: Vec<u8>,
    up: bool,
    readable: bool,
    writable: bool,
}

struct Speaking {
    part: PeerPart,
    peer: Peer,
    wires: [Option<Wire>; 2],
    /// It is not in the file any more, and ends.
    leaves: bool,
    /// Which of what is wanted it was given.
    given: u64,
}

pub struct Speaker {
    handle: Handle,
    file: ServiceFile,
    announcer: Announcer,
    peers: Vec<Speaking>,
    listener: Option<(RegistrationToken, Rc<TcpListener>)>,
    next_wire: u64,
    seed: u64,
    again: Vec<Source>,
    /// What peers are to be told, and how often that has changed.
    wanted: (u64, BTreeMap<IpNet, Advertisement>),
    /// When the last messages went out.
    farewell: Option<f64>,
    /// What was counted by peers that are gone.
    counters: Counters,
}

/// GTSM (RFC 5082): we send with the highest TTL, and the system drops what has come from further away.
fn near(socket: &Socket, peer: &SocketAddr, hops: u8) -> io::Result<()> {
    let least = libc::c_int::from(256 - i16::from(hops));
    let (level, name) = match peer {
        SocketAddr::V4(_) => {
            socket.set_ttl_v4(255)?;
            (libc::IPPROTO_IP, libc::IP_MINTTL)
        }
        SocketAddr::V6(_) => {
            socket.set_unicast_hops_v6(255)?;
            (libc::IPPROTO_IPV6, libc::IPV6_MINHOPCOUNT)
        }
    };
    let value: *const libc::c_int = &least;
    let size = std::mem::size_of::<libc::c_int>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `socket` is borrowed, and `value` points to `size` bytes.
    let done = unsafe { libc::setsockopt(socket.as_raw_fd(), level, name, value.cast(), size) };
    if done == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// A socket to this peer, or an accepted one, as the file wants it.
fn prepare(socket: &Socket, part: &PeerPart) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    part.hops.map_or(Ok(()), |hops| near(socket, &part.address, hops))
}

impl Speaking {
    fn new(part: &PeerPart, file: &ServiceFile, seed: u64, now: f64) -> Speaking {
        let peer = Peer::new(part.terms(&file.bgp, &file.addresses), seed, now);
        Speaking { part: part.clone(), peer, wires: [None, None], leaves: false, given: 0 }
    }

    fn wire(&self, id: u64) -> Option<Direction> {
        let is = |side: &Direction| self.wires[*side as usize].as_ref().is_some_and(|wire| wire.id == id);
        [Direction::Outgoing, Direction::Incoming].into_iter().find(is)
    }

    fn connect(&self, handle: &Handle, id: u64) -> io::Result<Wire> {
        let to = self.part.address;
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        prepare(&socket, &self.part)?;
        if let Some(from) = self.part.from {
            socket.bind(&SocketAddr::new(from, 0).into())?;
        }
        if let Err(error) = socket.connect(&to.into()) {
            if !matches!(Errno::from_io_error(&error), Some(Errno::INPROGRESS | Errno::WOULDBLOCK)) {
                return Err(error);
            }
        }
        Wire::new(handle, TcpStream::from(socket), id, false)
    }

    /// Reads and writes one connection. An error is why it is gone.
    fn work(&mut self, side: Direction, now: f64) -> Result<(), String> {
        let words = |error: io::Error| error.to_string();
        let Some(wire) = &mut self.wires[side as usize] else { return Ok(()) };
        if !wire.up {
            if let Some(error) = wire.stream.take_error().map_err(words)? {
                return Err(words(error));
            }
            if wire.stream.peer_addr().is_err() {
                return Ok(());
            }
            wire.up = true;
            if !self.peer.connected(side, now) {
                return Err("not wanted any more".to_string());
            }
        }
        let Some(wire) = &mut self.wires[side as usize] else { return Ok(()) };
        if wire.readable {
            match wire.read().map_err(words) {
                Ok(true) => {}
                // What came ahead of the end is taken first.
                Ok(false) => {
                    let input = std::mem::take(&mut wire.input);
                    self.peer.receive(side, &input, now);
                    return Err("closed".to_string());
                }
                Err(why) => return Err(why),
            }
        }
        let received = self.peer.receive(side, &wire.input, now);
        wire.input.drain(..received.consumed);
        self.flush(side, now)
    }

    fn flush(&mut self, side: Direction, now: f64) -> Result<(), String> {
        let Some(wire) = &mut self.wires[side as usize] else { return Ok(()) };
        while wire.up && wire.writable && !self.peer.unsent(side).is_empty() {
            match (&*wire.stream).write(self.peer.unsent(side)) {
                Ok(0) => return Err("takes nothing".to_string()),
                Ok(length) => self.peer.written(side, length, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => wire.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.to_string()),
            }
        }
        Ok(())
    }

    /// More may be taken though nothing becomes ready.
    fn unfinished(&self, wire: &Wire) -> bool {
        let whole = cleatgw_bgp::frame(&wire.input).is_ok_and(|found| found.is_some());
        wire.up && (wire.readable || whole)
    }
}

impl Wire {
    fn new(handle: &Handle, stream: TcpStream, id: u64, up: bool) -> io::Result<Wire> {
        let stream = Rc::new(stream);
        let token = super::watch(handle, stream.clone(), Source::Speaker(id))?;
        Ok(Wire { id, token, stream, input: Vec::new(), up, readable: up, writable: true })
    }

    /// Reads what there is room for; tells whether the connection goes on.
    fn read(&mut self) -> io::Result<bool> {
        let mut chunk = [0; MAX_MESSAGE_LENGTH];
        while self.input.len() < INPUT {
            let room = (INPUT - self.input.len()).min(MAX_MESSAGE_LENGTH);
            match (&*self.stream).read(&mut chunk[..room]) {
                Ok(0) => return Ok(false),
                Ok(length) => self.input.extend(&chunk[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable = false;
                    return Ok(true);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

impl Speaker {
    pub fn open(handle: &Handle, file: ServiceFile, seed: u64, now: f64) -> io::Result<Speaker> {
        let listener = match file.bgp.listen {
            None => None,
            Some(address) => {
                let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
                socket.set_nonblocking(true)?;
                socket.set_reuse_address(true)?;
                socket.bind(&address.into())?;
                socket.listen(16)?;
                let listener = Rc::new(TcpListener::from(socket));
                log::info!(address:% = address; "bgp listens");
                Some((super::watch(handle, listener.clone(), Source::SpeakerListener)?, listener))
            }
        };
        let peers = file.bgp.peers.iter().enumerate();
        let peers = peers.map(|(at, part)| Speaking::new(part, &file, seed.wrapping_add(at as u64), now));
        Ok(Speaker {
            handle: handle.clone(),
            announcer: Announcer::new(file.terms(), seed, now),
            peers: peers.collect(),
            file,
            listener,
            next_wire: 0,
            seed,
            again: Vec::new(),
            wanted: (1, BTreeMap::new()),
            farewell: None,
            counters: Counters::default(),
        })
    }

    /// A new file: peers that are new or changed begin anew, those that are gone are told so.
    pub fn change(&mut self, new: ServiceFile, now: f64) {
        let fixed = self.file.fixed_that_changed(&new);
        if !fixed.is_empty() {
            log::warn!("service file: {} can't change while running, what was stands", fixed.join(", "));
        }
        let mut file = new;
        let bgp = &self.file.bgp;
        (file.bgp.asn, file.bgp.identifier, file.bgp.listen) = (bgp.asn, bgp.identifier, bgp.listen);
        self.announcer.reconfigure(file.terms(), now);
        self.changed();
        for speaking in self.peers.iter_mut().filter(|speaking| !speaking.leaves) {
            let part = file.bgp.peers.iter().find(|part| part.name == speaking.part.name);
            // Other addresses are told on the session that is up; what else is new in it ends it.
            let same = part.filter(|part| **part == speaking.part);
            if !same.is_some_and(|part| speaking.peer.reconfigure(&part.terms(&file.bgp, &file.addresses))) {
                let subcode = if part.is_some() {
                    CeaseSubcode::OtherConfigurationChange
                } else {
                    CeaseSubcode::PeerDeconfigured
                };
                speaking.peer.shut_down(subcode, "new service file", now);
                speaking.leaves = true;
            }
        }
        // While draining no session begins: it could tell nothing.
        if self.announcer.draining().is_none() {
            for part in &file.bgp.peers {
                let known = |speaking: &Speaking| !speaking.leaves && speaking.part.name == part.name;
                if !self.peers.iter().any(known) {
                    self.seed = self.seed.wrapping_add(1);
                    self.peers.push(Speaking::new(part, &file, self.seed, now));
                }
            }
        }
        log::info!(peers = file.bgp.peers.len(), addresses = file.addresses.len(); "service file taken");
        self.file = file;
    }

    fn changed(&mut self) {
        self.wanted = (self.wanted.0 + 1, self.announcer.advertisements());
    }

    pub fn accept(&mut self, now: f64) {
        let Some((_, listener)) = &self.listener else { return };
        let listener = listener.clone();
        for _ in 0..ACCEPTED {
            match listener.accept() {
                Ok((stream, from)) => {
                    if let Err(why) = self.arrives(stream, from.ip(), now) {
                        log::debug!(from:% = from; "bgp connection refused: {why}");
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return log::debug!("bgp accept: {error}"),
            }
        }
        self.again.push(Source::SpeakerListener);
    }

    fn arrives(&mut self, stream: TcpStream, from: IpAddr, now: f64) -> Result<(), String> {
        let known = |speaking: &&mut Speaking| !speaking.leaves && speaking.part.address.ip() == from;
        let Some(speaking) = self.peers.iter_mut().find(known) else {
            return Err("no peer of ours".to_string());
        };
        let words = |error: io::Error| error.to_string();
        let socket = Socket::from(stream);
        prepare(&socket, &speaking.part).map_err(words)?;
        if speaking.wires[Direction::Incoming as usize].is_some()
            && speaking.peer.unsent(Direction::Incoming).is_empty()
        {
            return Err("a connection of its own is open".to_string());
        }
        if !speaking.peer.connected(Direction::Incoming, now) {
            return Err("not wanted now".to_string());
        }
        self.next_wire += 1;
        let id = self.next_wire;
        let wire = Wire::new(&self.handle, TcpStream::from(socket), id, true);
        if let Some(old) = speaking.wires[Direction::Incoming as usize].take() {
            self.handle.remove(old.token);
        }
        match wire {
            Ok(wire) => speaking.wires[Direction::Incoming as usize] = Some(wire),
            Err(error) => speaking.peer.closed(Direction::Incoming, &words(error), now),
        }
        self.again.push(Source::Speaker(id));
        Ok(())
    }

    pub fn ready(&mut self, id: u64, readiness: Readiness, now: f64) {
        let found = self.peers.iter().enumerate().find_map(|(at, speaking)| Some((at, speaking.wire(id)?)));
        let Some((at, side)) = found else { return };
        if let Some(wire) = &mut self.peers[at].wires[side as usize] {
            wire.readable |= readiness.readable;
            wire.writable |= readiness.writable;
        }
        let speaking = &mut self.peers[at];
        match guarded("a routing peer's session", || speaking.work(side, now)) {
            Some(Ok(())) => {}
            Some(Err(why)) => self.gone(at, side, &why, now),
            None => self.begin_anew(at, now),
        }
    }

    fn gone(&mut self, at: usize, side: Direction, why: &str, now: f64) {
        if let Some(wire) = self.peers[at].wires[side as usize].take() {
            self.handle.remove(wire.token);
        }
        self.peers[at].peer.closed(side, why, now);
    }

    /// The session's code failed: its connections end, so the peer withdraws what we told, and it begins anew.
    fn begin_anew(&mut self, at: usize, now: f64) {
        self.counters.panics += 1;
        let Speaking { part, wires, .. } = &mut self.peers[at];
        for wire in wires.iter_mut().filter_map(Option::take) {
            self.handle.remove(wire.token);
        }
        let part = part.clone();
        self.seed = self.seed.wrapping_add(1);
        self.peers[at] = Speaking::new(&part, &self.file, self.seed, now);
        if self.announcer.draining().is_some() {
            self.peers[at].peer.drain(BTreeMap::new(), now);
        }
    }

    /// What peers show of our addresses.
    fn paths(&self) -> Paths {
        let up = |speaking: &&Speaking| speaking.peer.state() == State::Established;
        let mut paths = Paths::new(self.peers.iter().any(|speaking| up(&speaking)));
        let mark = self.announcer.config().mark;
        for speaking in &self.peers {
            speaking.peer.adj_rib_in.iter().for_each(|(net, seen)| paths.add(&mark, net, seen));
        }
        paths
    }

    /// One turn: decisions, then what they ask of the peers, then what is to be written.
    pub fn turn(&mut self, now: f64, readings: impl FnOnce() -> Readings) {
        if now >= self.announcer.due() {
            let paths = self.paths();
            if self.announcer.turn(now, &readings(), &paths) {
                self.changed();
            }
        }
        while let Some(event) = self.announcer.next_event() {
            log_event(&event);
        }
        let draining = self.announcer.draining();
        let (change, wanted) = (self.wanted.0, &self.wanted.1);
        let mut failed = Vec::new();
        for at in 0..self.peers.len() {
            let speaking = &mut self.peers[at];
            let done = guarded("a routing peer's session", || {
                if speaking.peer.due() <= now {
                    speaking.peer.run_timers(now);
                }
                match draining {
                    _ if speaking.given == change => {}
                    None => speaking.peer.announce(wanted.clone(), now),
                    Some(_) => speaking.peer.drain(wanted.clone(), now),
                }
                speaking.given = change;
            });
            failed.extend(done.is_none().then_some(at));
        }
        failed.into_iter().for_each(|at| self.begin_anew(at, now));
        (0..self.peers.len()).for_each(|at| self.carry_out(at, now));
        let handle = &self.handle;
        self.peers.retain(|speaking| {
            let over = speaking.leaves && speaking.peer.is_finished();
            if over {
                speaking.wires.iter().flatten().for_each(|wire| handle.remove(wire.token));
                count(&mut self.counters, &speaking.peer);
            }
            !over
        });
    }

    /// Does what a session asks for, and writes what it has to tell.
    fn carry_out(&mut self, at: usize, now: f64) {
        // Each act may bring about another one, but no more than these: both connections ended, one begun.
        for _ in 0..8 {
            let Some(act) = self.peers[at].peer.next_action() else { break };
            match act {
                Action::Close(side) => {
                    if let Some(wire) = self.peers[at].wires[side as usize].take() {
                        self.handle.remove(wire.token);
                    }
                }
                Action::Connect => {
                    self.next_wire += 1;
                    match self.peers[at].connect(&self.handle, self.next_wire) {
                        Ok(wire) => self.peers[at].wires[Direction::Outgoing as usize] = Some(wire),
                        Err(error) => {
                            self.peers[at].peer.closed(Direction::Outgoing, &error.to_string(), now)
                        }
                    }
                }
            }
        }
        for side in [Direction::Outgoing, Direction::Incoming] {
            if let Err(why) = self.peers[at].flush(side, now) {
                self.gone(at, side, &why, now);
            }
        }
        let Speaking { part, peer, .. } = &mut self.peers[at];
        while let Some(LogEntry { importance, message }) = peer.next_log_entry() {
            let level = match importance {
                Importance::Notable => log::Level::Info,
                Importance::Routine => log::Level::Debug,
            };
            log::log!(level, peer = part.name.as_str(), address:% = part.address; "bgp {message}");
        }
    }

    pub fn due(&self) -> f64 {
        let peers = self.peers.iter().map(|speaking| speaking.peer.due());
        let farewell = self.farewell.map_or(f64::INFINITY, |at| at + FAREWELL);
        peers.fold(self.announcer.due().min(farewell), f64::min)
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
    pub fn unfinished(&mut self) -> Vec<Source> {
        let mut again = std::mem::take(&mut self.again);
        for speaking in &self.peers {
            let left = speaking.wires.iter().flatten().filter(|wire| speaking.unfinished(wire));
            again.extend(left.map(|wire| Source::Speaker(wire.id)));
        }
        again
    }

    /// Begins the drain: withdrawals are decided now, and written in this turn. New work ends in so many seconds.
    pub fn drain(&mut self, now: f64, new_work: f64) {
        let drain = self.announcer.drain(now, new_work);
        self.changed();
        log::info!(
            withdraws_in = drain.withdraws_at - now, new_work_ends_in = drain.new_work_ends - now;
            "drain begins"
        );
    }

    /// No route of ours is left at any peer, as far as can be known.
    pub fn cleared(&self, now: f64) -> bool {
        let out = self.wanted.1.is_empty();
        out && self.peers.iter().all(|speaking| speaking.peer.all_withdrawn(now))
    }

    /// Says goodbye to all peers, once; tells whether that is done, or has had its time.
    pub fn farewell(&mut self, now: f64) -> bool {
        if self.farewell.is_none() {
            self.farewell = Some(now);
            for at in 0..self.peers.len() {
                self.peers[at].peer.shut_down(CeaseSubcode::AdministrativeShutdown, WORDS, now);
                self.carry_out(at, now);
            }
        }
        let over = self.peers.iter().all(|speaking| speaking.peer.is_finished());
        over || self.farewell.is_some_and(|at| now >= at + FAREWELL)
    }

    pub fn counters(&self) -> Counters {
        let mut counters = self.counters.clone();
        self.peers.iter().for_each(|speaking| count(&mut counters, &speaking.peer));
        counters.announce_changes = self.announcer.changes;
        counters.announce_guarded = self.announcer.guarded;
        counters.announce_damped = self.announcer.damped;
        counters.announce_capped = self.announcer.capped;
        counters
    }

    /// What an operator asks for, in rows of three.
    pub fn status(&self, now: f64) -> Vec<[String; 3]> {
        let mut rows = Vec::new();
        if let Some(drain) = self.announcer.draining() {
            let left = drain.new_work_ends - now;
            let work =
                if left > 0.0 { format!("new work for {left:.2} s more") } else { "no new work".to_string() };
            rows.push(["drain".to_string(), format!("since {:.2} s", now - drain.began), work]);
        }
        let paths = self.paths();
        for AddressStatus { prefix: net, level, reason, since, held_back_by } in self.announcer.statuses() {
            let waits = held_back_by.map_or(String::new(), |what| format!("; a move waits for {what}"));
            let (sound, seen) = (paths.healthy(&net), paths.total(&net));
            let others = format!("{sound} sound of {seen} others seen");
            let words = format!("{reason}, for {:.1} s; {others}{waits}", now - since);
            rows.push([format!("address {net}"), level.to_string(), words]);
        }
        for check in self.announcer.failing_checks() {
            rows.push(["sign".to_string(), "bad".to_string(), check.to_string()]);
        }
        for Speaking { part, peer, leaves, .. } in &self.peers {
            let counts = &peer.counters;
            let told: Vec<String> = peer.adj_rib_out().map(|(net, _)| net.to_string()).collect();
            let last = peer.last_error.as_deref().map_or(String::new(), |why| format!("; last error: {why}"));
            let leaving = if *leaves { ", leaving" } else { "" };
            let words = format!(
                "out {} [{}], seen {}, sessions {} lost {}{leaving}{last}",
                told.len(),
                told.join(" "),
                peer.adj_rib_in.len(),
                counts.established,
                counts.lost
            );
            rows.push([format!("peer {} {}", part.name, part.address), format!("{:?}", peer.state()), words]);
        }
        rows
    }
}

fn count(counters: &mut Counters, peer: &Peer) {
    let counts = &peer.counters;
    counters.bgp_established += counts.established;
    counters.bgp_lost += counts.lost;
    counters.bgp_updates_out += counts.updates_out;
    counters.bgp_updates_in += counts.updates_in;
    counters.bgp_notifications_out += counts.notifications_out;
    counters.bgp_notifications_in += counts.notifications_in;
    counters.bgp_treated_as_withdrawn += counts.treated_as_withdrawn;
    counters.bgp_passed_over += peer.adj_rib_in.ignored;
    counters.bgp_left_out += peer.adj_rib_in.over_limit;
}

/// One line for each change of how an address stands.
fn log_event(event: &AddressEvent) {
    let AddressEvent { prefix: net, level, reason, healthy_paths, total_paths, held_back_by } = event;
    let heavy = *level < Level::Depreferred
        && !matches!(reason, Reason::Draining | Reason::Drained | Reason::Starting);
    let at = if heavy { log::Level::Warn } else { log::Level::Info };
    match held_back_by {
        None => {
            log::log!(at, address:% = net, level:% = level, sound = *healthy_paths, seen = *total_paths; "announce {net} {level}: {reason}")
        }
        Some(what) => {
            log::log!(at, address:% = net, level:% = level, sound = *healthy_paths, seen = *total_paths; "announce {net} stays {level}: {reason}; held back by {what}")
        }
    }
}
