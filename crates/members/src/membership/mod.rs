//! One router's part in the cluster: what it knows of the others, and what its host asks of it.

mod leases;
mod observe;
mod receive;
mod send;

use crate::digest::{EngineLife, Heard, Said, Word};
use crate::leader::LeaderRoles;
use crate::lease::Leases;
use crate::member::{Change, Counts, Member, State};
use crate::quiet::Quiet;
use crate::swim::{DetectorCounts, Life, Pace, Swim};
use crate::view::{self, Allowed, Standing};
use std::hash::{DefaultHasher, Hash, Hasher};

/// More routers than this are no cluster of ours.
pub const MOST_ROUTERS: usize = 2000;
/// Timers of the failure detector that one turn serves.
const MOST_TIMERS: usize = 64;
/// A turn that comes so much later than it was due tells of a pause: the process was frozen, or had no core. Seconds.
const PAUSE: f64 = 0.75;

/// One router's part in the cluster.
pub struct Members {
    me: u16,
    cluster: u64,
    members: Vec<Member>,
    swim: Swim,
    adopt_younger_life: bool,
    /// The epoch of our own store, and the latest of it that another says it was shown, once one has said anything.
    kept: u64,
    shown: Option<u64>,
    leases: Leases,
    roles: LeaderRoles,
    quiet: Quiet,
    heard: Heard,
    telling: Vec<Word>,
    out: Vec<(u16, Vec<u8>)>,
    changes: Vec<Change>,
    counts: Counts,
    started: f64,
    woke: f64,
    formed: bool,
    leaving_since: Option<f64>,
    /// When our name was found in a younger life.
    younger: Vec<f64>,
    seed: u64,
    draws: u64,
    round: Vec<u16>,
    observe_at: f64,
    hello_at: f64,
    seek_at: f64,
    /// What `due` last promised.
    promised: f64,
    standing: Standing,
    view: (u16, u32),
}

/// The hash that ties datagrams to a cluster: its name, and the routers that its file names in their order.
pub fn cluster_hash<'a>(name: &str, routers: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    routers.into_iter().for_each(|router| router.hash(&mut hasher));
    hasher.finish()
}

impl Members {
    /// A router's part after its start.
    ///
    /// `me` is its place among the `routers` that the cluster file names, at most [`MOST_ROUTERS`]. `born` has to be larger
    /// than in any former life: the Unix time of the start in milliseconds.
    pub fn new(
        cluster: u64,
        routers: usize,
        me: usize,
        born: u64,
        pace: &Pace,
        seed: u64,
        now: f64,
    ) -> Members {
        let never = Member {
            state: State::Unseen,
            born: 0,
            since: now,
            heard_at: f64::NEG_INFINITY,
            hears_us_at: f64::NEG_INFINITY,
            told: (0, 0),
            told_at: f64::NEG_INFINITY,
            differs_since: None,
            leaving: false,
            answered_at: f64::NEG_INFINITY,
            replied_at: f64::NEG_INFINITY,
            sought_at: f64::NEG_INFINITY,
            kept: 0,
        };
        let routers = routers.clamp(1, MOST_ROUTERS);
        let life = Life { router: me as u16, born, leaving: false };
        let mut members = Members {
            me: me as u16,
            cluster,
            members: vec![never; routers],
            swim: Swim::new(life, routers, pace, seed, now),
            adopt_younger_life: pace.defences.adopt_younger_life,
            kept: 0,
            shown: None,
            leases: Leases::new(me as u16, routers, born, now),
            roles: LeaderRoles::default(),
            quiet: Quiet::default(),
            heard: Heard::default(),
            telling: Vec::new(),
            out: Vec::new(),
            changes: Vec::new(),
            counts: Counts::default(),
            started: now,
            woke: f64::NEG_INFINITY,
            formed: false,
            leaving_since: None,
            younger: Vec::new(),
            seed,
            draws: 0,
            round: Vec::new(),
            observe_at: now,
            hello_at: now,
            seek_at: now,
            promised: now,
            standing: Standing::JustStarted,
            view: (0, 0),
        };
        members.members[me].state = State::Present;
        members.members[me].born = born;
        members
    }

