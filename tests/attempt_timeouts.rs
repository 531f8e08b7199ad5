//! How long attempts are waited for.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn a_light_request_that_stands_still_goes_elsewhere_before_its_expected_time() {
    // Whatever it stands behind: a holder of its tables, a lost answer, a dead engine. Quick and slow deployments.
    for pace in [0.2, 1.0] {
        let mut deployment = two_class_deployment();
        deployment.can_cancel = true;
        deployment.classes.iter_mut().for_each(|class| class.latency_objective = pace);
        for seed in 0..8 {
            let mut host = TestHost::seeded(deployment.clone(), 3, seed);
            let request = host.request(0, |taken| taken.estimated_work = Some(0.05 * pace));
            host.round();
            let wait = host.recorder.time_outs[0].expect("a time-out");
            let (expected, run) = (1.1 * pace, 0.075 * pace);
            assert!((2.0 * run..expected - 2.0 * run).contains(&wait), "{wait} s of {expected} s");
            host.now += wait;
            host.attempt_ended(request, AttemptOutcome::TimedOut, wait);
            host.round();
            let engines = host.engines_of(request);
            assert!(engines.len() == 2 && engines[0] != engines[1], "{engines:?}");
            // The second is given time for more than its work, though little is left.
            assert!(host.recorder.time_outs[1].is_some_and(|wait| wait > 3.5 * run));
        }
    }
}

#[test]
fn when_everything_is_slower_attempts_are_waited_for_longer() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    deployment.classes[0].latency_objective = 0.2;
    let mut host = TestHost::new(deployment, 4);
    let mut asked = |requests: usize, pace: f64| {
        for _ in 0..requests {
            let request = host.request(0, |_| ());
            host.round();
            host.now += 0.05;
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1 * pace);
        }
        host.request(0, |taken| taken.estimated_work = Some(0.4));
        host.round();
        host.recorder.time_outs.last().copied().flatten().expect("a time-out")
    };
    // Cancelled at the usual time, all would be begun anew elsewhere, which is as slow.
    let (usual, slow) = (asked(60, 1.0), asked(25, 4.0));
    assert!(slow > 2.3 * usual, "{usual} s, then {slow} s");
}
