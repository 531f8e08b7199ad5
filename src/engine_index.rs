//! Indices over the engines, so that placing a request examines only a few of them. This module makes no decision, and
//! none of its constants affects which engine is chosen: the decision modules fill the indices and rank the engines
//! that they return.

use crate::statistics::hash_of;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A set of small indices, stored as a bit set.
#[derive(Clone, Debug, Default)]
pub(crate) struct IndexSet(Vec<u64>);

impl IndexSet {
    /// Adds an index, or removes it.
    pub fn set(&mut self, index: usize, is_member: bool) {
        let word = index / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let bit = 1 << (index % 64);
        if is_member {
            self.0[word] |= bit;
        } else {
            self.0[word] &= !bit;
        }
    }

    pub fn contains(&self, index: usize) -> bool {
        self.0.get(index / 64).is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    pub fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Adds all indices of the other set.
    pub fn union_with(&mut self, other: &IndexSet) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        for (word, other_word) in self.0.iter_mut().zip(&other.0) {
            *word |= other_word;
        }
    }

    /// The indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(word_index, &word)| {
            std::iter::successors(Some(word), |remaining| Some(remaining & remaining.wrapping_sub(1)))
                .take_while(|remaining| *remaining != 0)
                .map(move |remaining| 64 * word_index + remaining.trailing_zeros() as usize)
        })
    }
}

/// Finds the largest of a set of values that change one at a time: a tournament tree in which each node holds the
/// larger value of its two children.
#[derive(Clone, Debug, Default)]
pub(crate) struct MaxTournament {
    /// The root is at index 1; the second half holds the leaves.
    nodes: Vec<f64>,
}

impl MaxTournament {
    const NONE: f64 = f64::NEG_INFINITY;

    /// Sets the value at an index, or removes it.
    pub fn set(&mut self, index: usize, value: Option<f64>) {
        let mut leaves = self.nodes.len() / 2;
        if index >= leaves {
            let former = self.nodes.split_off(leaves);
            leaves = (index + 1).next_power_of_two();
            self.nodes = vec![Self::NONE; 2 * leaves];
            for (index, value) in former.into_iter().enumerate() {
                self.set_node(leaves + index, value);
            }
        }
        self.set_node(leaves + index, value.unwrap_or(Self::NONE));
    }

    fn set_node(&mut self, mut node: usize, value: f64) {
        self.nodes[node] = value;
        while node > 1 {
            node /= 2;
            let winner = self.nodes[2 * node].max(self.nodes[2 * node + 1]);
            if self.nodes[node] == winner {
                break;
            }
            self.nodes[node] = winner;
        }
    }

    /// The largest positive value whose index passes, or 0 if there is none. `passes` is called only for values larger
    /// than the best found so far.
    pub fn largest_passing(&self, passes: &mut dyn FnMut(usize) -> bool) -> f64 {
        let mut best = 0.0;
        if !self.nodes.is_empty() {
            self.search(1, &mut best, passes);
        }
        best
    }

    fn search(&self, node: usize, best: &mut f64, passes: &mut dyn FnMut(usize) -> bool) {
        let leaves = self.nodes.len() / 2;
        if self.nodes[node] <= *best {
            return;
        }
        if node >= leaves {
            if passes(node - leaves) {
                *best = self.nodes[node];
            }
            return;
        }
        let left = 2 * node;
        let right = 2 * node + 1;
        let right_first = self.nodes[right] > self.nodes[left];
        let (first, second) = if right_first { (right, left) } else { (left, right) };
        self.search(first, best, passes);
        self.search(second, best, passes);
    }
}

/// The engines, indexed for one request class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassIndex {
    /// The estimated success rate of each ready engine that the class may run on.
    pub success_rates: MaxTournament,
    /// The engines with capacity for a heavy request, and those with capacity for a light one.
    pub with_capacity: [IndexSet; 2],
    /// The engines on which this gateway's fair share is free. Only engines that do not report their load are included.
    pub fair_share_free: IndexSet,
}

/// An engine's hash for a table group, by which the group's hash order is sorted, and the engine's index.
pub(crate) type Position = (u64, usize);

/// An engine that became ready, with the hash of its name, or that is no longer ready.
#[derive(Clone, Copy, Debug)]
struct ReadyChange {
    engine: usize,
    hash: Option<u64>,
}

