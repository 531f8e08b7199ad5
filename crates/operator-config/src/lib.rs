//! The operator's files: on service addresses (which are announced, to whom, and when), on teams (who shares the engines,
//! and how) and on the cluster (which routers know each other). JSON, with schemas derived from the types; an error names the field by its path, what was expected and what stood there.

mod bgp;
mod cluster;
mod service;
mod store;
mod teams;

pub use bgp::{BgpPart, PeerPart, RolePart};
pub use cluster::{cluster_schema, read_cluster, ClusterFile, PacePart, RouterPart};
pub use service::{DampingPart, DearPart, EffectPart, HoldPart, ServiceFile, SignPart, SignsPart};

pub use store::{read_store, store_schema, StoreFile};
pub use teams::{read_teams, teams_schema, BudgetPart, OthersPart, TeamNames, TeamPart, TeamsFile};

use serde::de::DeserializeOwned;
use std::fmt::Display;

/// What is wrong with a file: `field PATH: expected …, got …`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong(pub String);

/// A field whose value can be read but does not do.
pub(crate) fn wrong<T>(path: impl Display, expected: &str, got: impl Display) -> Result<T, Wrong> {
    Err(Wrong(format!("field {path}: expected {expected}, got {got}")))
}

/// A file is no longer than this, in bytes.
pub const LONGEST: usize = 1024 * 1024;

/// Reads a file's text, and checks what it says.
///
/// # Errors
/// The first thing that is wrong, by the field's path. An unknown field is one.
pub fn read(text: &str) -> Result<ServiceFile, Wrong> {
    if text.len() > LONGEST {
        return Err(Wrong(format!("expected at most {LONGEST} bytes, got {}", text.len())));
    }
    let file: ServiceFile = parse(text)?;
    file.check()?;
    Ok(file)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Wrong> {
    let mut json = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let what = error.into_inner();
        match path.as_str() {
            _ if what.is_syntax() || what.is_eof() => Wrong(format!("expected JSON: {what}")),
            "." => Wrong(what.to_string()),
            _ => Wrong(format!("field {path}: {what}")),
        }
    })?;
    json.end().map_err(|error| Wrong(format!("expected the end of the JSON: {error}")))?;
    Ok(read)
}

/// The schema of the file, as it is checked in under `deploy/`.
pub fn schema() -> String {
    let schema = schemars::schema_for!(ServiceFile);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}

#[cfg(test)]
mod tests;
