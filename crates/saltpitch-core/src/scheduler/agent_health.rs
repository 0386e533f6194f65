//! Machines whose time has come: silent, outbound-partitioned or inbound-partitioned ones, leases that are over, commands without effect.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Effect, ObservedState, Scheduler};
use crate::machine::MachinePhase;
use crate::time::Micros;

impl Scheduler {
    /// Looks after the machines whose time has come: silent ones, those whose lease is over, stops
    /// that take too long, doubts that stay.
    pub(super) fn run_health_checks(&mut self, now: Micros) {
        let mut over = Vec::new();
        let mut unresponsive = Vec::new();
        let mut returns = Vec::new();
        while let Some((at, name)) = self.inventory.health_checks.first().cloned() {
            if at > now {
                break;
            }
            self.steps += 1;
            let next = self.check_health(&name, &mut over, &mut unresponsive, &mut returns, now);
            self.schedule_health_check(&name, next.max(now.plus(Micros::from_millis(400))));
        }
        if !returns.is_empty() {
            self.effects.push(Effect::ScaleIn { names: returns });
        }
        for name in over {
            self.release_all(&name, now);
        }
        self.return_unresponsive(unresponsive, now);
        self.retry_unacknowledged(now);
    }

    /// One machine; says when to look again.
    fn check_health(
        &mut self,
        name: &Arc<str>,
        over: &mut Vec<Arc<str>>,
        unresponsive: &mut Vec<Arc<str>>,
        returns: &mut Vec<Arc<str>>,
        now: Micros,
    ) -> Micros {
        let (heartbeat, heartbeat_freshness) =
            (self.config.heartbeat_interval, self.heartbeat_freshness());
        let soon = now.plus(Micros::from_millis(500));
        let Some(machine) = self.inventory.machines.get_mut(name) else {
            return soon;
        };
        match machine.phase {
            MachinePhase::Returning(true) => {
                returns.push(name.clone());
                let wait = self.config.heartbeat_interval.max(Micros::from_secs(3));
                return self.agent_lease_end(name, over, now).min(now.plus(wait));
            }
            MachinePhase::Returning(false) => {
                return self.agent_lease_end(name, over, now).min(soon)
            }
            _ => {}
        }
        let quiet = now.since(machine.last_heard.max(self.clock.resumed_at()));
        let asks = machine.phase == MachinePhase::Up || !machine.allocations.is_empty();
        // Machines that an earlier leader knew; what boots for us will heartbeat by itself.
        let unfenced = machine.phase == MachinePhase::Unregistered
            && machine.recorded
            && machine.created_at < self.leader_term.elected_at;
        let waits = unfenced
            || (asks && quiet > heartbeat.times(1.4))
            || machine.inbound_partition.is_suspected();
        if waits
            && now >= machine.next_probe_at
            && !machine.addr.is_empty()
            && self.dispatch.probes_in_flight < self.config.calls
        {
            let wait = if machine.phase == MachinePhase::Up {
                1
            } else {
                4
            };
            machine.next_probe_at = now.plus(Micros::from_secs(wait));
            machine.probe_sent_at = now;
            self.dispatch.probes_in_flight += 1;
            self.effects.push(Effect::Probe {
                machine: name.clone(),
                addr: machine.addr.clone(),
            });
        }
        // Two missed heartbeats and two probes without an answer are taken for its end.
        let last_unanswered_probe_at = machine.failed_probes >= 2 && quiet > heartbeat.times(1.8);
        let long = quiet > heartbeat.times(2.6).plus(Micros::from_secs(1));
        // A inbound-partitioned machine is as good as silent: nothing that it is told happens.
        let inbound_partition = machine
            .inbound_partition
            .is_certain(heartbeat.times(1.8), now);
        if machine.phase == MachinePhase::Up
            && (last_unanswered_probe_at || long || inbound_partition)
        {
            unresponsive.push(name.clone());
        }
        let outbound_partition = machine.phase == MachinePhase::Up && quiet > heartbeat_freshness;
        if outbound_partition != machine.unresponsive {
            machine.unresponsive = outbound_partition;
            self.reindex(name);
        }
        let end = self.agent_lease_end(name, over, now);
        self.detect_outbound_partition(name, end, now);
        if waits || inbound_partition || last_unanswered_probe_at || long {
            return soon;
        }
        let Some(machine) = self.inventory.machines.get(name) else {
            return soon;
        };
        let next = if machine.phase == MachinePhase::Up {
            machine
                .last_heard
                .max(self.clock.resumed_at())
                .plus(heartbeat.times(1.4))
        } else {
            now.plus(Micros::from_secs(2))
        };
        next.min(end)
    }

