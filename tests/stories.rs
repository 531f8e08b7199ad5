//! Short stories, one for each rule, for the design's path and for each failure met.

mod fleet;
mod host;

use cleatgw::*;
use host::{class, listing, plain, World, Wrote};

// ---- the rules ----

#[test]
fn a_request_that_no_engine_can_take_is_answered_once_before_its_deadline() {
    let mut world = World::new(plain(), 0);
    let request = world.request(0, |_| ());
    world.pass(20.0);
    let answers = world.answers(request);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < 110.0);
}

#[test]
fn a_request_whose_attempt_never_ends_is_answered_at_its_deadline() {
    let mut world = World::new(plain(), 2);
    let request = world.request(0, |_| ());
    world.pass(20.0);
    assert_eq!(world.engines_of(request).len(), 1);
    let answers = world.answers(request);
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 < 110.1);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_failed_at_once() {
    let mut deployment = plain();
    deployment.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut world = World::new(deployment, 3);
    let request = world.request(0, |_| ());
    world.round();
    world.over(request, AttemptOutcome::ConnectionLost, 0.1);
    world.pass(0.05);
    assert_eq!(world.engines_of(request).len(), 1);
    assert_eq!(world.answers(request).last().map(|(_, what)| what), Some(&Wrote::Fail(request)));
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_dispatched_again() {
    let mut deployment = plain();
    deployment.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut world = World::new(deployment, 3);
    let request = world.request(0, |_| ());
    world.round();
    world.over(request, AttemptOutcome::Unreachable, 0.1);
    world.pass(0.05);
    assert_eq!(world.engines_of(request).len(), 2);
}

#[test]
fn a_deduplicated_request_is_repeated_only_in_its_cell_and_window() {
    let mut deployment = plain();
    deployment.classes[0].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: 1.0 };
    deployment.classes[0].latency_objective = 8.0;
    let mut world = World::new(deployment, 0);
    let cells: Vec<EngineListing> =
        (0..6).map(|at| EngineListing { cell: at as u64 % 2, ..listing(at) }).collect();
    world.gateway.engines_listed(100.0, &cells, true);
    let (early, late) = (world.request(0, |_| ()), world.request(0, |_| ()));
    world.round();
    world.now += 0.5;
    world.over(early, AttemptOutcome::ConnectionLost, 0.5);
    world.pass(0.05);
    let cells: Vec<usize> = world.engines_of(early).iter().map(|engine| engine % 2).collect();
    assert!(cells.len() == 2 && cells[0] == cells[1]);
    world.now += 0.6;
    world.over(late, AttemptOutcome::ConnectionLost, 1.2);
    world.pass(0.05);
    assert_eq!(world.engines_of(late).len(), 1);
    assert_eq!(world.answers(late)[0].1, Wrote::Fail(late));
}

/// Rule 2 at the very edge of a short window: a repeat is made only where it can still be there in time, its host is told
/// by when it must have left, and where it did not, the request has its answer at once. All counts from the first attempt that
/// may have run.
#[test]
fn a_repeat_at_the_edge_of_its_window_leaves_in_time_or_not_at_all() {
    let mut deployment = plain();
    deployment.classes[0].idempotency =
        Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes[0].latency_objective = 8.0;
    let mut world = World::new(deployment, 6);
    let requests: Vec<usize> = (0..3).map(|_| world.request(0, |_| ())).collect();
    world.round();
    let begun = world.now;
    assert_eq!(world.book.leave_by, [f64::INFINITY; 3], "nothing has run before");
    // The first of these never ran: only the second one's time counts.
    world.now = begun + 0.4;
    world.over(requests[0], AttemptOutcome::Unreachable, 0.4);
    world.round();
    assert_eq!(world.book.leave_by[3], f64::INFINITY);
    world.now = begun + 0.5;
    world.over(requests[0], AttemptOutcome::ConnectionLost, 0.1);
    world.over(requests[1], AttemptOutcome::ConnectionLost, 0.5);
    world.round();
    let mut by = world.book.leave_by[4..].to_vec();
    by.sort_by(f64::total_cmp);
    assert!((by[0] - (begun + 0.98)).abs() < 1e-9 && (by[1] - (begun + 1.38)).abs() < 1e-9, "{by:?}");
    // Its connection did not come up in time; and one whose attempt ends when a repeat could not be there any more.
    world.now = begun + 0.985;
    world.over(requests[1], AttemptOutcome::NeverSent, 0.485);
    world.over(requests[2], AttemptOutcome::ConnectionLost, 0.985);
    world.round();
    assert_eq!((world.engines_of(requests[1]).len(), world.engines_of(requests[2]).len()), (2, 1));
    assert_eq!((world.answers(requests[1]).len(), world.answers(requests[2]).len()), (1, 1));
}

#[test]
fn a_request_has_no_more_attempts_than_are_allowed() {
    let mut world = World::new(plain(), 3);
    let request = world.request(0, |taken| taken.deadline += 50.0);
    for _ in 0..3 {
        world.round();
        world.over(request, AttemptOutcome::EngineFull, 0.0);
    }
    world.pass(1.0);
    assert_eq!(world.engines_of(request).len(), 3);
    assert_eq!(world.answers(request).len(), 1);
}

#[test]
fn nothing_new_goes_to_a_draining_or_gone_engine() {
    let mut world = World::new(plain(), 2);
    let draining = EngineListing { stage: EngineStage::Draining, ..listing(0) };
    world.gateway.engines_listed(100.0, &[draining, listing(1)], true);
    for group in 0..20 {
        let request = world.request(0, |taken| taken.table_group = group);
        world.pass(0.1);
        assert_eq!(world.engines_of(request), [1]);
        world.over(request, AttemptOutcome::Completed, 0.1);
    }
    // Missing from a whole list is gone.
    world.gateway.engines_listed(world.now, &[draining], true);
    let request = world.request(0, |_| ());
    world.pass(1.0);
    assert_eq!(world.engines_of(request), []);
}

#[test]
fn a_cold_engine_gets_no_more_than_our_share_of_what_it_stands() {
    let mut deployment = plain();
    deployment.gateways = 2.0;
    let cold = deployment.slow_start;
    let mut world = World::new(deployment, 0);
    world.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
    for step in 0..100 {
        let request = world.request(0, |_| ());
        world.pass(0.02);
        if !world.engines_of(request).is_empty() {
            world.over(request, AttemptOutcome::Completed, 0.1);
        }
        if step == 0 {
            assert!(!world.engines_of(request).is_empty());
        }
    }
    let mut sent: Vec<f64> = world.book.wrote.iter().map(|(at, _)| *at).collect();
    sent.dedup();
    let warmth = cold.initial_share + 0.7 * 0.2;
    let stands = cold.overload_multiple * 8.0 * warmth * cold.window / 2.0;
    let attempts = (0..world.next_request).map(|request| world.engines_of(request).len()).sum::<usize>();
    assert!(attempts as f64 * 0.1 <= stands);
    // Many heavy requests at once: most of them wait.
    let heavy: Vec<usize> = (0..20).map(|_| world.request(1, |_| ())).collect();
    world.pass(0.05);
    let dispatched = heavy.iter().filter(|&&request| !world.engines_of(request).is_empty()).count();
    assert!(dispatched as f64 * 4.0 <= stands);
}

