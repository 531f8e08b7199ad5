//! The state of each router, from what the failure detector tells and what is heard directly; and what is counted of all.

use super::receive::{DOUBLED, DOUBLED_WITHIN};
use super::Members;
use crate::member::{Change, Member, State};
use crate::swim::{DetectorState, Life};
use crate::view::{self, Count};
use std::hash::{DefaultHasher, Hash, Hasher};

/// All routers are looked over no more often than this, in seconds, whatever comes in.
pub(super) const LOOKS: f64 = 0.05;
/// How long a difference between what two count must last to be one, and how old what was told may be.
const DIFFERS: f64 = 2.0;
/// Changes that are kept for the host; the oldest go.
const MOST_CHANGES: usize = 1000;

impl Members {
    /// Puts together what the detector tells and what we hear, and notes who came to another state.
    pub(super) fn observe(&mut self, now: f64) {
        let states: Vec<(Life, DetectorState)> = self.swim.states().collect();
        for (life, detected) in states {
            let router = usize::from(life.router);
            if life.router != self.me && router < self.members.len() {
                self.comes(router, self.state_of(life, detected, now), life.born, now);
            }
        }
        self.members[usize::from(self.me)].born = self.swim.me().born;
        self.count_the_present();
        self.formed |= usize::from(self.view.0) >= view::majority(self.members.len());
        self.standing = view::standing(&self.count(now));
    }

    /// The state of a router by the detector's word, and by when it was heard.
    fn state_of(&self, life: Life, detected: DetectorState, now: f64) -> State {
        let member = &self.members[usize::from(life.router)];
        let heard_ago = now - member.heard_at;
        match detected {
            _ if life.leaving || (member.leaving && detected == DetectorState::Down) => State::Left,
            DetectorState::Down => State::Failed,
            DetectorState::Suspect => State::Suspected,
            DetectorState::Alive if heard_ago > self.deaf_after() => State::SeenByOthers,
            DetectorState::Alive => State::Present,
        }
    }

    /// How many are present, and the hash of who they are; where that changed, no difference from it has lasted yet.
    fn count_the_present(&mut self) {
        let mut hasher = DefaultHasher::new();
        let present = self.members.iter().enumerate().filter(|(_, member)| member.state.counts());
        let count = present.inspect(|(at, _)| at.hash(&mut hasher)).count();
        let view = (count as u16, hasher.finish() as u32);
        if view != self.view {
            self.view = view;
            self.members.iter_mut().for_each(|member| member.differs_since = None);
        }
    }

    fn comes(&mut self, router: usize, to: State, born: u64, now: f64) {
        let member = &mut self.members[router];
        let from = member.state;
        member.born = member.born.max(born);
        if from == to {
            return;
        }
        (member.state, member.since) = (to, now);
        let heard_ago = now - member.heard_at;
        self.counts.accusations += u64::from(to == State::Suspected);
        if to == State::Suspected || (to == State::Failed && from != State::Suspected) {
            self.quiet.suspected(now);
        }
        if self.changes.len() >= MOST_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(Change { at: now, router, from, to, born, heard_ago });
    }

    /// What is counted now.
    pub fn count(&self, now: f64) -> Count {
        let differs = |member: &&Member| {
            let long = member.differs_since.is_some_and(|since| now - since > DIFFERS);
            member.state.counts() && long && now - member.told_at < DIFFERS * 1.5
        };
        Count {
            expected: self.members.len(),
            present: usize::from(self.view.0),
            formed: self.formed,
            disagreeing: self.members.iter().filter(differs).count(),
            started_ago: now - self.started,
            woke_ago: now - self.woke,
            leaving: self.leaving_since.is_some(),
            doubled: self.younger.len() >= DOUBLED && self.younger.iter().any(|at| now < at + DOUBLED_WITHIN),
        }
    }
}
