//! What is known of each engine, and the indices by which engines are found.

use super::concurrency_limit::ConcurrencyLimit;
use super::memory_ledger::MemoryLedger;
use super::outlier_detection::FailureEstimate;
use crate::engine_index::{ClassIndex, HashOrders};
use crate::statistics::{TimeWindow, WeightedMean};
use crate::{EngineKind, EngineListing, EngineStage};

/// The part of the evidence on an engine's pace that stays with each tick, and with each answer.
const KEEP_PACE: f64 = super::peer_load::KEEP_OVERALL;
const KEEP_PACE_PER_ANSWER: f64 = 0.9;
/// An engine's best pace is forgotten by this factor with each answer.
const BEST_PACE_FADES: f64 = 1.001;

/// One engine.
#[derive(Default)]
pub(super) struct EngineState {
    /// What discovery last said of it.
    pub listing: EngineListing,
    /// Its cores; 0 for one that has never been listed.
    pub cores: f64,
    /// What is granted of its memory.
    pub ledger: MemoryLedger,
    /// Whether it answers well.
    pub failures: FailureEstimate,
    /// How many threads it may hold.
    pub concurrency: ConcurrencyLimit,
    /// Threads and attempts of this gateway there.
    pub threads: f64,
    pub attempts: u32,
    /// The time of late for each second of work a thread, and the best of it.
    pub pace: WeightedMean,
    pub best_pace: Option<f64>,
    /// When it last answered anything.
    pub last_answer_at: f64,
    /// Work that was sent to it of late, each request counted as its class's usual work.
    pub slow_start_work: TimeWindow,
    /// What peers say that they sent to it within its slow start.
    pub peers_slow_start_work: f64,
    /// Table groups that requests of this gateway have locked there.
    pub locked_table_groups: Vec<u64>,
    /// It warms up after its start.
    pub in_slow_start: bool,
}

impl EngineState {
    /// It is new or was started anew: nothing that was learned of it holds, but what was sent to it is still in flight.
    pub fn restart(&mut self, kind: Option<&EngineKind>, gateways: f64, now: f64) {
        let memory = kind.map_or(0.0, |kind| kind.memory_mb);
        self.ledger.restart(memory, memory / gateways);
        self.failures = FailureEstimate::default();
        self.concurrency = ConcurrencyLimit::initial();
        self.pace = WeightedMean::default();
        self.best_pace = None;
        self.last_answer_at = now;
        self.peers_slow_start_work = 0.0;
        self.in_slow_start = false;
        self.cores = kind.map_or(1.0, |kind| kind.cores);
    }

    /// It was never listed, or the listing is of another engine or of another start of it.
    pub fn is_superseded_by(&self, listing: &EngineListing) -> bool {
        let identity = |listing: &EngineListing| (listing.started_at, listing.name_hash);
        self.cores == 0.0 || identity(&self.listing) != identity(listing)
    }

    /// Discovery lists it as ready.
    pub fn is_ready(&self) -> bool {
        self.listing.stage == EngineStage::Ready && self.cores > 0.0
    }

    /// It answered well now. `pace` is the evidence on its pace, `work` its weight, `measured_pace` the time as it was.
    pub fn note_success(&mut self, pace: Option<f64>, measured_pace: f64, work: f64, now: f64) {
        self.last_answer_at = now;
        if let Some(pace) = pace {
            self.pace.add(pace, work, KEEP_PACE_PER_ANSWER);
        }
        let best = self.best_pace.unwrap_or(measured_pace);
        self.best_pace = Some(best.min(self.pace.mean_or(measured_pace)) * BEST_PACE_FADES);
    }

    /// Fades the evidence on its pace by one tick.
    pub fn fade_pace(&mut self) {
        self.pace.fade(KEEP_PACE);
    }
}

/// All engines, by their indices.
#[derive(Default)]
pub(super) struct EngineTable {
    pub states: Vec<EngineState>,
    /// The ready engines in each table group's hash order.
    pub orders: HashOrders,
    /// Engines by class, and those that changed since they were indexed there.
    pub by_class: Vec<ClassIndex>,
    pub changed: Vec<usize>,
}

impl EngineTable {
    /// The engines that discovery lists as ready.
    pub fn ready(&self) -> impl Iterator<Item = &EngineState> {
        self.states.iter().filter(|engine| engine.is_ready())
    }

    /// An engine of this index, made where there is none.
    pub fn get_or_add(&mut self, engine: usize) -> &mut EngineState {
        let engines = self.states.len().max(engine + 1);
        self.states.resize_with(engines, EngineState::default);
        &mut self.states[engine]
    }

    /// What the list says of this engine counts for the orders from now on.
    pub fn update_order(&mut self, engine: usize) {
        let state = &self.states[engine];
        let hash = state.is_ready().then_some(state.listing.name_hash);
        self.orders.set_ready(engine, hash);
        self.changed.push(engine);
    }
}
