//! `status`: prints a status table of a running router.

use super::CommandError;
use crate::status_query;
use std::net::SocketAddr;

/// Prints the status table of a topic.
///
/// # Errors
/// There is no such topic, the router can't be reached, it refused the query, it did not answer in time, or its answer is too
/// long.
pub fn run(address: SocketAddr, topic: &str) -> Result<(), CommandError> {
    print!("{}", status_query::table(address, topic)?);
    Ok(())
}
