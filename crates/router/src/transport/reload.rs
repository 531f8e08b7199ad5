//! SIGHUP: the configuration and the operators' files are read again. One that can't be used changes nothing.

use super::cluster_socket::JoinedCluster;
use super::server::Server;
use crate::files::FileError;
use crate::protocol::discovery::Event;
use cleatgw_operator_config::{ServiceFile, TeamsFile};
use std::net::SocketAddr;

/// Reads a file again.
pub type Reload<T> = Box<dyn Fn() -> Result<T, FileError>>;

/// What a new configuration changes while the router runs.
pub struct ReloadedConfig {
    pub discovery: Option<SocketAddr>,
    pub known: Vec<Event>,
}

/// How each file is read again; none for those that were not given at the start.
pub struct Reloaders {
    pub config: Reload<ReloadedConfig>,
    pub service: Option<Reload<ServiceFile>>,
    pub teams: Option<Reload<TeamsFile>>,
    pub cluster: Option<Reload<JoinedCluster>>,
}

impl Server {
    /// Reads everything again.
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
                log::info!(teams = file.teams.len(); "teams file taken");
                self.routing.set_tenants(file);
            }
            Err(error) => self.refuse("teams file", &error),
        }
    }

    fn reload_cluster(&mut self) {
        let Some(reload) = &self.reloaders.cluster else { return };
        match reload() {
            Ok(cluster) => self.subsystems.change_cluster(cluster),
            Err(error) => self.refuse("cluster file", &error),
        }
    }

    fn reload_service(&mut self) {
        let Some(reload) = &self.reloaders.service else { return };
        match reload() {
            Ok(file) => self.subsystems.change_service(file),
            Err(error) => self.refuse("service file", &error),
        }
    }

    fn reload_config(&mut self, now: f64) {
        match (self.reloaders.config)() {
            Ok(ReloadedConfig { discovery, known }) => {
                let former = self.discovery.reconfigure(discovery, known, now, &mut self.input.list_events);
                if let Some(token) = former {
                    self.handle.remove(token);
                }
            }
            Err(error) => self.refuse("configuration", &error),
        }
    }

    fn refuse(&mut self, what: &str, error: &FileError) {
        self.counters.reloads_refused += 1;
        log::warn!("the {what} is not taken, the running one stands: {error}");
    }
}
