//! `check`: reads a configuration or operators' files, and prints a summary of each or the first error.

use super::{
    config_path, join_cluster, load_cluster, load_config, load_service, load_store, load_teams, CommandError,
    OperatorFiles, CONFIG_VARIABLE,
};
use crate::config::LoadedConfig;
use crate::files::FileError;
use std::path::{Path, PathBuf};

/// Checks the given operators' files and the configuration. The configuration is skipped if operators' files are given and
/// neither an argument nor the environment variable names a configuration.
///
/// # Errors
/// A file can't be used; the first one is reported. Or no file is given at all.
pub fn run(config: Option<PathBuf>, files: &OperatorFiles) -> Result<(), CommandError> {
    files.service.as_deref().map(check_service).transpose()?;
    files.teams.as_deref().map(check_teams).transpose()?;
    files.cluster.as_deref().map(check_cluster).transpose()?;
    files.store.as_deref().map(check_store).transpose()?;
    let has_config = config.is_some() || std::env::var_os(CONFIG_VARIABLE).is_some();
    if files.any_given() && !has_config {
        return Ok(());
    }
    let config = load_config(&config_path(config)?)?;
    if let Some(path) = &files.cluster {
        join_cluster(path, &config.name, config.seed)?;
    }
    print_config(&config);
    Ok(())
}

fn check_service(path: &Path) -> Result<(), FileError> {
    let file = load_service(path)?;
    let peers: Vec<&str> = file.bgp.peers.iter().map(|peer| peer.name.as_str()).collect();
    let addresses: Vec<String> = file.addresses.iter().map(|prefix| prefix.to_string()).collect();
    println!(
        "{}: AS {}, identifier {}, {} peers ({}), {} addresses ({})",
        path.display(),
        file.bgp.asn,
        file.bgp.identifier,
        peers.len(),
        peers.join(" "),
        addresses.len(),
        addresses.join(" "),
    );
    Ok(())
}

fn check_teams(path: &Path) -> Result<(), FileError> {
    let (queue, names) = load_teams(path)?.tenant_queue(0.0, &[]);
    println!("{}: {} tenants ({})", path.display(), queue.tenant_count(), names.names().join(" "));
    Ok(())
}

fn check_cluster(path: &Path) -> Result<(), FileError> {
    let file = load_cluster(path)?;
    let names: Vec<&str> = file.routers.iter().map(|router| router.name.as_str()).collect();
    println!("{}: cluster {}, {} routers ({})", path.display(), file.name, names.len(), names.join(" "));
    Ok(())
}

fn check_store(path: &Path) -> Result<(), FileError> {
    println!("{}: state is stored in {}", path.display(), load_store(path)?.path.display());
    Ok(())
}

fn print_config(config: &LoadedConfig) {
    for contradiction in &config.contradictions {
        eprintln!("{}: contradictory {contradiction}", config.name);
    }
    let lists = config.known_events.iter().filter_map(|event| event.list.as_ref());
    let engines: usize = lists.map(|list| list.entries.len()).sum();
    println!(
        "{}: listens on {}, {} categories ({}), {} gateways, {engines} engine entries in {} known events",
        config.name,
        config.router.listen,
        config.names.classes.len(),
        config.names.classes.join(" "),
        config.deployment.gateways,
        config.known_events.len()
    );
}
