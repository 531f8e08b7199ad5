//! The state of each engine, and the indices that engine selection uses.

use super::concurrency_limit::ConcurrencyLimit;
use super::memory_ledger::MemoryLedger;
use super::outlier_detection::ReliabilityEstimate;
use crate::engine_index::{ClassIndex, HashOrders};
use crate::statistics::{TimeWindow, WeightedMean};
use crate::{EngineKind, EngineListing, EngineStage};

/// The fraction of the evidence on an engine's pace that is kept at each tick, and at each answer.
const KEEP_PACE_PER_TICK: f64 = super::peer_load::KEEP_OVERALL_PER_TICK;
const KEEP_PACE_PER_ANSWER: f64 = 0.9;
/// An engine's best pace rises by this factor at each answer, so that an old best is eventually forgotten.
const BEST_PACE_DECAY: f64 = 1.001;

/// The state of one engine.
#[derive(Default)]
pub(super) struct EngineState {
    /// The engine's latest entry in the engine list.
    pub listing: EngineListing,
    /// The number of cores; 0 if the engine has never been listed.
    pub cores: f64,
    /// This gateway's memory grants on the engine.
    pub ledger: MemoryLedger,
    /// The estimated success rate of attempts.
    pub reliability: ReliabilityEstimate,
    /// The limit on the engine's threads per core.
    pub concurrency: ConcurrencyLimit,
    /// The threads that this gateway's attempts occupy on the engine.
    pub threads: f64,
    /// The number of this gateway's attempts in flight on the engine.
    pub attempts: u32,
    /// The mean recent pace of answers.
    pub pace: WeightedMean,
    /// The lowest mean pace so far, which rises slowly; absent until the engine has answered.
    pub best_pace: Option<f64>,
    /// When the engine last gave a successful answer or a status message, or when it restarted.
    pub last_answer_at: f64,
    /// The work recently sent to the engine, in seconds of one core. Each request counts as its class's usual work.
    pub slow_start_work: TimeWindow,
    /// The work that peers report having sent to the engine during its slow start, in seconds of one core.
    pub peers_slow_start_work: f64,
    /// The table groups that requests of this gateway have locked on the engine.
    pub locked_table_groups: Vec<u64>,
    /// The engine is warming up after its start.
    pub in_slow_start: bool,
}

impl EngineState {
    /// Resets the state for an engine that is new at this index or has restarted. All estimates are discarded; attempts
    /// in flight remain counted, and so does the work that was sent to the same engine before it restarted.
    pub fn restart(&mut self, listing: &EngineListing, kind: Option<&EngineKind>, gateways: f64, now: f64) {
        if listing.name_hash != self.listing.name_hash {
            self.slow_start_work = TimeWindow::default();
        }
        let memory = kind.map_or(0.0, |kind| kind.memory_mb);
        self.ledger.restart(memory, memory / gateways);
        self.reliability = ReliabilityEstimate::default();
        self.concurrency = ConcurrencyLimit::initial();
        self.pace = WeightedMean::default();
        self.best_pace = None;
        self.last_answer_at = now;
        self.peers_slow_start_work = 0.0;
        self.in_slow_start = false;
        self.cores = kind.map_or(1.0, |kind| kind.cores);
    }

    /// Whether the listing describes another engine or another start of it, or the engine was never listed before.
    pub fn is_superseded_by(&self, listing: &EngineListing) -> bool {
        let identity = |listing: &EngineListing| (listing.started_at, listing.name_hash);
        self.cores == 0.0 || identity(&self.listing) != identity(listing)
    }

    /// Whether discovery lists the engine as ready.
    pub fn is_ready(&self) -> bool {
        self.listing.stage == EngineStage::Ready && self.cores > 0.0
    }

    /// Records a successful answer. `pace` updates the engine's mean pace, with the weight `work`; it is absent if the
    /// answer is no evidence on the engine's pace. `measured_pace` is the elapsed time per second of work per thread.
    pub fn record_success(&mut self, pace: Option<f64>, measured_pace: f64, work: f64, now: f64) {
        self.last_answer_at = now;
        if let Some(pace) = pace {
            self.pace.add(pace, work, KEEP_PACE_PER_ANSWER);
        }
        let best = self.best_pace.unwrap_or(measured_pace);
        self.best_pace = Some(best.min(self.pace.mean_or(measured_pace)) * BEST_PACE_DECAY);
    }

    /// Decays the evidence on the engine's pace by one tick.
    pub fn decay_pace(&mut self) {
        self.pace.decay(KEEP_PACE_PER_TICK);
    }
}

/// All engines, by engine index.
#[derive(Default)]
pub(super) struct EngineTable {
    pub states: Vec<EngineState>,
    /// The ready engines in each table group's hash order.
    pub orders: HashOrders,
    /// The indices over the engines, by request class.
    pub by_class: Vec<ClassIndex>,
    /// The engines that changed since `by_class` was last updated.
    pub changed: Vec<usize>,
}

impl EngineTable {
    /// The engines that discovery lists as ready.
    pub fn ready(&self) -> impl Iterator<Item = &EngineState> {
        self.states.iter().filter(|engine| engine.is_ready())
    }

    /// The engine with this index, which is added if it does not exist.
    pub fn get_or_add(&mut self, engine: usize) -> &mut EngineState {
        let count = self.states.len().max(engine + 1);
        self.states.resize_with(count, EngineState::default);
        &mut self.states[engine]
    }

    /// Updates the hash orders after a change of the engine's listing.
    pub fn update_order(&mut self, engine: usize) {
        let state = &self.states[engine];
        let hash = state.is_ready().then_some(state.listing.name_hash);
        self.orders.set_ready(engine, hash);
        self.changed.push(engine);
    }
}
