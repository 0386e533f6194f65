//! What agents say: which tasks are where, and which are proven gone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{ObservedState, Scheduler};
use crate::agent::{Command, ExitCause, Heartbeat, TaskState};
use crate::gang::Gang;
use crate::job::{JobKind, JobNumber};
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// Why a heartbeat gets no 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRejection {
    /// From a epoch that is over.
    OldSession,
    /// From a machine that was returned.
    Returned,
    /// From a machine that has seen a fencing token above ours.
    NewerToken,
    /// Not a machine that we know the type of.
    UnknownType,
    /// A copy of a heartbeat that was answered, or of one that its agent has long given up.
    Repeated,
}

impl Scheduler {
    /// An agent's heartbeat. The answer is the commands to send back with a 200.
    pub fn heartbeat(
        &mut self,
        r: Heartbeat,
        gone: bool,
        now: Micros,
    ) -> Result<Vec<Command>, HeartbeatRejection> {
        if gone || self.inventory.returned.contains(r.machine.as_str()) {
            return Err(HeartbeatRejection::Returned);
        }
        if r.fencing_token > self.leader_term.term {
            return Err(HeartbeatRejection::NewerToken);
        }
        let name = self.register_agent(&r, now)?;
        let (sequence, agent_epoch) = (r.sequence, r.agent_epoch);
        let Some(machine) = self.inventory.machines.get_mut(&name) else {
            return Err(HeartbeatRejection::Returned);
        };
        if agent_epoch < machine.agent_epoch {
            return Err(HeartbeatRejection::OldSession);
        }
        if matches!(machine.phase, MachinePhase::Returning(_)) {
            // Its return may be under way: its lease must not be renewed behind that.
            return Err(HeartbeatRejection::Returned);
        }
        // An agent has one heartbeat in flight: by sending a later one it has given up all before it,
        // and the lease counts from when a heartbeat was sent. So a copy that comes late renews
        // nothing, and nobody listens for an answer to it.
        if agent_epoch == machine.agent_epoch && sequence <= machine.last_heartbeat_sequence {
            return Err(HeartbeatRejection::Repeated);
        }
        machine.last_answer = machine.last_answer.max(now);
        (
            machine.outbound_partition,
            machine.outbound_partition_since,
            machine.evicted,
        ) = (false, None, false);
        self.inventory.last_heartbeat = now;
        let fencing_token = r.fencing_token;
        // Its sequence number counts heartbeats to any node.
        let stays = self.config.nodes > 1
            && agent_epoch == machine.agent_epoch
            && sequence == machine.sequence + 1;
        let stays = stays && machine.last_heartbeat_sequence > 0;
        self.apply_status(&name, r, true, now);
        let (term, heartbeat_freshness) = (self.leader_term.term, self.heartbeat_freshness());
        let Some(machine) = self.inventory.machines.get_mut(&name) else {
            return Err(HeartbeatRejection::Returned);
        };
        if agent_epoch < machine.agent_epoch {
            return Err(HeartbeatRejection::OldSession);
        }
        machine.inbound_partition.heartbeat_received(
            fencing_token,
            sequence,
            stays,
            heartbeat_freshness,
            now,
        );
        machine
            .inbound_partition
            .answered_with(term, fencing_token, sequence);
        machine.last_heartbeat_sequence = machine.last_heartbeat_sequence.max(sequence);
        self.reindex(&name);
        let commands = self.commands_for(&name, Some(sequence));
        self.dispatch.pending.remove(&name);
        Ok(commands)
    }

    /// The machine that this heartbeat is from, met for the first time if need be.
    fn register_agent(
        &mut self,
        r: &Heartbeat,
        now: Micros,
    ) -> Result<Arc<str>, HeartbeatRejection> {
        if let Some(machine) = self.inventory.machines.get(r.machine.as_str()) {
            return Ok(machine.name.clone());
        }
        let kind = self
            .catalog
            .get(&r.type_name)
            .cloned()
            .ok_or(HeartbeatRejection::UnknownType)?;
        let zone = r.zone.as_str().into();
        let mut machine = Machine::new(&r.machine, Arc::new(kind), zone, r.spot, &r.addr, now);
        let name = machine.name.clone();
        self.persistence.machine_changed(&mut machine, now);
        self.add_machine(machine);
        Ok(name)
    }

