//! The record that a router keeps of each member, changes of a member's state, and the membership counters.

use crate::wire::DropReason;
use std::collections::BTreeMap;

/// The state of one router in this router's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Nothing has been heard of it since this router started.
    Unseen,
    /// Alive, and this router receives its datagrams.
    Present,
    /// Alive according to other routers, but this router does not receive its datagrams.
    SeenByOthers,
    /// It has not answered probes. It is notified of the suspicion and may refute it.
    Suspected,
    /// It was suspected, and did not refute the suspicion in time.
    Failed,
    /// It announced a planned leave.
    Left,
}

impl State {
    /// The label in logs and in the status output.
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

    /// Whether a router in this state counts as present in the view.
    pub fn counts_as_present(self) -> bool {
        matches!(self, State::Present | State::SeenByOthers | State::Suspected)
    }
}

/// A short digest of the set of routers that one router considers present, so that two views can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ViewDigest {
    /// The number of present routers.
    pub(crate) present: u16,
    /// A hash of their indexes.
    pub(crate) hash: u32,
}

/// What this router knows of one member. Times are in seconds of the host's clock; minus infinity means never.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its current state.
    pub state: State,
    /// The generation of its latest known incarnation, 0 if none is known.
    pub generation: u64,
    /// When it entered this state.
    pub state_since: f64,
    /// When this router last received a datagram from it.
    pub heard_at: f64,
    /// When it last received a datagram from this router, as it reports.
    pub heard_us_at: f64,
    /// The view that it last reported.
    pub(crate) view: ViewDigest,
    /// When it reported that view.
    pub(crate) view_at: f64,
    /// Since when its view has differed from this router's; `None` while they agree, and after a change of this
    /// router's view until the member reports again.
    pub(crate) view_differs_since: Option<f64>,
    /// Whether it has announced that it is leaving.
    pub(crate) leaving: bool,
    /// When it was last notified that it does not count as present here.
    pub(crate) notified_at: f64,
    /// When this router last answered a direct probe from it.
    pub(crate) probe_answered_at: f64,
    /// When this router last answered an indirect probe from it.
    pub(crate) indirect_probe_answered_at: f64,
    /// The latest store epoch that it has reported, over all its incarnations.
    pub(crate) store_epoch: u64,
}

impl Member {
    /// The record of a router that has not been heard of yet.
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

/// A change of a router's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateChange {
    /// When the state changed, in seconds of the host's clock.
    pub at: f64,
    /// The router, by its index in the cluster file.
    pub router: usize,
    /// The previous state.
    pub from: State,
    /// The new state.
    pub to: State,
    /// The generation of its incarnation.
    pub generation: u64,
    /// Seconds since this router last received a datagram from it; infinite if it never did.
    pub heard_ago: f64,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// Received datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Times that another router became suspected here, whichever router raised the suspicion.
    pub suspicions_of_others: u64,
    /// Suspicions of this router that it has refuted.
    pub refutations: u64,
    /// New incarnations that the library `foca` began for this router, as others had declared it down. Those that
    /// this crate begins by itself, on a report in an envelope or for a planned leave, are not counted.
    pub new_incarnations: u64,
    /// Reports from others that a router is down that were overruled because this router still hears it.
    pub contradicted: u64,
    /// Pauses of this process: turns or datagrams that were handled more than 0.75 s (`MIN_PAUSE`) after the next
    /// turn was due.
    pub pauses: u64,
}