#[test]
fn requests_of_one_key_run_in_turn_and_rest_after_a_time_out() {
    let mut deployment = plain();
    deployment.classes[0].in_key_order = true;
    deployment.key_rest = 1.0;
    let mut world = World::new(deployment, 3);
    let first = world.request(0, |taken| taken.key = Some(5));
    let second = world.request(0, |taken| taken.key = Some(5));
    let other = world.request(0, |taken| taken.key = Some(6));
    world.pass(0.1);
    assert_eq!([first, second, other].map(|request| world.engines_of(request).len()), [1, 0, 1]);
    world.over(first, AttemptOutcome::TimedOut, 0.1);
    world.gateway.request_withdrawn(first);
    world.pass(0.9);
    assert_eq!(world.engines_of(second).len(), 0);
    world.pass(0.2);
    assert_eq!(world.engines_of(second).len(), 1);
}

#[test]
fn a_long_line_for_one_key_holds_up_nobody_else() {
    let mut deployment = plain();
    deployment.classes[0].in_key_order = true;
    deployment.classes[0].value = 50.0;
    let mut world = World::new(deployment, 3);
    for _ in 0..30 {
        world.request(0, |taken| taken.key = Some(5));
    }
    let other = world.request(1, |_| ());
    world.round();
    assert_eq!(world.engines_of(other).len(), 1);
}

#[test]
fn a_bound_request_goes_nowhere_else_even_when_its_places_are_down() {
    let mut deployment = plain();
    deployment.classes[0].allowed_zones = Some(vec![1]);
    deployment.classes[1].allowed_kinds = Some(vec![1]);
    let mut world = World::new(deployment, 3);
    let requests = [world.request(0, |_| ()), world.request(1, |_| ())];
    world.pass(15.0);
    for request in requests {
        assert_eq!((world.engines_of(request).len(), world.answers(request).len()), (0, 1));
    }
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut deployment = plain();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.1, window: 10.0 });
    let mut world = World::new(deployment, 6);
    let requests: Vec<usize> = (0..10).map(|_| world.request(0, |_| ())).collect();
    world.round();
    for &request in &requests {
        world.over(request, AttemptOutcome::EngineError, 0.0);
    }
    world.pass(1.0);
    let further: usize = requests.iter().map(|&request| world.engines_of(request).len() - 1).sum();
    assert!(further <= 3);
}

// ---- the design's path ----

#[test]
fn every_request_gets_its_best_grant_until_memory_is_waited_for() {
    let mut world = World::new(plain(), 4);
    let calm = world.request(1, |_| ());
    world.round();
    assert!(world.grant_of(calm) > 999.0);
    world.over(calm, AttemptOutcome::Completed, 1.0);
    // Two periods of work with waits for memory: θ jumps, and half the memory asked for is no longer given.
    let mut quarters = 0;
    for step in 0..60 {
        let request = world
            .request(1, |taken| taken.estimated_memory_mb = Some(if step % 2 == 0 { 1000.0 } else { 500.0 }));
        world.pass(0.1);
        if world.engines_of(request).is_empty() {
            continue;
        }
        world.gateway.attempt_noted(world.now, request, AttemptNote::WaitsForMemory);
        let quarter = world.grant_of(request) <= 420.0;
        quarters += usize::from(quarter);
        world.over(request, AttemptOutcome::Completed, if quarter { 2.0 } else { 1.0 });
    }
    assert!(world.logged("θ"));
    assert!(quarters > 5);
    // The waits end: θ falls, and in time every request has its best grant again.
    for _ in 0..300 {
        let request = world.request(1, |_| ());
        world.pass(0.1);
        let quarter = world.grant_of(request) <= 500.0;
        world.over(request, AttemptOutcome::Completed, if quarter { 2.0 } else { 1.0 });
    }
    assert!(world.grant_of(world.next_request - 1) > 900.0);
}

#[test]
fn a_grant_is_at_most_half_an_engines_memory() {
    let mut deployment = plain();
    deployment.max_memory_share = 0.9;
    let mut world = World::new(deployment, 1);
    let request = world.request(1, |taken| taken.estimated_memory_mb = Some(7000.0));
    world.round();
    assert_eq!(world.grant_of(request), 4000.0);
}

#[test]
fn a_ledger_binds_only_under_pressure() {
    // A second gateway: the ledger starts at half the memory, 4000 MB.
    let mut deployment = plain();
    deployment.gateways = 2.0;
    deployment.engine_kinds[0].cores = 64.0;
    let mut world = World::new(deployment, 1);
    let large = |taken: &mut IncomingRequest| taken.estimated_memory_mb = Some(3000.0);
    let calm = [world.request(1, large), world.request(1, large)];
    world.round();
    assert!(calm.iter().all(|&request| world.grant_of(request) > 2999.0));
    world.over(calm[1], AttemptOutcome::Completed, 1.0);
    world.gateway.attempt_noted(world.now, calm[0], AttemptNote::WaitsForMemory);
    let pressed = world.request(1, large);
    world.round();
    assert_ne!(world.engines_of(pressed).len(), 1, "3000 and 750 MB are past what is left of 3200 MB");
    world.over(calm[0], AttemptOutcome::Completed, 1.0);
    world.round();
    assert!(world.grant_of(pressed) > 2999.0, "an empty ledger admits a first job");
}

#[test]
fn requests_of_one_group_go_to_a_few_engines_alike_at_every_gateway() {
    let homes = |seed_engines: usize| {
        let mut world = World::new(plain(), seed_engines);
        let mut homes = Vec::new();
        for _ in 0..30 {
            let request = world.request(0, |taken| taken.table_group = 3);
            world.round();
            homes.extend(world.engines_of(request));
            world.over(request, AttemptOutcome::Completed, 0.1);
        }
        homes.sort_unstable();
        homes.dedup();
        homes
    };
    assert_eq!([homes(8).len(), homes(40).len()], [2, 3], "not all on the first, not on many");
    assert_eq!(homes(8), homes(8));
}

// ---- failures met ----

#[test]
fn no_request_is_dispatched_behind_a_holder_of_its_tables() {
    let mut deployment = plain();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut world = World::new(deployment, 1);
    let (holder, second) = (world.request(2, |_| ()), world.request(2, |_| ()));
    let elsewhere = world.request(0, |taken| taken.table_group = 8);
    world.round();
    let reader = world.request(0, |_| ());
    world.round();
    assert_eq!(
        [holder, second, reader, elsewhere].map(|request| world.engines_of(request).len()),
        [1, 0, 0, 1]
    );
    world.over(holder, AttemptOutcome::Completed, 1.0);
    world.round();
    assert_eq!([second, reader].map(|request| world.engines_of(request).len()), [1, 1]);
}

#[test]
fn readers_keep_away_from_the_engine_where_a_holder_of_their_tables_runs() {
    let mut deployment = plain();
    deployment.classes.push(RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) });
    let mut world = World::new(deployment, 6);
    let holder = world.request(2, |_| ());
    world.round();
    for _ in 0..8 {
        let reader = world.request(0, |_| ());
        world.round();
        assert_ne!(world.engines_of(reader), world.engines_of(holder));
    }
}