    fn chance(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        hasher.finish()
    }

    /// A draw from 0 to 1.
    fn chance_from_0_to_1(&mut self) -> f64 {
        self.chance() as f64 / u64::MAX as f64
    }

    /// Sees that we had no turn for long.
    fn wakes(&mut self, now: f64) {
        let gap = now - self.promised;
        if gap > PAUSE {
            self.woke = now;
            // At once: what comes in ahead of the next look is judged by it as well.
            self.standing = view::standing(&self.count(now));
            self.counts.pauses += 1;
            self.quiet.paused();
            self.swim.paused(gap);
            (self.hello_at, self.seek_at) = (self.hello_at.max(now), self.seek_at.max(now));
        }
        self.promised = self.promised.max(now);
    }

    /// All that is due now. Datagrams that have come are handed in before.
    pub fn turn(&mut self, now: f64) {
        self.wakes(now);
        self.swim.turn(now, MOST_TIMERS);
        self.leases.turn(now);
        if now >= self.roles.due() {
            self.request_roles(now);
        }
        if now >= self.observe_at {
            self.observe_at = now + observe::LOOKS;
            self.swim.expire_suspicions(now);
            self.observe(now);
        }
        if now >= self.hello_at {
            self.send_hellos(now);
        }
        if now >= self.quiet.due() {
            self.ask_the_quiet(now);
        }
        if now >= self.seek_at {
            self.seek_one_that_is_gone(now);
        }
        self.send_what_the_parts_say(now);
        self.promised = self.promised.max(self.due());
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn allowed(&self) -> Allowed {
        view::allows(self.standing)
    }

    /// By place in the cluster file, this router among them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn me(&self) -> usize {
        self.me.into()
    }

    /// Who is held present; this router always is.
    pub fn present(&self) -> impl Iterator<Item = usize> + '_ {
        self.members.iter().enumerate().filter(|(_, member)| member.state.counts()).map(|(at, _)| at)
    }

    /// This router leaves by plan; that it does is told from now on.
    pub fn leave(&mut self, now: f64) {
        if self.leaving_since.replace(self.leaving_since.unwrap_or(now)).is_none() {
            let born = self.swim.me().born;
            self.swim.begin_life(born + 1, true, now);
            self.round.clear();
            self.hello_at = now;
            // At once: what is released below is not asked for again ahead of the next look.
            self.standing = view::standing(&self.count(now));
            self.release_roles(now);
        }
    }

    /// What we have seen of engines, for the next digests; the first of them matter most.
    pub fn tell(&mut self, words: Vec<Word>) {
        self.telling = words;
    }

    /// What others say of an engine: of those that are present, by this router's view.
    pub fn said(&self, engine: &EngineLife, now: f64) -> Said {
        if !self.allowed().hears_of_engines {
            return Said::default();
        }
        self.heard.of(engine, now, |source| self.members[usize::from(source)].state.counts())
    }

    pub fn outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Members::turn`] is to be called next, in seconds of the host's clock.
    pub fn due(&self) -> f64 {
        let observed_at = self.observe_at + observe::LOOKS;
        let own = self.hello_at.min(self.seek_at).min(observed_at).min(self.quiet.due());
        self.swim.due().min(own).min(self.roles.due())
    }

    /// The epoch of our store's last put, which others are shown from now on.
    pub fn keeps(&mut self, epoch: u64) {
        self.kept = self.kept.max(epoch);
    }

    /// The latest epoch of our store that another was shown by this life or a former one; none until one has said so.
    pub fn shown(&self) -> Option<u64> {
        self.shown
    }

    /// How slow or deaf this router finds itself, from 0 to 4.
    pub fn health(&self) -> u32 {
        self.swim.health()
    }

    pub fn counts(&self) -> Counts {
        let DetectorCounts { refutations, new_lives, contradicted } = self.swim.counts();
        Counts { refutations, new_lives, contradicted, ..self.counts.clone() }
    }
}
