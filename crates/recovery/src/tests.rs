use crate::kept::{BUDGET, COLD, MARKS};
use crate::*;
use proptest::prelude::*;

const LOOKS: Looks = Looks { repeats: 10.0, cold: 2.0, receipts: 12.0 };

fn moment(at: f64) -> Moment {
    Moment { boot: 7, steady: at, unix: 1e9 + at }
}

fn kept(at: f64) -> Kept {
    let cold = vec![Sent { name: 3, incarnation: 1, work: 0.5 }];
    Kept { at: moment(at), repeats: vec![6.0, 1.0], ahead: 2, cold, marks: vec![(42, 3.0)] }
}

fn found(at: f64, epoch: u64) -> Found {
    Some((epoch, kept(at).write()))
}

/// All steps so far, by a router that found this.
fn play(found: Found, peers: bool, shown: &[u64], until: f64) -> (Recovery, Vec<Step>) {
    let mut recovery = Recovery::new(LOOKS, peers, 100.0);
    let mut steps = recovery.turn(100.0, &moment(100.0));
    recovery.found(found, 100.1);
    shown.iter().for_each(|epoch| recovery.peer_was_shown(*epoch));
    let mut now = 100.1;
    while now < until {
        steps.extend(recovery.turn(now, &moment(now)));
        now += 0.1;
    }
    (recovery, steps)
}

#[test]
fn takes_up_what_was_kept_with_its_age_once_a_peer_proves_it() {
    let (recovery, steps) = play(found(98.0, 5), true, &[4], 100.3);
    assert_eq!(steps[0], Step::Forgot);
    let Some(Step::Remembers(taken)) = steps.iter().find(|step| matches!(step, Step::Remembers(_))) else {
        panic!("{steps:?}")
    };
    let ages: Vec<f64> = taken.repeats.iter().map(|age| (age * 10.0).round() / 10.0).collect();
    // 2.1 s later: both, and two that may have been made ahead of what was kept.
    assert_eq!(ages, [8.1, 3.1, 0.0, 0.0]);
    assert!(taken.cold.is_empty(), "its window is over");
    assert!((taken.marks[0].1 - 5.1).abs() < 1e-6);
    assert_eq!(recovery.phase(), Phase::Full);
}

#[test]
fn waits_one_second_for_peers_and_not_at_all_without_any() {
    let remembers = |steps: &[Step]| steps.iter().any(|step| matches!(step, Step::Remembers(_)));
    assert!(!remembers(&play(found(99.0, 5), true, &[], 100.9).1));
    assert!(remembers(&play(found(99.0, 5), true, &[], 101.4).1));
    assert!(remembers(&play(found(99.0, 5), false, &[], 100.3).1));
}

/// Hard case: an older copy of the whole file was put back.
#[test]
fn rejects_a_store_older_than_what_peers_were_shown() {
    let (recovery, steps) = play(found(99.0, 5), true, &[3, 9, 5], 100.5);
    assert!(steps.contains(&Step::Lost(LossReason::Outdated)), "{steps:?}");
    assert_eq!(recovery.phase(), Phase::Settling);
}

#[test]
fn loses_missing_unreadable_late_or_future_state_and_settles() {
    for (found, why) in [
        (None, LossReason::Nothing),
        (Some((5, Pieces::from([(BUDGET, vec![1, 2])]))), LossReason::Unreadable),
        (found(104.0, 5), LossReason::Future),
    ] {
        let (recovery, steps) = play(found, false, &[], 110.3);
        assert!(steps.contains(&Step::Lost(why)), "{why:?}: {steps:?}");
        assert_eq!(recovery.phase(), Phase::Full, "no window reaches back beyond the start");
    }
    let mut silent = Recovery::new(LOOKS, true, 100.0);
    assert!(silent.turn(101.1, &moment(101.1)).contains(&Step::Lost(LossReason::Timeout)));
    silent.found(found(99.0, 5), 101.2);
    assert_eq!(silent.phase(), Phase::Settling, "too late");
}

/// Hard case: the Unix clock was set while it was away. On the same boot only the other clock counts.
#[test]
fn ages_within_one_boot_ignore_the_unix_clock() {
    let now = Moment { unix: 5.0, ..moment(100.0) };
    assert_eq!(moment(98.0).until(&now), Some(2.0));
    let rebooted = Moment { boot: 8, steady: 3.0, unix: 1e9 + 160.0 };
    assert_eq!(moment(98.0).until(&rebooted), Some(62.0));
    assert_eq!(moment(98.0).until(&Moment { unix: 1e9, ..rebooted }), None);
}

