use super::*;

fn inputs(expected: usize, present: usize) -> ViewInputs {
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
        (inputs(9, 9), Standing::Complete),
        (inputs(1, 1), Standing::Complete),
        (inputs(9, 5), Standing::Majority),
        (inputs(10, 6), Standing::Majority),
        (inputs(10, 5), Standing::Half),
        (inputs(2, 1), Standing::Alone),
        (inputs(10, 4), Standing::Minority),
        (inputs(9, 4), Standing::Minority),
        (inputs(9, 1), Standing::Alone),
        (ViewInputs { formed: false, ..inputs(9, 4) }, Standing::NeverFormed),
        (ViewInputs { formed: false, ..inputs(9, 1) }, Standing::NeverFormed),
        (ViewInputs { disagreeing: 1, ..inputs(9, 9) }, Standing::Disagreeing),
        (ViewInputs { disagreeing: 3, ..inputs(9, 4) }, Standing::Minority),
        (ViewInputs { resumed_ago: 0.1, ..inputs(9, 9) }, Standing::JustResumed),
        (ViewInputs { started_ago: 0.1, ..inputs(9, 9) }, Standing::JustStarted),
        (ViewInputs { started_ago: 0.1, resumed_ago: 0.0, ..inputs(9, 9) }, Standing::JustResumed),
        (ViewInputs { name_conflict: true, ..inputs(9, 9) }, Standing::NameConflict),
        (ViewInputs { leaving: true, name_conflict: true, ..inputs(9, 9) }, Standing::Leaving),
    ];
    for (inputs, expected_standing) in rows {
        assert_eq!(standing(&inputs), expected_standing, "{inputs:?}");
    }
    let reached: std::collections::BTreeSet<_> =
        rows.iter().map(|(_, expected_standing)| *expected_standing).collect();
    assert_eq!(reached.len(), Standing::ALL.len(), "not every standing is reached by a row");
}

/// However a cluster is split in two, at most one side may take over.
#[test]
fn no_two_partitions_may_both_take_over() {
    for expected in 1..=40 {
        for one_side in 0..=expected {
            let may_take_over =
                |present: usize| present > 0 && permissions(standing(&inputs(expected, present))).takes_over;
            assert!(
                !(may_take_over(one_side) && may_take_over(expected - one_side)),
                "{one_side} of {expected}"
            );
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
fn restarted_routers_grant_nothing_and_paused_routers_report_nothing() {
    assert!(!permissions(Standing::JustStarted).grants_leases);
    assert!(!permissions(Standing::NameConflict).grants_leases);
    for standing in [Standing::JustStarted, Standing::JustResumed, Standing::Leaving, Standing::NameConflict]
    {
        assert!(!permissions(standing).shares_observations, "{standing:?}");
    }
    for standing in [Standing::Complete, Standing::Majority, Standing::Leaving, Standing::JustStarted] {
        assert!(!permissions(standing).warns, "{standing:?}");
    }
    for standing in [Standing::Half, Standing::Minority, Standing::Alone, Standing::NeverFormed] {
        assert!(permissions(standing).warns && permissions(standing).uses_peer_evidence, "{standing:?}");
    }
}
