//! The node's clocks, in whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use saltpitch_core::Micros;

/// The time of the monotonic clock at which the process starts: not zero, which stands for "never".
const START: Micros = Micros::from_secs(60);

/// A monotonic clock that starts with the process, and the time of day.
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

    /// The time on the monotonic clock.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64).plus(START)
    }

    /// The time of day.
    pub fn wall_time(&self) -> Micros {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Micros(since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64))
    }

    /// How long it is until a time on the monotonic clock; zero if that has passed.
    pub fn time_until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.since(self.now()).0)
    }
}
