//! The server: one turn reads all that is ready, hands it to routing in one go, and writes what came of it.

use super::client_sessions::ClientSessions;
use super::clients_and_engines::ClientsAndEngines;
use super::clock::WallClock;
use super::connection_pool::ConnectionPool;
use super::discovery_client::DiscoveryClient;
use super::event_loop::{wait, TURN_INTERVAL};
use super::event_source::{watch_signals, EventSource, LoopHandle, ReadyEvents};
use super::health::Health;
use super::panic_guard::catch_panic;
use super::reload::Reloaders;
use super::shutdown::Shutdown;
use super::sockets::begin_connect;
use super::subsystems::{SubsystemSettings, Subsystems};
use crate::protocol::statement::Question;
use crate::routing::{Counters, RefusedStatement, Routing, TurnInput};
use calloop::signals::Signal;
use calloop::{EventLoop, Readiness};
use cleatgw_deployment_config::ConnectionLimits;
use std::io;
use std::net::SocketAddr;

/// Sessions and connections are looked over so often for what has stalled, in seconds.
const SWEEP_INTERVAL: f64 = 0.05;
/// A gap between turns is a pause from so many intervals on.
const PAUSE_INTERVALS: f64 = 1.5;
/// A line of the discovery service may take this part of the memory, and at least so many bytes: a list of 1,024 engines of
/// 1 KiB each, which is held only while it is read.
const LIST_LINE_PART: usize = 16;
const MIN_LIST_LINE: usize = 1024 * 1024;
/// The parts of the descriptors that engines may take.
const ENGINE_DESCRIPTOR_PART: usize = 4;
const MICROSECONDS: f64 = 1e6;

/// What a router is told at its start, beside what its decisions are told.
pub struct RouterSettings {
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    /// The last event of discovery that is known.
    pub last_event: u64,
    /// Descriptors that it may use.
    pub descriptors: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    pub connections: ConnectionLimits,
    /// How long a client waits for a request at most.
    pub longest_request: Option<f64>,
}

/// Everything that a running router holds.
pub(super) struct Server {
    pub(super) handle: LoopHandle,
    pub(super) routing: Routing,
    pub(super) discovery: DiscoveryClient,
    pub(super) subsystems: Subsystems,
    pub(super) reloaders: Reloaders,
    pub(super) counters: Counters,
    /// What the next round of routing is told.
    pub(super) input: TurnInput,
    connections: ClientsAndEngines,
    /// What is to be looked at in the next turn, though nothing becomes ready.
    unfinished: Vec<EventSource>,
    clock: WallClock,
    /// When the last turn began.
    last_turn_at: f64,
    /// When this turn was due, if nothing became ready before.
    wake_at: f64,
    sweep_at: f64,
    /// Engines are known, and clients are served.
    is_serving: bool,
    longest_request: Option<f64>,
    shutdown: Option<Shutdown>,
    health: Health,
}

/// Serves until the router is told to stop and every request has its answer.
///
/// # Errors
/// An address can't be listened on, or the event loop fails.
pub fn serve(
    settings: RouterSettings,
    routing: Routing,
    input: TurnInput,
    subsystems: SubsystemSettings,
    reloaders: Reloaders,
) -> io::Result<Counters> {
    let mut event_loop: EventLoop<ReadyEvents> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    watch_signals(&handle)?;
    let mut server = Server::open(handle, settings, routing, input, subsystems, reloaders)?;
    let mut ready = ReadyEvents::default();
    loop {
        server.turn(&mut ready);
        if server.has_stopped() {
            return Ok(server.all_counters());
        }
        wait(&mut event_loop, &mut server.clock, server.wake_at, &mut ready)?;
    }
}

impl Server {
    fn open(
        handle: LoopHandle,
        settings: RouterSettings,
        routing: Routing,
        input: TurnInput,
        subsystems: SubsystemSettings,
        reloaders: Reloaders,
    ) -> io::Result<Server> {
        let mut clock = WallClock::default();
        let now = clock.read();
        let RouterSettings { descriptors, memory, .. } = settings;
        let sessions = ClientSessions::open(&handle, settings.listen, descriptors, memory)?;
        let pool = ConnectionPool::new(&handle, settings.connections, descriptors / ENGINE_DESCRIPTOR_PART);
        let subsystems = Subsystems::open(&handle, subsystems, &routing, now)?;
        let longest_line = (memory / LIST_LINE_PART).max(MIN_LIST_LINE);
        Ok(Server {
            discovery: DiscoveryClient::new(settings.discovery, settings.last_event, longest_line, now),
            connections: ClientsAndEngines { sessions, pool, now },
            handle,
            routing,
            subsystems,
            reloaders,
            counters: Counters::default(),
            input,
            unfinished: Vec::new(),
            clock,
            last_turn_at: now,
            wake_at: f64::INFINITY,
            sweep_at: now,
            is_serving: false,
            longest_request: settings.longest_request,
            shutdown: None,
            health: Health::default(),
        })
    }

