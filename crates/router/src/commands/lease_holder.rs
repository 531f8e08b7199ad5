//! `holds`: succeeds if a router holds the lease of a leader role now.

use super::CommandError;
use crate::status_query;
use std::net::SocketAddr;

/// Prints the row of the role, with its epoch.
///
/// # Errors
/// The router does not hold the role or does not know it, or [`status_query::table`] fails.
pub fn run(address: SocketAddr, role: &str) -> Result<(), CommandError> {
    println!("{}", status_query::held_role(address, role)?);
    Ok(())
}
