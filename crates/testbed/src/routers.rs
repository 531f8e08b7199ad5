//! Real routers, and the routing peers beside them.

pub mod bgp_peer;
pub mod cluster;
pub mod process;
pub mod routing_peer;
