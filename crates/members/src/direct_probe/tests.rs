use super::*;

fn step(quiet: &mut Quiet, heard: &[(u16, f64)], now: f64) -> Todo {
    let anyone = heard.iter().map(|(_, at)| *at).fold(0.0, f64::max);
    quiet.turn(heard.iter().map(|(router, at)| (*router, *at, false)), 3.0, anyone, now)
}

fn todo(ask: &[u16], suspect: &[u16]) -> Todo {
    Todo { ask: ask.to_vec(), suspect: suspect.to_vec() }
}

#[test]
fn one_that_is_silent_for_long_is_asked_three_times_and_then_suspected() {
    let mut quiet = Quiet::default();
    assert_eq!(step(&mut quiet, &[(1, 9.9), (2, 8.0)], 10.0), todo(&[], &[]));
    for at in [11.25, 11.5, 11.75] {
        assert_eq!(step(&mut quiet, &[(1, at), (2, 8.0)], at), todo(&[2], &[]));
    }
    assert_eq!(step(&mut quiet, &[(1, 12.0), (2, 8.0)], 12.0), todo(&[], &[2]));
}

#[test]
fn one_that_answers_or_that_others_hear_is_not_suspected() {
    let mut quiet = Quiet::default();
    (0..2)
        .for_each(|at| drop(step(&mut quiet, &[(1, 11.5), (2, 8.0), (3, 8.0)], 11.5 + f64::from(at) * 0.25)));
    quiet.seen(3, 0.2);
    let heard = [(1, 12.0), (2, 11.9), (3, 8.0)];
    assert_eq!(step(&mut quiet, &heard, 12.0), todo(&[3], &[]), "the third is asked after anew");
    quiet.seen(3, 5.0);
    assert_eq!(step(&mut quiet, &heard, 12.25), todo(&[3], &[]), "that it was heard long ago is no sign");
}

#[test]
fn while_others_are_suspected_a_moment_of_silence_is_enough_to_be_asked() {
    let mut quiet = Quiet::default();
    let heard = [(1, 9.9), (2, 9.2), (3, 9.2)];
    assert_eq!(step(&mut quiet, &heard, 10.0), todo(&[], &[]));
    quiet.suspected(10.0);
    quiet.suspected(10.1);
    assert_eq!(step(&mut quiet, &heard, 10.25), todo(&[2, 3], &[]));
    assert_eq!(step(&mut quiet, &[(1, 12.0), (2, 11.4), (3, 11.4)], 12.2), todo(&[], &[]), "old news");
}

#[test]
fn one_that_is_suspected_is_asked_on_for_as_long_as_it_is() {
    let mut quiet = Quiet::default();
    for step in 0..9 {
        let now = 10.0 + f64::from(step) * 0.25;
        let todo = quiet.turn([(1, now, false), (2, 9.5, true)].into_iter(), 3.0, now, now);
        assert_eq!(todo, Todo { ask: vec![2], suspect: Vec::new() });
    }
}

/// Hard case: we are the one that is cut off.
#[test]
fn who_hears_nobody_suspects_nobody() {
    let mut quiet = Quiet::default();
    let heard = [(1, 8.0), (2, 8.0)];
    let all: Vec<Todo> = (0..40).map(|at| step(&mut quiet, &heard, 12.0 + f64::from(at) * 0.25)).collect();
    assert!(all.iter().any(|todo| !todo.ask.is_empty()) && all.iter().all(|todo| todo.suspect.is_empty()));
}

#[test]
fn a_great_silence_is_asked_into_by_and_by() {
    let mut quiet = Quiet::default();
    let heard: Vec<(u16, f64)> = (0..300).map(|router| (router, 1.0)).collect();
    assert_eq!(step(&mut quiet, &heard, 10.0).ask.len(), MOST);
}
