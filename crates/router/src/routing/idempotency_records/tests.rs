use super::*;

fn aged(key: u64, age: f64) -> IdempotencyRecord {
    IdempotencyRecord { key, age }
}

#[test]
fn the_first_attempt_of_an_idempotency_key_counts_and_one_that_never_ran_does_not() {
    let mut records = IdempotencyRecords::default();
    assert!(records.attempted(7, 10.0) && !records.attempted(7, 12.0));
    records.never_ran(7, 12.0);
    assert_eq!(records.first_attempt(7), Some(10.0));
    records.restore(&[aged(7, 5.0), aged(8, 1.0)], 13.0);
    assert_eq!((records.first_attempt(7), records.first_attempt(8)), (Some(8.0), Some(12.0)));
    assert_eq!(records.ages(13.0), [aged(7, 5.0), aged(8, 1.0)]);
    records.forget_before(9.0);
    assert_eq!(records.first_attempt(7), None);
    records.never_ran(8, 12.0);
    assert!(records.ages(13.0).is_empty());
}

#[test]
fn made_up_idempotency_keys_cost_bounded_memory() {
    let mut records = IdempotencyRecords::default();
    for key in 0..20_000 {
        records.attempted(key, key as f64);
    }
    assert_eq!(
        (records.first.len(), records.order.len()),
        (MAX_IDEMPOTENCY_RECORDS, MAX_IDEMPOTENCY_RECORDS)
    );
    assert_eq!(records.first_attempt(0), None);
}
