//! The optional parts of the router: the BGP speaker for service addresses, the cluster, and the store. This module runs
//! their turns, on the monotonic clock, and tells when the next of them is due.

use super::bgp_speaker::BgpSpeaker;
use super::clock::{unix_time, MonotonicClock};
use super::cluster_socket::{ClusterSocket, JoinedCluster};
use super::event_source::{EventSource, LoopHandle};
use super::store_writer::StoreWriter;
use crate::protocol::statement::StatusTopic;
use crate::routing::{Counters, Routing};
use crate::status_row::StatusRow;
use calloop::Readiness;
use cleatgw_announce::Readings;
use cleatgw_operator_config::{ServiceFile, StoreFile};
use std::io;

/// How often observations of engines are exchanged with the other routers, in seconds.
const GOSSIP_INTERVAL: f64 = 0.25;

/// The service addresses that are announced by BGP according to this router's health.
pub struct ServiceSettings {
    pub file: ServiceFile,
    /// Seed of the speaker's random numbers.
    pub seed: u64,
}

/// Where this router persists the state that it needs after a restart.
pub struct StoreSettings {
    pub file: StoreFile,
    /// Identifies the router that the store's file belongs to.
    pub owner: u64,
}

/// The operators' files as read at the start; none for a file that was not given.
#[derive(Default)]
pub struct SubsystemSettings {
    pub service: Option<ServiceSettings>,
    pub cluster: Option<JoinedCluster>,
    pub store: Option<StoreSettings>,
}

/// The running subsystems; none for those that are not configured.
pub struct Subsystems {
    speaker: Option<BgpSpeaker>,
    cluster: Option<ClusterSocket>,
    store: Option<StoreWriter>,
    clock: MonotonicClock,
    /// When observations of engines are next exchanged, on the wall clock.
    next_gossip_at: f64,
}

impl Subsystems {
    /// Opens the configured subsystems. Their monotonic clock starts once all are open.
    ///
    /// # Errors
    /// A socket can't be listened on, or a thread can't be started.
    pub fn open(
        handle: &LoopHandle,
        settings: SubsystemSettings,
        routing: &Routing,
        now: f64,
    ) -> io::Result<Subsystems> {
        let cluster =
            settings.cluster.map(|cluster| ClusterSocket::open(handle, cluster, 0.0)).transpose()?;
        let has_peers = cluster.is_some();
        let look_back = routing.look_back();
        let open_store =
            |store: StoreSettings| StoreWriter::open(store.file, store.owner, look_back, has_peers, 0.0);
        let store = settings.store.map(open_store).transpose()?;
        let open_speaker =
            |service: ServiceSettings| BgpSpeaker::open(handle, service.file, service.seed, 0.0);
        let speaker = settings.service.map(open_speaker).transpose()?;
        Ok(Subsystems { speaker, cluster, store, clock: MonotonicClock::start(), next_gossip_at: now })
    }

    /// Passes a ready source to the subsystem that it belongs to.
    pub fn handle_ready(&mut self, source: EventSource, readiness: Readiness) {
        let now = self.clock.read();
        match (source, &mut self.speaker, &mut self.cluster) {
            (EventSource::BgpConnection(id), Some(speaker), _) => speaker.handle_ready(id, readiness, now),
            (EventSource::BgpListener, Some(speaker), _) => speaker.accept(now),
            (EventSource::Cluster, _, Some(cluster)) => cluster.receive(now),
            _ => {}
        }
    }

    /// Runs the speaker's turn. Its announcements are sent before routing decides on this turn's requests.
    pub fn run_speaker_turn(&mut self, readings: impl FnOnce() -> Readings) {
        if let Some(speaker) = &mut self.speaker {
            speaker.turn(self.clock.read(), readings);
        }
    }

