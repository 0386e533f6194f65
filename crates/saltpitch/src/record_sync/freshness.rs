//! How old the copy of the records is, for the log: the time since a read was last applied to it.

use std::time::Duration;

use saltpitch_core::Micros;

/// A copy that is older than this is reported, and then again whenever this time has passed. A watch without changes is
/// answered within it.
const REPORT_INTERVAL: Micros = Micros::from_secs(10);

/// The age of the copy of the records.
#[derive(Debug)]
pub struct CopyAge {
    /// When a read was last applied, or when this process started.
    read_at: Micros,
    reported_at: Micros,
}

impl CopyAge {
    /// Creates the age of a copy in a process that starts now.
    pub fn new(now: Micros) -> CopyAge {
        CopyAge {
            read_at: now,
            reported_at: now,
        }
    }

    /// Notes that a read was applied. Returns how old the copy was if its age was reported before.
    pub fn read_applied(&mut self, now: Micros) -> Option<Duration> {
        let was_reported = self.reported_at > self.read_at;
        let age = self.age(now);
        self.read_at = now;
        self.reported_at = now;
        was_reported.then_some(age)
    }

    /// Notes that a read failed. Returns how old the copy is if that is to be reported now.
    pub fn read_failed(&mut self, now: Micros) -> Option<Duration> {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        Some(self.age(now))
    }

    fn age(&self, now: Micros) -> Duration {
        Duration::from_micros(now.since(self.read_at).0)
    }
}

#[cfg(test)]
mod tests;
