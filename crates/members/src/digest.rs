//! What routers tell each other of engines: short digests of what each has seen itself. Nothing that was heard is told
//! on, so no rumour comes back as proof; each source counts once for an engine, by its youngest word; and a word on a
//! former life of an engine is none.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A digest is no longer than this, in bytes.
pub const LONGEST: usize = 256;
/// Engines that one digest tells of.
pub const MOST_WORDS: usize = 12;
/// A word is worth nothing after this, in seconds: an engine that was ill then may be well.
pub const LASTS: f64 = 4.0;
/// Engines that are kept of one source.
const MOST_KEPT: usize = 64;
/// What one source can weigh at most against an engine, so that a lying or frozen one convinces nobody alone.
const MOST_OF_ONE: f64 = 1.0;

/// An engine in one life: hashes of its name and of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineLife {
    pub name: u64,
    pub life: u32,
}

/// What a router has met of one engine of late, in its own traffic: quarters of a push that went well, and that did not,
/// and the milliseconds of work that it pushed while the engine was cold, in the window in which that counts. It is as
/// the router's decisions hold it, faded with age there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub engine: EngineLife,
    pub good: u8,
    pub bad: u8,
    pub sent: u16,
}

/// What is worth telling of what was met, good and bad in pushes, work sent in seconds: the most trouble first, then
/// what was sent to cold engines.
pub fn words(met: impl Iterator<Item = (EngineLife, (f64, f64, f64))>) -> Vec<Word> {
    let quarters = |pushes: f64| (pushes * 4.0).round().clamp(0.0, 255.0) as u8;
    let word = |(engine, (good, bad, sent)): (EngineLife, (f64, f64, f64))| {
        let sent = (sent * 1e3).ceil().clamp(0.0, 65_535.0) as u16;
        Word { engine, good: quarters(good), bad: quarters(bad), sent }
    };
    let worth = |word: &Word| word.good > 0 || word.bad > 0 || word.sent > 0;
    let mut words: Vec<Word> = met.map(word).filter(worth).collect();
    words.sort_by_key(|word| (std::cmp::Reverse((word.bad, word.sent)), word.engine));
    words.truncate(MOST_WORDS);
    words
}

/// The words that fit, the first ones first; all of one digest are of one moment.
pub fn write(words: &[Word]) -> Vec<u8> {
    let mut count = words.len().min(MOST_WORDS);
    loop {
        let bytes = postcard::to_extend(&words[..count], Vec::new()).unwrap_or_default();
        if bytes.len() <= LONGEST || count == 0 {
            return bytes;
        }
        count -= 1;
    }
}

/// # Errors
/// None, where the bytes are no digest.
pub fn read(bytes: &[u8]) -> Option<Vec<Word>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    if bytes.len() > LONGEST {
        return None;
    }
    // Each word takes some bytes, so that a count that promises more than there are can't be had.
    let words: Vec<Word> = postcard::from_bytes(bytes).ok()?;
    (words.len() <= MOST_WORDS).then_some(words)
}

/// What all sources together say of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Said {
    /// How many tell of trouble with it, and how many of none.
    pub ill_by: usize,
    pub well_by: usize,
    /// Evidence against and for it, each source no more than one, faded with age.
    pub bad: f64,
    pub good: f64,
    /// What they sent it while it was cold, in seconds of work: whole while it lasts, as it makes shares smaller.
    pub sent: f64,
}

/// What was heard, by source.
#[derive(Debug, Default)]
pub struct Heard {
    by_source: BTreeMap<u16, BTreeMap<EngineLife, (f64, Word)>>,
}

impl Heard {
    /// A source's digest takes the place of its former one, engine by engine.
    pub fn hear(&mut self, source: u16, words: Vec<Word>, now: f64) {
        let kept = self.by_source.entry(source).or_default();
        kept.retain(|_, (at, _)| now < *at + LASTS);
        for word in words {
            if kept.len() < MOST_KEPT || kept.contains_key(&word.engine) {
                kept.insert(word.engine, (now, word));
            }
        }
    }

    /// A source that has failed, or speaks from a new life, is no witness any more.
    pub fn forget(&mut self, source: u16) {
        self.by_source.remove(&source);
    }

    /// What is said of an engine, by those that are witnesses. A life that is not this one is not spoken of.
    pub fn of(&self, engine: &EngineLife, now: f64, witness: impl Fn(u16) -> bool) -> Said {
        let mut said = Said::default();
        for (_, words) in self.by_source.iter().filter(|(source, _)| witness(**source)) {
            let Some((at, word)) = words.get(engine) else { continue };
            let fresh = 1.0 - (now - at) / LASTS;
            let (bad, good) = (f64::from(word.bad) / 4.0, f64::from(word.good) / 4.0);
            let all = bad + good;
            said.sent += if fresh > 0.0 { f64::from(word.sent) / 1e3 } else { 0.0 };
            if fresh <= 0.0 || all == 0.0 {
                continue;
            }
            let weight = fresh * all.min(MOST_OF_ONE);
            (said.bad, said.good) = (said.bad + weight * bad / all, said.good + weight * good / all);
            *if bad > good { &mut said.ill_by } else { &mut said.well_by } += 1;
        }
        said
    }
}

/// Digests among many instances whose host only carries messages, as the simulator does: who is told is drawn by chance, a
/// few a second, and only while there is trouble to tell of.
#[derive(Debug)]
pub struct Rounds {
    heard: Heard,
    me: u16,
    instances: u64,
    seed: u64,
    draws: u64,
    tell_at: f64,
}

impl Rounds {
    /// Seconds between rounds, and how many are told in each.
    const EVERY: f64 = 0.5;
    const TOLD: usize = 2;

    /// Instance `me` of so many.
    pub fn new(me: u16, instances: u64, seed: u64, now: f64) -> Rounds {
        Rounds { heard: Heard::default(), me, instances, seed, draws: 0, tell_at: now }
    }

    /// # Errors
    /// None, where the bytes are no digest.
    pub fn hear(&mut self, from: u16, bytes: &[u8], now: f64) -> Option<()> {
        self.heard.hear(from, read(bytes)?, now);
        Some(())
    }

    pub fn said(&self, engine: &EngineLife, now: f64) -> Said {
        self.heard.of(engine, now, |_| true)
    }

    /// Who is told what now, where a round is due and there is something to tell.
    pub fn due(&mut self, now: f64, words: impl FnOnce() -> Vec<Word>) -> Option<(Vec<u16>, Vec<u8>)> {
        if now < self.tell_at || self.instances < 2 {
            return None;
        }
        self.tell_at = now + Self::EVERY;
        let mut words = words();
        // Each message is paid for: nothing is told of engines that all is well with.
        words.retain(|word| word.bad >= 4);
        if words.is_empty() {
            return None;
        }
        let told = (0..Self::TOLD).map(|_| {
            self.draws += 1;
            let mut hasher = DefaultHasher::new();
            (self.seed, self.draws).hash(&mut hasher);
            // Any but ourselves.
            let other = hasher.finish() % (self.instances - 1);
            (other + u64::from(other >= u64::from(self.me))) as u16
        });
        Some((told.collect(), write(&words)))
    }
}

#[cfg(test)]
mod tests;
