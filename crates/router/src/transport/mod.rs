//! The loop and the connections: one turn reads what is ready, hands it over in one go, and writes what came of it.

mod buffer;
mod client;
mod cluster;
mod discovery_client;
mod engine;
mod keeper;
mod links;
mod sessions;
mod speaker;

use crate::protocol::discovery::Event;
use crate::protocol::engine::Ask;
use crate::protocol::statement::Question;
use crate::routing::{Answer, AttemptId, Counters, News, Peers, Routing, SessionId};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use cleatgw_announce::{InTimeShare, Readings};
use cleatgw_deployment_config::LinkLimits;
use cleatgw_operator_config::{ServiceFile, StoreFile, TeamsFile};
use cluster::Cluster;
pub use cluster::Joining;
use discovery_client::DiscoveryClient;
use keeper::Keeper;
use links::Links;
use rustix::io::Errno;
use sessions::Sessions;
use socket2::{Domain, Protocol, Socket, Type};
use speaker::Speaker;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Sessions and links are looked over so often for what has stalled.
const SWEEP: f64 = 0.05;
/// The loop turns at least so often, so that it can tell when it had no turn.
const BEAT: f64 = 0.02;
/// So often is asked what is ready, at most, where each look ended late.
const MOST_LOOKS: usize = 3;
/// Other routers are told of engines, and heard, so often.
const WORDS: f64 = 0.25;
/// After a planned stop, requests come for this long, and the router is killed so long after its longest request.
const STILL_COMING: f64 = 0.75;
const KILLED_AFTER: f64 = 0.7;
const LONGEST_GIVEN: f64 = 3.0;
/// The last answers are out so much sooner.
const STOP_MARGIN: f64 = 0.3;

/// A line of the discovery service may take a sixteenth of the memory, and at least this: a list of 1,024 servers of 1 KiB
/// each, which is held only while it is read.
const LIST_LINE: usize = 1024 * 1024;

/// What the loop tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Listener,
    Session(SessionId),
    Link(u64),
    Discovery,
    /// A connection to a routing peer, and where such peers connect to.
    Speaker(u64),
    SpeakerListener,
    /// The socket to other routers.
    Cluster,
}

/// What has become ready since the last turn; the loop's callbacks only note it here.
#[derive(Default)]
pub struct Ready {
    sources: Vec<(Source, Readiness)>,
    signals: Vec<Signal>,
}

type Handle = LoopHandle<'static, Ready>;

fn watch<F: AsFd + 'static>(handle: &Handle, file: F, source: Source) -> io::Result<RegistrationToken> {
    let watched = Generic::new(file, Interest::BOTH, Mode::Edge);
    let noted = handle.insert_source(watched, move |readiness, _, ready| {
        ready.sources.push((source, readiness));
        Ok(PostAction::Continue)
    });
    noted.map_err(|error| io::Error::other(error.error))
}

/// Begins a connection, which comes up, or does not, later.
fn connect(
    handle: &Handle,
    to: SocketAddr,
    source: Source,
) -> io::Result<(RegistrationToken, Rc<TcpStream>)> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    if let Err(error) = socket.connect(&to.into()) {
        if !matches!(Errno::from_io_error(&error), Some(Errno::INPROGRESS | Errno::WOULDBLOCK)) {
            return Err(error);
        }
    }
    let stream = Rc::new(TcpStream::from(socket));
    Ok((watch(handle, stream.clone(), source)?, stream))
}

/// Whether a connection that was begun is up; an error is why it never will be.
fn came_up(stream: &TcpStream, until: f64, now: f64) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    let up = stream.peer_addr().is_ok();
    if !up && now >= until {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "no connection came up"));
    }
    Ok(up)
}

fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS))
}

/// Work on one connection: a panic in it stops there, and gives nothing back.
fn guarded<T>(what: &str, work: impl FnOnce() -> T) -> Option<T> {
    let done = catch_unwind(AssertUnwindSafe(work));
    done.inspect_err(|_| log::error!("{what} failed, its connection is closed")).ok()
}

