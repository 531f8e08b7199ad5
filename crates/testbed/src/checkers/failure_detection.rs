//! Judges a record of what each router said of the others against what was done to them. It shares no code with the
//! router: it knows what was killed, frozen and cut, and reads what was said.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::HashMap;

/// One router's word on another, at a time: `present`, `seen by others`, `suspected`, `failed`, `left`, `unseen`.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    pub at: f64,
    pub by: usize,
    pub of: usize,
    pub state: String,
}

/// What was true from a time on.
#[derive(Clone, Debug, PartialEq)]
pub struct Truth {
    pub at: f64,
    /// Runs, is not frozen, and does not leave.
    pub up: Vec<bool>,
    /// By sender, then receiver.
    pub cut: Vec<Vec<bool>>,
    /// In which incarnation each is: counts its starts.
    pub incarnation: Vec<u32>,
    /// Links that are not cut lose, delay or damage more than a sound network does.
    pub rough: bool,
}

#[derive(Default)]
pub struct Record {
    /// By sayer and object: when, and what.
    said: HashMap<(usize, usize), Vec<(f64, String)>>,
    /// In the order of their times; the first holds from the beginning on.
    pub truths: Vec<Truth>,
    pub faults: usize,
    pub end: f64,
}

/// A false failure lasts longer than this to count, in seconds.
const FALSE_FOR: f64 = 1.0;
/// So long after a change of truth nothing is called false that was true before it, or came of it.
const GRACE: f64 = 1.0;

fn counts(state: &str) -> bool {
    matches!(state, "present" | "seen by others" | "suspected")
}

impl Truth {
    /// Routers that run and hear each other both ways, directly.
    fn linked(&self, one: usize, other: usize) -> bool {
        self.up[one] && self.up[other] && !self.cut[one][other] && !self.cut[other][one]
    }

    /// It runs, and a majority of all hears it and is heard by it directly.
    fn sound(&self, router: usize) -> bool {
        let linked =
            (0..self.up.len()).filter(|other| *other != router && self.linked(router, *other)).count();
        self.up[router] && (linked + 1) * 2 > self.up.len()
    }
}

impl Record {
    pub fn new(first: Truth) -> Record {
        Record { truths: vec![first], ..Record::default() }
    }

    pub fn say(&mut self, said: Said) {
        self.said.entry((said.by, said.of)).or_default().push((said.at, said.state));
    }

    pub fn words(&self, by: usize, of: usize) -> &[(f64, String)] {
        self.said.get(&(by, of)).map_or(&[], Vec::as_slice)
    }

    /// What `by` holds `of` at a time.
    fn state(&self, by: usize, of: usize, at: f64) -> &str {
        let words = self.words(by, of);
        let after = words.partition_point(|(said, _)| *said <= at);
        after.checked_sub(1).map_or("unseen", |last| words[last].1.as_str())
    }

