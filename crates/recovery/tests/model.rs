//! Model checking (stateright) of the actual recovery and write schedule: the retry budget holds over restarts, also
//! when the disk hangs, loses an acknowledged write, or has an older copy restored; and the recovery phases always end.

use cleatgw_recovery::{
    InjectedFault, LookBack, Phase, Pieces, Recovery, Snapshot, SnapshotTime, Step, WriteSchedule,
    MAX_UNPERSISTED_RETRIES,
};
use cleatgw_testbed::identify_by_digest;
use stateright::{Checker, Model, Property};

/// Retries that the budget allows in one window.
const RETRY_BUDGET: usize = 4;
const LOOK_BACK: LookBack = LookBack { retries: 10.0, slow_start: 2.0, deduplication: 12.0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A retry is made; only while it is allowed.
    Retry,
    /// The disk acknowledges the pending write. `lost`: the write is acknowledged but lost.
    AcknowledgeWrite { lost: bool },
    /// A peer is shown the epoch of the last write.
    ShowEpoch,
    /// The router is killed and restarted.
    Restart,
    /// The router is killed, the very first file replaces the last one, and the router is restarted.
    RestartWithFirstFile,
    /// This many seconds pass.
    Wait(u8),
}

#[derive(Clone, Debug)]
struct State {
    now: f64,
    /// Times of all retries that were actually made within the window.
    made: Vec<f64>,
    /// Times of the retries of the present incarnation.
    counted: Vec<f64>,
    /// Times of the retries that the present incarnation assumes of former ones.
    assumed: Vec<f64>,
    recovery: Recovery,
    schedule: WriteSchedule,
    epoch: u64,
    /// The last write on the disk.
    file: Option<(u64, Pieces)>,
    /// The first write that was on the disk.
    first_file: Option<(u64, Pieces)>,
    /// The write that the disk has not acknowledged yet.
    pending: Option<(u64, Pieces)>,
    /// The latest epoch that a peer was shown.
    epoch_seen: u64,
    /// Number of disk faults so far.
    disk_faults: u32,
    /// Number of actions so far.
    actions: u32,
}

impl State {
    fn digest(&self) -> String {
        format!("{self:?}")
    }
}

identify_by_digest!(State);
impl Eq for State {}

