//! Digests among many instances whose host only carries messages.

use super::{read, write, EngineIncarnation, Observation, PeerDigests, PeerEvidence, QUARTERS};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Between two rounds, in seconds.
const ROUND_INTERVAL: f64 = 0.5;
/// How many others receive a digest in each round.
const FANOUT: usize = 2;
/// Failures that are worth a message, in quarters of an attempt: each message is paid for.
const MIN_FAILURES: u8 = QUARTERS as u8;

/// A digest that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDigest {
    /// The instances that receive it.
    pub receivers: Vec<u16>,
    /// The digest itself.
    pub bytes: Vec<u8>,
}

/// Digests among many instances whose host only carries messages, as the simulator does: the receivers are drawn at random, a
/// few a second, and only while there are failures to report.
#[derive(Debug)]
pub struct DigestRounds {
    received: PeerDigests,
    me: u16,
    instances: u64,
    seed: u64,
    draws: u64,
    next_round: f64,
}

impl DigestRounds {
    /// Instance `me` of so many.
    pub fn new(me: u16, instances: u64, seed: u64, now: f64) -> DigestRounds {
        DigestRounds { received: PeerDigests::default(), me, instances, seed, draws: 0, next_round: now }
    }

    /// Takes the digest of another instance; `None` where the bytes are no digest.
    pub fn receive(&mut self, from: u16, bytes: &[u8], now: f64) -> Option<()> {
        self.received.receive(from, read(bytes)?, now);
        Some(())
    }

    /// What the others report of an engine.
    pub fn evidence_on(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        self.received.evidence_on(engine, now, |_| true)
    }

    /// The digest that is to be sent now: a round is due, and there is something to report.
    pub fn due(&mut self, now: f64, observations: impl FnOnce() -> Vec<Observation>) -> Option<DueDigest> {
        if now < self.next_round || self.instances < 2 {
            return None;
        }
        self.next_round = now + ROUND_INTERVAL;
        let mut observations = observations();
        observations.retain(|observation| observation.failures >= MIN_FAILURES);
        if observations.is_empty() {
            return None;
        }
        let receivers = (0..FANOUT).map(|_| self.draw_other()).collect();
        Some(DueDigest { receivers, bytes: write(&observations) })
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
