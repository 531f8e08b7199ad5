use super::*;

fn count(expected: usize, present: usize) -> ViewInputs {
    ViewInputs {
        expected,
        present,
        formed: true,
        disagreeing: 0,
        started_ago: 100.0,
        resumed_ago: f64::INFINITY,
        leaving: false,
        name_conflict: false,
    }
}

#[test]
fn reaches_every_row_of_the_table() {
    let rows = [
        (count(9, 9), Standing::Complete),
        (count(1, 1), Standing::Complete),
        (count(9, 5), Standing::Majority),
        (count(10, 6), Standing::Majority),
        (count(10, 5), Standing::Half),
        (count(2, 1), Standing::Alone),
        (count(10, 4), Standing::Minority),
        (count(9, 4), Standing::Minority),
        (count(9, 1), Standing::Alone),
        (ViewInputs { formed: false, ..count(9, 4) }, Standing::NeverFormed),
        (ViewInputs { formed: false, ..count(9, 1) }, Standing::NeverFormed),
        (ViewInputs { disagreeing: 1, ..count(9, 9) }, Standing::Disagreeing),
        (ViewInputs { disagreeing: 3, ..count(9, 4) }, Standing::Minority),
        (ViewInputs { resumed_ago: 0.1, ..count(9, 9) }, Standing::JustResumed),
        (ViewInputs { started_ago: 0.1, ..count(9, 9) }, Standing::JustStarted),
        (ViewInputs { started_ago: 0.1, resumed_ago: 0.0, ..count(9, 9) }, Standing::JustResumed),
        (ViewInputs { name_conflict: true, ..count(9, 9) }, Standing::NameConflict),
        (ViewInputs { leaving: true, name_conflict: true, ..count(9, 9) }, Standing::Leaving),
    ];
    for (count, wanted) in rows {
        assert_eq!(standing(&count), wanted, "{count:?}");
    }
    let reached: std::collections::BTreeSet<_> = rows.iter().map(|(_, wanted)| *wanted).collect();
    assert_eq!(reached.len(), Standing::ALL.len(), "a row that nothing reaches");
}

/// Whatever the two sides of a partition find, they never both may take over.
#[test]
fn no_two_partitions_may_both_take_over() {
    for expected in 1..=40 {
        for first in 0..=expected {
            let may =
                |present: usize| present > 0 && permissions(standing(&count(expected, present))).takes_over;
            assert!(!(may(first) && may(expected - first)), "{first} of {expected}");
        }
    }
}

#[test]
fn takeover_and_released_shares_require_leases() {
    for standing in Standing::ALL {
        let allowed = permissions(standing);
        assert!(allowed.requests_leases || !allowed.takes_over, "{standing:?}");
        assert!(allowed.requests_leases || !allowed.uses_released_shares, "{standing:?}");
    }
}

#[test]
fn restarted_routers_grant_nothing_and_paused_routers_tell_nothing() {
    let row = |standing| permissions(standing);
    assert!(!row(Standing::JustStarted).grants_leases);
    assert!(!row(Standing::NameConflict).grants_leases);
    for old in [Standing::JustStarted, Standing::JustResumed, Standing::Leaving, Standing::NameConflict] {
        assert!(!row(old).shares_observations, "{old:?}");
    }
    for quiet in [Standing::Complete, Standing::Majority, Standing::Leaving, Standing::JustStarted] {
        assert!(!row(quiet).warns, "{quiet:?}");
    }
    for loud in [Standing::Half, Standing::Minority, Standing::Alone, Standing::NeverFormed] {
        assert!(row(loud).warns && row(loud).uses_peer_evidence, "{loud:?}");
    }
}
