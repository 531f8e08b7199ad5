//! `schema`: prints the schema of an operators' file.

use super::CommandError;
use cleatgw_operator_config::{cluster_schema, service_schema, store_schema, teams_schema};

/// Prints the schema of the kind of file that `file` names.
///
/// # Errors
/// There is no such kind.
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
