//! What a host tells the decisions. Requests, engines, classes, zones and kinds are small indices that the host gives out;
//! times are seconds on the host's clock.

/// What discovery says of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EngineStage {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is there no more.
    Gone,
}

/// One engine of the engine list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineListing {
    /// Its index.
    pub engine: usize,
    /// A hash of its name, the same at every gateway, so that an engine hashes alike everywhere.
    pub name_hash: u64,
    /// Its zone.
    pub zone: usize,
    /// The kind of machine it runs on.
    pub kind: usize,
    /// Its cell: the engines among which repeats may be recognised.
    pub cell: u64,
    /// When it started, where that was late enough to matter.
    pub started_at: Option<f64>,
    /// What it takes.
    pub stage: EngineStage,
}

/// A request as it was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest {
    /// Its class.
    pub class: usize,
    /// Its key, where its class keeps the order of keys.
    pub key: Option<u64>,
    /// The group of tables that it reads or writes.
    pub table_group: u64,
    /// Its estimated work, in seconds of one core.
    pub estimated_work: Option<f64>,
    /// Its estimated need of memory.
    pub estimated_memory_mb: Option<f64>,
    /// When its client stops waiting.
    pub deadline: f64,
    /// The queue it waits in, see [`crate::queue`]; 0 where there are no tenants.
    pub tenant: usize,
    /// When the same request was first attempted under another index, by a former incarnation of this gateway or by another
    /// gateway: it may have run.
    pub earlier_attempt_at: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Its result has come.
    Completed,
    /// The engine answered with an error.
    EngineError,
    /// The engine was full, and never began it.
    EngineFull,
    /// No answer came in the time that was set.
    TimedOut,
    /// No connection came about.
    Unreachable,
    /// The connection ended under it.
    ConnectionLost,
    /// It was cancelled.
    Cancelled,
    /// It never left this gateway.
    NeverSent,
}

impl AttemptOutcome {
    /// The engine surely never ran it.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::EngineFull | AttemptOutcome::Unreachable | AttemptOutcome::NeverSent)
    }
}

/// What an engine reports of its load; what it leaves out is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests that it holds.
    pub requests: Option<f64>,
    /// Requests that wait for memory.
    pub memory_waits: Option<f64>,
    /// The part of its memory that is granted, from 0 to 1.
    pub granted_memory_share: Option<f64>,
}

/// What a request turned out to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredCost {
    /// Its work, in seconds of one core.
    pub work: f64,
    /// Its memory, in megabytes.
    pub memory_mb: f64,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request it was made for.
    pub request: usize,
    /// The engine it went to.
    pub engine: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request needs nothing more: its client has an answer, or wants none.
    pub request_done: bool,
    /// Seconds from its dispatch to its end.
    pub elapsed: f64,
    /// What the request needed, where the engine says so.
    pub measured: Option<MeasuredCost>,
    /// The engine's report of its load.
    pub load: LoadReport,
}

/// What a gateway has seen of an engine of late, for other gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEvidence {
    /// Attempts that went well, faded with age.
    pub successes: f64,
    /// Attempts that did not.
    pub failures: f64,
    /// Work that was sent to it within its slow-start window, in seconds; 0 where it has warmed up.
    pub slow_start_work: f64,
}

/// Work that was sent to an engine in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartWork {
    /// The engine.
    pub engine: usize,
    /// When it was sent.
    pub sent_at: f64,
    /// How much it was, in seconds of one core.
    pub work: f64,
}

/// What an engine says of an attempt that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptStatus {
    /// It has come this far, from 0 to 1.
    Progress(f64),
    /// It writes to disk for want of memory.
    Spills,
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for the load to fall.
    WaitsForLoad,
}
