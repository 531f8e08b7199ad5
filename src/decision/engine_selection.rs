//! Chooses the engine for a request: among the first engines in its table group's hash order whose ledger fits the
//! grant, the one with the fewest of this gateway's threads per core.

use super::memory_grant::{GrantChoice, MemoryGrant};
use super::outlier_detection::MIN_SUCCESS_RATE;
use super::{EngineState, Gateway};
use crate::engine_index::OrderWalk;
use crate::request_state::{Attempt, DueEvent};
use crate::statistics::order_key;
use crate::ActionWriter;

/// A hot table group is spread over a share of the engines that is this many times the group's share of the work,
/// because those engines serve other groups too.
pub(super) const HOT_GROUP_SPREAD: f64 = 4.0;
/// The weight, in requests, of the prior that a table group has no share of the work.
pub(super) const HOT_GROUP_PRIOR: f64 = 20.0;
/// The bounds of the number of engines among which the least loaded is chosen, for a group that is not hot.
const MIN_CANDIDATES: usize = 2;
const MAX_CANDIDATES: usize = 3;

/// The engine of an attempt, and the attempt's memory grant.
#[derive(Clone, Copy, Debug)]
struct Placement {
    engine: usize,
    grant: MemoryGrant,
}

/// The criteria for choosing an engine for one request.
struct Criteria {
    request: usize,
    class: usize,
    table_group: u64,
    /// The request is light and may pass heavy ones.
    is_light: bool,
    /// The number of engines among which the best is chosen.
    candidates: usize,
    /// The threads of all gateways if each has one request of this class.
    threads_of_all_gateways: f64,
    now: f64,
}

/// The engines that a walk found.
#[derive(Default)]
struct Candidates {
    /// Engines that may run the request and are reliable enough.
    eligible: Vec<usize>,
    /// Those of them whose ledger fits the preferred grant.
    fitting: Vec<usize>,
}

impl Gateway {
    /// Chooses an engine for the request and starts an attempt there. Returns false if the request stays queued.
    pub(super) fn place(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) -> bool {
        let grants = self.grant(id);
        self.index_changed_engines();
        self.random.advance();
        if !self.request_may_be_attempted(id, now) {
            return false;
        }
        let criteria = self.criteria(id, now);
        let walk = self.walk(&criteria);
        let candidates = self.candidates(&criteria, &walk, grants.preferred.memory);
        let Some(placement) = self.choose(&criteria, &candidates, grants) else {
            if !candidates.eligible.is_empty() {
                self.requests.get_mut(id).waits_for_memory_since.get_or_insert(now);
            }
            return false;
        };
        self.dispatch(now, id, placement, out);
        true
    }

    /// Updates the indices by class for the engines that have changed.
    fn index_changed_engines(&mut self) {
        let mut by_class = std::mem::take(&mut self.engines.by_class);
        for index in std::mem::take(&mut self.engines.changed) {
            let engine = &self.engines.states[index];
            for (class, indexed) in by_class.iter_mut().enumerate() {
                let is_allowed = self.engines.orders.is_ready(index) && self.is_allowed_on(class, engine);
                let success_rate = is_allowed.then(|| engine.reliability.success_rate_for(class));
                indexed.success_rates.set(index, success_rate);
                for (is_light, with_capacity) in [false, true].into_iter().zip(&mut indexed.with_capacity) {
                    with_capacity.set(index, is_allowed && self.has_capacity(class, engine, is_light));
                }
                let is_free = is_allowed && self.is_fair_share_free(class, engine);
                indexed.fair_share_free.set(index, is_free);
            }
        }
        self.engines.by_class = by_class;
    }

    /// Whether this gateway's fair share of an engine that does not report its load is free for a request of this
    /// class.
    pub(super) fn is_fair_share_free(&self, class: usize, engine: &EngineState) -> bool {
        let threads = engine.threads + self.deployment.classes[class].threads;
        let is_free = engine.attempts == 0 || self.fits_fair_share(threads, engine.cores);
        is_free && !engine.concurrency.reports_load
    }

