//! The TCP connections of one routing peer, around its session in `cleatgw-bgp`.

use super::event_source::{watch, EventSource, LoopHandle};
use super::sockets::connect_nonblocking;
use calloop::{Readiness, RegistrationToken};
use cleatgw_bgp::{Direction, Peer, MAX_MESSAGE_LENGTH};
use cleatgw_operator_config::{PeerPart, ServiceFile};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;

/// Input that is held of a connection: a complete message and what came with it.
const MAX_INPUT: usize = 2 * MAX_MESSAGE_LENGTH;
/// The TTL with which messages are sent (GTSM, RFC 5082).
const GTSM_TTL: u32 = 255;
const DIRECTIONS: [Direction; 2] = [Direction::Outgoing, Direction::Incoming];

/// Why a connection to a routing peer is gone.
#[derive(Debug, thiserror::Error)]
pub enum BgpConnectionError {
    #[error("not wanted any more")]
    NotWanted,
    #[error("closed")]
    Closed,
    #[error("takes nothing")]
    TakesNothing,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// GTSM (RFC 5082): messages are sent with the highest TTL, and the system drops what has come from further away.
fn limit_hops(socket: &Socket, peer: &SocketAddr, hops: u8) -> io::Result<()> {
    let least_ttl = libc::c_int::from(256 - i16::from(hops));
    let (level, name) = match peer {
        SocketAddr::V4(_) => {
            socket.set_ttl_v4(GTSM_TTL)?;
            (libc::IPPROTO_IP, libc::IP_MINTTL)
        }
        SocketAddr::V6(_) => {
            socket.set_unicast_hops_v6(GTSM_TTL)?;
            (libc::IPPROTO_IPV6, libc::IPV6_MINHOPCOUNT)
        }
    };
    let value: *const libc::c_int = &least_ttl;
    let size = std::mem::size_of::<libc::c_int>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `socket` is borrowed, and `value` points to `size` bytes.
    let done = unsafe { libc::setsockopt(socket.as_raw_fd(), level, name, value.cast(), size) };
    if done == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Sets a socket to this peer, or an accepted one, up as the file wants it.
fn prepare(socket: &Socket, part: &PeerPart) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match part.hops {
        Some(hops) => limit_hops(socket, &part.address, hops),
        None => Ok(()),
    }
}

/// One TCP connection.
pub struct BgpConnection {
    /// Its own for good: what the loop tells of an older one finds nothing.
    pub id: u64,
    pub token: RegistrationToken,
    stream: Rc<TcpStream>,
    input: Vec<u8>,
    is_up: bool,
    readable: bool,
    writable: bool,
}

impl BgpConnection {
    fn new(handle: &LoopHandle, stream: TcpStream, id: u64, is_up: bool) -> io::Result<BgpConnection> {
        let stream = Rc::new(stream);
        let token = watch(handle, stream.clone(), EventSource::BgpConnection(id))?;
        Ok(BgpConnection { id, token, stream, input: Vec::new(), is_up, readable: is_up, writable: true })
    }

    /// Its stream is ready.
    pub fn note_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Reads what there is room for; tells whether the connection goes on.
    fn read(&mut self) -> io::Result<bool> {
        let mut chunk = [0; MAX_MESSAGE_LENGTH];
        while self.input.len() < MAX_INPUT {
            let room = (MAX_INPUT - self.input.len()).min(MAX_MESSAGE_LENGTH);
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

    /// More may be taken though nothing becomes ready.
    fn is_unfinished(&self) -> bool {
        let has_message = cleatgw_bgp::frame(&self.input).is_ok_and(|found| found.is_some());
        self.is_up && (self.readable || has_message)
    }
}

/// One routing peer: its session, and at most one connection in each direction.
pub struct BgpPeer {
    pub part: PeerPart,
    pub session: Peer,
    /// It is not in the file any more, and ends.
    pub is_leaving: bool,
    /// The version of the advertisements that it was given.
    pub given_version: u64,
    connections: [Option<BgpConnection>; 2],
}

impl BgpPeer {
    pub fn new(part: &PeerPart, file: &ServiceFile, seed: u64, now: f64) -> BgpPeer {
        BgpPeer {
            part: part.clone(),
            session: Peer::new(part.terms(&file.bgp, &file.addresses), seed, now),
            is_leaving: false,
            given_version: 0,
            connections: [None, None],
        }
    }

    pub fn connection_mut(&mut self, direction: Direction) -> Option<&mut BgpConnection> {
        self.connections[direction as usize].as_mut()
    }

    pub fn take_connection(&mut self, direction: Direction) -> Option<BgpConnection> {
        self.connections[direction as usize].take()
    }

    /// Takes all its connections.
    pub fn take_connections(&mut self) -> Vec<BgpConnection> {
        self.connections.iter_mut().filter_map(Option::take).collect()
    }

    /// The registrations of its connections.
    pub fn tokens(&self) -> impl Iterator<Item = RegistrationToken> + '_ {
        self.connections.iter().flatten().map(|connection| connection.token)
    }

    /// The direction of a connection of its own.
    pub fn direction_of(&self, id: u64) -> Option<Direction> {
        let is_it = |direction: &Direction| {
            self.connections[*direction as usize].as_ref().is_some_and(|connection| connection.id == id)
        };
        DIRECTIONS.into_iter().find(is_it)
    }

    /// The sources of connections that have more to read or to take.
    pub fn unfinished(&self) -> impl Iterator<Item = EventSource> + '_ {
        let connections = self.connections.iter().flatten();
        let unfinished = connections.filter(|connection| connection.is_unfinished());
        unfinished.map(|connection| EventSource::BgpConnection(connection.id))
    }

