//! The failure detector: SWIM with suspicion (Das, Gupta and Motivala, 2002), implemented by the library `foca`. This
//! module supplies what the library expects of its caller: the time, message transport, and randomness. It also adds
//! two defences against false failures, in the codec and the timers that the library leaves to its caller:
//!
//! - **Local health** (Dadgar, Phillips and Currey, 2018): the timers are stretched while there is evidence that this
//!   router itself is slow, or does not receive its datagrams.
//! - **Direct contact overrides gossip**: a report from others that a router is down is treated as a mere suspicion
//!   while this router receives datagrams from it, and a suspicion does not time out during that.

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
use runtime::DetectorRuntime;
pub use settings::{Defences, DetectorSettings};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// The state of a router according to the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectorState {
    /// It answers probes, or has refuted a suspicion.
    Alive,
    /// It has not answered probes.
    Suspect,
    /// A suspicion of it has timed out, or it has left.
    Down,
}

/// A message of the failure detector could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl std::error::Error for Malformed {}

impl fmt::Display for Malformed {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str("malformed failure detector message")
    }
}

/// Counters of the failure detector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DetectorCounters {
    /// Suspicions of this router that it has refuted.
    pub refutations: u64,
    /// New incarnations that the library `foca` began for this router, as others had declared it down. Those begun by
    /// [`Swim::begin_incarnation`] are not counted.
    pub new_incarnations: u64,
    /// Reports from others that a router is down that were overruled because this router still hears it.
    pub contradicted: u64,
}

/// A suspicion of one router, as recorded here.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    incarnation: Incarnation,
    /// The library's own incarnation number, which the suspected router increments to refute a suspicion.
    swim_incarnation: foca::Incarnation,
    /// When the suspicion was first seen here, in seconds of this router's clock.
    since: f64,
}

/// The failure detector of one router.
pub struct Swim {
    foca: Foca<Incarnation, EvidenceCodec, SmallRng, NoCustomBroadcast>,
    runtime: DetectorRuntime,
    pub(crate) contacts: Rc<RefCell<Contacts>>,
    contradicted: Rc<RefCell<u64>>,
    me: u16,
    /// How long a suspected router has to refute the suspicion, in seconds.
    suspicion_timeout: f64,
    suspicions: BTreeMap<u16, Suspicion>,
}

impl Swim {
    /// The failure detector of the router `me`, in a cluster of `routers` routers.
    pub fn new(me: Incarnation, routers: usize, settings: &DetectorSettings, seed: u64, now: f64) -> Swim {
        let contacts =
            Rc::new(RefCell::new(Contacts::new(routers, settings.defences.trust_direct_contact, now)));
        let contradicted = Rc::new(RefCell::new(0));
        let codec =
            EvidenceCodec { contacts: contacts.clone(), me: me.router, contradicted: contradicted.clone() };
        let health = LocalHealth::new(settings.defences.local_health);
        Swim {
            foca: Foca::new(me, settings.foca_config(routers), SmallRng::seed_from_u64(seed), codec),
            runtime: DetectorRuntime::new(health, now),
            contacts,
            contradicted,
            me: me.router,
            suspicion_timeout: settings.suspicion_timeout_for(routers),
            suspicions: BTreeMap::new(),
        }
    }

    /// The current incarnation of this router.
    pub fn incarnation(&self) -> Incarnation {
        *self.foca.identity()
    }

    /// The local health score, from 0 (healthy) to 4: it grows with the evidence that this router is slow, or does
    /// not receive its datagrams.
    pub fn local_health_score(&self) -> u32 {
        self.runtime.health.score
    }

    /// The counters since the start.
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

    /// Asks a router for its full member list.
    pub fn announce(&mut self, router: u16, now: f64) {
        self.set_time(now);
        let to = Incarnation { router, generation: 0, leaving: false };
        // Only the router number is needed as the address; its actual generation is learned from the answer.
        let _ = self.foca.announce(to, &mut self.runtime);
    }