#[test]
fn an_engine_that_fails_at_once_does_not_draw_in_request_after_request() {
    let mut world = World::new(plain(), 4);
    let mut failed = 0;
    for _ in 0..400 {
        let request = world.request(0, |_| ());
        world.pass(0.02);
        let Some(&engine) = world.engines_of(request).last() else { continue };
        if engine == world.engines_of(0)[0] {
            failed += 1;
            world.over(request, AttemptOutcome::ConnectionLost, 0.001);
        } else {
            world.over(request, AttemptOutcome::Completed, 0.1);
        }
    }
    assert!(world.logged("ejected"));
    assert!((2..40).contains(&failed), "{failed} of 400");
}

#[test]
fn an_engine_that_falls_silent_is_doubted_and_its_attempts_called_off_where_that_is_allowed() {
    let mut deployment = plain();
    deployment.can_cancel = true;
    let mut world = World::new(deployment, 4);
    let requests: Vec<usize> = (0..6).map(|_| world.request(0, |_| ())).collect();
    world.pass(1.5);
    let cancelled = world.book.wrote.iter().any(|(_, what)| matches!(what, Wrote::Cancel(_)));
    assert!(world.logged("ejected") && cancelled);
    let silent = world.engines_of(requests[0])[0];
    let later = world.request(0, |_| ());
    world.round();
    assert_ne!(world.engines_of(later).last(), Some(&silent));
}

#[test]
fn a_light_request_that_stands_still_goes_elsewhere_before_its_expected_time() {
    // Whatever it stands behind: a holder of its tables, a lost answer, a dead engine. Quick and slow deployments.
    for pace in [0.2, 1.0] {
        let mut deployment = plain();
        deployment.can_cancel = true;
        deployment.classes.iter_mut().for_each(|class| class.latency_objective = pace);
        for seed in 0..8 {
            let mut world = World::seeded(deployment.clone(), 3, seed);
            let request = world.request(0, |taken| taken.estimated_work = Some(0.05 * pace));
            world.round();
            let wait = world.book.time_outs[0].expect("a time-out");
            let (expected, run) = (1.1 * pace, 0.075 * pace);
            assert!((2.0 * run..expected - 2.0 * run).contains(&wait), "{wait} s of {expected} s");
            world.now += wait;
            world.over(request, AttemptOutcome::TimedOut, wait);
            world.round();
            let engines = world.engines_of(request);
            assert!(engines.len() == 2 && engines[0] != engines[1], "{engines:?}");
            // The second is given time for more than its work, though little is left.
            assert!(world.book.time_outs[1].is_some_and(|wait| wait > 3.5 * run));
        }
    }
}

#[test]
fn a_holder_of_tables_keeps_its_place_behind_other_holders() {
    let mut deployment = plain();
    deployment.can_cancel = true;
    let mut waits = |holds| {
        deployment.classes[1].locks_tables = holds;
        let mut world = World::new(deployment.clone(), 3);
        world.request(1, |taken| taken.deadline += 60.0);
        world.round();
        world.book.time_outs[0].expect("a time-out")
    };
    let (other, holder) = (waits(false), waits(true));
    assert!(holder > 1.5 * other, "{holder} s against {other} s");
}

#[test]
fn what_strikes_one_class_on_one_engine_keeps_only_that_class_away() {
    for ending in [AttemptOutcome::TimedOut, AttemptOutcome::EngineFull] {
        let mut deployment = plain();
        deployment.can_cancel = true;
        deployment.classes[1].threads = 1.0;
        let mut world = World::new(deployment, 4);
        let mut there = [0, 0];
        for round in 0..300 {
            // The others are answered, so the engine is not silent.
            let requests = [1, 1, 0].map(|class| {
                let cost = Some(0.1 + class as f64);
                (
                    class,
                    world.request(class, |taken| (taken.table_group, taken.estimated_work) = (round, cost)),
                )
            });
            world.round();
            world.now += 0.1;
            for (class, request) in requests {
                if world.engines_of(request) == [0] {
                    there[class] += u32::from(round >= 150);
                    if class == 0 {
                        world.over(request, ending, 0.1);
                        world.round();
                    }
                }
                world.over(request, AttemptOutcome::Completed, 0.1 + class as f64);
            }
        }
        assert!(there[0] < 30 && there[1] > 50, "{ending:?}: {there:?} of 150 and 300");
    }
}

#[test]
fn when_everything_is_slower_attempts_are_waited_for_longer() {
    let mut deployment = plain();
    deployment.can_cancel = true;
    deployment.classes[0].latency_objective = 0.2;
    let mut world = World::new(deployment, 4);
    let mut asked = |requests: usize, pace: f64| {
        for _ in 0..requests {
            let request = world.request(0, |_| ());
            world.round();
            world.now += 0.05;
            world.over(request, AttemptOutcome::Completed, 0.1 * pace);
        }
        world.request(0, |taken| taken.estimated_work = Some(0.4));
        world.round();
        world.book.time_outs.last().copied().flatten().expect("a time-out")
    };
    // Cancelled at the usual time, all would be begun anew elsewhere, which is as slow.
    let (usual, slow) = (asked(60, 1.0), asked(25, 4.0));
    assert!(slow > 2.3 * usual, "{usual} s, then {slow} s");
}

#[test]
fn a_spill_where_grants_are_honoured_is_no_pressure() {
    for trims in [false, true] {
        let mut deployment = plain();
        deployment.engine_kinds[0].cores = 64.0;
        deployment.trims_grants = trims;
        let mut world = World::new(deployment, 1);
        let requests: Vec<usize> = (0..3)
            .map(|_| world.request(1, |taken| taken.estimated_memory_mb = Some(3000.0)))
            .inspect(|_| ())
            .collect();
        world.round();
        world.gateway.attempt_noted(world.now, requests[0], AttemptNote::Spills);
        let next = world.request(1, |taken| taken.estimated_memory_mb = Some(3000.0));
        world.round();
        assert_eq!(world.engines_of(next).is_empty(), trims);
    }
}

#[test]
fn what_would_come_too_late_is_rejected_before_its_time_is_up() {
    let mut world = World::new(plain(), 1);
    let requests: Vec<usize> = (0..12).map(|_| world.request(1, |_| ())).collect();
    world.pass(6.0);
    let rejected = requests.iter().filter(|&&request| world.engines_of(request).is_empty());
    for &request in rejected {
        assert!(world.answers(request)[0].0 < 104.0);
    }
    assert!(world.logged("load shedding started"));
}

#[test]
fn a_request_held_again_past_its_time_is_rejected_not_sat_on() {
    let mut world = World::new(plain(), 1);
    let request = world.request(0, |_| ());
    world.round();
    world.now += 3.0;
    world.over(request, AttemptOutcome::Unreachable, 0.2);
    world.pass(0.3);
    let again = world.engines_of(request).len() > 1;
    assert!(again || world.answers(request).len() == 1);
}

