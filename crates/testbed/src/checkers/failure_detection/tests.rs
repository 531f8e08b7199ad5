use super::*;

fn truth(at: f64, up: [bool; 3]) -> Truth {
    Truth { at, up: up.to_vec(), cut: vec![vec![false; 3]; 3], incarnation: vec![0; 3], rough: false }
}

fn said(at: f64, by: usize, of: usize, state: &str) -> Said {
    Said { at, by, of, state: state.to_string() }
}

fn all_present() -> Vec<Said> {
    let pairs = (0..3).flat_map(|by| (0..3).filter(move |of| *of != by).map(move |of| (by, of)));
    pairs.map(|(by, of)| said(1.0, by, of, "present")).collect()
}

fn record(said: Vec<Said>, truths: Vec<Truth>) -> Record {
    let mut record = Record { truths, faults: 1, end: 20.0, ..Record::default() };
    said.into_iter().for_each(|said| record.say(said));
    record
}

#[test]
fn a_failure_that_is_found_late_or_never_is_told() {
    let mut said_by = all_present();
    said_by.push(said(11.5, 0, 2, "failed"));
    let truths = vec![truth(0.0, [true; 3]), truth(10.0, [true, true, false])];
    let record = record(said_by, truths);
    let (times, missed) = record.detections();
    assert_eq!((times.len(), missed), (1, 1), "router 1 never found it");
    assert!(times.max() >= 1490 && times.max() <= 1510);
    assert_eq!(record.agreed_after(), None);
}

#[test]
fn a_sound_router_that_is_held_failed_is_false_after_a_second() {
    let mut said_by = all_present();
    said_by.extend([said(10.0, 0, 2, "failed"), said(10.5, 0, 2, "present")]);
    said_by.extend([said(12.0, 1, 2, "failed"), said(14.0, 1, 2, "present")]);
    let record = record(said_by, vec![truth(0.0, [true; 3])]);
    let found = record.false_failures();
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].1, found[0].2), (1, 2));
}

#[test]
fn views_agree_once_all_hold_present_just_those_that_run() {
    let mut said_by = all_present();
    said_by.extend([said(11.0, 0, 2, "failed"), said(11.7, 1, 2, "suspected"), said(12.2, 1, 2, "failed")]);
    let truths = vec![truth(0.0, [true; 3]), truth(10.0, [true, true, false])];
    let record = record(said_by, truths);
    let agreed = record.agreed_after().unwrap();
    assert!((2150..=2300).contains(&agreed), "{agreed}");
}