    fn criteria(&self, id: usize, now: f64) -> Criteria {
        let incoming = &self.requests.open[&id].incoming;
        let threads = self.deployment.classes[incoming.class].threads;
        let threads_of_all_gateways = self.deployment.gateways * threads;
        let kinds = &self.deployment.engine_kinds;
        let most_cores = kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
        let has_many_gateways = threads_of_all_gateways > most_cores;
        Criteria {
            request: id,
            class: incoming.class,
            table_group: incoming.table_group,
            is_light: self.is_light(id) && !self.round.earlier_request_unplaced,
            candidates: self.candidate_count(incoming.table_group, has_many_gateways),
            threads_of_all_gateways,
            now,
        }
    }

    /// The number of engines among which the best is chosen. There are many gateways if one request of this class from
    /// each would need more threads than the largest engine has cores. Each then has few requests, and no gateway's own
    /// threads show that an engine is overloaded. The number of a hot group's engines then follows its share of the
    /// work.
    fn candidate_count(&self, table_group: u64, has_many_gateways: bool) -> usize {
        let ready = self.engines.orders.ready_count();
        let default = (ready / 3).clamp(MIN_CANDIDATES, MAX_CANDIDATES);
        if !has_many_gateways {
            return default;
        }
        let share = self.load.table_group_work.share(table_group, HOT_GROUP_PRIOR);
        let hot = HOT_GROUP_SPREAD * share * ready as f64;
        default.max(hot.ceil() as usize)
    }

    /// The walk over the engines with capacity, in the table group's hash order.
    fn walk(&mut self, criteria: &Criteria) -> OrderWalk {
        let indexed = &self.engines.by_class[criteria.class];
        let mut with_capacity = indexed.with_capacity[usize::from(criteria.is_light)].clone();
        if self.may_use_fair_share(criteria.class) {
            with_capacity.union_with(&indexed.fair_share_free);
        }
        if !self.deployment.classes[criteria.class].locks_tables {
            return self.engines.orders.walk(criteria.table_group, with_capacity, criteria.candidates);
        }
        // A request that locks its tables walks backwards from the end of the order, away from the engines where
        // requests that read the tables run. While it has time, it stays in the second half of the order.
        let request = &self.requests.open[&criteria.request];
        let has_time = self.last_start(request) - criteria.now > self.expected_run_time(request);
        let ready = self.engines.orders.ready_count();
        let max_engines = if has_time { ready.div_ceil(2) } else { ready };
        self.engines.orders.walk_back(criteria.table_group, with_capacity, max_engines)
    }

    /// Whether a request may use this gateway's fair share of an engine whatever the estimated load. This holds if work
    /// is never measured, because the load of other gateways is then inferred from estimates alone and may not exist.
    /// The gateway's threads must stay within its fair share of all usable cores: if every gateway uses its share, each
    /// core has one thread.
    fn may_use_fair_share(&self, class: usize) -> bool {
        let threads = self.load.threads + self.deployment.classes[class].threads;
        self.classes[class].work_fit.is_unmeasured() && self.fits_fair_share(threads, self.load.usable_cores)
    }

    /// The engines of the walk that may run the request and are reliable enough. The walk ends once enough of them fit
    /// the preferred grant.
    fn candidates(&self, criteria: &Criteria, walk: &OrderWalk, preferred_memory: f64) -> Candidates {
        let orders = &self.engines.orders;
        let may_run = |engine: usize| {
            orders.count_examined_engine();
            self.engine_may_run(criteria.request, engine, criteria.now)
                && !self.would_wait_for_tables(criteria, engine)
        };
        let indexed = &self.engines.by_class[criteria.class];
        let best_rate = indexed
            .success_rates
            .largest_passing(&mut |engine| walk.covers(orders, engine) && may_run(engine));
        let min_success_rate = MIN_SUCCESS_RATE * best_rate;
        let mut candidates = Candidates::default();
        walk.visit(orders, &mut |index| {
            let engine = &self.engines.states[index];
            if may_run(index) && Self::is_reliable_or_on_trial(criteria, engine, min_success_rate) {
                candidates.eligible.push(index);
                if engine.ledger.fits(preferred_memory, criteria.now) {
                    candidates.fitting.push(index);
                }
            }
            candidates.fitting.len() == criteria.candidates
        });
        candidates
    }

