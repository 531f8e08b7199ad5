//! One peer: the state machine of RFC 4271 section 8 over up to two connections (ours and the peer's, until section
//! 6.8 has settled which stays), and the routes told on the one that is up (Adj-RIB-Out).
//!
//! What is to be out is a set, not a queue: however often it changes while a peer does not read, the next UPDATE
//! tells the difference between what was told on this connection and what holds now. A new connection begins with
//! nothing told, so a withdrawal that was lost with the last one can't be missed.

use crate::learned::Learned;
use crate::message::{self, frame, Fault, Refresh};
use crate::notification::{self, Notification};
use crate::open::{Capabilities, Family, Graceful, Open, Role};
use crate::update::{self, family_of, Attributes, Segment, Update, Wire};
use ipnet::IpNet;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, Ipv4Addr};

/// Who began a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    Ours,
    Theirs,
}

impl Side {
    const BOTH: [Side; 2] = [Side::Ours, Side::Theirs];

    fn other(self) -> Side {
        match self {
            Side::Ours => Side::Theirs,
            Side::Theirs => Side::Ours,
        }
    }
}

/// The states of RFC 4271 section 8.2.2; of two connections the further one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    Idle,
    Active,
    Connect,
    OpenSent,
    OpenConfirm,
    Established,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    /// Begin a connection; [`Peer::connected`] or [`Peer::closed`] tells what became of it.
    Connect,
    /// End the connection at once; what is unsent on it is lost.
    Close(Side),
}

/// What is settled with one peer. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerTerms {
    pub asn: u32,
    pub peer_asn: u32,
    /// Our BGP identifier, and the peer's if only one will do.
    pub id: Ipv4Addr,
    pub peer_id: Option<Ipv4Addr>,
    /// The hold time that we offer: 0, or 3 and more.
    pub hold: u16,
    /// By [`Family`].
    pub families: [bool; 2],
    pub next_hops: [Option<IpAddr>; 2],
    /// Ours towards this peer (RFC 9234), and whether the peer must tell its own.
    pub role: Option<Role>,
    pub strict_role: bool,
    /// How long the peer is asked to keep our routes when the session is lost (RFC 4724); without it none are kept,
    /// and we still wait for a peer that restarts.
    pub graceful: Option<u16>,
    /// The peer's stale routes are believed for this long at most.
    pub believe_stale: f64,
    /// We never begin a connection.
    pub passive: bool,
    /// How long a connection may take to come up, and ConnectRetryTime.
    pub connect_wait: f64,
    pub connect_retry: f64,
    /// DelayOpenTime; 0 sends OPEN at once.
    pub delay_open: f64,
    /// How long an OPEN is waited for; RFC 4271 suggests 240.
    pub open_wait: f64,
    /// IdleHoldTime after the first failure; it doubles with each, up to the other.
    pub idle_hold: f64,
    pub idle_hold_most: f64,
    /// A session that lasted for this long was no flap.
    pub stable: f64,
    /// How often our own AS may stand in a learned path: instances that share an AS see each other with 1.
    pub own_as_allowed: usize,
    pub most_learned: usize,
    pub services: Vec<IpNet>,
}

impl PeerTerms {
    pub fn internal(&self) -> bool {
        self.asn == self.peer_asn
    }
}

/// How one service address is announced.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path {
    pub med: Option<u32>,
    /// Our AS so many times more; means nothing within one AS.
    pub prepend: u8,
    /// Means nothing between two.
    pub local_pref: Option<u32>,
    pub communities: Vec<u32>,
    pub large: Vec<[u32; 3]>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub established: u64,
    pub lost: u64,
    pub updates_out: u64,
    pub updates_in: u64,
    pub treated_as_withdrawn: u64,
    pub attributes_discarded: u64,
    pub notifications_out: u64,
    pub notifications_in: u64,
}

