//! Which engine a request goes to: of the first in its table group's hash order whose ledger fits the grant, the one with the
//! fewest of this gateway's threads a core.

use super::memory_grant::{GrantChoice, MemoryGrant};
use super::outlier_detection::MIN_SUCCESS_RATE;
use super::{EngineState, Gateway};
use crate::engine_index::OrderWalk;
use crate::request_state::{Attempt, DueEvent};
use crate::statistics::order_key;
use crate::ActionWriter;

/// Of the engines, a hot table group's first ones are this many times its share of the work: they serve others too.
pub(super) const HOT_GROUP_SPREAD: f64 = 4.0;
/// The prior, in requests, that a group has no share.
pub(super) const HOT_GROUP_PRIOR: f64 = 20.0;
/// Engines among which the least loaded is chosen, for a group that is not hot.
const MIN_CANDIDATES: usize = 2;
const MAX_CANDIDATES: usize = 3;

/// The engine of an attempt, and its grant.
#[derive(Clone, Copy, Debug)]
struct Placement {
    engine: usize,
    grant: MemoryGrant,
}

/// What one choice asks of engines.
struct Criteria {
    request: usize,
    class: usize,
    table_group: u64,
    /// A light request that may pass heavy ones.
    is_light: bool,
    /// So many engines are weighed against each other.
    candidates: usize,
    /// Threads of all gateways with one request of the kind each.
    threads_of_all_gateways: f64,
    now: f64,
}

/// The engines that a walk has found.
#[derive(Default)]
struct Candidates {
    /// They may take the request, and do well enough.
    open: Vec<usize>,
    /// Their ledgers fit the preferred grant as well.
    fitting: Vec<usize>,
}

impl Gateway {
    /// Finds an engine for the request and makes an attempt there; false where it stays queued.
    pub(super) fn place(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) -> bool {
        let grants = self.grant(id);
        self.index_changed_engines();
        self.random.advance();
        if !self.request_may_go(id, now) {
            return false;
        }
        let criteria = self.criteria(id, now);
        let walk = self.walk(&criteria);
        let candidates = self.candidates(&criteria, &walk, grants.preferred.memory);
        let Some(placement) = self.choose(&criteria, &candidates, grants) else {
            if !candidates.open.is_empty() {
                self.requests.get_mut(id).waits_for_memory_since.get_or_insert(now);
            }
            return false;
        };
        self.dispatch(now, id, placement, out);
        true
    }

    /// Indexes the engines that have changed for the choices that follow.
    fn index_changed_engines(&mut self) {
        let mut by_class = std::mem::take(&mut self.engines.by_class);
        for index in std::mem::take(&mut self.engines.changed) {
            let engine = &self.engines.states[index];
            for (class, indexed) in by_class.iter_mut().enumerate() {
                let is_open = self.engines.orders.is_ready(index) && self.is_allowed_on(class, engine);
                let success_rate = is_open.then(|| engine.failures.success_rate_for(class));
                indexed.success_rates.set(index, success_rate);
                for (is_light, with_capacity) in [false, true].into_iter().zip(&mut indexed.with_capacity) {
                    with_capacity.set(index, is_open && self.has_capacity(class, engine, is_light));
                }
                let is_free = is_open && self.is_even_part_free(class, engine);
                indexed.even_part_free.set(index, is_free);
            }
        }
        self.engines.by_class = by_class;
    }

    /// Whether this gateway's even part of an engine that reports nothing is free for a request of this class.
    pub(super) fn is_even_part_free(&self, class: usize, engine: &EngineState) -> bool {
        let threads = engine.threads + self.deployment.classes[class].threads;
        let is_free = engine.attempts == 0 || self.fits_even_part(threads, engine.cores);
        is_free && !engine.concurrency.reports_load
    }

    fn criteria(&self, id: usize, now: f64) -> Criteria {
        let incoming = &self.requests.open[&id].incoming;
        let threads = self.deployment.classes[incoming.class].threads;
        let threads_of_all_gateways = self.deployment.gateways * threads;
        let kinds = &self.deployment.engine_kinds;
        let largest = kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
        let has_many_gateways = threads_of_all_gateways > largest;
        Criteria {
            request: id,
            class: incoming.class,
            table_group: incoming.table_group,
            is_light: self.is_light(id) && !self.round.passed_over,
            candidates: self.candidate_count(incoming.table_group, has_many_gateways),
            threads_of_all_gateways,
            now,
        }
    }

