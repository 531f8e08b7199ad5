//! The commands of the program, one module for each.

pub mod check;
pub mod lease_holder;
pub mod schema;
pub mod serve;
pub mod status;

use crate::config::{self, LoadedConfig};
use crate::files::{read_file, FileError};
use crate::status_query::StatusError;
use crate::transport::{unix_time, JoinedCluster};
use cleatgw_operator_config::{
    read_cluster, read_service, read_store, read_teams, ClusterFile, ServiceFile, StoreFile, TeamsFile,
};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The environment variable that names the configuration file if no argument does.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
const MS_PER_S: f64 = 1e3;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("no configuration: give --config FILE or set {CONFIG_VARIABLE}")]
    NoConfig,
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{listen}: {source}")]
    Serve { listen: SocketAddr, source: io::Error },
    #[error(transparent)]
    Status(#[from] StatusError),
    #[error("unknown kind of file {0:?}: expected service, teams, cluster or store")]
    NoSuchSchema(String),
}

/// The paths of the operators' files. Each file may be absent.
#[derive(Clone, Debug, Default)]
pub struct OperatorFiles {
    pub service: Option<PathBuf>,
    pub teams: Option<PathBuf>,
    pub cluster: Option<PathBuf>,
    pub store: Option<PathBuf>,
}

impl OperatorFiles {
    /// Whether at least one file is given.
    fn any_given(&self) -> bool {
        self.service.is_some() || self.teams.is_some() || self.cluster.is_some() || self.store.is_some()
    }
}

/// The path of the configuration: that of the argument, or else that of the environment variable.
fn config_path(argument: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let path = argument.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    path.ok_or(CommandError::NoConfig)
}

fn load_config(path: &Path) -> Result<LoadedConfig, FileError> {
    read_file(path, config::read)
}

fn load_service(path: &Path) -> Result<ServiceFile, FileError> {
    read_file(path, read_service)
}

fn load_teams(path: &Path) -> Result<TeamsFile, FileError> {
    read_file(path, read_teams)
}

fn load_cluster(path: &Path) -> Result<ClusterFile, FileError> {
    read_file(path, read_cluster)
}

fn load_store(path: &Path) -> Result<StoreFile, FileError> {
    read_file(path, read_store)
}

/// The cluster file and the place in it of the router with this name. The number of the
/// router's incarnation, `generation`, is the Unix time in milliseconds at which it begins, which is now.
fn join_cluster(path: &Path, name: &str, seed: u64) -> Result<JoinedCluster, FileError> {
    let file = load_cluster(path)?;
    let place = file.router_index(name).map_err(|error| FileError::new(path, error))?;
    Ok(JoinedCluster { file, place, generation: (unix_time() * MS_PER_S) as u64, seed })
}
