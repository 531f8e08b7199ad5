//! Asks those that have fallen silent, many at once. The detector probes one router a period, which is enough while few die;
//! where many die together, their deaths would be found one after another, and the news of each would go to the dead.
//!
//! A router that was not heard for long, or for a moment while others are being suspected, is asked by us, and some of
//! the others are asked whether they hear it. Unanswered by all, though we hear somebody, it is suspected, which it may
//! refute like any suspicion. So a link that is cut between two routers accuses neither of them.

use std::collections::BTreeMap;

/// Between two questions to the same router, in seconds.
const EVERY: f64 = 0.25;
/// So many questions go unanswered before it is suspected.
const QUESTIONS: u32 = 3;
/// Routers that are asked in one step.
const MOST: usize = 32;
/// While others are suspected, one that was not heard for so long is asked, in seconds.
const MOMENT: f64 = 0.5;
/// A suspicion counts as news for so long, in seconds.
const NEWS: f64 = 2.0;
/// A router heard by others within the last second lives, whatever we hear.
const FRESH: f64 = 1.0;

/// Routers that one question, or one answer, names.
pub const MOST_NAMED: usize = MOST;

#[derive(Clone, Copy, Debug)]
struct Asked {
    questions: u32,
    first: f64,
    last: f64,
}

/// Who was asked, and what came of it.
#[derive(Clone, Debug, Default)]
pub struct Quiet {
    asked: BTreeMap<u16, Asked>,
    /// When routers came to be suspected or failed of late.
    news: Vec<f64>,
    next: f64,
}

/// What is to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Todo {
    /// To be asked themselves, and asked after.
    pub ask: Vec<u16>,
    pub suspect: Vec<u16>,
}

impl Quiet {
    /// A router was newly suspected, or failed.
    pub fn suspected(&mut self, now: f64) {
        self.news.retain(|at| now < at + NEWS);
        self.news.push(now);
    }

    /// We had no turn for long: what went unanswered meanwhile says nothing.
    pub fn paused(&mut self) {
        self.asked.clear();
        self.news.clear();
    }

    pub fn due(&self) -> f64 {
        self.next
    }

    /// Another router heard this one so long ago.
    pub fn seen(&mut self, router: u16, ago: f64) {
        if ago < FRESH {
            self.asked.remove(&router);
        }
    }

    /// Looks at those that count: each with when we last heard it, and whether it is suspected already: such a one is asked
    /// on, so that one that lives is heard ahead of the end of its time. `long` is how long one is usually not heard at
    /// most; `anyone` when we last heard anybody.
    pub fn turn(
        &mut self,
        counted: impl Iterator<Item = (u16, f64, bool)>,
        long: f64,
        anyone: f64,
        now: f64,
    ) -> Todo {
        self.next = now + EVERY;
        self.news.retain(|at| now < at + NEWS);
        let mut todo = Todo::default();
        let mut kept = BTreeMap::new();
        let mut all = 0;
        let many = |all: usize| self.news.len() >= (all / 50).max(2);
        let counted: Vec<(u16, f64, bool)> = counted.inspect(|_| all += 1).collect();
        let after = if many(all) { MOMENT } else { long };
        for (router, heard_at, suspected) in counted {
            let after = if suspected { EVERY } else { after };
            let asked = self.asked.get(&router).copied().filter(|asked| heard_at < asked.first);
            let Some(mut asked) = asked.or_else(|| {
                let none = Asked { questions: 0, first: now, last: f64::NEG_INFINITY };
                (now - heard_at > after).then_some(none)
            }) else {
                continue;
            };
            let due = now >= asked.last + EVERY * 0.9;
            if due && asked.questions >= QUESTIONS && !suspected {
                // Nobody answers: it may be we who are cut off.
                if anyone > asked.first {
                    todo.suspect.push(router);
                }
                continue;
            }
            if due && todo.ask.len() < MOST {
                asked.questions += 1;
                asked.last = now;
                todo.ask.push(router);
            }
            kept.insert(router, asked);
        }
        self.asked = kept;
        todo
    }
}

#[cfg(test)]
mod tests;