    /// One turn.
    fn turn(&mut self, ready: &mut ReadyEvents) {
        let now = self.clock.read();
        let overslept = (now - self.wake_at).max(0.0);
        self.begin_turn(now);
        let sources = self.take_sources(ready);
        for signal in std::mem::take(&mut ready.signals) {
            self.handle_signal(signal, now);
        }
        self.read_sources(sources, now);
        self.run_due(now);
        self.connections.sessions.read_new_sessions(self.is_serving, now, &mut self.input);
        self.run_subsystems(now);
        let wake_at = self.run_routing(now);
        let now = self.connections.now;
        self.answer_questions(now);
        self.start_serving_if_ready();
        self.note_unfinished();
        self.count_turn(overslept);
        self.schedule_next_turn(wake_at, now);
    }

    /// What has come in while there was no turn came after the last one, and its time runs from then.
    fn begin_turn(&mut self, now: f64) {
        let paused = now - self.last_turn_at > PAUSE_INTERVALS * TURN_INTERVAL;
        self.input.received_since = paused.then_some(self.last_turn_at);
        self.last_turn_at = now;
        self.connections.now = now;
    }

    /// What is ready, and what was left unfinished in the last turn.
    fn take_sources(&mut self, ready: &mut ReadyEvents) -> Vec<(EventSource, Readiness)> {
        let mut sources = std::mem::take(&mut ready.sources);
        let unfinished = std::mem::take(&mut self.unfinished);
        sources.extend(unfinished.into_iter().map(|source| (source, Readiness::EMPTY)));
        sources
    }

    fn read_sources(&mut self, sources: Vec<(EventSource, Readiness)>, now: f64) {
        let mut accepts = false;
        for (source, readiness) in sources {
            match source {
                EventSource::ClientListener => accepts = true,
                EventSource::ClientSession(id) => {
                    let sessions = &mut self.connections.sessions;
                    sessions.work(id, readiness, self.is_serving, now, &mut self.input);
                }
                EventSource::EngineConnection(id) => {
                    self.connections.pool.work(id, readiness.readable, self.clock.read());
                }
                EventSource::Discovery => self.read_discovery(readiness.readable, now),
                EventSource::BgpConnection(_) | EventSource::BgpListener | EventSource::Cluster => {
                    self.subsystems.ready(source, readiness);
                }
            }
        }
        // Last, as those that are closed to make room must have nothing unread.
        if accepts {
            self.connections.sessions.accept(now);
        }
    }

    fn read_discovery(&mut self, readable: bool, now: f64) {
        let discovery = &mut self.discovery;
        let events = &mut self.input.list_events;
        let worked =
            catch_panic("the connection to the discovery service", || discovery.work(readable, now, events));
        let lost = match worked {
            Some(Ok(())) => None,
            Some(Err(error)) => self.discovery.lost(&error.to_string(), now),
            None => self.discovery.lost("failed", now),
        };
        if let Some(token) = lost {
            self.handle.remove(token);
        }
    }

    /// What falls due without anything becoming ready.
    fn run_due(&mut self, now: f64) {
        if now >= self.discovery.due() {
            match self.discovery.wants_connection(now) {
                Some(address) => self.connect_to_discovery(address, now),
                None => self.read_discovery(false, now),
            }
        }
        self.connections.pool.run_due(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.connections.sessions.sweep(now, &mut self.input);
            self.connections.pool.sweep(now);
        }
    }

    fn connect_to_discovery(&mut self, address: SocketAddr, now: f64) {
        let connection = begin_connect(&self.handle, address, EventSource::Discovery);
        if let Err(error) = &connection {
            log::debug!("discovery service {address}: {error}");
        }
        self.discovery.connecting(connection.ok(), now);
    }

    fn run_subsystems(&mut self, now: f64) {
        let Server { subsystems, routing, discovery, connections, health, .. } = self;
        let is_listening = self.is_serving && connections.sessions.has_room();
        let silence = discovery.silent_for(now);
        subsystems.run_speaker_turn(|| health.readings(now, is_listening, silence, routing));
        subsystems.run_cluster_turn(now, routing);
        subsystems.run_recovery_turn(now, routing);
    }

