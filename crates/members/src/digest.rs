//! What routers tell each other of engines: short digests of what each has seen itself. Nothing that was heard is told
//! on, so no rumour comes back as proof; each source counts once for an engine, by its youngest word; and a word on a
//! former life of an engine is none.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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

/// What a router has seen of one engine of late, in its own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub engine: EngineLife,
    /// Pushes that failed, that got no answer in time, and that were delivered; at most 255.
    pub failed: u8,
    pub unanswered: u8,
    pub delivered: u8,
    /// How old the youngest of it is, in units of 50 ms.
    pub age: u8,
}

/// How a push that went out ended, for its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    Delivered,
    /// It erred, broke off, or no connection came about.
    Failed,
    /// Its time ran out, or its client's.
    Unanswered,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    failed: f64,
    unanswered: f64,
    delivered: f64,
    at: f64,
}

/// What this router has met itself, in its own traffic of late: half of it is forgotten every [`Witness::HALF`] seconds.
#[derive(Debug, Default)]
pub struct Witness {
    seen: BTreeMap<EngineLife, Counted>,
    faded_at: f64,
}

impl Witness {
    /// Seconds.
    pub const HALF: f64 = 2.0;
    /// Engines that are kept; of more, new ones are not noted.
    const MOST: usize = 512;
    /// What is left of a push that counts for nothing any more.
    const NOTHING: f64 = 0.1;

    pub fn met(&mut self, engine: EngineLife, met: Met, now: f64) {
        self.fade(now);
        if self.seen.len() >= Self::MOST && !self.seen.contains_key(&engine) {
            return;
        }
        let counted = self.seen.entry(engine).or_default();
        counted.at = now;
        *match met {
            Met::Delivered => &mut counted.delivered,
            Met::Failed => &mut counted.failed,
            Met::Unanswered => &mut counted.unanswered,
        } += 1.0;
    }

    fn fade(&mut self, now: f64) {
        let keep = 0.5_f64.powf((now - self.faded_at).max(0.0) / Self::HALF);
        self.faded_at = self.faded_at.max(now);
        self.seen.retain(|_, counted| {
            counted.failed *= keep;
            counted.unanswered *= keep;
            counted.delivered *= keep;
            counted.failed + counted.unanswered + counted.delivered > Self::NOTHING
                && now < counted.at + LASTS
        });
    }

    /// What is worth telling, the most trouble first.
    pub fn words(&mut self, now: f64) -> Vec<Word> {
        self.fade(now);
        let mut seen: Vec<(&EngineLife, &Counted)> = self.seen.iter().collect();
        seen.sort_by(|(_, one), (_, other)| {
            let trouble = |counted: &Counted| counted.failed + counted.unanswered;
            trouble(other).total_cmp(&trouble(one))
        });
        let words = seen.into_iter().take(MOST_WORDS).map(|(engine, counted)| Word {
            engine: *engine,
            failed: counted.failed.round().min(255.0) as u8,
            unanswered: counted.unanswered.round().min(255.0) as u8,
            delivered: counted.delivered.round().min(255.0) as u8,
            age: ((now - counted.at) / 0.05).round().clamp(0.0, 255.0) as u8,
        });
        words.collect()
    }
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
            let at = now - f64::from(word.age) * 0.05;
            if now >= at + LASTS || (kept.len() >= MOST_KEPT && !kept.contains_key(&word.engine)) {
                continue;
            }
            // Words overtake each other on the way.
            if kept.get(&word.engine).is_none_or(|(known, _)| at >= *known) {
                kept.insert(word.engine, (at, word));
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
        for (source, words) in self.by_source.iter().filter(|(source, _)| witness(**source)) {
            let Some((at, word)) = words.get(engine) else { continue };
            let fresh = 1.0 - (now - at) / LASTS;
            let _ = source;
            if fresh <= 0.0 {
                continue;
            }
            let (bad, good) =
                (f64::from(word.failed) + f64::from(word.unanswered), f64::from(word.delivered));
            let all = bad + good;
            if all == 0.0 {
                continue;
            }
            let weight = fresh * all.min(MOST_OF_ONE);
            (said.bad, said.good) = (said.bad + weight * bad / all, said.good + weight * good / all);
            *if bad > good { &mut said.ill_by } else { &mut said.well_by } += 1;
        }
        said
    }

