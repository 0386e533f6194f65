//! Room to come: machines that boot, are being rented, or are to be rented, and the terms on which jobs get
//! them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::catalog::{MachineType, Resources};
use crate::time::Micros;

/// Bins of one pool that are tried for one job before another machine is thought of.
const TRIES: usize = 64;

/// Room to come in one type, zone and kind: machines that boot, are being rented, or are to be
/// rented.
pub(in crate::scheduler) struct CapacityPool {
    pub kind: Arc<MachineType>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// What is still free on each; those before `first` are full.
    pub bins: Vec<Resources>,
    pub first: usize,
    /// The fewest processors that a task of a waiting job takes.
    pub smallest_need: u64,
    /// How many of the bins are to be rented now, and the place in the order of service of the first
    /// job that wants one.
    pub new: u32,
    pub wanted_by: usize,
    /// Production wants some of them.
    pub production: bool,
    pub refused: bool,
    /// Nothing boots in its zone: a few machines are ordered to see when it does again, and nobody counts
    /// on them.
    pub stalled: bool,
    /// How many may be ordered now.
    pub max_new: u32,
}

impl CapacityPool {
    /// Takes room for up to `want` tasks; says for how many.
    pub fn take(&mut self, need: &Resources, want: u64) -> u64 {
        let mut left = want;
        while left > 0 {
            self.pass_full_bins();
            let taken = self.take_from_window(need, left);
            if taken == 0 {
                break;
            }
            left -= taken;
        }
        want - left
    }

    /// Bins that have no room for anything that waits are not tried any more.
    fn pass_full_bins(&mut self) {
        let smallest = self.smallest_need.max(1);
        while self
            .bins
            .get(self.first)
            .is_some_and(|bin| bin.cpu < smallest)
        {
            self.first += 1;
        }
    }

    fn take_from_window(&mut self, need: &Resources, want: u64) -> u64 {
        let mut left = want;
        for bin in self.bins.iter_mut().skip(self.first).take(TRIES) {
            let n = need.count_in(bin).min(left);
            if n > 0 {
                *bin = bin.minus(&need.times(n));
                left -= n;
                if left == 0 {
                    break;
                }
            }
        }
        want - left
    }
}

pub(in crate::scheduler) fn find<'a>(
    pools: &'a mut [CapacityPool],
    type_name: &str,
    zone: &str,
    spot: bool,
) -> Option<&'a mut CapacityPool> {
    pools
        .iter_mut()
        .find(|p| p.kind.name == type_name && &*p.zone == zone && p.spot == spot)
}

/// On what terms machines are rented for a job.
pub(in crate::scheduler) struct ScaleOutTerms {
    pub spot: bool,
    /// Machines that cost more than this many times the cheapest are for pressing work only.
    pub dear: f64,
    pub slack: Option<Micros>,
    /// The job's place in the order of service.
    pub at: usize,
}

impl ScaleOutTerms {
    /// A machine rented now comes just in time: later it would be too late, and sooner there is
    /// still hope for cheaper room.
    pub fn pressing(&self, boot: Micros) -> bool {
        self.slack
            .is_some_and(|s| s > boot.times(0.5) && s < boot.plus(Micros::from_secs(25)))
    }
}

/// How a job's tasks may be spread over zones, and how many it has in each.
pub(in crate::scheduler) struct ZoneSpread {
    pub counts: BTreeMap<Arc<str>, u64>,
    pub fixed: Option<Arc<str>>,
    pub one: bool,
    pub cap: u64,
}

impl ZoneSpread {
    /// How many more tasks may go there.
    pub fn room(&self, zone: &Arc<str>) -> u64 {
        if self.fixed.as_ref().is_some_and(|z| z != zone) {
            return 0;
        }
        self.cap
            .saturating_sub(self.counts.get(zone).copied().unwrap_or(0))
    }

    pub fn add(&mut self, zone: &Arc<str>, n: u64) {
        *self.counts.entry(zone.clone()).or_default() += n;
        if self.one {
            self.fixed = Some(zone.clone());
        }
    }
}
