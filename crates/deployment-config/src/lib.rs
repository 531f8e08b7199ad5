//! Reads what a deployment states at the start: `path=value` pairs of the simulator's wire, or the same as nested JSON, into
//! what the decisions are told, the names behind the small indices, and what connections need to know.

mod contradictions;
mod engine_incarnation;
mod error;
mod names;
mod reader;
mod settings;
#[cfg(test)]
mod tests;

pub use contradictions::Contradiction;
pub use engine_incarnation::engine_incarnation;
pub use error::SettingError;
pub use names::{index_of, name_hash, Names};
pub use reader::{read_deployment, NamedDeployment};
pub use settings::{normalize_name, ConnectionLimits, PeerInstance, Settings};