/// What a router is told at its start, beside what its decisions are told.
pub struct Place {
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    pub last_event: u64,
    pub descriptors: usize,
    pub memory: usize,
    pub links: LinkLimits,
    /// How long a client waits for a request at most.
    pub longest_request: Option<f64>,
}

/// What a new configuration changes while the router runs.
pub struct Reread {
    pub discovery: Option<SocketAddr>,
    pub known: Vec<Event>,
}

/// The operator's files, as they are read again.
pub struct Operators {
    /// What announces the service addresses, and what its chance is drawn from.
    pub service: Option<(ServiceFile, u64)>,
    pub reread_service: Box<dyn Fn() -> Result<ServiceFile, String>>,
    /// Reads the teams file again; none where there are no tenants.
    pub reread_teams: Option<Box<dyn Fn() -> Result<TeamsFile, String>>>,
    /// The routers that know each other.
    pub cluster: Option<Joining>,
    pub reread_cluster: Box<dyn Fn() -> Result<Joining, String>>,
    /// Where this router keeps what it needs after a restart, and whose that is.
    pub store: Option<(StoreFile, u64)>,
}

/// Reads the configuration again, or says why it can't be used.
type Rereads = Box<dyn Fn() -> Result<Reread, String>>;

/// The connections that routing's words are carried out on.
struct Net {
    sessions: Sessions,
    links: Links,
    now: f64,
}

impl Peers for Net {
    fn answer(&mut self, session: SessionId, answer: Answer) {
        let Net { sessions, now, .. } = self;
        if guarded("an answer", || sessions.answer(session, answer, *now)).is_none() {
            sessions.failed(session);
        }
    }

    fn dispatch(&mut self, attempt: AttemptId, engine: u64, address: SocketAddr, ask: &Ask, leave_by: f64) {
        let Net { links, now, .. } = self;
        if guarded("a push", || links.dispatch(attempt, engine, address, ask, leave_by, *now)).is_none() {
            links.failed(attempt, *now);
        }
    }

    fn change_lane(&mut self, attempt: AttemptId, lane: u8) {
        self.links.change_lane(attempt, lane, self.now);
    }

    fn give_up(&mut self, attempt: AttemptId) {
        self.links.give_up(attempt, self.now)
    }

    fn close_idle(&mut self, engine: u64) {
        self.links.close_idle(engine, self.now);
    }

    fn call_back(&mut self, engine: u64) {
        self.links.call_back(engine);
    }
}

struct Server {
    handle: Handle,
    routing: Routing,
    net: Net,
    discovery: DiscoveryClient,
    news: News,
    /// What is to be looked at in the next turn, though nothing becomes ready.
    again: Vec<Source>,
    sweep_at: f64,
    serving: bool,
    /// When the last turn began.
    turned_at: f64,
    /// When this turn was due, if nothing became ready before.
    wake: f64,
    clock: Clock,
    /// When the router was told to stop, and by when it must have.
    stopping: Option<(f64, f64)>,
    longest_request: f64,
    reread: Rereads,
    speaker: Option<Speaker>,
    steady: Steady,
    reread_service: Box<dyn Fn() -> Result<ServiceFile, String>>,
    reread_teams: Option<Box<dyn Fn() -> Result<TeamsFile, String>>>,
    cluster: Option<Cluster>,
    keeper: Option<Keeper>,
    words_at: f64,
    reread_cluster: Box<dyn Fn() -> Result<Joining, String>>,
    /// Requests answered in time of late, and when the decisions last failed.
    recent: InTimeShare,
    failed: (u64, f64),
    counters: Counters,
}

pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

/// The Unix clock; where that is set back, time goes on from where it was.
#[derive(Default)]
struct Clock {
    last: f64,
    set_back: f64,
}

impl Clock {
    fn read(&mut self) -> f64 {
        self.at(unix_time())
    }

