//! Whether each service address is announced, and how dear: decisions without I/O. A host hands in readings of the
//! router's health and the paths that its peers show, and takes out what is to be told.
//!
//! An address stands on one of four levels. *Announced* is the usual one; *depreferred* still serves, but others are
//! to be preferred; *last resort* is sick and says so, and stays only as nobody sound is seen; *withdrawn* is out.
//! What an instance that shares nothing with others can know of them is what its peers show it (see [`Paths`]).
//!
//! **The guard of the last announcer.** A sick instance first shows that it is sick, with a mark that others read, and
//! withdraws only if it still sees a sound path a settling time later. Let the last of all instances to withdraw do so
//! at a moment when it sees another one as sound. That other one showed itself sick later than the view was taken, and
//! by the same rule goes no sooner than a settling time after. So long as views are younger than the settling time, it
//! goes after the last: a contradiction. So a sickness that all share never takes the last path away, without a word
//! between them. `tests/model.rs` checks this against the code.
//!
//! Times are seconds on the host's clock.

mod damping;
mod paths;
mod signs;

pub use damping::Damping;
pub use paths::{Mark, Paths};
pub use signs::{Effect, Readings, Recent, Sign, SignTerms};

use cleatgw_bgp::{Path, GRACEFUL_SHUTDOWN};
use damping::Penalty;
use ipnet::IpNet;
use signs::Judged;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The window of the cap on changes.
pub const MINUTE: f64 = 60.0;

/// How an address stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    Withdrawn,
    LastResort,
    Depreferred,
    Announced,
}

/// Why it stands so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// Not yet ready since the start.
    Starting,
    Well,
    /// Back, but not for long.
    Returning,
    Sick(Sign),
    Weak(Sign),
    /// Sick, and no sound path of another instance is seen.
    NobodyElse(Sign),
    /// Its penalty has to fade: neither preferred nor withdrawn meanwhile.
    Damped,
    Held,
    Draining,
    Drained,
}

impl fmt::Display for Why {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Why::Starting => write!(to, "starting"),
            Why::Well => write!(to, "well"),
            Why::Returning => write!(to, "returning"),
            Why::Sick(sign) => write!(to, "sick: {sign}"),
            Why::Weak(sign) => write!(to, "weak: {sign}"),
            Why::NobodyElse(sign) => write!(to, "sick: {sign}, but no sound path is seen"),
            Why::Damped => write!(to, "damped"),
            Why::Held => write!(to, "held by the operator"),
            Why::Draining => write!(to, "draining"),
            Why::Drained => write!(to, "drained"),
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Level::Withdrawn => "withdrawn",
            Level::LastResort => "last resort",
            Level::Depreferred => "depreferred",
            Level::Announced => "announced",
        })
    }
}

/// What makes a path dearer than a usual one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dear {
    pub med: Option<u32>,
    pub prepend: u8,
    pub local_pref: Option<u32>,
    pub communities: Vec<u32>,
}

/// What the operator holds an instance at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    Depreferred,
    Withdrawn,
}

/// What the operator has settled. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub addresses: Vec<IpNet>,
    /// Marks our paths, so that instances know each other's.
    pub mark: Mark,
    /// By [`Sign`].
    pub signs: [SignTerms; Sign::COUNT],
    pub announced: Dear,
    pub depreferred: Dear,
    pub last_resort: Dear,
    /// Readings are judged this often.
    pub every: f64,
    /// How long all must be well before the first announcement, and before a return.
    pub start_after: f64,
    pub return_after: f64,
    /// How long a return is depreferred first.
    pub stage: f64,
    /// A move waits up to so long more, by lot: down and up.
    pub jitter_down: f64,
    pub jitter_up: f64,
    pub guard: bool,
    /// How long a sick instance shows itself so before it may go: longer than a change takes to be seen by all.
    pub settle: f64,
    pub damping: Damping,
    /// Changes of one address a minute, 2 or more.
    pub most_changes: u32,
    /// How long a drain shows GRACEFUL_SHUTDOWN before it withdraws: 0 to 0.8.
    pub shutdown_lead: f64,
    pub hold: Option<Hold>,
}

/// One service address.
#[derive(Clone, Debug)]
struct Address {
    net: IpNet,
    level: Level,
    why: Why,
    since: f64,
    /// A move that waits for its lot.
    moving: Option<(Level, f64)>,
    penalty: Penalty,
    changes: VecDeque<f64>,
    /// Since when no other path was seen at all.
    alone_since: Option<f64>,
    /// It was well for so long; counts from the last time that a sign was bad.
    well_since: Option<f64>,
    started: bool,
    /// What stands in the way of a move, told once.
    waits: Option<&'static str>,
}

