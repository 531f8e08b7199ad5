//! Every decision of the gateway, one module for each concern.
//!
//! | module | decides |
//! | --- | --- |
//! | `gateway` | nothing: it holds the state, takes events, and calls the others once a round |
//! | `rules` | whether an attempt may be made at all, and on this engine (rules 1 to 7) |
//! | `memory_grant`, `grant_threshold`, `memory_ledger` | memory by return on consumption against θ |
//! | `engine_selection` | which engine: early in the table group's hash order, fewest threads, fitting ledger |
//! | `concurrency_limit`, `peer_load` | when an engine has no capacity left |
//! | `priority_lane`, `load_shedding` | what goes first, and what is rejected |
//! | `retry` | attempt time-outs, overdue attempts, the budget of retries |
//! | `slow_start`, `outlier_detection`, `cost_model` | one estimate each, with its evidence |
//!
//! The ordinary path is that of Yu and Cornell, "Buffer Management Based on Return on Consumption In a Multi-Query
//! Environment" (1992); `docs/design.md` says what was kept and what was changed.

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

/// Seconds between two runs of the periodic work.
const TICK: f64 = 0.25;
