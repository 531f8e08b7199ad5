use super::*;
use proptest::prelude::*;

const ENGINE: EngineIncarnation = EngineIncarnation { name: 7, incarnation: 1 };

/// An observation of so many whole attempts; observations count in quarters.
fn observation(failures: u8, successes: u8) -> Observation {
    Observation { engine: ENGINE, successes: successes * 4, failures: failures * 4, slow_start_work: 0 }
}

fn own_evidence(successes: f64, failures: f64, slow_start_work: f64) -> OwnEvidence {
    OwnEvidence { successes, failures, slow_start_work }
}

fn trust_all(_: u16) -> bool {
    true
}

#[test]
fn longest_digest_fits_and_longer_ones_are_refused() {
    let longest = Observation {
        engine: EngineIncarnation { name: u64::MAX, incarnation: u32::MAX },
        successes: 255,
        failures: 255,
        slow_start_work: u16::MAX,
    };
    let bytes = write(&[longest; 40]);
    assert!(bytes.len() <= MAX_DIGEST, "{}", bytes.len());
    assert!(read(&bytes).unwrap().len() >= 10);
    assert_eq!(read(&[&bytes[..], &[0; MAX_DIGEST]].concat()), None);
    assert_eq!(read(&[255, 255, 255, 255, 15]), None, "a count without the observations that it announces");
    assert_eq!(read(&[]), Some(Vec::new()));
}

/// Guards against one faulty router, or one that receives nothing itself, gaining weight by repeating its report.
#[test]
fn counts_each_source_once() {
    let mut received = PeerDigests::default();
    for _ in 0..50 {
        received.receive(3, vec![observation(60, 0)], 10.0);
    }
    let evidence = received.evidence_on(&ENGINE, 10.0, trust_all);
    assert_eq!((evidence.reporting_failures, evidence.failures), (1, 1.0));
    received.receive(4, vec![observation(2, 0)], 10.0);
    received.receive(5, vec![observation(0, 9)], 10.0);
    let evidence = received.evidence_on(&ENGINE, 10.0, trust_all);
    assert_eq!(
        (evidence.reporting_failures, evidence.reporting_successes, evidence.failures, evidence.successes),
        (2, 1, 2.0, 1.0)
    );
}

#[test]
fn fades_observations_and_keeps_the_latest_of_a_source() {
    let mut received = PeerDigests::default();
    received.receive(3, vec![observation(9, 0)], 9.0);
    received.receive(3, vec![observation(0, 9)], 10.0);
    assert_eq!(received.evidence_on(&ENGINE, 10.1, trust_all).reporting_failures, 0);
    assert!(received.evidence_on(&ENGINE, 12.0, trust_all).successes < 0.6);
    assert_eq!(received.evidence_on(&ENGINE, 14.1, trust_all), PeerEvidence::default());
}

#[test]
fn ignores_earlier_engine_incarnations_and_untrusted_sources() {
    let mut received = PeerDigests::default();
    received.receive(3, vec![observation(9, 0)], 10.0);
    let replaced = EngineIncarnation { incarnation: 2, ..ENGINE };
    assert_eq!(received.evidence_on(&replaced, 10.0, trust_all), PeerEvidence::default());
    assert_eq!(received.evidence_on(&ENGINE, 10.0, |source| source != 3), PeerEvidence::default());
    received.forget(3);
    assert_eq!(received.evidence_on(&ENGINE, 10.0, trust_all), PeerEvidence::default());
}

#[test]
fn reports_most_failures_first_and_omits_engines_with_negligible_evidence() {
    let healthy =
        (0..40).map(|name| (EngineIncarnation { name, incarnation: 0 }, own_evidence(3.0, 0.0, 0.0)));
    let failing = [
        (ENGINE, own_evidence(0.5, 2.1, 0.0)),
        (EngineIncarnation { name: 99, incarnation: 0 }, own_evidence(0.01, 0.02, 0.0)),
    ];
    let in_slow_start = [(EngineIncarnation { name: 50, incarnation: 0 }, own_evidence(0.0, 0.0, 0.0101))];
    let reported = observations(healthy.chain(failing).chain(in_slow_start));
    assert_eq!(reported.len(), MAX_OBSERVATIONS);
    assert_eq!(reported[0], Observation { engine: ENGINE, successes: 2, failures: 8, slow_start_work: 0 });
    assert_eq!((reported[1].engine.name, reported[1].slow_start_work), (50, 11));
    assert!(reported.iter().all(|reported| reported.engine.name != 99));
}

#[test]
fn round_reports_failures_to_others_and_is_skipped_without_any() {
    let mut rounds = DigestRounds::new(3, 10, 1, 10.0);
    assert_eq!(rounds.digest_to_send(10.0, || vec![observation(0, 9)]), None);
    let mut reported = Vec::new();
    for step in 0..40 {
        let DueDigest { receivers, bytes } =
            rounds.digest_to_send(10.6 + f64::from(step) * 0.6, || vec![observation(2, 0)]).unwrap();
        reported.extend(receivers);
        let mut other = DigestRounds::new(4, 10, 1, 10.0);
        other.receive(3, &bytes, 10.7).unwrap();
        assert_eq!(other.evidence_on(&ENGINE, 10.7).reporting_failures, 1);
        assert_eq!(other.receive(3, &[255; 9], 10.7), None);
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported, [0, 1, 2, 4, 5, 6, 7, 8, 9], "every instance but the sender receives some digest");
}

/// Work sent in slow start is summed over all sources without fading, and is dropped with its source or when it
/// expires. It can only make a share smaller.
#[test]
fn counts_work_sent_in_slow_start_in_full_until_it_expires() {
    let mut received = PeerDigests::default();
    let work_sent =
        |work_sent| Observation { engine: ENGINE, successes: 0, failures: 0, slow_start_work: work_sent };
    received.receive(3, vec![work_sent(400)], 10.0);
    received.receive(4, vec![work_sent(250)], 10.0);
    let evidence_at = |received: &PeerDigests, now| received.evidence_on(&ENGINE, now, trust_all);
    assert!((evidence_at(&received, 13.9).slow_start_work - 0.65).abs() < 1e-9);
    assert_eq!(
        (evidence_at(&received, 13.9).reporting_failures, evidence_at(&received, 14.1).slow_start_work),
        (0, 0.0)
    );
    received.forget(3);
    assert!((evidence_at(&received, 10.0).slow_start_work - 0.25).abs() < 1e-9);
}

#[test]
fn bounds_memory_for_invented_engines() {
    let mut received = PeerDigests::default();
    for name in 0..1000 {
        let invented =
            Observation { engine: EngineIncarnation { name, incarnation: 0 }, ..observation(1, 0) };
        received.receive(3, vec![invented], 10.0);
    }
    assert_eq!(received.by_source[&3].len(), MAX_ENGINES_OF_SOURCE);
}

proptest! {
    #[test]
    fn reads_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes);
    }
}
