//! SIGHUP: reads the configuration and the operators' files again. A file that can't be used changes nothing.

use super::cluster_socket::JoinedCluster;
use super::server::Server;
use crate::files::FileError;
use crate::protocol::discovery::Event;
use cleatgw_operator_config::{ServiceFile, TeamsFile};
use std::net::SocketAddr;

/// Reads a file again.
pub type Reload<T> = Box<dyn Fn() -> Result<T, FileError>>;

/// The fields of a new configuration that are applied while the router runs.
pub struct ReloadedConfig {
    /// The address of the discovery service, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The events of the discovery service that the configuration lists.
    pub known: Vec<Event>,
}

/// How each file is read again; none for a file that was not given at the start.
pub struct Reloaders {
    pub config: Reload<ReloadedConfig>,
    pub service: Option<Reload<ServiceFile>>,
    pub teams: Option<Reload<TeamsFile>>,
    pub cluster: Option<Reload<JoinedCluster>>,
}

impl Server {
    /// Reads all files again and applies those that can be used.
    pub(super) fn reload(&mut self, now: f64) {
        self.counters.reloads += 1;
        self.reload_teams();
        self.reload_cluster();
        self.reload_service();
        self.reload_config(now);
    }

    fn reload_teams(&mut self) {
        let Some(reload) = &self.reloaders.teams else { return };
        match reload() {
            Ok(file) => {
                log::info!(teams = file.teams.len(); "teams file applied");
                self.routing.set_tenants(file);
            }
            Err(error) => self.refuse("teams file", &error),
        }
    }

    fn reload_cluster(&mut self) {
        let Some(reload) = &self.reloaders.cluster else { return };
        match reload() {
            Ok(cluster) => self.subsystems.apply_cluster_file(cluster),
            Err(error) => self.refuse("cluster file", &error),
        }
    }

    fn reload_service(&mut self) {
        let Some(reload) = &self.reloaders.service else { return };
        match reload() {
            Ok(file) => self.subsystems.apply_service_file(file),
            Err(error) => self.refuse("service file", &error),
        }
    }

    fn reload_config(&mut self, now: f64) {
        match (self.reloaders.config)() {
            Ok(ReloadedConfig { discovery, known }) => {
                let replaced = self.discovery.reconfigure(discovery, known, now, &mut self.input.list_events);
                if let Some(token) = replaced {
                    self.handle.remove(token);
                }
            }
            Err(error) => self.refuse("configuration", &error),
        }
    }

    fn refuse(&mut self, file: &str, error: &FileError) {
        self.counters.reloads_refused += 1;
        log::warn!("the {file} is not applied, the running one stays in effect: {error}");
    }
}
