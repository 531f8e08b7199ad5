//! The events that a host reports to the decision core. Requests, engines, classes, zones and kinds are small indices
//! assigned by the host; times are seconds on the host's clock.

/// The state of an engine according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EngineStage {
    /// The engine accepts requests.
    #[default]
    Ready,
    /// The engine finishes the requests it has and accepts no new ones.
    Draining,
    /// The engine no longer exists.
    Gone,
}

/// One entry of the engine list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineListing {
    /// The engine's index.
    pub engine: usize,
    /// A hash of the engine's name. It is the same at every gateway, so that all gateways compute the same hash orders.
    pub name_hash: u64,
    /// The zone the engine is in.
    pub zone: usize,
    /// The kind of machine the engine runs on.
    pub kind: usize,
    /// The engine's cell: the group of engines that may recognise repeats of each other's requests.
    pub cell: u64,
    /// When the engine started. Absent if it started so long ago that it no longer matters.
    pub started_at: Option<f64>,
    /// Whether the engine accepts requests.
    pub stage: EngineStage,
}

/// A request as it was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest {
    /// The request's class.
    pub class: usize,
    /// The ordering key. It is used only if the class runs requests with the same key in order.
    pub key: Option<u64>,
    /// The group of tables that the request reads or writes.
    pub table_group: u64,
    /// The estimated work, in seconds of one core.
    pub estimated_work: Option<f64>,
    /// The estimated memory that the request needs, in megabytes.
    pub estimated_memory_mb: Option<f64>,
    /// When the client stops waiting.
    pub deadline: f64,
    /// The tenant whose queue the request waits in, see [`crate::queue`]; 0 if no tenants are configured.
    pub tenant: usize,
    /// When the same request was first attempted under another index, by a former incarnation of this gateway or by
    /// another gateway. It may have run then.
    pub earlier_attempt_at: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The engine returned a result.
    Completed,
    /// The engine answered with an error.
    EngineError,
    /// The engine was full and never started the request.
    EngineFull,
    /// No answer arrived within the attempt's time-out.
    TimedOut,
    /// No connection to the engine could be established.
    Unreachable,
    /// The connection was lost during the attempt.
    ConnectionLost,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt never left this gateway.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether it is certain that the engine never ran the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::EngineFull | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
    }
}

/// An engine's report of its load. Each figure is absent if the engine does not report it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The number of requests that the engine holds.
    pub requests: Option<f64>,
    /// The number of requests that wait for memory.
    pub memory_waits: Option<f64>,
    /// The share of the engine's memory that is granted, from 0 to 1.
    pub granted_memory_share: Option<f64>,
}

/// What a request turned out to need, as measured by its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredCost {
    /// The work, in seconds of one core.
    pub work: f64,
    /// The memory, in megabytes.
    pub memory_mb: f64,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt was made for.
    pub request: usize,
    /// The engine that the attempt was sent to.
    pub engine: usize,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The request needs no further attempt: its client has an answer, or no longer wants one.
    pub request_done: bool,
    /// Seconds from the attempt's dispatch to its end.
    pub elapsed: f64,
    /// What the request needed. Absent if the engine does not measure it.
    pub measured: Option<MeasuredCost>,
    /// The engine's report of its load.
    pub load: LoadReport,
}

/// Recent evidence on one engine, as gateways exchange it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEvidence {
    /// The weight of successful attempts. It decays with time.
    pub successes: f64,
    /// The weight of failed attempts. It decays with time.
    pub failures: f64,
    /// The work sent to the engine within its slow-start window, in seconds of one core; 0 once the engine has warmed
    /// up.
    pub slow_start_work: f64,
}

/// Work that was sent to an engine in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartWork {
    /// The engine.
    pub engine: usize,
    /// When the work was sent.
    pub sent_at: f64,
    /// The amount of work, in seconds of one core.
    pub work: f64,
}

/// An engine's message about an attempt that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptStatus {
    /// The fraction of the attempt that is complete, from 0 to 1.
    Progress(f64),
    /// The attempt is short of memory and spills to disk.
    Spills,
    /// The attempt waits for memory.
    WaitsForMemory,
    /// The attempt waits for the engine's load to fall.
    WaitsForLoad,
}
