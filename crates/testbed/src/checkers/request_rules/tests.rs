use super::*;

fn request(call: &str, class: &'static str, sent: f64, answered: Option<(f64, Outcome)>) -> Asked {
    Asked {
        router: 0,
        call: call.to_string(),
        class,
        idempotency_key: format!("d{call}"),
        sent,
        time_to_live: 3.0,
        answered,
        over: answered.map_or(sent + 3.0, |(at, _)| at),
        twice: false,
    }
}

fn run(call: &str, engine: usize, got: f64, over: f64) -> Ran {
    Ran { engine, call: call.to_string(), idempotency_key: format!("d{call}"), got, over, done: true }
}

fn facts(rough: &dyn Fn(usize, usize, f64, f64) -> bool) -> Facts<'_> {
    let started = vec![vec![0.0]];
    Facts { stated: Stated::default(), drained: vec![None, Some(50.0)], rough, started, kept: false }
}

fn sound(_: usize, _: usize, _: f64, _: f64) -> bool {
    false
}

#[test]
fn each_rule_that_is_broken_is_found_and_none_that_is_kept() {
    let rows = Some((10.5, Outcome::Rows));
    let kept = [
        request("a", "once", 10.0, rows),
        request("b", "load", 10.0, rows),
        request("c", "look", 10.0, rows),
    ];
    let runs =
        [run("a", 0, 10.1, 10.4), run("b", 0, 10.1, 10.2), run("b", 1, 10.3, 10.4), run("c", 0, 10.1, 10.4)];
    let check_result = check_requests(&kept, &runs, &facts(&sound));
    assert_eq!(check_result.breaks(), 0, "{check_result:?}");

    let count = |asked: &[Asked], ran: &[Ran]| check_requests(asked, ran, &facts(&sound));
    let twice = [run("a", 0, 10.1, 10.2), run("a", 1, 10.3, 10.4)];
    assert_eq!(count(&kept, &twice).ran_twice, 1);
    let later = [run("b", 0, 10.1, 10.2), run("b", 1, 23.0, 23.1)];
    assert_eq!(count(&kept, &later).ran_twice, 1);
    let both = [run("c", 0, 10.1, 11.0), run("c", 2, 10.3, 10.4)];
    assert_eq!(count(&kept, &both).two_out, 1);
    assert_eq!(
        check_requests(&kept, &both, &facts(&|_, engine, _, _| engine == 0)).two_out,
        0,
        "the way was rough"
    );
    let turned = [request("a", "once", 10.0, Some((11.0, Outcome::Rejected)))];
    assert_eq!(count(&turned, &twice[..1]).rejected_after_run, 1);
    let late = [request("c", "look", 10.0, Some((13.5, Outcome::Failed)))];
    assert_eq!(count(&late, &[]).late, 1);
    assert_eq!(count(&[Asked { twice: true, ..kept[2].clone() }], &[]).two_answers, 1);
    assert_eq!(count(&kept, &[run("c", 1, 51.5, 52.0)]).to_draining, 1);
}

#[test]
fn further_attempts_beyond_the_budget_are_found_also_over_a_start_where_they_are_kept() {
    let rows = |at: f64| Some((at + 0.5, Outcome::Rows));
    let asked: Vec<Asked> =
        (0..40).map(|at| request(&format!("{at}"), "look", 10.0 + at as f64 * 0.1, rows(10.0))).collect();
    let again = |most: usize| -> Vec<Ran> {
        let two = |at: usize| {
            let (call, sent) = (format!("{at}"), 10.0 + at as f64 * 0.1);
            [run(&call, 0, sent, sent + 0.01), run(&call, 1, sent + 0.02, sent + 0.03)]
        };
        (0..most).flat_map(two).collect()
    };
    assert_eq!(check_requests(&asked, &again(15), &facts(&sound)).breaks(), 0);
    assert!(check_requests(&asked, &again(40), &facts(&sound)).attempts_over_budget > 0);
    let halfway = Facts { started: vec![vec![0.0, 11.15]], ..facts(&sound) };
    assert_eq!(check_requests(&asked, &again(26), &halfway).breaks(), 0, "anew at the start");
    assert!(check_requests(&asked, &again(26), &Facts { kept: true, ..halfway }).attempts_over_budget > 0);
}

#[test]
fn two_that_hold_one_role_at_once_are_found_and_one_that_ended_before_its_time_is_none() {
    let claim = |router, epoch, at: f64, ended| Claim { router, role: 0, epoch, at, until: at + 1.8, ended };
    let holds = |claims: &[Claim]| two_holders(claims).0;
    assert_eq!(holds(&[claim(0, 5, 1.0, None), claim(0, 6, 2.0, None), claim(1, 7, 3.9, None)]), 0);
    assert_eq!(holds(&[claim(0, 5, 1.0, None), claim(1, 7, 2.0, None)]), 1);
    assert_eq!(holds(&[claim(0, 5, 1.0, Some(1.5)), claim(1, 7, 2.0, None)]), 0);
    assert_eq!(holds(&[claim(0, 5, 1.0, None), claim(1, 4, 9.0, None)]), 1, "an epoch went back");
}
