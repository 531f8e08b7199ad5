//! What both hosts need where routers tell each other of engines.

use cleatgw::Listing;
use cleatgw_members::digest::EngineLife;

/// An engine as routers tell each other of it: in the life that the list gives it.
pub fn engine_life(listing: &Listing) -> EngineLife {
    let since = listing.since.unwrap_or(0.0).to_bits();
    EngineLife { name: listing.name_hash, life: (since ^ (since >> 32)) as u32 }
}
