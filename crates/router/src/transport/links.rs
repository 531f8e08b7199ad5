//! All connections to engines: opened as pushes need them, shared by them, closed when idle.

use super::engine::{Broken, Link};
use super::{connect, guarded, out_of_descriptors, Handle, Source};
use crate::protocol::engine::Ask;
use crate::routing::{Counters, Failure, Outcome, PushId};
use cleatgw_start::LinkLimits;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

pub struct Links {
    handle: Handle,
    links: HashMap<u64, Link>,
    next: u64,
    most: usize,
    stated: LinkLimits,
    /// Pushes that ended: news of the next turn.
    ends: Vec<(PushId, Outcome)>,
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
            link_of: HashMap::new(),
            counters: Counters::default(),
        }
    }

    pub fn push(&mut self, push: PushId, engine: u64, address: SocketAddr, ask: &Ask, now: f64) {
        let mut found = self.find(engine, address, ask.id, now);
        // An idle one that its engine has just closed would lose the push: that is looked at first.
        while let Some(id) = found.filter(|id| self.links[id].up() && self.links[id].carries() == 0) {
            self.work(id, true, now);
            if self.links.contains_key(&id) {
                break;
            }
            found = self.find(engine, address, ask.id, now);
        }
        let id = match found.map_or_else(|| self.open(engine, address, now), Ok) {
            Ok(id) => id,
            Err(failure) => return self.ends.push((push, Err(failure))),
        };
        self.link_of.insert(push, id);
        let link = self.links.get_mut(&id).expect("just found");
        if let Err(error) = link.push(push, ask, now) {
            self.broken(id, Broken::Io(error));
        }
    }

    /// A connection that takes the push: one that is up before one that is coming up.
    fn find(&self, engine: u64, address: SocketAddr, push: &str, now: f64) -> Option<u64> {
        let here = |link: &Link| link.engine == engine && link.address == address;
        let fit = self.links.iter().filter(|(_, link)| here(link) && link.takes(push, &self.stated, now));
        fit.max_by_key(|(&id, link)| (link.up(), id)).map(|(&id, _)| id)
    }

    fn open(&mut self, engine: u64, address: SocketAddr, now: f64) -> Result<u64, Failure> {
        if self.links.len() >= self.most && !self.make_room() {
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
    fn make_room(&mut self) -> bool {
        let idle = self.links.iter().find(|(_, link)| link.carries() == 0).map(|(&id, _)| id);
        idle.map(|id| self.close(id)).is_some()
    }

    fn close(&mut self, id: u64) {
        let Some(link) = self.links.remove(&id) else { return };
        self.handle.remove(link.token);
        self.counters.answers_dropped += link.answers_dropped;
        link.over(&mut self.ends);
    }

    fn broken(&mut self, id: u64, why: Broken) {
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
        self.close(id);
        // No sign on the old ones, and no new one comes up: the machine is gone, and its answers with it.
        if !up && matches!(&why, Broken::Io(error) if error.kind() == ErrorKind::TimedOut) {
            let mute = |link: &Link| link.engine == engine && link.address == address && link.known_mute;
            let mute = self.links.iter().filter(|(_, link)| mute(link)).map(|(&id, _)| id);
            mute.collect::<Vec<_>>().into_iter().for_each(|id| self.broken(id, Broken::Vanished));
        }
    }

    pub fn work(&mut self, id: u64, readable: bool, now: f64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let ends = &mut self.ends;
        let worked = guarded("a connection to an engine", || link.work(readable, now, ends));
        match worked {
            Some(Ok(())) => {}
            Some(Err(why)) => self.broken(id, why),
            None => {
                self.counters.panics += 1;
                self.close(id);
            }
        }
    }

    /// A push could not be made: the connection that it was on ends, and it may have gone out.
    pub fn failed(&mut self, push: PushId) {
        self.counters.panics += 1;
        match self.link_of.get(&push) {
            Some(&id) => self.close(id),
            None => self.ends.push((push, Err(Failure::NeverSent))),
        }
    }

    /// Connections that did not come up, or have been idle for too long.
    pub fn time_passed(&mut self, now: f64) {
        let idle = self.stated.idle_after;
        let due: Vec<u64> =
            self.links.iter().filter(|(_, link)| now >= link.due(idle)).map(|(&id, _)| id).collect();
        for id in due {
            let connecting = self.links.get(&id).is_some_and(|link| !link.up());
            if connecting {
                self.work(id, false, now);
            } else {
                self.close(id);
            }
        }
    }

    /// Asks engines that are silent for a sign. Where none comes, a new connection shows whether the machine is
    /// there; what carries nothing is let go.
    pub fn sweep(&mut self, now: f64) {
        for id in self.links.keys().copied().collect::<Vec<_>>() {
            let Some(link) = self.links.get_mut(&id) else { continue };
            if !link.mute(&self.stated, now) {
                if let Err(error) = link.ask(now) {
                    self.broken(id, Broken::Io(error));
                }
            } else if link.carries() == 0 {
                self.close(id);
            } else if !std::mem::replace(&mut link.known_mute, true) {
                log::info!("connection to {}: gives no sign, with {} pushes", link.address, link.carries());
                let (engine, address) = (link.engine, link.address);
                let _ = self.open(engine, address, now);
            }
        }
    }

    pub fn due(&self) -> f64 {
        self.links.values().map(|link| link.due(self.stated.idle_after)).fold(f64::INFINITY, f64::min)
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

    pub fn give_up(&mut self, push: PushId, now: f64) -> Failure {
        // It may have ended just now, in a way that the next turn will tell.
        if let Some(at) = self.ends.iter().position(|(ended, _)| *ended == push) {
            self.link_of.remove(&push);
            return match self.ends.remove(at).1 {
                Err(failure) => failure,
                Ok(_) => Failure::AnsweredInPart,
            };
        }
        let Some(id) = self.link_of.remove(&push) else { return Failure::NeverSent };
        let Some(link) = self.links.get_mut(&id) else { return Failure::Sent };
        let (failure, written) = link.give_up(push, now);
        if let Err(error) = written {
            self.broken(id, Broken::Io(error));
        }
        failure
    }

    pub fn change_lane(&mut self, push: PushId, lane: u8) {
        let Some(&id) = self.link_of.get(&push) else { return };
        let changed = self.links.get_mut(&id).map(|link| link.change_lane(push, lane));
        if let Some(Err(error)) = changed {
            self.broken(id, Broken::Io(error));
        }
    }

    pub fn close_idle(&mut self, engine: u64) {
        let idle = self.links.iter().filter(|(_, link)| link.engine == engine && link.carries() == 0);
        idle.map(|(&id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.close(id));
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
