//! Outgoing TCP connections that come up, or do not, later.

use super::event_source::{watch, EventSource, LoopHandle};
use calloop::RegistrationToken;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// A connection and its registration with the event loop.
pub struct RegisteredStream {
    pub token: RegistrationToken,
    pub stream: Rc<TcpStream>,
}

/// Begins a connection.
pub fn begin_connect(
    handle: &LoopHandle,
    to: SocketAddr,
    source: EventSource,
) -> io::Result<RegisteredStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    connect_nonblocking(&socket, to)?;
    let stream = Rc::new(TcpStream::from(socket));
    let token = watch(handle, stream.clone(), source)?;
    Ok(RegisteredStream { token, stream })
}

/// Begins the connection of a socket that does not block.
pub fn connect_nonblocking(socket: &Socket, to: SocketAddr) -> io::Result<()> {
    match socket.connect(&to.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(()),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INPROGRESS | Errno::WOULDBLOCK))
}

/// Whether a connection that was begun is up.
///
/// # Errors
/// Why it never will be; it has until `until` to come up.
pub fn is_connected(stream: &TcpStream, until: f64, now: f64) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    let is_up = stream.peer_addr().is_ok();
    if !is_up && now >= until {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "no connection came up"));
    }
    Ok(is_up)
}

/// The process or the system has no descriptor or buffer left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS))
}
