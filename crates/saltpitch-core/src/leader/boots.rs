//! Machines that come up late or never: which are overdue, which are given up, and zones where nothing
//! boots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::Leader;
use crate::catalog::MachineType;
use crate::cluster::{Machine, Phase};
use crate::time::Micros;

/// A machine is overdue after this many times its type's boot time, unless others took longer.
const USUAL_RATIO: f64 = 1.5;
/// However long others took, a machine is overdue after this many times its type's boot time.
const MAX_RATIO: f64 = 4.0;
/// Beyond the longest boot seen.
const RATIO_MARGIN: f64 = 1.1;
/// Until a machine that is up is heard, beyond the report interval.
const FIRST_REPORT_MARGIN: Micros = Micros::from_secs(2);
/// After this many times its boot time, and a while, a machine is given up whatever the others do.
const GIVEN_UP_RATIO: f64 = 4.0;
const GIVEN_UP_MARGIN: Micros = Micros::from_secs(30);
/// Boots remembered for each type and zone, and for how long.
const REMEMBERED: usize = 16;
const REMEMBERED_FOR: Micros = Micros::from_secs(600);
/// So many overdue machines in a zone, and none of it up since, make the zone one where nothing boots.
const OVERDUE_IN_STALLED_ZONE: usize = 3;
/// Machines of one type and kind that may be on their way in such a zone, to see whether it boots again.
const ZONE_PROBES: u32 = 2;

/// A machine that came up.
#[derive(Clone, Copy, Debug)]
struct Boot {
    ordered_at: Micros,
    up_at: Micros,
    /// How long it took, in boot times of its type.
    ratio: f64,
}

/// The machines that came up lately.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    /// By type and zone.
    seen: HashMap<(String, Arc<str>), VecDeque<Boot>>,
}

/// What is known of one zone's machines that are on their way.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneBoots {
    overdue: usize,
    /// When the first of the overdue machines was ordered.
    first_overdue: Micros,
}

impl BootTimes {
    /// A machine was heard for the first time.
    fn joined(&mut self, kind: &MachineType, zone: &Arc<str>, ordered_at: Micros, now: Micros) {
        let took = now.since(ordered_at);
        let ratio = took.as_secs_f64() / kind.boot.as_secs_f64().max(0.001);
        let boots = self.seen.entry((kind.name.clone(), zone.clone()));
        let boots = boots.or_default();
        if boots.len() >= REMEMBERED {
            boots.pop_front();
        }
        boots.push_back(Boot {
            ordered_at,
            up_at: now,
            ratio,
        });
    }

    fn lately(
        &self,
        kind: &MachineType,
        zone: &Arc<str>,
        now: Micros,
    ) -> impl Iterator<Item = &Boot> {
        let boots = self.seen.get(&(kind.name.clone(), zone.clone()));
        let is_recent = move |boot: &&Boot| now.since(boot.up_at) < REMEMBERED_FOR;
        boots.into_iter().flatten().filter(is_recent)
    }

    /// The time by which a machine of this kind is up.
    fn expected(&self, kind: &MachineType, zone: &Arc<str>, now: Micros) -> Micros {
        let ratios = self.lately(kind, zone, now).map(|boot| boot.ratio);
        let longest = ratios.fold(USUAL_RATIO, f64::max).min(MAX_RATIO);
        kind.boot.times(longest * RATIO_MARGIN)
    }

    /// Whether a machine of this kind that was ordered later is up.
    fn overtaken(&self, m: &Machine, now: Micros) -> bool {
        let mut boots = self.lately(&m.kind, &m.zone, now);
        boots.any(|boot| boot.ordered_at > m.born)
    }

    /// When the last of a zone's machines that came up had been ordered.
    fn last_ordered(&self, zone: &Arc<str>) -> Micros {
        let of_zone = self.seen.iter().filter(|((_, z), _)| z == zone);
        let boots = of_zone.flat_map(|(_, boots)| boots);
        boots.map(|boot| boot.ordered_at).max().unwrap_or_default()
    }
}

impl Leader {
    /// A machine that this leader ordered is heard for the first time.
    pub(super) fn note_boot(&mut self, name: &Arc<str>, now: Micros) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        // Others may have been up for long, unheard by this leader.
        if m.born > self.took_office && m.born < now {
            self.boots.joined(&m.kind, &m.zone, m.born, now);
        }
    }

    /// Whether a machine that has not been heard should have been by now: it is no longer counted as room
    /// to come, and what it was ordered for is ordered elsewhere.
    pub(super) fn is_overdue(&self, m: &Machine, now: Micros) -> bool {
        let age = now.since(m.born);
        // Most are not, and need no look at the others.
        if m.phase != Phase::Unheard || age <= m.kind.boot.times(USUAL_RATIO) {
            return false;
        }
        let expected = self.boots.expected(&m.kind, &m.zone, now);
        let first_report = self.cfg.report.plus(FIRST_REPORT_MARGIN);
        age > expected.plus(first_report)
    }

    /// Whether to give up a machine that has not been heard. As long as no later one of its kind is up,
    /// all of them may be late, and giving them up would only begin the wait anew.
    pub(super) fn is_given_up(&self, m: &Machine, now: Micros) -> bool {
        // It may be up, and known to an earlier leader alone: it has to find this one first.
        let settled = self.cfg.lease.plus(self.cfg.report.times(2.0));
        let known_for = now.since(self.took_office);
        if m.phase != Phase::Unheard || (m.born <= self.took_office && known_for < settled) {
            return false;
        }
        let limit = m.kind.boot.times(GIVEN_UP_RATIO).plus(GIVEN_UP_MARGIN);
        let never = now.since(m.born) > limit;
        never || (self.is_overdue(m, now) && self.boots.overtaken(m, now))
    }

    /// Zones in which machines are overdue and none that was ordered later has come up: a few are ordered
    /// there at a time, to see whether it boots again, and the others elsewhere.
    pub(super) fn stalled_zones(&self, now: Micros) -> Vec<Arc<str>> {
        let mut zones: BTreeMap<&Arc<str>, ZoneBoots> = BTreeMap::new();
        let coming = self.coming.iter().filter_map(|n| self.machines.get(n));
        // Machines of an earlier leader may be up.
        let own = coming.filter(|m| m.born > self.took_office);
        for m in own.filter(|m| self.is_overdue(m, now)) {
            let zone = zones.entry(&m.zone).or_insert(ZoneBoots {
                overdue: 0,
                first_overdue: m.born,
            });
            zone.overdue += 1;
            zone.first_overdue = zone.first_overdue.min(m.born);
        }
        let stalled = zones.into_iter().filter(|(zone, boots)| {
            boots.overdue >= OVERDUE_IN_STALLED_ZONE
                && self.boots.last_ordered(zone) < boots.first_overdue
        });
        stalled.map(|(zone, _)| zone.clone()).collect()
    }

    /// How many machines may be ordered of one type and kind, `coming` of which are on their way.
    pub(super) fn order_limit(stalled: bool, coming: usize) -> u32 {
        if stalled {
            ZONE_PROBES.saturating_sub(coming as u32)
        } else {
            u32::MAX
        }
    }
}