#[test]
fn a_lost_list_is_asked_for_again() {
    let mut deployment = plain();
    deployment.max_list_age = Some(10.0);
    let mut world = World::new(deployment, 1);
    world.round();
    world.gateway.list_failed(world.now);
    world.pass(2.0);
    let asked = world.book.wrote.iter().filter(|(_, what)| *what == Wrote::Watch).count();
    assert_eq!(asked, 2);
    assert!(world.logged("engine list unavailable"));
}

#[test]
fn large_estimates_that_scatter_are_not_taken_at_their_word() {
    let mut deployment = plain();
    deployment.classes[1].objective_stretch = 0.0;
    let mut world = World::new(deployment, 1);
    // Estimates from a fifth of the truth to twice as much: those that lie low run, and all seem too low.
    for step in 0..60 {
        let cost = [0.2, 0.5, 1.0, 2.0][step % 4];
        let request = world.request(1, |taken| taken.estimated_work = Some(cost));
        world.pass(0.5);
        world.tell(request, 0.5, 1.0, 1000.0);
    }
    for _ in 0..4 {
        world.request(1, |taken| taken.estimated_work = Some(0.2));
    }
    world.round();
    // Held, and at its word it could never come in time.
    let large = world.request(1, |taken| taken.estimated_work = Some(8.0));
    world.pass(0.5);
    assert_eq!((world.engines_of(large).len(), world.answers(large).len()), (0, 0));
}

#[test]
fn a_backlog_after_a_freeze_is_tried_before_it_is_rejected() {
    let mut world = World::new(plain(), 4);
    let early = world.request(0, |_| ());
    world.round();
    world.over(early, AttemptOutcome::Completed, 0.1);
    // Frozen for two and a half seconds: the requests that came meanwhile are late when they are seen.
    world.now += 2.5;
    let late: Vec<usize> = (0..4).map(|_| world.request(0, |taken| taken.deadline -= 2.5)).collect();
    world.round();
    assert!(late.iter().all(|&request| world.engines_of(request).len() == 1));
}

#[test]
fn a_request_that_came_late_has_less_time_to_be_held() {
    let mut world = World::new(plain(), 1);
    let full: Vec<usize> = (0..8).map(|_| world.request(1, |_| ())).collect();
    world.round();
    let late = world.request(1, |taken| taken.deadline -= 2.0);
    world.pass(1.0);
    assert_eq!(world.answers(late).len(), 1);
    assert!(full
        .iter()
        .any(|&request| world.engines_of(request).is_empty() && world.answers(request).is_empty()));
}

#[test]
fn bound_requests_are_not_starved_when_all_their_places_are_in_doubt() {
    let mut deployment = plain();
    deployment.classes[1].allowed_zones = Some(vec![1]);
    let mut world = World::new(deployment, 3);
    world.gateway.engines_listed(100.0, &[EngineListing { zone: 1, ..listing(9) }], false);
    for _ in 0..3 {
        let request = world.request(1, |_| ());
        world.round();
        world.over(request, AttemptOutcome::ConnectionLost, 0.1);
        world.gateway.request_withdrawn(request);
    }
    world.pass(0.5);
    assert!(world.logged("engine 9 ejected"));
    let request = world.request(1, |_| ());
    world.round();
    assert_eq!(world.engines_of(request), [9]);
}

#[test]
fn without_estimates_a_cold_engine_is_spared_by_what_requests_took() {
    let mut deployment = plain();
    deployment.gateways = 2.0;
    let mut world = World::new(deployment, 2);
    let bare = |taken: &mut IncomingRequest| (taken.estimated_work, taken.estimated_memory_mb) = (None, None);
    for _ in 0..20 {
        let request = world.request(1, bare);
        world.pass(0.1);
        world.over(request, AttemptOutcome::Completed, 2.0);
    }
    // Eight seconds of work each: our share of what a cold engine stands is under six in its window.
    let gone = |engine| EngineListing { stage: EngineStage::Gone, ..listing(engine) };
    let cold = EngineListing { started_at: Some(world.now), ..listing(5) };
    world.gateway.engines_listed(world.now, &[gone(0), gone(1), cold], false);
    let request = world.request(1, bare);
    world.pass(0.5);
    assert_eq!(world.engines_of(request), []);
}

#[test]
fn the_gate_alone_keeps_a_request_from_a_second_effect_a_second_copy_and_one_attempt_too_many() {
    let mut deployment = plain();
    let window = Idempotency::Deduplicated { scope: DeduplicationScope::All, window: 1.0 };
    deployment.classes = vec![
        class(1.0, 1.0, Idempotency::NonIdempotent),
        class(1.0, 1.0, window),
        class(1.0, 1.0, Idempotency::Idempotent),
    ];
    deployment.max_attempts = 2;
    let mut world = World::new(deployment, 2);
    let requests = [0, 1, 2].map(|class| world.request(class, |_| ()));
    world.round();
    let gate =
        |world: &World, request| (0..2).any(|engine| world.gateway.may_attempt(request, engine, world.now));
    assert_eq!(requests.map(|request| gate(&world, request)), [false; 3], "one is out");
    world.now += 0.9;
    requests.iter().for_each(|&request| world.over(request, AttemptOutcome::ConnectionLost, 0.9));
    assert_eq!(requests.map(|request| gate(&world, request)), [false, true, true]);
    world.now += 0.2;
    assert!(!gate(&world, requests[1]), "its window is over");
    world.round();
    world.over(requests[2], AttemptOutcome::EngineError, 0.1);
    assert!(!gate(&world, requests[2]), "it has had two");
}

#[test]
fn the_gate_alone_keeps_key_order() {
    let mut deployment = plain();
    deployment.classes[0].in_key_order = true;
    let mut world = World::new(deployment, 2);
    let requests = [0, 1].map(|_| world.request(0, |taken| taken.key = Some(4)));
    assert_eq!(requests.map(|request| world.gateway.may_attempt(request, 0, world.now)), [true, false]);
}

#[test]
fn holders_of_tables_keep_to_the_far_half_while_they_have_time() {
    let mut deployment = plain();
    let holder = RequestClass { locks_tables: true, ..class(9.0, 2.0, Idempotency::Idempotent) };
    deployment.classes.push(RequestClass { latency_objective: 8.0, ..holder });
    let mut world = World::new(deployment, 6);
    let requests: Vec<usize> = (0..5).map(|_| world.request(2, |taken| taken.deadline += 20.0)).collect();
    let dispatched =
        |world: &World| requests.iter().filter(|&&request| !world.engines_of(request).is_empty()).count();
    world.round();
    assert_eq!(dispatched(&world), 3);
    world.pass(12.0);
    assert_eq!(dispatched(&world), 5);
}

#[test]
fn a_first_attempt_must_fit_beside_what_peers_hold() {
    let mut deployment = plain();
    deployment.gateways = 20.0;
    let mut world = World::new(deployment, 1);
    for (requests, attempts) in [(1.0, 1), (7.0, 0)] {
        for _ in 0..20 {
            let light = world.request(0, |_| ());
            world.pass(0.1);
            if !world.engines_of(light).is_empty() {
                world.report(light, 0.1, requests);
            }
        }
        let heavy = world.request(1, |_| ());
        world.pass(0.05);
        assert_eq!(world.engines_of(heavy).len(), attempts, "{requests} in hand");
        if attempts > 0 {
            world.report(heavy, 1.0, requests);
        }
    }
}

