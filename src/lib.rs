//! cleatgw: a query gateway that decides which requests run, on which engine, and with how much memory.
//!
//! This crate is the decision core and performs no input or output. A host creates a [`Gateway`] from a [`Deployment`],
//! reports what has happened ([`events`]) and calls [`Gateway::round`] once per iteration of its event loop. The round
//! writes its decisions to an [`ActionWriter`]. The host owns all names: it identifies requests, engines, classes,
//! zones and kinds by small indices. Times are seconds on the host's clock.
//!
//! - [`deployment`]: the configuration; [`events`]: what the host reports; [`actions`]: what the host is asked to do.
//! - [`decision`]: all decisions, one module per concern.
//! - `engine_index`, `request_state`, `statistics`: data structures and arithmetic that make no decision.

pub mod actions;
pub mod decision;
pub mod deployment;
mod engine_index;
pub mod events;
mod request_state;
mod statistics;

pub use actions::ActionWriter;
pub use cleatgw_tenant_queue as queue;
pub use decision::Gateway;
pub use deployment::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, RequestClass, RetryBudget, SlowStart,
};
pub use events::{
    AttemptEnd, AttemptOutcome, AttemptStatus, EngineEvidence, EngineListing, EngineStage, IncomingRequest,
    LoadReport, MeasuredCost, SlowStartWork,
};
