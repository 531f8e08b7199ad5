//! Rule 7 over restarts, walked by stateright over the real code of recovery and writes, with a disk that hangs, loses what
//! it acknowledged, or has an older copy write back; and phases that always end.

use cleatgw_recovery::{
    InjectedFault, LookBack, Phase, Pieces, Recovery, Snapshot, SnapshotTime, Step, WriteSchedule,
    MAX_UNPERSISTED_RETRIES,
};
use cleatgw_testbed::identify_by_digest;
use stateright::{Checker, Model, Property};

const SPARE: usize = 4;
const LOOK_BACK: LookBack = LookBack { retries: 10.0, slow_start: 2.0, deduplication: 12.0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum FaultAction {
    /// A retry, if it is allowed.
    Attempt,
    /// The disk takes what is asked of it: for good, or only as it says.
    Put {
        lost: bool,
    },
    /// A peer is shown the epoch of the last write.
    Shown,
    Kill,
    /// The first file that ever was is write back in place of the last one; then as above.
    KillAndPutBack,
    Wait(u8),
}

#[derive(Clone, Debug)]
struct State {
    now: f64,
    /// All retries that were really made.
    made: Vec<f64>,
    /// What the present incarnation counts, and what it assumes of former ones.
    counted: Vec<f64>,
    assumed: Vec<f64>,
    recovery: Recovery,
    schedule: WriteSchedule,
    epoch: u64,
    /// On the disk: the last write, and the first; what is to be write.
    file: Option<(u64, Pieces)>,
    first: Option<(u64, Pieces)>,
    pending: Option<(u64, Pieces)>,
    shown: u64,
    lies: u32,
    acts: u32,
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
enum Lies {
    None,
    /// Once, a write that was acknowledged is lost.
    Loses,
    /// Once, an older copy is write back, when a peer has been shown a later one.
    PutsBack,
}

struct Restarts {
    injected: InjectedFault,
    lies: Lies,
    most: u32,
}

impl Restarts {
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
        // A peer says at once what it was shown.
        state.recovery.peer_saw_epoch(state.shown);
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
            Step::AssumeLostHistory => state.assumed = vec![state.now; SPARE],
            Step::RestoreHistory(taken) => {
                state.assumed = taken.retries.iter().map(|age| state.now - age).collect()
            }
            Step::Discarded(_) | Step::Entered(_) => {}
        }
    }
}

fn within(all: &[f64], now: f64) -> usize {
    all.iter().filter(|at| now - **at < LOOK_BACK.retries).count()
}

impl Model for Restarts {
    type State = State;
    type Action = FaultAction;

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
            first: None,
            pending: None,
            shown: 0,
            lies: 0,
            acts: 0,
        };
        self.start(&mut state);
        // It has run for long, and its first write is on the disk.
        state.now += 20.0;
        state.assumed.clear();
        self.turn(&mut state);
        state.file = state.pending.take();
        state.first = state.file.clone();
        state.schedule.finished(true);
        // Or it has made some retries since, and a peer was shown the write that tells of them.
        let mut busy = state.clone();
        busy.now += 1.0;
        (busy.made, busy.counted) = (vec![busy.now; 3], vec![busy.now; 3]);
        busy.now += 1.0;
        self.turn(&mut busy);
        busy.file = busy.pending.take();
        busy.schedule.finished(true);
        busy.shown = busy.epoch;
        vec![state, busy]
    }

    fn actions(&self, state: &State, actions: &mut Vec<FaultAction>) {
        if state.acts >= self.most {
            return;
        }
        let all = [&state.counted[..], &state.assumed[..]].concat();
        let window = within(&all, state.now) < SPARE;
        let ahead =
            state.schedule.retry_allowance(state.counted.iter().copied(), LOOK_BACK.retries, state.now) > 0;
        if window && ahead {
            actions.push(FaultAction::Attempt);
        }
        if state.pending.is_some() {
            actions.push(FaultAction::Put { lost: false });
            if self.lies == Lies::Loses && state.lies == 0 {
                actions.push(FaultAction::Put { lost: true });
            }
        }
        if state.shown < state.epoch && state.pending.is_none() {
            actions.push(FaultAction::Shown);
        }
        actions.push(FaultAction::Kill);
        let shown = state.file.as_ref().is_some_and(|(epoch, _)| *epoch == state.shown);
        if self.lies == Lies::PutsBack && state.lies == 0 && shown {
            actions.push(FaultAction::KillAndPutBack);
        }
        actions.extend([FaultAction::Wait(1), FaultAction::Wait(4)]);
    }

    fn next_state(&self, state: &State, act: FaultAction) -> Option<State> {
        let mut state = state.clone();
        state.acts += 1;
        match act {
            FaultAction::Attempt => {
                state.made.push(state.now);
                state.counted.push(state.now);
                state.schedule.changed();
            }
            FaultAction::Put { lost } => {
                let put = state.pending.take();
                state.lies += u32::from(lost);
                state.file = if lost { state.file.take() } else { put };
                state.schedule.finished(true);
            }
            FaultAction::Shown => state.shown = state.epoch,
            FaultAction::Kill => {
                state.now += 0.1;
                self.start(&mut state);
            }
            FaultAction::KillAndPutBack => {
                state.lies += 1;
                state.now += 0.1;
                state.file = state.first.clone();
                self.start(&mut state);
            }
            FaultAction::Wait(seconds) => state.now += f64::from(seconds),
        }
        self.turn(&mut state);
        state.made.retain(|at| state.now - at < LOOK_BACK.retries);
        state.counted.retain(|at| state.now - at < LOOK_BACK.retries);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the budget holds over restarts", |model: &Restarts, state: &State| {
                // A write that was acknowledged and lost ahead of its being shown to anybody can't be missed.
                let unseen = if model.lies == Lies::Loses { MAX_UNPERSISTED_RETRIES as usize } else { 0 };
                within(&state.made, state.now) <= SPARE + unseen
            }),
            Property::always("phases end", |_: &Restarts, state: &State| {
                let age = state.recovery.age(state.now);
                state.recovery.phase() == Phase::Full || age <= LOOK_BACK.retries + 4.0
            }),
        ]
    }
}

#[test]
fn keeps_the_budget_over_restarts_with_an_honest_disk_that_may_hang() {
    let model = Restarts { injected: InjectedFault::None, lies: Lies::None, most: 9 };
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn lost_put_costs_at_most_the_attempts_ahead_and_an_older_copy_nothing() {
    for lies in [Lies::Loses, Lies::PutsBack] {
        let model = Restarts { injected: InjectedFault::None, lies, most: 9 };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
        checker.assert_properties();
    }
}

#[test]
fn finds_each_injected_fault() {
    let broken = |injected, lies| {
        let checker = Restarts { injected, lies, most: 10 }.checker().threads(4);
        let checker = checker.target_state_count(1_000_000).spawn_bfs().join();
        checker.discovery("the budget holds over restarts").is_some()
    };
    assert!(broken(InjectedFault::UnpersistedRetriesIgnored, Lies::None));
    assert!(broken(InjectedFault::EpochNotChecked, Lies::PutsBack));
}
