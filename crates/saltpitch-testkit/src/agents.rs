//! A simulated machine and its agent.

use std::collections::{BTreeMap, BTreeSet};

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use saltpitch_core::job::{JobKind, JobSpec};
use saltpitch_core::Micros;

use crate::simulation::Times;

/// A job's id and the number of the task in it.
pub type TaskId = (String, u32);

/// An attempt of a task on an agent, running or exited.
#[derive(Clone, Debug)]
pub struct AgentTask {
    /// The attempt of the task.
    pub attempt: u32,
    /// Its state, as heartbeats report it.
    pub state: TaskState,
    /// When the current phase ends by itself; of a gang member that waits for the others, when it began to.
    pub phase_ends_at: Micros,
    /// How long it runs once it has started.
    pub run_time: Micros,
}

impl AgentTask {
    /// Returns whether it has exited.
    pub fn has_exited(&self) -> bool {
        matches!(self.state, TaskState::Exited { .. })
    }

    /// Returns whether the invariants count it as running: it has its image and has not exited.
    pub fn counts_as_running(&self) -> bool {
        !self.has_exited() && self.state != TaskState::Fetching
    }
}

/// A machine, its agent and its faults.
pub struct Agent {
    /// Its name.
    pub name: String,
    /// Its machine type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may take back.
    pub spot: bool,
    /// The resources that it has.
    pub size: saltpitch_core::catalog::Resources,
    /// Whether its tasks take three times as long.
    pub is_slow: bool,
    /// When it has booted.
    pub up_at: Micros,
    /// Whether it was returned, was taken back, or has failed for good.
    pub is_gone: bool,
    /// It hangs until then.
    pub hung_until: Micros,
    /// Until then its heartbeats are delivered, and nothing reaches it.
    pub inbound_partition_until: Micros,
    /// Until then it opens no connection to any controller, while direct commands reach it.
    pub outbound_partition_until: Micros,
    /// Counts the agent's starts and lease expiries.
    pub agent_epoch: u64,
    /// The sequence number of its newest heartbeat in this epoch.
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    pub fencing_token: u64,
    /// When its lease was last renewed: when the newest answered heartbeat was sent.
    pub lease_renewed_at: Micros,
    /// How long before the cloud takes it back it was notified, once that has happened.
    pub spot_notice: Option<Micros>,
    /// Its tasks by id and attempt.
    pub tasks: BTreeMap<(TaskId, u32), AgentTask>,
    /// The attempts that it was told to forget in this epoch. A real agent does not know them any more.
    pub forgotten_attempts: BTreeSet<(TaskId, u32)>,
    /// The node that it sends heartbeats to.
    pub target_node: usize,
    /// When its next heartbeat is due.
    pub next_heartbeat_at: Micros,
    /// The heartbeat in flight: its sequence number and when it was sent.
    pub pending_heartbeat: Option<(u64, Micros)>,
    /// Whether something has changed since the last heartbeat.
    pub has_changes: bool,
}

/// Draws how long an attempt runs: 0.5 to 1.5 times its job's estimate. A service runs until it is stopped.
fn run_time(spec: &JobSpec, random_below: &mut dyn FnMut(u64) -> u64) -> Micros {
    match spec.kind {
        JobKind::Service => Micros::from_secs(1_000_000),
        _ => spec.estimate.times(0.5 + random_below(100) as f64 / 100.0),
    }
}

impl Agent {
    /// Returns whether the machine has booted, is not gone and does not hang.
    pub fn is_up(&self, now: Micros) -> bool {
        !self.is_gone && now >= self.up_at && now >= self.hung_until
    }

