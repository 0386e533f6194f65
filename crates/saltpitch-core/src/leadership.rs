//! Who leads: when to take office, how long to go on without the store, when to give way.

use crate::time::Micros;

/// How long a leader may go on answering workers after its last confirmed renewal. A cancelled
/// task must be gone `cancel` after its user was told, and a worker that was answered last at the
/// very end of this span keeps its tasks for one lease more.
pub fn answer_bound(cancel: Micros, lease: Micros) -> Micros {
    cancel
        .since(lease.with_drift())
        .since(Micros::from_secs(4))
        .max(Micros::from_secs(2))
}

/// What a leader knows of how well it is heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hearing {
    /// Workers that are up as far as the leader knows.
    pub known: usize,
    /// Of these, heard lately.
    pub heard: usize,
    /// Workers that knock at the best placed peer, sent on to the leader.
    pub knocks: usize,
    /// Peers that answer this node.
    pub peers: usize,
    /// Nodes other than this one.
    pub others: usize,
}

impl Hearing {
    /// The workers do not reach this leader although others would hear them. Held for a while,
    /// this is the reason to resign before the workers' leases run out. When nobody else hears
    /// more, resigning would only make leadership flap.
    pub fn deaf(&self) -> bool {
        if self.known == 0 || self.heard * 2 >= self.known {
            return false;
        }
        if self.peers == 0 && self.others > 0 {
            return self.heard == 0;
        }
        self.knocks > self.heard
    }
}

/// When the leadership is vacant, the wait before a node tries to take it.
pub fn election_delay(random: u64, shy: bool) -> Micros {
    let base = Micros(random % 200_000);
    if shy {
        base.plus(Micros::from_secs(6))
    } else {
        base
    }
}
