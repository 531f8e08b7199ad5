use super::*;

fn step(probes: &mut DirectProbes, heard: &[(u16, f64)], now: f64) -> ProbeActions {
    let heard_any_at = heard.iter().map(|(_, at)| *at).fold(0.0, f64::max);
    let peer =
        |(router, heard_at): &(u16, f64)| Peer { router: *router, heard_at: *heard_at, suspected: false };
    let peers: Vec<Peer> = heard.iter().map(peer).collect();
    probes.turn(&peers, 3.0, heard_any_at, now)
}

fn actions(probe: &[u16], suspect: &[u16]) -> ProbeActions {
    ProbeActions { probe: probe.to_vec(), suspect: suspect.to_vec() }
}

#[test]
fn probes_a_silent_router_three_times_then_suspects_it() {
    let mut probes = DirectProbes::default();
    assert_eq!(step(&mut probes, &[(1, 9.9), (2, 8.0)], 10.0), actions(&[], &[]));
    for at in [11.25, 11.5, 11.75] {
        assert_eq!(step(&mut probes, &[(1, at), (2, 8.0)], at), actions(&[2], &[]));
    }
    assert_eq!(step(&mut probes, &[(1, 12.0), (2, 8.0)], 12.0), actions(&[], &[2]));
}

#[test]
fn does_not_suspect_a_router_that_answers_or_that_others_hear() {
    let mut probes = DirectProbes::default();
    (0..2).for_each(|at| {
        drop(step(&mut probes, &[(1, 11.5), (2, 8.0), (3, 8.0)], 11.5 + f64::from(at) * 0.25))
    });
    probes.heard_by_other(3, 0.2);
    let heard = [(1, 12.0), (2, 11.9), (3, 8.0)];
    assert_eq!(
        step(&mut probes, &heard, 12.0),
        actions(&[3], &[]),
        "probes of router 3 start anew after another router heard it"
    );
    probes.heard_by_other(3, 5.0);
    assert_eq!(
        step(&mut probes, &heard, 12.25),
        actions(&[3], &[]),
        "an old contact of another router does not reset the probes"
    );
}

#[test]
fn probes_after_a_shorter_silence_while_others_are_suspected() {
    let mut probes = DirectProbes::default();
    let heard = [(1, 9.9), (2, 9.2), (3, 9.2)];
    assert_eq!(step(&mut probes, &heard, 10.0), actions(&[], &[]));
    probes.note_suspicion(10.0);
    probes.note_suspicion(10.1);
    assert_eq!(step(&mut probes, &heard, 10.25), actions(&[2, 3], &[]));
    assert_eq!(
        step(&mut probes, &[(1, 12.0), (2, 11.4), (3, 11.4)], 12.2),
        actions(&[], &[]),
        "suspicions older than the window no longer shorten the tolerated silence"
    );
}

#[test]
fn keeps_probing_a_suspected_router() {
    let mut probes = DirectProbes::default();
    for step in 0..9 {
        let now = 10.0 + f64::from(step) * 0.25;
        let peers = [
            Peer { router: 1, heard_at: now, suspected: false },
            Peer { router: 2, heard_at: 9.5, suspected: true },
        ];
        let actions = probes.turn(&peers, 3.0, now, now);
        assert_eq!(actions, ProbeActions { probe: vec![2], suspect: Vec::new() });
    }
}

/// Guards against a router that is cut off itself suspecting all others.
#[test]
fn suspects_no_router_while_hearing_none() {
    let mut probes = DirectProbes::default();
    let heard = [(1, 8.0), (2, 8.0)];
    let all: Vec<ProbeActions> =
        (0..40).map(|at| step(&mut probes, &heard, 12.0 + f64::from(at) * 0.25)).collect();
    assert!(
        all.iter().any(|actions| !actions.probe.is_empty())
            && all.iter().all(|actions| actions.suspect.is_empty())
    );
}

#[test]
fn limits_probes_of_one_turn() {
    let mut probes = DirectProbes::default();
    let heard: Vec<(u16, f64)> = (0..300).map(|router| (router, 1.0)).collect();
    assert_eq!(step(&mut probes, &heard, 10.0).probe.len(), MAX_PROBES);
}