#[test]
fn news_of_one_engine_counts_for_those_that_told_nothing() {
    let mut deployment = plain();
    deployment.gateways = 200.0;
    let mut world = World::new(deployment, 8);
    for _ in 0..20 {
        let light = world.request(0, |taken| taken.table_group = 1);
        world.round();
        world.report(light, 0.1, 15.0);
    }
    world.pass(0.3);
    let heavy: Vec<usize> =
        (0..20).map(|group| world.request(1, |taken| taken.table_group = group)).collect();
    world.round();
    assert!(heavy.iter().all(|&request| world.engines_of(request).is_empty()));
    // The news fades: in time engines are tried again.
    world.pass(15.0);
    let later = world.request(1, |_| ());
    world.round();
    assert_eq!(world.engines_of(later).len(), 1);
}

#[test]
fn a_busy_gateway_among_many_fills_engines_that_tell_nothing() {
    let mut deployment = plain();
    deployment.gateways = 200.0;
    let mut world = World::new(deployment, 2);
    for _ in 0..40 {
        let request = world.request(0, |_| ());
        world.pass(0.1);
        world.over(request, AttemptOutcome::Completed, 0.08);
    }
    let burst: Vec<usize> = (0..8).map(|_| world.request(0, |_| ())).collect();
    world.round();
    assert!(burst.iter().all(|&request| world.engines_of(request).len() == 1));
}

#[test]
fn grants_have_headroom_until_memory_estimates_prove_right() {
    let mut world = World::new(plain(), 2);
    let mut grants = Vec::new();
    for _ in 0..80 {
        let request = world.request(1, |_| ());
        world.pass(0.1);
        grants.push(world.grant_of(request));
        world.tell(request, 1.0, 4.0, 1000.0);
    }
    assert!((1300.0..1700.0).contains(&grants[0]), "{}", grants[0]);
    assert!((1000.0..1100.0).contains(&grants[79]), "{}", grants[79]);
}

#[test]
fn hundreds_of_gateways_together_spare_a_cold_engine_but_use_it() {
    let mut deployment = plain();
    deployment.gateways = 300.0;
    let SlowStart { initial_share: from, overload_multiple: multiple, window, .. } = deployment.slow_start;
    let stands = multiple * 8.0 * from * window;
    let mut work = 0.0;
    for seed in 0..300 {
        let mut world = World::seeded(deployment.clone(), 0, seed);
        world.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(100.0), ..listing(0) }], true);
        let requests: Vec<usize> = (0..4).map(|at| world.request(usize::from(at == 3), |_| ())).collect();
        world.pass(window / 2.0);
        work += requests
            .iter()
            .map(|&request| world.engines_of(request).len() as f64 * [0.1, 4.0][request / 3])
            .sum::<f64>();
    }
    assert!(work > 0.0 && work < stands / 2.0, "{work} of {stands}");
}

#[test]
fn answers_seen_after_a_gap_of_our_own_turn_are_no_evidence() {
    for (gap, doubted) in [(0.2, true), (6.0, false)] {
        let mut world = World::new(plain(), 1);
        let early = world.request(0, |_| ());
        world.round();
        world.over(early, AttemptOutcome::Completed, 0.1);
        let requests: Vec<usize> = (0..10).map(|_| world.request(0, |_| ())).collect();
        world.round();
        world.pass(6.0 - gap);
        // Time goes on, but we have no turn.
        world.now += gap;
        requests.iter().for_each(|&request| world.over(request, AttemptOutcome::Completed, 6.0));
        world.round();
        world.pass(0.3);
        assert_eq!(world.logged("ejected"), doubted, "a gap of {gap}");
    }
}

#[test]
fn a_list_may_be_empty_and_grow_fivefold_and_start_cold() {
    let mut deployment = plain();
    deployment.gateways = 500.0;
    let mut world = World::new(deployment, 0);
    let early = world.request(0, |_| ());
    world.pass(0.5);
    for count in [2, 10] {
        let since = Some(world.now);
        let cold: Vec<EngineListing> =
            (0..count).map(|at| EngineListing { started_at: since, ..listing(at) }).collect();
        world.gateway.engines_listed(world.now, &cold, true);
        world.pass(30.0);
        let warm: Vec<usize> =
            (0..40).map(|group| world.request(0, |taken| taken.table_group = group)).collect();
        world.round();
        let mut used: Vec<usize> = warm.iter().flat_map(|&request| world.engines_of(request)).collect();
        used.sort_unstable();
        used.dedup();
        assert!(used.len() > count / 2, "{used:?} of {count}");
    }
    assert_eq!(world.answers(early).len(), 1);
}

#[test]
fn an_engine_that_stays_silent_stays_in_doubt() {
    let mut world = World::new(plain(), 2);
    world.pass(0.1);
    let silent = world.request(1, |taken| taken.deadline += 50.0);
    world.round();
    let at = world.engines_of(silent)[0];
    // One attempt in all tells of it, long ago: nothing heavy goes there while it lasts.
    world.pass(25.0);
    let heavy: Vec<usize> = (0..3).map(|group| world.request(1, |taken| taken.table_group = group)).collect();
    world.round();
    assert!(heavy.iter().all(|&request| !world.engines_of(request).contains(&at)));
}

#[test]
fn engines_that_lose_a_third_of_their_answers_all_stay_in_use() {
    let mut deployment = plain();
    deployment.retry_budget = Some(RetryBudget { base: 2.0, per_request: 0.2, window: 10.0 });
    let mut world = World::new(deployment, 4);
    let mut used = vec![0; 4];
    for step in 0..240 {
        let request = world.request(step % 2, |taken| taken.table_group = step as u64 % 12);
        world.pass(0.05);
        let Some(&at) = world.engines_of(request).last() else { continue };
        used[at] += usize::from(step > 120);
        let ending = if step % 3 == 0 { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Completed };
        world.over(request, ending, 0.1);
        if ending == AttemptOutcome::ConnectionLost {
            world.gateway.request_withdrawn(request);
        }
    }
    assert!(used.iter().all(|&count| count > 5), "{used:?}");
}

#[test]
fn what_came_and_passed_while_we_had_no_turn_is_handled_at_once() {
    let mut world = World::new(plain(), 2);
    let passed = world.request(1, |taken| taken.deadline -= 9.0);
    world.round();
    world.now += 2.0;
    let draining = EngineListing { stage: EngineStage::Draining, ..listing(0) };
    let new: Vec<usize> = (0..6).map(|group| world.request(0, |taken| taken.table_group = group)).collect();
    world.gateway.engines_listed(world.now, &[draining], false);
    world.round();
    assert_eq!(world.answers(passed).len(), 1);
    assert!(new.iter().all(|&request| world.engines_of(request) == [1]));
}