/// The hash order of the ready engines for each table group. It is the same at every gateway (rendezvous hashing,
/// Thaler and Ravishankar 1998). The first positions of each order are cached and updated with each change of the
/// engine list.
#[derive(Debug, Default)]
pub(crate) struct HashOrders {
    /// By engine index: the hash of the engine's name if the engine is ready.
    ready: Vec<Option<u64>>,
    ready_count: usize,
    /// The most recent changes, and the sequence number of the first of them.
    changes: VecDeque<ReadyChange>,
    first_change: u64,
    cached: BTreeMap<u64, CachedOrder>,
    /// The number of engines examined: positions computed here, plus those that the caller counts. Tests bound its
    /// growth.
    examined_engines: Cell<u64>,
}

#[derive(Debug)]
struct CachedOrder {
    first: Rc<Vec<Position>>,
    /// `first` holds all ready engines.
    is_complete: bool,
    /// The sequence number of the first change that has not been applied.
    next_change: u64,
}

impl HashOrders {
    /// The maximum number of cached positions per order.
    pub const CACHED_POSITIONS: usize = 48;
    /// A cached order is rebuilt once changes have reduced it to this many positions or fewer.
    const REBUILD_AT: usize = 16;
    /// The maximum number of changes that are kept.
    const MAX_CHANGES: usize = 512;
    /// The maximum number of cached orders.
    const MAX_CACHED_ORDERS: usize = 4096;

    /// The number of ready engines.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Whether an engine is ready.
    pub fn is_ready(&self, engine: usize) -> bool {
        self.hash(engine).is_some()
    }

    fn hash(&self, engine: usize) -> Option<u64> {
        self.ready.get(engine).copied().flatten()
    }

    #[cfg(test)]
    pub fn examined_engines(&self) -> u64 {
        self.examined_engines.get()
    }

    /// Counts an engine as examined.
    pub fn count_examined_engine(&self) {
        self.examined_engines.set(self.examined_engines.get() + 1);
    }

    /// Marks an engine as ready, with the hash of its name, or as not ready.
    pub fn set_ready(&mut self, engine: usize, hash: Option<u64>) {
        self.ready.resize(self.ready.len().max(engine + 1), None);
        let previous = std::mem::replace(&mut self.ready[engine], hash);
        if previous == hash {
            return;
        }
        if previous.is_some() {
            self.ready_count -= 1;
            self.changes.push_back(ReadyChange { engine, hash: None });
        }
        if hash.is_some() {
            self.ready_count += 1;
            self.changes.push_back(ReadyChange { engine, hash });
        }
        while self.changes.len() > Self::MAX_CHANGES {
            self.changes.pop_front();
            self.first_change += 1;
        }
    }

    /// The position of a ready engine in a group's order.
    fn position(&self, group: u64, engine: usize) -> Option<Position> {
        self.count_examined_engine();
        self.hash(engine).map(|hash| (hash_of((hash, group)), engine))
    }

    /// The positions of all ready engines, unsorted.
    fn positions(&self, group: u64) -> Vec<Position> {
        (0..self.ready.len()).filter_map(|engine| self.position(group, engine)).collect()
    }

    /// The first positions of a group's order: all positions if no more than [`Self::CACHED_POSITIONS`] engines are
    /// ready, otherwise more than [`Self::REBUILD_AT`] and at most [`Self::CACHED_POSITIONS`].
    fn first_positions(&mut self, group: u64) -> Rc<Vec<Position>> {
        self.make_space_for(group);
        if let Some(first) = self.cached_positions(group) {
            return first;
        }
        let mut first = self.positions(group);
        let is_complete = first.len() <= Self::CACHED_POSITIONS;
        if !is_complete {
            first.select_nth_unstable(Self::CACHED_POSITIONS - 1);
            first.truncate(Self::CACHED_POSITIONS);
            // Frees the memory of the positions that are not kept.
            first.shrink_to_fit();
        }
        first.sort_unstable();
        let first = Rc::new(first);
        let next_change = self.next_change();
        self.cached.insert(group, CachedOrder { first: first.clone(), is_complete, next_change });
        first
    }

    /// The sequence number of the next change.
    fn next_change(&self) -> u64 {
        self.first_change + self.changes.len() as u64
    }

    /// Evicts one cached order if the cache is full and this group is new: that of the next group by number. Groups are
    /// numbered independently of how often they are used, so the choice is arbitrary.
    fn make_space_for(&mut self, group: u64) {
        if self.cached.len() < Self::MAX_CACHED_ORDERS || self.cached.contains_key(&group) {
            return;
        }
        let neighbour = self.cached.range(group..).next().or_else(|| self.cached.iter().next());
        if let Some((&neighbour, _)) = neighbour {
            self.cached.remove(&neighbour);
        }
    }

