use crate::snapshot::{IDEMPOTENCY_RECORDS, RETRIES, SLOW_START};
use crate::*;
use proptest::prelude::*;

const LOOK_BACK: LookBack = LookBack { retries: 10.0, slow_start: 2.0, deduplication: 12.0 };

fn time(at: f64) -> SnapshotTime {
    SnapshotTime { boot: 7, since_boot: at, unix: 1e9 + at }
}

fn snapshot(at: f64) -> Snapshot {
    let slow_start = vec![SentWork { name_hash: 3, incarnation: 1, work: 0.5 }];
    Snapshot {
        taken_at: time(at),
        retries: vec![6.0, 1.0],
        unpersisted_retries: 2,
        slow_start,
        idempotency_records: vec![IdempotencyRecord { key: 42, age: 3.0 }],
    }
}

fn contents(at: f64, epoch: u64) -> StoreContents {
    Some((epoch, snapshot(at).to_pieces()))
}

/// Runs recovery from 100.0 s to `until`, with these contents of the store and these epochs reported by peers. Returns
/// the recovery and all its steps.
fn recover(
    contents: StoreContents,
    has_peers: bool,
    reported_epochs: &[u64],
    until: f64,
) -> (Recovery, Vec<Step>) {
    let mut recovery = Recovery::new(LOOK_BACK, has_peers, 100.0);
    let mut steps = recovery.poll(100.0, &time(100.0));
    recovery.store_read(contents, 100.1);
    reported_epochs.iter().for_each(|epoch| recovery.peer_saw_epoch(*epoch));
    let mut now = 100.1;
    while now < until {
        steps.extend(recovery.poll(now, &time(now)));
        now += 0.1;
    }
    (recovery, steps)
}

#[test]
fn restores_a_snapshot_with_its_age_once_a_peer_confirms_its_epoch() {
    let (recovery, steps) = recover(contents(98.0, 5), true, &[4], 100.3);
    assert_eq!(steps[0], Step::AssumeLostHistory);
    let Some(Step::RestoreHistory(history)) =
        steps.iter().find(|step| matches!(step, Step::RestoreHistory(_)))
    else {
        panic!("{steps:?}")
    };
    let ages: Vec<f64> = history.retries.iter().map(|age| (age * 10.0).round() / 10.0).collect();
    // Both retries are 2.1 s older; two more may have been made after the snapshot.
    assert_eq!(ages, [8.1, 3.1, 0.0, 0.0]);
    assert!(history.slow_start.is_empty(), "the slow-start window is over");
    assert!((history.idempotency_records[0].age - 5.1).abs() < 1e-6);
    assert_eq!(recovery.phase(), Phase::Full);
}

#[test]
fn waits_one_second_for_peers_and_not_at_all_without_any() {
    let restores = |steps: &[Step]| steps.iter().any(|step| matches!(step, Step::RestoreHistory(_)));
    assert!(!restores(&recover(contents(99.0, 5), true, &[], 100.9).1));
    assert!(restores(&recover(contents(99.0, 5), true, &[], 101.4).1));
    assert!(restores(&recover(contents(99.0, 5), false, &[], 100.3).1));
}

/// Guards against restoring an older copy of the whole store.
#[test]
fn rejects_a_store_older_than_what_peers_were_shown() {
    let (recovery, steps) = recover(contents(99.0, 5), true, &[3, 9, 5], 100.5);
    assert!(steps.contains(&Step::Discarded(LossReason::Outdated)), "{steps:?}");
    assert_eq!(recovery.phase(), Phase::Settling);
}

#[test]
fn discards_missing_unreadable_late_or_future_snapshots_and_settles() {
    for (contents, reason) in [
        (None, LossReason::NoSnapshot),
        (Some((5, Pieces::from([(RETRIES, vec![1, 2])]))), LossReason::Unreadable),
        (contents(104.0, 5), LossReason::FromFuture),
    ] {
        let (recovery, steps) = recover(contents, false, &[], 110.3);
        assert!(steps.contains(&Step::Discarded(reason)), "{reason:?}: {steps:?}");
        assert_eq!(recovery.phase(), Phase::Full, "no window reaches back beyond the start");
    }
    let mut recovery = Recovery::new(LOOK_BACK, true, 100.0);
    assert!(recovery.poll(101.1, &time(101.1)).contains(&Step::Discarded(LossReason::Timeout)));
    recovery.store_read(contents(99.0, 5), 101.2);
    assert_eq!(recovery.phase(), Phase::Settling, "contents reported after the time limit are ignored");
}

/// Guards against wrong ages when the Unix clock is set while the router is down: within one boot only the clock since
/// boot counts.
#[test]
fn ages_within_one_boot_ignore_the_unix_clock() {
    let now = SnapshotTime { unix: 5.0, ..time(100.0) };
    assert_eq!(time(98.0).elapsed_until(&now), Some(2.0));
    let rebooted = SnapshotTime { boot: 8, since_boot: 3.0, unix: 1e9 + 160.0 };
    assert_eq!(time(98.0).elapsed_until(&rebooted), Some(62.0));
    assert_eq!(time(98.0).elapsed_until(&SnapshotTime { unix: 1e9, ..rebooted }), None);
}

