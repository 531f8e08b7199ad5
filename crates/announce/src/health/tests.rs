//! The share of requests answered in time.

use super::*;

#[test]
fn the_share_needs_enough_requests_and_forgets_old_ones() {
    let mut recent = InTimeShare::default();
    assert_eq!(recent.update(0.0, 5, 9), None);
    assert_eq!(recent.update(0.0, 10, 20), Some(0.5));
    // A minute on, the first ones count for nothing.
    let share = recent.update(60.0, 110, 120).unwrap();
    assert!(share > 0.99, "{share}");
    assert_eq!(recent.update(120.0, 110, 120), None);
}
