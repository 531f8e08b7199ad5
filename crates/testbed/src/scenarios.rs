//! What `cleatgw-testbed` plays, a module for each scenario.

pub mod announcers;
pub mod drain;
pub mod flap;
pub mod membership;
pub mod recovery;
pub mod tenant_queue;
pub mod tenants;
pub mod virtual_membership;
pub mod virtual_recovery;
