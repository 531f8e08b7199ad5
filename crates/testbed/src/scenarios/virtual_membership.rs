//! Many routers' memberships in virtual time: the real code, under the schedules that the relays play on loopback.

use crate::checkers::failure_detection::{Record, Said, Truth};
use crate::faults::schedule::{FaultAction, LinkConditions, Schedule};
use cleatgw_membership::lease::Resource;
use cleatgw_membership::swim::DetectorSettings;
use cleatgw_membership::Membership;
use std::collections::BTreeMap;

enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Turn(usize),
    Do(FaultAction),
}

struct Router {
    /// None while it is dead.
    members: Option<Membership>,
    frozen: bool,
    /// What waits in a frozen one's socket buffer, at most so much as a system keeps.
    buffer: Vec<(usize, Vec<u8>)>,
    turn_at: f64,
    starts: u32,
    leaves_at: Option<f64>,
    received: u64,
    sent: u64,
}

const CLUSTER: u64 = 7;
const SOCKET_BUFFER: usize = 200;
/// A router that leaves by plan runs on for so long, in seconds.
pub const LEAVES_FOR: f64 = 1.0;

pub struct World {
    pub now: f64,
    pub link_conditions: LinkConditions,
    pub record: Record,
    pub pace: DetectorSettings,
    /// The Unix clock that each router's incarnation begins from, in milliseconds beside the true one.
    pub clocks: Vec<i64>,
    /// Its turns come so late, in seconds: it is overloaded.
    pub slow: Vec<f64>,
    /// How fast each router's own clock runs, against the true one.
    pub rates: Vec<f64>,
    /// The hash of the list that each starts with: another list is another cluster.
    pub lists: Vec<u64>,
    /// What one router at a time holds, if anything; how often it changed hands, and how often two held it.
    pub role: Option<Resource>,
    pub changed_hands: usize,
    pub two_holders: usize,
    holder: Option<usize>,
    routers: Vec<Router>,
    queue: BTreeMap<(u64, u64), Event>,
    numbered: u64,
    seed: u64,
    pub sent_bytes: u64,
}

impl World {
    pub fn new(routers: usize, pace: DetectorSettings, seed: u64) -> World {
        let truth = Truth {
            at: 0.0,
            up: vec![false; routers],
            cut: vec![vec![false; routers]; routers],
            incarnation: vec![0; routers],
            rough: false,
        };
        let dead = || Router {
            members: None,
            frozen: false,
            buffer: Vec::new(),
            turn_at: 0.0,
            starts: 0,
            leaves_at: None,
            received: 0,
            sent: 0,
        };
        World {
            now: 0.0,
            link_conditions: LinkConditions::new(routers, seed),
            record: Record::new(truth),
            pace,
            clocks: vec![0; routers],
            slow: vec![0.0; routers],
            rates: vec![1.0; routers],
            lists: vec![CLUSTER; routers],
            role: None,
            changed_hands: 0,
            two_holders: 0,
            holder: None,
            routers: (0..routers).map(|_| dead()).collect(),
            queue: BTreeMap::new(),
            numbered: 0,
            seed,
            sent_bytes: 0,
        }
    }

    /// The same with all routers started within a second.
    pub fn started(routers: usize, pace: DetectorSettings, seed: u64) -> World {
        let mut world = World::new(routers, pace, seed);
        for router in 0..routers {
            world.at(router as f64 / routers as f64, FaultAction::Start(router));
        }
        world
    }

    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    fn push(&mut self, at: f64, event: Event) {
        self.numbered += 1;
        self.queue.insert((at.max(0.0).to_bits(), self.numbered), event);
    }

    pub fn at(&mut self, at: f64, act: FaultAction) {
        self.push(at, Event::Do(act));
    }

    pub fn plan(&mut self, schedule: &Schedule) {
        schedule.iter().for_each(|(at, act)| self.at(*at, act.clone()));
        self.record.faults += schedule.len();
    }

