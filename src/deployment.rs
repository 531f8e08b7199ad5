//! What a deployment is made of and what it allows, as it is stated at the start. Times are seconds.

/// Where a repeat of a deduplicated request is recognised as one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    /// On every engine.
    All,
    /// On the engines of one zone.
    Zone,
    /// On the engines of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Nothing more than running it once.
    Idempotent,
    /// Nothing more, as long as the repeat comes within the window and where the first attempt is known.
    Deduplicated {
        /// Where repeats are recognised.
        scope: DeduplicationScope,
        /// For how long they are, in seconds.
        window: f64,
    },
    /// A second effect.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What a request answered within its latency objective is worth.
    pub value: f64,
    /// The part of the value that is still earned after the objective, from 0 to 1.
    pub late_value_share: f64,
    /// The latency objective of a request without any work.
    pub latency_objective: f64,
    /// The longest that a client waits.
    pub max_wait: f64,
    /// How much the objective grows with each second of work on each thread.
    pub objective_stretch: f64,
    /// Threads that a request of this class occupies.
    pub threads: f64,
    /// What running one twice would do.
    pub idempotency: Idempotency,
    /// Requests with the same key run one after another.
    pub in_key_order: bool,
    /// It locks its table group on its engine until it ends.
    pub locks_tables: bool,
    /// It stands still while its table group is locked on its engine.
    pub waits_for_table_locks: bool,
    /// The zones it may run in; none for all.
    pub allowed_zones: Option<Vec<usize>>,
    /// The kinds of engine it may run on; none for all.
    pub allowed_kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// The latency objective of a request with this much work, in seconds of one core.
    pub fn objective_for(&self, work: f64) -> f64 {
        self.latency_objective + self.objective_stretch * work / self.threads
    }
}

/// A kind of machine that engines run on.
#[derive(Clone, Debug)]
pub struct EngineKind {
    /// Its cores.
    pub cores: f64,
    /// Its memory, in megabytes.
    pub memory_mb: f64,
}

/// How much an engine can take after its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The part of its capacity that it has at once, from 0 to 1.
    pub initial_share: f64,
    /// Seconds until it has all of it.
    pub duration: f64,
    /// It collapses where this many times its present capacity is sent to it within the window.
    pub overload_multiple: f64,
    /// The window over which that is counted, in seconds.
    pub window: f64,
}

/// How many retries one gateway may make in a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub base: f64,
    /// Retries that are allowed beside, for each request received.
    pub per_request: f64,
    /// The window, in seconds.
    pub window: f64,
}

/// What a deployment is made of and what it allows.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// How many gateways there are, this one among them.
    pub gateways: f64,
    /// The request classes, by their indices.
    pub classes: Vec<RequestClass>,
    /// The kinds of engine, by their indices.
    pub engine_kinds: Vec<EngineKind>,
    /// The most of an engine's memory that one request gets, from 0 to 1.
    pub max_memory_share: f64,
    /// Engines honour the memory that a request is granted.
    pub honours_grants: bool,
    /// Engines short of memory give a request less than its grant.
    pub trims_grants: bool,
    /// Engines short of memory admit every request, and all of them slow down.
    pub pages_memory: bool,
    /// Engines honour priority lanes.
    pub has_priority_lanes: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// A request may have more than one attempt in flight.
    pub allows_hedging: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// The longest Retry-After that clients follow, where they follow any.
    pub max_retry_after: Option<f64>,
    /// Where the engine list has to be polled: how old it may get.
    pub max_list_age: Option<f64>,
    /// What engines can take after their start.
    pub slow_start: SlowStart,
    /// The stated budget of retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// How long a key rests after an attempt that may still run.
    pub key_quiet_period: f64,
}