    /// Runs the cluster's turn. Observations of engines are exchanged with the other routers every `GOSSIP_INTERVAL`, as
    /// often as the decision core uses them.
    pub fn run_cluster_turn(&mut self, now: f64, routing: &mut Routing) {
        let Some(cluster) = &mut self.cluster else { return };
        let monotonic = self.clock.read();
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + GOSSIP_INTERVAL;
            cluster.set_observations(routing.observations());
            routing.set_peer_evidence(|engine| cluster.peer_evidence(engine, monotonic));
        }
        cluster.turn(monotonic);
    }

    /// Runs the store's turn, which comes before the turn of the decision core.
    pub fn run_store_turn(&mut self, now: f64, routing: &mut Routing) {
        let Some(store) = &mut self.store else { return };
        let epoch_seen = self.cluster.as_ref().and_then(ClusterSocket::store_epoch_seen);
        let epoch = store.turn(self.clock.read(), now, epoch_seen, routing);
        if let Some(cluster) = &mut self.cluster {
            cluster.set_store_epoch(epoch);
        }
    }

    /// When the next turn of a subsystem is due, as wall clock time. `now` is the current wall clock time.
    pub fn due(&self, now: f64) -> f64 {
        let speaker = self.speaker.as_ref().map_or(f64::INFINITY, BgpSpeaker::due);
        let cluster = self.cluster.as_ref().map_or(f64::INFINITY, ClusterSocket::due);
        let store = self.store.as_ref().map_or(f64::INFINITY, StoreWriter::due);
        MonotonicClock::to_unix(speaker.min(cluster).min(store), self.clock.read(), now)
    }

    /// The sources that must be processed again in the next turn although they will not be reported as ready.
    pub fn unfinished(&mut self) -> Vec<EventSource> {
        let mut sources = self.speaker.as_mut().map_or(Vec::new(), BgpSpeaker::unfinished);
        if self.cluster.as_ref().is_some_and(ClusterSocket::is_unfinished) {
            sources.push(EventSource::Cluster);
        }
        sources
    }

    pub fn add_counters(&self, counters: &mut Counters) {
        if let Some(speaker) = &self.speaker {
            counters.add(&speaker.counters());
        }
        if let Some(cluster) = &self.cluster {
            counters.add(&cluster.counters());
        }
        if let Some(store) = &self.store {
            counters.add(store.counters());
        }
    }

    /// The rows that answer a status question; none if the subsystem is absent, or if the question does not concern a
    /// subsystem.
    pub fn status(&self, question: StatusTopic) -> Option<Vec<StatusRow>> {
        // The row of a held leader role shows the Unix time and the remaining seconds. The Unix clock is read first, so that
        // after a pause between the two readings the shown end of the role is too early, never too late.
        let unix = unix_time();
        let now = self.clock.read();
        match question {
            StatusTopic::Announcements => self.speaker.as_ref().map(|speaker| speaker.status(now)),
            StatusTopic::Cluster => self.cluster.as_ref().map(|cluster| cluster.status(now)),
            StatusTopic::Roles => self.cluster.as_ref().map(|cluster| cluster.roles(now, unix)),
            StatusTopic::Store => self.store.as_ref().map(|store| store.status(now)),
            StatusTopic::Teams => None,
        }
    }

    /// Begins a planned stop. New requests are refused after `new_work_ends_in` seconds.
    pub fn begin_shutdown(&mut self, new_work_ends_in: f64) {
        let now = self.clock.read();
        if let Some(speaker) = &mut self.speaker {
            speaker.drain(now, new_work_ends_in);
        }
        if let Some(cluster) = &mut self.cluster {
            cluster.leave(now);
        }
    }

    /// Whether no BGP peer has a route to this router any more, as far as this router can know.
    pub fn are_routes_cleared(&self) -> bool {
        self.speaker.as_ref().is_none_or(|speaker| speaker.are_routes_withdrawn(self.clock.read()))
    }

    /// Closes the sessions with BGP peers. The first call begins that. Returns whether all are closed or the time-out for
    /// closing them has passed.
    pub fn close_bgp_sessions(&mut self) -> bool {
        let now = self.clock.read();
        self.speaker.as_mut().is_none_or(|speaker| speaker.shut_down_sessions(now))
    }

    /// Applies a new cluster file.
    pub fn apply_cluster_file(&mut self, joined: JoinedCluster) {
        if let Some(cluster) = &mut self.cluster {
            cluster.reconfigure(joined, self.clock.read());
        }
    }

    /// Applies a new service file.
    pub fn apply_service_file(&mut self, file: ServiceFile) {
        if let Some(speaker) = &mut self.speaker {
            speaker.reconfigure(file, self.clock.read());
        }
    }
}
