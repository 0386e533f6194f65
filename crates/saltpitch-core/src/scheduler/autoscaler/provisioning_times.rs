//! Machines that come up late or never: which are overdue, which are given up, and zones where nothing
//! boots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::Autoscaler;
use crate::catalog::MachineType;
use crate::machine::Machine;
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// A machine is overdue after this many times its type's boot time, unless others took longer.
const USUAL_BOOT_RATIO: f64 = 1.5;
/// However long others took, a machine is overdue after this many times its type's boot time.
const MAX_BOOT_RATIO: f64 = 4.0;
/// Added to the longest boot seen.
const BOOT_RATIO_MARGIN: f64 = 1.1;
/// Until the first heartbeat of a machine that is up, beyond the heartbeat interval.
const FIRST_HEARTBEAT_MARGIN: Micros = Micros::from_secs(2);
/// After this many times its boot time and [`ABANDON_MARGIN`], a machine is abandoned whatever the others do.
const ABANDON_BOOT_RATIO: f64 = 4.0;
const ABANDON_MARGIN: Micros = Micros::from_secs(30);
/// A machine of an earlier leader has a lease and this many heartbeat intervals to find this one.
const DISCOVERY_HEARTBEATS: f64 = 2.0;
/// Boots remembered for each type and zone.
const MAX_REMEMBERED_BOOTS: usize = 16;
/// How long a boot is remembered.
const BOOT_MEMORY: Micros = Micros::from_secs(600);
/// A zone is stalled if so many machines are overdue there and none that was ordered later is up.
const OVERDUE_IN_STALLED_ZONE: usize = 3;
/// The shortest boot time that ratios are taken of, in seconds.
const MIN_BOOT_SECONDS: f64 = 0.001;

/// A machine that came up.
#[derive(Clone, Copy, Debug)]
struct Provisioned {
    ordered_at: Micros,
    up_at: Micros,
    /// How long it took, in boot times of its type.
    boot_ratio: f64,
}

/// The machines that came up within [`BOOT_MEMORY`].
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
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
    /// A machine sent its first heartbeat.
    fn add(
        &mut self,
        machine_type: &MachineType,
        zone: &Arc<str>,
        ordered_at: Micros,
        now: Micros,
    ) {
        let took = now.since(ordered_at);
        let boot_ratio = took.as_secs_f64() / machine_type.boot.as_secs_f64().max(MIN_BOOT_SECONDS);
        let boots = self
            .observed
            .entry((machine_type.name.clone(), zone.clone()));
        let boots = boots.or_default();
        if boots.len() >= MAX_REMEMBERED_BOOTS {
            boots.pop_front();
        }
        boots.push_back(Provisioned {
            ordered_at,
            up_at: now,
            boot_ratio,
        });
    }

    fn recent(
        &self,
        machine_type: &MachineType,
        zone: &Arc<str>,
        now: Micros,
    ) -> impl Iterator<Item = &Provisioned> {
        let boots = self
            .observed
            .get(&(machine_type.name.clone(), zone.clone()));
        let is_recent = move |boot: &&Provisioned| now.since(boot.up_at) < BOOT_MEMORY;
        boots.into_iter().flatten().filter(is_recent)
    }

    /// The time by which a machine of this kind is up.
    fn expected(&self, machine_type: &MachineType, zone: &Arc<str>, now: Micros) -> Micros {
        let ratios = self
            .recent(machine_type, zone, now)
            .map(|boot| boot.boot_ratio);
        let longest = ratios.fold(USUAL_BOOT_RATIO, f64::max).min(MAX_BOOT_RATIO);
        machine_type.boot.times(longest * BOOT_RATIO_MARGIN)
    }

    /// Whether a machine of this kind that was ordered later is up.
    fn is_overtaken(&self, machine: &Machine, now: Micros) -> bool {
        let mut boots = self.recent(&machine.machine_type, &machine.zone, now);
        boots.any(|boot| boot.ordered_at > machine.lifecycle.created_at())
    }

    /// When the last of a zone's machines that came up had been ordered.
    fn last_ordered(&self, zone: &Arc<str>) -> Micros {
        let of_zone = self.observed.iter().filter(|((_, other), _)| other == zone);
        let boots = of_zone.flat_map(|(_, boots)| boots);
        boots.map(|boot| boot.ordered_at).max().unwrap_or_default()
    }
}