/// Guards against running a deduplicated request twice: it was dispatched 3 s before the snapshot was taken, and is
/// sent again 1 s and 13 s after it.
#[test]
fn idempotency_records_are_valid_for_twice_their_window() {
    let age = |passed: f64| {
        valid_history(&snapshot(0.0), passed, &LOOK_BACK).idempotency_records.first().map(|record| record.age)
    };
    assert_eq!((age(1.0), age(13.0), age(21.5)), (Some(4.0), Some(16.0), None));
}

#[test]
fn writes_soon_after_changes_one_at_a_time_and_reports_a_slow_disk_once() {
    let mut schedule = WriteSchedule::new(10.0);
    assert!(schedule.begin_if_due(10.0) && !schedule.begin_if_due(10.1));
    schedule.changed();
    assert!(!schedule.begin_if_due(10.2), "only one write at a time");
    assert_eq!(
        (schedule.slow_changed(10.9), schedule.slow_changed(11.1), schedule.slow_changed(11.2)),
        (None, Some(true), None)
    );
    schedule.finished(true);
    assert_eq!(schedule.slow_changed(11.3), Some(false));
    assert!(schedule.begin_if_due(11.3));
    schedule.finished(true);
    assert!(!schedule.begin_if_due(11.4) && schedule.begin_if_due(11.56));
}

#[test]
fn limits_retries_while_a_write_is_not_on_the_disk() {
    let mut schedule = WriteSchedule::new(10.0);
    let allowance = |schedule: &WriteSchedule, retries: &[f64], now| {
        schedule.retry_allowance(retries.iter().copied(), 10.0, now)
    };
    assert_eq!(
        (allowance(&schedule, &[], 11.0), allowance(&schedule, &[], 20.1)),
        (0, MAX_UNPERSISTED_RETRIES),
        "no write is on the disk"
    );
    assert!(schedule.begin_if_due(10.0));
    schedule.finished(true);
    assert_eq!(allowance(&schedule, &[10.5, 11.0], 11.0), MAX_UNPERSISTED_RETRIES - 2);
    assert!(schedule.begin_if_due(12.0));
    assert_eq!(allowance(&schedule, &[10.5, 11.0, 12.5], 13.0), 0, "the write is not on the disk yet");
    schedule.finished(false);
    assert_eq!(allowance(&schedule, &[10.5, 11.0, 12.5], 13.0), 0, "the write failed");
    assert!(schedule.begin_if_due(13.0));
    schedule.finished(true);
    assert_eq!(allowance(&schedule, &[10.5, 11.0, 12.5, 13.1], 13.2), MAX_UNPERSISTED_RETRIES - 1);
    assert_eq!(
        allowance(&schedule, &[13.0 - 1e-6], 13.2),
        MAX_UNPERSISTED_RETRIES - 1,
        "a retry at the start of the write is not persisted, despite rounding"
    );
    assert_eq!(
        allowance(&schedule, &[13.1], 23.2),
        MAX_UNPERSISTED_RETRIES,
        "the window of the retry is over"
    );
}

#[test]
fn persists_only_the_newest_idempotency_records() {
    let oversized = Snapshot {
        idempotency_records: (0..9000).map(|key| IdempotencyRecord { key, age: 1.0 }).collect(),
        ..snapshot(1.0)
    };
    let read = Snapshot::from_pieces(&oversized.to_pieces()).unwrap();
    assert_eq!(
        (read.idempotency_records.len(), read.idempotency_records[0].key),
        (MAX_IDEMPOTENCY_RECORDS, 9000 - MAX_IDEMPOTENCY_RECORDS as u64)
    );
}

proptest! {
    #[test]
    fn decodes_any_bytes_without_panic(retries in proptest::collection::vec(any::<u8>(), 0..200),
                        other in proptest::collection::vec(any::<u8>(), 0..100)) {
        let _ = Snapshot::from_pieces(&Pieces::from([(RETRIES, retries.clone()), (SLOW_START, other.clone()), (IDEMPOTENCY_RECORDS, other)]));
        let mut damaged = snapshot(1.0).to_pieces();
        damaged.insert(RETRIES, retries);
        if let Some(snapshot) = Snapshot::from_pieces(&damaged) {
            prop_assert!(valid_history(&snapshot, 1.0, &LOOK_BACK).retries.iter().all(|age| *age >= 0.0));
        }
    }

    /// No entry is valid for longer than its window, and the number of valid entries never grows with time.
    #[test]
    fn fewer_entries_are_valid_as_time_passes(ages in proptest::collection::vec(0.0..20.0f64, 0..20), passed in 0.0..30.0f64) {
        let snapshot = Snapshot { retries: ages, ..snapshot(0.0) };
        let (now, later) = (valid_history(&snapshot, passed, &LOOK_BACK), valid_history(&snapshot, passed + 1.0, &LOOK_BACK));
        prop_assert!(now.retries.iter().all(|age| *age < LOOK_BACK.retries));
        prop_assert!(later.retries.len() <= now.retries.len() && later.idempotency_records.len() <= now.idempotency_records.len());
    }
}
