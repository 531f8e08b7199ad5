//! All connections to engines: opened as attempts need them, shared by them, closed when idle.

use self::filed::Filed;
use super::engine::{Broken, Link};
use super::{connect, guarded, out_of_descriptors, Handle, Source};
use crate::protocol::engine::Ask;
use crate::routing::{AttemptId, Counters, Failure, Outcome};
use cleatgw_deployment_config::LinkLimits;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// By then an engine has seen that a connection was closed.
const CLOSE_SEEN: f64 = 0.05;

/// The connections, and where each is to be found without a look at the others. One changes in `change` alone, which files
/// it anew from what it has become: so what is filed can't differ from what is.
mod filed {
    use super::super::engine::Link;
    use std::cell::Cell;
    use std::cmp::Ordering;
    use std::collections::{BTreeSet, HashMap};

    #[derive(Clone, Copy)]
    struct At(f64);

    impl Ord for At {
        fn cmp(&self, other: &At) -> Ordering {
            self.0.total_cmp(&other.0)
        }
    }

    impl PartialOrd for At {
        fn partial_cmp(&self, other: &At) -> Option<Ordering> {
            Some(self.cmp(other))
        }
    }

    impl PartialEq for At {
        fn eq(&self, other: &At) -> bool {
            self.cmp(other) == Ordering::Equal
        }
    }

    impl Eq for At {}

    /// Under which keys a connection is filed.
    #[derive(Clone, Copy, Default)]
    struct Keys {
        here: Option<(u64, bool, u64)>,
        due: Option<(At, u64)>,
        idle: Option<u64>,
        awaited: Option<u64>,
        unfinished: Option<u64>,
    }

    impl Keys {
        fn of(id: u64, link: &Link, idle_after: f64) -> Keys {
            let due = link.due(idle_after);
            Keys {
                here: Some((link.engine, link.up(), id)),
                due: (due < f64::INFINITY).then_some((At(due), id)),
                idle: (link.carries() == 0).then_some(id),
                awaited: link.awaited().then_some(id),
                unfinished: link.unfinished().then_some(id),
            }
        }
    }

    pub struct Filed {
        links: HashMap<u64, (Link, Keys)>,
        idle_after: f64,
        /// By engine; within one those that are up after those that are coming up, then by id.
        here: BTreeSet<(u64, bool, u64)>,
        due: BTreeSet<(At, u64)>,
        idle: BTreeSet<u64>,
        awaited: BTreeSet<u64>,
        unfinished: BTreeSet<u64>,
        /// How often a connection was looked at.
        looked: Cell<u64>,
    }

    fn moved<T: Ord>(filed: &mut BTreeSet<T>, from: Option<T>, to: Option<T>) {
        if from != to {
            if let Some(from) = from {
                filed.remove(&from);
            }
            filed.extend(to);
        }
    }

    impl Filed {
        pub fn new(idle_after: f64) -> Filed {
            Filed {
                links: HashMap::new(),
                idle_after,
                here: BTreeSet::new(),
                due: BTreeSet::new(),
                idle: BTreeSet::new(),
                awaited: BTreeSet::new(),
                unfinished: BTreeSet::new(),
                looked: Cell::new(0),
            }
        }

        fn file(&mut self, id: u64, from: Keys, to: Keys) {
            moved(&mut self.here, from.here, to.here);
            moved(&mut self.due, from.due, to.due);
            moved(&mut self.idle, from.idle, to.idle);
            moved(&mut self.awaited, from.awaited, to.awaited);
            moved(&mut self.unfinished, from.unfinished, to.unfinished);
            self.links.get_mut(&id).into_iter().for_each(|(_, keys)| *keys = to);
        }

        fn look(&self, links: usize) {
            self.looked.set(self.looked.get() + links as u64);
        }

        pub fn len(&self) -> usize {
            self.links.len()
        }

        pub fn add(&mut self, id: u64, link: Link) {
            let to = Keys::of(id, &link, self.idle_after);
            self.links.insert(id, (link, Keys::default()));
            self.file(id, Keys::default(), to);
        }

        pub fn remove(&mut self, id: u64) -> Option<Link> {
            let (link, from) = self.links.remove(&id)?;
            self.file(id, from, Keys::default());
            Some(link)
        }

