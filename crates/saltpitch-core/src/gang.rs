//! The gang barrier: the PreEnqueue gate before placement and the Permit barrier after it.

use crate::time::Micros;

/// Where a gang stands between submission and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// Holds nothing.
    Parked {
        /// It is not looked at before then.
        until: Micros,
    },
    /// Some members are assumed and hold their capacity.
    Holding {
        /// Since when it has waited at the barrier.
        since: Micros,
    },
    /// Quorum: the members' allocations go on record together.
    Committing,
    /// The allow loop ran: every start has been released.
    Allowed,
    /// A member was lost, or the gang is stopped: no new attempt before all are gone.
    Stopping,
}

impl Default for GangState {
    fn default() -> GangState {
        GangState::Parked {
            until: Micros::ZERO,
        }
    }
}

/// PreEnqueue: a member stays out of the queue until its group exists and `min_count` are known.
pub fn pre_enqueue(group_exists: bool, known: u32, min_count: u32) -> bool {
    group_exists && known >= min_count
}

/// What the Permit barrier says of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// All members are assumed: they may start.
    Allow,
    /// The assumed members keep their capacity and wait for the others.
    Wait,
    /// The wait is over: release the capacity and park the gang as a whole.
    Drop,
}

/// Permit: assumed members hold their capacity until their count reaches `min_count`.
pub fn permit(assumed: u32, min_count: u32, since: Micros, now: Micros, wait: Micros) -> Permit {
    if assumed >= min_count {
        Permit::Allow
    } else if now.since(since) >= wait {
        Permit::Drop
    } else {
        Permit::Wait
    }
}
