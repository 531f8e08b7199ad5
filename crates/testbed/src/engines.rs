//! Engines that routers talk to.

pub mod engine;
pub mod shared_engine;
