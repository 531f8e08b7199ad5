//! The event loop of the router, its sockets and connections, and the reading and writing of them.

mod bgp_connection;
mod bgp_speaker;
mod buffer;
mod client_listener;
mod client_session;
mod client_sessions;
mod clients_and_engines;
mod clock;
mod cluster_socket;
mod connection_index;
mod connection_pool;
mod discovery_client;
mod engine_connection;
mod engine_exchange;
mod event_loop;
mod event_source;
mod health;
mod memory_limits;
mod panic_guard;
mod reload;
mod server;
mod shutdown;
mod sockets;
mod store_writer;
mod subsystems;
#[cfg(test)]
mod tests;

pub use clock::unix_time;
pub use cluster_socket::JoinedCluster;
pub use reload::{Reload, ReloadedConfig, Reloaders};
pub use server::{serve, RouterSettings};
pub use subsystems::{ServiceSettings, StoreSettings, SubsystemSettings};
