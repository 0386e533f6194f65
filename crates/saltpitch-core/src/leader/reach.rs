//! Machines out of this leader's reach: as long as there are many, what it knows of the site's room is not
//! worth renting for.
//!
//! Found in an incident: a leader that was cut off from its workers saw all room gone, and rented 231 of
//! the dearest machines in the eight seconds before it resigned. Its successor, which had heard nobody
//! yet, went on with that.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Leader;
use crate::cluster::{Machine, Phase};
use crate::time::Micros;

/// More than one in so many machines out of reach speaks against this leader's links, not the machines.
const MANY: usize = 4;
/// A machine that was ordered this many boot times before the leadership began should be up.
const UP_AFTER_BOOTS: f64 = 1.5;

/// The machines that are up, or should be, and out of reach.
#[derive(Debug, Default)]
pub(super) struct OutOfReach {
    machines: BTreeSet<Arc<str>>,
    /// Since when there have been many.
    many_since: Option<Micros>,
}

impl Leader {
    /// Something about a machine changed that may have brought it into reach or out of it.
    pub(super) fn note_reach(&mut self, name: &Arc<str>) {
        let machine = self.machines.get(name);
        if machine.is_some_and(|m| self.is_out_of_reach(m)) {
            self.out_of_reach.machines.insert(name.clone());
        } else {
            self.out_of_reach.machines.remove(name);
        }
    }

    fn is_out_of_reach(&self, m: &Machine) -> bool {
        match m.phase {
            Phase::Up => m.silent || m.mute || m.deaf.suspected(),
            Phase::Unheard => {
                let up_at = m.born.plus(m.kind.boot.times(UP_AFTER_BOOTS));
                m.recorded && up_at < self.took_office
            }
            Phase::Returning(_) => false,
        }
    }

    /// Whether many machines have been out of reach for less than a lease. After that what they held is
    /// lost and has to run elsewhere, whatever the reason.
    pub(super) fn lacks_overview(&mut self, now: Micros) -> bool {
        let state = &mut self.out_of_reach;
        if state.machines.len() * MANY <= self.machines.len() {
            state.many_since = None;
            return false;
        }
        let since = *state.many_since.get_or_insert(now);
        now.since(since) <= self.cfg.lease
    }
}
