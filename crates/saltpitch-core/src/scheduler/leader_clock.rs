//! How the leader's steady clock relates to the time of day, and since when it has run without a pause.

use crate::time::Micros;

/// A leader whose loops did not run for this long was paused, and so was its reading of heartbeats.
const PAUSED_AFTER: Micros = Micros::from_secs(2);

/// The clock of one leadership.
pub(super) struct LeaderClock {
    /// Time of day less steady time, as of the election: for ages in records.
    wall_offset: Micros,
    /// When this leader was elected, or went on after a pause: silence is counted from then, since what
    /// was sent meanwhile has not been read yet.
    resumed_at: Micros,
    last_poll_at: Micros,
}

impl LeaderClock {
    /// A clock that starts now.
    pub(super) fn new(now: Micros, wall: Micros) -> LeaderClock {
        LeaderClock {
            wall_offset: wall.since(now),
            resumed_at: now,
            last_poll_at: now,
        }
    }

    /// The loops run.
    pub(super) fn record_poll(&mut self, now: Micros) {
        let last = std::mem::replace(&mut self.last_poll_at, now);
        if now.since(last) > PAUSED_AFTER {
            self.resumed_at = now;
        }
    }

    /// When the loops last ran.
    pub(super) fn last_poll_at(&self) -> Micros {
        self.last_poll_at
    }

    /// Since when the loops have run without a pause.
    pub(super) fn resumed_at(&self) -> Micros {
        self.resumed_at
    }

    /// The time of day that belongs to a steady time of this leadership.
    pub(super) fn wall(&self, at: Micros) -> Micros {
        self.wall_offset.plus(at)
    }
}
