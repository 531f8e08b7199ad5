//! The parts of the router that may be absent: service addresses, the cluster, the store. Each has its turn and its due time
//! here, on the monotonic clock.

use super::bgp_speaker::BgpSpeaker;
use super::clock::{unix_time, MonotonicClock};
use super::cluster_socket::{ClusterSocket, JoinedCluster};
use super::event_source::{EventSource, LoopHandle};
use super::store_writer::StoreWriter;
use crate::protocol::statement::Question;
use crate::routing::{Counters, Routing};
use crate::status_row::StatusRow;
use calloop::Readiness;
use cleatgw_announce::Readings;
use cleatgw_operator_config::{ServiceFile, StoreFile};
use std::io;

/// Other routers are told of engines, and heard, so often, in seconds.
const GOSSIP_INTERVAL: f64 = 0.25;

/// The service addresses that follow this router.
pub struct ServiceSettings {
    pub file: ServiceFile,
    /// What its chance is drawn from.
    pub seed: u64,
}

/// Where this router persists what it needs after a restart.
pub struct StoreSettings {
    pub file: StoreFile,
    /// Whose file it is.
    pub owner: u64,
}

/// The operators' files at the start, each of which may be absent.
#[derive(Default)]
pub struct SubsystemSettings {
    pub service: Option<ServiceSettings>,
    pub cluster: Option<JoinedCluster>,
    pub store: Option<StoreSettings>,
}

pub struct Subsystems {
    speaker: Option<BgpSpeaker>,
    cluster: Option<ClusterSocket>,
    store: Option<StoreWriter>,
    clock: MonotonicClock,
    next_gossip_at: f64,
}

impl Subsystems {
    /// Opens what is set up. Its clock begins with the end of that.
    ///
    /// # Errors
    /// A socket can't be listened on, or no thread can be had.
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

    /// One of their sources is ready.
    pub fn ready(&mut self, source: EventSource, readiness: Readiness) {
        let now = self.clock.read();
        match (source, &mut self.speaker, &mut self.cluster) {
            (EventSource::BgpConnection(id), Some(speaker), _) => speaker.ready(id, readiness, now),
            (EventSource::BgpListener, Some(speaker), _) => speaker.accept(now),
            (EventSource::Cluster, _, Some(cluster)) => cluster.ready(now),
            _ => {}
        }
    }

    /// The speaker's turn; what it says goes out before this turn's requests are weighed.
    pub fn run_speaker_turn(&mut self, readings: impl FnOnce() -> Readings) {
        if let Some(speaker) = &mut self.speaker {
            speaker.turn(self.clock.read(), readings);
        }
    }

    /// The cluster's turn. What others say of engines is handed on as often as the decisions look at such things.
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

    /// The store's turn, ahead of the decisions'.
    pub fn run_recovery_turn(&mut self, now: f64, routing: &mut Routing) {
        let Some(store) = &mut self.store else { return };
        let epoch_seen = self.cluster.as_ref().and_then(ClusterSocket::store_epoch_seen);
        let epoch = store.turn(self.clock.read(), now, epoch_seen, routing);
        if let Some(cluster) = &mut self.cluster {
            cluster.set_store_epoch(epoch);
        }
    }

    /// When the next of their turns is due, on the Unix clock that reads `now`.
    pub fn due(&self, now: f64) -> f64 {
        let speaker = self.speaker.as_ref().map_or(f64::INFINITY, BgpSpeaker::due);
        let cluster = self.cluster.as_ref().map_or(f64::INFINITY, ClusterSocket::due);
        let store = self.store.as_ref().map_or(f64::INFINITY, StoreWriter::due);
        MonotonicClock::to_unix(speaker.min(cluster).min(store), self.clock.read(), now)
    }

    /// What is to be looked at in the next turn, though nothing becomes ready.
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

    /// How something of theirs stands; none where it is absent, or not theirs.
    pub fn status(&self, question: Question) -> Option<Vec<StatusRow>> {
        // Read ahead of the monotonic clock, so that no pause between the two lets a row claim too much.
        let unix = unix_time();
        let now = self.clock.read();
        match question {
            Question::Announcements => self.speaker.as_ref().map(|speaker| speaker.status(now)),
            Question::Cluster => self.cluster.as_ref().map(|cluster| cluster.status(now)),
            Question::Roles => self.cluster.as_ref().map(|cluster| cluster.roles(now, unix)),
            Question::Store => self.store.as_ref().map(|store| store.status(now)),
            Question::Teams => None,
        }
    }

    /// A planned stop begins; new work ends in so many seconds.
    pub fn begin_shutdown(&mut self, new_work_ends_in: f64) {
        let now = self.clock.read();
        if let Some(speaker) = &mut self.speaker {
            speaker.drain(now, new_work_ends_in);
        }
        if let Some(cluster) = &mut self.cluster {
            cluster.leave(now);
        }
    }

    /// No route to this router is left at any routing peer, as far as can be known.
    pub fn is_cleared_of_routes(&self) -> bool {
        self.speaker.as_ref().is_none_or(|speaker| speaker.is_cleared(self.clock.read()))
    }

    /// Says goodbye to routing peers, once; tells whether that is done, or has had its time.
    pub fn say_goodbye(&mut self) -> bool {
        let now = self.clock.read();
        self.speaker.as_mut().is_none_or(|speaker| speaker.say_goodbye(now))
    }

    /// A new cluster file.
    pub fn change_cluster(&mut self, joined: JoinedCluster) {
        if let Some(cluster) = &mut self.cluster {
            cluster.change(joined, self.clock.read());
        }
    }

    /// A new service file.
    pub fn change_service(&mut self, file: ServiceFile) {
        if let Some(speaker) = &mut self.speaker {
            speaker.change(file, self.clock.read());
        }
    }
}
