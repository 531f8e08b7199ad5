//! The socket that accepts client connections.

use super::event_source::{watch, EventSource, LoopHandle};
use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections that the system queues until they are accepted, at most.
const BACKLOG: i32 = 1024;
/// How long binding is retried while the address is in use: a former process may not have released it yet.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRIES: u32 = 100;

pub struct Listener {
    pub socket: Rc<TcpListener>,
    pub token: RegistrationToken,
}

impl Listener {
    /// Listens on an address and registers the socket with the event loop.
    ///
    /// # Errors
    /// The address can't be bound, also because it stays in use for `BIND_TIMEOUT`, or the registration fails.
    pub fn open(handle: &LoopHandle, listen: SocketAddr) -> io::Result<Listener> {
        let socket = Rc::new(bind(listen)?);
        log::info!("router listens on {listen} for clients");
        let token = watch(handle, socket.clone(), EventSource::ClientListener)?;
        Ok(Listener { socket, token })
    }
}

/// Binds the address and listens on it. Retries for `BIND_TIMEOUT` while the address is in use.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?;
    let started_at = Instant::now();
    while let Err(error) = socket.bind(&listen.into()) {
        if error.kind() != ErrorKind::AddrInUse || started_at.elapsed() > BIND_TIMEOUT {
            return Err(error);
        }
        std::thread::sleep(BIND_TIMEOUT / BIND_RETRIES);
    }
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(socket))
}
