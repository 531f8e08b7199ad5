//! The connections to engines, and where each is to be found without a look at the others. A connection changes in
//! [`ConnectionIndex::change`] alone, which indexes it anew by what it has become: so the index can't differ from what is.

use super::engine_connection::EngineConnection;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// A time that can be ordered.
#[derive(Clone, Copy)]
struct OrderedTime(f64);

impl Ord for OrderedTime {
    fn cmp(&self, other: &OrderedTime) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &OrderedTime) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OrderedTime {
    fn eq(&self, other: &OrderedTime) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for OrderedTime {}

/// The keys that a connection is indexed by.
#[derive(Clone, Copy, Default)]
struct Keys {
    by_engine: Option<(u64, bool, u64)>,
    due: Option<(OrderedTime, u64)>,
    idle: Option<u64>,
    awaited: Option<u64>,
    unfinished: Option<u64>,
}

impl Keys {
    fn of(id: u64, connection: &EngineConnection, idle_after: f64) -> Keys {
        let due = connection.due(idle_after);
        Keys {
            by_engine: Some((connection.engine, connection.is_up(), id)),
            due: (due < f64::INFINITY).then_some((OrderedTime(due), id)),
            idle: (connection.load() == 0).then_some(id),
            awaited: connection.is_awaited().then_some(id),
            unfinished: connection.is_unfinished().then_some(id),
        }
    }
}

struct Indexed {
    connection: EngineConnection,
    keys: Keys,
}

/// All connections, by their ids.
pub struct ConnectionIndex {
    connections: HashMap<u64, Indexed>,
    idle_after: f64,
    /// By engine; within one those that are up after those that are coming up, then by id.
    by_engine: BTreeSet<(u64, bool, u64)>,
    due: BTreeSet<(OrderedTime, u64)>,
    idle: BTreeSet<u64>,
    awaited: BTreeSet<u64>,
    unfinished: BTreeSet<u64>,
    /// How often a connection was looked at. Tests bound its growth.
    looked_at: Cell<u64>,
}

/// Replaces a key by another one.
fn replace<T: Ord>(keys: &mut BTreeSet<T>, from: Option<T>, to: Option<T>) {
    if from != to {
        if let Some(from) = from {
            keys.remove(&from);
        }
        keys.extend(to);
    }
}

impl ConnectionIndex {
    pub fn new(idle_after: f64) -> ConnectionIndex {
        ConnectionIndex {
            connections: HashMap::new(),
            idle_after,
            by_engine: BTreeSet::new(),
            due: BTreeSet::new(),
            idle: BTreeSet::new(),
            awaited: BTreeSet::new(),
            unfinished: BTreeSet::new(),
            looked_at: Cell::new(0),
        }
    }

    fn reindex(&mut self, id: u64, from: Keys, to: Keys) {
        replace(&mut self.by_engine, from.by_engine, to.by_engine);
        replace(&mut self.due, from.due, to.due);
        replace(&mut self.idle, from.idle, to.idle);
        replace(&mut self.awaited, from.awaited, to.awaited);
        replace(&mut self.unfinished, from.unfinished, to.unfinished);
        if let Some(indexed) = self.connections.get_mut(&id) {
            indexed.keys = to;
        }
    }

    fn count_look(&self) {
        self.looked_at.set(self.looked_at.get() + 1);
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn add(&mut self, id: u64, connection: EngineConnection) {
        let to = Keys::of(id, &connection, self.idle_after);
        self.connections.insert(id, Indexed { connection, keys: Keys::default() });
        self.reindex(id, Keys::default(), to);
    }

    pub fn remove(&mut self, id: u64) -> Option<EngineConnection> {
        let Indexed { connection, keys } = self.connections.remove(&id)?;
        self.reindex(id, keys, Keys::default());
        Some(connection)
    }

    pub fn get(&self, id: u64) -> Option<&EngineConnection> {
        self.count_look();
        self.connections.get(&id).map(|indexed| &indexed.connection)
    }

    /// Changes a connection; none where it is not there.
    pub fn change<T>(&mut self, id: u64, change: impl FnOnce(&mut EngineConnection) -> T) -> Option<T> {
        self.count_look();
        let Indexed { connection, keys } = self.connections.get_mut(&id)?;
        let done = change(connection);
        let from = *keys;
        let to = Keys::of(id, connection, self.idle_after);
        self.reindex(id, from, to);
        Some(done)
    }

    pub fn all(&self) -> impl Iterator<Item = (u64, &EngineConnection)> {
        self.connections.iter().map(|(&id, indexed)| {
            self.count_look();
            (id, &indexed.connection)
        })
    }

    /// Those to an engine: what is up before what is coming up, then the newest first.
    pub fn to_engine(&self, engine: u64) -> impl Iterator<Item = (u64, &EngineConnection)> {
        let keys = self.by_engine.range((engine, false, 0)..=(engine, true, u64::MAX)).rev();
        keys.filter_map(|&(_, _, id)| Some((id, self.get(id)?)))
    }

    /// The ids of those that are due by then, the first of them first.
    pub fn due_by(&self, now: f64) -> Vec<u64> {
        self.due.range(..=(OrderedTime(now), u64::MAX)).map(|&(_, id)| id).collect()
    }

    pub fn next_due(&self) -> f64 {
        self.due.first().map_or(f64::INFINITY, |(at, _)| at.0)
    }

    /// The oldest that carries nothing.
    pub fn oldest_idle(&self) -> Option<u64> {
        self.idle.first().copied()
    }

    /// The ids of those whose engine owes a sign of life, or may be asked for one.
    pub fn awaited(&self) -> Vec<u64> {
        self.awaited.iter().copied().collect()
    }

    /// The ids of those that have more to read.
    pub fn unfinished(&self) -> impl Iterator<Item = u64> + '_ {
        self.unfinished.iter().copied()
    }

    #[cfg(test)]
    pub fn looked_at(&self) -> u64 {
        self.looked_at.get()
    }
}
