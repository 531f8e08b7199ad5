//! The sources of events that the event loop reports as ready, and the registration of files and signals with it.

use crate::routing::SessionId;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use std::io;
use std::os::fd::AsFd;

/// The file that an event concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
    /// The socket that accepts client connections.
    ClientListener,
    ClientSession(SessionId),
    /// A connection to an engine, by the id that the connection pool gave it.
    EngineConnection(u64),
    /// The connection to the discovery service.
    Discovery,
    /// A connection to a BGP peer, by the id that the speaker gave it.
    BgpConnection(u64),
    /// The socket that accepts connections from BGP peers.
    BgpListener,
    /// The UDP socket to the other routers of the cluster.
    Cluster,
}

/// The files and signals that have become ready since the last turn. The event loop's callbacks only record them here.
#[derive(Default)]
pub struct ReadyEvents {
    pub sources: Vec<(EventSource, Readiness)>,
    pub signals: Vec<Signal>,
}

/// The handle that registers files with the event loop.
pub type LoopHandle = calloop::LoopHandle<'static, ReadyEvents>;

/// Registers a file for edge-triggered reads and writes; its events are recorded under `source`.
pub fn watch<F: AsFd + 'static>(
    handle: &LoopHandle,
    file: F,
    source: EventSource,
) -> io::Result<RegistrationToken> {
    let watched = Generic::new(file, Interest::BOTH, Mode::Edge);
    let registered = handle.insert_source(watched, move |readiness, _, ready| {
        ready.sources.push((source, readiness));
        Ok(PostAction::Continue)
    });
    registered.map_err(|error| io::Error::other(error.error))
}

/// Registers the signals that the router handles.
pub fn watch_signals(handle: &LoopHandle) -> io::Result<()> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])?;
    let registered =
        handle.insert_source(signals, |event, _, ready: &mut ReadyEvents| ready.signals.push(event.signal()));
    registered.map(|_| ()).map_err(|error| io::Error::other(error.error))
}
