//! cleatgw: a query gateway that decides what runs, where, and with how much memory.
//!
//! This crate is the decision core, without input or output. A host makes a [`Gateway`] from a [`Deployment`], tells it what has
//! happened ([`events`]) and calls [`Gateway::round`] once a turn, which writes its decisions into an [`ActionWriter`].
//! The host owns names and gives out small indices for requests, engines, classes, zones and kinds. Times are seconds on
//! the host's clock.
//!
//! - [`deployment`]: what is configured; [`events`]: what the host reports; [`actions`]: what it is asked to do.
//! - [`decision`]: every decision, one module for each concern.
//! - `engine_index`, `request_state`, `statistics`: containers and arithmetic without a decision.

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