    fn at(&mut self, unix: f64) -> f64 {
        if unix + self.set_back < self.last {
            self.set_back = self.last - unix;
        }
        self.last = unix + self.set_back;
        self.last
    }
}

/// The speaker's clock: sessions and what is announced must not depend on how the Unix clock is set, either way. Seconds
/// since the start.
struct Steady(Instant);

impl Steady {
    fn read(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    /// A due time on this clock, on the Unix one that reads `unix` when this one reads `steady`.
    fn on_unix(due: f64, steady: f64, unix: f64) -> f64 {
        unix + (due - steady).max(0.0)
    }
}

/// Serves until it is told to stop and every request has its answer.
pub fn serve(
    place: Place,
    routing: Routing,
    news: News,
    reread: Rereads,
    operators: Operators,
) -> io::Result<Counters> {
    let mut event_loop: EventLoop<Ready> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP])?;
    let noted =
        handle.insert_source(signals, |event, _, ready: &mut Ready| ready.signals.push(event.signal()));
    noted.map_err(|error| io::Error::other(error.error))?;
    let mut clock = Clock::default();
    let now = clock.read();
    let longest_request = place.longest_request.unwrap_or(LONGEST_GIVEN);
    let sessions = Sessions::open(&handle, place.listen, place.descriptors, place.memory)?;
    let links = Links::new(&handle, place.links, place.descriptors / 4);
    let Operators { service, reread_service, reread_teams, cluster, reread_cluster, store } = operators;
    let cluster = cluster.map(|joining| Cluster::open(&handle, joining, 0.0)).transpose()?;
    let (looks, peers) = (routing.looks(), cluster.is_some());
    let keeper = store.map(|(file, owner)| Keeper::open(file, owner, looks, peers, 0.0)).transpose()?;
    let speaker = match service {
        None => None,
        Some((file, seed)) => Some(Speaker::open(&handle, file, seed, 0.0)?),
    };
    let longest_line = (place.memory / 16).max(LIST_LINE);
    let mut server = Server {
        discovery: DiscoveryClient::new(place.discovery, place.last_event, longest_line, now),
        net: Net { sessions, links, now },
        handle,
        routing,
        news,
        again: Vec::new(),
        sweep_at: now,
        turned_at: now,
        wake: f64::INFINITY,
        clock,
        serving: false,
        stopping: None,
        longest_request,
        reread,
        speaker,
        steady: Steady(Instant::now()),
        reread_service,
        reread_teams,
        cluster,
        keeper,
        words_at: now,
        reread_cluster,
        recent: InTimeShare::default(),
        failed: (0, f64::NEG_INFINITY),
        counters: Counters::default(),
    };
    let mut ready = Ready::default();
    loop {
        server.turn(&mut ready);
        if server.stopped() {
            let counters = server.counters();
            return Ok(counters);
        }
        wait(&mut event_loop, &mut server.clock, server.wake, &mut ready)?;
    }
}

/// Waits until something is ready, or until then. Where we stood still behind the system's word, what has come meanwhile is
/// asked for once more: the next turn would decide without it, and take it for new in the turn after.
fn wait(
    event_loop: &mut EventLoop<Ready>,
    clock: &mut Clock,
    wake: f64,
    ready: &mut Ready,
) -> io::Result<()> {
    let mut due = wake;
    for _ in 0..MOST_LOOKS {
        let begun = clock.read();
        let wait = (due - begun).max(0.0);
        match event_loop.dispatch(Some(Duration::from_secs_f64(wait)), ready) {
            Err(calloop::Error::IoError(error)) if error.kind() != io::ErrorKind::Interrupted => {
                return Err(error)
            }
            Err(calloop::Error::IoError(_)) | Ok(()) => {}
            Err(error) => return Err(io::Error::other(error)),
        }
        if clock.read() < begun + wait + BEAT {
            break;
        }
        due = begun;
    }
    Ok(())
}

