//! Digests among many instances whose host only carries messages.

use super::{read, write, EngineIncarnation, Observation, PeerDigests, PeerEvidence, QUARTERS};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Between two rounds, in seconds.
const ROUND_INTERVAL: f64 = 0.5;
/// How many others are told in each round.
const FANOUT: usize = 2;
/// Trouble that is worth a message, in quarters of an attempt: each message is paid for.
const MIN_TROUBLE: u8 = QUARTERS as u8;

/// Digests among many instances whose host only carries messages, as the simulator does: who is told is drawn by chance, a
/// few a second, and only while there is trouble to tell of.
#[derive(Debug)]
pub struct Rounds {
    heard: PeerDigests,
    me: u16,
    instances: u64,
    seed: u64,
    draws: u64,
    next_round: f64,
}

impl Rounds {
    /// Instance `me` of so many.
    pub fn new(me: u16, instances: u64, seed: u64, now: f64) -> Rounds {
        Rounds { heard: PeerDigests::default(), me, instances, seed, draws: 0, next_round: now }
    }

    /// Takes the digest of another instance; `None` where the bytes are no digest.
    pub fn hear(&mut self, from: u16, bytes: &[u8], now: f64) -> Option<()> {
        self.heard.hear(from, read(bytes)?, now);
        Some(())
    }

    /// What the others say of an engine.
    pub fn said(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        self.heard.of(engine, now, |_| true)
    }

    /// Where a round is due and there is something to tell: the instances to be told, and the digest.
    pub fn due(
        &mut self,
        now: f64,
        observations: impl FnOnce() -> Vec<Observation>,
    ) -> Option<(Vec<u16>, Vec<u8>)> {
        if now < self.next_round || self.instances < 2 {
            return None;
        }
        self.next_round = now + ROUND_INTERVAL;
        let mut observations = observations();
        observations.retain(|observation| observation.bad >= MIN_TROUBLE);
        if observations.is_empty() {
            return None;
        }
        let receivers = (0..FANOUT).map(|_| self.draw_other()).collect();
        Some((receivers, write(&observations)))
    }

    /// Any instance but this one.
    fn draw_other(&mut self) -> u16 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        let other = hasher.finish() % (self.instances - 1);
        (other + u64::from(other >= u64::from(self.me))) as u16
    }
}