    /// The time on a router's own clock.
    fn clock(&self, router: usize) -> f64 {
        self.now * self.rates[router]
    }

    /// A router that holds the leader role now must be the only one, whatever has become of the last one that did: a frozen
    /// router may wake at any moment.
    fn look_at_holders(&mut self, at: usize) {
        let Some(thing) = self.role else { return };
        let holds = |router: usize| {
            let members = self.routers[router].members.as_ref();
            members.is_some_and(|members| members.held_epoch(thing, self.clock(router)).is_some())
        };
        if !holds(at) || self.holder == Some(at) {
            return;
        }
        self.two_holders += usize::from(self.holder.is_some_and(holds));
        self.changed_hands += usize::from(self.holder.is_some());
        self.holder = Some(at);
    }

    /// Those that hold the leader role now, by their own clocks.
    pub fn holders(&self) -> Vec<usize> {
        let Some(thing) = self.role else { return Vec::new() };
        let holds = |router: &usize| {
            let members = self.routers[*router].members.as_ref();
            members.is_some_and(|members| members.held_epoch(thing, self.clock(*router)).is_some())
        };
        (0..self.routers.len()).filter(holds).collect()
    }

    pub fn members(&self, router: usize) -> Option<&Membership> {
        self.routers[router].members.as_ref()
    }

    pub fn members_mut(&mut self, router: usize) -> Option<&mut Membership> {
        self.routers[router].members.as_mut()
    }

    /// Puts a datagram on the way, whoever made it.
    pub fn inject(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.push(self.now, Event::Datagram { from, to, bytes });
    }

    pub fn run_until(&mut self, end: f64) {
        while let Some(entry) = self.queue.first_entry() {
            let at = f64::from_bits(entry.key().0);
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            match event {
                Event::Do(act) => self.act(act),
                Event::Datagram { from, to, bytes } => self.arrives(from, to, bytes),
                Event::Turn(router) => self.turn(router),
            }
        }
        self.now = end;
        self.record.end = end;
    }

    fn arrives(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let now = self.clock(to);
        let router = &mut self.routers[to];
        let Some(members) = &mut router.members else { return };
        if router.frozen || self.slow[to] > 0.0 {
            if router.buffer.len() < SOCKET_BUFFER {
                router.buffer.push((from, bytes));
            }
            return;
        }
        router.received += 1;
        let _ = members.receive_datagram(from, &bytes, now);
        self.serve(to);
    }

    fn turn(&mut self, at: usize) {
        let clock = self.clock(at);
        let router = &mut self.routers[at];
        // One that was planned before the latest is none.
        if router.members.is_none() || router.frozen || router.turn_at > self.now {
            return;
        }
        for (from, bytes) in std::mem::take(&mut router.buffer) {
            router.received += 1;
            let _ = router.members.as_mut().expect("it runs").receive_datagram(from, &bytes, clock);
        }
        if router.leaves_at.is_some_and(|leaves| self.now >= leaves) {
            router.members = None;
            return;
        }
        self.serve(at);
    }

    /// One turn of a router's loop, after what came in.
    fn serve(&mut self, at: usize) {
        let (now, clock) = (self.now, self.clock(at));
        let rate = self.rates[at];
        let router = &mut self.routers[at];
        let Some(members) = &mut router.members else { return };
        members.turn(clock);
        let out = members.take_outgoing();
        for change in members.take_changes() {
            let state = change.to.as_str().to_string();
            self.record.say(Said { at: now, by: at, of: change.router, state });
        }
        let leaves = router.leaves_at.unwrap_or(f64::INFINITY);
        let due = (members.due() / rate + 1e-7).min(leaves).max(now) + self.slow[at];
        router.turn_at = due;
        router.sent += out.len() as u64;
        self.push(due, Event::Turn(at));
        self.look_at_holders(at);
        for (to, bytes) in out {
            let to = usize::from(to);
            self.sent_bytes += bytes.len() as u64;
            for (delay, damaged) in self.link_conditions.fate(at, to, now) {
                let mut bytes = bytes.clone();
                if damaged {
                    self.link_conditions.spoil(&mut bytes);
                }
                self.push(now + delay, Event::Datagram { from: at, to, bytes });
            }
        }
    }

