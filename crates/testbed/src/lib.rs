//! Stand-ins for what the router talks to, shared by tests and tools. Everything stays on loopback or in virtual time.

pub mod capacity;
pub mod cluster;
pub mod comeback;
pub mod drain;
pub mod far;
pub mod flap;
pub mod fleet;
pub mod judge;
pub mod line;
pub mod load;
pub mod members;
pub mod peering;
pub mod relays;
pub mod shared;
pub mod shim;
pub mod standins;
pub mod streams;
pub mod tenants;
pub mod verdict;
pub mod virtual_comeback;
pub mod virtual_members;
pub mod weather;

/// The Unix time in seconds.
pub fn unix_time() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}

/// A state of a model that is told from others by its `digest`, all that what follows depends on.
#[macro_export]
macro_rules! told_by_digest {
    ($state:ty) => {
        impl std::hash::Hash for $state {
            fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
                self.digest().hash(hasher);
            }
        }

        impl PartialEq for $state {
            fn eq(&self, other: &$state) -> bool {
                self.digest() == other.digest()
            }
        }
    };
}
