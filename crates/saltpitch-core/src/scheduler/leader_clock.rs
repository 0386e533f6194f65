//! Converts the leader's steady clock to the time of day, and detects pauses of the leader's process.

use crate::time::Micros;

/// If the loops did not run for this long, the leader's process was paused and did not read heartbeats
/// either.
const PAUSE_THRESHOLD: Micros = Micros::from_secs(2);

/// The clock of one leadership.
pub(super) struct LeaderClock {
    /// The difference between the time of day and the steady time at the election, for ages in records.
    wall_offset: Micros,
    /// When this leader was elected or last resumed after a pause. An agent's silence is measured from this
    /// time on, because messages that arrived during a pause have not been read yet.
    resumed_at: Micros,
    last_poll_at: Micros,
}

impl LeaderClock {
    /// Creates the clock of a leader that was elected at `now`; `wall` is the time of day.
    pub(super) fn new(now: Micros, wall: Micros) -> LeaderClock {
        LeaderClock {
            wall_offset: wall.since(now),
            resumed_at: now,
            last_poll_at: now,
        }
    }

    /// Records that the loops run now, and whether the process was paused before.
    pub(super) fn record_poll(&mut self, now: Micros) {
        let previous_poll_at = std::mem::replace(&mut self.last_poll_at, now);
        if now.since(previous_poll_at) > PAUSE_THRESHOLD {
            self.resumed_at = now;
        }
    }

    /// Returns when the loops last ran.
    pub(super) fn last_poll_at(&self) -> Micros {
        self.last_poll_at
    }

    /// Returns since when the loops have run without a pause.
    pub(super) fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// Converts a steady time to the time of day.
    pub(super) fn wall(&self, at: Micros) -> Micros {
        self.wall_offset.plus(at)
    }
}
