//! `schema`: prints the JSON schema of a kind of operators' file.

use super::CommandError;
use cleatgw_operator_config::{cluster_schema, service_schema, store_schema, teams_schema};

/// Prints the JSON schema of a kind of file: `service`, `teams`, `cluster` or `store`.
///
/// # Errors
/// `file` is none of these.
pub fn run(file: &str) -> Result<(), CommandError> {
    let schema = match file {
        "service" => service_schema(),
        "teams" => teams_schema(),
        "cluster" => cluster_schema(),
        "store" => store_schema(),
        other => return Err(CommandError::NoSuchSchema(other.to_string())),
    };
    print!("{schema}");
    Ok(())
}
