//! Tests of the share of requests answered in time.

use super::*;

#[test]
fn the_share_needs_enough_requests_and_forgets_old_ones() {
    let mut share_of_recent = InTimeShare::default();
    assert_eq!(share_of_recent.update(0.0, 5, 9), None);
    assert_eq!(share_of_recent.update(0.0, 10, 20), Some(0.5));
    // A minute later, the first requests have almost no weight.
    let share = share_of_recent.update(60.0, 110, 120).unwrap();
    assert!(share > 0.99, "{share}");
    assert_eq!(share_of_recent.update(120.0, 110, 120), None);
}
