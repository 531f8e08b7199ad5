//! The line of held requests: whose turn it is. Tenants share what engines do by weight, in up to three levels; the share is
//! of work, not of requests. No I/O, and nothing is decided here of engines, attempts or refusals: the decision module asks
//! for the next request to try, and for the one to displace where a line is longer than it may be.
//!
//! The order between tenants is hierarchical start-time fair queueing (Goyal, Vin and Cheng, "Start-Time Fair Queueing",
//! 1996; Bennett and Zhang, "Hierarchical Packet Fair Queueing Algorithms", 1996): of the tenants that wait, the one goes
//! next whose work so far, for its weight, is least. A tenant that was idle joins where the others are: it has saved
//! nothing. A tenant within its budget goes before one that is over, so unused share is lent and taken back by time.
//! Within a tenant the rank of a request decides, which the module hands in, aged or not ([`Terms::ageing`]).
//!
//! Times are seconds on the host's clock, work is seconds of one core.

mod bucket;
mod waits;

pub use bucket::Bucket;
pub use waits::{Wait, Waits};

use std::collections::{BTreeMap, BTreeSet};

/// The parent of all tenants.
pub const ROOT: usize = 0;

/// One tenant, or a group of them. A parent stands before its children.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Its index in the list; the first one is [`ROOT`] and its own parent.
    pub parent: usize,
    /// More than 0.
    pub weight: f64,
    /// Its budget: seconds of work a second, and how many seconds it may save up. None: never over.
    pub budget: Option<(f64, f64)>,
    /// Requests, and seconds of work, that may be in line; beyond them the last is displaced.
    pub most_queued: usize,
    pub most_queued_work: f64,
    /// Requests that may be out at engines at once.
    pub most_out: usize,
    /// A request goes ahead of a denser one that came so many seconds later for each halving of its density. None: the
    /// densest first, however long others wait.
    pub ageing: Option<f64>,
    /// By class: so many doublings of its density a request counts as denser. Classes behind the end have none.
    pub order: Vec<f64>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            parent: ROOT,
            weight: 1.0,
            budget: None,
            most_queued: usize::MAX,
            most_queued_work: f64::INFINITY,
            most_out: usize::MAX,
            ageing: None,
            order: Vec::new(),
        }
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    pub request: usize,
    /// A leaf of the tree.
    pub tenant: usize,
    pub class: usize,
    /// Credit for its work, more than 0: the denser first.
    pub density: f64,
    pub work: f64,
    pub since: f64,
    /// None of its attempts may have run: it may be displaced.
    pub never_ran: bool,
}