    /// How many engines are weighed. Among many gateways, each with few requests, none sees a crowd of its own: there a hot
    /// group's engines follow its share of the work.
    fn candidate_count(&self, table_group: u64, has_many_gateways: bool) -> usize {
        let ready = self.engines.orders.ready_count();
        let usual = (ready / 3).clamp(MIN_CANDIDATES, MAX_CANDIDATES);
        if !has_many_gateways {
            return usual;
        }
        let share = self.load.table_group_work.share(table_group, HOT_GROUP_PRIOR);
        let hot = HOT_GROUP_SPREAD * share * ready as f64;
        usual.max(hot.ceil() as usize)
    }

    /// The walk over the engines with capacity, in the order of the table group.
    fn walk(&mut self, criteria: &Criteria) -> OrderWalk {
        let indexed = &self.engines.by_class[criteria.class];
        let mut among = indexed.with_capacity[usize::from(criteria.is_light)].clone();
        if self.may_use_even_part(criteria.class) {
            among.union_with(&indexed.even_part_free);
        }
        if !self.deployment.classes[criteria.class].locks_tables {
            return self.engines.orders.walk(criteria.table_group, among, criteria.candidates);
        }
        // A request that locks its tables keeps to the far half of the order while it has time, clear of its readers.
        let request = &self.requests.open[&criteria.request];
        let has_time = self.last_start(request) - criteria.now > self.expected_run_time(request);
        let ready = self.engines.orders.ready_count();
        let most = if has_time { ready.div_ceil(2) } else { ready };
        self.engines.orders.walk_back(criteria.table_group, among, most)
    }

    /// Where no answer ever measures work, a crowd is read from estimates alone, and may not be there: this gateway's even part
    /// of all usable cores is its own whatever is estimated. If all gateways take theirs, each core has a thread.
    fn may_use_even_part(&self, class: usize) -> bool {
        let threads = self.load.threads + self.deployment.classes[class].threads;
        self.classes[class].work_fit.is_unmeasured() && self.fits_even_part(threads, self.load.usable_cores)
    }

    /// The engines of the walk that may take the request and do well enough, as many as are to be weighed.
    fn candidates(&self, criteria: &Criteria, walk: &OrderWalk, preferred_memory: f64) -> Candidates {
        let orders = &self.engines.orders;
        let may_take = |engine: usize| {
            orders.count_look();
            self.engine_may_take(criteria.request, engine, criteria.now)
                && !self.would_wait_for_tables(criteria, engine)
        };
        let indexed = &self.engines.by_class[criteria.class];
        let best_rate = indexed
            .success_rates
            .largest_passing(&mut |engine| walk.covers(orders, engine) && may_take(engine));
        let least_rate = MIN_SUCCESS_RATE * best_rate;
        let mut candidates = Candidates::default();
        walk.visit(orders, &mut |index| {
            let engine = &self.engines.states[index];
            if may_take(index) && Self::is_trusted(criteria, engine, least_rate) {
                candidates.open.push(index);
                if engine.ledger.fits(preferred_memory, criteria.now) {
                    candidates.fitting.push(index);
                }
            }
            candidates.fitting.len() == criteria.candidates
        });
        candidates
    }

    /// The request would stand still behind one of this gateway's that has locked its tables, and keep its memory.
    fn would_wait_for_tables(&self, criteria: &Criteria, engine: usize) -> bool {
        let class = &self.deployment.classes[criteria.class];
        let can_wait = class.locks_tables || class.waits_for_table_locks;
        can_wait && self.engines.states[engine].locked_table_groups.contains(&criteria.table_group)
    }

