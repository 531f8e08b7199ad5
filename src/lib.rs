//! cleatgw: a query gateway that decides what runs, where, and with how much memory.
//!
//! This file holds what passes between the decisions ([`logic`]) and whatever carries them: facts that
//! a host hands in, and the [`Writer`] that it lends for the answers. Nothing here decides. Times are
//! seconds with fractions on the host's clock; requests, engines, classes, zones and kinds are
//! small indices that the host gives out and keeps.

mod figures;
mod index;
pub mod logic;
mod state;

pub use cleatgw_queue as queue;

/// How far a repeat of a deduplicated request is dropped as such.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    Deduplicated { scope: DeduplicationScope, window: f64 },
    NonIdempotent,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub credit: f64,
    /// The share of the credit still earned after the expected time.
    pub late_share: f64,
    pub expected_time: f64,
    /// How long a client waits at most.
    pub longest: f64,
    /// How much longer it is expected to take for each second of its work on each thread.
    pub stretch: f64,
    pub threads: f64,
    pub idempotency: Idempotency,
    pub in_key_order: bool,
    /// It holds its table group on its engine until it ends, and those that wait stand still there.
    pub holds_tables: bool,
    /// It stands still while its tables are held on its engine.
    pub waits_for_holders: bool,
    pub only_zones: Option<Vec<usize>>,
    pub only_kinds: Option<Vec<usize>>,
}

impl RequestClass {
    /// How soon a request of so much work (seconds of one core) is wanted, in seconds.
    pub fn expected_for(&self, work: f64) -> f64 {
        self.expected_time + self.stretch * work / self.threads
    }
}

/// One kind of machine.
#[derive(Clone, Debug)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

/// What a cold engine stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    pub from: f64,
    pub warm_after: f64,
    pub multiple: f64,
    pub window: f64,
}

/// How many attempts beyond each request's first one gateway may make in a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub spare: f64,
    pub share: f64,
    pub window: f64,
}

/// What a deployment is made of and what it allows, as told at the start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub gateways: f64,
    pub classes: Vec<RequestClass>,
    pub kinds: Vec<Kind>,
    /// The most of an engine's memory that one request gets.
    pub largest_share: f64,
    pub grants: bool,
    /// Engines short of memory give a request less than its grant.
    pub trims: bool,
    /// Engines short of memory let every request in, and all of them slow down.
    pub pages: bool,
    pub lanes: bool,
    pub cancel: bool,
    pub copies: bool,
    pub max_attempts: u32,
    /// The longest wait that clients follow, where they are told one.
    pub advice: Option<f64>,
    /// Where the list must be asked for: how long an old one counts as told.
    pub ask_within: Option<f64>,
    pub cold: ColdStart,
    pub budget: Option<RetryBudget>,
    /// How long a key rests after an attempt that may still run.
    pub key_rest: f64,
}

/// What the list says of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stage {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One engine on the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub engine: usize,
    /// Steady across gateways: the same engine hashes alike everywhere.
    pub name_hash: u64,
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
    pub since: Option<f64>,
    pub stage: Stage,
}

/// A request as it was taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Taken {
    pub class: usize,
    pub key: Option<u64>,
    pub table_group: u64,
    pub cost: Option<f64>,
    pub memory_mb: Option<f64>,
    pub deadline: f64,
    /// The line that it stands in while it is held, see [`queue`]; 0 where there are no tenants.
    pub tenant: usize,
    /// When the same request was first dispatched under another request, by us in a former incarnation or by another: it may have run.
    pub earlier: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Completed,
    Erred,
    /// Rejected unseen.
    Full,
    TimedOut,
    /// No connection came about.
    Unreached,
    Broken,
    Cancelled,
    NeverSent,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::Unreached | Ending::NeverSent)
    }
}

/// What an engine says of its load; what it leaves out is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub requests: Option<f64>,
    pub memory_waits: Option<f64>,
    pub memory_granted: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub request: usize,
    pub engine: usize,
    pub ending: Ending,
    /// The request is over: its client has an answer, or wants none.
    pub request_done: bool,
    pub spent: f64,
    /// The work, in seconds, and the memory, in MB, that it turned out to need.
    pub told: Option<(f64, f64)>,
    pub load: Load,
}

/// What gateways tell each other of an engine: attempts of late that went well and that did not, and the work in seconds
/// that was dispatched to it in its cold window, 0 where it is warm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Met {
    pub good: f64,
    pub bad: f64,
    pub sent: f64,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Progress(f64),
    Spills,
    WaitsForMemory,
    WaitsForLoad,
}

/// Where decisions are written, as they are made.
pub trait Writer {
    /// Names the lane (0 to 3) and the memory for the request's attempts; zero MB leaves it to the engine.
    fn terms(&mut self, request: usize, lane: u8, memory_mb: f64);
    /// Attempts a request; without a time-out it runs until the deadline. It must have left by `leave_by`, or not at all: what
    /// repeats one that may have run is dropped as a repeat for a while only.
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, leave_by: f64);
    fn cancel(&mut self, request: usize, attempt: u32);
    fn reject(&mut self, request: usize, retry_after: Option<f64>);
    fn fail(&mut self, request: usize);
    /// How long a request that is held now is thought to wait for its first attempt; none where that can't be told.
    fn waits(&mut self, _request: usize, _wait: Option<queue::Wait>) {}
    /// Asks for the list's changes from now on.
    fn watch(&mut self, on: bool);
    /// Asks for the whole list once.
    fn fetch(&mut self);
    fn probe(&mut self, engine: usize);
    /// Closes idle connections to an engine.
    fn close(&mut self, engine: usize);
    /// Tells one peer, or all.
    fn tell(&mut self, peer: Option<usize>, content: &[u8]);
    /// Asks for a round at or after this time.
    fn wake(&mut self, at: f64);
    fn log(&mut self, line: &str);
}
