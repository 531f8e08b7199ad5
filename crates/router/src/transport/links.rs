//! All connections to engines: opened as pushes need them, shared by them, closed when idle.

use super::engine::{Broken, Link};
use super::{connect, guarded, out_of_descriptors, Handle, Source};
use crate::protocol::engine::Ask;
use crate::routing::{Counters, Failure, Outcome, PushId};
use cleatgw_start::LinkLimits;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// By then an engine has seen that a connection was closed.
const CLOSE_SEEN: f64 = 0.05;

pub struct Links {
    handle: Handle,
    links: HashMap<u64, Link>,
    next: u64,
    most: usize,
    stated: LinkLimits,
    /// Pushes that ended: news of the next turn.
    ends: Vec<(PushId, Outcome)>,
    /// Ends on connections that we closed: news once their engines have had time to see it.
    later: VecDeque<(f64, PushId, Outcome)>,
    link_of: HashMap<PushId, u64>,
    counters: Counters,
}

impl Links {
    pub fn new(handle: &Handle, stated: LinkLimits, most: usize) -> Links {
        Links {
            handle: handle.clone(),
            links: HashMap::new(),
            next: 0,
            most: most.max(1),
            stated,
            ends: Vec::new(),
            later: VecDeque::new(),
            link_of: HashMap::new(),
            counters: Counters::default(),
        }
    }

    pub fn push(
        &mut self,
        push: PushId,
        engine: u64,
        address: SocketAddr,
        ask: &Ask,
        leave_by: f64,
        now: f64,
    ) {
        let mut found = self.find(engine, address, ask.id, leave_by, now);
        // An idle one that its engine has just closed would lose the push: that is looked at first.
        while let Some(id) = found.filter(|id| self.links[id].up() && self.links[id].carries() == 0) {
            self.work(id, true, now);
            if self.links.contains_key(&id) {
                break;
            }
            found = self.find(engine, address, ask.id, leave_by, now);
        }
        let id = match found.map_or_else(|| self.open(engine, address, now), Ok) {
            Ok(id) => id,
            Err(failure) => return self.ends.push((push, Err(failure))),
        };
        self.link_of.insert(push, id);
        let link = self.links.get_mut(&id).expect("just found");
        if let Err(error) = link.push(push, ask, leave_by, now, &mut self.ends) {
            self.broken(id, Broken::Io(error), now);
        }
    }

    /// A connection that takes the push: one that is up before one that is coming up. What must have left by some time is
    /// not put behind bytes that their engine has yet to take.
    fn find(&self, engine: u64, address: SocketAddr, push: &str, leave_by: f64, now: f64) -> Option<u64> {
        let here = |link: &Link| {
            link.engine == engine && link.address == address && (leave_by == f64::INFINITY || !link.stuck())
        };
        let fit = self.links.iter().filter(|(_, link)| here(link) && link.takes(push, &self.stated, now));
        fit.max_by_key(|(&id, link)| (link.up(), id)).map(|(&id, _)| id)
    }

    fn open(&mut self, engine: u64, address: SocketAddr, now: f64) -> Result<u64, Failure> {
        if self.links.len() >= self.most && !self.make_room(now) {
            self.counters.descriptors_short += 1;
            return Err(Failure::NeverSent);
        }
        let id = self.next;
        self.next += 1;
        match connect(&self.handle, address, Source::Link(id)) {
            Ok((token, stream)) => {
                let until = now + self.stated.connect_time_out;
                self.links.insert(id, Link::new(token, engine, address, stream, until));
                self.counters.links += 1;
                Ok(id)
            }
            Err(error) if out_of_descriptors(&error) => {
                self.counters.descriptors_short += 1;
                Err(Failure::NeverSent)
            }
            Err(error) => {
                log::debug!("connection to {address}: {error}");
                self.counters.links_failed += 1;
                Err(Failure::Refused)
            }
        }
    }

    /// Closes a connection that carries nothing.
    fn make_room(&mut self, now: f64) -> bool {
        let idle = self.links.iter().find(|(_, link)| link.carries() == 0).map(|(&id, _)| id);
        idle.map(|id| self.close(id, now)).is_some()
    }

    /// Closes a connection; what was on it is given up with it, which its engine is yet to see.
    fn close(&mut self, id: u64, now: f64) {
        let mut ends = Vec::new();
        self.closed(id, &mut ends);
        self.later.extend(ends.into_iter().map(|(push, outcome)| (now + CLOSE_SEEN, push, outcome)));
    }

    fn closed(&mut self, id: u64, ends: &mut Vec<(PushId, Outcome)>) {
        let Some(link) = self.links.remove(&id) else { return };
        self.handle.remove(link.token);
        self.counters.answers_dropped += link.answers_dropped;
        link.over(ends);
    }

    fn broken(&mut self, id: u64, why: Broken, now: f64) {
        let Some(link) = self.links.get(&id) else { return };
        let level = match why {
            Broken::Malformed(_) => {
                self.counters.links_malformed += 1;
                log::Level::Warn
            }
            _ if !link.up() => {
                self.counters.links_failed += 1;
                log::Level::Debug
            }
            _ if link.carries() > 0 => log::Level::Info,
            _ => log::Level::Debug,
        };
        log::log!(level, "connection to {}: {why}, with {} pushes", link.address, link.carries());
        let (engine, address, up) = (link.engine, link.address, link.up());
        match why {
            Broken::Closed | Broken::Io(_) => {
                let mut ends = std::mem::take(&mut self.ends);
                self.closed(id, &mut ends);
                self.ends = ends;
            }
            Broken::Malformed(_) | Broken::Vanished | Broken::Dead => self.close(id, now),
        }
        // No sign on the old ones, and no new one comes up: the machine is gone, and its answers with it.
        if !up && matches!(&why, Broken::Io(error) if error.kind() == ErrorKind::TimedOut) {
            let mute = |link: &Link| link.engine == engine && link.address == address && link.known_mute;
            let mute = self.links.iter().filter(|(_, link)| mute(link)).map(|(&id, _)| id);
            mute.collect::<Vec<_>>().into_iter().for_each(|id| self.broken(id, Broken::Vanished, now));
        }
    }

