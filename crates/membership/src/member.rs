//! What is known of one router, how its state changes, and what is counted of all.

use crate::wire::DropReason;
use std::collections::BTreeMap;

/// The state of one router in this router's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Never heard of.
    Unseen,
    /// Alive, and heard here.
    Present,
    /// Alive by the word of others, and not heard here.
    SeenByOthers,
    /// It has not answered; it is told so, and may refute it.
    Suspected,
    /// Its suspicion has timed out.
    Failed,
    /// It left by plan.
    Left,
}

impl State {
    /// The word for logs and status.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Unseen => "unseen",
            State::Present => "present",
            State::SeenByOthers => "seen by others",
            State::Suspected => "suspected",
            State::Failed => "failed",
            State::Left => "left",
        }
    }

    /// Whether it counts as present in this router's view.
    pub fn counts_as_present(self) -> bool {
        matches!(self, State::Present | State::SeenByOthers | State::Suspected)
    }
}

/// Which routers one router holds present, in short, so that two views can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ViewDigest {
    /// How many they are.
    pub(crate) present: u16,
    /// The hash of which they are.
    pub(crate) hash: u32,
}

/// What is known of one router. Times are in seconds of the host's clock, and minus infinity for never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its present state.
    pub state: State,
    /// Its incarnation, 0 where none is known.
    pub generation: u64,
    /// When it came to this state.
    pub state_since: f64,
    /// When it was last heard here.
    pub heard_at: f64,
    /// When, by its own word, it last heard this router.
    pub heard_us_at: f64,
    /// The view that it has told of.
    pub(crate) view: ViewDigest,
    /// When it told of that view.
    pub(crate) view_at: f64,
    /// Since when its view differs from this router's.
    pub(crate) view_differs_since: Option<f64>,
    /// It has said that it leaves.
    pub(crate) leaving: bool,
    /// When it was last told that it does not count as present.
    pub(crate) notified_at: f64,
    /// When its direct probe was last answered.
    pub(crate) probe_answered_at: f64,
    /// When its indirect probe was last answered.
    pub(crate) indirect_probe_answered_at: f64,
    /// The latest epoch of its store that this router was shown, over all its incarnations.
    pub(crate) store_epoch: u64,
}

impl Member {
    /// A router that was never heard of.
    pub(crate) fn unseen(now: f64) -> Member {
        Member {
            state: State::Unseen,
            generation: 0,
            state_since: now,
            heard_at: f64::NEG_INFINITY,
            heard_us_at: f64::NEG_INFINITY,
            view: ViewDigest::default(),
            view_at: f64::NEG_INFINITY,
            view_differs_since: None,
            leaving: false,
            notified_at: f64::NEG_INFINITY,
            probe_answered_at: f64::NEG_INFINITY,
            indirect_probe_answered_at: f64::NEG_INFINITY,
            store_epoch: 0,
        }
    }
}

/// A router came to another state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// When, in seconds of the host's clock.
    pub at: f64,
    /// The router, by its place in the cluster file.
    pub router: usize,
    /// The former state.
    pub from: State,
    /// The new state.
    pub to: State,
    /// Its incarnation.
    pub generation: u64,
    /// Seconds since it was last heard here; infinite for never.
    pub heard_ago: f64,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that came in.
    pub received: u64,
    /// Datagrams that went out.
    pub sent: u64,
    /// Bytes of those.
    pub sent_bytes: u64,
    /// Datagrams that were dropped, by the reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Suspicions of others, by this router or by others.
    pub suspicions_of_others: u64,
    /// Suspicions of this router that it refuted.
    pub refutations: u64,
    /// Incarnations that it had to begin anew.
    pub new_incarnations: u64,
    /// Words of others that a router is down which direct contact outweighed.
    pub contradicted: u64,
    /// Pauses in which this router had no turn.
    pub pauses: u64,
}
