use super::*;

fn count(expected: usize, present: usize) -> Count {
    Count {
        expected,
        present,
        formed: true,
        disagreeing: 0,
        started_ago: 100.0,
        woke_ago: f64::INFINITY,
        leaving: false,
        doubled: false,
    }
}

#[test]
fn every_row_of_the_table_is_reached_by_what_it_is_named_for() {
    let rows = [
        (count(9, 9), Standing::Whole),
        (count(1, 1), Standing::Whole),
        (count(9, 5), Standing::Majority),
        (count(10, 6), Standing::Majority),
        (count(10, 5), Standing::Half),
        (count(2, 1), Standing::Alone),
        (count(10, 4), Standing::Minority),
        (count(9, 4), Standing::Minority),
        (count(9, 1), Standing::Alone),
        (Count { formed: false, ..count(9, 4) }, Standing::NeverFormed),
        (Count { formed: false, ..count(9, 1) }, Standing::NeverFormed),
        (Count { disagreeing: 1, ..count(9, 9) }, Standing::Disagreeing),
        (Count { disagreeing: 3, ..count(9, 4) }, Standing::Minority),
        (Count { woke_ago: 0.1, ..count(9, 9) }, Standing::JustWoken),
        (Count { started_ago: 0.1, ..count(9, 9) }, Standing::JustStarted),
        (Count { started_ago: 0.1, woke_ago: 0.0, ..count(9, 9) }, Standing::JustWoken),
        (Count { doubled: true, ..count(9, 9) }, Standing::Doubled),
        (Count { leaving: true, doubled: true, ..count(9, 9) }, Standing::Leaving),
    ];
    for (count, wanted) in rows {
        assert_eq!(standing(&count), wanted, "{count:?}");
    }
    let reached: std::collections::BTreeSet<_> = rows.iter().map(|(_, wanted)| *wanted).collect();
    assert_eq!(reached.len(), Standing::ALL.len(), "a row that nothing reaches");
}

/// Whatever the two sides of a cut think, they never both may take over.
#[test]
fn no_two_parts_of_a_cluster_may_both_take_over() {
    for expected in 1..=40 {
        for first in 0..=expected {
            let may = |present: usize| present > 0 && allows(standing(&count(expected, present))).takes_over;
            assert!(!(may(first) && may(expected - first)), "{first} of {expected}");
        }
    }
}

#[test]
fn what_takes_over_or_uses_anothers_share_may_hold_a_lease_for_it() {
    for standing in Standing::ALL {
        let allowed = allows(standing);
        assert!(allowed.asks_for_leases || !allowed.takes_over, "{standing:?}");
        assert!(allowed.asks_for_leases || !allowed.uses_released_shares, "{standing:?}");
    }
}

#[test]
fn who_may_have_forgotten_grants_nothing_and_who_may_have_slept_tells_nothing() {
    let row = |standing| allows(standing);
    assert!(!row(Standing::JustStarted).grants_leases);
    assert!(!row(Standing::Doubled).grants_leases);
    for old in [Standing::JustStarted, Standing::JustWoken, Standing::Leaving, Standing::Doubled] {
        assert!(!row(old).tells_of_engines, "{old:?}");
    }
    for quiet in [Standing::Whole, Standing::Majority, Standing::Leaving, Standing::JustStarted] {
        assert!(!row(quiet).warns, "{quiet:?}");
    }
    for loud in [Standing::Half, Standing::Minority, Standing::Alone, Standing::NeverFormed] {
        assert!(row(loud).warns && row(loud).hears_of_engines, "{loud:?}");
    }
}
