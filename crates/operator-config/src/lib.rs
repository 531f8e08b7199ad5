//! Reads and checks the files that operators write. The service file configures the service addresses (which are
//! announced, to which peers, and when), the teams file the tenants that share the engines, the cluster file the
//! routers that know each other, and the store file where a router keeps its state over a restart. The files are JSON,
//! and their schemas are derived from the types.

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
