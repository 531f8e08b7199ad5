//! Derives the state of each router from the failure detector and from direct contact, and the inputs of this router's
//! standing.

use super::receive::{NAME_CONFLICT_INCARNATIONS, NAME_CONFLICT_WINDOW};
use super::Membership;
use crate::member::{Member, State, StateChange, ViewDigest};
use crate::swim::{DetectorState, Incarnation};
use crate::view::{self, ViewInputs};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The states of all routers are updated no more often than this, in seconds, however much is received: an update takes
/// time in proportion to their number.
pub(super) const STATE_UPDATE_INTERVAL: f64 = 0.05;
/// How long two views must differ before that counts as a disagreement, in seconds: an update takes that long to
/// reach all routers.
const MIN_DISAGREEMENT: f64 = 2.0;
/// The age above which another router's report of its view is ignored, in seconds.
const MAX_VIEW_AGE: f64 = MIN_DISAGREEMENT * 1.5;
/// The most state changes that are kept for the host; beyond that the oldest are dropped.
const MAX_CHANGES: usize = 1000;

impl Membership {
    /// Updates the state of each router from the failure detector and from direct contact, and then this router's
    /// view and standing.
    pub(super) fn update_states(&mut self, now: f64) {
        let states: Vec<(Incarnation, DetectorState)> = self.swim.states().collect();
        for (incarnation, detected) in states {
            let router = usize::from(incarnation.router);
            if incarnation.router != self.me && router < self.members.len() {
                let state = self.state_of(incarnation, detected, now);
                self.set_state(router, state, incarnation.generation, now);
            }
        }
        self.members[usize::from(self.me)].generation = self.swim.incarnation().generation;
        self.update_view();
        self.formed |= usize::from(self.view.present) >= view::majority(self.members.len());
        self.standing = view::standing(&self.view_inputs(now));
    }

    /// The state of a router that follows from the failure detector's state and from when the router was last heard.
    fn state_of(&self, incarnation: Incarnation, detected: DetectorState, now: f64) -> State {
        let member = &self.members[usize::from(incarnation.router)];
        let heard_ago = now - member.heard_at;
        match detected {
            _ if incarnation.leaving || (member.leaving && detected == DetectorState::Down) => State::Left,
            DetectorState::Down => State::Failed,
            DetectorState::Suspect => State::Suspected,
            DetectorState::Alive if heard_ago > self.max_silence() => State::SeenByOthers,
            DetectorState::Alive => State::Present,
        }
    }

    /// Updates the digest of the routers that are present. If it has changed, the differences of other routers'
    /// views are timed anew.
    fn update_view(&mut self) {
        let mut hasher = DefaultHasher::new();
        let present = self.present().inspect(|router| router.hash(&mut hasher)).count();
        let view = ViewDigest { present: present as u16, hash: hasher.finish() as u32 };
        if view != self.view {
            self.view = view;
            for member in &mut self.members {
                member.view_differs_since = None;
            }
        }
    }

    /// Sets a router's state, and records the change for the host if the state is new.
    fn set_state(&mut self, router: usize, to: State, generation: u64, now: f64) {
        let member = &mut self.members[router];
        let from = member.state;
        member.generation = member.generation.max(generation);
        if from == to {
            return;
        }
        member.state = to;
        member.state_since = now;
        let heard_ago = now - member.heard_at;
        self.counts.suspicions_of_others += u64::from(to == State::Suspected);
        if to == State::Suspected || (to == State::Failed && from != State::Suspected) {
            self.probes.note_suspicion(now);
        }
        if self.changes.len() >= MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push(StateChange { at: now, router, from, to, generation, heard_ago });
    }

    /// The inputs that this router's standing follows from, at this time.
    pub fn view_inputs(&self, now: f64) -> ViewInputs {
        ViewInputs {
            expected: self.members.len(),
            present: usize::from(self.view.present),
            formed: self.formed,
            disagreeing: self.members.iter().filter(|member| disagrees(member, now)).count(),
            started_ago: now - self.started_at,
            resumed_ago: now - self.resumed_at,
            leaving: self.leaving_since.is_some(),
            name_conflict: self.has_name_conflict(now),
        }
    }

    /// Whether another process uses this router's name.
    fn has_name_conflict(&self, now: f64) -> bool {
        let recent = self.later_incarnations_seen.iter().any(|at| now < at + NAME_CONFLICT_WINDOW);
        self.later_incarnations_seen.len() >= NAME_CONFLICT_INCARNATIONS && recent
    }
}

/// Whether a router counts as present and has for a while reported another view than this router's.
fn disagrees(member: &Member, now: f64) -> bool {
    let long = member.view_differs_since.is_some_and(|since| now - since > MIN_DISAGREEMENT);
    member.state.counts_as_present() && long && now - member.view_at < MAX_VIEW_AGE
}
