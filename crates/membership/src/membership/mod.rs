//! The membership state machine of one router: what it knows of the other routers, and the interface to its host.

mod leases;
mod observe;
mod receive;
mod send;

use crate::digest::{EngineIncarnation, Observation, PeerDigests, PeerEvidence};
use crate::direct_probe::DirectProbes;
use crate::leader::LeaderRoles;
use crate::lease::Leases;
use crate::member::{Counters, Member, State, StateChange, ViewDigest};
use crate::swim::{DetectorCounters, DetectorSettings, Incarnation, Swim};
use crate::view::{self, Permissions, Standing};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The largest number of routers in one cluster; a cluster file with more is rejected.
pub const MAX_ROUTERS: usize = 2000;
/// The most failure detector timers that one turn runs, so that the turn after a long pause stays short.
const MAX_TIMERS: usize = 64;
/// A turn that comes later than this after its due time means that the process was paused: it was frozen, or got no CPU
/// time. Seconds.
const MIN_PAUSE: f64 = 0.75;

/// The membership state machine of one router. Times are in seconds of the host's monotonic clock.
pub struct Membership {
    /// The index of this router in the cluster file.
    me: u16,
    /// The hash that ties datagrams to the cluster, see [`cluster_hash`].
    cluster: u64,
    members: Vec<Member>,
    swim: Swim,
    adopt_later_incarnation: bool,
    /// The epoch of the last write to this router's own store. The store is the host's persistent store, whose epoch
    /// increases with its writes. Peers report the latest epoch that they have seen, by which the host checks after a
    /// restart how recent its stored data are.
    store_epoch: u64,
    /// The latest epoch of this router's store that another router has seen; `None` until one has reported it.
    store_epoch_seen_by_peers: Option<u64>,
    leases: Leases,
    roles: LeaderRoles,
    probes: DirectProbes,
    /// What other routers have reported about engines.
    digests: PeerDigests,
    /// What this router reports about engines.
    observations: Vec<Observation>,
    /// Datagrams to send, each with its receiver.
    outgoing: Vec<(u16, Vec<u8>)>,
    changes: Vec<StateChange>,
    counts: Counters,
    started_at: f64,
    /// When the last pause ended; minus infinity if there was none.
    resumed_at: f64,
    /// Whether a majority was present at any time since the start.
    formed: bool,
    /// When the planned leave of this router began; `None` while it stays.
    leaving_since: Option<f64>,
    /// When this router learned that others know a later incarnation under its name. Only recent times are kept.
    later_incarnations_seen: Vec<f64>,
    seed: u64,
    /// How many random numbers have been derived from the seed.
    random_draws: u64,
    /// The routers that have not been sent a heartbeat in this round yet; the next one is at the end.
    heartbeat_round: Vec<u16>,
    /// States are updated in the first turn at or after this time. A turn for the update alone is requested only
    /// [`observe::STATE_UPDATE_INTERVAL`] later.
    earliest_update_at: f64,
    heartbeat_at: f64,
    announce_at: f64,
    /// When the next turn is expected, as `due` last returned it. A later turn reveals a pause.
    turn_expected_at: f64,
    standing: Standing,
    view: ViewDigest,
}

/// The hash that ties datagrams to a cluster: over the cluster's name and the names of its routers, in the order of
/// the cluster file. Routers with different hashes drop each other's datagrams, so two builds that hash differently
/// can't form one cluster.
pub fn cluster_hash<'a>(name: &str, routers: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    for router in routers {
        router.hash(&mut hasher);
    }
    hasher.finish()
}

impl Membership {
    /// The state of router `me` at its start.
    ///
    /// `me` is its index among the `routers` that the cluster file names, at most [`MAX_ROUTERS`]. `generation` must
    /// be larger than in any earlier incarnation, as the Unix time of the start in milliseconds is.
    pub fn new(
        cluster: u64,
        routers: usize,
        me: usize,
        generation: u64,
        settings: &DetectorSettings,
        seed: u64,
        now: f64,
    ) -> Membership {
        let routers = routers.clamp(1, MAX_ROUTERS);
        let incarnation = Incarnation { router: me as u16, generation, leaving: false };
        let mut members = vec![Member::unseen(now); routers];
        members[me].state = State::Present;
        members[me].generation = generation;
        Membership {
            me: me as u16,
            cluster,
            members,
            swim: Swim::new(incarnation, routers, settings, seed, now),
            adopt_later_incarnation: settings.defences.adopt_later_incarnation,
            store_epoch: 0,
            store_epoch_seen_by_peers: None,
            leases: Leases::new(me as u16, routers, generation, now),
            roles: LeaderRoles::default(),
            probes: DirectProbes::default(),
            digests: PeerDigests::default(),
            observations: Vec::new(),
            outgoing: Vec::new(),
            changes: Vec::new(),
            counts: Counters::default(),
            started_at: now,
            resumed_at: f64::NEG_INFINITY,
            formed: false,
            leaving_since: None,
            later_incarnations_seen: Vec::new(),
            seed,
            random_draws: 0,
            heartbeat_round: Vec::new(),
            earliest_update_at: now,
            heartbeat_at: now,
            announce_at: now,
            turn_expected_at: now,
            standing: Standing::JustStarted,
            view: ViewDigest::default(),
        }
    }

