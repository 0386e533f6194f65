//! Tests of token buckets: how many tokens may be spent at once, and how they refill.

use saltpitch_core::token_bucket::TokenBucket;
use saltpitch_core::Micros;

/// Returns how many of 50 requests for a single token are granted at this time.
fn granted_count(bucket: &mut TokenBucket, now: Micros) -> usize {
    (0..50).filter(|_| bucket.try_spend(1.0, now)).count()
}

#[test]
fn a_bucket_runs_out_and_refills_at_its_rate() {
    let mut bucket = TokenBucket::per_second(10.0);
    let now = Micros::from_secs(1);
    assert_eq!(granted_count(&mut bucket, now), 10);
    assert_eq!(
        granted_count(&mut bucket, now.plus(Micros::from_millis(500))),
        5
    );
}

#[test]
fn a_bucket_with_a_burst_holds_no_more_than_the_burst() {
    let mut bucket = TokenBucket::with_burst(10.0, 3.0);
    assert_eq!(granted_count(&mut bucket, Micros::from_secs(1)), 3);
    assert_eq!(granted_count(&mut bucket, Micros::from_secs(60)), 3);
}

#[test]
fn a_burst_below_one_still_allows_single_tokens() {
    let mut bucket = TokenBucket::with_burst(0.5, 0.1);
    assert_eq!(granted_count(&mut bucket, Micros::from_secs(1)), 1);
    assert_eq!(granted_count(&mut bucket, Micros::from_secs(2)), 0);
    assert_eq!(granted_count(&mut bucket, Micros::from_secs(3)), 1);
}

#[test]
fn a_request_larger_than_the_capacity_is_granted_once_enough_tokens_were_added() {
    let mut bucket = TokenBucket::per_second(2.0);
    assert!(!bucket.try_spend(5.0, Micros::from_secs(1)));
    assert!(bucket.try_spend(5.0, Micros::from_secs(3)));
}

#[test]
fn a_leaders_bucket_begins_with_half_a_second_of_tokens_and_refills_to_its_burst() {
    let start = Micros::from_secs(100);
    let mut bucket = TokenBucket::for_leader(10.0, 20.0, start);
    assert_eq!(bucket.available(start), 5.0);
    assert_eq!(bucket.available(start.plus(Micros::from_secs(1))), 15.0);
    assert_eq!(bucket.available(start.plus(Micros::from_secs(60))), 20.0);
}

#[test]
fn a_leaders_bucket_holds_at_least_half_a_second_of_tokens() {
    let start = Micros::from_secs(100);
    let mut bucket = TokenBucket::for_leader(100.0, 4.0, start);
    assert_eq!(bucket.available(start.plus(Micros::from_secs(60))), 50.0);
}

#[test]
fn tokens_spent_in_advance_delay_the_next_ones() {
    let start = Micros::from_secs(100);
    let mut bucket = TokenBucket::for_leader(10.0, 5.0, start);
    bucket.spend(6.0);
    assert_eq!(bucket.ready_at(4.0), start.plus(Micros::from_millis(500)));
    assert_eq!(bucket.ready_at(-2.0), start);
}

#[test]
fn a_lowered_rate_is_not_raised_again() {
    let start = Micros::from_secs(100);
    let mut bucket = TokenBucket::for_leader(10.0, 1.0, start);
    bucket.lower_rate(4.0);
    bucket.lower_rate(8.0);
    bucket.spend(5.0);
    assert_eq!(bucket.ready_at(4.0), start.plus(Micros::from_secs(1)));
}
