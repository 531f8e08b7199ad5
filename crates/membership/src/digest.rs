//! Digests: what routers report to each other about engines. A digest contains only what its sender has observed
//! itself. Reports of others are not passed on, so that a report can't come back as independent evidence. Each source
//! counts once for an engine, by its latest digest, and reports about an earlier incarnation of an engine are
//! ignored.

mod rounds;

pub use rounds::{DigestRounds, DueDigest};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The longest digest, in bytes. Digests are sent within heartbeats.
pub const MAX_DIGEST: usize = 256;
/// The most engines in one digest: as many as fit when all numbers have their longest encoding.
pub const MAX_OBSERVATIONS: usize = 12;
/// The age at which an observation no longer counts, in seconds: an engine that failed then may have recovered.
pub const OBSERVATION_LIFETIME: f64 = 4.0;
/// The most engines for which observations of one source are kept.
const MAX_ENGINES_OF_SOURCE: usize = 64;
/// The largest weight of one source's report on an engine, so that one faulty or frozen source can't decide alone.
const MAX_WEIGHT_OF_SOURCE: f64 = 1.0;
/// Numbers of attempts are reported in units of a quarter.
const QUARTERS: f64 = 4.0;
/// Work is reported in milliseconds.
const MS_PER_S: f64 = 1e3;

/// One incarnation of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// A hash of the engine's name.
    pub name: u64,
    /// A hash that tells the engine's starts apart.
    pub incarnation: u32,
}

/// What a router has recently observed of one engine in its own traffic, reduced with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnEvidence {
    /// Attempts that succeeded.
    pub successes: f64,
    /// Attempts that failed.
    pub failures: f64,
    /// Work that was sent to the engine within the window of its slow start, in seconds.
    pub slow_start_work: f64,
}

/// [`OwnEvidence`] as it is reported to others. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The engine.
    pub engine: EngineIncarnation,
    /// Attempts that succeeded, in quarters.
    pub successes: u8,
    /// Attempts that failed, in quarters.
    pub failures: u8,
    /// Work that was sent to the engine during its slow start, in milliseconds.
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

/// The observations to report. Engines with the most failures come first, then those with the most work in their slow
/// start.
pub fn observations(evidence: impl Iterator<Item = (EngineIncarnation, OwnEvidence)>) -> Vec<Observation> {
    let observed = evidence.map(|(engine, evidence)| Observation::new(engine, &evidence));
    let mut observations: Vec<Observation> = observed.filter(|observation| !observation.is_empty()).collect();
    observations.sort_by_key(|observation| {
        (Reverse((observation.failures, observation.slow_start_work)), observation.engine)
    });
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// Encodes as many of the first observations as fit. All observations of one digest count as made at the same time.
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

/// Decodes a digest; `None` if the bytes are not a valid digest.
pub fn read(bytes: &[u8]) -> Option<Vec<Observation>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    if bytes.len() > MAX_DIGEST {
        return None;
    }
    // Each observation takes some bytes, so a count that exceeds the bytes that follow is rejected.
    let observations: Vec<Observation> = postcard::from_bytes(bytes).ok()?;
    (observations.len() <= MAX_OBSERVATIONS).then_some(observations)
}

/// What all sources together report about an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerEvidence {
    /// The number of sources that report more failures than successes.
    pub reporting_failures: usize,
    /// The number of sources that report at least as many successes as failures.
    pub reporting_successes: usize,
    /// Failures: the sum over all sources, each of which weighs at most 1 and less with the age of its report.
    pub failures: f64,
    /// Successes, weighted in the same way.
    pub successes: f64,
    /// Work that the sources sent to the engine during its slow start, in seconds. It is not reduced with age, as it
    /// only makes the amount smaller that this router may send.
    pub slow_start_work: f64,
}

impl PeerEvidence {
    /// Adds the observation of one source. `freshness` is its weight by age: 1 for now, 0 for
    /// [`OBSERVATION_LIFETIME`] ago.
    fn add(&mut self, observation: &Observation, freshness: f64) {
        if freshness <= 0.0 {
            return;
        }
        self.slow_start_work += f64::from(observation.slow_start_work) / MS_PER_S;
        let failures = f64::from(observation.failures) / QUARTERS;
        let successes = f64::from(observation.successes) / QUARTERS;
        let attempts = failures + successes;
        if attempts == 0.0 {
            return;
        }
        let weight = freshness * attempts.min(MAX_WEIGHT_OF_SOURCE);
        self.failures += weight * failures / attempts;
        self.successes += weight * successes / attempts;
        if failures > successes {
            self.reporting_failures += 1;
        } else {
            self.reporting_successes += 1;
        }
    }
}

/// An observation, and when this router received it, in seconds.
#[derive(Clone, Copy, Debug)]
struct ReceivedObservation {
    at: f64,
    observation: Observation,
}

/// The observations that were received in digests, by source.
#[derive(Debug, Default)]
pub struct PeerDigests {
    by_source: BTreeMap<u16, BTreeMap<EngineIncarnation, ReceivedObservation>>,
}

impl PeerDigests {
    /// Stores the observations of a source's digest. For each engine they replace the source's previous observation.
    pub fn receive(&mut self, source: u16, observations: Vec<Observation>, now: f64) {
        let engines = self.by_source.entry(source).or_default();
        engines.retain(|_, received| now < received.at + OBSERVATION_LIFETIME);
        for observation in observations {
            if engines.len() < MAX_ENGINES_OF_SOURCE || engines.contains_key(&observation.engine) {
                engines.insert(observation.engine, ReceivedObservation { at: now, observation });
            }
        }
    }

    /// Forgets all observations of a source, for when it reports from a new incarnation. A failed source is left out by
    /// `trusted` in [`PeerDigests::evidence_on`].
    pub fn forget(&mut self, source: u16) {
        self.by_source.remove(&source);
    }

    /// What the sources for which `trusted` returns true report about an engine.
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
