//! Rounds of digests between instances whose host delivers messages but runs no membership, such as the simulator.

use super::{read, write, EngineIncarnation, Observation, PeerDigests, PeerEvidence, QUARTERS};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The time between two rounds, in seconds.
const ROUND_INTERVAL: f64 = 0.5;
/// How many other instances receive a digest in each round.
const FANOUT: usize = 2;
/// The fewest failures for which an engine is reported, in quarters of an attempt, as each message has a cost.
const MIN_FAILURES: u8 = QUARTERS as u8;

/// A digest that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct DueDigest {
    /// The instances that receive it.
    pub receivers: Vec<u16>,
    /// The digest itself.
    pub bytes: Vec<u8>,
}

/// The rounds of one instance. Each round goes to a few receivers chosen at random, and is skipped while there are no
/// failures to report.
#[derive(Debug)]
pub struct DigestRounds {
    received: PeerDigests,
    me: u16,
    instances: u64,
    seed: u64,
    /// How many random numbers have been derived from the seed.
    random_draws: u64,
    /// When the next round is due, in seconds.
    next_round: f64,
}

impl DigestRounds {
    /// The state of instance `me` of `instances`.
    pub fn new(me: u16, instances: u64, seed: u64, now: f64) -> DigestRounds {
        DigestRounds {
            received: PeerDigests::default(),
            me,
            instances,
            seed,
            random_draws: 0,
            next_round: now,
        }
    }

    /// Handles the digest of another instance; `None` if the bytes are not a valid digest.
    pub fn receive(&mut self, from: u16, bytes: &[u8], now: f64) -> Option<()> {
        self.received.receive(from, read(bytes)?, now);
        Some(())
    }

    /// What the other instances report about an engine.
    pub fn evidence_on(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        self.received.evidence_on(engine, now, |_| true)
    }

    /// The digest to send now; `None` if no round is due, or there are no failures to report. Starts the next round.
    pub fn digest_to_send(
        &mut self,
        now: f64,
        observations: impl FnOnce() -> Vec<Observation>,
    ) -> Option<DueDigest> {
        if now < self.next_round || self.instances < 2 {
            return None;
        }
        self.next_round = now + ROUND_INTERVAL;
        let mut observations = observations();
        observations.retain(|observation| observation.failures >= MIN_FAILURES);
        if observations.is_empty() {
            return None;
        }
        let receivers = (0..FANOUT).map(|_| self.random_other()).collect();
        Some(DueDigest { receivers, bytes: write(&observations) })
    }

    /// A random instance other than this one.
    fn random_other(&mut self) -> u16 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        let other = hasher.finish() % (self.instances - 1);
        (other + u64::from(other >= u64::from(self.me))) as u16
    }
}