        pub fn get(&self, id: u64) -> Option<&Link> {
            self.look(1);
            self.links.get(&id).map(|(link, _)| link)
        }

        /// Does this to a connection that is there.
        pub fn change<T>(&mut self, id: u64, change: impl FnOnce(&mut Link) -> T) -> Option<T> {
            self.look(1);
            let (link, from) = self.links.get_mut(&id)?;
            let done = change(link);
            let (from, to) = (*from, Keys::of(id, link, self.idle_after));
            self.file(id, from, to);
            Some(done)
        }

        pub fn all(&self) -> impl Iterator<Item = (u64, &Link)> {
            self.links.iter().map(|(&id, (link, _))| {
                self.look(1);
                (id, link)
            })
        }

        /// Those to an engine: what is up before what is coming up, then the newest first.
        pub fn of(&self, engine: u64) -> impl Iterator<Item = (u64, &Link)> {
            let here = self.here.range((engine, false, 0)..=(engine, true, u64::MAX)).rev();
            here.filter_map(|&(_, _, id)| Some((id, self.get(id)?)))
        }

        /// Those that are due by then, the first of them first.
        pub fn due_by(&self, now: f64) -> impl Iterator<Item = u64> + '_ {
            self.due.range(..=(At(now), u64::MAX)).map(|&(_, id)| id)
        }

        pub fn next_due(&self) -> f64 {
            self.due.first().map_or(f64::INFINITY, |(at, _)| at.0)
        }

        /// The oldest that carries nothing.
        pub fn idle(&self) -> Option<u64> {
            self.idle.first().copied()
        }

        /// Those whose engine owes a sign, or may be asked for one.
        pub fn awaited(&self) -> impl Iterator<Item = u64> + '_ {
            self.awaited.iter().copied()
        }

        pub fn unfinished(&self) -> impl Iterator<Item = u64> + '_ {
            self.unfinished.iter().copied()
        }

        #[cfg(test)]
        pub fn looked(&self) -> u64 {
            self.looked.get()
        }
    }
}

pub struct Links {
    handle: Handle,
    links: Filed,
    next: u64,
    most: usize,
    stated: LinkLimits,
    /// Attempts that ended: news of the next turn.
    ends: Vec<(AttemptId, Outcome)>,
    /// Ends on connections that we closed: news once their engines have had time to see it.
    later: VecDeque<(f64, AttemptId, Outcome)>,
    link_of: HashMap<AttemptId, u64>,
    /// Connections that came up in this turn, on which nothing has left yet.
    came_up: Vec<u64>,
    counters: Counters,
}

impl Links {
    pub fn new(handle: &Handle, stated: LinkLimits, most: usize) -> Links {
        Links {
            handle: handle.clone(),
            links: Filed::new(stated.idle_after),
            next: 0,
            most: most.max(1),
            stated,
            ends: Vec::new(),
            later: VecDeque::new(),
            link_of: HashMap::new(),
            came_up: Vec::new(),
            counters: Counters::default(),
        }
    }

    pub fn dispatch(
        &mut self,
        attempt: AttemptId,
        engine: u64,
        address: SocketAddr,
        ask: &Ask,
        leave_by: f64,
        now: f64,
    ) {
        let mut found = self.find(engine, address, ask.id, leave_by, now);
        // An idle one that its engine has just closed would lose the attempt: that is looked at first.
        while let Some(id) = found.filter(|&id| self.is_idle(id)) {
            self.work(id, true, now);
            if self.links.get(id).is_some() {
                break;
            }
            found = self.find(engine, address, ask.id, leave_by, now);
        }
        let id = match found.map_or_else(|| self.open(engine, address, now), Ok) {
            Ok(id) => id,
            Err(failure) => return self.ends.push((attempt, Err(failure))),
        };
        self.link_of.insert(attempt, id);
        let ends = &mut self.ends;
        let dispatched = self.links.change(id, |link| link.dispatch(attempt, ask, leave_by, now, ends));
        if let Err(error) = dispatched.expect("just found") {
            self.broken(id, Broken::Io(error), now);
        }
    }