#[test]
fn an_engine_that_we_hold_nothing_on_is_found_out_about_by_a_light_request() {
    for (gateways, found) in [(3.0, true), (30.0, false)] {
        let mut deployment = plain();
        deployment.gateways = gateways;
        let mut world = World::new(deployment, 1);
        // A slow spell: what is felt of peers there fills the engine long after it is over.
        for _ in 0..30 {
            let request = world.request(0, |taken| taken.deadline += 50.0);
            world.round();
            if !world.engines_of(request).is_empty() {
                world.pass(1.0);
                world.tell(request, 1.0, 0.1, 50.0);
            }
        }
        world.pass(0.5);
        let later = world.request(0, |_| ());
        world.round();
        assert_eq!(!world.engines_of(later).is_empty(), found, "{gateways} gateways");
    }
}

#[test]
fn an_instance_that_ends_answers_every_request_before() {
    let mut world = World::new(plain(), 2);
    let out = world.request(0, |_| ());
    world.round();
    world.gateway.stop_at(world.now + 3.0);
    let late = world.request(0, |_| ());
    world.round();
    assert_eq!(world.engines_of(late).len(), 1);
    world.pass(3.05);
    let answered = [out, late].map(|request| world.answers(request));
    assert!(answered.iter().all(|answers| answers.len() == 1 && answers[0].0 < 103.1), "{answered:?}");
}

#[test]
fn an_instance_that_drains_turns_back_what_comes_too_late_and_finishes_the_rest() {
    let mut world = World::new(plain(), 3);
    let out = world.request(0, |_| ());
    world.round();
    assert!(world.gateway.drain(world.now) < world.now + 1.0);
    world.pass(0.9);
    let just = world.request(0, |_| ());
    world.round();
    assert_eq!(world.engines_of(just).len(), 1);
    world.pass(0.2);
    let late = world.request(0, |_| ());
    world.round();
    assert_eq!((world.engines_of(late).len(), world.answers(late).len()), (0, 1));
    assert_eq!(world.answers(late)[0].1, Wrote::Reject(late));
    // What was taken before may be dispatched again.
    world.over(out, AttemptOutcome::Unreachable, 0.1);
    world.pass(0.05);
    assert_eq!((world.engines_of(out).len(), world.answers(out).len()), (2, 0));
}

#[test]
fn an_engine_under_an_old_ones_index_has_none_of_its_history() {
    let mut world = World::new(plain(), 1);
    for _ in 0..8 {
        let request = world.request(0, |_| ());
        world.round();
        if !world.engines_of(request).is_empty() {
            world.over(request, AttemptOutcome::ConnectionLost, 0.1);
        }
        world.gateway.request_withdrawn(request);
    }
    world.pass(0.3);
    assert!(world.logged("ejected"));
    let new = EngineListing { name_hash: 7, ..listing(0) };
    world.gateway.engines_listed(world.now, &[new], true);
    let heavy = world.request(1, |_| ());
    world.round();
    assert_eq!(world.engines_of(heavy), [0]);
}

// ---- tenants ----

/// Two tenants of these weights, whose lines hold so many requests.
fn tenants(world: &mut World, weights: [f64; 2], most_queued: usize) {
    tenants_moved(world, weights, most_queued, 0);
}

/// The same, with all that is open moved to one of them.
fn tenants_moved(world: &mut World, weights: [f64; 2], most_queued: usize, to: usize) {
    use cleatgw::queue::{TenantConfig, TenantQueue};
    let tenant = |weight| TenantConfig { weight, most_queued, ..TenantConfig::default() };
    let line =
        TenantQueue::new(vec![TenantConfig::default(), tenant(weights[0]), tenant(weights[1])], world.now);
    world.gateway.set_tenants(world.now, line, &|_| to);
}

#[test]
fn a_greedy_tenant_does_not_keep_another_ones_requests_from_their_engines() {
    let order = |parted: bool| {
        let mut world = World::new(plain(), 1);
        if parted {
            tenants(&mut world, [1.0, 1.0], 1000);
        }
        // The greedy one's requests are the denser ones, and there are a hundred.
        let greedy: Vec<usize> = (0..100)
            .map(|_| world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
            .collect();
        let modest: Vec<usize> = (0..3)
            .map(|_| world.request(0, |request| (request.tenant, request.estimated_work) = (2, Some(0.2))))
            .collect();
        world.round();
        let out = |requests: &[usize]| {
            requests.iter().filter(|request| !world.engines_of(**request).is_empty()).count()
        };
        (out(&greedy), out(&modest))
    };
    let (greedy, modest) = order(false);
    assert!(greedy > 3 && modest == 0, "{greedy} {modest}");
    let (greedy, modest) = order(true);
    assert!(greedy > 0 && modest == 3, "{greedy} {modest}");
}

#[test]
fn a_line_that_is_too_long_has_its_last_rejected_at_once_but_none_that_may_have_run() {
    let mut world = World::new(plain(), 1);
    tenants(&mut world, [1.0, 1.0], 2);
    let ran = world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(9.0)));
    world.round();
    assert_eq!(world.engines_of(ran).len(), 1);
    let later: Vec<usize> = (0..60)
        .map(|_| world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    world.round();
    // Its attempt breaks: it may have run, and waits for the last in the line.
    world.over(ran, AttemptOutcome::ConnectionLost, 0.1);
    world.round();
    world.round();
    let back = |request: &usize| matches!(world.answers(*request)[..], [(_, Wrote::Reject(_))]);
    let out = later.iter().filter(|request| !world.engines_of(**request).is_empty()).count();
    let told = later.iter().filter(|request| back(request)).count();
    // One more than two, as the one that may have run is not displaced.
    assert!(told > 20 && told + out <= 60 && told + out + 2 >= 60, "{told} told, {out} out");
    assert!(world.answers(ran).is_empty());
}

/// Hard case: clients vanish while their requests are in line.
#[test]
fn requests_whose_clients_vanish_leave_the_line_and_hold_nobody_up() {
    let mut world = World::new(plain(), 1);
    tenants(&mut world, [1.0, 1.0], 40);
    let gone: Vec<usize> = (0..40)
        .map(|_| world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))))
        .collect();
    world.round();
    let waited = world.gateway.queue.load(1).queued;
    gone.iter().for_each(|request| world.gateway.request_withdrawn(*request));
    assert!(waited > 0 && world.gateway.queue.is_empty(), "{waited}");
    // Its line has room again: none of those that come now is displaced.
    for _ in 0..40 {
        world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1)));
    }
    world.round();
    assert!(world.book.advice.is_empty(), "{:?}", world.book.advice);
}

#[test]
fn new_lines_take_over_what_waits_and_what_is_out() {
    let mut world = World::new(plain(), 1);
    tenants(&mut world, [1.0, 1.0], 1000);
    let requests: Vec<usize> = (0..50)
        .map(|_| world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.2))))
        .collect();
    world.round();
    let out =
        |world: &World| requests.iter().filter(|request| !world.engines_of(**request).is_empty()).count();
    let before = out(&world);
    assert!(before > 0 && before < 50);
    // The tenant is gone from the file: its requests wait among the others, and none is lost.
    tenants_moved(&mut world, [1.0, 1.0], 1000, 2);
    assert_eq!((world.gateway.queue.len(), world.gateway.queue.load(2).in_flight), (50 - before, before));
    let first = *requests.iter().find(|request| !world.engines_of(**request).is_empty()).unwrap();
    world.over(first, AttemptOutcome::Completed, 0.2);
    world.pass(0.05);
    assert_eq!(out(&world), before + 1);
}