impl Server {
    fn turn(&mut self, ready: &mut Ready) {
        let now = self.clock.read();
        // What has come in while we had no turn came after the last one, and its time runs from then.
        let gap = now - self.turned_at > 1.5 * BEAT;
        self.news.since = gap.then_some(self.turned_at);
        (self.turned_at, self.net.now) = (now, now);
        let overslept = ((now - self.wake).max(0.0) * 1e6) as u64;
        let mut sources = std::mem::take(&mut ready.sources);
        let unfinished = std::mem::take(&mut self.again).into_iter();
        sources.extend(unfinished.map(|source| (source, Readiness::EMPTY)));
        for signal in std::mem::take(&mut ready.signals) {
            self.signal(signal, now);
        }
        let accepts = sources.iter().any(|(source, _)| *source == Source::Listener);
        for (source, readiness) in sources {
            match source {
                Source::Listener => {}
                Source::Session(id) => {
                    self.net.sessions.work(id, readiness, self.serving, now, &mut self.news)
                }
                Source::Link(id) => self.net.links.work(id, readiness.readable, self.clock.read()),
                Source::Discovery => self.discovery(readiness.readable, now),
                Source::Speaker(id) => {
                    let steady = self.steady.read();
                    self.speaker.iter_mut().for_each(|one| one.ready(id, readiness, steady));
                }
                Source::SpeakerListener => {
                    let steady = self.steady.read();
                    self.speaker.iter_mut().for_each(|one| one.accept(steady));
                }
                Source::Cluster => {
                    let steady = self.steady.read();
                    self.cluster.iter_mut().for_each(|one| one.ready(steady));
                }
            }
        }
        // Last, as those that are closed for room must have nothing unread.
        if accepts {
            self.net.sessions.accept(now);
        }
        self.due(now);
        self.net.sessions.greet(self.serving, now, &mut self.news);
        self.announce(now);
        self.meet(now);
        self.come_back(now);
        let mut news = std::mem::take(&mut self.news);
        self.net.links.ended(&mut news.ends);
        self.net.sessions.kills(self.serving, now, &mut news);
        // Reading may have taken long: what is decided now leaves now.
        let now = self.clock.read();
        self.net.now = now;
        let (unusable, wake) = self.routing.turn(now, news, &mut self.net);
        // On the clock as it is: a connection that has come up takes only what may still leave.
        self.net.links.send_waiting(self.clock.read());
        for (session, why) in unusable {
            self.net.sessions.unusable(session, &why, now);
        }
        if !self.net.sessions.curious.is_empty() {
            let counters = self.counters();
            self.net.sessions.tell(&counters, now);
        }
        for question in self.net.sessions.questions() {
            let rows = match question {
                Question::Announcements => self.speaker.as_ref().map(|one| one.status(self.steady.read())),
                Question::Teams => self.routing.tenant_status(),
                Question::Cluster => self.cluster.as_ref().map(|one| one.status(self.steady.read())),
                Question::Store => self.keeper.as_ref().map(|one| one.status(self.steady.read())),
                Question::Roles => {
                    // Read ahead of the look, so that no pause between the two lets a row claim too much.
                    let unix = unix_time();
                    self.cluster.as_ref().map(|one| one.roles(self.steady.read(), unix))
                }
            };
            self.net.sessions.tell_how(question, rows.as_deref(), now);
        }
        if !self.serving && self.routing.ready() {
            self.serving = true;
            self.again.extend(self.net.sessions.all());
        }
        self.again.extend(self.net.sessions.unfinished());
        self.again.extend(self.net.links.unfinished());
        self.again.extend(self.discovery.unfinished().then_some(Source::Discovery));
        self.again.extend(self.net.sessions.accepts_more().then_some(Source::Listener));
        self.again.extend(self.speaker.iter_mut().flat_map(Speaker::unfinished));
        self.again.extend(self.cluster.iter().any(Cluster::unfinished).then_some(Source::Cluster));
        let spent = ((self.clock.read() - self.turned_at) * 1e6) as u64;
        let counters = self.routing.counters();
        counters.turns += 1;
        counters.longest_turn_us = counters.longest_turn_us.max(spent);
        counters.latest_wake_us = counters.latest_wake_us.max(overslept);
        let stop = self.stopping.map_or(f64::INFINITY, |(at, last)| {
            let steps = [at, last, last + STOP_MARGIN / 2.0];
            steps.into_iter().find(|step| now < *step).unwrap_or(now)
        });
        let speaker = self.speaker.as_ref().map_or(f64::INFINITY, Speaker::due);
        let speaker = speaker.min(self.cluster.as_ref().map_or(f64::INFINITY, Cluster::due));
        let speaker = speaker.min(self.keeper.as_ref().map_or(f64::INFINITY, Keeper::due));
        let speaker = Steady::on_unix(speaker, self.steady.read(), now);
        let due = [wake, self.sweep_at, self.discovery.due(), self.net.links.due(), stop, speaker];
        let at_once = !self.again.is_empty() || self.net.links.has_ended();
        self.wake = if at_once { now } else { due.into_iter().fold(now + BEAT, f64::min) };
    }

