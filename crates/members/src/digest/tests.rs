use super::*;
use proptest::prelude::*;

const ENGINE: EngineLife = EngineLife { name: 7, life: 1 };

/// Whole pushes.
fn word(bad: u8, good: u8) -> Word {
    Word { engine: ENGINE, good: good * 4, bad: bad * 4, sent: 0 }
}

fn all(_: u16) -> bool {
    true
}

#[test]
fn the_longest_digest_fits_and_none_is_longer() {
    let most =
        Word { engine: EngineLife { name: u64::MAX, life: u32::MAX }, good: 255, bad: 255, sent: u16::MAX };
    let bytes = write(&[most; 40]);
    assert!(bytes.len() <= LONGEST, "{}", bytes.len());
    assert!(read(&bytes).unwrap().len() >= 10);
    assert_eq!(read(&[&bytes[..], &[0; LONGEST]].concat()), None);
    assert_eq!(read(&[255, 255, 255, 255, 15]), None, "a count that nothing stands behind");
    assert_eq!(read(&[]), Some(Vec::new()));
}

/// Hard case: one router that lies, or is deaf itself, says it again and again.
#[test]
fn one_source_counts_once_however_often_it_says_so() {
    let mut heard = Heard::default();
    for _ in 0..50 {
        heard.hear(3, vec![word(60, 0)], 10.0);
    }
    let said = heard.of(&ENGINE, 10.0, all);
    assert_eq!((said.ill_by, said.bad), (1, 1.0));
    heard.hear(4, vec![word(2, 0)], 10.0);
    heard.hear(5, vec![word(0, 9)], 10.0);
    let said = heard.of(&ENGINE, 10.0, all);
    assert_eq!((said.ill_by, said.well_by, said.bad, said.good), (2, 1, 2.0, 1.0));
}

#[test]
fn words_fade_and_the_youngest_of_a_source_stands() {
    let mut heard = Heard::default();
    heard.hear(3, vec![word(9, 0)], 9.0);
    heard.hear(3, vec![word(0, 9)], 10.0);
    assert_eq!(heard.of(&ENGINE, 10.1, all).ill_by, 0);
    assert!(heard.of(&ENGINE, 12.0, all).good < 0.6);
    assert_eq!(heard.of(&ENGINE, 14.1, all), Said::default());
}

#[test]
fn a_former_life_of_an_engine_and_a_witness_that_is_none_any_more_say_nothing() {
    let mut heard = Heard::default();
    heard.hear(3, vec![word(9, 0)], 10.0);
    let replaced = EngineLife { life: 2, ..ENGINE };
    assert_eq!(heard.of(&replaced, 10.0, all), Said::default());
    assert_eq!(heard.of(&ENGINE, 10.0, |source| source != 3), Said::default());
    heard.forget(3);
    assert_eq!(heard.of(&ENGINE, 10.0, all), Said::default());
}

#[test]
fn the_most_trouble_is_told_first_and_nothing_of_what_was_not_met() {
    let well = (0..40).map(|name| (EngineLife { name, life: 0 }, (3.0, 0.0, 0.0)));
    let ill = [(ENGINE, (0.5, 2.1, 0.0)), (EngineLife { name: 99, life: 0 }, (0.01, 0.02, 0.0))];
    let cold = [(EngineLife { name: 50, life: 0 }, (0.0, 0.0, 0.0101))];
    let words = words(well.chain(ill).chain(cold));
    assert_eq!(words.len(), MOST_WORDS);
    assert_eq!(words[0], Word { engine: ENGINE, good: 2, bad: 8, sent: 0 });
    assert_eq!((words[1].engine.name, words[1].sent), (50, 11));
    assert!(words.iter().all(|word| word.engine.name != 99));
}

#[test]
fn a_round_tells_some_others_of_trouble_and_nobody_of_none() {
    let mut rounds = Rounds::new(3, 10, 1, 10.0);
    assert_eq!(rounds.due(10.0, || vec![word(0, 9)]), None);
    let mut told = Vec::new();
    for step in 0..40 {
        let (who, bytes) = rounds.due(10.6 + f64::from(step) * 0.6, || vec![word(2, 0)]).unwrap();
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
fn what_others_sent_a_cold_engine_counts_whole_while_it_is_fresh() {
    let mut heard = Heard::default();
    let sent = |sent| Word { engine: ENGINE, good: 0, bad: 0, sent };
    heard.hear(3, vec![sent(400)], 10.0);
    heard.hear(4, vec![sent(250)], 10.0);
    let said = |heard: &Heard, now| heard.of(&ENGINE, now, all);
    assert!((said(&heard, 13.9).sent - 0.65).abs() < 1e-9);
    assert_eq!((said(&heard, 13.9).ill_by, said(&heard, 14.1).sent), (0, 0.0));
    heard.forget(3);
    assert!((said(&heard, 10.0).sent - 0.25).abs() < 1e-9);
}

#[test]
fn made_up_engines_cost_bounded_memory() {
    let mut heard = Heard::default();
    for name in 0..1000 {
        let made_up = Word { engine: EngineLife { name, life: 0 }, ..word(1, 0) };
        heard.hear(3, vec![made_up], 10.0);
    }
    assert_eq!(heard.by_source[&3].len(), MOST_KEPT);
}

proptest! {
    #[test]
    fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes);
    }
}