/// Messages taken in one call.
const MESSAGES: usize = 32;
/// No more is written while so much is unsent.
const BACKLOG: usize = 8 * 1024;
/// How long a connection may take to send its last message.
const ENDING: f64 = 1.0;
/// While a peer may keep routes of ours past a drain, it is tried this often.
const CLEARING: f64 = 0.05;
/// And given up after so long, in each of its steps.
const CLEARING_WAIT: f64 = 0.3;
/// RFC 9687: how long a peer may take no byte, at the least.
const SEND_HOLD: f64 = 30.0;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Connecting {
        until: f64,
    },
    DelayOpen {
        until: f64,
    },
    OpenSent,
    OpenConfirm,
    Established,
    /// Its last message is on its way.
    Ending {
        until: f64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Refreshing {
    asked: bool,
    /// The End-of-RIB marker is owed.
    end_owed: bool,
}

#[derive(Clone, Debug)]
struct Conn {
    stage: Stage,
    /// Infinite while there is none.
    hold_at: f64,
    hold: f64,
    keepalive_at: f64,
    up_at: f64,
    out: Vec<u8>,
    /// When the peer last took a byte, or nothing was owed.
    taken_at: f64,
    /// What the peer's OPEN and ours hold.
    theirs: Option<Open>,
    ours: Capabilities,
    told: BTreeMap<IpNet, Path>,
    /// Some route was told on it, also if it was withdrawn since: a written withdrawal may be lost with it.
    ever_told: bool,
    refreshing: [Refreshing; 2],
}

impl Conn {
    fn new(stage: Stage, now: f64) -> Conn {
        Conn {
            stage,
            hold_at: f64::INFINITY,
            hold: 0.0,
            keepalive_at: f64::INFINITY,
            up_at: f64::INFINITY,
            out: Vec::new(),
            taken_at: now,
            theirs: None,
            ours: Capabilities::default(),
            told: BTreeMap::new(),
            ever_told: false,
            refreshing: [Refreshing::default(); 2],
        }
    }

    fn state(&self) -> State {
        match self.stage {
            Stage::Ending { .. } => State::Idle,
            Stage::Connecting { .. } | Stage::DelayOpen { .. } => State::Connect,
            Stage::OpenSent => State::OpenSent,
            Stage::OpenConfirm => State::OpenConfirm,
            Stage::Established => State::Established,
        }
    }

    fn send_hold(&self) -> f64 {
        SEND_HOLD.max(2.0 * self.hold)
    }

    fn due(&self) -> f64 {
        let stage = match self.stage {
            Stage::Connecting { until } | Stage::DelayOpen { until } | Stage::Ending { until } => until,
            _ => f64::INFINITY,
        };
        let stuck = if self.out.is_empty() { f64::INFINITY } else { self.taken_at + self.send_hold() };
        [stage, self.hold_at, self.keepalive_at, stuck].into_iter().fold(f64::INFINITY, f64::min)
    }

    /// The family is spoken on both sides.
    fn speaks(&self, family: Family) -> bool {
        let theirs = self.theirs.as_ref().is_some_and(|open| open.capabilities.families[family as usize]);
        theirs && self.ours.families[family as usize]
    }

    fn theirs_graceful(&self) -> Option<Graceful> {
        self.theirs.as_ref().and_then(|open| open.capabilities.graceful)
    }

    /// RFC 8538: both sides keep routes over a NOTIFICATION.
    fn over_notifications(&self) -> bool {
        let said = |graceful: Option<Graceful>| graceful.is_some_and(|graceful| graceful.over_notifications);
        said(self.ours.graceful) && said(self.theirs_graceful())
    }
}

/// How a session was lost, as far as kept routes go.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The connection broke off.
    Broken,
    /// One side sent a NOTIFICATION.
    Notified,
    /// For good.
    Hard,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Will {
    Run,
    /// Nothing is announced any more; a peer that may keep routes of ours is still sought.
    Drain,
    /// No new connection.
    Stop,
}

/// When the next connection may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rest {
    Idle { until: f64 },
    Active { until: f64 },
}

/// Everything about one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    terms: PeerTerms,
    seed: u64,
    draws: u64,
    will: Will,
    rest: Rest,
    idle_hold: f64,
    conns: [Option<Conn>; 2],
    wanted: BTreeMap<IpNet, Path>,
    /// Until when the peer may keep routes of ours that a lost session told.
    kept_until: f64,
    restarted: bool,
    pub learned: Learned,
    acts: VecDeque<Act>,
    /// Why the last session or attempt ended.
    pub last_error: Option<String>,
    pub counts: Counts,
    /// Words for the log since they were last taken, with whether they are of weight.
    notes: VecDeque<(bool, String)>,
}

impl Peer {
    pub fn new(terms: PeerTerms, seed: u64, now: f64) -> Peer {
        Peer {
            learned: Learned::new(&terms.services, terms.most_learned),
            idle_hold: terms.idle_hold,
            terms,
            seed,
            draws: 0,
            will: Will::Run,
            rest: Rest::Idle { until: now },
            conns: [None, None],
            wanted: BTreeMap::new(),
            kept_until: f64::NEG_INFINITY,
            restarted: true,
            acts: VecDeque::new(),
            last_error: None,
            counts: Counts::default(),
            notes: VecDeque::new(),
        }
    }