/// Hard case: a deduplicated request was dispatched just before the end, and comes again 1 s and 13 s after the start.
#[test]
fn marks_last_for_twice_their_window() {
    let age = |passed: f64| still_valid(&kept(0.0), passed, &LOOKS).marks.first().map(|mark| mark.1);
    assert_eq!((age(1.0), age(13.0), age(21.5)), (Some(4.0), Some(16.0), None));
}

#[test]
fn puts_soon_after_changes_one_at_a_time_and_reports_a_slow_disk_once() {
    let mut puts = Puts::new(10.0);
    assert!(puts.wants(10.0) && !puts.wants(10.1));
    puts.changed();
    assert!(!puts.wants(10.2), "one at a time");
    assert_eq!((puts.turn(10.9), puts.turn(11.1), puts.turn(11.2)), (None, Some(true), None));
    puts.answered(true);
    assert_eq!(puts.turn(11.3), Some(false));
    assert!(puts.wants(11.3));
    puts.answered(true);
    assert!(!puts.wants(11.4) && puts.wants(11.56));
}

#[test]
fn limits_further_attempts_ahead_of_an_unanswered_put() {
    let mut puts = Puts::new(10.0);
    let ahead = |puts: &Puts, made: &[f64], now| puts.ahead(made.iter().copied(), 10.0, now);
    assert_eq!((ahead(&puts, &[], 11.0), ahead(&puts, &[], 20.1)), (0, AHEAD), "none is on the disk");
    assert!(puts.wants(10.0));
    puts.answered(true);
    assert_eq!(ahead(&puts, &[10.5, 11.0], 11.0), AHEAD - 2);
    assert!(puts.wants(12.0));
    assert_eq!(ahead(&puts, &[10.5, 11.0, 12.5], 13.0), 0, "the put is not on the disk");
    puts.answered(false);
    assert_eq!(ahead(&puts, &[10.5, 11.0, 12.5], 13.0), 0, "it failed");
    assert!(puts.wants(13.0));
    puts.answered(true);
    assert_eq!(ahead(&puts, &[10.5, 11.0, 12.5, 13.1], 13.2), AHEAD - 1);
    assert_eq!(ahead(&puts, &[13.0 - 1e-6], 13.2), AHEAD - 1, "of the put's own moment, but for rounding");
    assert_eq!(ahead(&puts, &[13.1], 23.2), AHEAD, "its window is over");
}

#[test]
fn keeps_only_the_newest_marks() {
    let many = Kept { marks: (0..9000).map(|mark| (mark, 1.0)).collect(), ..kept(1.0) };
    let read = Kept::read(&many.write()).unwrap();
    assert_eq!((read.marks.len(), read.marks[0].0), (MAX_MARKS, 9000 - MAX_MARKS as u64));
}

proptest! {
    #[test]
    fn reads_any_bytes_without_panic(one in proptest::collection::vec(any::<u8>(), 0..200),
                        two in proptest::collection::vec(any::<u8>(), 0..100)) {
        let _ = Kept::read(&Pieces::from([(BUDGET, one.clone()), (COLD, two.clone()), (MARKS, two)]));
        let mut damaged = kept(1.0).write();
        damaged.insert(BUDGET, one);
        if let Some(kept) = Kept::read(&damaged) {
            prop_assert!(still_valid(&kept, 1.0, &LOOKS).repeats.iter().all(|age| *age >= 0.0));
        }
    }

    /// Nothing counts for longer than its window, and with time only fewer count.
    #[test]
    fn validity_only_fades_with_time(ages in proptest::collection::vec(0.0..20.0f64, 0..20), passed in 0.0..30.0f64) {
        let kept = Kept { repeats: ages, ..kept(0.0) };
        let (now, later) = (still_valid(&kept, passed, &LOOKS), still_valid(&kept, passed + 1.0, &LOOKS));
        prop_assert!(now.repeats.iter().all(|age| *age < LOOKS.repeats));
        prop_assert!(later.repeats.len() <= now.repeats.len() && later.marks.len() <= now.marks.len());
    }
}
