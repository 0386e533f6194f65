//! Decides which unresponsive machines are returned to the cloud.
//!
//! The return of a machine fences its agent sooner than the expiry of the agent's lease does. If many machines
//! are unresponsive at once, or neither an agent nor a controller of a zone is reachable, a partition is the
//! likely cause: then the machines are not returned, and their tasks are released when the leases expire.

use std::collections::HashMap;
use std::sync::Arc;

use super::agent_health::{MISSED_HEARTBEAT_INTERVALS, TWO_MISSED_HEARTBEATS_INTERVALS};
use super::Scheduler;
use crate::machine::Machine;
use crate::time::Micros;

/// Heartbeat intervals without a message from any agent after which this controller counts as partitioned.
const NO_AGENT_HEARD_INTERVALS: f64 = 2.5;
/// The maximum number of unresponsive machines per heard machine at which they count as failed rather than
/// partitioned.
const MAX_UNRESPONSIVE_PER_HEARD: usize = 4;

/// The time span from `after`, excluded, to `until`, included.
#[derive(Clone, Copy)]
struct Span {
    after: Micros,
    until: Micros,
}

/// When each machine that is up was last heard, by zone and in ascending order. Machines that don't seem to
/// receive this leader's answers are left out.
struct LastHeardTimes {
    by_zone: HashMap<Arc<str>, Vec<Micros>>,
}

impl LastHeardTimes {
    /// Collects the times of these machines.
    fn new<'a>(machines: impl Iterator<Item = &'a Machine>) -> LastHeardTimes {
        let mut by_zone: HashMap<Arc<str>, Vec<Micros>> = HashMap::new();
        for machine in machines {
            if machine.is_up() && !machine.connectivity.inbound_partition.is_suspected() {
                let times = by_zone.entry(machine.zone.clone()).or_default();
                times.push(machine.connectivity.last_heard());
            }
        }
        for times in by_zone.values_mut() {
            times.sort_unstable();
        }
        LastHeardTimes { by_zone }
    }

    /// Returns the number of machines.
    fn len(&self) -> usize {
        self.by_zone.values().map(Vec::len).sum()
    }

    /// Returns the number of machines of the zone that were last heard within the span.
    fn count_in_zone(&self, zone: &str, span: Span) -> usize {
        let times = self.by_zone.get(zone);
        times.map_or(0, |times| count_within(times, span))
    }

    /// Returns the number of machines in all zones that were last heard within the span.
    fn count_in_all_zones(&self, span: Span) -> usize {
        let zones = self.by_zone.values();
        zones.map(|times| count_within(times, span)).sum()
    }
}

/// Returns how many of the sorted times lie within the span.
fn count_within(times: &[Micros], span: Span) -> usize {
    let up_to = |end: Micros| times.partition_point(|at| *at <= end);
    up_to(span.until).saturating_sub(up_to(span.after))
}

/// The numbers of unresponsive machines, by zone and by whether they are spot machines.
type UnresponsiveCounts = HashMap<(Arc<str>, bool), usize>;

impl Scheduler {
    /// Returns to the cloud those of the unresponsive machines that seem to have failed on their own. The
    /// others may be unresponsive because of a partition.
    pub(super) fn return_unresponsive(&mut self, unresponsive: &[Arc<str>], now: Micros) {
        let max_silence = self
            .config
            .heartbeat_interval
            .times(NO_AGENT_HEARD_INTERVALS);
        if unresponsive.is_empty() || now.since(self.inventory.last_contact()) > max_silence {
            return;
        }
        self.steps += self.inventory.len() as u64;
        let last_heard = LastHeardTimes::new(self.inventory.iter());
        let counts = self.count_unresponsive(unresponsive);
        for name in unresponsive {
            let Some(machine) = self.inventory.get(name) else {
                continue;
            };
            let span = self.evidence_span(machine, now);
            let has_failed = if machine.spot {
                self.has_spot_machine_failed(machine, &last_heard, span, unresponsive.len())
            } else {
                self.has_ordinary_machine_failed(machine, &last_heard, span, &counts)
            };
            if has_failed {
                self.scale_in(name, now);
            }
        }
    }

