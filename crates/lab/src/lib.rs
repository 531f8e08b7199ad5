//! Stand-ins for what the router talks to, shared by tests and tools. Everything stays on loopback or in virtual time.

pub mod drain;
pub mod far;
pub mod flap;
pub mod fleet;
pub mod line;
pub mod peering;
pub mod shared;
pub mod standins;
pub mod teams;
