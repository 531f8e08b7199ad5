use super::*;

fn record(key: u64, age: f64) -> IdempotencyRecord {
    IdempotencyRecord { key, age }
}

#[test]
fn the_first_attempt_of_an_idempotency_key_counts_and_one_that_never_ran_does_not() {
    let mut records = IdempotencyRecords::default();
    assert!(records.record_attempt(7, 10.0) && !records.record_attempt(7, 12.0));
    records.remove_never_ran(7, 12.0);
    assert_eq!(records.first_attempt(7), Some(10.0));
    records.restore(&[record(7, 5.0), record(8, 1.0)], 13.0);
    assert_eq!((records.first_attempt(7), records.first_attempt(8)), (Some(8.0), Some(12.0)));
    assert_eq!(records.ages(13.0), [record(7, 5.0), record(8, 1.0)]);
    records.remove_before(9.0);
    assert_eq!(records.first_attempt(7), None);
    records.remove_never_ran(8, 12.0);
    assert!(records.ages(13.0).is_empty());
}

#[test]
fn the_number_of_records_is_bounded_even_if_clients_invent_idempotency_keys() {
    let mut records = IdempotencyRecords::default();
    for key in 0..20_000 {
        records.record_attempt(key, key as f64);
    }
    assert_eq!(
        (records.first_attempts.len(), records.by_age.len()),
        (MAX_IDEMPOTENCY_RECORDS, MAX_IDEMPOTENCY_RECORDS)
    );
    assert_eq!(records.first_attempt(0), None);
}