    /// What a machine showed within this time still holds.
    pub(super) fn heartbeat_freshness(&self) -> Micros {
        self.config
            .heartbeat_interval
            .times(2.5)
            .plus(Micros::from_secs(1))
    }

    /// What a machine said in answer to a probe.
    pub fn probe_answered(&mut self, r: Heartbeat, now: Micros) {
        let heartbeat_freshness = self.heartbeat_freshness();
        // Whoever answered at that address: the probe is over.
        self.dispatch.probes_in_flight = self.dispatch.probes_in_flight.saturating_sub(1);
        if let Some(machine) = self.inventory.machines.get_mut(r.machine.as_str()) {
            let name = machine.name.clone();
            machine
                .inbound_partition
                .direct_call_ended(true, heartbeat_freshness, now);
            self.apply_status(&name, r, false, now);
            self.reindex(&name);
        }
    }

    /// A probe got no answer.
    pub fn probe_failed(&mut self, name: &str, now: Micros) {
        let heartbeat_freshness = self.heartbeat_freshness();
        self.dispatch.probes_in_flight = self.dispatch.probes_in_flight.saturating_sub(1);
        if let Some(machine) = self.inventory.machines.get_mut(name) {
            machine.failed_probes += 1;
            machine.last_unanswered_probe_at = machine.probe_sent_at;
            machine
                .inbound_partition
                .direct_call_ended(false, heartbeat_freshness, now);
            let name = machine.name.clone();
            self.reindex(&name);
            self.schedule_health_check(&name, now);
        }
    }

    /// Takes in what a machine says, if it is newer than what is known.
    pub(super) fn apply_status(
        &mut self,
        name: &Arc<str>,
        r: Heartbeat,
        by_report: bool,
        now: Micros,
    ) {
        let heartbeat_freshness = self.heartbeat_freshness();
        let came_up = (self.inventory.machines.get(name))
            .is_some_and(|machine| machine.phase == MachinePhase::Unregistered);
        let quiet_news = {
            let Some(machine) = self.inventory.machines.get_mut(name) else {
                return;
            };
            if (r.agent_epoch, r.sequence) <= (machine.agent_epoch, machine.sequence) {
                return;
            }
            if machine.phase == MachinePhase::Unregistered {
                machine.phase = MachinePhase::Up;
                machine.up_since = now;
                machine.idle_since = now;
                machine.wanted_at = now;
                self.placement_pass.requested = true;
            }
            if machine.addr != r.addr {
                machine.addr.clone_from(&r.addr);
                // Only a later leader needs it, and the cloud's list has it too.
                let due = if machine.recorded {
                    now.plus(Micros::from_secs(2))
                } else {
                    now
                };
                self.persistence.machine_changed(machine, due);
            }
            machine.last_heard = now;
            machine.unresponsive = false;
            self.inventory.last_heard = now;
            machine.failed_probes = 0;
            machine.fencing_token = machine.fencing_token.max(r.fencing_token);
            if machine.fenced_at.is_none() && machine.fencing_token >= self.leader_term.first_term {
                machine.fenced_at = Some(now);
                self.placement_pass.requested = true;
            }
            if machine
                .unacknowledged_start
                .is_some_and(|(fencing_token, _)| r.fencing_token > fencing_token)
            {
                machine.unacknowledged_start = None;
            }
            machine.sequence = r.sequence;
            if r.agent_epoch > machine.agent_epoch || machine.agent_epoch_started_at == Micros::ZERO
            {
                machine.agent_epoch_started_at = now;
            }
            // What the records prove of its images holds for the epoch that they name.
            if machine
                .recorded_epoch
                .take()
                .is_some_and(|s| r.agent_epoch > s)
            {
                let went = machine.forget_images();
                self.inventory.index.images(&machine.zone, &[], &went);
            }
            if r.agent_epoch > machine.agent_epoch {
                machine.unacknowledged_start = None;
                machine.last_heartbeat_sequence = 0;
                machine.last_start_sequence = 0;
                if machine.agent_epoch > 0 {
                    let went = machine.forget_images();
                    self.inventory.index.images(&machine.zone, &[], &went);
                    // Its lease ran out although we answered its heartbeats: it did not hear us.
                    let recent = now.since(machine.last_answer) < self.config.lease;
                    machine.inbound_partition.epoch_started(
                        by_report && machine.fenced_at.is_some() && recent,
                        heartbeat_freshness,
                        now,
                    );
                }
            }
            machine.agent_epoch = r.agent_epoch;
            let spot_notice = r.spot_notice.map(|n| now.plus(n));
            let first = machine.spot_notice.is_none() && spot_notice.is_some();
            machine.spot_notice = spot_notice;
            first
        };
        if came_up {
            self.note_provisioned(name, now);
        }
        if quiet_news {
            self.evict_gracefully(name, now);
        }
        self.reconcile_tasks(name, r, by_report, now);
    }