/// Something to tell the log and the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    pub net: IpNet,
    pub level: Level,
    pub why: Why,
    /// Paths of others that were seen then: sound ones and all.
    pub sound: usize,
    pub seen: usize,
    /// Set where nothing moved: what it waits for.
    pub waits: Option<&'static str>,
}

/// The drain's one clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    pub began: f64,
    /// All is withdrawn from then on.
    pub withdraws_at: f64,
    /// No new work is taken from then on.
    pub new_work_ends: f64,
}

/// The decisions of one instance for all its addresses.
#[derive(Clone, Debug)]
pub struct Announcer {
    terms: Terms,
    seed: u64,
    draws: u64,
    signs: [Judged; Sign::COUNT],
    addresses: Vec<Address>,
    judge_at: f64,
    drain: Option<Drain>,
    notes: VecDeque<Note>,
    pub changes: u64,
    /// Moves that the guard, the damping or the cap held back, each counted once.
    pub guarded: u64,
    pub damped: u64,
    pub capped: u64,
}

impl Announcer {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Announcer {
        let addresses = terms.addresses.iter().map(|net| Address::new(*net, now)).collect();
        Announcer {
            signs: [Judged::new(now); Sign::COUNT],
            addresses,
            terms,
            seed,
            draws: 0,
            judge_at: now,
            drain: None,
            notes: VecDeque::new(),
            changes: 0,
            guarded: 0,
            damped: 0,
            capped: 0,
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// New terms while running: addresses that stay keep their state, new ones start. After a drain began nothing can
    /// bring one back: there is no address left to announce.
    pub fn change(&mut self, terms: Terms, now: f64) {
        let known = std::mem::take(&mut self.addresses);
        self.addresses = terms
            .addresses
            .iter()
            .map(|net| match known.iter().find(|address| address.net == *net) {
                Some(address) => address.clone(),
                None => Address::new(*net, now),
            })
            .collect();
        if let Some(drain) = &mut self.drain {
            // Shorter than it was, never longer.
            drain.withdraws_at = drain.withdraws_at.min(drain.began + terms.shutdown_lead);
            let unknown = |address: &&mut Address| !known.iter().any(|one| one.net == address.net);
            for address in self.addresses.iter_mut().filter(unknown) {
                (address.level, address.why) = (Level::Withdrawn, Why::Drained);
            }
        }
        self.terms = terms;
        self.judge_at = now;
    }

    pub fn due(&self) -> f64 {
        match self.drain {
            Some(drain) if self.addresses.iter().any(|address| address.level > Level::Withdrawn) => {
                drain.withdraws_at
            }
            Some(_) => f64::INFINITY,
            None => self.judge_at,
        }
    }

    pub fn draining(&self) -> Option<Drain> {
        self.drain
    }

    /// Begins the drain, once and for good. What is out shows that it goes, and goes after the lead. New work ends in so
    /// many seconds, as the decision module has it.
    pub fn drain(&mut self, now: f64, new_work: f64) -> Drain {
        if let Some(drain) = self.drain {
            return drain;
        }
        let lead = self.terms.shutdown_lead.clamp(0.0, 0.8);
        let drain = Drain { began: now, withdraws_at: now + lead, new_work_ends: now + new_work };
        self.drain = Some(drain);
        for at in 0..self.addresses.len() {
            self.addresses[at].moving = None;
            match self.addresses[at].level {
                Level::Withdrawn => self.addresses[at].why = Why::Drained,
                _ if lead > 0.0 => self.set(at, Level::Depreferred, Why::Draining, now, (0, 0)),
                _ => self.set(at, Level::Withdrawn, Why::Drained, now, (0, 0)),
            }
        }
        drain
    }

    /// Judges the readings if it is time, and moves what may move. Tells whether anything did.
    pub fn turn(&mut self, now: f64, readings: &Readings, paths: &Paths) -> bool {
        let before = self.changes;
        if let Some(drain) = self.drain {
            if now >= drain.withdraws_at {
                for at in 0..self.addresses.len() {
                    if self.addresses[at].level > Level::Withdrawn {
                        self.set(at, Level::Withdrawn, Why::Drained, now, (0, 0));
                    }
                }
            }
            return self.changes > before;
        }
        if now < self.judge_at {
            return false;
        }
        self.judge_at = now + self.terms.every;
        for sign in Sign::ALL {
            let terms = &self.terms.signs[sign as usize];
            if let Some(good) = readings.good(sign, terms) {
                self.signs[sign as usize].saw(good, now, terms);
            }
        }
        for at in 0..self.addresses.len() {
            self.consider(at, now, paths);
        }
        self.changes > before
    }

    fn first_bad(&self, effect: Effect) -> Option<Sign> {
        let bad = |sign: &Sign| {
            let at = *sign as usize;
            self.terms.signs[at].effect == effect && !self.signs[at].good
        };
        Sign::ALL.into_iter().find(bad)
    }

    fn draw(&mut self, most: f64) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        most * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// Where the address ought to stand, if nothing stood in the way.
    fn aim(&self, at: usize, now: f64, paths: &Paths) -> (Level, Why) {
        let address = &self.addresses[at];
        let (sound, seen) = (paths.sound(&address.net), paths.seen(&address.net));
        if self.terms.hold == Some(Hold::Withdrawn) {
            return (Level::Withdrawn, Why::Held);
        }
        if let Some(sign) = self.first_bad(Effect::Withdraw) {
            // What only this instance can suffer from is no reason to stay.
            if !sign.may_be_shared() || !self.terms.guard {
                return (Level::Withdrawn, Why::Sick(sign));
            }
            let out = address.level == Level::Withdrawn;
            if out {
                // Nobody at all is left, and has not been for a while: a sick path beats none.
                let alone = address.alone_since.is_some_and(|since| now >= since + self.terms.settle);
                return match alone && address.started && paths.view {
                    true => (Level::LastResort, Why::NobodyElse(sign)),
                    false => (Level::Withdrawn, Why::Sick(sign)),
                };
            }
            let shown = address.level == Level::LastResort && now >= address.since + self.terms.settle;
            // Whoever cannot see cannot know: without a session of ours nothing is gained by going either.
            return match (shown && paths.view, sound > 0) {
                (true, true) => (Level::Withdrawn, Why::Sick(sign)),
                (true, false) => (Level::LastResort, Why::NobodyElse(sign)),
                (false, _) if matches!(address.why, Why::NobodyElse(_)) => (Level::LastResort, address.why),
                (false, _) => (Level::LastResort, Why::Sick(sign)),
            };
        }
        if self.terms.hold == Some(Hold::Depreferred) {
            return (Level::Depreferred, Why::Held);
        }
        // A return goes by steps, so that a burst does not meet it cold; but where nobody else is, at once.
        if address.level == Level::Withdrawn {
            let after = if address.started { self.terms.return_after } else { self.terms.start_after };
            let well = address.well_since.is_some_and(|since| now >= since + after);
            let needed = address.started && paths.view && seen == 0;
            return match well || needed && address.well_since.is_some() {
                true => (Level::Depreferred, Why::Returning),
                false if address.started => (Level::Withdrawn, address.why),
                false => (Level::Withdrawn, Why::Starting),
            };
        }
        if let Some(sign) = self.first_bad(Effect::Deprefer) {
            return (Level::Depreferred, Why::Weak(sign));
        }
        if address.why == Why::Returning && now < address.since + self.terms.stage {
            return (Level::Depreferred, Why::Returning);
        }
        (Level::Announced, Why::Well)
    }

    /// A damped address stays a last resort: as it can't return soon, to withdraw it would leave its load to the few
    /// that are not damped yet, and to prefer it would bring the next fall.
    fn damped(&self, at: usize, (level, why): (Level, Why)) -> (Level, Why) {
        let address = &self.addresses[at];
        let shared = matches!(why, Why::Sick(sign) if sign.may_be_shared());
        if !address.penalty.suppressed || !address.started || why == Why::Held {
            return (level, why);
        }
        match (address.level, level) {
            (Level::LastResort, Level::Withdrawn) if shared && self.terms.guard => {
                (Level::LastResort, Why::Damped)
            }
            (Level::Withdrawn | Level::LastResort, Level::Depreferred | Level::Announced) => {
                (Level::LastResort, Why::Damped)
            }
            (Level::Depreferred, Level::Announced) => (Level::Depreferred, Why::Damped),
            _ => (level, why),
        }
    }

    fn consider(&mut self, at: usize, now: f64, paths: &Paths) {
        let sick = self.first_bad(Effect::Withdraw).is_some();
        let address = &mut self.addresses[at];
        let (sound, seen) = (paths.sound(&address.net), paths.seen(&address.net));
        address.well_since = if sick { None } else { address.well_since.or(Some(now)) };
        address.alone_since = if seen > 0 || !paths.view { None } else { address.alone_since.or(Some(now)) };
        address.penalty.fade(now, &self.terms.damping);
        let (level, why) = self.damped(at, self.aim(at, now, paths));
        let address = &mut self.addresses[at];
        if level == address.level {
            address.moving = None;
            if why != address.why {
                address.why = why;
                let by = match why {
                    Why::NobodyElse(_) => "the guard of the last announcer",
                    Why::Damped => "damping",
                    _ => return,
                };
                self.guarded += u64::from(why != Why::Damped);
                self.damped += u64::from(why == Why::Damped);
                self.note(at, (sound, seen), Some(by));
            }
            return;
        }
        let down = level < address.level;
        let address = &mut self.addresses[at];
        while address.changes.front().is_some_and(|&changed| changed <= now - MINUTE) {
            address.changes.pop_front();
        }
        // Moves up keep to half of the cap, so that there is room to go down; and none withdraws for what others may
        // suffer from too unless there is room to come back: a fleet that all but a few have left is as good as dark.
        let cap = self.terms.most_changes.max(2) as usize;
        let leaves = level == Level::Withdrawn && self.terms.guard;
        let most = match why {
            Why::Sick(sign) if leaves && sign.may_be_shared() => cap.div_ceil(2) - 1,
            _ if down => cap,
            _ => cap.div_ceil(2),
        };
        if address.changes.len() >= most {
            if address.waits != Some("the cap on changes") {
                self.capped += 1;
                self.note(at, (sound, seen), Some("the cap on changes"));
            }
            return;
        }
        let own = matches!(why, Why::Sick(sign) if !sign.may_be_shared()) || why == Why::Held;
        let jitter = match (down, own) {
            (true, true) => 0.0,
            (true, false) => self.terms.jitter_down,
            (false, _) => self.terms.jitter_up,
        };
        let until = match address.moving {
            Some((aim, until)) if aim == level => until,
            _ => {
                let until = now + self.draw(jitter);
                self.addresses[at].moving = Some((level, until));
                until
            }
        };
        if now < until {
            self.judge_at = self.judge_at.min(until);
            return;
        }
        if down && matches!(why, Why::Sick(_) | Why::Weak(_) | Why::NobodyElse(_)) {
            self.addresses[at].penalty.add(now, &self.terms.damping);
        }
        self.damped += u64::from(why == Why::Damped);
        self.set(at, level, why, now, (sound, seen));
    }

    fn set(&mut self, at: usize, level: Level, why: Why, now: f64, seen: (usize, usize)) {
        let address = &mut self.addresses[at];
        (address.level, address.why, address.since) = (level, why, now);
        address.started |= level > Level::Withdrawn;
        (address.moving, address.waits) = (None, None);
        address.changes.push_back(now);
        if address.changes.len() > 1024 {
            address.changes.pop_front();
        }
        self.changes += 1;
        self.note(at, seen, None);
    }

    fn note(&mut self, at: usize, (sound, seen): (usize, usize), waits: Option<&'static str>) {
        let address = &mut self.addresses[at];
        address.waits = waits.or(address.waits);
        if self.notes.len() < 256 {
            let Address { net, level, why, .. } = *address;
            self.notes.push_back(Note { net, level, why, sound, seen, waits });
        }
    }

    pub fn noted(&mut self) -> Option<Note> {
        self.notes.pop_front()
    }

    /// How each address stands, why, since when, and what a move waits for.
    pub fn stands(&self) -> impl Iterator<Item = (IpNet, Level, Why, f64, Option<&'static str>)> + '_ {
        let stands =
            |address: &Address| (address.net, address.level, address.why, address.since, address.waits);
        self.addresses.iter().map(stands)
    }

    /// Signs that are bad now.
    pub fn bad(&self) -> impl Iterator<Item = Sign> + '_ {
        Sign::ALL.into_iter().filter(|sign| !self.signs[*sign as usize].good)
    }

    /// What is to be told to peers.
    pub fn wanted(&self) -> BTreeMap<IpNet, Path> {
        let out = self.addresses.iter().filter(|address| address.level > Level::Withdrawn);
        out.map(|address| (address.net, self.path(address))).collect()
    }

    fn path(&self, address: &Address) -> Path {
        let dear = match address.level {
            Level::Announced | Level::Withdrawn => &self.terms.announced,
            Level::Depreferred => &self.terms.depreferred,
            Level::LastResort => &self.terms.last_resort,
        };
        let draining = address.why == Why::Draining;
        let mut communities = dear.communities.clone();
        communities.extend(draining.then_some(GRACEFUL_SHUTDOWN));
        communities.sort_unstable();
        communities.dedup();
        // RFC 8326 section 4.2: within one AS the preference goes to zero.
        let local_pref = if draining { Some(0) } else { dear.local_pref };
        let sound = address.level > Level::LastResort && !draining;
        Path {
            med: dear.med,
            prepend: dear.prepend,
            local_pref,
            communities,
            large: vec![self.terms.mark.write(sound)],
        }
    }
}

impl Address {
    fn new(net: IpNet, now: f64) -> Address {
        Address {
            net,
            level: Level::Withdrawn,
            why: Why::Starting,
            since: now,
            moving: None,
            penalty: Penalty::default(),
            changes: VecDeque::new(),
            alone_since: None,
            well_since: None,
            started: false,
            waits: None,
        }
    }
}

#[cfg(test)]
mod tests;