    /// Begins a connection to the peer.
    pub fn connect(&mut self, handle: &LoopHandle, id: u64) -> io::Result<()> {
        let to = self.part.address;
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        prepare(&socket, &self.part)?;
        if let Some(from) = self.part.from {
            socket.bind(&SocketAddr::new(from, 0).into())?;
        }
        connect_nonblocking(&socket, to)?;
        let connection = BgpConnection::new(handle, TcpStream::from(socket), id, false)?;
        self.connections[Direction::Outgoing as usize] = Some(connection);
        Ok(())
    }

    /// Sets a connection up that the peer has begun, as far as the system goes.
    pub fn prepare_accepted(&self, stream: TcpStream) -> io::Result<Socket> {
        let socket = Socket::from(stream);
        prepare(&socket, &self.part)?;
        Ok(socket)
    }

    /// The peer's own connection is open, and everything on it is written.
    pub fn has_idle_incoming(&self) -> bool {
        self.connections[Direction::Incoming as usize].is_some()
            && self.session.unsent(Direction::Incoming).is_empty()
    }

    /// Takes a connection that the peer has begun, in place of an older one.
    pub fn accept(&mut self, handle: &LoopHandle, socket: Socket, id: u64, now: f64) {
        let connection = BgpConnection::new(handle, TcpStream::from(socket), id, true);
        if let Some(old) = self.take_connection(Direction::Incoming) {
            handle.remove(old.token);
        }
        match connection {
            Ok(connection) => self.connections[Direction::Incoming as usize] = Some(connection),
            Err(error) => self.session.closed(Direction::Incoming, &error.to_string(), now),
        }
    }

    /// Reads and writes one connection.
    ///
    /// # Errors
    /// Why it is gone.
    pub fn work(&mut self, direction: Direction, now: f64) -> Result<(), BgpConnectionError> {
        if !self.comes_up(direction, now)? {
            return Ok(());
        }
        let Some(connection) = &mut self.connections[direction as usize] else { return Ok(()) };
        if connection.readable && !connection.read()? {
            // What came ahead of the end is taken first.
            let input = std::mem::take(&mut connection.input);
            self.session.receive(direction, &input, now);
            return Err(BgpConnectionError::Closed);
        }
        let received = self.session.receive(direction, &connection.input, now);
        connection.input.drain(..received.consumed);
        self.flush(direction, now)
    }

    /// Whether a connection is up, or has just come up.
    fn comes_up(&mut self, direction: Direction, now: f64) -> Result<bool, BgpConnectionError> {
        let Some(connection) = &mut self.connections[direction as usize] else { return Ok(false) };
        if connection.is_up {
            return Ok(true);
        }
        if let Some(error) = connection.stream.take_error()? {
            return Err(error.into());
        }
        if connection.stream.peer_addr().is_err() {
            return Ok(false);
        }
        connection.is_up = true;
        if self.session.connected(direction, now) {
            Ok(true)
        } else {
            Err(BgpConnectionError::NotWanted)
        }
    }

    /// Writes what the session has to tell.
    pub fn flush(&mut self, direction: Direction, now: f64) -> Result<(), BgpConnectionError> {
        let Some(connection) = &mut self.connections[direction as usize] else { return Ok(()) };
        while connection.is_up && connection.writable && !self.session.unsent(direction).is_empty() {
            match (&*connection.stream).write(self.session.unsent(direction)) {
                Ok(0) => return Err(BgpConnectionError::TakesNothing),
                Ok(length) => self.session.written(direction, length, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => connection.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}