    fn reconcile_tasks(&mut self, name: &Arc<str>, r: Heartbeat, by_report: bool, now: Micros) {
        let Some(machine) = self.inventory.machines.get(name) else {
            return;
        };
        // Held tasks that the heartbeat has not mentioned: what stays in here is not on the machine.
        let mut missing: BTreeSet<(JobNumber, u32)> = machine.allocations.clone();
        self.steps += 1;
        let mut unowned_tasks = Vec::new();
        let mut lost = Vec::new();
        let had = !machine.unowned_tasks.is_empty();
        let mut known: Option<(String, JobNumber)> = None;
        for observed in r.tasks {
            // Tasks of a job stand together in a heartbeat.
            let number = match &known {
                Some((id, number)) if *id == observed.job => Some(*number),
                _ => self.job_table.by_id.get(observed.job.as_str()).copied(),
            };
            let allocated =
                number.filter(|number| machine.allocations.contains(&(*number, observed.task)));
            let allocation = allocated.and_then(|number| {
                known = Some((observed.job.clone(), number));
                let job = self.job_table.jobs.get_mut(&number)?;
                let allocation = job.tasks[observed.task as usize]
                    .allocation
                    .as_deref_mut()?;
                (allocation.agent_epoch == r.agent_epoch && allocation.attempt == observed.attempt)
                    .then_some((number, allocation))
            });
            let Some((number, allocation)) = allocation else {
                unowned_tasks.push(observed);
                continue;
            };
            missing.remove(&(number, observed.task));
            allocation.start_sent = true;
            match observed.state {
                TaskState::Exited { cause, saved } => {
                    lost.push((number, observed.task, Some((cause, saved))));
                    // Listed until it is told to forget it, once the outcome is on record.
                    unowned_tasks.push(observed);
                    continue;
                }
                TaskState::Fetching => allocation.observed = ObservedState::Fetching,
                TaskState::Waiting => allocation.observed = ObservedState::Waiting,
                TaskState::Saving => allocation.observed = ObservedState::Saving,
                TaskState::Running => {
                    if allocation.observed != ObservedState::Running {
                        allocation.running_since = Some(now);
                    }
                    allocation.observed = ObservedState::Running;
                }
            }
        }
        let fenced = machine.fenced_at.is_some()
            && machine.unacknowledged_start.is_none()
            && !machine.command_in_flight;
        let mut images: BTreeMap<JobNumber, (String, u64)> = BTreeMap::new();
        for &(number, task) in &machine.allocations {
            let Some(job) = self.job_table.jobs.get(&number) else {
                continue;
            };
            let Some(allocation) = job.tasks[task as usize].allocation.as_deref() else {
                continue;
            };
            if !missing.contains(&(number, task)) {
                if !matches!(
                    allocation.observed,
                    ObservedState::Unseen | ObservedState::Fetching
                ) && !images.contains_key(&number)
                {
                    images.insert(number, (job.spec.image.clone(), job.spec.image_mb));
                }
                continue;
            }
            if allocation.agent_epoch < r.agent_epoch {
                // The epoch that it was in is over: the agent killed and forgot it.
                lost.push((number, task, None));
                continue;
            }
            let unsent = !allocation.start_sent
                || (fenced
                    && by_report
                    && allocation.start_sequence < r.sequence
                    && allocation.stop.is_some());
            if allocation.observed != ObservedState::Unseen || (allocation.stop.is_some() && unsent)
            {
                lost.push((number, task, None));
            }
        }
        if let Some(machine) = self.inventory.machines.get_mut(name) {
            for (image, mb) in images.into_values() {
                let (came, went) = machine.use_image(&image, mb, now);
                self.inventory.index.images(&machine.zone, &came, &went);
            }
            machine.unowned_tasks = unowned_tasks;
            // What has exited is told to go in the answer to a heartbeat; what still runs is not ours
            // to leave there.
            if machine.has_running_unowned_tasks() || (had && machine.unowned_tasks.is_empty()) {
                self.dispatch.pending.insert(name.clone());
            }
        }
        for (number, task, end) in lost {
            self.task_exited(number, task, name, end, now);
        }
    }