    /// A machine that reaches no controller answers direct calls: what it shows is true, but its lease
    /// is not renewed, and all that is on it ends with that. Nothing new goes there, and what can save
    /// or loses nothing is moved while there is time. Only as long as others do heartbeat: otherwise it is
    /// this node that is not reached.
    fn detect_outbound_partition(&mut self, name: &Arc<str>, lease_end: Micros, now: Micros) {
        let (heartbeat, lease) = (self.config.heartbeat_interval, self.config.lease);
        let others = now.since(self.inventory.last_heartbeat) < heartbeat.times(1.5);
        let awake = self.clock.resumed_at();
        let Some(machine) = self.inventory.machines.get_mut(name) else {
            return;
        };
        if machine.phase != MachinePhase::Up || machine.unresponsive || !others {
            // What comes back from behind a cut answers calls before it heartbeats: that is counted anew.
            machine.outbound_partition_since = None;
            return;
        }
        let wait = if machine.last_answer > Micros::ZERO {
            heartbeat.times(1.8)
        } else {
            heartbeat.times(2.5).plus(Micros::from_secs(1))
        };
        let quiet = now.since(machine.last_answer.max(machine.up_since).max(awake));
        if quiet <= wait {
            return;
        }
        let since = *machine.outbound_partition_since.get_or_insert(now);
        let news = !std::mem::replace(&mut machine.outbound_partition, true);
        let late = quiet > lease.times(0.55)
            && now.since(since) > heartbeat.times(1.8)
            && machine.inbound_partition.since.is_none();
        let drains = late && !std::mem::replace(&mut machine.evicted, true);
        if news {
            self.reindex(name);
        }
        if drains {
            self.evict_within(name, lease_end.since(now), now);
        }
    }

    /// When the agent's lease is over at the latest: counted from our last answer, or from when
    /// the leader before us could have given one. If it is, everything on it is gone.
    fn agent_lease_end(&self, name: &Arc<str>, over: &mut Vec<Arc<str>>, now: Micros) -> Micros {
        let far = now.plus(self.config.lease);
        let Some(machine) = self
            .inventory
            .machines
            .get(name)
            .filter(|machine| !machine.allocations.is_empty())
        else {
            return far;
        };
        // A epoch that began after our last answer has its lease from its own beginning.
        let base = match machine.fenced_at {
            Some(at) => at.max(machine.last_answer),
            None => self
                .leader_term
                .previous_leader_fenced_at
                .max(machine.last_answer),
        };
        let end = base
            .max(machine.agent_epoch_started_at)
            .plus(self.config.lease.with_drift());
        if now > end {
            over.push(name.clone());
        }
        end.plus(Micros::from_millis(1))
    }