    fn act(&mut self, act: FaultAction) {
        let count = self.routers.len();
        match act {
            FaultAction::Start(at) => {
                let starts = self.routers[at].starts + 1;
                // Unix milliseconds at the start, by this router's clock.
                let born = 1_700_000_000_000 + (self.now * 1e3) as i64 + self.clocks[at];
                let seed = self.seed.wrapping_mul(31).wrapping_add((at * 1000) as u64 + u64::from(starts));
                let clock = self.clock(at);
                let mut members =
                    Membership::new(self.lists[at], count, at, born as u64, &self.pace, seed, clock);
                members.set_roles(self.role.as_slice(), clock);
                let router = &mut self.routers[at];
                (router.members, router.frozen, router.leaves_at) = (Some(members), false, None);
                (router.starts, router.turn_at) = (starts, self.now);
                router.buffer.clear();
                // Its own view begins anew.
                for of in (0..count).filter(|of| *of != at) {
                    self.record.say(Said { at: self.now, by: at, of, state: "unseen".to_string() });
                }
                self.push(self.now, Event::Turn(at));
            }
            FaultAction::Kill(at) => self.routers[at].members = None,
            FaultAction::Freeze(at) => self.routers[at].frozen = true,
            FaultAction::Wake(at) => {
                self.routers[at].frozen = false;
                self.routers[at].turn_at = self.now;
                self.push(self.now, Event::Turn(at));
            }
            FaultAction::Leave(at) => {
                let (now, clock) = (self.now, self.clock(at));
                if let Some(members) = &mut self.routers[at].members {
                    members.leave(clock);
                    self.routers[at].leaves_at = Some(now + LEAVES_FOR);
                }
                self.serve(at);
            }
            FaultAction::Cut(one, other) => {
                self.link_conditions.link(one, other).cut = true;
                self.link_conditions.link(other, one).cut = true;
            }
            FaultAction::CutOneWay(from, to) => self.link_conditions.link(from, to).cut = true,
            FaultAction::Part(parts) => self.link_conditions.part(&parts),
            FaultAction::Heal => self.link_conditions.all(|link| link.cut = false),
            FaultAction::Loss(loss) => self.link_conditions.all(|link| link.loss = loss),
            FaultAction::Spread(spread) => self.link_conditions.all(|link| link.spread = spread),
            FaultAction::Twice(twice) => self.link_conditions.all(|link| link.twice = twice),
            FaultAction::Damage(damage) => self.link_conditions.all(|link| link.damage = damage),
            FaultAction::LossTo(to, loss) => {
                (0..count).for_each(|from| self.link_conditions.link(from, to).loss = loss)
            }
            FaultAction::Stall(from, seconds) => {
                let until = self.now + seconds;
                (0..count).for_each(|to| self.link_conditions.link(from, to).stalled_until = until);
            }
            // Nothing here has engines.
            FaultAction::Way(..) | FaultAction::Silent(..) => {}
        }
        let up = |router: &Router| router.members.is_some() && !router.frozen && router.leaves_at.is_none();
        let truth = Truth {
            at: self.now,
            up: self.routers.iter().map(up).collect(),
            cut: (0..count)
                .map(|from| (0..count).map(|to| self.link_conditions.is_cut(from, to)).collect())
                .collect(),
            incarnation: self.routers.iter().map(|router| router.starts).collect(),
            rough: self.link_conditions.rough(),
        };
        let same = |last: &Truth| {
            (&last.up, &last.cut, &last.incarnation, last.rough)
                == (&truth.up, &truth.cut, &truth.incarnation, truth.rough)
        };
        if !self.record.truths.last().is_some_and(same) {
            self.record.truths.push(truth);
        }
    }
}
