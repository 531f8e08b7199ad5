//! What both hosts need where routers tell each other of engines.

use cleatgw::EngineListing;
use cleatgw_membership::digest::EngineIncarnation;

/// An engine as routers tell each other of it: in the incarnation that the list gives it.
pub fn engine_incarnation(listing: &EngineListing) -> EngineIncarnation {
    let since = listing.started_at.unwrap_or(0.0).to_bits();
    EngineIncarnation { name: listing.name_hash, incarnation: (since ^ (since >> 32)) as u32 }
}
