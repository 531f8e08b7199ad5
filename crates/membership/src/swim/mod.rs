//! SWIM with suspicion (Das, Gupta and Motivala, 2002) by the library `foca`, with what that leaves to its host: clock,
//! bytes, chance. Two defences against false failures are added in what the library hands through its host:
//!
//! - **Local health** (Dadgar, Phillips and Currey, 2018): its timers are stretched while there is evidence that this router
//!   itself is slow or deaf.
//! - **Direct contact before rumour**: what is heard from a router directly outweighs the word of others that it is down. Such
//!   a word is read as a suspicion, and a suspicion does not time out while its subject is heard.

mod codec;
mod contacts;
mod health;
mod incarnation;
mod runtime;
mod settings;

use codec::EvidenceCodec;
pub(crate) use contacts::Contacts;
use foca::{Foca, Header, Member, Message, NoCustomBroadcast, State, Timer};
use health::{LocalHealth, ProbeEnd};
pub use incarnation::{Incarnation, MAX_GENERATION};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::HostRuntime;
pub use settings::{Defences, DetectorSettings};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The state of a router by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorState {
    /// It answers, or has refuted a suspicion.
    Alive,
    /// It has not answered.
    Suspect,
    /// Its suspicion has timed out, or it has left.
    Down,
}

/// The detector's part of a datagram can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl std::error::Error for Malformed {}

impl fmt::Display for Malformed {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("a message of the failure detector can't be read")
    }
}

/// What the detector has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DetectorCounters {
    /// Suspicions of this router that it refuted.
    pub refutations: u64,
    /// Incarnations that it had to begin anew.
    pub new_incarnations: u64,
    /// Words of others that a router is down which direct contact outweighed.
    pub contradicted: u64,
}

/// A suspicion that this router has noted.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    incarnation: Incarnation,
    swim_incarnation: foca::Incarnation,
    /// By this router's clock, in seconds.
    since: f64,
}

/// The failure detector of one router.
pub struct Swim {
    foca: Foca<Incarnation, EvidenceCodec, SmallRng, NoCustomBroadcast>,
    runtime: HostRuntime,
    pub(crate) contacts: Rc<RefCell<Contacts>>,
    contradicted: Rc<RefCell<u64>>,
    me: u16,
    /// How long a suspicion lasts, in seconds.
    suspicion_timeout: f64,
    suspicions: BTreeMap<u16, Suspicion>,
}

impl Swim {
    /// The detector of the router with this incarnation, among so many.
    pub fn new(me: Incarnation, routers: usize, pace: &DetectorSettings, seed: u64, now: f64) -> Swim {
        let contacts = Rc::new(RefCell::new(Contacts::new(routers, pace.defences.trust_direct_contact, now)));
        let contradicted = Rc::new(RefCell::new(0));
        let codec =
            EvidenceCodec { contacts: contacts.clone(), me: me.router, contradicted: contradicted.clone() };
        let health = LocalHealth::new(pace.defences.local_health);
        Swim {
            foca: Foca::new(me, pace.foca_config(routers), SmallRng::seed_from_u64(seed), codec),
            runtime: HostRuntime::new(health, now),
            contacts,
            contradicted,
            me: me.router,
            suspicion_timeout: pace.suspicion_timeout_for(routers),
            suspicions: BTreeMap::new(),
        }
    }

    /// The present incarnation of this router.
    pub fn me(&self) -> Incarnation {
        *self.foca.identity()
    }

    /// How slow or deaf this router finds itself, from 0 to 4.
    pub fn local_health_score(&self) -> u32 {
        self.runtime.health.score
    }

    /// What was counted since the start.
    pub fn counters(&self) -> DetectorCounters {
        DetectorCounters {
            refutations: self.runtime.refutations,
            new_incarnations: self.runtime.new_incarnations,
            contradicted: *self.contradicted.borrow(),
        }
    }

    fn set_time(&mut self, now: f64) {
        self.runtime.now = now;
        self.contacts.borrow_mut().now = now;
    }

    /// Asks a router for all members that it knows.
    pub fn announce(&mut self, router: u16, now: f64) {
        self.set_time(now);
        let to = Incarnation { router, generation: 0, leaving: false };
        // An address is all that it takes; which incarnation answers is learned from the answer.
        let _ = self.foca.announce(to, &mut self.runtime);
    }

    /// Takes the detector's part of a datagram.
    ///
    /// # Errors
    /// [`Malformed`]; what could be read of it may have been taken.
    pub fn receive(&mut self, bytes: &[u8], now: f64) -> Result<(), Malformed> {
        self.set_time(now);
        if let Ok((header, _)) = postcard::take_from_bytes::<Header<Incarnation>>(bytes) {
            let answers = match header.message {
                Message::Ack(_) => Some(header.src.router),
                Message::ForwardedAck { origin, .. } => Some(origin.router),
                _ => None,
            };
            self.runtime.health.awaited.take_if(|awaited| answers == Some(*awaited));
        }
        match self.foca.handle_data(bytes, &mut self.runtime) {
            // It was meant for a former incarnation of this router, or tells what is known better.
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            Err(foca::Error::NotConnected) => Ok(()),
            Err(_) => Err(Malformed),
        }
    }