fn time(now: f64) -> SnapshotTime {
    SnapshotTime { boot: 1, since_boot: now, unix: 1e9 + now }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiskFault {
    None,
    /// Once, an acknowledged write is lost.
    LosesWrite,
    /// Once, the first file is restored after a peer was shown a later epoch.
    RestoresOlderFile,
}

struct RestartModel {
    injected: InjectedFault,
    disk_fault: DiskFault,
    max_actions: u32,
}

impl RestartModel {
    fn start(&self, state: &mut State) {
        let mut recovery = Recovery::new(LOOK_BACK, true, state.now);
        recovery.injected = self.injected;
        state.schedule = WriteSchedule::new(state.now);
        state.epoch = state.file.as_ref().map_or(0, |(epoch, _)| *epoch);
        state.pending = None;
        (state.counted, state.assumed) = (Vec::new(), Vec::new());
        state.recovery = recovery;
        let now = state.now;
        let steps = state.recovery.poll(now, &time(now));
        carry_out(state, steps);
        state.recovery.store_read(state.file.clone(), now);
        // A peer reports at once the latest epoch that it was shown.
        state.recovery.peer_saw_epoch(state.epoch_seen);
        self.turn(state);
    }

    fn turn(&self, state: &mut State) {
        let steps = state.recovery.poll(state.now, &time(state.now));
        carry_out(state, steps);
        if state.schedule.begin_if_due(state.now) {
            state.epoch += 1;
            let ages = state.counted.iter().chain(&state.assumed).map(|at| state.now - at);
            let retries = ages.filter(|age| *age < LOOK_BACK.retries).collect();
            let snapshot = Snapshot {
                taken_at: time(state.now),
                retries,
                unpersisted_retries: MAX_UNPERSISTED_RETRIES,
                ..Snapshot::default()
            };
            state.pending = Some((state.epoch, snapshot.to_pieces()));
        }
    }
}

fn carry_out(state: &mut State, steps: Vec<Step>) {
    for step in steps {
        match step {
            Step::AssumeLostHistory => state.assumed = vec![state.now; RETRY_BUDGET],
            Step::RestoreHistory(history) => {
                state.assumed = history.retries.iter().map(|age| state.now - age).collect()
            }
            Step::Discarded(_) | Step::Entered(_) => {}
        }
    }
}

fn count_in_window(times: &[f64], now: f64) -> usize {
    times.iter().filter(|at| now - **at < LOOK_BACK.retries).count()
}

impl Model for RestartModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let now = 100.0;
        let mut state = State {
            now,
            made: Vec::new(),
            counted: Vec::new(),
            assumed: Vec::new(),
            recovery: Recovery::new(LOOK_BACK, true, now),
            schedule: WriteSchedule::new(now),
            epoch: 0,
            file: None,
            first_file: None,
            pending: None,
            epoch_seen: 0,
            disk_faults: 0,
            actions: 0,
        };
        self.start(&mut state);
        // The router has run for long, and its first write is on the disk.
        state.now += 20.0;
        state.assumed.clear();
        self.turn(&mut state);
        state.file = state.pending.take();
        state.first_file = state.file.clone();
        state.schedule.finished(true);
        // Second initial state: it has made retries since, and a peer was shown the epoch of the write that contains
        // them.
        let mut busy = state.clone();
        busy.now += 1.0;
        (busy.made, busy.counted) = (vec![busy.now; 3], vec![busy.now; 3]);
        busy.now += 1.0;
        self.turn(&mut busy);
        busy.file = busy.pending.take();
        busy.schedule.finished(true);
        busy.epoch_seen = busy.epoch;
        vec![state, busy]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.actions >= self.max_actions {
            return;
        }
        let known_retries = [&state.counted[..], &state.assumed[..]].concat();
        let is_within_budget = count_in_window(&known_retries, state.now) < RETRY_BUDGET;
        let is_within_allowance =
            state.schedule.retry_allowance(state.counted.iter().copied(), LOOK_BACK.retries, state.now) > 0;
        if is_within_budget && is_within_allowance {
            actions.push(Action::Retry);
        }
        if state.pending.is_some() {
            actions.push(Action::AcknowledgeWrite { lost: false });
            if self.disk_fault == DiskFault::LosesWrite && state.disk_faults == 0 {
                actions.push(Action::AcknowledgeWrite { lost: true });
            }
        }
        if state.epoch_seen < state.epoch && state.pending.is_none() {
            actions.push(Action::ShowEpoch);
        }
        actions.push(Action::Restart);
        let is_file_shown = state.file.as_ref().is_some_and(|(epoch, _)| *epoch == state.epoch_seen);
        if self.disk_fault == DiskFault::RestoresOlderFile && state.disk_faults == 0 && is_file_shown {
            actions.push(Action::RestartWithFirstFile);
        }
        actions.extend([Action::Wait(1), Action::Wait(4)]);
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        state.actions += 1;
        match action {
            Action::Retry => {
                state.made.push(state.now);
                state.counted.push(state.now);
                state.schedule.changed();
            }
            Action::AcknowledgeWrite { lost } => {
                let written = state.pending.take();
                state.disk_faults += u32::from(lost);
                state.file = if lost { state.file.take() } else { written };
                state.schedule.finished(true);
            }
            Action::ShowEpoch => state.epoch_seen = state.epoch,
            Action::Restart => {
                state.now += 0.1;
                self.start(&mut state);
            }
            Action::RestartWithFirstFile => {
                state.disk_faults += 1;
                state.now += 0.1;
                state.file = state.first_file.clone();
                self.start(&mut state);
            }
            Action::Wait(seconds) => state.now += f64::from(seconds),
        }
        self.turn(&mut state);
        state.made.retain(|at| state.now - at < LOOK_BACK.retries);
        state.counted.retain(|at| state.now - at < LOOK_BACK.retries);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the retry budget holds over restarts",
                |model: &RestartModel, state: &State| {
                    // The loss of an acknowledged write can't be detected if no peer was shown its epoch.
                    let undetected = if model.disk_fault == DiskFault::LosesWrite {
                        MAX_UNPERSISTED_RETRIES as usize
                    } else {
                        0
                    };
                    count_in_window(&state.made, state.now) <= RETRY_BUDGET + undetected
                },
            ),
            Property::always("recovery phases end", |_: &RestartModel, state: &State| {
                // Settling ends after the longest window; it is only noticed after the present wait, of 4 s at most.
                let age = state.recovery.age(state.now);
                state.recovery.phase() == Phase::Full || age <= LOOK_BACK.retries + 4.0
            }),
        ]
    }
}

#[test]
fn retry_budget_holds_over_restarts_with_a_faultless_disk_that_may_hang() {
    let model = RestartModel { injected: InjectedFault::None, disk_fault: DiskFault::None, max_actions: 9 };
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn lost_write_costs_at_most_the_unpersisted_retries_and_an_older_copy_none() {
    for disk_fault in [DiskFault::LosesWrite, DiskFault::RestoresOlderFile] {
        let model = RestartModel { injected: InjectedFault::None, disk_fault, max_actions: 9 };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
        checker.assert_properties();
    }
}

#[test]
fn finds_each_injected_fault() {
    let finds_violation = |injected, disk_fault| {
        let checker = RestartModel { injected, disk_fault, max_actions: 10 }.checker().threads(4);
        let checker = checker.target_state_count(1_000_000).spawn_bfs().join();
        checker.discovery("the retry budget holds over restarts").is_some()
    };
    assert!(finds_violation(InjectedFault::UnpersistedRetriesIgnored, DiskFault::None));
    assert!(finds_violation(InjectedFault::EpochNotChecked, DiskFault::RestoresOlderFile));
}
