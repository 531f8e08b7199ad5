//! SWIM with suspicion (Das, Gupta and Motivala, 2002) by the library `foca`, with what it leaves to its host: clock,
//! bytes, chance. Two defences are ours, both in what the library hands through us:
//!
//! - **Local health** (Dadgar, Phillips and Currey, 2018): its timers pass through us, and are stretched while there is
//!   evidence that it is we who are slow or deaf ([`Health`]).
//! - **Our own ears before rumour** ([`Ears`]): what we hear from a router ourselves outweighs another's word that it is
//!   down. Such a word is read as a suspicion, and a suspicion does not ripen while its object is heard.

mod codec;
mod ears;
mod health;
mod life;
mod runtime;
mod settings;

use codec::Weighed;
pub use ears::Ears;
use foca::{Foca, Header, Member, Message, NoCustomBroadcast, State, Timer};
pub use health::Health;
pub use life::{Life, YOUNGEST};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use runtime::Desk;
pub use settings::{Defences, Pace};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// How a router stands by the library's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Alive,
    Suspect,
    Down,
}

/// The detector's part of a datagram can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unread;

pub struct Swim {
    foca: Foca<Life, Weighed, SmallRng, NoCustomBroadcast>,
    desk: Desk,
    pub ears: Rc<RefCell<Ears>>,
    contradicted: Rc<RefCell<u64>>,
    me: u16,
    /// A suspicion ripens after this, in seconds.
    suspicion: f64,
    /// Who is suspected, in which life and by which incarnation, since when by our clock.
    suspects: BTreeMap<u16, (Life, foca::Incarnation, f64)>,
}

impl Swim {
    pub fn new(me: Life, routers: usize, pace: &Pace, seed: u64, now: f64) -> Swim {
        let ears = Ears { now, on: pace.defences.own_ears, heard: vec![None; routers] };
        let ears = Rc::new(RefCell::new(ears));
        let contradicted = Rc::new(RefCell::new(0));
        let codec = Weighed { ears: ears.clone(), me: me.router, contradicted: contradicted.clone() };
        let foca = Foca::new(me, pace.foca(routers), SmallRng::seed_from_u64(seed), codec);
        let health = Health { on: pace.defences.local_health, ..Health::default() };
        let desk = Desk { now, health, ..Desk::default() };
        let suspicion = pace.suspicion_for(routers);
        Swim { foca, desk, ears, contradicted, me: me.router, suspicion, suspects: BTreeMap::new() }
    }

    pub fn me(&self) -> Life {
        *self.foca.identity()
    }

    pub fn health(&self) -> u32 {
        self.desk.health.score
    }

