//! Machines: heartbeats, leases, running tasks and gangs.

use std::collections::BTreeMap;

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState};
use saltpitch_core::controller::HeartbeatAnswer;
use saltpitch_core::job::{JobKind, JobSpec};
use saltpitch_core::Micros;

use super::{Simulation, UserJob};
use crate::agents::{Agent, AgentTask, TaskId};

/// An agent that has no answer within this time turns to the next controller.
const ANSWER_TIMEOUT: Micros = Micros::from_secs(4);
/// How long an agent waits after a timeout before it sends again.
const RETRY_BACKOFF: Micros = Micros::from_secs(1);
/// The least time between two heartbeats of one agent, and the delay after which a redirected heartbeat is
/// repeated.
const MIN_HEARTBEAT_SPACING: Micros = Micros::from_millis(500);
/// How long an agent takes to notice that a connection fails.
const CONNECTION_FAILURE: Micros = Micros::from_millis(50);

/// The number of members of one attempt of a gang, by state.
#[derive(Clone, Copy, Default)]
struct GangMembers {
    waiting: u32,
    running: u32,
    done: u32,
}

impl Simulation {
    /// Advances a machine's tasks, ends the agent's lease when it expires, and sends a heartbeat when one is
    /// due.
    pub(super) fn agent_tick(&mut self, name: &str) {
        let now = self.now;
        let times = self.times.clone();
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        if agent.is_gone || now < agent.up_at {
            return;
        }
        // A machine that hangs for longer than its lease has lost its tasks when it resumes.
        agent.check_lease(&times, now);
        if !agent.is_up(now) {
            return;
        }
        let completed = advance_tasks(agent, &self.jobs, now);
        time_out_heartbeat(agent, now);
        let due = is_heartbeat_due(agent, times.heartbeat_interval, now);
        agent.has_changes |= !completed.is_empty();
        let heartbeat = due.then(|| begin_heartbeat(agent, times.heartbeat_interval, now));
        let target = agent.target_node;
        for (job, task) in completed {
            self.completed_tasks.entry(job).or_default().insert(task);
        }
        if let Some(heartbeat) = heartbeat {
            self.send_agent_heartbeat(name, target, heartbeat);
        }
    }

    fn send_agent_heartbeat(&mut self, name: &str, target: usize, heartbeat: Heartbeat) {
        if self.agents[name].outbound_partition_until > self.now {
            // The connection fails: the heartbeat never arrives, and the agent tries the next controller.
            let name = name.to_owned();
            let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
            return self.schedule_after(CONNECTION_FAILURE, move |simulation| {
                simulation.heartbeat_answered(&name, agent_epoch, sequence, None, None)
            });
        }
        // A partition holds messages back and delivers them when it ends.
        let held_back_for = self.partitioned_for(target, name);
        let wait = held_back_for.plus(self.draw_delay());
        if self.draw_fault(self.faults.delayed_duplicates, 1.5) {
            self.send_delayed_duplicate(heartbeat.clone(), wait);
        }
        self.schedule_after(wait, move |simulation| {
            simulation.deliver_heartbeat(target, heartbeat)
        });
    }

    /// Delivers a duplicate of a heartbeat to a random controller, 1 to 61 s after the heartbeat itself.
    fn send_delayed_duplicate(&mut self, copy: Heartbeat, wait: Micros) {
        let node_index = self.random_below(3) as usize;
        let late = Micros::from_millis(1_000 + self.random_below(60_000));
        self.schedule_after(wait.plus(late), move |simulation| {
            simulation.deliver_duplicate(node_index, copy)
        });
    }