    /// Every engine that someone has told of.
    pub fn engines(&self) -> impl Iterator<Item = EngineLife> + '_ {
        let mut all: Vec<EngineLife> =
            self.by_source.values().flat_map(|words| words.keys().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all.into_iter()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ENGINE: EngineLife = EngineLife { name: 7, life: 1 };

    fn word(failed: u8, delivered: u8, age: u8) -> Word {
        Word { engine: ENGINE, failed, unanswered: 0, delivered, age }
    }

    fn all(_: u16) -> bool {
        true
    }

    #[test]
    fn the_longest_digest_fits_and_none_is_longer() {
        let most = Word {
            engine: EngineLife { name: u64::MAX, life: u32::MAX },
            failed: 255,
            unanswered: 255,
            delivered: 255,
            age: 255,
        };
        let bytes = write(&[most; 40]);
        assert!(bytes.len() <= LONGEST, "{}", bytes.len());
        assert!(read(&bytes).unwrap().len() >= 10);
        assert_eq!(read(&[&bytes[..], &[0; LONGEST]].concat()), None);
        assert_eq!(read(&[255, 255, 255, 255, 15]), None, "a count that nothing stands behind");
        assert_eq!(read(&[]), Some(Vec::new()));
    }

    /// Hard case: one router that lies, or is deaf itself, says it again and again.
    #[test]
    fn one_source_counts_once_however_often_it_says_so() {
        let mut heard = Heard::default();
        for _ in 0..50 {
            heard.hear(3, vec![word(255, 0, 0)], 10.0);
        }
        let said = heard.of(&ENGINE, 10.0, all);
        assert_eq!((said.ill_by, said.bad), (1, 1.0));
        heard.hear(4, vec![word(2, 0, 0)], 10.0);
        heard.hear(5, vec![word(0, 9, 0)], 10.0);
        let said = heard.of(&ENGINE, 10.0, all);
        assert_eq!((said.ill_by, said.well_by, said.bad, said.good), (2, 1, 2.0, 1.0));
    }

    #[test]
    fn words_fade_and_what_overtakes_on_the_way_does_not_bring_old_ones_back() {
        let mut heard = Heard::default();
        heard.hear(3, vec![word(0, 9, 0)], 10.0);
        heard.hear(3, vec![word(9, 0, 40)], 10.1);
        assert_eq!(heard.of(&ENGINE, 10.1, all).ill_by, 0, "two seconds old, and the other is new");
        assert!(heard.of(&ENGINE, 12.0, all).good < 0.6);
        assert_eq!(heard.of(&ENGINE, 14.1, all), Said::default());
    }

    #[test]
    fn a_former_life_of_an_engine_and_a_witness_that_is_none_any_more_say_nothing() {
        let mut heard = Heard::default();
        heard.hear(3, vec![word(9, 0, 0)], 10.0);
        let replaced = EngineLife { life: 2, ..ENGINE };
        assert_eq!(heard.of(&replaced, 10.0, all), Said::default());
        assert_eq!(heard.of(&ENGINE, 10.0, |source| source != 3), Said::default());
        heard.forget(3);
        assert_eq!(heard.of(&ENGINE, 10.0, all), Said::default());
    }

    #[test]
    fn a_witness_tells_what_it_met_itself_the_most_trouble_first_until_it_is_old() {
        let mut witness = Witness::default();
        for name in 0..40 {
            witness.met(EngineLife { name, life: 0 }, Met::Delivered, 10.0);
        }
        for met in [Met::Failed, Met::Failed, Met::Unanswered, Met::Delivered] {
            witness.met(ENGINE, met, 10.0);
        }
        let words = witness.words(10.1);
        assert_eq!(words.len(), MOST_WORDS);
        assert_eq!(words[0], Word { engine: ENGINE, failed: 2, unanswered: 1, delivered: 1, age: 2 });
        assert_eq!(witness.words(12.1)[0].failed, 1);
        assert_eq!(witness.words(10.0 + LASTS + 0.1), []);
    }

    #[test]
    fn made_up_engines_cost_bounded_memory() {
        let mut heard = Heard::default();
        for name in 0..1000 {
            let made_up = Word { engine: EngineLife { name, life: 0 }, ..word(1, 0, 0) };
            heard.hear(3, vec![made_up], 10.0);
        }
        assert_eq!(heard.engines().count(), MOST_KEPT);
    }

    proptest! {
        #[test]
        fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = read(&bytes);
        }
    }
}
