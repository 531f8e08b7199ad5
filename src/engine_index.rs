//! Indices of engines by what a choice asks of them first, so that few are looked at for a request. It decides nothing and
//! holds no value that was tuned for a choice: the decisions say what stands in it, and weigh what it hands out.

use crate::statistics::hash_of;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A set of small indices, a bit each.
#[derive(Clone, Debug, Default)]
pub(crate) struct IndexSet(Vec<u64>);

impl IndexSet {
    /// Puts an index in, or takes it out.
    pub fn set(&mut self, index: usize, is_in: bool) {
        let word = index / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        let bit = 1 << (index % 64);
        if is_in {
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

    /// Puts in all that the other set holds.
    pub fn union_with(&mut self, other: &IndexSet) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        for (word, more) in self.0.iter_mut().zip(&other.0) {
            *word |= more;
        }
    }

    /// The indices in growing order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(number, &word)| {
            std::iter::successors(Some(word), |left| Some(left & left.wrapping_sub(1)))
                .take_while(|left| *left != 0)
                .map(move |left| 64 * number + left.trailing_zeros() as usize)
        })
    }
}

/// Values that change one at a time, and the largest of them: a tournament tree in which each node holds the larger value of
/// its two children.
#[derive(Clone, Debug, Default)]
pub(crate) struct MaxTournament {
    /// The root at 1, the leaves in the second half.
    nodes: Vec<f64>,
}

impl MaxTournament {
    const NONE: f64 = f64::NEG_INFINITY;

    /// Sets the value at an index, or takes it out.
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

    /// The largest value, above 0, of those whose index passes; asks only where a larger one than was found may stand.
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

/// Engines as they stand for one request class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassIndex {
    /// How well each is thought to do, of those that the class may run on.
    pub success_rates: MaxTournament,
    /// Which have capacity for a heavy and for a light request.
    pub with_capacity: [IndexSet; 2],
    /// On which this gateway's even part is free.
    pub even_part_free: IndexSet,
}

/// Where an engine stands in a table group's hash order, and its index.
pub(crate) type Position = (u64, usize);

/// An engine that became ready, with the hash of its name, or that ceased to be.
#[derive(Clone, Copy, Debug)]
struct ReadyChange {
    engine: usize,
    hash: Option<u64>,
}

/// The hash orders of table groups over the engines that are ready, the same at every gateway (rendezvous hashing,
/// Thaler and Ravishankar 1998). Of each order its first positions are cached, and follow the engine list change by change.
#[derive(Debug, Default)]
pub(crate) struct HashOrders {
    /// By index: the hash of its name, where it is ready.
    ready: Vec<Option<u64>>,
    ready_count: usize,
    /// The changes of late, and the number of the first of them.
    changes: VecDeque<ReadyChange>,
    first_change: u64,
    cached: BTreeMap<u64, CachedOrder>,
    /// Engines looked at: positions worked out, and what the caller adds. Tests bound its growth.
    looked_at: Cell<u64>,
}

#[derive(Debug)]
struct CachedOrder {
    first: Rc<Vec<Position>>,
    /// All that are ready stand in `first`.
    is_complete: bool,
    /// The number of the first change that it has not followed.
    next_change: u64,
}

impl HashOrders {
    /// So many positions of an order are cached.
    pub const CACHED_POSITIONS: usize = 48;
    /// An order is worked out anew where no more than this are left of them.
    const REBUILT_AT: usize = 16;
    /// Changes that are remembered, at most.
    const MAX_CHANGES: usize = 512;
    /// Orders that are cached, at most.
    const MAX_CACHED_ORDERS: usize = 4096;

    /// How many engines are ready.
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
    pub fn looked_at(&self) -> u64 {
        self.looked_at.get()
    }

    /// Counts that an engine is looked at.
    pub fn count_look(&self) {
        self.looked_at.set(self.looked_at.get() + 1);
    }

