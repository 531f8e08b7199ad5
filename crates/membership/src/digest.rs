//! What routers tell each other of engines: short digests of what each has seen itself. Nothing that was heard from others
//! is passed on, so no rumour comes back as evidence; each source counts once for an engine, by its latest word; and what was
//! said of a former incarnation of an engine does not count.

mod rounds;

pub use rounds::Rounds;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A digest is no longer than this, in bytes: it rides on heartbeats.
pub const MAX_DIGEST: usize = 256;
/// Engines that one digest tells of: as many as fit, with their longest numbers.
pub const MAX_OBSERVATIONS: usize = 12;
/// An observation is worth nothing after this, in seconds: an engine that was ill then may be well.
pub const LASTS: f64 = 4.0;
/// Engines that are kept of one source.
const MAX_ENGINES_OF_SOURCE: usize = 64;
/// What one source can weigh at most against an engine, so that a lying or frozen one convinces nobody alone.
const MAX_WEIGHT_OF_SOURCE: f64 = 1.0;
/// Attempts are told in quarters.
const QUARTERS: f64 = 4.0;
/// Work is told in milliseconds.
const MS_PER_S: f64 = 1e3;

/// An engine in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// A hash of its name.
    pub name: u64,
    /// A hash of its start.
    pub incarnation: u32,
}

/// What a router has met of one engine of late, in its own traffic, as its decisions hold it: faded with age. The order of
/// the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The engine.
    pub engine: EngineIncarnation,
    /// Attempts that went well, in quarters.
    pub good: u8,
    /// Attempts that did not, in quarters.
    pub bad: u8,
    /// Work that was sent to it during its slow start, in the window in which that counts. Milliseconds.
    pub sent: u16,
}

/// What is worth telling of what was met: for each engine the good and the bad attempts, and the work sent during its slow
/// start in seconds. The most trouble comes first, then the most work.
pub fn observations(met: impl Iterator<Item = (EngineIncarnation, (f64, f64, f64))>) -> Vec<Observation> {
    let quarters = |attempts: f64| (attempts * QUARTERS).round().clamp(0.0, f64::from(u8::MAX)) as u8;
    let observation = |(engine, (good, bad, sent)): (EngineIncarnation, (f64, f64, f64))| {
        let sent = (sent * MS_PER_S).ceil().clamp(0.0, f64::from(u16::MAX)) as u16;
        Observation { engine, good: quarters(good), bad: quarters(bad), sent }
    };
    let worth_telling = |seen: &Observation| seen.good > 0 || seen.bad > 0 || seen.sent > 0;
    let mut observations: Vec<Observation> = met.map(observation).filter(worth_telling).collect();
    observations.sort_by_key(|seen| (Reverse((seen.bad, seen.sent)), seen.engine));
    observations.truncate(MAX_OBSERVATIONS);
    observations
}

/// The former name of [`observations`], until the test bed uses the new one.
#[doc(hidden)]
pub use observations as words;

/// Writes the observations that fit, the first ones first; all of one digest are of one moment.
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

/// What all sources together say of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerEvidence {
    /// How many tell of trouble with it.
    pub ill_by: usize,
    /// How many tell of none.
    pub well_by: usize,
    /// Evidence against it, each source no more than one, faded with age.
    pub bad: f64,
    /// Evidence for it, likewise.
    pub good: f64,
    /// What they sent it during its slow start, in seconds of work: whole while it lasts, as it makes shares smaller.
    pub sent: f64,
}

impl PeerEvidence {
    /// Adds what one source has observed, which is worth less with age: `fresh` is 1 for now and 0 for [`LASTS`] ago.
    fn add(&mut self, seen: &Observation, fresh: f64) {
        if fresh <= 0.0 {
            return;
        }
        self.sent += f64::from(seen.sent) / MS_PER_S;
        let bad = f64::from(seen.bad) / QUARTERS;
        let good = f64::from(seen.good) / QUARTERS;
        let all = bad + good;
        if all == 0.0 {
            return;
        }
        let weight = fresh * all.min(MAX_WEIGHT_OF_SOURCE);
        self.bad += weight * bad / all;
        self.good += weight * good / all;
        let tells = if bad > good { &mut self.ill_by } else { &mut self.well_by };
        *tells += 1;
    }
}

/// An observation, and when it was heard, in seconds.
#[derive(Clone, Copy, Debug)]
struct HeardObservation {
    at: f64,
    observation: Observation,
}

/// The digests that were heard, by source.
#[derive(Debug, Default)]
pub struct PeerDigests {
    by_source: BTreeMap<u16, BTreeMap<EngineIncarnation, HeardObservation>>,
}

impl PeerDigests {
    /// Takes a source's digest in place of its former one, engine by engine.
    pub fn hear(&mut self, source: u16, observations: Vec<Observation>, now: f64) {
        let kept = self.by_source.entry(source).or_default();
        kept.retain(|_, heard| now < heard.at + LASTS);
        for observation in observations {
            if kept.len() < MAX_ENGINES_OF_SOURCE || kept.contains_key(&observation.engine) {
                kept.insert(observation.engine, HeardObservation { at: now, observation });
            }
        }
    }

    /// Forgets a source that has failed, or speaks from a new incarnation.
    pub fn forget(&mut self, source: u16) {
        self.by_source.remove(&source);
    }

    /// What is said of an engine by those sources that are `trusted`.
    pub fn of(&self, engine: &EngineIncarnation, now: f64, trusted: impl Fn(u16) -> bool) -> PeerEvidence {
        let mut evidence = PeerEvidence::default();
        for (_, engines) in self.by_source.iter().filter(|(source, _)| trusted(**source)) {
            if let Some(heard) = engines.get(engine) {
                evidence.add(&heard.observation, 1.0 - (now - heard.at) / LASTS);
            }
        }
        evidence
    }
}

#[cfg(test)]
mod tests;
