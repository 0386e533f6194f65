//! Detection of machines that boot late or never: overdue machines, abandoned machines and zones in which no
//! machine boots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use super::Autoscaler;
use crate::catalog::MachineType;
use crate::machine::Machine;
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// The expected boot time, as a multiple of the type's boot time, unless recent machines took longer.
const MIN_EXPECTED_BOOT_RATIO: f64 = 1.5;
/// The upper limit of the expected boot time, as a multiple of the type's boot time, however long recent
/// machines took. [`BOOT_RATIO_MARGIN`] is applied to the result.
const MAX_EXPECTED_BOOT_RATIO: f64 = 4.0;
/// The factor by which the expected boot time exceeds that of the slowest recent machine.
const BOOT_RATIO_MARGIN: f64 = 1.1;
/// The time allowed, beyond the heartbeat interval, for the first heartbeat of a machine that has booted.
const FIRST_HEARTBEAT_MARGIN: Micros = Micros::from_secs(2);
/// A machine without a heartbeat is abandoned after this many boot times of its type plus [`ABANDON_MARGIN`],
/// whether or not later machines are up.
const ABANDON_BOOT_RATIO: f64 = 4.0;
const ABANDON_MARGIN: Micros = Micros::from_secs(30);
/// A machine that an earlier leader ordered has one lease and this many heartbeat intervals to find the new
/// leader.
const DISCOVERY_HEARTBEATS: f64 = 2.0;
/// The most boots that are kept for each type and zone.
const MAX_KEPT_BOOTS: usize = 16;
/// The age up to which a boot is taken into account.
const MAX_BOOT_AGE: Micros = Micros::from_secs(600);
/// A zone is stalled if at least this many machines are overdue there and no machine that was ordered later
/// has come up.
const MIN_OVERDUE_IN_STALLED_ZONE: usize = 3;
/// The least boot time of a type that boot ratios are computed with, in seconds.
const MIN_BOOT_SECONDS: f64 = 0.001;

/// A completed boot of a machine.
#[derive(Clone, Copy, Debug)]
struct CompletedBoot {
    ordered_at: Micros,
    /// When the machine sent its first heartbeat.
    up_at: Micros,
    /// The time from the order to the first heartbeat, as a multiple of the type's boot time.
    boot_ratio: f64,
}

/// The completed boots of the machines that this leader ordered.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    /// The latest boots by machine type and zone.
    boots: HashMap<(String, Arc<str>), VecDeque<CompletedBoot>>,
}

/// The overdue machines of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct OverdueInZone {
    count: usize,
    /// When the first of them was ordered.
    first_ordered_at: Micros,
}

impl ProvisioningTimes {
    /// Adds the boot of a machine that sent its first heartbeat.
    fn add(
        &mut self,
        machine_type: &MachineType,
        zone: &Arc<str>,
        ordered_at: Micros,
        now: Micros,
    ) {
        let boot_time = now.since(ordered_at);
        let boot_ratio =
            boot_time.as_secs_f64() / machine_type.boot.as_secs_f64().max(MIN_BOOT_SECONDS);
        let boots = self.boots.entry((machine_type.name.clone(), zone.clone()));
        let boots = boots.or_default();
        if boots.len() >= MAX_KEPT_BOOTS {
            boots.pop_front();
        }
        boots.push_back(CompletedBoot {
            ordered_at,
            up_at: now,
            boot_ratio,
        });
    }

    /// Returns the boots of a type and zone that are no older than [`MAX_BOOT_AGE`].
    fn recent_boots(
        &self,
        machine_type: &MachineType,
        zone: &Arc<str>,
        now: Micros,
    ) -> impl Iterator<Item = &CompletedBoot> {
        let boots = self.boots.get(&(machine_type.name.clone(), zone.clone()));
        let is_recent = move |boot: &&CompletedBoot| now.since(boot.up_at) < MAX_BOOT_AGE;
        boots.into_iter().flatten().filter(is_recent)
    }

    /// Returns the time in which a machine of this type and zone is expected to boot.
    fn expected_boot_time(
        &self,
        machine_type: &MachineType,
        zone: &Arc<str>,
        now: Micros,
    ) -> Micros {
        let ratios = self
            .recent_boots(machine_type, zone, now)
            .map(|boot| boot.boot_ratio);
        let longest = ratios
            .fold(MIN_EXPECTED_BOOT_RATIO, f64::max)
            .min(MAX_EXPECTED_BOOT_RATIO);
        machine_type.boot.times(longest * BOOT_RATIO_MARGIN)
    }

    /// Returns whether a machine of the same type and zone that was ordered later has come up.
    fn has_later_machine_up(&self, machine: &Machine, now: Micros) -> bool {
        let mut boots = self.recent_boots(&machine.machine_type, &machine.zone, now);
        boots.any(|boot| boot.ordered_at > machine.lifecycle.created_at())
    }

