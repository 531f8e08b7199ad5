//! The penalty over time.

use super::*;

const DAMPING: Damping =
    Damping { half_life: 60.0, suppress_threshold: 3.0, reuse_threshold: 1.0, max_suppress_time: 120.0 };

#[test]
fn penalties_add_up_decay_and_expire_after_the_longest_time() {
    let mut penalty = Penalty::default();
    for at in 0..3 {
        assert!(!penalty.suppressed);
        penalty.add(f64::from(at), &DAMPING);
        penalty.fade(f64::from(at), &DAMPING);
    }
    // 2.98: the third fall came just short of the bound, the fourth is past it.
    assert!(!penalty.suppressed);
    penalty.add(3.0, &DAMPING);
    assert!(penalty.suppressed);
    // Far more falls hold it back for the longest time and no longer.
    (0..100).for_each(|_| penalty.add(4.0, &DAMPING));
    penalty.fade(4.0 + 119.0, &DAMPING);
    assert!(penalty.suppressed);
    penalty.fade(4.0 + 121.0, &DAMPING);
    assert!(!penalty.suppressed);
}

#[test]
fn falls_a_half_life_apart_never_suppress() {
    let mut penalty = Penalty::default();
    for at in 0..1000 {
        penalty.add(60.0 * f64::from(at), &DAMPING);
        assert!(!penalty.suppressed);
    }
}
