//! The operators' files: on service addresses (which are announced, to whom, and when), on teams (who shares the engines,
//! and how), on the cluster (which routers know each other) and on the store (what is kept over a restart). JSON, with
//! schemas derived from the types.

mod bgp;
mod cluster;
mod error;
mod reader;
mod service;
mod store;
mod teams;
#[cfg(test)]
mod tests;

pub use bgp::{BgpPart, PeerPart, RolePart};
pub use cluster::{cluster_schema, read_cluster, ClusterFile, PacePart, RouterPart};
pub use error::OperatorFileError;
pub use reader::MAX_FILE_BYTES;
pub use service::{
    read_service, service_schema, DampingPart, EffectPart, HealthCheckPart, HealthChecksPart, HoldPart,
    PathPreferencePart, ServiceFile,
};
pub use store::{read_store, store_schema, StoreFile};
pub use teams::{read_teams, teams_schema, BudgetPart, OthersPart, TeamsFile, TenantNames, TenantPart};

pub(crate) use error::invalid;
pub(crate) use reader::{read_checked, schema_text, OperatorFile};
