//! Tests of the penalty over time.

use super::*;

const DAMPING: Damping =
    Damping { half_life: 60.0, suppress_threshold: 3.0, reuse_threshold: 1.0, max_suppress_time: 120.0 };

#[test]
fn penalties_add_up_decay_and_stop_suppressing_after_max_suppress_time() {
    let mut penalty = Penalty::default();
    for time in 0..3 {
        assert!(!penalty.suppressed);
        penalty.add_fall(f64::from(time), &DAMPING);
        penalty.decay(f64::from(time), &DAMPING);
    }
    // The penalty is 2.98: the third fall stays just under the threshold, and the fourth exceeds it.
    assert!(!penalty.suppressed);
    penalty.add_fall(3.0, &DAMPING);
    assert!(penalty.suppressed);
    // Many more falls suppress the address for max_suppress_time and no longer.
    (0..100).for_each(|_| penalty.add_fall(4.0, &DAMPING));
    penalty.decay(4.0 + 119.0, &DAMPING);
    assert!(penalty.suppressed);
    penalty.decay(4.0 + 121.0, &DAMPING);
    assert!(!penalty.suppressed);
}

#[test]
fn falls_a_half_life_apart_never_suppress() {
    let mut penalty = Penalty::default();
    for half_lives in 0..1000 {
        penalty.add_fall(60.0 * f64::from(half_lives), &DAMPING);
        assert!(!penalty.suppressed);
    }
}