    /// The next pseudo-random number, derived from the seed.
    fn random(&mut self) -> u64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        hasher.finish()
    }

    /// A pseudo-random fraction from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.random() as f64 / u64::MAX as f64
    }

    /// Detects a pause: a call that comes much later than the next turn was expected.
    fn check_pause(&mut self, now: f64) {
        let gap = now - self.turn_expected_at;
        if gap > MIN_PAUSE {
            self.resumed_at = now;
            // Updated at once, as datagrams that are received before the next turn are handled by this standing.
            self.standing = view::standing(&self.view_inputs(now));
            self.counts.pauses += 1;
            self.probes.paused();
            self.swim.paused(gap);
            self.heartbeat_at = self.heartbeat_at.max(now);
            self.announce_at = self.announce_at.max(now);
        }
        self.turn_expected_at = self.turn_expected_at.max(now);
    }

    /// Does everything that is due now. The host passes in the datagrams that have arrived before it calls this.
    pub fn turn(&mut self, now: f64) {
        self.check_pause(now);
        self.swim.turn(now, MAX_TIMERS);
        self.leases.turn(now);
        if now >= self.roles.due() {
            self.request_roles(now);
        }
        if now >= self.earliest_update_at {
            self.earliest_update_at = now + observe::STATE_UPDATE_INTERVAL;
            self.swim.expire_suspicions(now);
            self.update_states(now);
        }
        if now >= self.heartbeat_at {
            self.send_heartbeats(now);
        }
        if now >= self.probes.due() {
            self.probe_silent_routers(now);
        }
        if now >= self.announce_at {
            self.announce_to_an_absent_router(now);
        }
        self.send_component_messages(now);
        self.turn_expected_at = self.turn_expected_at.max(self.due());
    }

    /// The standing of this router among the expected routers.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// What this router's standing allows.
    pub fn permissions(&self) -> Permissions {
        view::permissions(self.standing)
    }

    /// All routers, this one included, by their index in the cluster file.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The index of this router in the cluster file.
    pub fn me(&self) -> usize {
        self.me.into()
    }

    /// The routers that count as present; this router always does.
    pub fn present(&self) -> impl Iterator<Item = usize> + '_ {
        self.members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.state.counts_as_present())
            .map(|(router, _)| router)
    }

    /// Begins the planned leave of this router and announces it to the others from now on.
    pub fn leave(&mut self, now: f64) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        let generation = self.swim.incarnation().generation;
        self.swim.begin_incarnation(generation + 1, true, now);
        self.heartbeat_round.clear();
        self.heartbeat_at = now;
        // Updated at once, so that the roles released below are not requested again in the next turn.
        self.standing = view::standing(&self.view_inputs(now));
        self.release_roles(now);
    }

    /// Sets what this router has observed of engines, for the next digests. The caller puts the most important first,
    /// as a digest is limited in size.
    pub fn set_observations(&mut self, observations: Vec<Observation>) {
        self.observations = observations;
    }

    /// What the routers that are present in this router's view report about an engine.
    pub fn evidence_on(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        if !self.permissions().uses_peer_evidence {
            return PeerEvidence::default();
        }
        self.digests
            .evidence_on(engine, now, |source| self.members[usize::from(source)].state.counts_as_present())
    }

    /// Takes the datagrams to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the state changes since the last call, the oldest first.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Membership::turn`] is to be called next, in seconds of the host's clock.
    pub fn due(&self) -> f64 {
        let latest_update_at = self.earliest_update_at + observe::STATE_UPDATE_INTERVAL;
        let own = self.heartbeat_at.min(self.announce_at).min(latest_update_at).min(self.probes.due());
        self.swim.due().min(own).min(self.roles.due())
    }

    /// Sets the epoch of the last write to this router's store, which is reported to others from now on.
    pub fn set_store_epoch(&mut self, epoch: u64) {
        self.store_epoch = self.store_epoch.max(epoch);
    }

    /// The latest epoch of this router's store that another router has seen from this run of the process or an
    /// earlier one; `None` until one has reported it.
    pub fn store_epoch_seen_by_peers(&self) -> Option<u64> {
        self.store_epoch_seen_by_peers
    }

    /// The local health score, from 0 (healthy) to 4: it grows with the evidence that this router is slow, or does
    /// not receive its datagrams.
    pub fn local_health_score(&self) -> u32 {
        self.swim.local_health_score()
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        let DetectorCounters { refutations, new_incarnations, contradicted } = self.swim.counters();
        Counters { refutations, new_incarnations, contradicted, ..self.counts.clone() }
    }
}