    fn counters(&mut self) -> Counters {
        let mut counters = self.routing.counters().clone();
        counters.add(&self.net.sessions.counters());
        counters.add(&self.net.links.counters());
        counters.add(&self.discovery.counters);
        self.speaker.iter().for_each(|speaker| counters.add(&speaker.counters()));
        self.cluster.iter().for_each(|cluster| counters.add(&cluster.counters()));
        self.keeper.iter().for_each(|keeper| counters.add(keeper.counters()));
        counters.add(&self.counters);
        counters
    }

    fn signal(&mut self, signal: Signal, now: f64) {
        if signal == Signal::SIGUSR1 {
            let counters = self.counters();
            return log::info!("counters: {counters}");
        }
        if signal == Signal::SIGHUP {
            return self.new_configuration(now);
        }
        if self.stopping.is_none() {
            let last = now + self.longest_request.min(LONGEST_GIVEN) + KILLED_AFTER - STOP_MARGIN;
            let open = self.routing.open();
            log::info!(requests = open, signal:? = signal; "{signal:?}: stopping, {open} jobs open");
            self.routing.stop_at(last);
            // Nothing new within the second, whatever routing peers do; what is announced goes at once.
            let new_work = self.routing.drain(now) - now;
            if let Some(speaker) = &mut self.speaker {
                speaker.drain(self.steady.read(), new_work);
            }
            let steady = self.steady.read();
            self.cluster.iter_mut().for_each(|one| one.leave(steady));
            self.stopping = Some((now + STILL_COMING, last));
        }
    }

    /// How the router does, for the decisions on what is announced.
    fn readings(&mut self, now: f64) -> Readings {
        let counters = self.routing.counters();
        let answered = counters.completed + counters.rejected + counters.failed;
        let (in_time, panics) = (counters.in_time, counters.module_panics);
        if panics > self.failed.0 {
            self.failed = (panics, now);
        }
        Readings {
            listening: self.serving && self.net.sessions.takes(),
            since_failure: (self.failed.0 > 0).then_some(now - self.failed.1),
            discovery_silence: self.discovery.silent_for(now),
            usable_engines: self.routing.sound_engines(),
            in_time_share: self.recent.update(now, in_time, answered),
        }
    }

    /// The speaker's turn; what it says goes out before this turn's requests are weighed.
    fn announce(&mut self, now: f64) {
        let Some(mut speaker) = self.speaker.take() else { return };
        speaker.turn(self.steady.read(), || self.readings(now));
        self.speaker = Some(speaker);
    }

    /// The cluster's turn. What others say of engines is handed on as often as the decisions look at such things.
    fn meet(&mut self, now: f64) {
        let Some(cluster) = &mut self.cluster else { return };
        let steady = self.steady.read();
        if now >= self.words_at {
            self.words_at = now + WORDS;
            cluster.tell(self.routing.words());
            self.routing.hear_peers(|engine| cluster.said(engine, steady));
        }
        cluster.turn(steady);
    }

