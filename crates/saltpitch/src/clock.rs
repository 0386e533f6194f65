//! The node's clocks, in whole microseconds.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use saltpitch_core::Micros;

/// Steady time since the process started. It begins at one minute, so that "never" (zero) is long
/// ago.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

const OFFSET: Micros = Micros::from_secs(60);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Micros {
        Micros(self.0.elapsed().as_micros() as u64).plus(OFFSET)
    }

    /// Time of day.
    pub fn wall(&self) -> Micros {
        Micros(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as u64),
        )
    }

    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.since(self.now()).0)
    }
}