    /// Handles a received failure detector message.
    ///
    /// # Errors
    /// [`Malformed`] if the message can't be decoded. The updates decoded before the error may have been applied.
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
            // A message for an earlier incarnation of this router, or with nothing new, is also accepted.
            // `DataFromOurselves`: the sender has this router's own number.
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            // Not malformed either: the library itself is not in a connected state.
            Err(foca::Error::NotConnected) => Ok(()),
            Err(_) => Err(Malformed),
        }
    }

    /// Suspects a router that was found not to answer by other means than the detector's own probes.
    pub fn suspect(&mut self, router: u16, now: f64) {
        self.set_time(now);
        let known = self.foca.iter_membership_state().find(|member| member.id().router == router);
        let Some(known) = known.filter(|known| known.state() == State::Alive).cloned() else { return };
        let update = Member::new(*known.id(), known.incarnation(), State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(update), true, &mut self.runtime);
    }

    /// Declares down each router that has been suspected here for the whole suspicion timeout, whichever router
    /// suspected it first. The library leaves this to the router that raised the suspicion, which may have died
    /// since, or whose update may have been gossiped only to dead routers.
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

    /// The recorded suspicion of this member, or a new one that starts now.
    fn suspicion_of(&self, member: &Member<Incarnation>, now: f64) -> Suspicion {
        let incarnation = *member.id();
        let swim_incarnation = member.incarnation();
        let same = |recorded: &&Suspicion| {
            recorded.incarnation == incarnation && recorded.swim_incarnation == swim_incarnation
        };
        let recorded = self.suspicions.get(&incarnation.router).filter(same);
        recorded.copied().unwrap_or(Suspicion { incarnation, swim_incarnation, since: now })
    }

    /// When a datagram was last received from any router, in seconds.
    pub fn heard_at(&self) -> f64 {
        self.runtime.health.heard_at
    }

    /// Records that a datagram of any kind was received, which shows that this router does receive its datagrams.
    pub fn heard(&mut self, now: f64) {
        self.runtime.health.heard_at = now;
    }

    /// Begins a new incarnation of this router: to announce a planned leave, or to supersede the incarnation that
    /// others know. A generation above [`MAX_GENERATION`] is reduced to it.
    pub fn begin_incarnation(&mut self, generation: u64, leaving: bool, now: f64) {
        self.set_time(now);
        let incarnation =
            Incarnation { router: self.me, generation: generation.min(MAX_GENERATION), leaving };
        if incarnation != self.incarnation() {
            let _ = self.foca.change_identity(incarnation, &mut self.runtime);
        }
    }

    /// Runs the timers that are due, at most `max_timers`.
    pub fn turn(&mut self, now: f64, max_timers: usize) {
        self.set_time(now);
        for _ in 0..max_timers {
            let Some((due, timer)) = self.runtime.take_due() else { return };
            match &timer {
                Timer::ChangeSuspectToDown { member_id, .. } if self.contacts.borrow().refutes(member_id) => {
                    // The suspected router was heard recently, so the timeout is postponed.
                    self.runtime.schedule(Contacts::RECENT_CONTACT / 2.0, timer);
                    continue;
                }
                Timer::ProbeRandomMember(_) => self.probe_ended(due),
                _ => {}
            }
            // The library returns an error for a timer from before a change of incarnation; such a timer is obsolete.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
    }

    /// Updates the local health score at the end of a probe period.
    fn probe_ended(&mut self, due: f64) {
        let contacts = self.contacts.borrow();
        let awaited = self.runtime.health.awaited;
        let target_alive = awaited.is_some_and(|router| contacts.heard_within_contact_period(router));
        self.runtime.health.probe_ended(ProbeEnd { due, now: self.runtime.now, target_alive });
    }

    /// Accounts for a pause of this process: suspicions and timers are extended by its length, as silence during the
    /// pause is not evidence against other routers.
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

    /// Takes the messages to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.runtime.outgoing)
    }

    /// The incarnation and the state of each known router.
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
