//! `status`: prints a status table of a running router.

use super::CommandError;
use crate::status_query;
use std::net::SocketAddr;

/// Prints the status table of a topic.
///
/// # Errors
/// There is no such topic, the router refused the query, or it did not answer.
pub fn run(address: SocketAddr, topic: &str) -> Result<(), CommandError> {
    print!("{}", status_query::table(address, topic)?);
    Ok(())
}