    pub fn work(&mut self, id: u64, readable: bool, now: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let ends = &mut self.ends;
        let worked = guarded("a connection to an engine", || link.work(readable, now, ends));
        match worked {
            Some(Ok(())) => {}
            Some(Err(why)) => self.broken(id, why, now),
            None => {
                self.counters.panics += 1;
                self.close(id, now);
            }
        }
    }

    /// A push could not be made: the connection that it was on ends, and it may have gone out.
    pub fn failed(&mut self, push: PushId, now: f64) {
        self.counters.panics += 1;
        match self.link_of.get(&push) {
            Some(&id) => self.close(id, now),
            None => self.ends.push((push, Err(Failure::NeverSent))),
        }
    }

    /// Connections that did not come up, or have been idle for too long.
    pub fn time_passed(&mut self, now: f64) {
        let idle = self.stated.idle_after;
        let due: Vec<u64> =
            self.links.iter().filter(|(_, link)| now >= link.due(idle)).map(|(&id, _)| id).collect();
        for id in due {
            let Some(link) = self.links.get_mut(&id) else { continue };
            if !link.up() && link.coming_up_until() <= now {
                self.work(id, false, now);
            } else if let Err(why) = link.time_passed(now, &mut self.ends) {
                self.broken(id, why, now);
            } else if now >= link.due(idle) {
                self.close(id, now);
            }
        }
        while self.later.front().is_some_and(|(at, ..)| now >= *at) {
            self.ends.extend(self.later.pop_front().map(|(_, push, outcome)| (push, outcome)));
        }
    }

    /// Asks engines that are silent for a sign. Where none comes, a new connection shows whether the machine is
    /// there; what carries nothing is let go.
    pub fn sweep(&mut self, now: f64) {
        for id in self.links.keys().copied().collect::<Vec<_>>() {
            let Some(link) = self.links.get_mut(&id) else { continue };
            if !link.mute(&self.stated, now) {
                if let Err(error) = link.ask(now) {
                    self.broken(id, Broken::Io(error), now);
                }
            } else if link.carries() == 0 {
                self.close(id, now);
            } else if !std::mem::replace(&mut link.known_mute, true) {
                log::info!("connection to {}: gives no sign, with {} pushes", link.address, link.carries());
                let (engine, address) = (link.engine, link.address);
                let tried = |link: &Link| {
                    (link.engine, link.address) == (engine, address) && link.is_trial && !link.known_mute
                };
                if !self.links.values().any(tried) {
                    let trial = self.open(engine, address, now).ok().and_then(|id| self.links.get_mut(&id));
                    trial.into_iter().for_each(|trial| trial.is_trial = true);
                }
            }
        }
        let dead = |link: &Link| self.links.values().any(|other| link.dead_beside(other, &self.stated));
        let dead = self.links.iter().filter(|(_, link)| dead(link)).map(|(&id, _)| id).collect::<Vec<_>>();
        dead.into_iter().for_each(|id| self.broken(id, Broken::Dead, now));
    }

    pub fn due(&self) -> f64 {
        let later = self.later.front().map_or(f64::INFINITY, |&(at, ..)| at);
        self.links.values().map(|link| link.due(self.stated.idle_after)).fold(later, f64::min)
    }

    /// Hands over the pushes that ended.
    pub fn ended(&mut self, ends: &mut Vec<(PushId, Outcome)>) {
        for (push, outcome) in self.ends.drain(..) {
            self.link_of.remove(&push);
            ends.push((push, outcome));
        }
    }

    pub fn has_ended(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Its end is news of a later turn, if it has not come already.
    pub fn give_up(&mut self, push: PushId, now: f64) {
        let Some(&id) = self.link_of.get(&push) else { return };
        let given_up = self.links.get_mut(&id).map(|link| link.give_up(push, now, &mut self.ends));
        if let Some(Err(error)) = given_up {
            self.broken(id, Broken::Io(error), now);
        }
    }

    pub fn change_lane(&mut self, push: PushId, lane: u8, now: f64) {
        let Some(&id) = self.link_of.get(&push) else { return };
        let changed = self.links.get_mut(&id).map(|link| link.change_lane(push, lane));
        if let Some(Err(error)) = changed {
            self.broken(id, Broken::Io(error), now);
        }
    }

    pub fn close_idle(&mut self, engine: u64, now: f64) {
        let idle = self.links.iter().filter(|(_, link)| link.engine == engine && link.carries() == 0);
        idle.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.close(id, now));
    }

    /// What waits for a connection to this engine to come up never leaves.
    pub fn call_back(&mut self, engine: u64) {
        let here = self.links.values_mut().filter(|link| link.engine == engine);
        here.for_each(|link| link.call_back(&mut self.ends));
    }

    pub fn unfinished(&self) -> impl Iterator<Item = Source> + '_ {
        self.links.iter().filter(|(_, link)| link.unfinished()).map(|(&id, _)| Source::Link(id))
    }

    pub fn counters(&self) -> Counters {
        let late: u64 = self.links.values().map(|link| link.answers_dropped).sum();
        let answers_dropped = self.counters.answers_dropped + late;
        Counters { links_open: self.links.len() as u64, answers_dropped, ..self.counters.clone() }
    }
}

#[cfg(test)]
mod tests;
