//! The gang barrier: the PreEnqueue gate before placement and the Permit barrier after it.

use crate::time::Micros;

/// The state of a gang between its submission and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// The gang holds no capacity.
    Parked {
        /// It is not considered for placement before this time.
        until: Micros,
    },
    /// Some members are assumed and hold their capacity.
    Holding {
        /// Since when the gang has waited at the barrier.
        since: Micros,
    },
    /// All members are assumed, and their allocations are written to the records together.
    Committing,
    /// The members' allocations are on record, and all of them are allowed to start.
    Allowed,
    /// A member was lost, or the gang is being stopped: there is no new attempt before all members are
    /// gone.
    Stopping,
}

impl Default for GangState {
    fn default() -> GangState {
        GangState::Parked {
            until: Micros::ZERO,
        }
    }
}

/// The PreEnqueue gate: a member stays out of the queue until its group exists and at least `min_count`
/// members are known.
pub fn pre_enqueue(group_exists: bool, known: u32, min_count: u32) -> bool {
    group_exists && known >= min_count
}

/// The decision of the Permit barrier on a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// All members are assumed: they may start.
    Allow,
    /// The assumed members keep their capacity and wait for the others.
    Wait,
    /// The wait has timed out: the capacity is released and the gang is parked as a whole.
    TimedOut,
}

/// The Permit barrier: assumed members hold their capacity until their number reaches `min_count` or
/// the wait has timed out.
pub fn permit(assumed: u32, min_count: u32, since: Micros, now: Micros, wait: Micros) -> Permit {
    if assumed >= min_count {
        Permit::Allow
    } else if now.since(since) >= wait {
        Permit::TimedOut
    } else {
        Permit::Wait
    }
}
