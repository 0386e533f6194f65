//! Machines that come up late or never: which are overdue, which are given up, and zones where nothing
//! boots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::catalog::MachineType;
use crate::machine::Machine;
use crate::scheduler::Scheduler;
use crate::time::Micros;

/// A machine is overdue after this many times its type's boot time, unless others took longer.
const USUAL_RATIO: f64 = 1.5;
/// However long others took, a machine is overdue after this many times its type's boot time.
const MAX_RATIO: f64 = 4.0;
/// Beyond the longest boot seen.
const RATIO_MARGIN: f64 = 1.1;
/// Until a machine that is up is heard, beyond the heartbeat interval.
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
struct Provisioned {
    ordered_at: Micros,
    up_at: Micros,
    /// How long it took, in boot times of its type.
    ratio: f64,
}

/// The machines that came up lately.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct ProvisioningTimes {
    /// By type and zone.
    observed: HashMap<(String, Arc<str>), VecDeque<Provisioned>>,
}

/// What is known of one zone's machines that are on their way.
#[derive(Clone, Copy, Debug, Default)]
struct OverdueInZone {
    overdue: usize,
    /// When the first of the overdue machines was ordered.
    first_overdue: Micros,
}

impl ProvisioningTimes {
    /// A machine was heard for the first time.
    fn joined(&mut self, kind: &MachineType, zone: &Arc<str>, ordered_at: Micros, now: Micros) {
        let took = now.since(ordered_at);
        let ratio = took.as_secs_f64() / kind.boot.as_secs_f64().max(0.001);
        let boots = self.observed.entry((kind.name.clone(), zone.clone()));
        let boots = boots.or_default();
        if boots.len() >= REMEMBERED {
            boots.pop_front();
        }
        boots.push_back(Provisioned {
            ordered_at,
            up_at: now,
            ratio,
        });
    }

    fn recent(
        &self,
        kind: &MachineType,
        zone: &Arc<str>,
        now: Micros,
    ) -> impl Iterator<Item = &Provisioned> {
        let boots = self.observed.get(&(kind.name.clone(), zone.clone()));
        let is_recent = move |boot: &&Provisioned| now.since(boot.up_at) < REMEMBERED_FOR;
        boots.into_iter().flatten().filter(is_recent)
    }

    /// The time by which a machine of this kind is up.
    fn expected(&self, kind: &MachineType, zone: &Arc<str>, now: Micros) -> Micros {
        let ratios = self.recent(kind, zone, now).map(|boot| boot.ratio);
        let longest = ratios.fold(USUAL_RATIO, f64::max).min(MAX_RATIO);
        kind.boot.times(longest * RATIO_MARGIN)
    }

    /// Whether a machine of this kind that was ordered later is up.
    fn is_overtaken(&self, machine: &Machine, now: Micros) -> bool {
        let mut boots = self.recent(&machine.kind, &machine.zone, now);
        boots.any(|boot| boot.ordered_at > machine.lifecycle.created_at())
    }

    /// When the last of a zone's machines that came up had been ordered.
    fn last_ordered(&self, zone: &Arc<str>) -> Micros {
        let of_zone = self.observed.iter().filter(|((_, z), _)| z == zone);
        let boots = of_zone.flat_map(|(_, boots)| boots);
        boots.map(|boot| boot.ordered_at).max().unwrap_or_default()
    }
}

impl Scheduler {
    /// A machine that this leader ordered is heard for the first time.
    pub(in crate::scheduler) fn note_provisioned(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        // Others may have been up for long, unheard by this leader.
        if machine.lifecycle.created_at() > self.leader_term.elected_at
            && machine.lifecycle.created_at() < now
        {
            self.autoscaler.provisioning_times.joined(
                &machine.kind,
                &machine.zone,
                machine.lifecycle.created_at(),
                now,
            );
        }
    }

    /// Whether a machine that has not been heard should have been by now: it is no longer counted as room
    /// to come, and what it was ordered for is ordered elsewhere.
    pub(in crate::scheduler) fn is_overdue(&self, machine: &Machine, now: Micros) -> bool {
        let age = now.since(machine.lifecycle.created_at());
        // Most are not, and need no look at the others.
        if !machine.lifecycle.is_unregistered() || age <= machine.kind.boot.times(USUAL_RATIO) {
            return false;
        }
        let expected =
            self.autoscaler
                .provisioning_times
                .expected(&machine.kind, &machine.zone, now);
        let first_report = self.config.heartbeat_interval.plus(FIRST_REPORT_MARGIN);
        age > expected.plus(first_report)
    }

    /// Whether to give up a machine that has not been heard. As long as no later one of its kind is up,
    /// all of them may be late, and giving them up would only begin the wait anew.
    pub(in crate::scheduler) fn is_given_up(&self, machine: &Machine, now: Micros) -> bool {
        // It may be up, and known to an earlier leader alone: it has to find this one first.
        let settled = self
            .config
            .lease
            .plus(self.config.heartbeat_interval.times(2.0));
        let known_for = now.since(self.leader_term.elected_at);
        if !machine.lifecycle.is_unregistered()
            || (machine.lifecycle.created_at() <= self.leader_term.elected_at
                && known_for < settled)
        {
            return false;
        }
        let limit = machine
            .kind
            .boot
            .times(GIVEN_UP_RATIO)
            .plus(GIVEN_UP_MARGIN);
        let never = now.since(machine.lifecycle.created_at()) > limit;
        never
            || (self.is_overdue(machine, now)
                && self
                    .autoscaler
                    .provisioning_times
                    .is_overtaken(machine, now))
    }

    /// Zones in which machines are overdue and none that was ordered later has come up: a few are ordered
    /// there at a time, to see whether it boots again, and the others elsewhere.
    pub(in crate::scheduler) fn stalled_zones(&self, now: Micros) -> Vec<Arc<str>> {
        let mut zones: BTreeMap<&Arc<str>, OverdueInZone> = BTreeMap::new();
        let coming = self.inventory.provisioning();
        // Machines of an earlier leader may be up.
        let own =
            coming.filter(|machine| machine.lifecycle.created_at() > self.leader_term.elected_at);
        for machine in own.filter(|machine| self.is_overdue(machine, now)) {
            let zone = zones.entry(&machine.zone).or_insert(OverdueInZone {
                overdue: 0,
                first_overdue: machine.lifecycle.created_at(),
            });
            zone.overdue += 1;
            zone.first_overdue = zone.first_overdue.min(machine.lifecycle.created_at());
        }
        let stalled = zones.into_iter().filter(|(zone, boots)| {
            boots.overdue >= OVERDUE_IN_STALLED_ZONE
                && self.autoscaler.provisioning_times.last_ordered(zone) < boots.first_overdue
        });
        stalled.map(|(zone, _)| zone.clone()).collect()
    }

    /// How many machines may be ordered of one type and kind, `coming` of which are on their way.
    pub(in crate::scheduler) fn order_limit(stalled: bool, coming: usize) -> u32 {
        if stalled {
            ZONE_PROBES.saturating_sub(coming as u32)
        } else {
            u32::MAX
        }
    }
}
