//! The queue of requests that wait for an engine, and the order in which they are served. Tenants share the engines by
//! weight, in a tree of up to three levels; what is shared is work, not the number of requests. The crate does no I/O
//! and makes no decisions about engines, attempts or rejections: the decision core asks it for the next request to try,
//! and for the request to displace when a queue exceeds its limit.
//!
//! Tenants are ordered by hierarchical start-time fair queueing (Goyal, Vin and Cheng, "Start-Time Fair Queueing",
//! 1996; Bennett and Zhang, "Hierarchical Packet Fair Queueing Algorithms", 1996): of the waiting tenants, the one that
//! has received the least work relative to its weight goes next. A tenant that was idle rejoins at the present virtual
//! time and does not make up for the time in which it was idle. A tenant within its budget goes before one that has
//! exceeded its own; thus unused share is lent to others and taken back over time. Within a tenant, requests are
//! ordered by the value density that the decision core hands in, optionally with ageing ([`TenantConfig::ageing`]).
//!
//! Times are in seconds on the host's clock; work is in seconds of one core.

mod config;
mod estimates;
mod limits;
mod moving_mean;
mod node;
mod order;
mod queue;
mod queued_request;
mod service_rate;
#[cfg(test)]
mod tests;
mod token_bucket;
mod wait_estimates;

pub use config::{Budget, TenantConfig, ROOT};
pub use queue::{TenantLoad, TenantQueue};
pub use queued_request::QueuedRequest;
pub use wait_estimates::{WaitEstimate, WaitStatistics};
