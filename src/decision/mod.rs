//! All decisions of the gateway, one module per concern.
//!
//! | module | decides |
//! | --- | --- |
//! | `gateway` | nothing: it holds the state, receives events, and calls the other modules once per round |
//! | `rules` | whether an attempt may be made at all, and on a given engine (rules 1 to 7) |
//! | `memory_grant`, `grant_threshold`, `memory_ledger` | memory grants, by comparing the return on consumption with θ |
//! | `engine_selection` | the engine: early in the table group's hash order, fewest threads, grant fits its ledger |
//! | `concurrency_limit`, `peer_load` | whether an engine has capacity for another request |
//! | `priority_lane`, `load_shedding` | which requests engines prefer, and which the gateway rejects |
//! | `retry` | attempt time-outs, overdue attempts, the retry budget |
//! | `slow_start`, `outlier_detection`, `cost_model` | one estimate each, with the evidence for it |
//! | `engine_state` | nothing: it holds the state of each engine, and the indices over the engines |
//! | `attempt_end` | nothing: it updates the estimates when an attempt ends |
//! | `history` | nothing: it restores the state that rules 4 and 7 need after a restart |
//! | `periodic` | nothing: it decays and reviews the estimates at a fixed interval |
//!
//! The basic algorithm is that of Yu and Cornell, "Buffer Management Based on Return on Consumption In a Multi-Query
//! Environment" (1992); `docs/design.md` describes what was kept and what was changed.
//!
//! These terms recur in the modules:
//!
//! - The *pace* of an attempt is its elapsed time divided by its work per thread: the time that a second of work takes, so
//!   a larger pace is slower.
//! - The *value density* of a request is its value per second of its work. A request is *light* if its value density is at
//!   least the mean, and *heavy* otherwise.
//! - The *best grant* of a request is the memory that it is expected to need, including headroom, up to the largest grant
//!   allowed. Its *quarter grant* is a quarter of that memory, before the limit.
//! - This gateway's *fair share* of cores is one thread per core, divided by the number of gateways.
//! - A *tick* is one run of the periodic work.

mod attempt_end;
mod concurrency_limit;
mod cost_model;
mod engine_selection;
mod engine_state;
mod gateway;
mod grant_threshold;
mod history;
mod load_shedding;
mod memory_grant;
mod memory_ledger;
mod outlier_detection;
mod peer_load;
mod periodic;
mod priority_lane;
mod retry;
mod rules;
mod slow_start;
#[cfg(test)]
mod tests;

use engine_state::EngineState;
pub use gateway::Gateway;

/// The interval of the periodic work, in seconds.
const TICK: f64 = 0.25;
