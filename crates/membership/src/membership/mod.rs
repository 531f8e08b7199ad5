//! One router's part in the cluster: what it knows of the others, and what its host asks of it.

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

/// Routers of one cluster at most; a file that names more is refused.
pub const MAX_ROUTERS: usize = 2000;
/// Timers of the failure detector that one turn serves, so that a turn after a long pause is short.
const MAX_TIMERS: usize = 64;
/// A turn that comes so much later than it was due tells of a pause, in seconds: the process was frozen, or had no core.
const PAUSE: f64 = 0.75;

/// One router's part in the cluster. Times are in seconds of the host's clock, which nobody sets.
pub struct Membership {
    me: u16,
    cluster: u64,
    members: Vec<Member>,
    swim: Swim,
    adopt_later_incarnation: bool,
    /// The epoch of this router's own store.
    store_epoch: u64,
    /// The latest epoch of it that another router says it was shown, once one has said anything.
    store_epoch_seen_by_peers: Option<u64>,
    leases: Leases,
    roles: LeaderRoles,
    probes: DirectProbes,
    /// What others said of engines.
    digests: PeerDigests,
    /// What this router says of engines.
    observations: Vec<Observation>,
    outgoing: Vec<(u16, Vec<u8>)>,
    changes: Vec<StateChange>,
    counts: Counters,
    started: f64,
    /// When the last pause ended.
    resumed_at: f64,
    /// A majority was present once.
    formed: bool,
    leaving_since: Option<f64>,
    /// When this router's name was found in a younger incarnation.
    later_incarnations_seen: Vec<f64>,
    seed: u64,
    draws: u64,
    /// The routers that are still to be sent a heartbeat in this round, the next one last.
    heartbeat_round: Vec<u16>,
    observe_at: f64,
    heartbeat_at: f64,
    announce_at: f64,
    /// What `due` last returned.
    promised: f64,
    standing: Standing,
    view: ViewDigest,
}

/// The hash that ties datagrams to a cluster: of its name, and of the routers that its file names, in their order.
pub fn cluster_hash<'a>(name: &str, routers: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    for router in routers {
        router.hash(&mut hasher);
    }
    hasher.finish()
}

impl Membership {
    /// A router's part after its start.
    ///
    /// `me` is its place among the `routers` that the cluster file names, at most [`MAX_ROUTERS`]. `generation` has to be larger
    /// than in any former incarnation: the Unix time of the start in milliseconds.
    pub fn new(
        cluster: u64,
        routers: usize,
        me: usize,
        generation: u64,
        pace: &DetectorSettings,
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
            swim: Swim::new(incarnation, routers, pace, seed, now),
            adopt_later_incarnation: pace.defences.adopt_later_incarnation,
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
            started: now,
            resumed_at: f64::NEG_INFINITY,
            formed: false,
            leaving_since: None,
            later_incarnations_seen: Vec::new(),
            seed,
            draws: 0,
            heartbeat_round: Vec::new(),
            observe_at: now,
            heartbeat_at: now,
            announce_at: now,
            promised: now,
            standing: Standing::JustStarted,
            view: ViewDigest::default(),
        }
    }

    /// A draw from all numbers.
    fn draw(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        hasher.finish()
    }

    /// A draw from 0 to 1.
    fn draw_fraction(&mut self) -> f64 {
        self.draw() as f64 / u64::MAX as f64
    }

    /// Notes whether this router had no turn for long.
    fn check_pause(&mut self, now: f64) {
        let gap = now - self.promised;
        if gap > PAUSE {
            self.resumed_at = now;
            // At once, as what comes in ahead of the next turn is judged by it.
            self.standing = view::standing(&self.view_inputs(now));
            self.counts.pauses += 1;
            self.probes.paused();
            self.swim.paused(gap);
            self.heartbeat_at = self.heartbeat_at.max(now);
            self.announce_at = self.announce_at.max(now);
        }
        self.promised = self.promised.max(now);
    }

    /// Does all that is due now. Datagrams that have come are handed in before.
    pub fn turn(&mut self, now: f64) {
        self.check_pause(now);
        self.swim.turn(now, MAX_TIMERS);
        self.leases.turn(now);
        if now >= self.roles.due() {
            self.request_roles(now);
        }
        if now >= self.observe_at {
            self.observe_at = now + observe::OBSERVE_INTERVAL;
            self.swim.expire_suspicions(now);
            self.observe(now);
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
        self.send_messages_of_parts(now);
        self.promised = self.promised.max(self.due());
    }

    /// How this router stands among those expected.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// What its standing allows.
    pub fn permissions(&self) -> Permissions {
        view::permissions(self.standing)
    }

    /// All routers by their place in the cluster file, this router among them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The place of this router in the cluster file.
    pub fn me(&self) -> usize {
        self.me.into()
    }

    /// The routers that are held present; this router always is.
    pub fn present(&self) -> impl Iterator<Item = usize> + '_ {
        self.members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.state.counts_as_present())
            .map(|(at, _)| at)
    }

    /// This router leaves by plan, which others are told from now on.
    pub fn leave(&mut self, now: f64) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        let generation = self.swim.me().generation;
        self.swim.begin_incarnation(generation + 1, true, now);
        self.heartbeat_round.clear();
        self.heartbeat_at = now;
        // At once, so that what is released below is not requested again in the next turn.
        self.standing = view::standing(&self.view_inputs(now));
        self.release_roles(now);
    }

    /// Sets what this router has seen of engines, for the next digests; the first of them matter most.
    pub fn set_observations(&mut self, observations: Vec<Observation>) {
        self.observations = observations;
    }

    /// What others report of an engine: those that are present in this router's view.
    pub fn evidence_on(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        if !self.permissions().uses_peer_evidence {
            return PeerEvidence::default();
        }
        self.digests
            .evidence_on(engine, now, |source| self.members[usize::from(source)].state.counts_as_present())
    }

    /// The datagrams to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// The changes of state since this was last called, the oldest first.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Membership::turn`] is to be called next, in seconds of the host's clock.
    pub fn due(&self) -> f64 {
        let observed_at = self.observe_at + observe::OBSERVE_INTERVAL;
        let own = self.heartbeat_at.min(self.announce_at).min(observed_at).min(self.probes.due());
        self.swim.due().min(own).min(self.roles.due())
    }

    /// Sets the epoch of the last put of this router's store, which others are shown from now on.
    pub fn set_store_epoch(&mut self, epoch: u64) {
        self.store_epoch = self.store_epoch.max(epoch);
    }

    /// The latest epoch of this router's store that another was shown by this incarnation or a former one; `None` until one has
    /// said so.
    pub fn store_epoch_seen_by_peers(&self) -> Option<u64> {
        self.store_epoch_seen_by_peers
    }

    /// How slow or deaf this router finds itself, from 0 to 4.
    pub fn local_health_score(&self) -> u32 {
        self.swim.local_health_score()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        let DetectorCounters { refutations, new_incarnations, contradicted } = self.swim.counters();
        Counters { refutations, new_incarnations, contradicted, ..self.counts.clone() }
    }
}
