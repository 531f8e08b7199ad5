use super::*;
use proptest::prelude::*;

const ENGINE: EngineIncarnation = EngineIncarnation { name: 7, incarnation: 1 };

/// Whole attempts.
fn seen(bad: u8, good: u8) -> Observation {
    Observation { engine: ENGINE, successes: good * 4, failures: bad * 4, slow_start_work: 0 }
}

fn own(successes: f64, failures: f64, slow_start_work: f64) -> OwnEvidence {
    OwnEvidence { successes, failures, slow_start_work }
}

fn all(_: u16) -> bool {
    true
}

#[test]
fn longest_digest_fits_and_longer_ones_are_refused() {
    let most = Observation {
        engine: EngineIncarnation { name: u64::MAX, incarnation: u32::MAX },
        successes: 255,
        failures: 255,
        slow_start_work: u16::MAX,
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
        heard.receive(3, vec![seen(60, 0)], 10.0);
    }
    let evidence = heard.evidence_on(&ENGINE, 10.0, all);
    assert_eq!((evidence.reporting_failures, evidence.failures), (1, 1.0));
    heard.receive(4, vec![seen(2, 0)], 10.0);
    heard.receive(5, vec![seen(0, 9)], 10.0);
    let evidence = heard.evidence_on(&ENGINE, 10.0, all);
    assert_eq!(
        (evidence.reporting_failures, evidence.reporting_successes, evidence.failures, evidence.successes),
        (2, 1, 2.0, 1.0)
    );
}

#[test]
fn fades_observations_and_keeps_the_latest_of_a_source() {
    let mut heard = PeerDigests::default();
    heard.receive(3, vec![seen(9, 0)], 9.0);
    heard.receive(3, vec![seen(0, 9)], 10.0);
    assert_eq!(heard.evidence_on(&ENGINE, 10.1, all).reporting_failures, 0);
    assert!(heard.evidence_on(&ENGINE, 12.0, all).successes < 0.6);
    assert_eq!(heard.evidence_on(&ENGINE, 14.1, all), PeerEvidence::default());
}

#[test]
fn ignores_former_engine_incarnations_and_untrusted_sources() {
    let mut heard = PeerDigests::default();
    heard.receive(3, vec![seen(9, 0)], 10.0);
    let replaced = EngineIncarnation { incarnation: 2, ..ENGINE };
    assert_eq!(heard.evidence_on(&replaced, 10.0, all), PeerEvidence::default());
    assert_eq!(heard.evidence_on(&ENGINE, 10.0, |source| source != 3), PeerEvidence::default());
    heard.forget(3);
    assert_eq!(heard.evidence_on(&ENGINE, 10.0, all), PeerEvidence::default());
}

#[test]
fn tells_most_trouble_first_and_omits_engines_not_met() {
    let well = (0..40).map(|name| (EngineIncarnation { name, incarnation: 0 }, own(3.0, 0.0, 0.0)));
    let ill = [
        (ENGINE, own(0.5, 2.1, 0.0)),
        (EngineIncarnation { name: 99, incarnation: 0 }, own(0.01, 0.02, 0.0)),
    ];
    let cold = [(EngineIncarnation { name: 50, incarnation: 0 }, own(0.0, 0.0, 0.0101))];
    let told = observations(well.chain(ill).chain(cold));
    assert_eq!(told.len(), MAX_OBSERVATIONS);
    assert_eq!(told[0], Observation { engine: ENGINE, successes: 2, failures: 8, slow_start_work: 0 });
    assert_eq!((told[1].engine.name, told[1].slow_start_work), (50, 11));
    assert!(told.iter().all(|told| told.engine.name != 99));
}

#[test]
fn round_tells_others_of_trouble_and_is_skipped_without() {
    let mut rounds = DigestRounds::new(3, 10, 1, 10.0);
    assert_eq!(rounds.due(10.0, || vec![seen(0, 9)]), None);
    let mut told = Vec::new();
    for step in 0..40 {
        let DueDigest { receivers, bytes } =
            rounds.due(10.6 + f64::from(step) * 0.6, || vec![seen(2, 0)]).unwrap();
        told.extend(receivers);
        let mut other = DigestRounds::new(4, 10, 1, 10.0);
        other.receive(3, &bytes, 10.7).unwrap();
        assert_eq!(other.evidence_on(&ENGINE, 10.7).reporting_failures, 1);
        assert_eq!(other.receive(3, &[255; 9], 10.7), None);
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told, [0, 1, 2, 4, 5, 6, 7, 8, 9], "everybody but ourselves");
}

/// It is summed whole over those that are witnesses, and gone with its source or its age: a share may only shrink by it.
#[test]
fn counts_work_sent_in_slow_start_whole_while_fresh() {
    let mut heard = PeerDigests::default();
    let sent = |sent| Observation { engine: ENGINE, successes: 0, failures: 0, slow_start_work: sent };
    heard.receive(3, vec![sent(400)], 10.0);
    heard.receive(4, vec![sent(250)], 10.0);
    let said = |heard: &PeerDigests, now| heard.evidence_on(&ENGINE, now, all);
    assert!((said(&heard, 13.9).slow_start_work - 0.65).abs() < 1e-9);
    assert_eq!((said(&heard, 13.9).reporting_failures, said(&heard, 14.1).slow_start_work), (0, 0.0));
    heard.forget(3);
    assert!((said(&heard, 10.0).slow_start_work - 0.25).abs() < 1e-9);
}

#[test]
fn bounds_memory_for_invented_engines() {
    let mut heard = PeerDigests::default();
    for name in 0..1000 {
        let made_up = Observation { engine: EngineIncarnation { name, incarnation: 0 }, ..seen(1, 0) };
        heard.receive(3, vec![made_up], 10.0);
    }
    assert_eq!(heard.by_source[&3].len(), MAX_ENGINES_OF_SOURCE);
}

proptest! {
    #[test]
    fn reads_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes);
    }
}
