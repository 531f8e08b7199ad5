//! Engines by what a choice asks of them first, so that few are looked at for a request. It decides nothing and holds no value
//! that was tuned for a choice: the module says what stands in it, and weighs what it hands out.

use crate::figures::mix;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Small numbers, a bit each.
#[derive(Clone, Debug, Default)]
pub struct Set(Vec<u64>);

impl Set {
    pub fn put(&mut self, at: usize, is_in: bool) {
        if self.0.len() <= at / 64 {
            self.0.resize(at / 64 + 1, 0);
        }
        let bit = 1 << (at % 64);
        self.0[at / 64] = if is_in { self.0[at / 64] | bit } else { self.0[at / 64] & !bit };
    }

    pub fn has(&self, at: usize) -> bool {
        self.0.get(at / 64).is_some_and(|word| word & (1 << (at % 64)) != 0)
    }

    pub fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub fn join(&mut self, other: &Set) {
        self.0.resize(self.0.len().max(other.0.len()), 0);
        self.0.iter_mut().zip(&other.0).for_each(|(word, more)| *word |= more);
    }

    /// In growing order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(at, &word)| {
            std::iter::successors(Some(word), |left| Some(left & left.wrapping_sub(1)))
                .take_while(|left| *left != 0)
                .map(move |left| 64 * at + left.trailing_zeros() as usize)
        })
    }
}

/// Values that change one at a time, and the largest of them: a tournament, each node the larger of its two children.
#[derive(Clone, Debug, Default)]
pub struct Largest {
    /// The root at 1, the leaves in the second half.
    nodes: Vec<f64>,
}

impl Largest {
    const NONE: f64 = f64::NEG_INFINITY;

    pub fn put(&mut self, at: usize, value: Option<f64>) {
        let mut leaves = self.nodes.len() / 2;
        if at >= leaves {
            let kept = self.nodes.split_off(leaves);
            leaves = (at + 1).next_power_of_two();
            self.nodes = vec![Self::NONE; 2 * leaves];
            kept.into_iter().enumerate().for_each(|(at, value)| self.set(leaves + at, value));
        }
        self.set(leaves + at, value.unwrap_or(Self::NONE));
    }

    fn set(&mut self, mut node: usize, value: f64) {
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

    /// The largest value, above 0, of those that pass; asks only where a larger one than found may stand.
    pub fn of(&self, passes: &mut dyn FnMut(usize) -> bool) -> f64 {
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
        let (one, other) = (2 * node, 2 * node + 1);
        let (first, second) = if self.nodes[other] > self.nodes[one] { (other, one) } else { (one, other) };
        self.search(first, best, passes);
        self.search(second, best, passes);
    }
}

/// Engines as they stand for one class.
#[derive(Clone, Debug, Default)]
pub struct Filed {
    /// How far each is trusted, of those that the class may run on.
    pub trusted: Largest,
    /// Which have room for a heavy and for a light one.
    pub roomy: [Set; 2],
    /// On which our even part is free.
    pub even: Set,
}

/// Where an engine stands in a table group's hash order, and its index.
pub type Place = (u64, usize);

/// The hash orders of table groups over the engines that are ready, the same at every gateway (rendezvous hashing,
/// Thaler and Ravishankar 1998). Of each order its first places are kept, and follow the list change by change.
#[derive(Debug, Default)]
pub struct Orders {
    /// By index: the hash of its name, where it is ready.
    ready: Vec<Option<u64>>,
    count: usize,
    /// Who came (with its hash) and who went, of late; the number of the first of them.
    changes: VecDeque<(usize, Option<u64>)>,
    since: u64,
    kept: BTreeMap<u64, Kept>,
    /// Engines looked at: places worked out, and whatever who chooses adds. Tests bound its growth.
    looked: Cell<u64>,
}

#[derive(Debug)]
struct Kept {
    first: Rc<Vec<Place>>,
    /// All that are ready stand in `first`.
    whole: bool,
    /// The number of the first change that it has not followed.
    next: u64,
}

impl Orders {
    /// So many places of an order are kept, and built anew when few are left.
    pub const KEPT: usize = 48;
    const LEFT: usize = 16;
    /// Changes and orders that are kept, at most.
    const CHANGES: usize = 512;
    const GROUPS: usize = 4096;

    /// How many engines are ready.
    pub fn ready(&self) -> usize {
        self.count
    }

    pub fn has(&self, at: usize) -> bool {
        self.ready.get(at).copied().flatten().is_some()
    }

    #[cfg(test)]
    pub fn looked(&self) -> u64 {
        self.looked.get()
    }

    /// An engine is looked at.
    pub fn look(&self) {
        self.looked.set(self.looked.get() + 1);
    }