    /// The cached positions with all changes applied. None if the group is not cached, if changes that have not been
    /// applied are no longer kept, or if too few positions remain.
    fn cached_positions(&mut self, group: u64) -> Option<Rc<Vec<Position>>> {
        let next_change = self.next_change();
        let first_change = self.first_change;
        let cached = self.cached.get_mut(&group).filter(|cached| cached.next_change >= first_change)?;
        for change in self.changes.range((cached.next_change - first_change) as usize..) {
            self.examined_engines.set(self.examined_engines.get() + 1);
            cached.apply(group, *change);
        }
        cached.next_change = next_change;
        let is_usable = cached.is_complete || cached.first.len() > Self::REBUILD_AT;
        is_usable.then(|| cached.first.clone())
    }

    /// A walk over a subset of the engines in a group's order, which is likely to end after `expected_visits` engines.
    /// If the subset is large, the walk starts with the order's cached first positions; if it is small, only its
    /// engines are sorted. To meet the expected engines of the subset, a walk over the complete order passes about
    /// `expected_visits * ready_count / len` engines; sorting the subset costs about `len`.
    pub fn walk(&mut self, group: u64, subset: IndexSet, expected_visits: usize) -> OrderWalk {
        let is_sparse = subset.len().pow(2) < expected_visits * self.ready_count;
        let first = if is_sparse { Rc::default() } else { self.first_positions(group) };
        OrderWalk { group, subset, first, last_reached: None, backwards: false }
    }

    /// A walk backwards from the end of a group's order, over the engines of the subset that are among the last
    /// `max_engines` ready engines.
    pub fn walk_back(&self, group: u64, subset: IndexSet, max_engines: usize) -> OrderWalk {
        let mut positions = self.positions(group);
        positions.sort_unstable();
        positions.reverse();
        positions.truncate(max_engines);
        let last_reached = positions.last().copied();
        OrderWalk { group, subset, first: Rc::new(positions), last_reached, backwards: true }
    }
}

/// A walk over a subset of the engines, forwards in a group's order or backwards from its end.
pub(crate) struct OrderWalk {
    group: u64,
    /// The engines to visit.
    subset: IndexSet,
    /// The positions to visit first. A backwards walk visits no others.
    first: Rc<Vec<Position>>,
    /// The position at which a backwards walk ends; absent for a forwards walk.
    last_reached: Option<Position>,
    backwards: bool,
}

impl OrderWalk {
    /// Whether the walk would reach this engine if the engine were in the subset.
    pub fn covers(&self, orders: &HashOrders, engine: usize) -> bool {
        !self.backwards || orders.position(self.group, engine) >= self.last_reached
    }

    /// Visits the engines in order until `visit` returns true.
    pub fn visit(&self, orders: &HashOrders, visit: &mut dyn FnMut(usize) -> bool) {
        let is_stopped = self.first.iter().any(|&(_, engine)| self.subset.contains(engine) && visit(engine));
        if is_stopped || self.backwards || self.first.len() >= orders.ready_count {
            return;
        }
        let last = self.first.last().copied();
        let positions = self.subset.iter().filter_map(|engine| orders.position(self.group, engine));
        let mut rest: Vec<Position> = positions.filter(|position| Some(*position) > last).collect();
        rest.sort_unstable();
        for (_, engine) in rest {
            if visit(engine) {
                return;
            }
        }
    }
}

impl CachedOrder {
    fn apply(&mut self, group: u64, change: ReadyChange) {
        match change.hash {
            None => self.remove(change.engine),
            Some(hash) => self.insert((hash_of((hash, group)), change.engine)),
        }
    }

    fn remove(&mut self, engine: usize) {
        if let Some(index) = self.first.iter().position(|position| position.1 == engine) {
            Rc::make_mut(&mut self.first).remove(index);
        }
    }

    fn insert(&mut self, position: Position) {
        let is_among_first = self.first.last().is_some_and(|last| position < *last);
        if !self.is_complete && !is_among_first {
            return;
        }
        let first = Rc::make_mut(&mut self.first);
        let index = first.binary_search(&position).unwrap_or_else(|index| index);
        first.insert(index, position);
        if first.len() > HashOrders::CACHED_POSITIONS {
            first.pop();
            self.is_complete = false;
        }
    }
}

#[cfg(test)]
mod tests;