#[test]
fn a_tenant_that_is_rejected_is_told_when_its_line_would_take_it() {
    let advice = |parted: bool| {
        let mut world = World::new(Deployment { max_retry_after: Some(60.0), ..plain() }, 1);
        if parted {
            tenants(&mut world, [1.0, 1.0], 30);
        }
        // Its line moves: eight requests go and end each tenth of a second.
        let mut out = Vec::new();
        for _ in 0..30 {
            (0..8).for_each(|_| {
                out.push(
                    world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1))),
                )
            });
            world.round();
            world.pass(0.1);
            for request in std::mem::take(&mut out) {
                match world.engines_of(request).is_empty() {
                    true => out.push(request),
                    false => world.over(request, AttemptOutcome::Completed, 0.1),
                }
            }
        }
        for _ in 0..100 {
            world.request(0, |request| (request.tenant, request.estimated_work) = (1, Some(0.1)));
        }
        world.pass(3.0);
        world.book.advice.clone()
    };
    let plainly = advice(false);
    assert!(!plainly.is_empty() && plainly.iter().all(|told| *told == Some(60.0)), "{plainly:?}");
    let honest = advice(true);
    assert!(honest.iter().any(|told| told.is_some_and(|wait| (6.0..30.0).contains(&wait))), "{honest:?}");
}

#[test]
fn a_gateway_among_many_with_little_traffic_does_not_greet_every_engine_of_a_group() {
    let mut world = World::new(Deployment { gateways: 300.0, ..plain() }, 12);
    for group in 0..8 {
        let mut used: Vec<usize> = (0..6)
            .flat_map(|_| {
                let request = world.request(0, |taken| taken.table_group = group);
                world.pass(0.1);
                world.over(request, AttemptOutcome::Completed, 0.1);
                world.engines_of(request)
            })
            .collect();
        used.dedup();
        assert_eq!(used.len(), 1, "group {group}");
    }
}

#[test]
fn one_peer_s_word_puts_no_engine_in_doubt_and_that_of_two_does_until_it_is_old() {
    let mut world = World::new(plain(), 3);
    world.gateway.peer_evidence_received(0, EngineEvidence { failures: 1.0, ..EngineEvidence::default() });
    world.pass(0.5);
    assert!(!world.logged("engine 0 ejected"));
    world.gateway.peer_evidence_received(0, EngineEvidence { failures: 2.0, ..EngineEvidence::default() });
    world.pass(0.5);
    assert!(world.logged("engine 0 ejected"));
    // What we meet ourselves outweighs it.
    for group in 0..30 {
        let request = world.request(0, |taken| taken.table_group = group);
        world.round();
        world.over(request, AttemptOutcome::Completed, 0.1);
    }
    world.gateway.peer_evidence_received(0, EngineEvidence::default());
    world.pass(0.5);
    assert!(world.logged("engine 0 readmitted"));
    world.gateway.peer_evidence_received(99, EngineEvidence { failures: 9.0, ..EngineEvidence::default() });
    world.pass(0.5);
}

/// Rule 4, all gateways together: what peers tell that they sent leaves less room, and a word that is too small, or gone,
/// gives back no more than our own share.
#[test]
fn what_peers_sent_a_cold_engine_leaves_less_room_for_us_and_never_more_than_our_share() {
    let attempts_with = |sent: f64| {
        let mut world = World::new(Deployment { gateways: 2.0, ..plain() }, 0);
        world.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
        for _ in 0..60 {
            world.request(0, |_| ());
        }
        world
            .gateway
            .peer_evidence_received(0, EngineEvidence { slow_start_work: sent, ..EngineEvidence::default() });
        world.pass(0.05);
        (0..world.next_request).map(|request| world.engines_of(request).len()).sum::<usize>()
    };
    let ours = attempts_with(0.0);
    assert!(ours > 5 && attempts_with(-5.0) == ours, "{ours}");
    assert_eq!(attempts_with(1.0), ours, "they stayed within their own share");
    let some = attempts_with(6.2);
    assert!(some > 0 && some < ours, "{some} of {ours}");
    assert_eq!(attempts_with(50.0), 0);
}

fn keyed(scope: DeduplicationScope) -> Deployment {
    let idempotency = Idempotency::Deduplicated { scope, window: 12.0 };
    Deployment {
        classes: vec![class(1.0, 1.0, idempotency), class(1.0, 1.0, Idempotency::NonIdempotent)],
        ..plain()
    }
}

/// Rule 2 over a restart: what was dispatched before under another request may be dispatched again only where that is provably safe,
/// and what can't be is answered at once, never as harmless.
#[test]
fn a_request_that_was_dispatched_before_runs_again_only_within_its_window_and_is_else_failed_at_once() {
    let play = |scope: DeduplicationScope, class: usize, ago: f64| {
        let mut world = World::new(keyed(scope), 3);
        let earlier = Some(world.now - ago);
        let request = world.request(class, |taken| taken.earlier_attempt_at = earlier);
        world.pass(0.1);
        (
            world.engines_of(request).len(),
            world.book.wrote.iter().any(|(_, wrote)| *wrote == Wrote::Fail(request)),
        )
    };
    assert_eq!(
        play(DeduplicationScope::All, 0, 11.0),
        (1, false),
        "11 s after: the engines still know its receipt"
    );
    assert_eq!(play(DeduplicationScope::All, 0, 13.0), (0, true), "13 s after: they may not");
    assert_eq!(play(DeduplicationScope::Zone, 0, 1.0), (0, true), "nobody knows in which zone it ran");
    assert_eq!(play(DeduplicationScope::All, 1, 1.0), (0, true), "it must not run twice");
}

/// Rule 7 over a restart: until it is known what was dispatched, the spare part of the budget counts as used up.
#[test]
fn further_attempts_of_a_former_incarnation_count_and_where_unknown_the_budget_is_used_up() {
    let budget = Some(RetryBudget { base: 4.0, per_request: 0.0, window: 10.0 });
    let play = |told: Option<&[f64]>| {
        let mut world = World::new(Deployment { retry_budget: budget, ..plain() }, 4);
        world.gateway.assume_lost_history(world.now);
        if let Some(repeats) = told {
            world.gateway.restore_history(repeats, &[]);
        }
        let requests: Vec<usize> = (0..8).map(|_| world.request(0, |_| ())).collect();
        world.pass(0.1);
        for request in &requests {
            world.over(*request, AttemptOutcome::ConnectionLost, 0.05);
        }
        world.pass(0.1);
        requests.iter().filter(|request| world.engines_of(**request).len() > 1).count()
    };
    assert_eq!(play(None), 0);
    assert_eq!(play(Some(&[99.0, 98.0, 95.0])), 1);
    assert_eq!(play(Some(&[80.0, 81.0])), 4, "long ago");
}