    /// The store's turn, ahead of the decisions'.
    fn come_back(&mut self, now: f64) {
        let Some(keeper) = &mut self.keeper else { return };
        let shown = self.cluster.as_ref().and_then(Cluster::shown);
        let epoch = keeper.turn(self.steady.read(), now, shown, &mut self.routing);
        self.cluster.iter_mut().for_each(|cluster| cluster.keeps(epoch));
    }

    fn new_operators_files(&mut self) {
        if let Some(reread) = &self.reread_teams {
            match reread() {
                Ok(file) => {
                    log::info!(tenants = file.teams.len(); "teams file taken");
                    self.routing.tenants(file);
                }
                Err(why) => {
                    self.counters.reloads_refused += 1;
                    log::warn!("the teams file is not taken, the running one stands: {why}");
                }
            }
        }
        if let Some(cluster) = &mut self.cluster {
            match (self.reread_cluster)() {
                Ok(joining) => cluster.change(joining, self.steady.read()),
                Err(why) => {
                    self.counters.reloads_refused += 1;
                    log::warn!("the cluster file is not taken, the running one stands: {why}");
                }
            }
        }
        let Some(speaker) = &mut self.speaker else { return };
        match (self.reread_service)() {
            Ok(file) => speaker.change(file, self.steady.read()),
            Err(why) => {
                self.counters.reloads_refused += 1;
                log::warn!("the service file is not taken, the running one stands: {why}");
            }
        }
    }

    /// A configuration that can't be used changes nothing.
    fn new_configuration(&mut self, now: f64) {
        self.counters.reloads += 1;
        self.new_operators_files();
        match (self.reread)() {
            Ok(Reread { discovery, known }) => {
                let token = self.discovery.told_anew(discovery, known, now, &mut self.news.lists);
                token.into_iter().for_each(|token| self.handle.remove(token));
            }
            Err(why) => {
                self.counters.reloads_refused += 1;
                log::warn!("the configuration is not taken, the running one stands: {why}");
            }
        }
    }

    /// All requests have their answers, or the time is over; then clients and routing peers are told goodbye, those peers first
    /// that may keep routes of ours, for as long as there is time.
    fn stopped(&mut self) -> bool {
        let Some((at, last)) = self.stopping else { return false };
        let now = self.net.now;
        if now >= last + STOP_MARGIN / 2.0 {
            return true;
        }
        let steady = self.steady.read();
        let cleared = self.speaker.as_ref().is_none_or(|one| one.cleared(steady)) || now >= last;
        if now < at || !cleared || self.routing.open() > 0 || self.net.sessions.busy() {
            return false;
        }
        let closed = self.net.sessions.farewell(now);
        let told = self.speaker.as_mut().is_none_or(|speaker| speaker.farewell(steady));
        closed && told
    }

    fn discovery(&mut self, readable: bool, now: f64) {
        let (discovery, lists) = (&mut self.discovery, &mut self.news.lists);
        let worked = guarded("the notice board's link", || discovery.work(readable, now, lists));
        if let Err(why) = worked.unwrap_or(Err("failed".to_string())) {
            if let Some(token) = self.discovery.lost(&why, now) {
                self.handle.remove(token);
            }
        }
    }

    /// What falls due without anything becoming ready.
    fn due(&mut self, now: f64) {
        if now >= self.discovery.due() {
            if let Some(address) = self.discovery.wants_connection(now) {
                let wire = connect(&self.handle, address, Source::Discovery);
                if let Err(error) = &wire {
                    log::debug!("notice board {address}: {error}");
                }
                self.discovery.connecting(wire.ok(), now);
            } else {
                self.discovery(false, now);
            }
        }
        self.net.links.time_passed(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.net.sessions.sweep(now, &mut self.news);
            self.net.links.sweep(now);
        }
    }
}

#[cfg(test)]
mod tests;