    /// Takes over new terms where a session need not end for them: other service addresses of the families that are
    /// spoken. What the peer has of them is asked for again (RFC 2918). False: nothing was done.
    pub fn change(&mut self, terms: &PeerTerms) -> bool {
        if (PeerTerms { services: Vec::new(), ..terms.clone() })
            != (PeerTerms { services: Vec::new(), ..self.terms.clone() })
        {
            return false;
        }
        if terms.services != self.terms.services {
            self.terms.services.clone_from(&terms.services);
            self.learned.serve(&terms.services);
            if let Some((_, conn)) = self.up() {
                let theirs = conn.theirs.as_ref().is_some_and(|open| open.capabilities.refresh);
                let spoken =
                    Family::ALL.into_iter().filter(|family| conn.speaks(*family)).collect::<Vec<_>>();
                for family in spoken.into_iter().filter(|_| theirs) {
                    message::put_refresh(&mut conn.out, Refresh::Asked(family));
                }
            }
        }
        true
    }

    /// RFC 4271 section 10: 0.75 to 1, so that peers do not move in step.
    fn jitter(&mut self) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        0.75 + 0.25 * (hasher.finish() as f64 / u64::MAX as f64)
    }

    fn note(&mut self, heavy: bool, words: String) {
        if self.notes.len() < 64 {
            self.notes.push_back((heavy, words));
        }
    }

    /// The next thing to do for the host.
    pub fn act(&mut self) -> Option<Act> {
        self.acts.pop_front()
    }

    pub fn noted(&mut self) -> Option<(bool, String)> {
        self.notes.pop_front()
    }

    fn conn(&self, side: Side) -> Option<&Conn> {
        self.conns[side as usize].as_ref()
    }

    fn live(&self, side: Side) -> bool {
        self.conn(side).is_some_and(|conn| !matches!(conn.stage, Stage::Ending { .. }))
    }

    fn up(&mut self) -> Option<(Side, &mut Conn)> {
        let at = |conn: &Option<Conn>| conn.as_ref().is_some_and(|conn| conn.stage == Stage::Established);
        let side = Side::BOTH.into_iter().find(|side| at(&self.conns[*side as usize]))?;
        Some((side, self.conns[side as usize].as_mut()?))
    }

    pub fn state(&self) -> State {
        let best = self.conns.iter().flatten().map(Conn::state).max().unwrap_or(State::Idle);
        match (best, self.rest) {
            (State::Idle, Rest::Active { .. }) if self.will == Will::Run => State::Active,
            _ => best,
        }
    }

    /// Routes that the peer was told of on the connection that is up.
    pub fn told(&self) -> impl Iterator<Item = (&IpNet, &Path)> {
        let up = self.conns.iter().flatten().find(|conn| conn.stage == Stage::Established);
        up.into_iter().flat_map(|conn| &conn.told)
    }

    /// No route of ours is left at the peer, as far as can be known: all withdrawals are written out, and nothing is
    /// kept from a lost session.
    pub fn cleared(&self, now: f64) -> bool {
        let owed = |conn: &Conn| match conn.stage {
            Stage::Established => !conn.told.is_empty() || !conn.out.is_empty(),
            Stage::Ending { .. } => !conn.out.is_empty(),
            _ => false,
        };
        now >= self.kept_until && !self.conns.iter().flatten().any(owed)
    }

    /// No connection is left, and none will begin.
    pub fn over(&self) -> bool {
        self.will != Will::Run && self.conns.iter().all(Option::is_none) && !self.seeks()
    }

    /// A connection is still sought.
    fn seeks(&self) -> bool {
        self.will == Will::Run || self.will == Will::Drain && self.kept_until > f64::NEG_INFINITY
    }

    /// Nothing but time stands in the way of a connection of ours.
    fn may_begin(&self) -> bool {
        let free = self.conn(Side::Ours).is_none() && !self.live(Side::Theirs);
        free && self.seeks() && !self.terms.passive
    }

    /// When [`Peer::time_passed`] is to be called at the latest.
    pub fn due(&self) -> f64 {
        let rest = match self.rest {
            Rest::Idle { until } | Rest::Active { until } if self.may_begin() => until,
            _ => f64::INFINITY,
        };
        let kept = if self.kept_until > f64::NEG_INFINITY { self.kept_until } else { f64::INFINITY };
        let conns = self.conns.iter().flatten().map(Conn::due);
        conns.chain([rest, kept, self.learned.due()]).fold(f64::INFINITY, f64::min)
    }

    pub fn time_passed(&mut self, now: f64) {
        self.learned.time_passed(now);
        if now >= self.kept_until {
            self.kept_until = f64::NEG_INFINITY;
        }
        for side in Side::BOTH {
            self.conn_time(side, now);
        }
        let until = match self.rest {
            Rest::Idle { until } | Rest::Active { until } => until,
        };
        if now >= until && self.may_begin() {
            let wait = if self.will == Will::Drain { CLEARING_WAIT } else { self.terms.connect_wait };
            self.conns[0] = Some(Conn::new(Stage::Connecting { until: now + wait }, now));
            self.acts.push_back(Act::Connect);
        }
        self.tell(now);
    }

    fn conn_time(&mut self, side: Side, now: f64) {
        let Some(conn) = &mut self.conns[side as usize] else { return };
        match conn.stage {
            Stage::Ending { until } if now >= until => return self.close(side),
            Stage::Ending { .. } => return,
            Stage::Connecting { until } if now >= until => {
                self.close(side);
                return self.lost(side, "no connection came up".to_string(), Loss::Broken, now);
            }
            Stage::DelayOpen { until } if now >= until => return self.send_open(side, now),
            _ => {}
        }
        if now >= conn.hold_at {
            return self.end(side, Notification::from(Fault::new(notification::HOLD, 0, "")), None, now);
        }
        if !conn.out.is_empty() && now >= conn.taken_at + conn.send_hold() {
            // RFC 9687: no NOTIFICATION could get through.
            self.close(side);
            return self.lost(side, "takes no byte: send hold timer expired".to_string(), Loss::Broken, now);
        }
        if now >= conn.keepalive_at {
            message::keepalive(&mut conn.out);
            let hold = conn.hold;
            let next = now + hold / 3.0 * self.jitter();
            self.conns[side as usize].as_mut().expect("just seen").keepalive_at = next;
        }
    }

    /// The connection that was asked for is up, or one of the peer's has come. Tells whether it is wanted; the host
    /// closes one that is not.
    pub fn connected(&mut self, side: Side, now: f64) -> bool {
        match side {
            Side::Ours => {
                if !self.conn(side).is_some_and(|conn| matches!(conn.stage, Stage::Connecting { .. })) {
                    return false;
                }
            }
            Side::Theirs => {
                let damped =
                    matches!(self.rest, Rest::Idle { until } if now < until) && !self.live(Side::Ours);
                if !self.seeks() || damped || self.live(side) {
                    return false;
                }
                if self.conn(side).is_some() {
                    self.close(side);
                    // The host's slot is free before the new connection takes it.
                    self.acts.pop_back();
                }
                self.conns[side as usize] = Some(Conn::new(Stage::DelayOpen { until: now }, now));
            }
        }
        let delay = if self.will == Will::Drain { 0.0 } else { self.terms.delay_open };
        match delay > 0.0 {
            true => {
                let conn = self.conns[side as usize].as_mut().expect("just seen");
                (conn.stage, conn.taken_at) = (Stage::DelayOpen { until: now + delay }, now);
            }
            false => self.send_open(side, now),
        }
        true
    }

    /// The connection is gone, or never came about.
    pub fn closed(&mut self, side: Side, why: &str, now: f64) {
        if !self.live(side) {
            self.conns[side as usize] = None;
            return;
        }
        self.lost(side, why.to_string(), Loss::Broken, now);
    }

    /// Takes whole messages off the input's front; tells how many bytes, and whether more may be there.
    pub fn bytes(&mut self, side: Side, input: &[u8], now: f64) -> (usize, bool) {
        let mut at = 0;
        for _ in 0..MESSAGES {
            if !self.live(side) {
                return (input.len(), false);
            }
            let found = match frame(&input[at..]) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    self.tell(now);
                    return (at, false);
                }
                Err(fault) => {
                    self.fault(side, fault, now);
                    return (input.len(), false);
                }
            };
            at += found.length();
            if let Err(fault) = self.message(side, found.kind, found.body, now) {
                self.fault(side, fault, now);
            }
        }
        self.tell(now);
        (at, true)
    }

    /// What is to be written on a connection.
    pub fn unsent(&self, side: Side) -> &[u8] {
        self.conn(side).map_or(&[], |conn| &conn.out)
    }

    /// So much of it was taken.
    pub fn written(&mut self, side: Side, length: usize, now: f64) {
        let Some(conn) = &mut self.conns[side as usize] else { return };
        conn.out.drain(..length);
        if length > 0 || conn.out.is_empty() {
            conn.taken_at = now;
        }
        if conn.out.is_empty() && matches!(conn.stage, Stage::Ending { .. }) {
            self.close(side);
        }
        self.tell(now);
    }

    /// What is to be out from now on. After a drain began this changes nothing: nothing is announced again.
    pub fn announce(&mut self, wanted: BTreeMap<IpNet, Path>, now: f64) {
        if self.will == Will::Run && self.wanted != wanted {
            self.wanted = wanted;
            self.tell(now);
        }
    }

    /// All is withdrawn for good, but for what of `lead` is out on the session that is up: that may change once more,
    /// and goes with the next call or with the session. A peer that may keep routes of a lost session is sought, told
    /// that there are none, and left.
    pub fn drain(&mut self, lead: BTreeMap<IpNet, Path>, now: f64) {
        if self.will != Will::Run {
            self.wanted.retain(|net, _| lead.contains_key(net));
            return self.tell(now);
        }
        self.will = Will::Drain;
        let out: Vec<IpNet> = self.told().map(|(net, _)| *net).collect();
        self.wanted = lead.into_iter().filter(|(net, _)| out.contains(net)).collect();
        self.rest = Rest::Active { until: now };
        if self.kept_until == f64::NEG_INFINITY {
            for side in Side::BOTH {
                self.leave_unless_up(side, "drained before the session was up", now);
            }
        }
        // An attempt from before, that may take its time, must not use up what is left of ours.
        for conn in self.conns.iter_mut().flatten() {
            match &mut conn.stage {
                Stage::Connecting { until } => *until = until.min(now + CLEARING_WAIT),
                Stage::DelayOpen { until } => *until = now,
                Stage::OpenSent | Stage::OpenConfirm => conn.hold_at = conn.hold_at.min(now + CLEARING_WAIT),
                _ => {}
            }
        }
        self.tell(now);
    }

    fn leave_unless_up(&mut self, side: Side, words: &str, now: f64) {
        match self.conn(side).map(|conn| conn.stage.clone()) {
            Some(Stage::Connecting { .. } | Stage::DelayOpen { .. }) => {
                self.close(side);
                self.lost(side, words.to_string(), Loss::Hard, now);
            }
            Some(Stage::OpenSent | Stage::OpenConfirm) => {
                self.end(side, Notification::cease(notification::SHUTDOWN, words, false), None, now);
            }
            _ => {}
        }
    }

    /// Ends the session with a Cease that removes our routes, also where they would be kept over a lost connection.
    pub fn finish(&mut self, subcode: u8, words: &str, now: f64) {
        self.drain(BTreeMap::new(), now);
        (self.will, self.kept_until) = (Will::Stop, f64::NEG_INFINITY);
        for side in Side::BOTH {
            self.leave_unless_up(side, words, now);
        }
        if let Some((side, conn)) = self.up() {
            let hard = conn.over_notifications();
            self.end(side, Notification::cease(subcode, words, hard), None, now);
        }
    }

    fn close(&mut self, side: Side) {
        self.acts.push_back(Act::Close(side));
        if self.conn(side).is_some_and(|conn| matches!(conn.stage, Stage::Ending { .. })) {
            self.conns[side as usize] = None;
        }
    }

    fn fault(&mut self, side: Side, fault: Fault, now: f64) {
        let why = fault.why;
        self.end(side, fault.into(), Some(why), now);
    }

    /// Sends a last message; the connection is closed once it is written.
    fn end(&mut self, side: Side, told: Notification, why: Option<&str>, now: f64) {
        let words = match why {
            Some(why) if !why.is_empty() => format!("sent {told}: {why}"),
            _ => format!("sent {told}"),
        };
        let loss = if told.hard { Loss::Hard } else { Loss::Notified };
        let Some(conn) = self.conns[side as usize].as_mut() else { return };
        told.put(&mut conn.out);
        let out = std::mem::take(&mut conn.out);
        self.counts.notifications_out += 1;
        self.lost(side, words, loss, now);
        let ending = Conn { out, ..Conn::new(Stage::Ending { until: now + ENDING }, now) };
        self.conns[side as usize] = Some(ending);
    }

    /// The connection counts no more: what it told and what it taught, and when the next may begin.
    fn lost(&mut self, side: Side, why: String, loss: Loss, now: f64) {
        let Some(conn) = self.conns[side as usize].take() else { return };
        let kept = match loss {
            Loss::Broken => true,
            Loss::Notified => conn.over_notifications(),
            Loss::Hard => false,
        };
        let was_up = conn.stage == Stage::Established;
        if was_up {
            self.counts.lost += 1;
            let theirs = conn.theirs_graceful().filter(|graceful| kept && graceful.keeps_any());
            match theirs {
                Some(graceful) => {
                    let until = now + f64::from(graceful.time).min(self.terms.believe_stale);
                    self.learned.grow_stale(graceful.families.map(|family| family.is_some()), until);
                }
                None => self.learned.clear(),
            }
            let ours = conn.ours.graceful.filter(|graceful| graceful.keeps_any());
            if let Some(graceful) = ours.filter(|_| kept && conn.theirs_graceful().is_some()) {
                if conn.ever_told {
                    self.kept_until = now + f64::from(graceful.time);
                }
            }
            if now >= conn.up_at + self.terms.stable {
                self.idle_hold = self.terms.idle_hold;
            }
        }
        let opened = matches!(conn.stage, Stage::OpenSent | Stage::OpenConfirm | Stage::Established);
        // Told once while it lasts: each attempt would fill the log.
        let again = self.last_error.as_deref() == Some(why.as_str());
        self.note(
            was_up || !again,
            format!("{} in {:?}: {why}", if was_up { "lost" } else { "no session" }, conn.state()),
        );
        self.last_error = Some(why);
        let draining = self.will != Will::Run;
        if draining && was_up {
            // What was out went with the session, and does not come back with another one.
            self.wanted.clear();
        }
        if self.live(side.other()) {
            return;
        }
        self.rest = match opened {
            _ if draining => Rest::Active { until: now + CLEARING },
            true => {
                let hold = self.idle_hold * self.jitter();
                self.idle_hold = (2.0 * self.idle_hold).min(self.terms.idle_hold_most);
                Rest::Idle { until: now + hold }
            }
            false => Rest::Active { until: now + self.terms.connect_retry * self.jitter() },
        };
    }

    fn capabilities(&self) -> Capabilities {
        // Where nothing is to be kept, no family is named: the peer then drops at once what it kept.
        let kept = self.terms.graceful.filter(|_| self.will == Will::Run);
        let families = self.terms.families.map(|spoken| kept.filter(|_| spoken).map(|_| true));
        Capabilities {
            families: self.terms.families,
            four_octet: Some(self.terms.asn),
            refresh: true,
            enhanced_refresh: true,
            graceful: Some(Graceful {
                restarted: self.restarted,
                over_notifications: true,
                time: kept.unwrap_or(0),
                families,
            }),
            role: self.terms.role,
        }
    }

    fn send_open(&mut self, side: Side, now: f64) {
        let capabilities = self.capabilities();
        let open = Open {
            asn: self.terms.asn,
            hold: self.terms.hold,
            id: self.terms.id,
            capabilities: capabilities.clone(),
        };
        let wait = if self.will == Will::Drain { CLEARING_WAIT } else { self.terms.open_wait };
        let Some(conn) = &mut self.conns[side as usize] else { return };
        open.put(&mut conn.out);
        (conn.stage, conn.ours, conn.hold_at, conn.taken_at) =
            (Stage::OpenSent, capabilities, now + wait, now);
    }

    fn message(&mut self, side: Side, kind: u8, body: &[u8], now: f64) -> Result<(), Fault> {
        let Some(conn) = &mut self.conns[side as usize] else { return Ok(()) };
        if kind == message::NOTIFICATION {
            let told = Notification::read(body);
            self.counts.notifications_in += 1;
            let loss = if told.hard { Loss::Hard } else { Loss::Notified };
            self.close(side);
            self.lost(side, format!("received {told}"), loss, now);
            return Ok(());
        }
        if conn.hold > 0.0 {
            conn.hold_at = now + conn.hold;
        }
        match (&conn.stage, kind) {
            (Stage::DelayOpen { .. }, message::OPEN) => {
                self.send_open(side, now);
                self.open(side, body, now)
            }
            (Stage::OpenSent, message::OPEN) => self.open(side, body, now),
            (Stage::OpenConfirm, message::KEEPALIVE) => {
                self.established(side, now);
                Ok(())
            }
            (Stage::Established, message::KEEPALIVE) => Ok(()),
            (Stage::Established, message::UPDATE) => self.update(side, body),
            (Stage::Established, message::ROUTE_REFRESH) => {
                if let Refresh::Asked(family) = message::refresh(body) {
                    conn.refreshing[family as usize].asked = conn.speaks(family);
                }
                Ok(())
            }
            (stage, _) => {
                // RFC 6608.
                let subcode = match stage {
                    Stage::OpenSent => 1,
                    Stage::OpenConfirm => 2,
                    Stage::Established => 3,
                    _ => 0,
                };
                Err(Fault::new(notification::STATE, subcode, "a message that has no place in this state"))
            }
        }
    }

    fn open(&mut self, side: Side, body: &[u8], now: f64) -> Result<(), Fault> {
        let open = Open::read(body)?;
        let terms = &self.terms;
        if open.asn != terms.peer_asn {
            return Err(Fault::new(2, 2, "the peer is of another AS").with(&open.asn.to_be_bytes()));
        }
        let same_id = open.id == terms.id && terms.internal();
        if same_id || terms.peer_id.is_some_and(|id| id != open.id) {
            return Err(Fault::new(2, 3, "the peer has another BGP identifier").with(&open.id.octets()));
        }
        match (terms.role, open.capabilities.role) {
            (Some(ours), Some(theirs)) if ours.counterpart() != theirs => {
                return Err(Fault::new(2, 11, "the peer's role does not go with ours"))
            }
            (Some(_), None) if terms.strict_role => return Err(Fault::new(2, 11, "the peer tells no role")),
            _ => {}
        }
        let common = |family: &Family| {
            let at = *family as usize;
            terms.families[at] && open.capabilities.families[at]
        };
        if !Family::ALL.iter().any(common) {
            return Err(Fault::new(2, 7, "no address family in common"));
        }
        if !self.stays(side, &open, now) {
            return Ok(());
        }
        let hold = f64::from(self.terms.hold.min(open.hold));
        let keepalive = now + hold / 3.0 * self.jitter();
        let Some(conn) = &mut self.conns[side as usize] else { return Ok(()) };
        message::keepalive(&mut conn.out);
        (conn.stage, conn.hold, conn.theirs) = (Stage::OpenConfirm, hold, Some(open));
        (conn.hold_at, conn.keepalive_at) = match hold > 0.0 {
            true => (now + hold, keepalive),
            false => (f64::INFINITY, f64::INFINITY),
        };
        Ok(())
    }

    /// RFC 4271 section 6.8: of two connections one stays, the one that the higher identifier began (the higher AS
    /// where identifiers are alike, RFC 6286). Tells whether it is this one; the other one is ended.
    fn stays(&mut self, side: Side, open: &Open, now: f64) -> bool {
        let other = side.other();
        let cease = |words| Notification::cease(notification::COLLISION, words, false);
        match self.conn(other).map(Conn::state) {
            Some(State::Established) => {
                let graceful = self.conn(other).and_then(Conn::theirs_graceful).is_some();
                if graceful {
                    // RFC 4724 section 5: it restarted, and we have not heard of the end of the old one.
                    self.close(other);
                    self.lost(other, "the peer has connected anew".to_string(), Loss::Broken, now);
                    return true;
                }
                self.end(side, cease("a session is up"), None, now);
                false
            }
            Some(State::OpenConfirm) => {
                let ours = (u32::from(self.terms.id), self.terms.asn) > (u32::from(open.id), open.asn);
                let keeps = if ours { Side::Ours } else { Side::Theirs };
                self.end(keeps.other(), cease("the other connection stays"), None, now);
                keeps == side
            }
            _ => true,
        }
    }

    fn established(&mut self, side: Side, now: f64) {
        // What the other connection still tries leads nowhere.
        let other = side.other();
        match self.conn(other).map(Conn::state) {
            Some(State::Connect) => {
                self.close(other);
                self.conns[other as usize] = None;
            }
            Some(State::OpenSent | State::OpenConfirm) => {
                let told = Notification::cease(notification::COLLISION, "a session is up", false);
                self.end(other, told, None, now);
            }
            _ => {}
        }
        self.counts.established += 1;
        self.restarted = false;
        let Some(conn) = &mut self.conns[side as usize] else { return };
        (conn.stage, conn.up_at) = (Stage::Established, now);
        let ours_kept = conn.ours.graceful.is_some_and(|graceful| graceful.keeps_any());
        let graceful = conn.theirs_graceful();
        for family in Family::ALL {
            conn.refreshing[family as usize].end_owed = conn.speaks(family) && graceful.is_some();
            // RFC 4724 section 4.2: what it did not keep, or does not speak any more, is gone.
            let keeps = graceful.is_some_and(|graceful| graceful.families[family as usize] == Some(true));
            if !keeps {
                self.learned.told_all(family);
            }
        }
        let hold = conn.hold;
        if !ours_kept || graceful.is_none() {
            self.kept_until = f64::NEG_INFINITY;
        }
        self.last_error = None;
        self.note(true, format!("established, hold time {hold} s"));
        self.tell(now);
    }

    /// RFC 9234 section 5: a route that must not come from this side has leaked.
    fn leaked(&self, attributes: &Attributes) -> bool {
        match (self.terms.role, attributes.only_to_customer) {
            (Some(Role::Provider | Role::RouteServer), Some(_)) => true,
            (Some(Role::Peer), Some(asn)) => asn != self.terms.peer_asn,
            _ => false,
        }
    }

    fn update(&mut self, side: Side, body: &[u8]) -> Result<(), Fault> {
        let Some(conn) = &self.conns[side as usize] else { return Ok(()) };
        let theirs = conn.theirs.as_ref().is_some_and(|open| open.capabilities.four_octet.is_some());
        let wire = Wire { four_octet: theirs, internal: self.terms.internal() };
        let update = Update::read(body, wire)?;
        self.counts.updates_in += 1;
        self.counts.attributes_discarded += u64::from(update.discarded);
        let attributes = &update.attributes;
        let server = self.terms.role == Some(Role::RouteServerClient);
        let foreign = !wire.internal && !server && attributes.first_as() != Some(self.terms.peer_asn);
        let why = match update.treated_as_withdrawn {
            Some(why) => Some(why),
            None if update.announced.is_empty() => None,
            None if foreign => Some("the path does not begin with the peer's AS"),
            None => None,
        };
        if let Some(why) = why {
            self.counts.treated_as_withdrawn += 1;
            if self.counts.treated_as_withdrawn.is_power_of_two() {
                let count = self.counts.treated_as_withdrawn;
                self.note(true, format!("routes treated as withdrawn: {why} ({count} times so far)"));
            }
        }
        update.withdrawn.iter().for_each(|net| self.learned.remove(net));
        let loops = attributes.times_in_path(self.terms.asn) > self.terms.own_as_allowed;
        let usable = why.is_none() && !loops && !self.leaked(attributes);
        for net in &update.announced {
            match usable {
                true => self.learned.insert(*net, attributes),
                false => self.learned.remove(net),
            }
        }
        if let Some(family) = update.end_of_rib {
            self.learned.told_all(family);
        }
        Ok(())
    }

    fn attributes(&self, family: Family, path: &Path) -> Option<Attributes> {
        let terms = &self.terms;
        let numbers = vec![terms.asn; 1 + usize::from(path.prepend)];
        let own = Segment { set: false, numbers };
        let downwards = matches!(terms.role, Some(Role::Provider | Role::RouteServer | Role::Peer));
        Some(Attributes {
            origin: 0,
            as_path: if terms.internal() { Vec::new() } else { vec![own] },
            next_hop: Some(terms.next_hops[family as usize]?),
            med: path.med,
            local_pref: path.local_pref,
            communities: path.communities.clone(),
            large: path.large.clone(),
            only_to_customer: downwards.then_some(terms.asn),
        })
    }

    /// Writes the difference between what was told and what is wanted, withdrawals first, as far as the peer reads.
    fn tell(&mut self, now: f64) {
        let Some((side, _)) = self.up() else { return };
        let Some(mut conn) = self.conns[side as usize].take() else { return };
        if conn.out.len() < BACKLOG {
            let before = conn.out.len();
            let theirs = conn.theirs.as_ref().map(|open| open.capabilities.clone()).unwrap_or_default();
            let wire = Wire { four_octet: theirs.four_octet.is_some(), internal: self.terms.internal() };
            for family in
                Family::ALL.map(|family| conn.speaks(family).then_some(family)).into_iter().flatten()
            {
                self.tell_family(&mut conn, family, theirs.enhanced_refresh, wire);
            }
            if before == 0 && !conn.out.is_empty() {
                conn.taken_at = now;
            }
        }
        // A peer that was only sought to clear what it kept is left once it has been told so.
        let clear = self.will == Will::Drain && conn.out.is_empty() && self.wanted.is_empty();
        self.conns[side as usize] = Some(conn);
        if clear && self.kept_until > f64::NEG_INFINITY {
            self.kept_until = f64::NEG_INFINITY;
        }
    }

    fn tell_family(&mut self, conn: &mut Conn, family: Family, enhanced: bool, wire: Wire) {
        let refreshing = conn.refreshing[family as usize];
        if refreshing.asked {
            // What was told is told again; what was withdrawn meanwhile stays so.
            conn.told.retain(|net, _| family_of(net) != family || !self.wanted.contains_key(net));
            if enhanced {
                message::put_refresh(&mut conn.out, Refresh::Begins(family));
            }
        }
        let of_family = |net: &&IpNet| family_of(net) == family;
        let gone = conn.told.keys().filter(of_family).filter(|net| !self.wanted.contains_key(net));
        let gone: Vec<IpNet> = gone.copied().collect();
        if !gone.is_empty() {
            update::withdraw(&mut conn.out, family, &gone);
            gone.iter().for_each(|net| drop(conn.told.remove(net)));
            self.counts.updates_out += 1;
        }
        let mut new: BTreeMap<&Path, Vec<IpNet>> = BTreeMap::new();
        for (net, path) in &self.wanted {
            if family_of(net) == family && conn.told.get(net) != Some(path) {
                new.entry(path).or_default().push(*net);
            }
        }
        for (path, nets) in new {
            let Some(attributes) = self.attributes(family, path) else { continue };
            update::announce(&mut conn.out, family, &nets, &attributes, wire);
            conn.ever_told = true;
            conn.told.extend(nets.into_iter().map(|net| (net, path.clone())));
            self.counts.updates_out += 1;
        }
        if refreshing.asked && enhanced {
            message::put_refresh(&mut conn.out, Refresh::Ends(family));
        }
        if refreshing.end_owed {
            update::end_of_rib(&mut conn.out, family);
        }
        conn.refreshing[family as usize] = Refreshing::default();
    }
}
