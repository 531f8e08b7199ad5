//! What the event loop reports as ready, and how files are registered with it.

use crate::routing::SessionId;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use std::io;
use std::os::fd::AsFd;

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EventSource {
    ClientListener,
    ClientSession(SessionId),
    EngineConnection(u64),
    Discovery,
    /// A connection to a routing peer.
    BgpConnection(u64),
    /// Where routing peers connect to.
    BgpListener,
    /// The socket to other routers.
    Cluster,
}

/// What has become ready since the last turn; the loop's callbacks only note it here.
#[derive(Default)]
pub struct ReadyEvents {
    pub sources: Vec<(EventSource, Readiness)>,
    pub signals: Vec<Signal>,
}

/// The handle by which files are registered with the event loop.
pub type LoopHandle = calloop::LoopHandle<'static, ReadyEvents>;

/// Registers a file under its source.
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
