//! Golden decisions: long seeded scenarios in which every action of the gateway is hashed. Refactoring and renaming
//! must leave the hashes unchanged; a commit that changes a decision updates them and says so.
//!
//! Log lines are not hashed, since their text may change. Random numbers come from ChaCha8 and the hashes are SHA-256,
//! so that the expected values depend on published algorithms only.

mod golden;

use golden::{Counts, Scenario, Variant};

fn check(variant: Variant, seed: u64, expected: &str) -> Counts {
    let mut scenario = Scenario::new(variant, seed);
    scenario.run();
    assert_eq!(scenario.hash(), expected, "{:?}", scenario.counts);
    scenario.counts
}

#[test]
fn decisions_of_few_gateways_with_grants_hedging_and_tenants_are_unchanged() {
    let counts =
        check(Variant::FewGateways, 1, "c1aa2d861e96339b1fd09c09e55767f7346864d9f1e1a1c24ae62460f616c469");
    assert!(counts.requests > 4000 && counts.attempts > 4000, "{counts:?}");
    assert!(counts.retries > 100 && counts.short_grants > 50, "{counts:?}");
    assert!(counts.rejected > 50 && counts.failed > 5, "{counts:?}");
    assert!(counts.wait_estimates > 100, "{counts:?}");
}

#[test]
fn decisions_of_many_gateways_whose_engines_report_no_measurements_are_unchanged() {
    let counts =
        check(Variant::ManyGateways, 2, "7fbdce9a9ad8663478a4d0a43cd8c7a509b926500e05e4e3bd37e87ea0ec6025");
    assert!(counts.requests > 2000 && counts.attempts > 2000, "{counts:?}");
    assert!(counts.retries > 100 && counts.rejected > 50 && counts.failed > 5, "{counts:?}");
}

#[test]
fn decisions_after_a_restart_with_paging_engines_and_a_drain_are_unchanged() {
    let counts =
        check(Variant::Restarted, 3, "2e25b0f4b8b3e2daf6243c348fb99f5fe252056612757ecd9ff86915d37a794c");
    assert!(counts.requests > 2000 && counts.attempts > 2000, "{counts:?}");
    assert!(counts.retries > 30 && counts.rejected > 500 && counts.failed > 5, "{counts:?}");
    assert!(counts.wait_estimates > 100, "{counts:?}");
}

#[test]
fn decisions_where_attempts_on_silent_engines_are_cancelled_are_unchanged() {
    let counts =
        check(Variant::SingleAttempt, 4, "62e9649fecd5005630b6ff2865115a798f3b582f0a8fd2376df7bb06d011c24a");
    assert!(counts.requests > 4000 && counts.attempts > 3000, "{counts:?}");
    assert!(counts.retries == 0 && counts.cancelled_attempts >= 3, "{counts:?}");
}
