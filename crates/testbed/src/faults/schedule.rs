//! What links between routers do to datagrams, and when: one seeded schedule, played by relays on loopback and in virtual
//! time alike.

use crate::faults::stream_relays::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One direction of a link. Chances are from 0 to 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    pub loss: f64,
    pub delay: f64,
    /// Up to so much more delay, drawn for each datagram: what comes later may overtake.
    pub spread: f64,
    pub twice: f64,
    pub damage: f64,
    pub cut: bool,
    /// All is kept back until then.
    pub stalled_until: f64,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            loss: 0.0,
            delay: 0.0002,
            spread: 0.0003,
            twice: 0.0,
            damage: 0.0,
            cut: false,
            stalled_until: 0.0,
        }
    }
}

/// The region of each of ten zones.
pub const REGION_OF_ZONE: [usize; 10] = [0, 0, 0, 0, 1, 1, 1, 2, 2, 2];

/// Ways between these zones, one way, in seconds: with a link's own 0.2 to 0.5 ms a round trip is 1 to 2 ms within a
/// region, and 60, 100 or 150 ms between two.
pub fn three_regions() -> Vec<Vec<f64>> {
    let way = |one: usize, other: usize| match (REGION_OF_ZONE[one], REGION_OF_ZONE[other]) {
        _ if one == other => 0.0003,
        (one, other) if one == other => 0.0005,
        (0, 1) | (1, 0) => 0.0297,
        (1, 2) | (2, 1) => 0.0497,
        _ => 0.0747,
    };
    (0..REGION_OF_ZONE.len())
        .map(|one| (0..REGION_OF_ZONE.len()).map(|other| way(one, other)).collect())
        .collect()
}

/// What comes of one datagram: each copy's time on the way, and whether it is damaged.
pub type Copies = Vec<(f64, bool)>;

/// All directed links, and counts of what was done to datagrams, so that a fault that never took effect is seen.
pub struct LinkConditions {
    routers: usize,
    links: Vec<Link>,
    /// The zone that each router is in, and the seconds that a way between zones takes beside its link's own delay;
    /// empty where distances are not played.
    zones: Vec<usize>,
    ways: Vec<Vec<f64>>,
    rng: SmallRng,
    pub passed: u64,
    pub lost: u64,
    pub cut: u64,
    pub stalled: u64,
    pub twice: u64,
    pub damaged: u64,
}

impl LinkConditions {
    pub fn new(routers: usize, seed: u64) -> LinkConditions {
        LinkConditions {
            routers,
            links: vec![Link::default(); routers * routers],
            zones: Vec::new(),
            ways: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            passed: 0,
            lost: 0,
            cut: 0,
            stalled: 0,
            twice: 0,
            damaged: 0,
        }
    }

    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        &mut self.links[from * self.routers + to]
    }

    /// Puts routers into zones: how long a way between two takes beside its link's own delay, in seconds. Far links are
    /// sound ones.
    pub fn place(&mut self, zones: Vec<usize>, ways: Vec<Vec<f64>>) {
        assert_eq!(zones.len(), self.routers, "a zone for each");
        (self.zones, self.ways) = (zones, ways);
    }

    pub fn zones(&self) -> &[usize] {
        &self.zones
    }

    fn way(&self, from: usize, to: usize) -> f64 {
        self.zones.get(from).map_or(0.0, |zone| self.ways[*zone][self.zones[to]])
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.links[from * self.routers + to].cut
    }

    /// Some link does more to datagrams than a sound network, or is stalled.
    pub fn rough(&self) -> bool {
        let sound = Link::default();
        let rough = |link: &Link| Link { cut: false, ..*link } != sound;
        self.links.iter().any(rough)
    }

    pub fn all(&mut self, change: impl FnMut(&mut Link)) {
        self.links.iter_mut().for_each(change);
    }

    /// Only routers of the same part hear each other.
    pub fn part(&mut self, parts: &[usize]) {
        for from in 0..self.routers {
            for to in 0..self.routers {
                self.link(from, to).cut = parts[from] != parts[to];
            }
        }
    }

    pub fn fate(&mut self, from: usize, to: usize, now: f64) -> Copies {
        let link = *self.link(from, to);
        if link.cut {
            self.cut += 1;
            return Vec::new();
        }
        if self.rng.random::<f64>() < link.loss {
            self.lost += 1;
            return Vec::new();
        }
        let held = (link.stalled_until - now).max(0.0);
        self.stalled += u64::from(held > 0.0);
        let again = self.rng.random::<f64>() < link.twice;
        self.twice += u64::from(again);
        self.passed += 1;
        let way = self.way(from, to);
        (0..1 + usize::from(again))
            .map(|_| {
                let damaged = self.rng.random::<f64>() < link.damage;
                self.damaged += u64::from(damaged);
                (held + way + link.delay + link.spread * self.rng.random::<f64>(), damaged)
            })
            .collect()
    }

    /// Flips a bit somewhere.
    pub fn spoil(&mut self, bytes: &mut [u8]) {
        if !bytes.is_empty() {
            let at = self.rng.random_range(0..bytes.len());
            bytes[at] ^= 1 << self.rng.random_range(0..8);
        }
    }
}

