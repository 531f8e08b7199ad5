//! The TCP connections to one BGP peer. The protocol itself is handled by the peer's session in `cleatgw-bgp`.

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

/// Limit on the input buffered for a connection, in bytes: one complete message plus the bytes received with it.
const MAX_INPUT: usize = 2 * MAX_MESSAGE_LENGTH;
/// TTL of sent packets (GTSM, RFC 5082).
const GTSM_TTL: u32 = 255;
const DIRECTIONS: [Direction; 2] = [Direction::Outgoing, Direction::Incoming];

/// Why a connection to a BGP peer ended.
#[derive(Debug, thiserror::Error)]
pub enum BgpConnectionError {
    #[error("connection came up after the session had stopped needing it")]
    Unneeded,
    #[error("closed by the peer")]
    Closed,
    #[error("the socket accepted no bytes of a write")]
    WriteZero,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Configures GTSM (RFC 5082): packets are sent with the highest TTL, and the system drops received packets whose TTL
/// shows that they crossed more than the allowed number of hops.
fn limit_hops(socket: &Socket, peer: &SocketAddr, hops: u8) -> io::Result<()> {
    let min_ttl = libc::c_int::from(256 - i16::from(hops));
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
    let value: *const libc::c_int = &min_ttl;
    let size = std::mem::size_of::<libc::c_int>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as `socket` is borrowed, and `value` points to `size` bytes.
    let result = unsafe { libc::setsockopt(socket.as_raw_fd(), level, name, value.cast(), size) };
    if result == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Applies the socket options of the peer's configuration to an outgoing or accepted socket.
fn prepare(socket: &Socket, config: &PeerPart) -> io::Result<()> {
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match config.hops {
        Some(hops) => limit_hops(socket, &config.address, hops),
        None => Ok(()),
    }
}

/// One TCP connection to a BGP peer.
pub struct BgpConnection {
    /// Never reused, so that events which the loop reports for a closed connection match no later one.
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

    /// Records that the event loop has reported the stream as ready.
    pub fn note_ready(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable;
        self.writable |= readiness.writable;
    }

    /// Reads until the input buffer is full or nothing more is ready. Returns false at the end of the stream.
    fn read(&mut self) -> io::Result<bool> {
        let mut chunk = [0; MAX_MESSAGE_LENGTH];
        while self.input.len() < MAX_INPUT {
            let limit = (MAX_INPUT - self.input.len()).min(MAX_MESSAGE_LENGTH);
            match (&*self.stream).read(&mut chunk[..limit]) {
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

    /// Whether there is more to read or to process, though the event loop will not report the stream again.
    fn is_unfinished(&self) -> bool {
        let has_message = cleatgw_bgp::frame(&self.input).is_ok_and(|found| found.is_some());
        self.is_up && (self.readable || has_message)
    }
}

/// One BGP peer: its session, and at most one connection in each direction.
pub struct BgpPeer {
    pub config: PeerPart,
    pub session: Peer,
    /// The peer was removed from the service file or changed there, so its session is shutting down.
    pub is_leaving: bool,
    /// The version of the advertisements that were last handed to the session; 0 before the first, so that a new
    /// session gets the current ones.
    pub applied_version: u64,
    connections: [Option<BgpConnection>; 2],
}

impl BgpPeer {
    pub fn new(config: &PeerPart, file: &ServiceFile, seed: u64, now: f64) -> BgpPeer {
        BgpPeer {
            config: config.clone(),
            session: Peer::new(config.peer_config(&file.bgp, &file.addresses), seed, now),
            is_leaving: false,
            applied_version: 0,
            connections: [None, None],
        }
    }

    pub fn connection_mut(&mut self, direction: Direction) -> Option<&mut BgpConnection> {
        self.connections[direction as usize].as_mut()
    }

    pub fn take_connection(&mut self, direction: Direction) -> Option<BgpConnection> {
        self.connections[direction as usize].take()
    }

    /// Removes and returns all connections of the peer.
    pub fn take_connections(&mut self) -> Vec<BgpConnection> {
        self.connections.iter_mut().filter_map(Option::take).collect()
    }

    /// The event-loop registrations of the peer's connections.
    pub fn tokens(&self) -> impl Iterator<Item = RegistrationToken> + '_ {
        self.connections.iter().flatten().map(|connection| connection.token)
    }

    /// The direction of the connection with this id, if it belongs to this peer.
    pub fn direction_of(&self, id: u64) -> Option<Direction> {
        let has_id = |direction: &Direction| {
            self.connections[*direction as usize].as_ref().is_some_and(|connection| connection.id == id)
        };
        DIRECTIONS.into_iter().find(has_id)
    }

    /// The event sources of connections that have more to read or to process.
    pub fn unfinished(&self) -> impl Iterator<Item = EventSource> + '_ {
        let connections = self.connections.iter().flatten();
        let unfinished = connections.filter(|connection| connection.is_unfinished());
        unfinished.map(|connection| EventSource::BgpConnection(connection.id))
    }

    /// Starts an outgoing connection to the peer.
    pub fn connect(&mut self, handle: &LoopHandle, id: u64) -> io::Result<()> {
        let to = self.config.address;
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        prepare(&socket, &self.config)?;
        if let Some(from) = self.config.from {
            socket.bind(&SocketAddr::new(from, 0).into())?;
        }
        connect_nonblocking(&socket, to)?;
        let connection = BgpConnection::new(handle, TcpStream::from(socket), id, false)?;
        self.connections[Direction::Outgoing as usize] = Some(connection);
        Ok(())
    }

    /// Applies the socket options to a connection that was accepted from the peer.
    pub fn prepare_accepted(&self, stream: TcpStream) -> io::Result<Socket> {
        let socket = Socket::from(stream);
        prepare(&socket, &self.config)?;
        Ok(socket)
    }

    /// Whether a connection opened by the peer exists and all bytes queued on it have been written.
    pub fn has_flushed_incoming(&self) -> bool {
        self.connections[Direction::Incoming as usize].is_some()
            && self.session.unsent(Direction::Incoming).is_empty()
    }

    /// Adopts a connection opened by the peer, in place of an older one. If it can't be registered with the event loop,
    /// the older one is closed all the same, and the session is notified that its connection is closed.
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
    /// The connection failed, was closed by the peer, or came up after the session had stopped needing it.
    pub fn process_io(&mut self, direction: Direction, now: f64) -> Result<(), BgpConnectionError> {
        if !self.poll_connected(direction, now)? {
            return Ok(());
        }
        let Some(connection) = &mut self.connections[direction as usize] else { return Ok(()) };
        if connection.readable && !connection.read()? {
            // Bytes received before the end of the stream are still processed.
            let input = std::mem::take(&mut connection.input);
            self.session.receive(direction, &input, now);
            return Err(BgpConnectionError::Closed);
        }
        let received = self.session.receive(direction, &connection.input, now);
        connection.input.drain(..received.consumed);
        self.flush(direction, now)
    }

    /// Checks whether a connection is up, and notifies the session if it has just come up.
    fn poll_connected(&mut self, direction: Direction, now: f64) -> Result<bool, BgpConnectionError> {
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
            Err(BgpConnectionError::Unneeded)
        }
    }

    /// Writes the bytes that the session has queued, as far as the socket accepts them.
    pub fn flush(&mut self, direction: Direction, now: f64) -> Result<(), BgpConnectionError> {
        let Some(connection) = &mut self.connections[direction as usize] else { return Ok(()) };
        while connection.is_up && connection.writable && !self.session.unsent(direction).is_empty() {
            match (&*connection.stream).write(self.session.unsent(direction)) {
                Ok(0) => return Err(BgpConnectionError::WriteZero),
                Ok(length) => self.session.written(direction, length, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => connection.writable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}
