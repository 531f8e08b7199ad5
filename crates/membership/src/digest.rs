//! What routers report to each other of engines: short digests of what each has observed itself. Nothing that came from others
//! is passed on, so no rumour comes back as evidence; each source counts once for an engine, by its latest digest; and what
//! was reported of a former incarnation of an engine does not count.

mod rounds;

pub use rounds::{DigestRounds, DueDigest};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A digest is no longer than this, in bytes: it rides on heartbeats.
pub const MAX_DIGEST: usize = 256;
/// Engines that one digest reports on: as many as fit, with their longest numbers.
pub const MAX_OBSERVATIONS: usize = 12;
/// An observation is worth nothing after this, in seconds: an engine that was ill then may be well.
pub const OBSERVATION_LIFETIME: f64 = 4.0;
/// Engines of which one source is remembered.
const MAX_ENGINES_OF_SOURCE: usize = 64;
/// What one source can weigh at most against an engine, so that a lying or frozen one convinces nobody alone.
const MAX_WEIGHT_OF_SOURCE: f64 = 1.0;
/// Attempts are reported in quarters.
const QUARTERS: f64 = 4.0;
/// Work is reported in milliseconds.
const MS_PER_S: f64 = 1e3;

/// An engine in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// A hash of its name.
    pub name: u64,
    /// A hash of its start.
    pub incarnation: u32,
}

/// What a router has observed of one engine of late, in its own traffic: faded with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnEvidence {
    /// Attempts that succeeded.
    pub successes: f64,
    /// Attempts that failed.
    pub failures: f64,
    /// Work that was sent to it during its slow start, in the window in which that counts. Seconds.
    pub slow_start_work: f64,
}

/// The same as it is reported. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The engine.
    pub engine: EngineIncarnation,
    /// Attempts that succeeded, in quarters.
    pub successes: u8,
    /// Attempts that failed, in quarters.
    pub failures: u8,
    /// Work that was sent to it during its slow start. Milliseconds.
    pub slow_start_work: u16,
}

impl Observation {
    fn new(engine: EngineIncarnation, evidence: &OwnEvidence) -> Observation {
        let quarters = |attempts: f64| (attempts * QUARTERS).round().clamp(0.0, f64::from(u8::MAX)) as u8;
        let work = evidence.slow_start_work * MS_PER_S;
        Observation {
            engine,
            successes: quarters(evidence.successes),
            failures: quarters(evidence.failures),
            slow_start_work: work.ceil().clamp(0.0, f64::from(u16::MAX)) as u16,
        }
    }

    fn is_empty(&self) -> bool {
        self.successes == 0 && self.failures == 0 && self.slow_start_work == 0
    }
}

/// What is reported of what was observed. Engines with the most failures come first, then those with the most work.
pub fn observations(evidence: impl Iterator<Item = (EngineIncarnation, OwnEvidence)>) -> Vec<Observation> {
    let observed = evidence.map(|(engine, evidence)| Observation::new(engine, &evidence));
    let mut observations: Vec<Observation> = observed.filter(|observation| !observation.is_empty()).collect();
    observations.sort_by_key(|seen| (Reverse((seen.failures, seen.slow_start_work)), seen.engine));
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// Writes the observations that fit, the first ones first; all of one digest are of one time.
pub fn write(observations: &[Observation]) -> Vec<u8> {
    let mut count = observations.len().min(MAX_OBSERVATIONS);
    loop {
        let bytes = postcard::to_extend(&observations[..count], Vec::new()).unwrap_or_default();
        if bytes.len() <= MAX_DIGEST || count == 0 {
            return bytes;
        }
        count -= 1;
    }
}

/// Reads a digest; `None` where the bytes are none.
pub fn read(bytes: &[u8]) -> Option<Vec<Observation>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    if bytes.len() > MAX_DIGEST {
        return None;
    }
    // Each observation takes some bytes, so a count that promises more than there are is refused.
    let observations: Vec<Observation> = postcard::from_bytes(bytes).ok()?;
    (observations.len() <= MAX_OBSERVATIONS).then_some(observations)
}

/// What all sources together report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerEvidence {
    /// How many report more failures than successes.
    pub reporting_failures: usize,
    /// How many report no more failures than successes.
    pub reporting_successes: usize,
    /// Evidence against it, each source no more than one, faded with age.
    pub failures: f64,
    /// Evidence for it, likewise.
    pub successes: f64,
    /// What they sent it during its slow start, in seconds of work: it does not fade, as it makes quotas smaller.
    pub slow_start_work: f64,
}

impl PeerEvidence {
    /// Adds what one source has observed, which is worth less with age: `fresh` is 1 for now and 0 for [`OBSERVATION_LIFETIME`] ago.
    fn add(&mut self, seen: &Observation, fresh: f64) {
        if fresh <= 0.0 {
            return;
        }
        self.slow_start_work += f64::from(seen.slow_start_work) / MS_PER_S;
        let failures = f64::from(seen.failures) / QUARTERS;
        let successes = f64::from(seen.successes) / QUARTERS;
        let all = failures + successes;
        if all == 0.0 {
            return;
        }
        let weight = fresh * all.min(MAX_WEIGHT_OF_SOURCE);
        self.failures += weight * failures / all;
        self.successes += weight * successes / all;
        if failures > successes {
            self.reporting_failures += 1;
        } else {
            self.reporting_successes += 1;
        }
    }
}

/// An observation, and when it was received, in seconds.
#[derive(Clone, Copy, Debug)]
struct ReceivedObservation {
    at: f64,
    observation: Observation,
}

/// The digests that were received, by source.
#[derive(Debug, Default)]
pub struct PeerDigests {
    by_source: BTreeMap<u16, BTreeMap<EngineIncarnation, ReceivedObservation>>,
}

impl PeerDigests {
    /// Takes a source's digest in place of its former one, engine by engine.
    pub fn receive(&mut self, source: u16, observations: Vec<Observation>, now: f64) {
        let engines = self.by_source.entry(source).or_default();
        engines.retain(|_, received| now < received.at + OBSERVATION_LIFETIME);
        for observation in observations {
            if engines.len() < MAX_ENGINES_OF_SOURCE || engines.contains_key(&observation.engine) {
                engines.insert(observation.engine, ReceivedObservation { at: now, observation });
            }
        }
    }

    /// Forgets a source that has failed, or reports from a new incarnation.
    pub fn forget(&mut self, source: u16) {
        self.by_source.remove(&source);
    }

    /// What those sources that are `trusted` report of an engine.
    pub fn evidence_on(
        &self,
        engine: &EngineIncarnation,
        now: f64,
        trusted: impl Fn(u16) -> bool,
    ) -> PeerEvidence {
        let mut evidence = PeerEvidence::default();
        for (_, engines) in self.by_source.iter().filter(|(source, _)| trusted(**source)) {
            if let Some(received) = engines.get(engine) {
                evidence.add(&received.observation, 1.0 - (now - received.at) / OBSERVATION_LIFETIME);
            }
        }
        evidence
    }
}

#[cfg(test)]
mod tests;
