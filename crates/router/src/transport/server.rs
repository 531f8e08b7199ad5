//! The server. Each turn of its loop reads all ready sources, passes their input to routing as one batch, and writes
//! the results.

use super::client_sessions::ClientSessions;
use super::clients_and_engines::ClientsAndEngines;
use super::clock::WallClock;
use super::connection_pool::ConnectionPool;
use super::discovery_client::DiscoveryClient;
use super::engine_connection::EngineBudgets;
use super::event_loop::{wait, TURN_INTERVAL};
use super::event_source::{watch_signals, EventSource, LoopHandle, ReadyEvents};
use super::health::Health;
use super::memory_limits::MemoryLimits;
use super::panic_guard::catch_panic;
use super::reload::Reloaders;
use super::shutdown::Shutdown;
use super::sockets::begin_connect;
use super::subsystems::{SubsystemSettings, Subsystems};
use crate::protocol::statement::StatusTopic;
use crate::routing::{Counters, RefusedStatement, Routing, TurnInput};
use calloop::signals::Signal;
use calloop::{EventLoop, Readiness};
use cleatgw_deployment_config::ConnectionLimits;
use std::io;
use std::net::SocketAddr;

/// How often sessions and connections are checked for time-outs, in seconds.
const SWEEP_INTERVAL: f64 = 0.05;
/// A gap between two turns that is longer than this many turn intervals counts as a pause of the process.
const PAUSE_INTERVALS: f64 = 1.5;
/// A line from the discovery service may be as long as the router's memory divided by this. A line is held only while
/// it is read.
const LIST_LINE_MEMORY_DIVISOR: usize = 16;
/// The limit on a line from the discovery service is at least this many bytes: a list of 1,024 engines of 1 KiB each.
const MIN_LIST_LINE: usize = 1024 * 1024;
const MICROSECONDS: f64 = 1e6;

/// The settings of the server. Those of the decision core are separate.
pub struct RouterSettings {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The sequence number of the last discovery event that is known.
    pub last_event: u64,
    /// The number of file descriptors that the router may use.
    pub descriptors: usize,
    /// The memory that the router may use, in bytes.
    pub memory: usize,
    /// Limits of the connections to engines.
    pub connections: ConnectionLimits,
    /// The longest time that a client waits for the answer to a request, in seconds; none if the configuration does not
    /// state it.
    pub longest_request: Option<f64>,
}

/// The state of a running router.
pub(super) struct Server {
    pub(super) handle: LoopHandle,
    pub(super) routing: Routing,
    pub(super) discovery: DiscoveryClient,
    pub(super) subsystems: Subsystems,
    pub(super) reloaders: Reloaders,
    pub(super) counters: Counters,
    /// The input that is collected for the next turn of routing.
    pub(super) input: TurnInput,
    connections: ClientsAndEngines,
    /// The sources that must be processed again in the next turn although they will not be reported as ready.
    unfinished: Vec<EventSource>,
    clock: WallClock,
    /// When the latest turn began, which may still be running.
    last_turn_at: f64,
    /// When the next turn is due if no source becomes ready before.
    wake_at: f64,
    /// When sessions and connections are next checked for time-outs.
    sweep_at: f64,
    /// Whether pings are answered and the router counts as listening for announcements: from the first complete engine list
    /// on.
    is_serving: bool,
    /// As in `RouterSettings`.
    longest_request: Option<f64>,
    /// None until a planned stop begins.
    shutdown: Option<Shutdown>,
    health: Health,
}