/// Positive values keep their order as bits.
fn rank(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

/// Where a node stands among its siblings: those over budget last, then by what they have had for their weight.
type Place = (bool, u64);

#[derive(Clone, Debug)]
struct Node {
    terms: Terms,
    /// Children that have a request to offer, in turn.
    active: BTreeSet<(Place, usize)>,
    /// The work for its weight that children were last served at: where those that come join.
    virtual_time: f64,
    /// What it has had itself, among its siblings.
    start: f64,
    place: Option<Place>,
    bucket: Option<Bucket>,
    /// Its place among the budgets that are used up: one at most.
    refill: Option<u64>,
    /// Only in a leaf: the line, and those of it that may be displaced.
    line: BTreeSet<(u64, usize)>,
    movable: BTreeSet<(u64, usize)>,
    queued: usize,
    queued_work: f64,
    out: usize,
}

impl Node {
    fn new(terms: Terms, now: f64) -> Node {
        Node {
            bucket: terms.budget.map(|(rate, burst)| Bucket::new(rate, burst, now)),
            terms,
            refill: None,
            active: BTreeSet::new(),
            virtual_time: 0.0,
            start: 0.0,
            place: None,
            line: BTreeSet::new(),
            movable: BTreeSet::new(),
            queued: 0,
            queued_work: 0.0,
            out: 0,
        }
    }

    fn over(&self) -> bool {
        self.bucket.as_ref().is_some_and(Bucket::empty)
    }
}

/// A request that is being tried: its tenant, and those above it, are charged already.
#[derive(Clone, Debug)]
struct Offer {
    waiting: Waiting,
    /// From the leaf upwards: the node, and what it had had before.
    path: Vec<(usize, f64)>,
}

#[derive(Clone, Debug)]
pub struct Line {
    nodes: Vec<Node>,
    waiting: BTreeMap<usize, Waiting>,
    /// Tenants by the work that they have in line for their weight, and those whose line is longer than it may be.
    longest: BTreeSet<(u64, usize)>,
    too_long: BTreeSet<usize>,
    offers: Vec<Offer>,
    /// When a tenant's budget is no longer used up, by time.
    refills: BTreeSet<(u64, usize)>,
    /// In all.
    most_queued: usize,
    pub waits: Waits,
}

impl Default for Line {
    fn default() -> Line {
        Line::single()
    }
}

impl Line {
    /// One tenant for all: the densest first.
    pub fn single() -> Line {
        Line::new(vec![Terms::default()], 0.0)
    }

    /// # Panics
    /// Where a parent does not stand before its child, or a weight is not above 0: the host checks its file.
    pub fn new(tenants: Vec<Terms>, now: f64) -> Line {
        for (at, terms) in tenants.iter().enumerate() {
            assert!(
                terms.parent < at || at == ROOT && terms.parent == ROOT,
                "team {at}: its parent comes later"
            );
            assert!(
                terms.weight > 0.0 && terms.weight.is_finite(),
                "team {at}: a weight of {}",
                terms.weight
            );
        }
        let most_queued = tenants.first().map_or(usize::MAX, |root| root.most_queued);
        Line {
            waits: Waits::new(tenants.len()),
            nodes: tenants.into_iter().map(|terms| Node::new(terms, now)).collect(),
            waiting: BTreeMap::new(),
            longest: BTreeSet::new(),
            too_long: BTreeSet::new(),
            offers: Vec::new(),
            refills: BTreeSet::new(),
            most_queued,
        }
    }

    /// There are tenants: not all requests stand in one line.
    pub fn parted(&self) -> bool {
        self.nodes.len() > 1
    }

    pub fn holds(&self, request: usize) -> bool {
        self.waiting.contains_key(&request)
    }

    pub fn len(&self) -> usize {
        self.waiting.len() + self.offers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests and seconds of work that a tenant has in line, and requests that it has out.
    pub fn of(&self, tenant: usize) -> (usize, f64, usize) {
        self.nodes.get(tenant).map_or((0, 0.0, 0), |node| (node.queued, node.queued_work, node.out))
    }

    /// Its place within its tenant: earlier is less.
    fn key(&self, waiting: &Waiting) -> (u64, usize) {
        let terms = &self.nodes[waiting.tenant].terms;
        let ahead = terms.order.get(waiting.class).copied().unwrap_or(0.0);
        let density = if ahead > 0.0 { waiting.density * ahead.exp2() } else { waiting.density };
        let key = match terms.ageing {
            None => u64::MAX - rank(density),
            // A denser one stands as if it had come earlier; times are shifted to stay positive.
            Some(ageing) => rank(waiting.since - ageing * density.max(1e-9).log2() + 1e6),
        };
        (key, waiting.request)
    }

    /// The request waits from now on.
    pub fn hold(&mut self, waiting: Waiting, now: f64) {
        if self.waiting.contains_key(&waiting.request) {
            return;
        }
        let waiting = Waiting { tenant: waiting.tenant.min(self.nodes.len() - 1), ..waiting };
        self.waits.joins(
            waiting.tenant,
            self.nodes[waiting.tenant].queued == 0,
            self.waiting.is_empty(),
            now,
        );
        self.waiting.insert(waiting.request, waiting);
        self.enter(&waiting);
        self.refilled(now);
        self.activate(waiting.tenant);
    }

    fn enter(&mut self, waiting: &Waiting) {
        let key = self.key(waiting);
        let node = &mut self.nodes[waiting.tenant];
        node.line.insert(key);
        if waiting.never_ran {
            node.movable.insert(key);
        }
        self.count(waiting, 1.0);
    }

    /// Takes it off its tenant's line.
    fn exit(&mut self, waiting: &Waiting) {
        let key = self.key(waiting);
        let node = &mut self.nodes[waiting.tenant];
        node.line.remove(&key);
        node.movable.remove(&key);
        self.count(waiting, -1.0);
    }

    fn count(&mut self, waiting: &Waiting, sign: f64) {
        let tenant = waiting.tenant;
        let before = self.length(tenant);
        let mut at = tenant;
        loop {
            let node = &mut self.nodes[at];
            node.queued = if sign > 0.0 { node.queued + 1 } else { node.queued - 1 };
            node.queued_work =
                if node.queued == 0 { 0.0 } else { (node.queued_work + sign * waiting.work).max(0.0) };
            if at == ROOT {
                break;
            }
            at = node.terms.parent;
        }
        self.longest.remove(&before);
        let after = self.length(tenant);
        let node = &self.nodes[tenant];
        if node.queued > 0 {
            self.longest.insert(after);
        }
        // One request alone is never too much work: it could not come at all.
        let much = node.queued_work > node.terms.most_queued_work && node.queued > 1;
        match much || node.queued > node.terms.most_queued {
            true => self.too_long.insert(tenant),
            false => self.too_long.remove(&tenant),
        };
    }

    fn length(&self, tenant: usize) -> (u64, usize) {
        let node = &self.nodes[tenant];
        (rank(node.queued_work / node.terms.weight), tenant)
    }

    /// It waits no more: it was answered, or its client has gone.
    pub fn leave(&mut self, request: usize) {
        // One that is on offer goes back into line first, so that what it was charged comes back.
        if self.offers.iter().any(|offer| offer.waiting.request == request) {
            self.put_back(f64::NEG_INFINITY);
        }
        self.waits.left(request);
        if let Some(waiting) = self.waiting.remove(&request) {
            self.exit(&waiting);
            self.settle(waiting.tenant);
        }
    }

    /// A leaf has something to offer: a request in line, and room for one more out.
    fn offers_any(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        !node.active.is_empty() || !node.line.is_empty() && node.out < node.terms.most_out
    }

    /// Puts a node, and those above it, in its place among its siblings if it has something to offer.
    fn activate(&mut self, mut at: usize) {
        while at != ROOT {
            let parent = self.nodes[at].terms.parent;
            if self.offers_any(at) {
                if self.nodes[at].place.is_none() {
                    // Who was idle has saved nothing.
                    let joined = self.nodes[parent].virtual_time;
                    self.nodes[at].start = self.nodes[at].start.max(joined);
                }
                self.replace(at);
            }
            at = parent;
        }
    }

    /// Its place anew, after what it stands by has changed.
    fn replace(&mut self, at: usize) {
        let parent = self.nodes[at].terms.parent;
        if let Some(place) = self.nodes[at].place.take() {
            self.nodes[parent].active.remove(&(place, at));
        }
        if self.offers_any(at) {
            let place = (self.nodes[at].over(), rank(self.nodes[at].start));
            self.nodes[at].place = Some(place);
            self.nodes[parent].active.insert((place, at));
        }
    }

    /// The same for all above it.
    fn settle(&mut self, mut at: usize) {
        while at != ROOT {
            self.replace(at);
            at = self.nodes[at].terms.parent;
        }
    }

    /// Budgets that are no longer used up.
    fn refilled(&mut self, now: f64) {
        while let Some(&(due, at)) = self.refills.first().filter(|(due, _)| *due <= rank(now)) {
            self.refills.remove(&(due, at));
            self.nodes[at].refill = None;
            if let Some(bucket) = &mut self.nodes[at].bucket {
                bucket.fill(now);
            }
            self.owes(at, now);
            self.replace(at);
        }
    }

    /// A budget that is used up is looked at again once it is earned, or was to be when it was first used up.
    fn owes(&mut self, at: usize, now: f64) {
        let node = &mut self.nodes[at];
        if let (Some(bucket), None) = (node.bucket.as_ref().filter(|bucket| bucket.empty()), node.refill) {
            let due = rank(bucket.full_at(now));
            node.refill = Some(due);
            self.refills.insert((due, at));
        }
    }

    /// The next request to try. It is on offer until [`Line::went`], or is put back by [`Line::put_back`].
    pub fn next(&mut self, now: f64) -> Option<usize> {
        self.refilled(now);
        let mut at = ROOT;
        while let Some(&(_, child)) = self.nodes[at].active.first() {
            at = child;
        }
        let tenant = at;
        if self.nodes[tenant].out >= self.nodes[tenant].terms.most_out {
            return None;
        }
        let &(_, request) = self.nodes[tenant].line.first()?;
        let waiting = self.waiting.remove(&request)?;
        self.exit(&waiting);
        let mut path = Vec::new();
        while at != ROOT {
            path.push((at, self.nodes[at].start));
            self.charge(at, waiting.work, now);
            at = self.nodes[at].terms.parent;
        }
        self.nodes[tenant].out += 1;
        self.settle(tenant);
        self.offers.push(Offer { waiting, path });
        Some(request)
    }

    fn charge(&mut self, at: usize, work: f64, now: f64) {
        let node = &mut self.nodes[at];
        node.start = (node.start + work / node.terms.weight).max(0.0);
        if let Some(bucket) = &mut node.bucket {
            bucket.spend(work, now);
        }
        self.owes(at, now);
    }

    /// A request on offer was dispatched; it stays charged, and those that join from now on join where it stood.
    pub fn went(&mut self, request: usize, now: f64) {
        if let Some(at) = self.offers.iter().position(|offer| offer.waiting.request == request) {
            let Offer { waiting, path } = self.offers.remove(at);
            for (node, start) in path {
                let parent = self.nodes[node].terms.parent;
                let parent = &mut self.nodes[parent];
                parent.virtual_time = parent.virtual_time.max(start);
            }
            self.waits.went(&waiting, now);
        }
    }

    /// Those on offer that were not dispatched go back into line, and their tenants have their charges back.
    pub fn put_back(&mut self, now: f64) {
        while let Some(Offer { waiting, path }) = self.offers.pop() {
            for (at, _) in path {
                self.charge(at, -waiting.work, now);
            }
            self.nodes[waiting.tenant].out -= 1;
            self.waiting.insert(waiting.request, waiting);
            self.enter(&waiting);
            self.settle(waiting.tenant);
        }
    }

    /// An attempt of the tenant's is over: it needed so much work where so much was charged. Who asks for little and needs
    /// much pays later; who asked for much gets it back.
    pub fn over(&mut self, tenant: usize, charged: f64, needed: f64, now: f64) {
        let tenant = tenant.min(self.nodes.len() - 1);
        let more = needed - charged;
        let mut at = tenant;
        while at != ROOT {
            let parent = self.nodes[at].terms.parent;
            let floor = self.nodes[parent].virtual_time;
            let before = self.nodes[at].start;
            self.charge(at, more, now);
            // What comes back must not put it ahead of all that was served since.
            let node = &mut self.nodes[at];
            node.start = node.start.max(before.min(floor));
            at = parent;
        }
        self.nodes[tenant].out = self.nodes[tenant].out.saturating_sub(1);
        self.activate(tenant);
        self.settle(tenant);
    }

    /// A request to displace, if a line is longer than it may be: the last in line, of those that can't have run, of the
    /// tenant whose own bound is passed; or, where the bound of all is, of the tenant with the most work in line for its
    /// weight. It stays in line until it is taken off by [`Line::leave`].
    pub fn surplus(&self) -> Option<usize> {
        let last = |tenant: usize| self.nodes[tenant].movable.last().map(|&(_, request)| request);
        let longest = || self.longest.iter().rev().find_map(|&(_, tenant)| last(tenant));
        let of_all = self.waiting.len() > self.most_queued;
        of_all.then(longest).flatten().or_else(|| self.too_long.iter().find_map(|tenant| last(*tenant)))
    }

    /// The share of all that goes through which this tenant has while those wait that wait now.
    fn share(&self, tenant: usize) -> f64 {
        let mut share = 1.0;
        let mut at = tenant;
        while at != ROOT {
            let parent = self.nodes[at].terms.parent;
            let siblings = &self.nodes[parent].active;
            // A count that is bounded: of very many siblings the first ones stand for all.
            let looked: Vec<usize> = siblings.iter().take(64).map(|&(_, child)| child).collect();
            let weigh = |child: &usize| self.nodes[*child].terms.weight;
            let others: f64 = looked.iter().filter(|child| **child != at).map(weigh).sum();
            let scale = siblings.len().max(1) as f64 / looked.len().max(1) as f64;
            let own = self.nodes[at].terms.weight;
            share *= own / (own + others * scale.max(1.0));
            at = parent;
        }
        share
    }

    /// An attempt of this tenant's is out already: lines that are set up while requests are under way begin with those.
    pub fn carries(&mut self, tenant: usize) {
        let tenant = tenant.min(self.nodes.len() - 1);
        self.nodes[tenant].out += 1;
        self.settle(tenant);
    }

    /// How long a request of this tenant and so much work would wait if it came now, behind all of its line.
    pub fn wait_for(&self, tenant: usize, work: f64, now: f64) -> Option<Wait> {
        let node = self.nodes.get(tenant)?;
        let waiting = Waiting {
            request: usize::MAX,
            tenant,
            class: 0,
            density: 1.0,
            work,
            since: now,
            never_ran: true,
        };
        self.waits.estimate(&waiting, node.queued_work, node.queued_work, self.share(tenant), now)
    }

    /// How many lines there are, groups among them.
    pub fn tenants(&self) -> usize {
        self.nodes.len()
    }

    /// How long this request will wait from now to its first attempt, as far as can be told.
    pub fn wait_of(&self, request: usize, now: f64) -> Option<Wait> {
        let waiting = self.waiting.get(&request)?;
        let key = self.key(waiting);
        let line = &self.nodes[waiting.tenant].line;
        // Work ahead in its own line; far back in a long one, all of that line is taken to be ahead.
        let ahead = line.range(..key).take(256).filter_map(|(_, request)| self.waiting.get(request));
        let (count, work) = ahead.fold((0usize, 0.0), |(count, work), one| (count + 1, work + one.work));
        let all = self.nodes[waiting.tenant].queued_work;
        let work = if count == 256 { all.max(work) } else { work };
        self.waits.estimate(waiting, work, all, self.share(waiting.tenant), now)
    }
}

#[cfg(test)]
mod tests;