    /// Delivers a duplicate of an old heartbeat. The answer is dropped, since no agent waits for it.
    pub fn deliver_duplicate(&mut self, node_index: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let pause = self.nodes[node_index].remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.deliver_duplicate(node_index, heartbeat)
            });
        }
        if self.nodes[node_index].may_answer(now) {
            let answer = self.nodes[node_index].answer_heartbeat(heartbeat, now);
            self.trace.report_answer(node_index, &answer, now);
            self.poll(node_index);
        }
    }

    fn deliver_heartbeat(&mut self, node_index: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let pause = self.nodes[node_index].remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.deliver_heartbeat(node_index, heartbeat)
            });
        }
        if !self.nodes[node_index].is_up(now) || !self.nodes[node_index].is_started {
            return;
        }
        let name = heartbeat.machine.clone();
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        let answer = self.nodes[node_index].answer_heartbeat(heartbeat, now);
        self.trace.report_answer(node_index, &answer, now);
        let (answer, leader) = match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => (Some((fencing_token, commands)), None),
            HeartbeatAnswer::Redirect { leader } => (None, leader),
        };
        self.poll(node_index);
        let leader = leader.and_then(|name| self.nodes.iter().position(|node| node.name == name));
        // A partition that began in the meantime holds the answer back; the agent ignores an answer that it
        // no longer waits for.
        let wait = self
            .partitioned_for(node_index, &name)
            .plus(self.draw_delay());
        self.schedule_after(wait, move |simulation| {
            simulation.heartbeat_answered(&name, agent_epoch, sequence, answer, leader)
        });
    }

    /// Handles the answer to an agent's heartbeat, if the agent still waits for that one.
    pub(super) fn heartbeat_answered(
        &mut self,
        name: &str,
        agent_epoch: u64,
        sequence: u64,
        answer: Option<(u64, Vec<Command>)>,
        leader: Option<usize>,
    ) {
        let now = self.now;
        let is_reachable =
            |agent: &&mut Agent| agent.is_up(now) && now >= agent.inbound_partition_until;
        let Some(agent) = self.agents.get_mut(name).filter(is_reachable) else {
            return;
        };
        let awaited =
            |waiting: &(u64, Micros)| waiting.0 == sequence && agent.agent_epoch == agent_epoch;
        let Some((_, sent_at)) = agent.pending_heartbeat.filter(awaited) else {
            return;
        };
        agent.pending_heartbeat = None;
        match answer {
            Some((fencing_token, commands)) => {
                if agent.accept_token(fencing_token) {
                    agent.lease_renewed_at = sent_at;
                    self.execute(name, &commands);
                }
            }
            None => {
                agent.target_node = leader.unwrap_or((agent.target_node + 1) % 3);
                agent.next_heartbeat_at = now.plus(MIN_HEARTBEAT_SPACING);
            }
        }
    }

    /// Starts gangs when all members of an attempt wait, and completes them together.
    pub(super) fn advance_gangs(&mut self) {
        let gangs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.kind == JobKind::Gang)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gangs {
            let size = self.jobs[&id].spec.tasks;
            let attempts = self.count_members(&id);
            if self.advance_members(&id, size, &attempts) {
                self.complete_gang(&id, size);
            }
        }
    }

    /// Counts the members of each attempt of a gang.
    fn count_members(&mut self, id: &str) -> BTreeMap<u32, GangMembers> {
        let mut attempts: BTreeMap<u32, GangMembers> = BTreeMap::new();
        for member in self.members(id) {
            let counts = attempts.entry(member.attempt).or_default();
            match member.state {
                TaskState::Waiting => counts.waiting += 1,
                TaskState::Running => counts.running += 1,
                TaskState::Exited {
                    cause: ExitCause::Done,
                    ..
                } => counts.done += 1,
                _ => {}
            }
        }
        attempts
    }

    /// Starts members whose attempt is complete and ends those that miss others for too long. Returns
    /// whether a member of a running attempt has run for its whole time.
    fn advance_members(
        &mut self,
        id: &str,
        size: u32,
        attempts: &BTreeMap<u32, GangMembers>,
    ) -> bool {
        let now = self.now;
        let (gang_wait, gang_peer) = (self.times.gang_wait_timeout, self.times.gang_peer_timeout);
        let mut finished = false;
        for member in self.members(id) {
            let counts = attempts[&member.attempt];
            match member.state {
                TaskState::Waiting if counts.waiting == size => {
                    member.state = TaskState::Running;
                    member.phase_ends_at = now.plus(member.run_time);
                }
                TaskState::Waiting if now.since(member.phase_ends_at) > gang_wait => {
                    member.state = exited(ExitCause::GangIncomplete);
                }
                TaskState::Running if counts.running == size && member.phase_ends_at <= now => {
                    finished = true;
                }
                TaskState::Running
                    if counts.running + counts.done < size
                        && now.plus(member.run_time).since(member.phase_ends_at) > gang_peer =>
                {
                    member.state = exited(ExitCause::PeerLost);
                }
                _ => {}
            }
        }
        finished
    }

    fn complete_gang(&mut self, id: &str, size: u32) {
        for member in self.members(id) {
            if member.state == TaskState::Running {
                member.state = exited(ExitCause::Done);
            }
        }
        self.completed_tasks
            .entry(id.to_owned())
            .or_default()
            .extend(0..size);
        for agent in self.agents.values_mut() {
            agent.has_changes = true;
        }
    }

    /// Returns the tasks of a gang on machines that are up.
    fn members<'a>(&'a mut self, id: &'a str) -> impl Iterator<Item = &'a mut AgentTask> {
        let now = self.now;
        self.agents
            .values_mut()
            .filter(move |agent| agent.is_up(now))
            .flat_map(|agent| agent.tasks.iter_mut())
            .filter(move |((task_id, _), _)| task_id.0 == id)
            .map(|(_, agent_task)| agent_task)
    }
}

