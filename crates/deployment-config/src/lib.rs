//! Reads the settings that a deployment has at the start: `path=value` pairs as the simulator sends them, or the same
//! as nested JSON. The results are the parameters of the decision module, the names that its indices stand for, and the
//! limits of connections to engines.

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
