//! The small stand-ins for what a router talks to, in one place.

pub use crate::clients::client::{login, packet, query, request, Answered, Client};
pub use crate::discovery::Discovery;
pub use crate::engines::engine::{Door, Engine};
pub use crate::recorded_lines::{RecordedLines, GENEROUS};
pub use crate::routers::process::{configuration, counter, vacant, Router};
