//! The connections to engines, indexed so that those with a given property are found without visiting the others. A
//! connection is modified only through [`ConnectionIndex::update`], which updates its index entries afterwards, so the
//! index always matches the connections.

use super::engine_connection::EngineConnection;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// A time with a total order, for use as a key.
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

/// The keys under which a connection is indexed; `None` where it has no entry.
#[derive(Clone, Copy, Default)]
struct Keys {
    by_engine: Option<(u64, bool, u64)>,
    due: Option<(OrderedTime, u64)>,
    idle: Option<u64>,
    awaiting_engine: Option<u64>,
    unfinished: Option<u64>,
}

impl Keys {
    fn for_connection(id: u64, connection: &EngineConnection, idle_after: f64) -> Keys {
        let due = connection.due(idle_after);
        Keys {
            by_engine: Some((connection.engine, connection.is_up(), id)),
            due: (due < f64::INFINITY).then_some((OrderedTime(due), id)),
            idle: (connection.load() == 0).then_some(id),
            awaiting_engine: connection.is_awaiting_engine().then_some(id),
            unfinished: connection.is_unfinished().then_some(id),
        }
    }
}

struct IndexedConnection {
    connection: EngineConnection,
    keys: Keys,
}

/// All connections, by their ids.
pub struct ConnectionIndex {
    connections: HashMap<u64, IndexedConnection>,
    /// After how long an engine closes a connection without open attempts, in seconds.
    idle_after: f64,
    /// Engine, whether the connection is up, and id: connections of one engine that are up come after those still
    /// connecting.
    by_engine: BTreeSet<(u64, bool, u64)>,
    /// When each connection is due, except those that never are.
    due: BTreeSet<(OrderedTime, u64)>,
    /// Connections without open attempts.
    idle: BTreeSet<u64>,
    /// Connections whose engine is expected to send something.
    awaiting_engine: BTreeSet<u64>,
    /// Connections that may hold more than was read.
    unfinished: BTreeSet<u64>,
    /// How often a connection was looked up. Tests limit its growth.
    lookups: Cell<u64>,
}

/// Replaces one key of an index by another.
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
            awaiting_engine: BTreeSet::new(),
            unfinished: BTreeSet::new(),
            lookups: Cell::new(0),
        }
    }

    fn reindex(&mut self, id: u64, from: Keys, to: Keys) {
        replace(&mut self.by_engine, from.by_engine, to.by_engine);
        replace(&mut self.due, from.due, to.due);
        replace(&mut self.idle, from.idle, to.idle);
        replace(&mut self.awaiting_engine, from.awaiting_engine, to.awaiting_engine);
        replace(&mut self.unfinished, from.unfinished, to.unfinished);
        if let Some(indexed) = self.connections.get_mut(&id) {
            indexed.keys = to;
        }
    }

    fn count_lookup(&self) {
        self.lookups.set(self.lookups.get() + 1);
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn add(&mut self, id: u64, connection: EngineConnection) {
        let to = Keys::for_connection(id, &connection, self.idle_after);
        self.connections.insert(id, IndexedConnection { connection, keys: Keys::default() });
        self.reindex(id, Keys::default(), to);
    }

    pub fn remove(&mut self, id: u64) -> Option<EngineConnection> {
        let IndexedConnection { connection, keys } = self.connections.remove(&id)?;
        self.reindex(id, keys, Keys::default());
        Some(connection)
    }

    pub fn get(&self, id: u64) -> Option<&EngineConnection> {
        self.count_lookup();
        self.connections.get(&id).map(|indexed| &indexed.connection)
    }

    /// Modifies a connection and updates its index entries. Returns `None` if there is no such connection.
    pub fn update<T>(&mut self, id: u64, update: impl FnOnce(&mut EngineConnection) -> T) -> Option<T> {
        self.count_lookup();
        let IndexedConnection { connection, keys } = self.connections.get_mut(&id)?;
        let result = update(connection);
        let from = *keys;
        let to = Keys::for_connection(id, connection, self.idle_after);
        self.reindex(id, from, to);
        Some(result)
    }

    pub fn all(&self) -> impl Iterator<Item = (u64, &EngineConnection)> {
        self.connections.iter().map(|(&id, indexed)| {
            self.count_lookup();
            (id, &indexed.connection)
        })
    }

    /// The connections to an engine: those that are up before those still connecting, and the newest first within each.
    pub fn to_engine(&self, engine: u64) -> impl Iterator<Item = (u64, &EngineConnection)> {
        let keys = self.by_engine.range((engine, false, 0)..=(engine, true, u64::MAX)).rev();
        keys.filter_map(|&(_, _, id)| Some((id, self.get(id)?)))
    }

    /// The ids of connections that are due at `time` or earlier, in the order in which they fall due.
    pub fn due_by(&self, time: f64) -> Vec<u64> {
        self.due.range(..=(OrderedTime(time), u64::MAX)).map(|&(_, id)| id).collect()
    }

    /// When the next connection is due; infinite if none is.
    pub fn next_due(&self) -> f64 {
        self.due.first().map_or(f64::INFINITY, |(at, _)| at.0)
    }

    /// The id of the oldest connection without open attempts.
    pub fn oldest_idle(&self) -> Option<u64> {
        self.idle.first().copied()
    }

    /// The ids of connections whose engine is expected to send something.
    pub fn awaiting_engine(&self) -> Vec<u64> {
        self.awaiting_engine.iter().copied().collect()
    }

    /// The ids of connections that may hold more than was read.
    pub fn unfinished(&self) -> impl Iterator<Item = u64> + '_ {
        self.unfinished.iter().copied()
    }

    #[cfg(test)]
    pub fn lookups(&self) -> u64 {
        self.lookups.get()
    }
}
