//! Stand-ins for what the router talks to, shared by tests and tools. Everything stays on loopback or in virtual time.

pub mod capacity;
pub mod checkers;
pub mod clients;
pub mod command_line;
pub mod discovery;
pub mod engines;
pub mod faults;
pub mod recorded_lines;
pub mod routers;
pub mod scenarios;
pub mod stand_ins;

/// The Unix time in seconds.
pub fn unix_time() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}

/// A state of a model that is told from others by its `digest`, all that what follows depends on.
#[macro_export]
macro_rules! identify_by_digest {
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