    /// Routing's turn; returns when it wants the next one.
    fn run_routing(&mut self, now: f64) -> f64 {
        let mut input = std::mem::take(&mut self.input);
        self.connections.pool.take_ended(&mut input.ended_attempts);
        self.connections.sessions.carry_out_kills(self.is_serving, now, &mut input);
        // Reading may have taken long: what is decided now leaves now.
        let now = self.clock.read();
        self.connections.now = now;
        let output = self.routing.turn(now, input, &mut self.connections);
        // On the clock as it is: a connection that has come up takes only what may still leave.
        self.connections.pool.send_queued(self.clock.read());
        for RefusedStatement { session, error } in output.refused {
            self.connections.sessions.refuse_statement(session, &error, now);
        }
        output.wake_at
    }

    /// Answers what clients asked of the router itself.
    fn answer_questions(&mut self, now: f64) {
        if self.connections.sessions.has_asked_for_counters() {
            let counters = self.all_counters();
            self.connections.sessions.answer_counters(&counters, now);
        }
        for question in self.connections.sessions.questions() {
            let rows = match question {
                Question::Teams => self.routing.tenant_status(),
                _ => self.subsystems.status(question),
            };
            self.connections.sessions.answer_status(question, rows.as_deref(), now);
        }
    }

    fn start_serving_if_ready(&mut self) {
        if !self.is_serving && self.routing.is_ready() {
            self.is_serving = true;
            self.unfinished.extend(self.connections.sessions.sources());
        }
    }

    fn note_unfinished(&mut self) {
        let ClientsAndEngines { sessions, pool, .. } = &mut self.connections;
        self.unfinished.extend(sessions.unfinished());
        self.unfinished.extend(pool.unfinished());
        if self.discovery.is_unfinished() {
            self.unfinished.push(EventSource::Discovery);
        }
        if sessions.accepts_more() {
            self.unfinished.push(EventSource::ClientListener);
        }
        self.unfinished.extend(self.subsystems.unfinished());
    }

    fn count_turn(&mut self, overslept: f64) {
        let spent = self.clock.read() - self.last_turn_at;
        let counters = self.routing.counters();
        counters.turns += 1;
        counters.longest_turn_us = counters.longest_turn_us.max((spent * MICROSECONDS) as u64);
        counters.latest_wake_us = counters.latest_wake_us.max((overslept * MICROSECONDS) as u64);
    }

    fn schedule_next_turn(&mut self, routing_wakes_at: f64, now: f64) {
        if !self.unfinished.is_empty() || self.connections.pool.has_ended() {
            self.wake_at = now;
            return;
        }
        let shutdown = self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.next_time(now));
        let due = [
            routing_wakes_at,
            self.sweep_at,
            self.discovery.due(),
            self.connections.pool.due(),
            self.subsystems.due(now),
            shutdown,
        ];
        self.wake_at = due.into_iter().fold(now + TURN_INTERVAL, f64::min);
    }

    /// The counters of all parts.
    fn all_counters(&mut self) -> Counters {
        let mut counters = self.routing.counters().clone();
        counters.add(&self.connections.sessions.counters());
        counters.add(&self.connections.pool.counters());
        counters.add(&self.discovery.counters);
        self.subsystems.add_counters(&mut counters);
        counters.add(&self.counters);
        counters
    }

    fn handle_signal(&mut self, signal: Signal, now: f64) {
        match signal {
            Signal::SIGUSR1 => {
                let counters = self.all_counters();
                log::info!("counters: {counters}");
            }
            Signal::SIGHUP => self.reload(now),
            _ if self.shutdown.is_none() => self.begin_shutdown(signal, now),
            _ => {}
        }
    }

    fn begin_shutdown(&mut self, signal: Signal, now: f64) {
        let shutdown = Shutdown::begin(now, self.longest_request);
        let open = self.routing.open_requests();
        log::info!(requests = open, signal:? = signal; "{signal:?}: stopping, {open} requests open");
        self.routing.stop_at(shutdown.answered_by());
        // Nothing new within the second, whatever routing peers do; what is announced goes at once.
        let new_work_ends_in = self.routing.drain(now) - now;
        self.subsystems.begin_shutdown(new_work_ends_in);
        self.shutdown = Some(shutdown);
    }

    /// All requests have their answers, or the time is over. Then clients and routing peers are told goodbye, those peers first
    /// that may keep routes to this router, for as long as there is time.
    fn has_stopped(&mut self) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let now = self.connections.now;
        if shutdown.is_over(now) {
            return true;
        }
        let is_cleared = self.subsystems.is_cleared_of_routes() || shutdown.is_late(now);
        let is_busy = self.routing.open_requests() > 0 || self.connections.sessions.is_busy();
        if shutdown.expects_requests(now) || !is_cleared || is_busy {
            return false;
        }
        let closed = self.connections.sessions.close_gracefully(now);
        let said_goodbye = self.subsystems.say_goodbye();
        closed && said_goodbye
    }
}