/// What is done to routers and links.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    Kill(usize),
    /// Started again under its name.
    Start(usize),
    Freeze(usize),
    Wake(usize),
    /// It leaves by plan and ends.
    Leave(usize),
    /// Both directions.
    Cut(usize, usize),
    /// Only what goes from the first to the second.
    CutOneWay(usize, usize),
    /// The part that each router is in.
    Part(Vec<usize>),
    Heal,
    Loss(f64),
    Spread(f64),
    Twice(f64),
    Damage(f64),
    /// The same for all that goes to this router.
    LossTo(usize, f64),
    /// What goes from this router to others is kept back for so many seconds.
    Stall(usize, f64),
    /// The ways from this router, or from all, to an engine or their discovery services; processes only.
    Way(Option<usize>, Target, Fault),
    /// An engine works and says nothing, or says again what it has kept back; processes only.
    Silent(usize, bool),
}

/// What a router connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Engine(usize),
    Discovery,
}

/// A schedule: acts at times, in order.
pub type Schedule = Vec<(f64, FaultAction)>;

/// A seeded schedule of mixed faults with a quiet spell after each, from `from` on for `seconds`.
pub fn mixed(routers: usize, from: f64, seconds: f64, seed: u64) -> Schedule {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut acts = Vec::new();
    let mut at = from;
    let mut kind = rng.random_range(0..9);
    while at + 14.0 <= from + seconds {
        let one = rng.random_range(0..routers);
        let other = (one + rng.random_range(1..routers)) % routers;
        let lasts = match kind % 9 {
            0 => {
                acts.extend([(at, FaultAction::Kill(one)), (at + 5.0, FaultAction::Start(one))]);
                5.0
            }
            1 => {
                acts.extend([(at, FaultAction::Freeze(one)), (at + 5.0, FaultAction::Wake(one))]);
                5.0
            }
            2 => {
                let parts = (0..routers).map(|router| usize::from(router >= routers / 2)).collect();
                acts.extend([(at, FaultAction::Part(parts)), (at + 6.0, FaultAction::Heal)]);
                6.0
            }
            3 => {
                acts.extend([(at, FaultAction::CutOneWay(one, other)), (at + 5.0, FaultAction::Heal)]);
                5.0
            }
            4 => {
                acts.extend([(at, FaultAction::Loss(0.3)), (at + 6.0, FaultAction::Loss(0.0))]);
                6.0
            }
            5 => {
                // Faster than it can be found failed.
                acts.extend([(at, FaultAction::Kill(one)), (at + 0.3, FaultAction::Start(one))]);
                1.0
            }
            6 => {
                let parts = (0..routers).map(|router| router % 3).collect();
                acts.extend([(at, FaultAction::Part(parts)), (at + 5.0, FaultAction::Heal)]);
                5.0
            }
            7 => {
                acts.extend([(at, FaultAction::Cut(one, other)), (at + 5.0, FaultAction::Heal)]);
                5.0
            }
            _ => {
                acts.extend([
                    (at, FaultAction::Twice(0.2)),
                    (at, FaultAction::Damage(0.05)),
                    (at, FaultAction::Spread(0.05)),
                ]);
                acts.extend([
                    (at + 5.0, FaultAction::Twice(0.0)),
                    (at + 5.0, FaultAction::Damage(0.0)),
                    (at + 5.0, FaultAction::Spread(0.0003)),
                ]);
                5.0
            }
        };
        at += lasts + 7.0;
        kind += 1;
    }
    acts
}
