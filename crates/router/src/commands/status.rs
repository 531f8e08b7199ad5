//! `status`: asks a router how something stands.

use super::CommandError;
use crate::status_query;
use std::net::SocketAddr;

/// Prints the table of a topic.
///
/// # Errors
/// There is no such topic, or no answer.
pub fn run(address: SocketAddr, topic: &str) -> Result<(), CommandError> {
    print!("{}", status_query::table(address, topic)?);
    Ok(())
}
