//! Tests of a controller's share of the rate limits and of the switch to the next limits.

use super::*;

fn limits() -> StoreLimits {
    StoreLimits {
        rps: 100.0,
        write_rps: 40.0,
        max_value_bytes: 16 * 1024,
        max_transaction_writes: 16,
        next_rps: 50.0,
        next_write_rps: 20.0,
    }
}

fn at(seconds: u64) -> Micros {
    Micros::from_secs(1_000 + seconds)
}

/// Returns the number of requests allowed in the tenth second, after the budget was used up in the
/// ninth.
fn requests_per_second(rate_limits: &mut RateLimits) -> usize {
    let spend_all = |rate_limits: &mut RateLimits, now: Micros| {
        (0..1_000).filter(|_| rate_limits.try_request(now)).count()
    };
    spend_all(rate_limits, at(9));
    spend_all(rate_limits, at(10))
}

#[test]
fn the_leader_has_half_of_the_requests_and_the_followers_the_rest() {
    let mut alone = RateLimits::new(limits(), 1, Role::Follower);
    assert_eq!(requests_per_second(&mut alone), 90);
    let mut follower = RateLimits::new(limits(), 4, Role::Follower);
    assert_eq!(requests_per_second(&mut follower), 15);
    let mut leader = RateLimits::new(limits(), 4, Role::Follower);
    leader.set_role(Role::Leader);
    assert_eq!(requests_per_second(&mut leader), 50);
}

#[test]
fn refusals_far_apart_change_nothing() {
    let mut rate_limits = RateLimits::new(limits(), 3, Role::Follower);
    for n in 0..20 {
        assert!(!rate_limits.record_refusal(at(n * 3)), "{n}");
    }
    assert_eq!(rate_limits.rates().changes, 40.0);
}

#[test]
fn five_refusals_within_ten_seconds_bring_the_next_limits_once() {
    let mut rate_limits = RateLimits::new(limits(), 1, Role::Follower);
    let detections: Vec<bool> = (0..7).map(|n| rate_limits.record_refusal(at(n))).collect();
    assert_eq!(detections, [false, false, false, false, true, false, false]);
    let next = Rates {
        requests: 50.0,
        changes: 20.0,
    };
    assert_eq!(rate_limits.rates(), next);
    assert_eq!(requests_per_second(&mut rate_limits), 45);
    rate_limits.set_role(Role::Leader);
    assert_eq!(rate_limits.rates(), next);
}

#[test]
fn a_transaction_spends_a_request_and_its_changes() {
    let mut rate_limits = RateLimits::new(limits(), 1, Role::Follower);
    assert!(rate_limits.try_changes(0, at(0)));
    let granted = (0..50)
        .filter(|_| rate_limits.try_changes(2, at(0)))
        .count();
    assert!((1..50).contains(&granted), "{granted}");
    assert!(rate_limits.try_changes(0, at(0)), "requests are left");
}

#[test]
fn the_pause_between_paced_requests_is_bounded() {
    let rate_limits = RateLimits::new(limits(), 2, Role::Follower);
    assert_eq!(rate_limits.pace(0.1), Duration::from_millis(200));
    assert_eq!(rate_limits.pace(1.0), Duration::from_millis(20));
    assert_eq!(rate_limits.pace(0.000_1), Duration::from_secs(2));
}

/// Guards against processes that together exceed the limit on requests: with any number of controllers, the leader,
/// the followers and an operator's command have at most all of it.
#[test]
fn the_shares_of_all_processes_together_are_within_the_limit() {
    for controller_count in 1..=7 {
        let rate = |role| {
            requests_per_second(&mut RateLimits::new(limits(), controller_count, role)) as f64
        };
        let followers = (controller_count - 1) as f64;
        let total = rate(Role::Leader) + followers * rate(Role::Follower) + rate(Role::Command);
        assert!(total <= limits().rps, "{controller_count}: {total}");
        let share_without_leader = rate(Role::Starting).max(rate(Role::Follower));
        let total = controller_count as f64 * share_without_leader + rate(Role::Command);
        assert!(
            total <= limits().rps,
            "{controller_count}, no leader: {total}"
        );
    }
}

/// Guards against a listing that leaves no requests for users, and against one that other requests delay forever.
#[test]
fn a_background_request_leaves_a_reserve_until_it_has_waited_for_long() {
    let mut rate_limits = RateLimits::new(limits(), 1, Role::Follower);
    let background = |rate_limits: &mut RateLimits, waited| {
        (0..1_000)
            .map_while(|_| rate_limits.try_background_request(waited, at(0)).ok())
            .count()
    };
    assert_eq!(background(&mut rate_limits, Micros::ZERO), 45);
    assert!(rate_limits.try_request(at(0)), "others may use the reserve");
    let wait = rate_limits.try_background_request(Micros::ZERO, at(0));
    assert!(wait.is_err_and(|wait| wait > Micros::ZERO && wait < Micros::from_millis(100)));
    assert_eq!(background(&mut rate_limits, BACKGROUND_PATIENCE), 44);
    assert!(!rate_limits.try_request(at(0)), "the budget is used up");
}
