use super::*;

#[test]
fn the_first_attempt_of_an_idempotency_key_counts_and_one_that_never_ran_does_not() {
    let mut marks = Marks::default();
    assert!(marks.dispatched(7, 10.0) && !marks.dispatched(7, 12.0));
    marks.never_ran(7, 12.0);
    assert_eq!(marks.first(7), Some(10.0));
    marks.remember(&[(7, 5.0), (8, 1.0)], 13.0);
    assert_eq!((marks.first(7), marks.first(8)), (Some(8.0), Some(12.0)));
    assert_eq!(marks.ages(13.0), [(7, 5.0), (8, 1.0)]);
    marks.forget_before(9.0);
    assert_eq!(marks.first(7), None);
    marks.never_ran(8, 12.0);
    assert!(marks.ages(13.0).is_empty());
}

#[test]
fn made_up_receipts_cost_bounded_memory() {
    let mut marks = Marks::default();
    for idempotency_key in 0..20_000 {
        marks.dispatched(idempotency_key, idempotency_key as f64);
    }
    assert_eq!((marks.first.len(), marks.order.len()), (MAX_MARKS, MAX_MARKS));
    assert_eq!(marks.first(0), None);
}
