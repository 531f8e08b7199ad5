//! Time-outs of attempts.

mod common;

use cleatgw::*;
use common::{two_class_deployment, TestHost};

#[test]
fn a_stalled_light_request_is_retried_on_another_engine_before_its_expected_time() {
    // The cause does not matter: a request that locks its tables, a lost answer, a dead engine. The objectives stand
    // for a fast and a slow deployment.
    for latency_objective in [0.2, 1.0] {
        let mut deployment = two_class_deployment();
        deployment.can_cancel = true;
        deployment.classes.iter_mut().for_each(|class| class.latency_objective = latency_objective);
        for seed in 0..8 {
            let mut host = TestHost::seeded(deployment.clone(), 3, seed);
            let request =
                host.request(0, |incoming| incoming.estimated_work = Some(0.05 * latency_objective));
            host.round();
            let time_out = host.recorder.time_outs[0].expect("a time-out");
            let (expected, run_time) = (1.1 * latency_objective, 0.075 * latency_objective);
            assert!(
                (2.0 * run_time..expected - 2.0 * run_time).contains(&time_out),
                "time-out of {time_out} s, expected time {expected} s"
            );
            host.now += time_out;
            host.attempt_ended(request, AttemptOutcome::TimedOut, time_out);
            host.round();
            let engines = host.engines_of(request);
            assert!(engines.len() == 2 && engines[0] != engines[1], "{engines:?}");
            // The second attempt's time-out exceeds the time for its work, though little time is left until the
            // expected time.
            assert!(host.recorder.time_outs[1].is_some_and(|time_out| time_out > 3.5 * run_time));
        }
    }
}

#[test]
fn when_all_engines_are_slower_time_outs_are_longer() {
    let mut deployment = two_class_deployment();
    deployment.can_cancel = true;
    deployment.classes[0].latency_objective = 0.2;
    let mut host = TestHost::new(deployment, 4);
    let mut time_out_after = |requests: usize, slowdown: f64| {
        for _ in 0..requests {
            let request = host.request(0, |_| ());
            host.round();
            host.now += 0.05;
            host.attempt_ended(request, AttemptOutcome::Completed, 0.1 * slowdown);
        }
        host.request(0, |incoming| incoming.estimated_work = Some(0.4));
        host.round();
        host.recorder.time_outs.last().copied().flatten().expect("a time-out")
    };
    // With the usual time-out, all attempts would be cancelled and started again on engines that are just as slow.
    let (usual, slow) = (time_out_after(60, 1.0), time_out_after(25, 4.0));
    assert!(slow > 2.3 * usual, "time-out {usual} s at the usual pace, {slow} s when slow");
}