    /// Times from a router's end to each other running router's holding it failed, in milliseconds, and how many never did.
    pub fn detections(&self) -> (Histogram<u64>, u64) {
        let mut times = Histogram::new(3).expect("a histogram");
        let mut missed = 0;
        for pair in self.truths.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            for of in 0..after.up.len() {
                if !before.up[of] || after.up[of] {
                    continue;
                }
                let back = self.truths.iter().find(|truth| truth.at > after.at && truth.up[of]);
                let until = back.map_or(self.end, |truth| truth.at);
                for by in 0..after.up.len() {
                    let through = |truth: &&Truth| truth.at >= after.at && truth.at < until;
                    let ran = self.truths.iter().filter(through).all(|truth| truth.up[by]);
                    // Only where there was time to find out, and nothing else was in the way.
                    if by == of || !ran || until - after.at < 4.0 || !before.sound(by) {
                        continue;
                    }
                    let in_time =
                        |(at, state): &&(f64, String)| !counts(state) && *at >= after.at && *at < until;
                    match self.words(by, of).iter().find(in_time) {
                        Some((at, _)) => times.record(((at - after.at) * 1e3) as u64).unwrap_or(()),
                        None if counts(self.state(by, of, until)) => missed += 1,
                        None => {}
                    }
                }
            }
        }
        (times, missed)
    }

    /// How often a router that ran, and that a majority could reach, was held failed for long by one that it reached:
    /// since when, by whom, and who.
    pub fn false_failures(&self) -> Vec<(f64, usize, usize)> {
        let mut found = Vec::new();
        for (at, truth) in self.truths.iter().enumerate() {
            let until = self.truths.get(at + 1).map_or(self.end, |next| next.at);
            // What is said right after a change may come of what was true before it.
            let from = truth.at + GRACE;
            let sound: Vec<bool> = (0..truth.up.len()).map(|router| truth.sound(router)).collect();
            for (by, of) in (0..sound.len()).flat_map(|by| (0..sound.len()).map(move |of| (by, of))) {
                if by == of || !sound[by] || !sound[of] || !truth.linked(by, of) {
                    continue;
                }
                let words = self.words(by, of);
                for (place, (since, state)) in words.iter().enumerate() {
                    let ends = words.get(place + 1).map_or(self.end, |(next, _)| *next);
                    if state == "failed" && ends.min(until) - since.max(from) > FALSE_FOR {
                        found.push((*since, by, of));
                    }
                }
            }
        }
        found
    }

    /// After each change of truth that is followed by quiet: how long until all that reach each other hold the same
    /// routers present, in milliseconds, at the most; none where some never did.
    pub fn agreed_after(&self) -> Option<u64> {
        let mut most = 0.0_f64;
        for (at, truth) in self.truths.iter().enumerate() {
            let until = self.truths.get(at + 1).map_or(self.end, |next| next.at);
            let healed = !truth.rough && truth.cut.iter().flatten().all(|cut| !cut);
            if !healed || until - truth.at < 4.0 {
                continue;
            }
            most = most.max(self.last_disagreement(truth, until)? - truth.at);
        }
        Some((most * 1e3) as u64)
    }

    /// When the last word was said after which all that run hold those present that run, and no others; none where they
    /// do not by then.
    fn last_disagreement(&self, truth: &Truth, until: f64) -> Option<f64> {
        let running: Vec<usize> = (0..truth.up.len()).filter(|router| truth.up[*router]).collect();
        let (mut agreed_at, mut wrong) = (truth.at, 0);
        // Each word that changes whether a pair is right: when, and by how much.
        let mut changes: Vec<(f64, i64)> = Vec::new();
        for by in running {
            for of in (0..truth.up.len()).filter(|of| *of != by) {
                let right = |state: &str| counts(state) == truth.up[of];
                let mut was = right(self.state(by, of, truth.at));
                wrong += i64::from(!was);
                for (at, state) in self.words(by, of).iter().filter(|(at, _)| *at > truth.at && *at < until) {
                    let is = right(state);
                    if is != was {
                        changes.push((*at, if is { -1 } else { 1 }));
                    }
                    was = is;
                }
            }
        }
        changes.sort_by(|one, other| one.0.total_cmp(&other.0));
        for (at, change) in changes {
            wrong += change;
            if wrong == 0 {
                agreed_at = at;
            }
        }
        (wrong == 0).then_some(agreed_at)
    }

    pub fn report(&self) -> Value {
        let (times, missed) = self.detections();
        json!({
            "routers": self.truths[0].up.len(),
            "faults": self.faults,
            "detections": times.len(),
            "missed": missed,
            "detected_ms_p50": times.value_at_quantile(0.5),
            "detected_ms_p99": times.value_at_quantile(0.99),
            "false_failures": self.false_failures().len(),
            "agreed_after_heal_ms_max": self.agreed_after(),
        })
    }
}

#[cfg(test)]
mod tests;
