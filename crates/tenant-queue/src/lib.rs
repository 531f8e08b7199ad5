//! The queue of held requests: whose turn it is. Tenants share what engines do by weight, in up to three levels; the share is
//! of work, not of requests. No I/O, and nothing is decided here of engines, attempts or rejections: the decision core asks
//! for the next request to try, and for the one to displace where a queue is over its limit.
//!
//! The order between tenants is hierarchical start-time fair queueing (Goyal, Vin and Cheng, "Start-Time Fair Queueing",
//! 1996; Bennett and Zhang, "Hierarchical Packet Fair Queueing Algorithms", 1996): of the tenants that wait, the one goes
//! next whose work so far, for its weight, is least. A tenant that was idle joins where the others are: it has saved
//! nothing. A tenant within its budget goes before one that is over, so unused share is lent and taken back by time.
//! Within a tenant the rank of a request decides, which the decision core hands in, aged or not ([`TenantConfig::ageing`]).
//!
//! Times are seconds on the host's clock, work is seconds of one core.

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