    fn is_idle(&self, id: u64) -> bool {
        self.links.get(id).is_some_and(|link| link.up() && link.carries() == 0)
    }

    /// A connection that takes the attempt: one that is up before one that is coming up. What must have left by some time is
    /// not put behind bytes that their engine has yet to take.
    fn find(&self, engine: u64, address: SocketAddr, attempt: &str, leave_by: f64, now: f64) -> Option<u64> {
        let fits = |link: &Link| {
            link.address == address
                && (leave_by == f64::INFINITY || !link.stuck())
                && link.takes(attempt, &self.stated, now)
        };
        self.links.of(engine).find(|(_, link)| fits(link)).map(|(id, _)| id)
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
                self.links.add(id, Link::new(token, engine, address, stream, until));
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
        let idle = self.links.idle();
        idle.map(|id| self.close(id, now)).is_some()
    }

    /// Closes a connection; what was on it is given up with it, which its engine is yet to see.
    fn close(&mut self, id: u64, now: f64) {
        let mut ends = Vec::new();
        self.closed(id, &mut ends);
        self.later.extend(ends.into_iter().map(|(attempt, outcome)| (now + CLOSE_SEEN, attempt, outcome)));
    }

    fn closed(&mut self, id: u64, ends: &mut Vec<(AttemptId, Outcome)>) {
        let Some(link) = self.links.remove(id) else { return };
        self.handle.remove(link.token);
        self.counters.answers_dropped += link.answers_dropped;
        link.over(ends);
    }

