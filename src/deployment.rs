//! The configuration of a deployment: its request classes, engine kinds and limits. It is fixed when the gateway
//! starts. Times are seconds.

/// The engines that recognise a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines in the zone of the first attempt's engine.
    Zone,
    /// The engines in the cell of the first attempt's engine.
    Cell,
}

/// The effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The same effect as running it once.
    Idempotent,
    /// The same effect as running it once, provided that the repeat arrives within the window and at an engine that
    /// recognises it.
    Deduplicated {
        /// The engines that recognise a repeat.
        scope: DeduplicationScope,
        /// How long after the first attempt a repeat is recognised, in seconds.
        window: f64,
    },
    /// A second effect: the request must not be repeated if it may have run.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The value of a request that is answered within its latency objective.
    pub value: f64,
    /// The fraction of the value that an answer after the objective still earns, from 0 to 1.
    pub late_value_share: f64,
    /// The latency objective of a request without any work, in seconds.
    pub latency_objective: f64,
    /// The longest time that a client waits, in seconds.
    pub max_wait: f64,
    /// Seconds by which the objective grows for each second of work per thread.
    pub objective_stretch: f64,
    /// The number of threads that a request of this class occupies.
    pub threads: f64,
    /// The effect of running a request of this class twice.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in the order of their arrival.
    pub in_key_order: bool,
    /// A request of this class locks its table group on its engine until it ends.
    pub locks_tables: bool,
    /// A request of this class cannot proceed while its table group is locked on its engine.
    pub waits_for_table_locks: bool,
    /// The zones that requests of this class may run in; absent if all are allowed.
    pub allowed_zones: Option<Vec<usize>>,
    /// The kinds of engine that requests of this class may run on; absent if all are allowed.
    pub allowed_kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// The latency objective, in seconds, of a request with this much work, in seconds of one core.
    pub fn objective_for(&self, work: f64) -> f64 {
        self.latency_objective + self.objective_stretch * work / self.threads
    }
}

/// A kind of machine that engines run on.
#[derive(Clone, Debug)]
pub struct EngineKind {
    /// The number of cores.
    pub cores: f64,
    /// The memory, in megabytes.
    pub memory_mb: f64,
}

/// How much load an engine can take while it warms up after its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The share of its capacity that the engine has immediately after its start, from 0 to 1.
    pub initial_share: f64,
    /// Seconds from the start until the engine has its full capacity.
    pub duration: f64,
    /// The engine collapses if this many times its present capacity is sent to it within the window.
    pub overload_multiple: f64,
    /// The window over which the work sent is summed, in seconds.
    pub window: f64,
}

/// The number of retries that one gateway may make within a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub base: f64,
    /// Additional retries allowed for each request received in the window.
    pub per_request: f64,
    /// The window, in seconds.
    pub window: f64,
}

/// The configuration of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// The number of gateways, including this one.
    pub gateways: f64,
    /// The request classes, by class index.
    pub classes: Vec<RequestClass>,
    /// The kinds of engine, by kind index.
    pub engine_kinds: Vec<EngineKind>,
    /// The largest share of an engine's memory that one request is granted, from 0 to 1.
    pub max_memory_share: f64,
    /// Engines honour memory grants.
    pub honours_grants: bool,
    /// Engines that are short of memory give a request less than its grant.
    pub trims_grants: bool,
    /// Engines that are short of memory still admit every request; they page, and all their requests slow down.
    pub pages_memory: bool,
    /// Engines honour priority lanes.
    pub has_priority_lanes: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// A request may have more than one attempt in flight.
    pub allows_hedging: bool,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients obey, in seconds; absent if they ignore it.
    pub max_retry_after: Option<f64>,
    /// The maximum age of the engine list, in seconds. Present if the gateway has to ask discovery for the list; the
    /// core checks only whether it is present.
    pub max_list_age: Option<f64>,
    /// How much load engines can take while they warm up after their start.
    pub slow_start: SlowStart,
    /// The configured retry budget; absent if the default applies.
    pub retry_budget: Option<RetryBudget>,
    /// The quiet period of a key, in seconds. After an attempt that has ended for the gateway but may still be running
    /// on its engine, no other request with the same key is started for this long.
    pub key_quiet_period: f64,
}
