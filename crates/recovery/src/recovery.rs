//! The phases in which a fresh router takes up what a former incarnation has persisted.

use crate::{valid_history, LookBack, Pieces, Snapshot, SnapshotTime, ValidHistory};

/// How long the store may take to say what it found, in seconds. After that what is missing counts as lost.
const READ_TIMEOUT: f64 = 1.0;
/// How long peers may take to say which epoch they were shown, in seconds. After that what was found counts as proved.
const PROVE_TIMEOUT: f64 = 1.0;

/// Where a fresh router stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its store has not said what it found.
    Reading,
    /// Peers are asked which epoch they were shown.
    Proving,
    /// What is not known is assumed at its worst, until no window reaches back beyond the start.
    Settling,
    /// Full service.
    Full,
}

impl Phase {
    /// The word for logs and status.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Reading => "reading",
            Phase::Proving => "proving",
            Phase::Settling => "settling",
            Phase::Full => "full",
        }
    }
}

/// Why nothing is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// There is nothing, or it was set aside by the store.
    NoSnapshot,
    /// The store did not answer in time.
    Timeout,
    /// A piece can't be read.
    Unreadable,
    /// It is of the future: a clock was set back, and no age can be told.
    FromFuture,
    /// Peers were shown a later epoch: an older copy was put back.
    Outdated,
}

impl LossReason {
    /// The words for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LossReason::NoSnapshot => "nothing was kept",
            LossReason::Timeout => "the store did not say in time",
            LossReason::Unreadable => "a piece can't be read",
            LossReason::FromFuture => "it is of the future",
            LossReason::Outdated => "peers were shown a later one",
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The decisions are to assume the worst.
    AssumeLostHistory,
    /// They are told what is still valid instead.
    RestoreHistory(ValidHistory),
    /// Nothing is taken up, for this reason.
    Discarded(LossReason),
    /// A phase begins.
    Entered(Phase),
}

/// What the store found, if anything: its epoch and its pieces.
pub type StoreContents = Option<(u64, Pieces)>;

/// Faults for the model checker to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// The code as it is.
    #[default]
    None,
    /// What is found is taken up without being proved.
    EpochNotChecked,
    /// What may have been attempted since the last write is left out.
    UnpersistedRetriesIgnored,
}

/// The way of a fresh router to full service.
#[derive(Clone, Debug)]
pub struct Recovery {
    look_back: LookBack,
    started: f64,
    entered: f64,
    phase: Phase,
    found: Option<(u64, Snapshot)>,
    has_peers: bool,
    /// The latest epoch that a peer was shown, once one has said so.
    shown: Option<u64>,
    steps: Vec<Step>,
    /// What is left out on purpose, so that a test of the model checker can see that it is found.
    pub injected: InjectedFault,
}

impl Recovery {
    /// Begins at `now`, in seconds of any clock that is not set; `has_peers` tells whether there are any to be asked.
    pub fn new(look_back: LookBack, has_peers: bool, now: f64) -> Recovery {
        Recovery {
            look_back,
            started: now,
            entered: now,
            phase: Phase::Reading,
            found: None,
            has_peers,
            shown: None,
            steps: vec![Step::AssumeLostHistory, Step::Entered(Phase::Reading)],
            injected: InjectedFault::None,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Seconds since the start.
    pub fn age(&self, now: f64) -> f64 {
        now - self.started
    }

    fn enter(&mut self, phase: Phase, now: f64) {
        self.phase = phase;
        self.entered = now;
        self.steps.push(Step::Entered(phase));
    }

    fn lose(&mut self, reason: LossReason, now: f64) {
        self.found = None;
        self.steps.push(Step::Discarded(reason));
        self.enter(Phase::Settling, now);
    }

    /// Takes what the store found. What comes after its time counts for nothing.
    pub fn store_read(&mut self, found: StoreContents, now: f64) {
        if self.phase != Phase::Reading {
            return;
        }
        let Some((epoch, pieces)) = found else { return self.lose(LossReason::NoSnapshot, now) };
        let Some(snapshot) = Snapshot::from_pieces(&pieces) else {
            return self.lose(LossReason::Unreadable, now);
        };
        self.found = Some((epoch, snapshot));
        self.enter(Phase::Proving, now);
    }

    /// A peer says which epoch of this router's store it was shown at the latest; 0 for none.
    pub fn peer_saw_epoch(&mut self, epoch: u64) {
        self.shown = Some(self.shown.unwrap_or(0).max(epoch));
    }

    /// The next steps, which are to be carried out in this order; `time` is the present one.
    pub fn poll(&mut self, now: f64, time: &SnapshotTime) -> Vec<Step> {
        match self.phase {
            Phase::Reading if now >= self.entered + READ_TIMEOUT => self.lose(LossReason::Timeout, now),
            Phase::Proving => self.prove(now, time),
            Phase::Settling if now >= self.started + self.look_back.longest() => self.enter(Phase::Full, now),
            _ => {}
        }
        std::mem::take(&mut self.steps)
    }

    fn prove(&mut self, now: f64, time: &SnapshotTime) {
        let Some((epoch, snapshot)) = &self.found else { return self.lose(LossReason::NoSnapshot, now) };
        let unproved = self.injected == InjectedFault::EpochNotChecked;
        if self.shown.is_some_and(|shown| shown > *epoch) && !unproved {
            return self.lose(LossReason::Outdated, now);
        }
        let Some(passed) = snapshot.taken_at.elapsed_until(time) else {
            return self.lose(LossReason::FromFuture, now);
        };
        let proved = self.shown.is_some() || !self.has_peers || now >= self.entered + PROVE_TIMEOUT;
        if !proved && !unproved {
            return;
        }
        let mut snapshot = snapshot.clone();
        if self.injected == InjectedFault::UnpersistedRetriesIgnored {
            snapshot.unpersisted_retries = 0;
        }
        let valid_history = valid_history(&snapshot, passed, &self.look_back);
        self.found = None;
        self.steps.push(Step::RestoreHistory(valid_history));
        self.enter(Phase::Full, now);
    }

    /// When [`Recovery::poll`] is to be called next, in seconds; infinite in full service.
    pub fn due(&self) -> f64 {
        match self.phase {
            Phase::Reading => self.entered + READ_TIMEOUT,
            Phase::Proving => self.entered + PROVE_TIMEOUT,
            Phase::Settling => self.started + self.look_back.longest(),
            Phase::Full => f64::INFINITY,
        }
    }
}