/// Rule 4 over a restart: until it is known what was sent to a cold engine, nothing more is, for one window.
#[test]
fn a_cold_engine_gets_nothing_from_one_that_forgot_what_it_sent_until_its_window_is_over() {
    let play = |told: Option<&[SlowStartWork]>| {
        let mut world = World::new(Deployment { gateways: 2.0, ..plain() }, 0);
        world.gateway.engines_listed(100.0, &[EngineListing { started_at: Some(99.9), ..listing(0) }], true);
        world.gateway.assume_lost_history(100.0);
        if let Some(sent) = told {
            world.gateway.restore_history(&[], sent);
        }
        let first = world.request(0, |_| ());
        world.pass(0.5);
        let early = world.engines_of(first).len();
        world.pass(1.8);
        (early, world.engines_of(first).len())
    };
    assert_eq!(play(None), (0, 1));
    assert_eq!(play(Some(&[])), (1, 1));
    assert_eq!(
        play(Some(&[
            SlowStartWork { engine: 0, sent_at: 99.9, work: 50.0 },
            SlowStartWork { engine: 7, sent_at: 99.9, work: 1.0 },
        ])),
        (0, 1)
    );
}

/// While what is kept of them lags behind, only so many retries are made as were kept ahead.
#[test]
fn no_more_further_attempts_are_made_than_were_kept_ahead() {
    let mut world = World::new(
        Deployment {
            retry_budget: Some(RetryBudget { base: 9.0, per_request: 0.0, window: 10.0 }),
            ..plain()
        },
        4,
    );
    world.gateway.limit_unpersisted_retries(2);
    let requests: Vec<usize> = (0..8).map(|_| world.request(0, |_| ())).collect();
    world.pass(0.1);
    requests.iter().for_each(|request| world.over(*request, AttemptOutcome::ConnectionLost, 0.05));
    world.pass(0.1);
    let again =
        |world: &World| requests.iter().filter(|request| world.engines_of(**request).len() > 1).count();
    assert_eq!(again(&world), 2);
    world.gateway.limit_unpersisted_retries(3);
    world.pass(0.1);
    assert_eq!(again(&world), 5);
}

/// Hard case: answers tell no work, and the estimates of light requests are far too low, single ones by twenty times. Six
/// gateways before engines that stand all but idle must not believe in a crowd there and turn the heavy requests back.
#[test]
fn few_gateways_see_no_crowd_in_estimates_that_no_answer_corrects() {
    let mut deployment = plain();
    deployment.gateways = 6.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut world = World::new(deployment, 4);
    let off = [0.05, 0.6, 0.1, 0.3];
    let mut heavy = Vec::new();
    for round in 0..200 {
        // A light request that needs 0.3 s, whatever is said of it; now and then a heavy one that is said to need 3 s, and does.
        let group = round as u64 % 40;
        let light = world.request(0, |taken| {
            (taken.estimated_work, taken.table_group) = (Some(0.3 * off[round % 4]), group)
        });
        heavy.extend((round % 20 == 19).then(|| {
            world.request(1, |taken| (taken.estimated_work, taken.table_group) = (Some(3.0), group))
        }));
        world.round();
        world.now += 0.3;
        if !world.engines_of(light).is_empty() {
            world.over(light, AttemptOutcome::Completed, 0.3);
        }
        world.pass(0.1);
        for request in heavy.clone() {
            let out = world.engines_of(request).len() == 1;
            let since = world
                .book
                .wrote
                .iter()
                .find(|(_, what)| matches!(what, Wrote::Attempt { request: of, .. } if *of == request));
            if out && since.is_some_and(|(at, _)| world.now >= at + 1.2) {
                world.over(request, AttemptOutcome::Completed, 1.2);
                heavy.retain(|other| *other != request);
            }
        }
    }
    let rejected = world.book.wrote.iter().filter(|(_, what)| matches!(what, Wrote::Reject(_))).count();
    assert_eq!(rejected, 0, "of 200 light jobs and 10 heavy ones");
}

/// Thirty-two gateways before eight engines of sixteen cores. No answer tells work, and what requests are said to need is a
/// tenth of what they take: by the first answers a crowd stands on every engine.
fn many_that_feel_a_crowd() -> World {
    let mut deployment = plain();
    deployment.gateways = 32.0;
    deployment.engine_kinds = vec![EngineKind { cores: 16.0, memory_mb: 32000.0 }];
    deployment.classes[1].threads = 3.0;
    let mut world = World::new(deployment, 8);
    for group in 0..40 {
        let request =
            world.request(0, |taken| (taken.estimated_work, taken.table_group) = (Some(0.002), group));
        world.round();
        if !world.engines_of(request).is_empty() {
            world.now += 0.022;
            world.over(request, AttemptOutcome::Completed, 0.022);
        }
        world.now += 0.01;
    }
    world.pass(0.25);
    world
}

/// Hard case: all thirty-two stand still before idle engines, each for what it feels of the others.
#[test]
fn many_gateways_that_feel_a_crowd_which_nothing_proves_still_use_their_even_part() {
    let mut world = many_that_feel_a_crowd();
    let (mut dispatched, mut of) = (0, 0);
    for round in 0..100 {
        let heavy = usize::from(round % 10 == 9);
        let (said, takes) = if heavy == 1 { (1.0, 1.2) } else { (0.002, 0.022) };
        let request =
            world.request(heavy, |taken| (taken.estimated_work, taken.table_group) = (Some(said), round));
        world.pass(0.05);
        (dispatched, of) = (dispatched + world.engines_of(request).len(), of + 1);
        world.now += takes;
        if !world.engines_of(request).is_empty() {
            world.over(request, AttemptOutcome::Completed, takes);
        }
    }
    assert_eq!((dispatched, of), (100, 100));
}

/// If all gateways take their even part, each core has a thread: four light requests here, or one heavy one.
#[test]
fn the_even_part_is_no_more_than_a_thread_a_core_from_all_gateways_together() {
    for (class, said, even) in [(0, 0.002, 4), (1, 1.0, 1)] {
        let mut world = many_that_feel_a_crowd();
        let requests: Vec<usize> = (0..30)
            .map(|group| {
                world.request(class, |taken| {
                    (taken.estimated_work, taken.table_group) = (Some(said), 100 + group)
                })
            })
            .collect();
        world.pass(0.1);
        let dispatched = requests.iter().filter(|request| !world.engines_of(**request).is_empty()).count();
        assert_eq!(dispatched, even, "category {class}");
    }
}

/// An engine that pages counts the lesser of grant and need, so that a generous grant costs nothing there.
#[test]
fn grants_have_more_headroom_where_engines_page() {
    let granted = |pages: bool| {
        let mut world = World::new(Deployment { pages_memory: pages, ..plain() }, 2);
        let request = world.request(1, |taken| taken.estimated_memory_mb = Some(1000.0));
        world.round();
        world.grant_of(request)
    };
    assert!((1599.0..1601.0).contains(&granted(false)), "{}", granted(false));
    assert!(granted(true) > 1.2 * granted(false), "{}", granted(true));
}
