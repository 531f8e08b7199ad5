//! What is known of one router, how it came to that, and what is counted of all.

use crate::wire::Dropped;
use std::collections::BTreeMap;

/// How one router stands by this router's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Never heard of.
    Unseen,
    Present,
    /// Others hear it, and we do not.
    SeenByOthers,
    /// It has not answered; it is told so, and may refute it.
    Suspected,
    Failed,
    /// It left by plan.
    Left,
}

impl State {
    pub fn word(self) -> &'static str {
        match self {
            State::Unseen => "unseen",
            State::Present => "present",
            State::SeenByOthers => "seen by others",
            State::Suspected => "suspected",
            State::Failed => "failed",
            State::Left => "left",
        }
    }

    /// It counts in our view.
    pub fn counts(self) -> bool {
        matches!(self, State::Present | State::SeenByOthers | State::Suspected)
    }
}

/// What is known of one router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub state: State,
    /// Its life, 0 where none is known.
    pub born: u64,
    /// When it came to this state, and when we last heard it ourselves.
    pub since: f64,
    pub heard_at: f64,
    /// When, by its own word, it last heard us.
    pub hears_us_at: f64,
    /// How many it holds present, and the hash of who; when it said so; since when that differs from ours.
    pub(crate) told: (u16, u32),
    pub(crate) told_at: f64,
    pub(crate) differs_since: Option<f64>,
    pub(crate) leaving: bool,
    /// When it was last told that we do not count it, that we are there, and whom we hear.
    pub(crate) answered_at: f64,
    pub(crate) replied_at: f64,
    pub(crate) sought_at: f64,
    /// The latest epoch of its store that we were shown, over all its lives.
    pub(crate) kept: u64,
}

/// A router came to another state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub router: usize,
    pub from: State,
    pub to: State,
    pub born: u64,
    /// Seconds since we last heard it ourselves; infinite for never.
    pub heard_ago: f64,
}

/// What happened, counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub received: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub dropped: BTreeMap<Dropped, u64>,
    /// We suspected another; we refuted others' suspicions of us; we had to begin a new life; another's word that a
    /// router is down was outweighed by what we heard.
    pub accusations: u64,
    pub refutations: u64,
    pub new_lives: u64,
    pub contradicted: u64,
    pub pauses: u64,
}