/// What decides whether a machine has come up in time.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct ProvisioningClock {
    heartbeat_interval: Micros,
    lease: Micros,
    /// When this leader was elected.
    elected_at: Micros,
    now: Micros,
}

impl ProvisioningClock {
    /// The clock at the present time.
    pub(in crate::scheduler) fn new(
        config: &SchedulerConfig,
        elected_at: Micros,
        now: Micros,
    ) -> ProvisioningClock {
        ProvisioningClock {
            heartbeat_interval: config.heartbeat_interval,
            lease: config.agent_lease,
            elected_at,
            now,
        }
    }

    /// Whether this leader ordered the machine. Others may have been up for long, unknown to it.
    fn is_own(&self, machine: &Machine) -> bool {
        machine.lifecycle.created_at() > self.elected_at
    }

    /// Whether a machine of an earlier leader may be up and still be looking for this one.
    fn may_be_unknown(&self, machine: &Machine) -> bool {
        let discovery = self.heartbeat_interval.times(DISCOVERY_HEARTBEATS);
        !self.is_own(machine) && self.now.since(self.elected_at) < self.lease.plus(discovery)
    }
}

impl Autoscaler {
    /// A machine sent its first heartbeat.
    pub(in crate::scheduler) fn machine_joined(
        &mut self,
        machine: &Machine,
        clock: ProvisioningClock,
    ) {
        if clock.is_own(machine) && machine.lifecycle.created_at() < clock.now {
            self.provisioning_times.add(
                &machine.machine_type,
                &machine.zone,
                machine.lifecycle.created_at(),
                clock.now,
            );
        }
    }

    /// Whether a machine that has sent no heartbeat should have done so by now: it no longer counts as
    /// pending capacity, and what it was ordered for is ordered elsewhere.
    pub(in crate::scheduler) fn is_overdue(
        &self,
        machine: &Machine,
        clock: ProvisioningClock,
    ) -> bool {
        let age = clock.now.since(machine.lifecycle.created_at());
        // Most are not, and need no comparison with the others.
        if !machine.lifecycle.is_unregistered()
            || age <= machine.machine_type.boot.times(USUAL_BOOT_RATIO)
        {
            return false;
        }
        let times = &self.provisioning_times;
        let expected = times.expected(&machine.machine_type, &machine.zone, clock.now);
        let first_heartbeat = clock.heartbeat_interval.plus(FIRST_HEARTBEAT_MARGIN);
        age > expected.plus(first_heartbeat)
    }

    /// Whether to abandon a machine that has sent no heartbeat. As long as no later one of its kind is
    /// up, all of them may be late, and abandoning them would only begin the wait anew.
    pub(in crate::scheduler) fn is_abandoned(
        &self,
        machine: &Machine,
        clock: ProvisioningClock,
    ) -> bool {
        if !machine.lifecycle.is_unregistered() || clock.may_be_unknown(machine) {
            return false;
        }
        let longest_boot = machine.machine_type.boot.times(ABANDON_BOOT_RATIO);
        let limit = longest_boot.plus(ABANDON_MARGIN);
        clock.now.since(machine.lifecycle.created_at()) > limit
            || (self.is_overdue(machine, clock)
                && self.provisioning_times.is_overtaken(machine, clock.now))
    }

    /// Zones in which machines are overdue and none that was ordered later has come up: a few are ordered
    /// there at a time, to see whether it boots again, and the others elsewhere.
    pub(in crate::scheduler) fn stalled_zones<'a>(
        &self,
        provisioning: impl Iterator<Item = &'a Machine>,
        clock: ProvisioningClock,
    ) -> Vec<Arc<str>> {
        let mut zones: BTreeMap<&Arc<str>, OverdueInZone> = BTreeMap::new();
        let own = provisioning.filter(|machine| clock.is_own(machine));
        for machine in own.filter(|machine| self.is_overdue(machine, clock)) {
            let zone = zones.entry(&machine.zone).or_insert(OverdueInZone {
                overdue: 0,
                first_overdue: machine.lifecycle.created_at(),
            });
            zone.overdue += 1;
            zone.first_overdue = zone.first_overdue.min(machine.lifecycle.created_at());
        }
        let stalled = zones.into_iter().filter(|(zone, in_zone)| {
            in_zone.overdue >= OVERDUE_IN_STALLED_ZONE
                && self.provisioning_times.last_ordered(zone) < in_zone.first_overdue
        });
        stalled.map(|(zone, _)| zone.clone()).collect()
    }
}