    /// An engine is ready under this hash from now on, or is not.
    pub fn set_ready(&mut self, engine: usize, hash: Option<u64>) {
        self.ready.resize(self.ready.len().max(engine + 1), None);
        let before = std::mem::replace(&mut self.ready[engine], hash);
        if before == hash {
            return;
        }
        if before.is_some() {
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

    /// Where a ready engine stands in a group's order.
    fn position(&self, group: u64, engine: usize) -> Option<Position> {
        self.count_look();
        self.hash(engine).map(|hash| (hash_of((hash, group)), engine))
    }

    /// The positions of all ready engines, in no order.
    fn positions(&self, group: u64) -> Vec<Position> {
        (0..self.ready.len()).filter_map(|engine| self.position(group, engine)).collect()
    }

    /// The order's first positions: [`Self::CACHED_POSITIONS`] at most, all where fewer are ready, more than
    /// [`Self::REBUILT_AT`] otherwise.
    fn first_positions(&mut self, group: u64) -> Rc<Vec<Position>> {
        self.make_room_for(group);
        if let Some(first) = self.cached_positions(group) {
            return first;
        }
        let mut first = self.positions(group);
        let is_complete = first.len() <= Self::CACHED_POSITIONS;
        if !is_complete {
            first.select_nth_unstable(Self::CACHED_POSITIONS - 1);
            first.truncate(Self::CACHED_POSITIONS);
            // The memory of all that were looked at is given back.
            first.shrink_to_fit();
        }
        first.sort_unstable();
        let first = Rc::new(first);
        let next_change = self.next_change();
        self.cached.insert(group, CachedOrder { first: first.clone(), is_complete, next_change });
        first
    }

    /// The number of the change that comes next.
    fn next_change(&self) -> u64 {
        self.first_change + self.changes.len() as u64
    }

    /// Where as many orders are cached as may be, a new group's neighbour by number makes room: which that is tells nothing of
    /// how often it is asked for.
    fn make_room_for(&mut self, group: u64) {
        if self.cached.len() < Self::MAX_CACHED_ORDERS || self.cached.contains_key(&group) {
            return;
        }
        let neighbour = self.cached.range(group..).next().or_else(|| self.cached.iter().next());
        if let Some((&neighbour, _)) = neighbour {
            self.cached.remove(&neighbour);
        }
    }

    /// The cached positions after all changes, if they can still be had.
    fn cached_positions(&mut self, group: u64) -> Option<Rc<Vec<Position>>> {
        let next_change = self.next_change();
        let first_change = self.first_change;
        let cached = self.cached.get_mut(&group).filter(|cached| cached.next_change >= first_change)?;
        for change in self.changes.range((cached.next_change - first_change) as usize..) {
            self.looked_at.set(self.looked_at.get() + 1);
            cached.follow(group, *change);
        }
        cached.next_change = next_change;
        let enough = cached.is_complete || cached.first.len() > Self::REBUILT_AT;
        enough.then(|| cached.first.clone())
    }

    /// A walk over some engines in a group's order that is likely to end after `few`. Where few are asked for among many, the
    /// order's first positions are tried; where few are there, these alone are put in their order.
    pub fn walk(&mut self, group: u64, among: IndexSet, few: usize) -> OrderWalk {
        let is_sparse = among.len().pow(2) < few * self.ready_count;
        let first = if is_sparse { Rc::default() } else { self.first_positions(group) };
        OrderWalk { group, among, first, nearest: None, backwards: false }
    }

    /// A walk back from the far end of a group's order over at most so many of the ready engines.
    pub fn walk_back(&self, group: u64, among: IndexSet, most: usize) -> OrderWalk {
        let mut positions = self.positions(group);
        positions.sort_unstable();
        positions.reverse();
        positions.truncate(most);
        let nearest = positions.last().copied();
        OrderWalk { group, among, first: Rc::new(positions), nearest, backwards: true }
    }
}

/// A walk over some engines in a group's order, or back from its far end.
pub(crate) struct OrderWalk {
    group: u64,
    among: IndexSet,
    /// Where it begins; all of it for a walk back.
    first: Rc<Vec<Position>>,
    /// The nearest position of a walk back.
    nearest: Option<Position>,
    backwards: bool,
}

impl OrderWalk {
    /// Whether it could come by this engine, if that were among those asked for.
    pub fn covers(&self, orders: &HashOrders, engine: usize) -> bool {
        !self.backwards || orders.position(self.group, engine) >= self.nearest
    }

    /// Visits engines in their order until `visit` says that it has seen enough.
    pub fn visit(&self, orders: &HashOrders, visit: &mut dyn FnMut(usize) -> bool) {
        let ended = self.first.iter().any(|&(_, engine)| self.among.contains(engine) && visit(engine));
        if ended || self.backwards || self.first.len() >= orders.ready_count {
            return;
        }
        let last = self.first.last().copied();
        let positions = self.among.iter().filter_map(|engine| orders.position(self.group, engine));
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
    fn follow(&mut self, group: u64, change: ReadyChange) {
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