    /// Counts the unresponsive machines by zone and by whether they are spot machines.
    fn count_unresponsive(&self, unresponsive: &[Arc<str>]) -> UnresponsiveCounts {
        let mut counts = UnresponsiveCounts::new();
        let machines = unresponsive.iter();
        for machine in machines.filter_map(|name| self.inventory.get(name)) {
            let key = (machine.zone.clone(), machine.spot);
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// Returns the time span within which another machine must have been last heard to prove that this machine
    /// failed on its own.
    ///
    /// A machine that was last heard before this one's next heartbeat counted as missed proves nothing about a
    /// partition that began in between. The last failed probe proves something only if another machine was last
    /// heard by the time it was sent: a whole zone, or this controller, may just have been partitioned, or its
    /// partition may just be ending. If this machine is heard but has received no answers since some time, it
    /// is enough that machines that do receive answers were heard after that time.
    fn evidence_span(&self, machine: &Machine, now: Micros) -> Span {
        let interval = self.config.heartbeat_interval;
        let connectivity = &machine.connectivity;
        let wait = interval.times(TWO_MISSED_HEARTBEATS_INTERVALS);
        match connectivity.inbound_partition.suspected_since() {
            Some(since) if connectivity.inbound_partition.is_confirmed(wait, now) => Span {
                after: since,
                until: now,
            },
            _ => Span {
                after: connectivity
                    .last_heard()
                    .plus(interval.times(MISSED_HEARTBEAT_INTERVALS)),
                until: connectivity.probes.last_failed_probe_sent_at(),
            },
        }
    }

    /// Returns whether a spot machine seems to have failed on its own. The cloud reclaims spot machines many
    /// at a time, so one heard machine of the zone is enough evidence. Without one, a reachable controller of
    /// the zone and enough heard machines in all zones are.
    fn has_spot_machine_failed(
        &self,
        machine: &Machine,
        last_heard: &LastHeardTimes,
        span: Span,
        unresponsive_count: usize,
    ) -> bool {
        let is_reachable = self.is_zone_reachable(machine);
        let heard_count = last_heard.count_in_all_zones(span);
        last_heard.count_in_zone(&machine.zone, span) > 0
            || (is_reachable && heard_count * MAX_UNRESPONSIVE_PER_HEARD >= unresponsive_count)
    }

    /// Returns whether an ordinary machine seems to have failed on its own. Ordinary machines fail one by
    /// one, so the more of them are unresponsive in a zone, the more machines must have been heard there. For
    /// the only unresponsive one in a zone, a reachable controller of the zone and any heard machine are enough;
    /// the latter is not required if there is no other machine.
    fn has_ordinary_machine_failed(
        &self,
        machine: &Machine,
        last_heard: &LastHeardTimes,
        span: Span,
        counts: &UnresponsiveCounts,
    ) -> bool {
        let key = (machine.zone.clone(), machine.spot);
        let unresponsive_in_zone = counts.get(&key).copied().unwrap_or(0);
        let heard_in_zone = last_heard.count_in_zone(&machine.zone, span);
        let is_zone_heard =
            heard_in_zone > 0 && heard_in_zone * MAX_UNRESPONSIVE_PER_HEARD >= unresponsive_in_zone;
        let are_others_heard = last_heard.count_in_all_zones(span) > 0 || last_heard.len() <= 1;
        let is_only_one = unresponsive_in_zone <= 1 && are_others_heard;
        is_zone_heard || (self.is_zone_reachable(machine) && is_only_one)
    }

    /// Returns whether this leader can reach a controller in the machine's zone.
    fn is_zone_reachable(&self, machine: &Machine) -> bool {
        self.inventory.reachable_zones().contains(&*machine.zone)
    }
}