    /// Whether an engine does well enough. One light request at a time, and one a draw, tries one that does not: failures must not
    /// draw in more.
    fn is_trusted(criteria: &Criteria, engine: &EngineState, least_rate: f64) -> bool {
        let tries = criteria.is_light && engine.attempts == 0 && engine.failures.drawn_rate >= least_rate;
        engine.failures.success_rate_for(criteria.class) >= least_rate || tries
    }

    /// The best of the engines whose ledger fits the preferred grant, or else the one with the most memory left for the least.
    fn choose(&self, criteria: &Criteria, candidates: &Candidates, grants: GrantChoice) -> Option<Placement> {
        let best = candidates.fitting.iter().min_by_key(|engine| self.rank(criteria, **engine));
        if let Some(&engine) = best {
            return Some(Placement { engine, grant: grants.preferred });
        }
        let free = |engine: &usize| {
            let ledger = &self.engines.states[*engine].ledger;
            ledger.limit - ledger.granted
        };
        let fits_least =
            |engine: &&usize| self.engines.states[**engine].ledger.fits(grants.least, criteria.now);
        let open = candidates.open.iter().filter(fits_least);
        let &engine = open.max_by(|a, b| free(a).total_cmp(&free(b)))?;
        let GrantChoice { preferred, least } = grants;
        let at_quarter = preferred.at_quarter || least < preferred.memory;
        Some(Placement { engine, grant: MemoryGrant { memory: least, at_quarter } })
    }

    /// The rank of an engine for a request, the least first. One that has had the request already comes last: what stood in its
    /// way may stand there still. Then the fewest threads of this gateway; among many gateways one that has answered it before,
    /// as each has so little traffic that they would open connections to all; then the fewest threads of peers, then chance.
    fn rank(&self, criteria: &Criteria, index: usize) -> (bool, u64, bool, u64, u64) {
        let engine = &self.engines.states[index];
        let attempts = &self.requests.open[&criteria.request].attempts;
        let has_had_it = attempts.iter().any(|attempt| attempt.engine == index);
        let own_threads = order_key(engine.threads / engine.cores);
        let is_first_contact = criteria.threads_of_all_gateways > engine.cores && engine.best_pace.is_none();
        let peer_threads = order_key(self.load.peer_threads_on(engine));
        let chance = self.random.for_candidate(index);
        (has_had_it, own_threads, is_first_contact, peer_threads, chance)
    }

    /// Makes an attempt on an engine.
    fn dispatch(&mut self, now: f64, id: usize, placement: Placement, out: &mut dyn ActionWriter) {
        let Placement { engine: index, grant } = placement;
        let request = &self.requests.open[&id];
        let class = request.incoming.class;
        let table_group = request.incoming.table_group;
        let lane = self.lane(id);
        let time_out = self.attempt_time_out(now, id, index);
        let overdue_at = now + self.overdue_after(request);
        let usual_work = self.usual_work(class);
        let leave_by = self.attempts_allowed_until(request);

        let request = self.requests.get_mut(id);
        if let Some(since) = request.waits_for_memory_since.take() {
            request.memory_wait += now - since;
        }
        let number = request.attempts.len();
        request.attempts.push(Attempt {
            engine: index,
            sent_at: now,
            grant: grant.memory,
            at_quarter: grant.at_quarter,
            in_flight: true,
            ..Attempt::default()
        });
        if number > 0 {
            self.retries.note_retry(now);
        }
        self.requests.schedule(overdue_at, DueEvent::AttemptOverdue(id, number));

        let class = &self.deployment.classes[class];
        self.load.threads += class.threads;
        self.engines.changed.push(index);
        let engine = &mut self.engines.states[index];
        engine.failures.drawn_rate = 0.0;
        engine.threads += class.threads;
        engine.attempts += 1;
        if class.locks_tables {
            engine.locked_table_groups.push(table_group);
        }
        engine.ledger.open(grant.memory);
        engine.slow_start_work.add(now, usual_work, self.deployment.slow_start.window);

        if self.deployment.honours_grants || self.deployment.has_priority_lanes {
            let memory = if self.deployment.honours_grants { grant.memory } else { 0.0 };
            out.set_priority_and_memory(id, lane, memory);
        }
        out.dispatch(id, index, time_out, leave_by);
    }
}