    fn broken(&mut self, id: u64, why: Broken, now: f64) {
        let Some(link) = self.links.get(id) else { return };
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
            let mute = |link: &Link| link.address == address && link.known_mute;
            let mute = self.links.of(engine).filter(|(_, link)| mute(link)).map(|(id, _)| id);
            mute.collect::<Vec<_>>().into_iter().for_each(|id| self.broken(id, Broken::Vanished, now));
        }
    }

    pub fn work(&mut self, id: u64, readable: bool, now: f64) {
        let ends = &mut self.ends;
        let worked = self.links.change(id, |link| {
            let was_up = link.up();
            let worked = guarded("a connection to an engine", || link.work(readable, now, ends));
            (worked, link.up() && !was_up)
        });
        let Some((worked, came_up)) = worked else { return };
        self.came_up.extend(came_up.then_some(id));
        self.went(id, worked, now);
    }

    /// What waited for connections that have come up leaves. This comes behind the decisions, which take back what is for
    /// clients that have left and for engines that drain.
    pub fn send_waiting(&mut self, now: f64) {
        for id in std::mem::take(&mut self.came_up) {
            let ends = &mut self.ends;
            let sent = self.links.change(id, |link| {
                guarded("a connection to an engine", || link.send_waiting(now, ends).map_err(Broken::Io))
            });
            if let Some(sent) = sent {
                self.went(id, sent, now);
            }
        }
    }

    /// How work on a connection went; none where it failed.
    fn went(&mut self, id: u64, worked: Option<Result<(), Broken>>, now: f64) {
        match worked {
            Some(Ok(())) => {}
            Some(Err(why)) => self.broken(id, why, now),
            None => {
                self.counters.panics += 1;
                self.close(id, now);
            }
        }
    }

    /// An attempt could not be made: the connection that it was on ends, and it may have gone out.
    pub fn failed(&mut self, attempt: AttemptId, now: f64) {
        self.counters.panics += 1;
        match self.link_of.get(&attempt) {
            Some(&id) => self.close(id, now),
            None => self.ends.push((attempt, Err(Failure::NeverSent))),
        }
    }

    /// Connections that did not come up, or have been idle for too long.
    pub fn time_passed(&mut self, now: f64) {
        for id in self.links.due_by(now).collect::<Vec<_>>() {
            let Some(link) = self.links.get(id) else { continue };
            if !link.up() && link.coming_up_until() <= now {
                self.work(id, false, now);
                continue;
            }
            let (ends, idle) = (&mut self.ends, self.stated.idle_after);
            let looked_at = self.links.change(id, |link| {
                link.time_passed(now, ends)?;
                Ok(now >= link.due(idle))
            });
            match looked_at {
                Some(Err(why)) => self.broken(id, why, now),
                Some(Ok(true)) => self.close(id, now),
                Some(Ok(false)) | None => {}
            }
        }
        while self.later.front().is_some_and(|(at, ..)| now >= *at) {
            self.ends.extend(self.later.pop_front().map(|(_, attempt, outcome)| (attempt, outcome)));
        }
    }

    /// Asks engines that are silent for a sign. Where none comes, a new connection shows whether the machine is
    /// there; what carries nothing is let go.
    pub fn sweep(&mut self, now: f64) {
        for id in self.links.awaited().collect::<Vec<_>>() {
            let Some(link) = self.links.get(id) else { continue };
            if !link.mute(&self.stated, now) {
                if let Some(Err(error)) = self.links.change(id, |link| link.ask(now)) {
                    self.broken(id, Broken::Io(error), now);
                }
            } else if link.carries() == 0 {
                self.close(id, now);
            } else if !link.known_mute {
                log::info!("connection to {}: gives no sign, with {} pushes", link.address, link.carries());
                let (engine, address) = (link.engine, link.address);
                self.links.change(id, |link| link.known_mute = true);
                let tried = |link: &Link| link.address == address && link.is_trial && !link.known_mute;
                if !self.links.of(engine).any(|(_, link)| tried(link)) {
                    let trial = self.open(engine, address, now).ok();
                    trial.map(|id| self.links.change(id, |link| link.is_trial = true));
                }
            }
        }
        let mute = self.links.awaited().filter_map(|id| Some((id, self.links.get(id)?)));
        let dead = mute.filter(|(_, link)| {
            let mut others = self.links.of(link.engine);
            link.known_mute && others.any(|(_, other)| link.dead_beside(other, &self.stated))
        });
        let dead = dead.map(|(id, _)| id).collect::<Vec<_>>();
        dead.into_iter().for_each(|id| self.broken(id, Broken::Dead, now));
    }

    pub fn due(&self) -> f64 {
        let later = self.later.front().map_or(f64::INFINITY, |&(at, ..)| at);
        later.min(self.links.next_due())
    }

    /// Hands over the attempts that ended.
    pub fn ended(&mut self, ends: &mut Vec<(AttemptId, Outcome)>) {
        for (attempt, outcome) in self.ends.drain(..) {
            self.link_of.remove(&attempt);
            ends.push((attempt, outcome));
        }
    }

    pub fn has_ended(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Its end is news of a later turn, if it has not come already.
    pub fn give_up(&mut self, attempt: AttemptId, now: f64) {
        let Some(&id) = self.link_of.get(&attempt) else { return };
        let ends = &mut self.ends;
        let given_up = self.links.change(id, |link| link.give_up(attempt, now, ends));
        if let Some(Err(error)) = given_up {
            self.broken(id, Broken::Io(error), now);
        }
    }

    pub fn change_lane(&mut self, attempt: AttemptId, lane: u8, now: f64) {
        let Some(&id) = self.link_of.get(&attempt) else { return };
        let changed = self.links.change(id, |link| link.change_lane(attempt, lane));
        if let Some(Err(error)) = changed {
            self.broken(id, Broken::Io(error), now);
        }
    }

    pub fn close_idle(&mut self, engine: u64, now: f64) {
        let idle = self.links.of(engine).filter(|(_, link)| link.carries() == 0);
        idle.map(|(id, _)| id).collect::<Vec<_>>().into_iter().for_each(|id| self.close(id, now));
    }

    /// What waits for a connection to this engine to come up never leaves.
    pub fn call_back(&mut self, engine: u64) {
        for id in self.links.of(engine).map(|(id, _)| id).collect::<Vec<_>>() {
            self.links.change(id, |link| link.call_back(&mut self.ends));
        }
    }

    pub fn unfinished(&self) -> impl Iterator<Item = Source> + '_ {
        self.links.unfinished().map(Source::Link)
    }

    pub fn counters(&self) -> Counters {
        let late: u64 = self.links.all().map(|(_, link)| link.answers_dropped).sum();
        let answers_dropped = self.counters.answers_dropped + late;
        Counters { links_open: self.links.len() as u64, answers_dropped, ..self.counters.clone() }
    }
}

#[cfg(test)]
mod tests;