/// Returns the state of a task that has exited without saving.
fn exited(cause: ExitCause) -> TaskState {
    TaskState::Exited {
        cause,
        saved: false,
    }
}

/// Advances a machine's tasks and returns those that have just completed.
fn advance_tasks(agent: &mut Agent, jobs: &BTreeMap<String, UserJob>, now: Micros) -> Vec<TaskId> {
    let mut completed = Vec::new();
    for ((id, _), agent_task) in &mut agent.tasks {
        let Some(job) = jobs.get(&id.0) else {
            continue;
        };
        if job.always_fails && agent_task.state == TaskState::Running {
            agent_task.state = exited(ExitCause::Error);
            agent.has_changes = true;
            continue;
        }
        if advance(agent_task, &job.spec, now) {
            completed.push(id.clone());
        }
        let is_in_progress = matches!(agent_task.state, TaskState::Running | TaskState::Waiting);
        if is_in_progress && agent_task.phase_ends_at <= now {
            agent.has_changes = true;
        }
    }
    completed
}

/// Moves a task to its next phase when the current one is over. Returns whether it has just completed.
fn advance(agent_task: &mut AgentTask, spec: &JobSpec, now: Micros) -> bool {
    if now < agent_task.phase_ends_at {
        return false;
    }
    match agent_task.state {
        TaskState::Fetching if spec.kind == JobKind::Gang => {
            agent_task.state = TaskState::Waiting;
            agent_task.phase_ends_at = now;
            false
        }
        TaskState::Fetching => {
            agent_task.state = TaskState::Running;
            agent_task.phase_ends_at = now.plus(agent_task.run_time);
            false
        }
        TaskState::Running if spec.kind == JobKind::Array => {
            agent_task.state = exited(ExitCause::Done);
            true
        }
        TaskState::Saving => {
            agent_task.state = TaskState::Exited {
                cause: ExitCause::Stopped,
                saved: true,
            };
            false
        }
        _ => false,
    }
}

/// Gives up on a heartbeat that is not answered in time and turns to the next controller.
fn time_out_heartbeat(agent: &mut Agent, now: Micros) {
    let timed_out = |waiting: (u64, Micros)| now.since(waiting.1) > ANSWER_TIMEOUT;
    if agent.pending_heartbeat.is_some_and(timed_out) {
        agent.pending_heartbeat = None;
        agent.target_node = (agent.target_node + 1) % 3;
        agent.next_heartbeat_at = now.plus(RETRY_BACKOFF);
    }
}

/// Returns whether to send a heartbeat: they are sent one at a time, at an interval, and sooner when
/// something has changed.
fn is_heartbeat_due(agent: &Agent, interval: Micros, now: Micros) -> bool {
    let since_last = now.plus(interval).since(agent.next_heartbeat_at);
    let due =
        now >= agent.next_heartbeat_at || (agent.has_changes && since_last > MIN_HEARTBEAT_SPACING);
    due && agent.pending_heartbeat.is_none()
}

/// Creates the next heartbeat and notes that the agent waits for its answer.
fn begin_heartbeat(agent: &mut Agent, interval: Micros, now: Micros) -> Heartbeat {
    agent.has_changes = false;
    agent.next_heartbeat_at = now.plus(interval);
    let heartbeat = agent.heartbeat();
    agent.pending_heartbeat = Some((heartbeat.sequence, now));
    heartbeat
}
