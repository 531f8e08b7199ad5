//! Clients of routers.

pub mod client;
pub mod load;