    /// Returning a silent machine fences it sooner than its lease does. Many silent at once look
    /// like a cut, and so does a zone from which nobody is heard: then the lease decides.
    fn return_unresponsive(&mut self, unresponsive: Vec<Arc<str>>, now: Micros) {
        let heartbeat = self.config.heartbeat_interval;
        if unresponsive.is_empty() || now.since(self.inventory.last_heard) > heartbeat.times(2.5) {
            return;
        }
        // When each machine that hears us was heard last, by zone.
        let mut heard: HashMap<Arc<str>, Vec<Micros>> = HashMap::new();
        for machine in self.inventory.machines.values() {
            if machine.is_up() && !machine.inbound_partition.is_suspected() {
                heard
                    .entry(machine.zone.clone())
                    .or_default()
                    .push(machine.last_heard);
            }
        }
        self.steps += self.inventory.machines.len() as u64;
        for times in heard.values_mut() {
            times.sort_unstable();
        }
        let all: usize = heard.values().map(Vec::len).sum();
        let mut alike: HashMap<(Arc<str>, bool), usize> = HashMap::new();
        for machine in unresponsive
            .iter()
            .filter_map(|n| self.inventory.machines.get(n))
        {
            *alike
                .entry((machine.zone.clone(), machine.spot))
                .or_default() += 1;
        }
        for name in &unresponsive {
            let Some(machine) = self.inventory.machines.get(name) else {
                continue;
            };
            // What was heard before this one should have sent a heartbeat says nothing of a cut that began in
            // between, and its last probe proves something only if somebody had been heard by then:
            // whole zones, or this node, may just have been cut off or be coming back. Of a inbound-partitioned
            // machine's zone, whoever hears us counts.
            let (since, until) = match machine.inbound_partition.since {
                Some(at)
                    if machine
                        .inbound_partition
                        .is_certain(heartbeat.times(1.8), now) =>
                {
                    (at, now)
                }
                _ => (
                    machine.last_heard.plus(heartbeat.times(1.4)),
                    machine.last_unanswered_probe_at,
                ),
            };
            let heard_in = |times: &Vec<Micros>| {
                let upto = times.partition_point(|at| *at <= until);
                upto.saturating_sub(times.partition_point(|at| *at <= since))
            };
            let heard_there = heard.get(&machine.zone).map_or(0, heard_in);
            let heard_at_all: usize = heard.values().map(heard_in).sum();
            let open = self.inventory.reachable_zones.contains(&*machine.zone);
            let silent_alike = alike
                .get(&(machine.zone.clone(), machine.spot))
                .copied()
                .unwrap_or(0);
            let few = if machine.spot {
                // They are taken back in waves.
                heard_there > 0 || (open && heard_at_all * 4 >= unresponsive.len())
            } else {
                (heard_there > 0 && heard_there * 4 >= silent_alike)
                    || (open && silent_alike <= 1 && (heard_at_all > 0 || all <= 1))
            };
            if few {
                self.scale_in(name, now);
            }
        }
    }

    /// Repeats what shows no effect; second stops for tasks that save too long.
    fn retry_unacknowledged(&mut self, now: Micros) {
        let mut settled = Vec::new();
        let mut rewritten = Vec::new();
        let mut doubtful = false;
        for name in &self.dispatch.awaiting_effect {
            self.steps += 1;
            let Some(machine) = self
                .inventory
                .machines
                .get(name)
                .filter(|machine| !machine.allocations.is_empty())
            else {
                settled.push(name.clone());
                continue;
            };
            let in_doubt = machine
                .unacknowledged_start
                .filter(|d| now.since(d.1) > Micros::from_secs(6));
            // A token that was raised since then, and not heeded, is not raised again for it.
            doubtful |= machine.is_up()
                && !machine.unresponsive
                && !machine.inbound_partition.is_suspected()
                && in_doubt.is_some_and(|d| d.0 >= self.leader_term.term);
            let mut waits = machine.unacknowledged_start.is_some();
            for &(number, task) in &machine.allocations {
                let allocation = (self.job_table.jobs.get_mut(&number))
                    .and_then(|job| job.tasks[task as usize].allocation.as_mut());
                let Some(allocation) = allocation else {
                    continue;
                };
                if let Some(stop) = allocation.stop.as_mut() {
                    waits = true;
                    let limit = stop
                        .grace
                        .plus(self.config.gang_peer)
                        .plus(self.config.heartbeat_interval);
                    if now.since(stop.since) > limit {
                        stop.grace = Micros::ZERO;
                    }
                } else if allocation.committed && allocation.observed == ObservedState::Unseen {
                    waits = true;
                }
            }
            if !waits {
                settled.push(name.clone());
            } else if machine.is_up()
                && now >= machine.next_command_at
                && !machine.command_in_flight
            {
                rewritten.push(name.clone());
            }
        }
        for name in settled {
            self.dispatch.awaiting_effect.remove(&name);
        }
        self.dispatch.pending.extend(rewritten);
        if doubtful && !self.leader_term.raise_in_flight {
            self.leader_term.raise_in_flight = true;
            self.effects.push(Effect::RaiseTerm);
        }
    }
}