/// Serves clients until SIGTERM or SIGINT begins a planned stop and that stop is finished. Returns the final counters.
///
/// # Errors
/// An address can't be listened on, a thread can't be started, or the event loop fails.
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
        if server.try_finish_shutdown() {
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
        let limits = MemoryLimits::new(memory, descriptors);
        let sessions = ClientSessions::open(&handle, settings.listen, &limits)?;
        let budgets = EngineBudgets { requests: limits.requests.clone(), results: limits.results.clone() };
        let pool = ConnectionPool::new(&handle, settings.connections, limits.max_engine_connections, budgets);
        let subsystems = Subsystems::open(&handle, subsystems, &routing, now)?;
        let longest_line = (memory / LIST_LINE_MEMORY_DIVISOR).max(MIN_LIST_LINE);
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

    /// Runs one turn: reads, decides, answers, and schedules the next turn.
    fn turn(&mut self, ready: &mut ReadyEvents) {
        let now = self.clock.read();
        let wake_delay = (now - self.wake_at).max(0.0);
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
        self.connections.pool.request_waiting_pages(now);
        self.start_serving_if_ready();
        self.note_unfinished();
        self.count_turn(wake_delay);
        self.schedule_next_turn(wake_at, now);
    }

    /// Requests that arrived during a pause can have arrived at any time since the last turn, so their time is counted from
    /// that turn on.
    fn begin_turn(&mut self, now: f64) {
        let paused = now - self.last_turn_at > PAUSE_INTERVALS * TURN_INTERVAL;
        self.input.received_since = paused.then_some(self.last_turn_at);
        self.last_turn_at = now;
        self.connections.now = now;
    }

    /// Takes the sources that are ready and those that the last turn left unfinished.
    fn take_sources(&mut self, ready: &mut ReadyEvents) -> Vec<(EventSource, Readiness)> {
        let mut sources = std::mem::take(&mut ready.sources);
        let unfinished = std::mem::take(&mut self.unfinished);
        sources.extend(unfinished.into_iter().map(|source| (source, Readiness::EMPTY)));
        sources
    }

    fn read_sources(&mut self, sources: Vec<(EventSource, Readiness)>, now: f64) {
        let mut has_connections_to_accept = false;
        for (source, readiness) in sources {
            match source {
                EventSource::ClientListener => has_connections_to_accept = true,
                EventSource::ClientSession(id) => {
                    let sessions = &mut self.connections.sessions;
                    sessions.process_session(id, readiness, self.is_serving, now, &mut self.input);
                }
                EventSource::EngineConnection(id) => {
                    self.connections.pool.process_io(id, readiness.readable, self.clock.read());
                }
                EventSource::Discovery => self.read_discovery(readiness.readable, now),
                EventSource::BgpConnection(_) | EventSource::BgpListener | EventSource::Cluster => {
                    self.subsystems.handle_ready(source, readiness);
                }
            }
        }
        // Connections are accepted last: accepting may close a session to free a place, and only a session without
        // unread input may be closed.
        if has_connections_to_accept {
            self.connections.sessions.accept(now);
        }
    }

    fn read_discovery(&mut self, readable: bool, now: f64) {
        let discovery = &mut self.discovery;
        let events = &mut self.input.list_events;
        let result = catch_panic("the connection to the discovery service", || {
            discovery.process_io(readable, now, events)
        });
        let closed_token = match result {
            Some(Ok(())) => None,
            Some(Err(error)) => self.discovery.disconnect(&error.to_string(), now),
            None => self.discovery.disconnect("panic while reading", now),
        };
        if let Some(token) = closed_token {
            self.handle.remove(token);
        }
    }

    /// Runs the tasks whose time has come: connecting to the discovery service or timing out its connection, the timers of
    /// the connection pool, and the checks for time-outs.
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
            if self.connections.pool.is_short_of_memory() {
                self.connections.sessions.note_memory_shortage();
            }
            self.connections.sessions.sweep(now, &mut self.input);
            self.connections.pool.sweep(now);
        }
    }

    fn connect_to_discovery(&mut self, address: SocketAddr, now: f64) {
        let connection = begin_connect(&self.handle, address, EventSource::Discovery);
        if let Err(error) = &connection {
            log::debug!("can't connect to discovery service {address}: {error}");
        }
        self.discovery.set_connecting(connection.ok(), now);
    }

    fn run_subsystems(&mut self, now: f64) {
        let Server { subsystems, routing, discovery, connections, health, .. } = self;
        let is_listening = self.is_serving && connections.sessions.can_admit();
        let discovery_silence = discovery.silent_for(now);
        subsystems.run_speaker_turn(|| health.readings(now, is_listening, discovery_silence, routing));
        subsystems.run_cluster_turn(now, routing);
        subsystems.run_store_turn(now, routing);
    }

    /// Runs the turn of routing. Returns when routing needs its next turn.
    fn run_routing(&mut self, now: f64) -> f64 {
        let mut input = std::mem::take(&mut self.input);
        self.connections.pool.take_ended(&mut input.ended_attempts);
        self.connections.sessions.carry_out_kills(self.is_serving, now, &mut input);
        // Reading may have taken long. The decisions are made with the time at which their attempts are sent.
        let now = self.clock.read();
        self.connections.now = now;
        let output = self.routing.turn(now, input, &mut self.connections);
        // The clock is read again: a newly established connection takes only the attempts that may still be sent.
        self.connections.pool.send_queued(self.clock.read());
        for RefusedStatement { session, error } in output.refused {
            self.connections.sessions.refuse_statement(session, &error, now);
        }
        output.wake_at
    }

    /// Answers the questions that clients asked about the router itself: its counters and its status tables.
    fn answer_questions(&mut self, now: f64) {
        if self.connections.sessions.has_counter_requests() {
            let counters = self.all_counters();
            self.connections.sessions.answer_counters(&counters, now);
        }
        for question in self.connections.sessions.questions() {
            let rows = match question {
                StatusTopic::Teams => self.routing.tenant_status(),
                _ => self.subsystems.status(question),
            };
            self.connections.sessions.answer_status(question, rows.as_deref(), now);
        }
    }

    fn start_serving_if_ready(&mut self) {
        if !self.is_serving && self.routing.is_ready() {
            self.is_serving = true;
            // Pings that were left in the sessions' buffers are answered in the next turn.
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
        if sessions.can_accept_now() {
            self.unfinished.push(EventSource::ClientListener);
        }
        self.unfinished.extend(self.subsystems.unfinished());
    }

    /// Updates the counters of turns. `wake_delay` is how late the turn began, in seconds.
    fn count_turn(&mut self, wake_delay: f64) {
        let duration = self.clock.read() - self.last_turn_at;
        let counters = self.routing.counters();
        counters.turns += 1;
        counters.longest_turn_us = counters.longest_turn_us.max((duration * MICROSECONDS) as u64);
        counters.longest_wake_delay_us =
            counters.longest_wake_delay_us.max((wake_delay * MICROSECONDS) as u64);
    }

    fn schedule_next_turn(&mut self, routing_wakes_at: f64, now: f64) {
        if !self.unfinished.is_empty() || self.connections.pool.has_ended() {
            self.wake_at = now;
            return;
        }
        let shutdown_step_at = self.shutdown.map_or(f64::INFINITY, |shutdown| shutdown.next_time(now));
        let due = [
            routing_wakes_at,
            self.sweep_at,
            self.discovery.due(),
            self.connections.pool.due(),
            self.subsystems.due(now),
            shutdown_step_at,
        ];
        self.wake_at = due.into_iter().fold(now + TURN_INTERVAL, f64::min);
    }

    /// The sum of the counters of all parts of the router.
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
        let open_requests = self.routing.open_requests();
        log::info!(requests = open_requests, signal:? = signal; "{signal:?}: stopping, {open_requests} requests open");
        self.routing.stop_at(shutdown.answered_by());
        // New requests are refused within a second, whatever the BGP peers do. The speaker begins its drain in this turn.
        let new_work_ends_in = self.routing.drain(now) - now;
        self.subsystems.begin_shutdown(new_work_ends_in);
        self.shutdown = Some(shutdown);
    }

    /// Advances a planned stop, and returns whether the router may exit: once the time for the stop is over, or once no new
    /// requests are expected, no waiting connection can be accepted, every request has its answer, and the sessions with
    /// clients and BGP peers are closed. Before these sessions are closed, the stop waits until BGP peers have no routes to
    /// this router left, for as long as there is time.
    fn try_finish_shutdown(&mut self) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let now = self.connections.now;
        if shutdown.must_exit(now) {
            return true;
        }
        let may_close = self.subsystems.are_routes_cleared() || shutdown.is_answer_time_over(now);
        let is_busy = self.routing.open_requests() > 0 || self.connections.sessions.is_busy();
        if shutdown.expects_requests(now) || !may_close || is_busy {
            return false;
        }
        let clients_closed = self.connections.sessions.close_gracefully(now);
        let bgp_closed = self.subsystems.close_bgp_sessions();
        clients_closed && bgp_closed
    }
}
