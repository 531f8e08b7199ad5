//! When each router was last heard directly, which outweighs the word of others that it is down.

use super::Life;

/// When we last heard each router ourselves, and in which life.
#[derive(Debug)]
pub struct Ears {
    pub now: f64,
    pub(super) on: bool,
    pub(super) heard: Vec<Option<(u64, f64)>>,
}

impl Ears {
    /// What was heard so lately is alive, whatever others say. Seconds.
    pub(super) const FRESH: f64 = 1.0;
    /// How much longer it may take to hear each of all for one more of them: three times what gossip takes. Seconds.
    pub(super) const EACH: f64 = 0.1;

    pub(super) fn hears(&self, life: &Life) -> bool {
        let heard = self.heard.get(usize::from(life.router)).copied().flatten();
        self.on && heard.is_some_and(|(born, at)| born >= life.born && self.now - at < Self::FRESH)
    }

    pub fn heard(&self, router: usize) -> Option<(u64, f64)> {
        self.heard.get(router).copied().flatten()
    }

    /// Tells whether it was heard in a life not younger than what is known already.
    pub fn hear(&mut self, router: usize, born: u64) -> bool {
        let known = &mut self.heard[router];
        if known.is_some_and(|(youngest, _)| youngest > born) {
            return false;
        }
        *known = Some((born, self.now));
        true
    }
}