    /// How often we were accused and refuted it, how often we had to begin a new life, and how often others' word
    /// was outweighed by what we heard.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.desk.accused, self.desk.renewed, *self.contradicted.borrow())
    }

    fn at(&mut self, now: f64) {
        self.desk.now = now;
        self.ears.borrow_mut().now = now;
    }

    /// Asks a router for who is there.
    pub fn announce(&mut self, router: u16, now: f64) {
        self.at(now);
        let to = Life { router, born: 0, leaving: false };
        // An address is all that it takes; which life answers is learned from the answer.
        let _ = self.foca.announce(to, &mut self.desk);
    }

    /// The library's part of a datagram.
    ///
    /// # Errors
    /// [`Unread`]; what could be read of it may have been taken.
    pub fn data(&mut self, bytes: &[u8], now: f64) -> Result<(), Unread> {
        self.at(now);
        if let Ok((header, _)) = postcard::take_from_bytes::<Header<Life>>(bytes) {
            let answers = match header.message {
                Message::Ack(_) => Some(header.src.router),
                Message::ForwardedAck { origin, .. } => Some(origin.router),
                _ => None,
            };
            self.desk.health.awaited.take_if(|awaited| answers == Some(*awaited));
        }
        match self.foca.handle_data(bytes, &mut self.desk) {
            // It was meant for a former life of ours, or tells what is known better.
            Ok(()) | Err(foca::Error::DataFromOurselves) => Ok(()),
            Err(foca::Error::NotConnected) => Ok(()),
            Err(_) => Err(Unread),
        }
    }

    /// Another way than its own probes found that this router does not answer.
    pub fn suspect(&mut self, router: u16, now: f64) {
        self.at(now);
        let known = self.foca.iter_membership_state().find(|member| member.id().router == router);
        let Some(known) = known.filter(|known| known.state() == State::Alive).cloned() else { return };
        let update = Member::new(*known.id(), known.incarnation(), State::Suspect);
        let _ = self.foca.apply_many(std::iter::once(update), true, &mut self.desk);
    }

    /// Whom we have held suspected for as long as a suspicion takes is failed, whoever suspected it first: the library
    /// leaves that to the first, which may be dead by now, and whose news may go to the dead.
    pub fn ripen(&mut self, now: f64) {
        self.at(now);
        let lasts = self.suspicion * (0.5 + 0.5 * self.desk.health.stretch());
        let ears = self.ears.borrow();
        let (mut suspects, mut down) = (BTreeMap::new(), Vec::new());
        for member in self.foca.iter_membership_state().filter(|member| member.state() == State::Suspect) {
            let (life, incarnation) = (*member.id(), member.incarnation());
            let known =
                self.suspects.get(&life.router).filter(|known| (known.0, known.1) == (life, incarnation));
            let since = known.map_or(now, |known| known.2);
            suspects.insert(life.router, (life, incarnation, since));
            if now >= since + lasts && !ears.hears(&life) {
                down.push(Member::new(life, incarnation, State::Down));
            }
        }
        drop(ears);
        self.suspects = suspects;
        if !down.is_empty() {
            let _ = self.foca.apply_many(down.into_iter(), true, &mut self.desk);
        }
    }

    /// When anything was last heard.
    pub fn heard_at(&self) -> f64 {
        self.desk.health.heard_at
    }

    /// Something came, whatever it is: we are not deaf.
    pub fn hears(&mut self, now: f64) {
        self.desk.health.heard_at = now;
    }

    /// A new life, in which we leave, or that is younger than what others hold for ours.
    pub fn live_anew(&mut self, born: u64, leaving: bool, now: f64) {
        self.at(now);
        let life = Life { router: self.me, born: born.min(YOUNGEST), leaving };
        if life != self.me() {
            let _ = self.foca.change_identity(life, &mut self.desk);
        }
    }

    /// Serves what is due, at most so many timers.
    pub fn turn(&mut self, now: f64, most: usize) {
        self.at(now);
        for _ in 0..most {
            let Some(entry) = self.desk.timers.first_entry() else { return };
            let due = f64::from_bits(entry.key().0);
            if due > now {
                return;
            }
            let timer = entry.remove();
            match &timer {
                Timer::ChangeSuspectToDown { member_id, .. } if self.ears.borrow().hears(member_id) => {
                    // It is heard: the suspicion does not ripen yet.
                    self.desk.later(Ears::FRESH / 2.0, timer);
                    continue;
                }
                Timer::ProbeRandomMember(_) => self.probe_over(due),
                _ => {}
            }
            // A timer of before a change of life is none of the library's business any more, which it says.
            let _ = self.foca.handle_timer(timer, &mut self.desk);
        }
    }

    /// A probe's time is over and the next begins. Was nothing heard for long, or is this turn late, or have two in a row
    /// that are not the same not answered us though we heard them of late, then the fault may be ours: those that fell
    /// silent may be dead, however many they are.
    fn probe_over(&mut self, due: f64) {
        let ears = self.ears.borrow();
        // Of so many, each says something to us about so often.
        let lately = (ears.heard.len() as f64 * Ears::EACH).max(Ears::FRESH);
        let alive =
            |router: u16| ears.heard(router.into()).is_some_and(|(_, at)| self.desk.now - at < lately);
        let health = &mut self.desk.health;
        let late = self.desk.now - due > Health::LATE;
        let deaf = self.desk.now - health.heard_at > Health::DEAF;
        let silent = health.awaited.take();
        let missed = silent.filter(|router| alive(*router));
        let again = missed.is_some() && health.missed.is_some() && health.missed != missed;
        if late || deaf || again {
            health.worse();
        } else if silent.is_none() {
            health.score = health.score.saturating_sub(1);
        }
        health.missed = missed;
    }

    /// We had no turn for so long: nobody is to be blamed for what we did not hear meanwhile.
    pub fn paused(&mut self, gap: f64) {
        self.suspects.values_mut().for_each(|(.., since)| *since += gap);
        let timers = std::mem::take(&mut self.desk.timers);
        let moved = |((due, number), timer)| ((((f64::from_bits(due)) + gap).to_bits(), number), timer);
        self.desk.timers = timers.into_iter().map(moved).collect();
        self.desk.health.worse();
    }

    pub fn due(&self) -> f64 {
        self.desk.timers.first_key_value().map_or(f64::INFINITY, |((due, _), _)| f64::from_bits(*due))
    }

    pub fn outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        std::mem::take(&mut self.desk.out)
    }

    /// What the library holds of each router that it has heard of.
    pub fn told(&self) -> impl Iterator<Item = (Life, Told)> + '_ {
        self.foca.iter_membership_state().map(|member| {
            let told = match member.state() {
                State::Alive => Told::Alive,
                State::Suspect => Told::Suspect,
                State::Down => Told::Down,
            };
            (*member.id(), told)
        })
    }
}
