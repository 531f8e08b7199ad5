use super::*;

#[test]
fn reservations_together_stay_within_the_limit_and_release_their_bytes_when_dropped() {
    let budget = MemoryBudget::new(100);
    let first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none());
    let mut second = budget.reserve(40).unwrap();
    assert_eq!(budget.reserved(), 100);
    assert!(!second.try_resize(41));
    assert!(second.try_resize(10));
    drop(first);
    assert_eq!(budget.reserved(), 10);
    assert!(second.try_resize(100));
    drop(second);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_forced_reservation_beyond_the_limit_leaves_no_room_for_others_but_may_shrink() {
    let budget = MemoryBudget::new(100);
    let mut forced = Reservation::in_budget(&budget);
    forced.force_resize(150);
    assert!(budget.reserve(1).is_none());
    assert!(forced.try_resize(120));
    assert_eq!(budget.reserved(), 120);
    assert!(forced.try_resize(99));
    assert!(budget.reserve(1).is_some());
}

#[test]
fn a_reservation_without_a_budget_has_no_limit() {
    assert!(Reservation::default().try_resize(usize::MAX));
}