    /// Returns the latest order time of the machines in a zone that have come up.
    fn last_ordered_at(&self, zone: &Arc<str>) -> Micros {
        let of_zone = self.boots.iter().filter(|((_, other), _)| other == zone);
        let boots = of_zone.flat_map(|(_, boots)| boots);
        boots.map(|boot| boot.ordered_at).max().unwrap_or_default()
    }
}

/// The times that decide whether a machine has come up in time.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct ProvisioningContext {
    heartbeat_interval: Micros,
    lease: Micros,
    /// When this leader was elected.
    elected_at: Micros,
    now: Micros,
}

impl ProvisioningContext {
    /// Creates the context of a leader that was elected at `elected_at`.
    pub(in crate::scheduler) fn new(
        config: &SchedulerConfig,
        elected_at: Micros,
        now: Micros,
    ) -> ProvisioningContext {
        ProvisioningContext {
            heartbeat_interval: config.heartbeat_interval,
            lease: config.agent_lease,
            elected_at,
            now,
        }
    }

    /// Returns whether this leader ordered the machine. Machines that an earlier leader ordered may have been
    /// up for a long time without this leader knowing it.
    fn was_ordered_by_leader(&self, machine: &Machine) -> bool {
        machine.lifecycle.created_at() > self.elected_at
    }

    /// Returns whether a machine that an earlier leader ordered may be up and not have found this leader yet.
    fn may_be_searching_leader(&self, machine: &Machine) -> bool {
        let discovery = self.heartbeat_interval.times(DISCOVERY_HEARTBEATS);
        !self.was_ordered_by_leader(machine)
            && self.now.since(self.elected_at) < self.lease.plus(discovery)
    }
}

impl Autoscaler {
    /// Records that a machine sent its first heartbeat to this leader.
    pub(in crate::scheduler) fn machine_joined(
        &mut self,
        machine: &Machine,
        context: ProvisioningContext,
    ) {
        if context.was_ordered_by_leader(machine) && machine.lifecycle.created_at() < context.now {
            self.provisioning_times.add(
                &machine.machine_type,
                &machine.zone,
                machine.lifecycle.created_at(),
                context.now,
            );
        }
    }

    /// Returns whether a machine that has sent no heartbeat should have sent one by now. An overdue machine
    /// does not count as pending capacity, so that a replacement is ordered elsewhere.
    pub(in crate::scheduler) fn is_overdue(
        &self,
        machine: &Machine,
        context: ProvisioningContext,
    ) -> bool {
        let age = context.now.since(machine.lifecycle.created_at());
        // Most machines are not overdue and need no comparison with recent boots.
        if !machine.lifecycle.is_unregistered()
            || age <= machine.machine_type.boot.times(MIN_EXPECTED_BOOT_RATIO)
        {
            return false;
        }
        let times = &self.provisioning_times;
        let expected = times.expected_boot_time(&machine.machine_type, &machine.zone, context.now);
        let first_heartbeat = context.heartbeat_interval.plus(FIRST_HEARTBEAT_MARGIN);
        age > expected.plus(first_heartbeat)
    }

    /// Returns whether to abandon a machine that has sent no heartbeat. As long as no later machine of its
    /// type and zone is up, all of them may be late, and replacements would have to wait just as long.
    pub(in crate::scheduler) fn is_abandoned(
        &self,
        machine: &Machine,
        context: ProvisioningContext,
    ) -> bool {
        if !machine.lifecycle.is_unregistered() || context.may_be_searching_leader(machine) {
            return false;
        }
        let longest_boot = machine.machine_type.boot.times(ABANDON_BOOT_RATIO);
        let limit = longest_boot.plus(ABANDON_MARGIN);
        context.now.since(machine.lifecycle.created_at()) > limit
            || (self.is_overdue(machine, context)
                && self
                    .provisioning_times
                    .has_later_machine_up(machine, context.now))
    }

    /// Returns the zones in which several machines are overdue and no machine that was ordered later has
    /// come up. Only a few machines at a time are ordered there, to detect when machines boot again, and the
    /// others elsewhere.
    pub(in crate::scheduler) fn stalled_zones<'a>(
        &self,
        provisioning: impl Iterator<Item = &'a Machine>,
        context: ProvisioningContext,
    ) -> Vec<Arc<str>> {
        let mut zones: BTreeMap<&Arc<str>, OverdueInZone> = BTreeMap::new();
        let ordered_by_leader =
            provisioning.filter(|machine| context.was_ordered_by_leader(machine));
        for machine in ordered_by_leader.filter(|machine| self.is_overdue(machine, context)) {
            let zone = zones.entry(&machine.zone).or_insert(OverdueInZone {
                count: 0,
                first_ordered_at: machine.lifecycle.created_at(),
            });
            zone.count += 1;
            zone.first_ordered_at = zone.first_ordered_at.min(machine.lifecycle.created_at());
        }
        let stalled = zones.into_iter().filter(|(zone, overdue)| {
            overdue.count >= MIN_OVERDUE_IN_STALLED_ZONE
                && self.provisioning_times.last_ordered_at(zone) < overdue.first_ordered_at
        });
        stalled.map(|(zone, _)| zone.clone()).collect()
    }
}