    /// An engine is ready under this hash from now on, or is not.
    pub fn put(&mut self, at: usize, hash: Option<u64>) {
        self.ready.resize(self.ready.len().max(at + 1), None);
        let before = std::mem::replace(&mut self.ready[at], hash);
        if before == hash {
            return;
        }
        self.count = self.count + usize::from(hash.is_some()) - usize::from(before.is_some());
        self.changes.extend(before.map(|_| (at, None)));
        self.changes.extend(hash.map(|_| (at, hash)));
        while self.changes.len() > Self::CHANGES {
            self.changes.pop_front();
            self.since += 1;
        }
    }

    /// Where a ready engine stands.
    fn place(&self, group: u64, at: usize) -> Option<Place> {
        self.look();
        self.ready.get(at).copied().flatten().map(|hash| (mix((hash, group)), at))
    }

    /// The whole order.
    fn all(&self, group: u64) -> Vec<Place> {
        let mut all: Vec<Place> = (0..self.ready.len()).filter_map(|at| self.place(group, at)).collect();
        all.sort_unstable();
        all
    }

    /// The order's first places: `KEPT` at most, all where fewer are ready, more than `LEFT` otherwise.
    fn first(&mut self, group: u64) -> Rc<Vec<Place>> {
        if self.kept.len() >= Self::GROUPS && !self.kept.contains_key(&group) {
            // Its neighbour by number makes room: which that is tells nothing of how often it is asked for.
            let next = self.kept.range(group..).next().or_else(|| self.kept.iter().next());
            let next = next.map(|(&next, _)| next);
            next.map(|next| self.kept.remove(&next));
        }
        let now = self.since + self.changes.len() as u64;
        if let Some(kept) = self.kept.get_mut(&group).filter(|kept| kept.next >= self.since) {
            for &(at, hash) in self.changes.range((kept.next - self.since) as usize..) {
                self.looked.set(self.looked.get() + 1);
                kept.follow(group, at, hash);
            }
            kept.next = now;
            if kept.whole || kept.first.len() > Self::LEFT {
                return kept.first.clone();
            }
        }
        let mut first: Vec<Place> = (0..self.ready.len()).filter_map(|at| self.place(group, at)).collect();
        let whole = first.len() <= Self::KEPT;
        if !whole {
            first.select_nth_unstable(Self::KEPT - 1);
            first.truncate(Self::KEPT);
            // The room of all that were looked at is not kept.
            first.shrink_to_fit();
        }
        first.sort_unstable();
        let first = Rc::new(first);
        self.kept.insert(group, Kept { first: first.clone(), whole, next: now });
        first
    }
}

/// A walk over some engines in a group's order, or back from its far end.
pub struct Walk {
    group: u64,
    among: Set,
    /// Where it begins; all of it for a walk back.
    first: Rc<Vec<Place>>,
    /// The nearest place of a walk back.
    nearest: Option<Place>,
    back: bool,
}

impl Orders {
    /// A walk that is likely to end after a few. Where few are asked for among many, the order's first places are tried;
    /// where few are there, these alone are put in their order.
    pub fn walk(&mut self, group: u64, among: Set, few: usize) -> Walk {
        let sparse = among.len().pow(2) < few * self.count;
        let first = if sparse { Rc::default() } else { self.first(group) };
        Walk { group, among, first, nearest: None, back: false }
    }

    /// A walk back from the far end over so many of the ready.
    pub fn walk_back(&self, group: u64, among: Set, most: usize) -> Walk {
        let mut all = self.all(group);
        all.reverse();
        all.truncate(most);
        let nearest = all.last().copied();
        Walk { group, among, first: Rc::new(all), nearest, back: true }
    }
}

impl Walk {
    /// Whether it could come by this engine, if that were among those asked for.
    pub fn covers(&self, orders: &Orders, at: usize) -> bool {
        !self.back || orders.place(self.group, at) >= self.nearest
    }

    /// Until `visit` has seen enough.
    pub fn each(&self, orders: &Orders, visit: &mut dyn FnMut(usize) -> bool) {
        let ended = self.first.iter().any(|&(_, at)| self.among.has(at) && visit(at));
        if !ended && !self.back && self.first.len() < orders.count {
            let last = self.first.last().copied();
            let places = self.among.iter().filter_map(|at| orders.place(self.group, at));
            let mut rest: Vec<Place> = places.filter(|place| Some(*place) > last).collect();
            rest.sort_unstable();
            rest.into_iter().any(|(_, at)| visit(at));
        }
    }
}

impl Kept {
    fn follow(&mut self, group: u64, at: usize, hash: Option<u64>) {
        match hash {
            None => {
                if let Some(stood) = self.first.iter().position(|place| place.1 == at) {
                    Rc::make_mut(&mut self.first).remove(stood);
                }
            }
            Some(hash) => {
                let place = (mix((hash, group)), at);
                if self.whole || self.first.last().is_some_and(|last| place < *last) {
                    let first = Rc::make_mut(&mut self.first);
                    let stands = first.binary_search(&place).unwrap_or_else(|stands| stands);
                    first.insert(stands, place);
                    if first.len() > Orders::KEPT {
                        first.pop();
                        self.whole = false;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
