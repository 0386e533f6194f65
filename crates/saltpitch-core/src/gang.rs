//! The gang barrier: the PreEnqueue gate before placement and the Permit barrier after it.

use crate::time::Micros;

/// Where a gang stands between submission and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gang {
    /// Holds nothing. Not looked at before `until`, unless an event wakes it.
    Parked { until: Micros },
    /// Some members are assumed and hold their room since then.
    Holding { since: Micros },
    /// Quorum: the members' places go on record together.
    Committing,
    /// The allow loop ran: every start has been released.
    Allowed,
    /// A member was lost, or the gang is stopped: no new attempt before all are gone.
    Stopping,
}

impl Default for Gang {
    fn default() -> Gang {
        Gang::Parked {
            until: Micros::ZERO,
        }
    }
}

/// PreEnqueue: a member stays out of the queue until its group exists and `min_count` are known.
pub fn pre_enqueue(group_exists: bool, known: u32, min_count: u32) -> bool {
    group_exists && known >= min_count
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    Allow,
    Wait,
    /// The wait is over: drop the room and park the gang whole.
    Drop,
}

/// Permit: assumed members hold their room until their count reaches `min_count`.
pub fn permit(assumed: u32, min_count: u32, since: Micros, now: Micros, wait: Micros) -> Permit {
    if assumed >= min_count {
        Permit::Allow
    } else if now.since(since) >= wait {
        Permit::Drop
    } else {
        Permit::Wait
    }
}
