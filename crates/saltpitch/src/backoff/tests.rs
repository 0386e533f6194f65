//! Tests of the pauses between attempts.

use super::*;

const FIRST: Duration = Duration::from_millis(200);
const MAX: Duration = Duration::from_secs(1);

/// Guards against retries at a constant rate during a long outage.
#[test]
fn pauses_double_up_to_the_limit_and_start_again_after_a_success() {
    let mut backoff = Backoff::new(FIRST, MAX);
    let middle = u64::MAX / 2;
    let pauses: Vec<u128> = (0..5)
        .map(|_| backoff.next_pause(middle).as_millis())
        .collect();
    assert_eq!(pauses, [200, 400, 800, 1_000, 1_000]);
    backoff.reset();
    assert_eq!(backoff.next_pause(middle).as_millis(), 200);
}

/// Guards against controllers that failed together and retry together.
#[test]
fn pauses_are_spread_around_their_mean() {
    let pause = |random| Backoff::new(FIRST, MAX).next_pause(random);
    assert_eq!(pause(0), Duration::from_millis(100));
    assert_eq!(pause(u64::MAX), Duration::from_millis(300));
}