    /// Notes that a router does not answer, which was found by other means than the detector's own probes.
    pub fn suspect(&mut self, router: u16, now: f64) {
        self.set_time(now);
        let known = self.foca.iter_membership_state().find(|member| member.id().router == router);
        let Some(known) = known.filter(|known| known.state() == State::Alive).cloned() else { return };
        let update = Member::new(*known.id(), known.incarnation(), State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(update), true, &mut self.runtime);
    }

    /// Holds failed whoever was suspected here for as long as a suspicion lasts, whichever router suspected it first. The
    /// library leaves that to the first, which may be dead by now, and whose news may be gossiped to the dead.
    pub fn expire_suspicions(&mut self, now: f64) {
        self.set_time(now);
        let timeout = self.suspicion_timeout * self.runtime.health.suspicion_stretch();
        let mut suspicions = BTreeMap::new();
        let mut down = Vec::new();
        let contacts = self.contacts.borrow();
        for member in self.foca.iter_membership_state().filter(|member| member.state() == State::Suspect) {
            let suspicion = self.suspicion_of(member, now);
            suspicions.insert(suspicion.incarnation.router, suspicion);
            if now >= suspicion.since + timeout && !contacts.refutes(&suspicion.incarnation) {
                down.push(Member::new(suspicion.incarnation, suspicion.swim_incarnation, State::Down));
            }
        }
        drop(contacts);
        self.suspicions = suspicions;
        if !down.is_empty() {
            let _ = self.foca.apply_many(down.into_iter(), true, &mut self.runtime);
        }
    }

    /// The suspicion of this member: the one that is noted, or a new one.
    fn suspicion_of(&self, member: &Member<Incarnation>, now: f64) -> Suspicion {
        let incarnation = *member.id();
        let swim_incarnation = member.incarnation();
        let same = |noted: &&Suspicion| {
            noted.incarnation == incarnation && noted.swim_incarnation == swim_incarnation
        };
        let noted = self.suspicions.get(&incarnation.router).filter(same);
        noted.copied().unwrap_or(Suspicion { incarnation, swim_incarnation, since: now })
    }

    /// When anything was last heard, from any router.
    pub fn heard_at(&self) -> f64 {
        self.runtime.health.heard_at
    }

    /// Notes that something was heard, whatever it is: this router is not deaf.
    pub fn heard(&mut self, now: f64) {
        self.runtime.health.heard_at = now;
    }

    /// Begins a new incarnation: one in which this router leaves, or one that is younger than what others know of it.
    pub fn begin_incarnation(&mut self, generation: u64, leaving: bool, now: f64) {
        self.set_time(now);
        let incarnation =
            Incarnation { router: self.me, generation: generation.min(MAX_GENERATION), leaving };
        if incarnation != self.me() {
            let _ = self.foca.change_identity(incarnation, &mut self.runtime);
        }
    }

    /// Serves the timers that are due, at most so many.
    pub fn turn(&mut self, now: f64, max_timers: usize) {
        self.set_time(now);
        for _ in 0..max_timers {
            let Some((due, timer)) = self.runtime.take_due() else { return };
            match &timer {
                Timer::ChangeSuspectToDown { member_id, .. } if self.contacts.borrow().refutes(member_id) => {
                    // It is heard: the suspicion does not time out yet.
                    self.runtime.schedule(Contacts::RECENT / 2.0, timer);
                    continue;
                }
                Timer::ProbeRandomMember(_) => self.probe_ended(due),
                _ => {}
            }
            // A timer from before a change of incarnation no longer concerns the library, which it says by an error.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
    }

    /// The time of a probe is over, and the next one begins.
    fn probe_ended(&mut self, due: f64) {
        let contacts = self.contacts.borrow();
        let awaited = self.runtime.health.awaited;
        let target_alive = awaited.is_some_and(|router| contacts.heard_lately(router));
        self.runtime.health.probe_ended(ProbeEnd { due, now: self.runtime.now, target_alive });
    }

    /// This router had no turn for so many seconds: nobody is to be blamed for what was not heard meanwhile.
    pub fn paused(&mut self, seconds: f64) {
        for suspicion in self.suspicions.values_mut() {
            suspicion.since += seconds;
        }
        self.runtime.postpone(seconds);
        self.runtime.health.worsen();
    }

    /// When [`Swim::turn`] is to be called next, in seconds.
    pub fn due(&self) -> f64 {
        self.runtime.due()
    }

    /// The messages to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.runtime.outgoing)
    }

    /// The incarnation and the state of each router that was heard of.
    pub fn states(&self) -> impl Iterator<Item = (Incarnation, DetectorState)> + '_ {
        self.foca.iter_membership_state().map(|member| {
            let state = match member.state() {
                State::Alive => DetectorState::Alive,
                State::Suspect => DetectorState::Suspect,
                State::Down => DetectorState::Down,
            };
            (*member.id(), state)
        })
    }
}