    /// Returns the next heartbeat, with a new sequence number.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        self.newest_heartbeat()
    }

    /// Returns a heartbeat with the newest sequence number and the current state.
    pub fn newest_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            machine: self.name.clone(),
            addr: self.name.clone(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot_notice: self.spot_notice,
            tasks: self
                .tasks
                .iter()
                .map(|((id, _), agent_task)| TaskStatus {
                    job: id.0.clone(),
                    task: id.1,
                    attempt: agent_task.attempt,
                    state: agent_task.state,
                })
                .collect(),
        }
    }

    /// Accepts a fencing token. Returns false if it is lower than one seen before.
    pub fn accept_token(&mut self, fencing_token: u64) -> bool {
        if fencing_token < self.fencing_token {
            return false;
        }
        if fencing_token > self.fencing_token {
            self.fencing_token = fencing_token;
            self.has_changes = true;
        }
        true
    }

    /// Returns the resources that tasks that have not exited use.
    fn used_resources(
        &self,
        spec_of: &dyn Fn(&str) -> Option<JobSpec>,
    ) -> saltpitch_core::catalog::Resources {
        self.tasks
            .iter()
            .filter(|(_, agent_task)| !agent_task.has_exited())
            .filter_map(|((id, _), _)| spec_of(&id.0))
            .fold(Default::default(), |sum, spec| {
                saltpitch_core::catalog::Resources::plus(&sum, &spec.need)
            })
    }

    /// Executes commands: starts, stops and forgets tasks.
    pub fn execute(
        &mut self,
        commands: &[Command],
        spec_of: &dyn Fn(&str) -> Option<JobSpec>,
        random_below: &mut dyn FnMut(u64) -> u64,
        now: Micros,
    ) {
        for command in commands {
            match command {
                Command::Start { job, task, attempt } => {
                    let key = ((job.to_string(), *task), *attempt);
                    if !self.tasks.contains_key(&key) {
                        self.start(key, spec_of, random_below, now);
                    }
                }
                Command::Stop {
                    job,
                    task,
                    attempt,
                    grace,
                } => {
                    let key = ((job.to_string(), *task), *attempt);
                    self.stop(&key, spec_of, *grace, now);
                }
                Command::Forget { job, task, attempt } => {
                    let key = ((job.to_string(), *task), *attempt);
                    if self.tasks.get(&key).is_some_and(AgentTask::has_exited) {
                        self.tasks.remove(&key);
                        self.forgotten_attempts.insert(key);
                    }
                }
            }
        }
    }

    /// Starts an attempt, or refuses it as a real agent does: unknown job, task already on the machine, or no
    /// room.
    fn start(
        &mut self,
        key: ((String, u32), u32),
        spec_of: &dyn Fn(&str) -> Option<JobSpec>,
        random_below: &mut dyn FnMut(u64) -> u64,
        now: Micros,
    ) {
        let refused = |cause| TaskState::Exited {
            cause,
            saved: false,
        };
        let (task, attempt) = &key;
        let is_busy = self
            .tasks
            .iter()
            .any(|((other, _), agent_task)| other == task && !agent_task.has_exited());
        let (state, run) = match spec_of(&task.0) {
            None => (refused(ExitCause::NotFound), Micros::ZERO),
            Some(_) if is_busy => (refused(ExitCause::Busy), Micros::ZERO),
            Some(spec)
                if !spec
                    .need
                    .plus(&self.used_resources(spec_of))
                    .fits(&self.size) =>
            {
                (refused(ExitCause::NoRoom), Micros::ZERO)
            }
            Some(spec) => (TaskState::Fetching, run_time(&spec, random_below)),
        };
        let fetch = Micros::from_millis(200 + random_below(4_000));
        let agent_task = AgentTask {
            attempt: *attempt,
            state,
            phase_ends_at: now.plus(fetch),
            run_time: run.times(if self.is_slow { 3.0 } else { 1.0 }),
        };
        self.tasks.insert(key, agent_task);
        self.has_changes = true;
    }

    /// Stops an attempt. It saves its progress first if it can and the grace period is long enough.
    fn stop(
        &mut self,
        key: &((String, u32), u32),
        spec_of: &dyn Fn(&str) -> Option<JobSpec>,
        grace: Micros,
        now: Micros,
    ) {
        let Some(agent_task) = self
            .tasks
            .get_mut(key)
            .filter(|agent_task| !agent_task.has_exited())
        else {
            return;
        };
        let (task, _) = key;
        let save = spec_of(&task.0)
            .filter(JobSpec::can_save)
            .map(|spec| spec.save_time);
        let can_save =
            save.is_some_and(|time| grace >= time) && agent_task.state == TaskState::Running;
        if can_save {
            agent_task.state = TaskState::Saving;
            agent_task.phase_ends_at = now.plus(save.unwrap_or_default());
        } else if agent_task.state != TaskState::Saving || grace == Micros::ZERO {
            agent_task.state = TaskState::Exited {
                cause: ExitCause::Stopped,
                saved: false,
            };
        }
        self.has_changes = true;
    }

    /// Ends the lease if no heartbeat was answered in time: all tasks are killed and a new agent epoch begins.
    pub fn check_lease(&mut self, times: &Times, now: Micros) {
        if now.since(self.lease_renewed_at) > times.agent_lease {
            self.tasks.clear();
            self.forgotten_attempts.clear();
            self.agent_epoch += 1;
            self.sequence = 0;
            self.lease_renewed_at = now;
            self.pending_heartbeat = None;
            self.has_changes = true;
        }
    }
}