    /// Whether the request would wait for a table lock of another request of this gateway, and hold its memory
    /// meanwhile.
    fn would_wait_for_tables(&self, criteria: &Criteria, engine: usize) -> bool {
        let class = &self.deployment.classes[criteria.class];
        let can_wait = class.locks_tables || class.waits_for_table_locks;
        can_wait && self.engines.states[engine].locked_table_groups.contains(&criteria.table_group)
    }

    /// Whether an engine is reliable enough for the request, or the request may be its trial request. An unreliable
    /// engine gets only one light request at a time, and one per sample of its success rate, so that failures do not
    /// attract more requests.
    fn is_reliable_or_on_trial(criteria: &Criteria, engine: &EngineState, min_success_rate: f64) -> bool {
        let is_trial = criteria.is_light
            && engine.attempts == 0
            && engine.reliability.sampled_success_rate >= min_success_rate;
        engine.reliability.success_rate_for(criteria.class) >= min_success_rate || is_trial
    }

    /// Chooses the best of the engines whose ledger fits the preferred grant. If there is none, chooses among the
    /// eligible engines whose ledger fits the smallest grant the one with the most memory left.
    fn choose(&self, criteria: &Criteria, candidates: &Candidates, grants: GrantChoice) -> Option<Placement> {
        let best = candidates.fitting.iter().min_by_key(|engine| self.rank(criteria, **engine));
        if let Some(&engine) = best {
            return Some(Placement { engine, grant: grants.preferred });
        }
        let free = |engine: &usize| {
            let ledger = &self.engines.states[*engine].ledger;
            ledger.limit - ledger.granted
        };
        let fits_minimum =
            |engine: &&usize| self.engines.states[**engine].ledger.fits(grants.minimum, criteria.now);
        let fitting = candidates.eligible.iter().filter(fits_minimum);
        let &engine = fitting.max_by(|a, b| free(a).total_cmp(&free(b)))?;
        let GrantChoice { preferred, minimum } = grants;
        let is_quarter_grant = preferred.is_quarter_grant || minimum < preferred.memory;
        Some(Placement { engine, grant: MemoryGrant { memory: minimum, is_quarter_grant } })
    }

    /// The rank of an engine for a request; the lowest rank is the best. It compares, in this order:
    ///
    /// - whether the request was attempted there before, because the cause of the failure may persist;
    /// - this gateway's threads per core;
    /// - whether the engine has never answered this gateway, if one request of this class from each gateway would need more
    ///   threads than this engine has cores: each gateway then has so little traffic that it would otherwise open
    ///   connections to all engines;
    /// - the estimated threads of other gateways;
    /// - a random number.
    fn rank(&self, criteria: &Criteria, index: usize) -> (bool, u64, bool, u64, u64) {
        let engine = &self.engines.states[index];
        let attempts = &self.requests.open[&criteria.request].attempts;
        let was_attempted =
            attempts.iter().any(|attempt| attempt.sent_to.name_hash == engine.listing.name_hash);
        let own_threads = order_key(engine.threads / engine.cores);
        let is_first_contact = criteria.threads_of_all_gateways > engine.cores && engine.best_pace.is_none();
        let peer_threads = order_key(self.load.peer_threads_on(engine));
        let tie_break = self.random.for_candidate(index);
        (was_attempted, own_threads, is_first_contact, peer_threads, tie_break)
    }

    /// Starts an attempt on an engine.
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
            sent_to: self.engines.states[index].listing,
            sent_at: now,
            grant: grant.memory,
            is_quarter_grant: grant.is_quarter_grant,
            in_flight: true,
            ..Attempt::default()
        });
        if number > 0 {
            self.retries.record_retry(now);
        }
        self.requests.schedule(overdue_at, DueEvent::AttemptOverdue(id, number));

        let class = &self.deployment.classes[class];
        self.load.threads += class.threads;
        self.engines.changed.push(index);
        let engine = &mut self.engines.states[index];
        engine.reliability.sampled_success_rate = 0.0;
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
