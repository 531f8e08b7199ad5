//! Outgoing non-blocking TCP connections, which are established or fail after the call that starts them.

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

/// Starts a connection and registers it with the event loop.
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

/// Starts the connection of a non-blocking socket. A connection that is still in progress is not an error.
pub fn connect_nonblocking(socket: &Socket, to: SocketAddr) -> io::Result<()> {
    match socket.connect(&to.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(()),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::INPROGRESS | Errno::WOULDBLOCK))
}

/// Whether a connection that was started is established.
///
/// # Errors
/// The connection failed, or it is not established and `now` has reached `connect_by`.
pub fn is_connected(stream: &TcpStream, connect_by: f64, now: f64) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    let is_established = stream.peer_addr().is_ok();
    if !is_established && now >= connect_by {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "the connection was not established in time"));
    }
    Ok(is_established)
}

/// Whether the process or the system has run out of file descriptors or socket buffers.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS))
}