    /// A task is proven to be off its machine: it exited with this cause, or it is lost.
    pub(super) fn task_exited(
        &mut self,
        number: JobNumber,
        task: u32,
        machine: &Arc<str>,
        end: Option<(ExitCause, bool)>,
        now: Micros,
    ) {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return;
        };
        let Some(allocation) = job.tasks[task as usize].allocation.as_deref() else {
            return;
        };
        let (started, stopped) = (allocation.running_since, allocation.stop.is_some());
        let cause = end.map(|e| e.0);
        let mut retry_after = Micros::ZERO;
        match cause {
            Some(ExitCause::Done) => {
                if let Some(at) = started {
                    self.note_run_time(number, now.since(at));
                }
                self.task_done(number, task, now);
                if let Some(job) = self.job_table.jobs.get(&number) {
                    if job.spec.kind == JobKind::Gang {
                        // They complete together: when one is done, all of them are.
                        for t in 0..job.spec.tasks {
                            self.task_done(number, t, now);
                        }
                    }
                }
            }
            Some(ExitCause::Error) => {
                retry_after = self.task_failed(number, task, now);
            }
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                self.task_refused(number, machine, now);
            }
            _ => {}
        }
        self.release(number, task, now);
        if retry_after > Micros::ZERO {
            self.defer_task(number, task, retry_after, now);
        }
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && !job.is_complete() {
            // One member gone ends the attempt. An orderly stop keeps its grace: told in time,
            // the others save as well.
            if !stopped && job.gang != Gang::Stopping {
                job.gang = Gang::Stopping;
                self.stop_all(number, Micros::ZERO, now);
            }
        }
        if let Some(job) = self.job_table.jobs.get_mut(&number) {
            if job.spec.kind == JobKind::Gang && job.placed == 0 {
                job.gang = Gang::Parked { until: now };
                job.parked_at = now;
            }
        }
        self.check_complete(number);
    }

    /// Learns how far a class's estimates are off.
    fn note_run_time(&mut self, number: JobNumber, ran: Micros) {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return;
        };
        if job.spec.estimate == Micros::ZERO || job.spec.kind == JobKind::Service {
            return;
        }
        let ratio = (ran.0 as f64 / job.spec.estimate.0 as f64).clamp(0.1, 10.0);
        let class = job.class;
        self.job_table.classes.note_run_time(class, ratio);
    }

    /// Every task on this machine is proven gone.
    pub(super) fn release_all(&mut self, name: &Arc<str>, now: Micros) {
        let allocated: Vec<(JobNumber, u32)> = match self.inventory.machines.get(name) {
            Some(machine) => machine.allocations.iter().copied().collect(),
            None => return,
        };
        for (number, task) in allocated {
            self.task_exited(number, task, name, None, now);
        }
    }
}
