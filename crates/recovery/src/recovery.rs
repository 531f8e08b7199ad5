//! The phases in which a restarted router restores the history that its former incarnation persisted.

use crate::{valid_history, LookBack, Pieces, Snapshot, SnapshotTime, ValidHistory};

/// Seconds within which the store must report its contents. After that, the snapshot counts as lost. The log text of
/// [`LossReason::Timeout`] states this time.
const READ_TIMEOUT: f64 = 1.0;
/// Seconds to wait for a peer to report the latest epoch that it was shown. After that, the snapshot found is accepted
/// without confirmation.
const EPOCH_TIMEOUT: f64 = 1.0;

/// The phase of a router's recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The store has not reported its contents yet.
    Reading,
    /// A snapshot was found; peers are asked for the latest epoch that they were shown, to find out whether a later
    /// snapshot was written.
    Proving,
    /// The history is lost. The worst case stays assumed until no window reaches back beyond the start.
    Settling,
    /// Full service.
    Full,
}

impl Phase {
    /// The name of the phase in logs and in the status.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Reading => "reading",
            Phase::Proving => "proving",
            Phase::Settling => "settling",
            Phase::Full => "full",
        }
    }
}

/// The reason why no history is restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The store holds no snapshot, or has quarantined it.
    NoSnapshot,
    /// The store did not report its contents within 1 s.
    Timeout,
    /// A piece of the snapshot is missing or can't be decoded.
    Unreadable,
    /// The snapshot's time lies in the future: a clock was set back, and the age can't be determined.
    FromFuture,
    /// Peers were shown a later epoch: an older copy of the store was restored.
    Outdated,
}

impl LossReason {
    /// The description of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LossReason::NoSnapshot => "the store holds no snapshot",
            LossReason::Timeout => "the store did not answer within 1 s",
            LossReason::Unreadable => "a piece of the snapshot is missing or can't be decoded",
            LossReason::FromFuture => "the snapshot is dated in the future",
            LossReason::Outdated => "peers were shown a later epoch",
        }
    }
}

/// A step for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The decision core is to assume the worst case of the unknown history: the retry budget and the slow-start
    /// budgets count as used up just now. This is the first step, and holds until [`Step::RestoreHistory`] replaces it
    /// or no window reaches back beyond the start.
    AssumeLostHistory,
    /// The decision core is to replace the assumed worst case by this history.
    RestoreHistory(ValidHistory),
    /// No history is restored, for this reason; the host logs it.
    Discarded(LossReason),
    /// A phase has begun; the host logs it.
    Entered(Phase),
}

/// The contents of the store: epoch and pieces of the snapshot; `None` if there is no usable snapshot.
pub type StoreContents = Option<(u64, Pieces)>;

/// Faults that tests inject to show that the model checker finds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// The snapshot found is restored without checking its epoch.
    EpochNotChecked,
    /// Retries that may have been made since the last write are ignored.
    UnpersistedRetriesIgnored,
}

/// The recovery of a restarted router, as a state machine.
#[derive(Clone, Debug)]
pub struct Recovery {
    look_back: LookBack,
    started: f64,
    /// Time at which the present phase was entered.
    entered: f64,
    phase: Phase,
    /// The snapshot that waits for confirmation, and its epoch.
    found: Option<(u64, Snapshot)>,
    has_peers: bool,
    /// The latest epoch that a peer reports to have been shown; `None` before any peer has reported.
    epoch_seen: Option<u64>,
    steps: Vec<Step>,
    /// The fault that a test of the model checker injects.
    pub injected: InjectedFault,
}

impl Recovery {
    /// Starts recovery at `now`, in seconds of any clock that can't be set. `has_peers`: whether there are peers that
    /// can confirm the epoch.
    pub fn new(look_back: LookBack, has_peers: bool, now: f64) -> Recovery {
        Recovery {
            look_back,
            started: now,
            entered: now,
            phase: Phase::Reading,
            found: None,
            has_peers,
            epoch_seen: None,
            steps: vec![Step::AssumeLostHistory, Step::Entered(Phase::Reading)],
            injected: InjectedFault::None,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Seconds since recovery started.
    pub fn age(&self, now: f64) -> f64 {
        now - self.started
    }

    fn enter(&mut self, phase: Phase, now: f64) {
        self.phase = phase;
        self.entered = now;
        self.steps.push(Step::Entered(phase));
    }

    fn discard(&mut self, reason: LossReason, now: f64) {
        self.found = None;
        self.steps.push(Step::Discarded(reason));
        self.enter(Phase::Settling, now);
    }

    /// Takes the contents of the store. They are ignored once the phase [`Phase::Reading`] has ended.
    pub fn store_read(&mut self, contents: StoreContents, now: f64) {
        if self.phase != Phase::Reading {
            return;
        }
        let Some((epoch, pieces)) = contents else { return self.discard(LossReason::NoSnapshot, now) };
        let Some(snapshot) = Snapshot::from_pieces(&pieces) else {
            return self.discard(LossReason::Unreadable, now);
        };
        self.found = Some((epoch, snapshot));
        self.enter(Phase::Proving, now);
    }

    /// A peer reports the latest epoch of this router's store that it was shown; 0 if none. Reports have no effect once
    /// the phase [`Phase::Proving`] has ended.
    pub fn peer_saw_epoch(&mut self, epoch: u64) {
        self.epoch_seen = Some(self.epoch_seen.unwrap_or(0).max(epoch));
    }

    /// The next steps, to be carried out in this order. `time` is the present time on the snapshot clocks.
    pub fn poll(&mut self, now: f64, time: &SnapshotTime) -> Vec<Step> {
        match self.phase {
            Phase::Reading if now >= self.entered + READ_TIMEOUT => self.discard(LossReason::Timeout, now),
            Phase::Proving => self.restore_if_confirmed(now, time),
            Phase::Settling if now >= self.started + self.look_back.longest() => self.enter(Phase::Full, now),
            _ => {}
        }
        std::mem::take(&mut self.steps)
    }

    /// Discards the snapshot if a peer was shown a later epoch or if its time is in the future. Otherwise restores it
    /// once any peer has reported, or if there are no peers, or after [`EPOCH_TIMEOUT`].
    fn restore_if_confirmed(&mut self, now: f64, time: &SnapshotTime) {
        let Some((epoch, snapshot)) = &self.found else { return self.discard(LossReason::NoSnapshot, now) };
        let skips_check = self.injected == InjectedFault::EpochNotChecked;
        if self.epoch_seen.is_some_and(|epoch_seen| epoch_seen > *epoch) && !skips_check {
            return self.discard(LossReason::Outdated, now);
        }
        let Some(passed) = snapshot.taken_at.elapsed_until(time) else {
            return self.discard(LossReason::FromFuture, now);
        };
        let is_accepted = self.epoch_seen.is_some() || !self.has_peers || now >= self.entered + EPOCH_TIMEOUT;
        if !is_accepted && !skips_check {
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

    /// Latest time at which [`Recovery::poll`] is to be called next; infinite in full service. A call is also due after
    /// [`Recovery::store_read`] and [`Recovery::peer_saw_epoch`].
    pub fn due(&self) -> f64 {
        match self.phase {
            Phase::Reading => self.entered + READ_TIMEOUT,
            Phase::Proving => self.entered + EPOCH_TIMEOUT,
            Phase::Settling => self.started + self.look_back.longest(),
            Phase::Full => f64::INFINITY,
        }
    }
}
