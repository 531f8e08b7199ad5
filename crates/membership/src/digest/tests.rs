use super::*;
use proptest::prelude::*;

const ENGINE: EngineIncarnation = EngineIncarnation { name: 7, incarnation: 1 };

/// Whole attempts.
fn seen(bad: u8, good: u8) -> Observation {
    Observation { engine: ENGINE, good: good * 4, bad: bad * 4, sent: 0 }
}

fn all(_: u16) -> bool {
    true
}

#[test]
fn longest_digest_fits_and_longer_ones_are_refused() {
    let most = Observation {
        engine: EngineIncarnation { name: u64::MAX, incarnation: u32::MAX },
        good: 255,
        bad: 255,
        sent: u16::MAX,
    };
    let bytes = write(&[most; 40]);
    assert!(bytes.len() <= MAX_DIGEST, "{}", bytes.len());
    assert!(read(&bytes).unwrap().len() >= 10);
    assert_eq!(read(&[&bytes[..], &[0; MAX_DIGEST]].concat()), None);
    assert_eq!(read(&[255, 255, 255, 255, 15]), None, "a count that nothing stands behind");
    assert_eq!(read(&[]), Some(Vec::new()));
}

/// Hard case: one router that lies, or is deaf itself, says it again and again.
#[test]
fn counts_each_source_once() {
    let mut heard = PeerDigests::default();
    for _ in 0..50 {
        heard.hear(3, vec![seen(60, 0)], 10.0);
    }
    let evidence = heard.of(&ENGINE, 10.0, all);
    assert_eq!((evidence.ill_by, evidence.bad), (1, 1.0));
    heard.hear(4, vec![seen(2, 0)], 10.0);
    heard.hear(5, vec![seen(0, 9)], 10.0);
    let evidence = heard.of(&ENGINE, 10.0, all);
    assert_eq!((evidence.ill_by, evidence.well_by, evidence.bad, evidence.good), (2, 1, 2.0, 1.0));
}

#[test]
fn fades_observations_and_keeps_the_latest_of_a_source() {
    let mut heard = PeerDigests::default();
    heard.hear(3, vec![seen(9, 0)], 9.0);
    heard.hear(3, vec![seen(0, 9)], 10.0);
    assert_eq!(heard.of(&ENGINE, 10.1, all).ill_by, 0);
    assert!(heard.of(&ENGINE, 12.0, all).good < 0.6);
    assert_eq!(heard.of(&ENGINE, 14.1, all), PeerEvidence::default());
}

#[test]
fn ignores_former_engine_incarnations_and_untrusted_sources() {
    let mut heard = PeerDigests::default();
    heard.hear(3, vec![seen(9, 0)], 10.0);
    let replaced = EngineIncarnation { incarnation: 2, ..ENGINE };
    assert_eq!(heard.of(&replaced, 10.0, all), PeerEvidence::default());
    assert_eq!(heard.of(&ENGINE, 10.0, |source| source != 3), PeerEvidence::default());
    heard.forget(3);
    assert_eq!(heard.of(&ENGINE, 10.0, all), PeerEvidence::default());
}

#[test]
fn tells_most_trouble_first_and_omits_engines_not_met() {
    let well = (0..40).map(|name| (EngineIncarnation { name, incarnation: 0 }, (3.0, 0.0, 0.0)));
    let ill =
        [(ENGINE, (0.5, 2.1, 0.0)), (EngineIncarnation { name: 99, incarnation: 0 }, (0.01, 0.02, 0.0))];
    let cold = [(EngineIncarnation { name: 50, incarnation: 0 }, (0.0, 0.0, 0.0101))];
    let told = observations(well.chain(ill).chain(cold));
    assert_eq!(told.len(), MAX_OBSERVATIONS);
    assert_eq!(told[0], Observation { engine: ENGINE, good: 2, bad: 8, sent: 0 });
    assert_eq!((told[1].engine.name, told[1].sent), (50, 11));
    assert!(told.iter().all(|told| told.engine.name != 99));
}

#[test]
fn round_tells_others_of_trouble_and_is_skipped_without() {
    let mut rounds = Rounds::new(3, 10, 1, 10.0);
    assert_eq!(rounds.due(10.0, || vec![seen(0, 9)]), None);
    let mut told = Vec::new();
    for step in 0..40 {
        let (who, bytes) = rounds.due(10.6 + f64::from(step) * 0.6, || vec![seen(2, 0)]).unwrap();
        told.extend(who);
        let mut other = Rounds::new(4, 10, 1, 10.0);
        other.hear(3, &bytes, 10.7).unwrap();
        assert_eq!(other.said(&ENGINE, 10.7).ill_by, 1);
        assert_eq!(other.hear(3, &[255; 9], 10.7), None);
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told, [0, 1, 2, 4, 5, 6, 7, 8, 9], "everybody but ourselves");
}

/// It is summed whole over those that are witnesses, and gone with its source or its age: a share may only shrink by it.
#[test]
fn counts_work_sent_in_slow_start_whole_while_fresh() {
    let mut heard = PeerDigests::default();
    let sent = |sent| Observation { engine: ENGINE, good: 0, bad: 0, sent };
    heard.hear(3, vec![sent(400)], 10.0);
    heard.hear(4, vec![sent(250)], 10.0);
    let said = |heard: &PeerDigests, now| heard.of(&ENGINE, now, all);
    assert!((said(&heard, 13.9).sent - 0.65).abs() < 1e-9);
    assert_eq!((said(&heard, 13.9).ill_by, said(&heard, 14.1).sent), (0, 0.0));
    heard.forget(3);
    assert!((said(&heard, 10.0).sent - 0.25).abs() < 1e-9);
}

#[test]
fn bounds_memory_for_invented_engines() {
    let mut heard = PeerDigests::default();
    for name in 0..1000 {
        let made_up = Observation { engine: EngineIncarnation { name, incarnation: 0 }, ..seen(1, 0) };
        heard.hear(3, vec![made_up], 10.0);
    }
    assert_eq!(heard.by_source[&3].len(), MAX_ENGINES_OF_SOURCE);
}

proptest! {
    #[test]
    fn reads_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes);
    }
}
