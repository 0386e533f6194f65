//! The clocks of this process, in whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use saltpitch_core::Micros;

/// The monotonic time at which the clock starts. It is not zero because a time of zero stands for
/// "never".
const INITIAL_TIME: Micros = Micros::from_secs(60);

/// A monotonic clock that starts with the process, and the system's wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64).plus(INITIAL_TIME)
    }

    /// Returns the wall-clock time since the Unix epoch, or zero if the wall clock shows a time before
    /// it.
    pub fn wall_time(&self) -> Micros {
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Micros(since_unix_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64))
    }

    /// Returns the time left until the monotonic time `at`, or zero if it has passed.
    pub fn time_until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.since(self.now()).0)
    }
}
