//! `serve`: serves clients until a signal stops the program.

use super::{
    config_path, join_cluster, load_config, load_service, load_store, load_teams, CommandError, OperatorFiles,
};
use crate::config::{FixedFields, LoadedConfig};
use crate::files::FileError;
use crate::routing::{Routing, TurnInput};
use crate::transport::{
    self, unix_time, Reload, ReloadedConfig, Reloaders, ServiceSettings, StoreSettings, SubsystemSettings,
};
use cleatgw_deployment_config::name_hash;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::path::{Path, PathBuf};

/// Serves clients with this configuration and these operators' files.
///
/// # Errors
/// A file can't be used, the router can't listen on an address, a thread can't be started, or the event loop fails.
pub fn run(config: Option<PathBuf>, files: OperatorFiles) -> Result<(), CommandError> {
    let config_path = config_path(config)?;
    let mut config = load_config(&config_path)?;
    let subsystems = subsystem_settings(&config, &files)?;
    let teams = files.teams.as_deref().map(load_teams).transpose()?;
    config.router.descriptors = allowed_descriptors(config.router.descriptors as u64) as usize;
    log::info!("{} starts, version {}", config.name, env!("CARGO_PKG_VERSION"));
    for contradiction in &config.contradictions {
        log::warn!("configuration: contradictory {contradiction}");
    }
    let reloaders = reloaders(config_path, &files, &config);
    let mut routing = Routing::new(config.deployment, config.names, config.seed, unix_time());
    if let Some(teams) = teams {
        routing.set_tenants(teams);
    }
    let input = TurnInput { list_events: config.known_events, ..TurnInput::default() };
    let listen = config.router.listen;
    let counters = transport::serve(config.router, routing, input, subsystems, reloaders)
        .map_err(|source| CommandError::Serve { listen, source })?;
    log::info!("counters: {counters}");
    Ok(())
}

fn subsystem_settings(config: &LoadedConfig, files: &OperatorFiles) -> Result<SubsystemSettings, FileError> {
    let service = files.service.as_deref().map(load_service).transpose()?;
    let store = files.store.as_deref().map(load_store).transpose()?;
    let join = |path: &Path| join_cluster(path, &config.name, config.seed);
    Ok(SubsystemSettings {
        service: service.map(|file| ServiceSettings { file, seed: config.seed }),
        store: store.map(|file| StoreSettings { file, owner: name_hash(&config.name) }),
        cluster: files.cluster.as_deref().map(join).transpose()?,
    })
}

/// The functions that read each file again on a reload.
fn reloaders(config_path: PathBuf, files: &OperatorFiles, config: &LoadedConfig) -> Reloaders {
    let fixed = config.fixed.clone();
    let name = config.name.clone();
    let seed = config.seed;
    let cluster = files.cluster.clone().map(|path| {
        let reload: Reload<_> = Box::new(move || join_cluster(&path, &name, seed));
        reload
    });
    Reloaders {
        config: Box::new(move || reload_config(&config_path, &fixed)),
        service: files.service.clone().map(|path| -> Reload<_> { Box::new(move || load_service(&path)) }),
        teams: files.teams.clone().map(|path| -> Reload<_> { Box::new(move || load_teams(&path)) }),
        cluster,
    }
}

/// Reads the configuration again and returns the fields that are applied while the router runs. Changes to the fixed fields
/// (see [`FixedFields`]) are logged and have no effect. Other changes, such as to the seed, are ignored.
fn reload_config(path: &Path, fixed: &FixedFields) -> Result<ReloadedConfig, FileError> {
    let config = load_config(path)?;
    let changed = fixed.changed_in(&config.fixed);
    if !changed.is_empty() {
        log::warn!(
            "configuration: {} can't change while running, the values from the start stay in effect",
            changed.join(", ")
        );
    }
    Ok(ReloadedConfig { discovery: config.router.discovery, known: config.known_events })
}

/// Raises the process's limit of open file descriptors to `configured` if it is lower. Returns how many the router may use:
/// `configured`, or less if the system allows only less.
fn allowed_descriptors(configured: u64) -> u64 {
    let limit = getrlimit(Resource::Nofile);
    let wanted = configured.min(limit.maximum.unwrap_or(u64::MAX));
    match limit.current {
        Some(current) if current < wanted => {
            let raised = Rlimit { current: Some(wanted), ..limit };
            setrlimit(Resource::Nofile, raised).map_or(current, |()| wanted)
        }
        _ => wanted,
    }
}
