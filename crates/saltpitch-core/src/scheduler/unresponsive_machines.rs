//! Which unresponsive machines are returned to the cloud.
//!
//! Returning a machine fences its agent sooner than the end of its lease does. Many that are unresponsive
//! at once look like a partition, and so does a zone from which nobody is heard: then the lease decides.

use std::collections::HashMap;
use std::sync::Arc;

use super::agent_health::{MISSED_HEARTBEAT_INTERVALS, TWO_MISSED_HEARTBEATS_INTERVALS};
use super::Scheduler;
use crate::machine::Machine;
use crate::time::Micros;

/// If nobody was heard for so many heartbeat intervals, it is this controller that is cut off.
const NOBODY_HEARD_INTERVALS: f64 = 2.5;
/// So many unresponsive machines are believed for each that was heard.
const UNRESPONSIVE_PER_HEARD: usize = 4;

/// A span of time after `after`, up to and including `until`.
#[derive(Clone, Copy)]
struct Span {
    after: Micros,
    until: Micros,
}

/// When each machine that receives this leader's answers was last heard, by zone and in order.
struct LastHeard {
    by_zone: HashMap<Arc<str>, Vec<Micros>>,
}

impl LastHeard {
    fn new<'a>(machines: impl Iterator<Item = &'a Machine>) -> LastHeard {
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
        LastHeard { by_zone }
    }

    /// How many machines there are.
    fn len(&self) -> usize {
        self.by_zone.values().map(Vec::len).sum()
    }

    /// How many machines of the zone were last heard within the span.
    fn in_zone(&self, zone: &str, span: Span) -> usize {
        let times = self.by_zone.get(zone);
        times.map_or(0, |times| count_within(times, span))
    }

    /// How many machines were last heard within the span.
    fn anywhere(&self, span: Span) -> usize {
        let zones = self.by_zone.values();
        zones.map(|times| count_within(times, span)).sum()
    }
}

fn count_within(times: &[Micros], span: Span) -> usize {
    let up_to = |end: Micros| times.partition_point(|at| *at <= end);
    up_to(span.until).saturating_sub(up_to(span.after))
}

/// Unresponsive machines by zone, and by whether the cloud may take them back.
type UnresponsiveCounts = HashMap<(Arc<str>, bool), usize>;

impl Scheduler {
    /// Returns those of the unresponsive machines that seem to have failed for themselves.
    pub(super) fn return_unresponsive(&mut self, unresponsive: &[Arc<str>], now: Micros) {
        let nobody_heard = self.config.heartbeat_interval.times(NOBODY_HEARD_INTERVALS);
        if unresponsive.is_empty() || now.since(self.inventory.last_contact()) > nobody_heard {
            return;
        }
        self.steps += self.inventory.len() as u64;
        let last_heard = LastHeard::new(self.inventory.iter());
        let counts = self.count_unresponsive(unresponsive);
        for name in unresponsive {
            let Some(machine) = self.inventory.get(name) else {
                continue;
            };
            let span = self.proving_span(machine, now);
            let is_returned = if machine.spot {
                self.spot_machine_failed(machine, &last_heard, span, unresponsive.len())
            } else {
                self.machine_failed(machine, &last_heard, span, &counts)
            };
            if is_returned {
                self.scale_in(name, now);
            }
        }
    }

    fn count_unresponsive(&self, unresponsive: &[Arc<str>]) -> UnresponsiveCounts {
        let mut counts = UnresponsiveCounts::new();
        let machines = unresponsive.iter();
        for machine in machines.filter_map(|name| self.inventory.get(name)) {
            let key = (machine.zone.clone(), machine.spot);
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// When others have to have been heard to prove that this machine failed for itself.
    ///
    /// What was heard before this machine should have sent a heartbeat says nothing of a partition that
    /// began in between, and its last probe proves something only if somebody had been heard by then: whole
    /// zones, or this controller, may just have been cut off or be coming back. Where the machine is heard
    /// and does not receive answers, others of its zone that do receive them prove enough.
    fn proving_span(&self, machine: &Machine, now: Micros) -> Span {
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

    /// Spot machines are taken back by the cloud many at a time.
    fn spot_machine_failed(
        &self,
        machine: &Machine,
        last_heard: &LastHeard,
        span: Span,
        unresponsive: usize,
    ) -> bool {
        let is_reachable = self.is_zone_reachable(machine);
        let heard_anywhere = last_heard.anywhere(span);
        last_heard.in_zone(&machine.zone, span) > 0
            || (is_reachable && heard_anywhere * UNRESPONSIVE_PER_HEARD >= unresponsive)
    }

    /// Ordinary machines fail one by one.
    fn machine_failed(
        &self,
        machine: &Machine,
        last_heard: &LastHeard,
        span: Span,
        counts: &UnresponsiveCounts,
    ) -> bool {
        let key = (machine.zone.clone(), machine.spot);
        let unresponsive_alike = counts.get(&key).copied().unwrap_or(0);
        let heard_in_zone = last_heard.in_zone(&machine.zone, span);
        let zone_is_heard =
            heard_in_zone > 0 && heard_in_zone * UNRESPONSIVE_PER_HEARD >= unresponsive_alike;
        let others_are_heard = last_heard.anywhere(span) > 0 || last_heard.len() <= 1;
        let is_single = unresponsive_alike <= 1 && others_are_heard;
        zone_is_heard || (self.is_zone_reachable(machine) && is_single)
    }

    /// Whether a controller in the machine's zone can be reached from here.
    fn is_zone_reachable(&self, machine: &Machine) -> bool {
        self.inventory.reachable_zones().contains(&*machine.zone)
    }
}
