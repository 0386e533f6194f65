//! The commands that make machines what they should be, and how direct ones ended.

use std::sync::Arc;

use super::{Effect, ObservedState, Scheduler};
use crate::agent::{Command, Heartbeat, TaskState, TaskStatus};
use crate::gang::Gang;
use crate::job::{JobKind, JobState};
use crate::time::Micros;

/// The most commands sent to one machine at a time: keeps an answer's line below its limit.
const MAX_ORDERS: usize = 200;
/// How long a direct order has to show an effect before it is repeated.
const REPEAT: Micros = Micros::from_millis(1_500);

/// How a direct order ended.
#[derive(Clone, Debug)]
pub enum CommandOutcome {
    /// Executed, with the heartbeat afterwards.
    Executed(Heartbeat),
    /// Not executed: token or epoch did not match.
    Stale(Heartbeat),
    /// Certainly not received.
    NotSent,
    /// No answer: may be executed any time later.
    Unknown,
}

impl Scheduler {
    /// The commands that make this machine what it should be. `answering`: the sequence number of
    /// the heartbeat that they answer; none for direct commands.
    pub(super) fn commands_for(&mut self, name: &Arc<str>, answering: Option<u64>) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(machine) = self.inventory.machines.get(name) else {
            return commands;
        };
        for s in &machine.unowned_tasks {
            if commands.len() >= MAX_ORDERS {
                return commands;
            }
            let job: Arc<str> = s.job.as_str().into();
            if matches!(s.state, TaskState::Exited { .. }) {
                // While a start may still arrive, by a direct order or in an answer that the agent
                // has not taken in yet, no attempt is forgotten: it would start again.
                let pending = machine.unacknowledged_start.is_some()
                    || (machine.command_in_flight && answering.is_some())
                    || machine.last_start_sequence >= machine.last_heartbeat_sequence;
                if !pending && machine.fenced_at.is_some() && self.is_recorded(s) {
                    commands.push(Command::Forget {
                        job,
                        task: s.task,
                        attempt: s.attempt,
                    });
                }
            } else if machine.fenced_at.is_some() {
                commands.push(Command::Stop {
                    job,
                    task: s.task,
                    attempt: s.attempt,
                    grace: Micros::ZERO,
                });
            }
        }
        let mut starts = Vec::new();
        for &(number, task) in &machine.allocations {
            if commands.len() + starts.len() >= MAX_ORDERS {
                break;
            }
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let gang_ready = job.spec.kind != JobKind::Gang || job.gang == Gang::Allowed;
            let Some(allocation) = job.tasks[task as usize].allocation.as_deref_mut() else {
                continue;
            };
            if let Some(stop) = allocation.stop {
                commands.push(Command::Stop {
                    job: job.id.clone(),
                    task,
                    attempt: allocation.attempt,
                    grace: stop.grace,
                });
            } else if allocation.committed
                && allocation.observed == ObservedState::Unseen
                && gang_ready
                && job.state == JobState::Active
                && allocation.agent_epoch == machine.agent_epoch
            {
                allocation.start_sent = true;
                if let Some(sequence) = answering {
                    allocation.start_sequence = allocation.start_sequence.max(sequence);
                }
                starts.push(Command::Start {
                    job: job.id.clone(),
                    task,
                    attempt: allocation.attempt,
                });
            }
        }
        if let (Some(sequence), false) = (answering, starts.is_empty()) {
            if let Some(machine) = self.inventory.machines.get_mut(name) {
                machine.last_start_sequence = machine.last_start_sequence.max(sequence);
            }
        }
        commands.extend(starts);
        commands
    }

    /// Whether nothing on record points to this exited attempt any more.
    pub(super) fn is_recorded(&self, s: &TaskStatus) -> bool {
        let Some(number) = self.job_table.by_id.get(s.job.as_str()) else {
            return true;
        };
        if self.persistence.is_task_unsaved(*number, s.task)
            || self.persistence.awaits_final_record(*number)
        {
            return false;
        }
        let allocation = self
            .job_table
            .jobs
            .get(number)
            .and_then(|job| job.tasks.get(s.task as usize))
            .and_then(|t| t.allocation.as_ref());
        allocation.is_none_or(|p| p.attempt != s.attempt)
    }

    /// Sends direct commands to the machines that need some, a bounded number at a time.
    pub(super) fn send_commands(&mut self, now: Micros) {
        while let Some((due, name)) = self.dispatch.delayed.first().cloned() {
            if due > now {
                break;
            }
            self.dispatch.delayed.pop_first();
            self.dispatch.pending.insert(name);
        }
        while self.dispatch.commands_in_flight < self.config.calls {
            let Some(name) = self.dispatch.pending.pop_first() else {
                return;
            };
            let Some(machine) = self.inventory.machines.get(&name) else {
                continue;
            };
            if machine.command_in_flight || now < machine.next_command_at {
                // Its answer, or the time, brings it back.
                if !machine.command_in_flight {
                    self.dispatch
                        .delayed
                        .insert((machine.next_command_at, name));
                }
                continue;
            }
            if !machine.is_up() || machine.addr.is_empty() {
                continue;
            }
            let unfenced = machine.fencing_token < self.leader_term.term;
            let commands = self.commands_for(&name, None);
            if commands.is_empty() && !unfenced {
                continue;
            }
            let Some(machine) = self.inventory.machines.get_mut(&name) else {
                continue;
            };
            machine.command_in_flight = true;
            machine.next_command_at = now.plus(REPEAT);
            self.dispatch.commands_in_flight += 1;
            self.effects.push(Effect::SendCommands {
                machine: name,
                addr: machine.addr.clone(),
                agent_epoch: machine.agent_epoch,
                fencing_token: self.leader_term.term,
                commands,
            });
        }
    }

    /// The answer to [`Effect::SendCommands`]; `starts`: whether a start was among them.
    pub fn command_ended(
        &mut self,
        name: &Arc<str>,
        agent_epoch: u64,
        fencing_token: u64,
        starts: bool,
        end: CommandOutcome,
        now: Micros,
    ) {
        self.dispatch.commands_in_flight = self.dispatch.commands_in_flight.saturating_sub(1);
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.machines.get_mut(name) else {
            return;
        };
        machine.command_in_flight = false;
        match end {
            CommandOutcome::Executed(r) | CommandOutcome::Stale(r) => {
                machine
                    .inbound_partition
                    .direct_call_ended(true, heartbeat_freshness, now);
                self.apply_status(name, r, false, now);
            }
            CommandOutcome::NotSent => {
                machine
                    .inbound_partition
                    .direct_call_ended(false, heartbeat_freshness, now);
                machine.next_command_at = now.plus(Micros::from_millis(700));
                self.dispatch.pending.insert(name.clone());
            }
            CommandOutcome::Unknown => {
                machine
                    .inbound_partition
                    .direct_call_ended(false, heartbeat_freshness, now);
                machine.next_command_at = now.plus(Micros::from_secs(1));
                if starts && machine.agent_epoch == agent_epoch {
                    machine.unacknowledged_start = Some((fencing_token, now));
                    self.dispatch.awaiting_effect.insert(name.clone());
                }
                self.dispatch.pending.insert(name.clone());
            }
        }
        self.reindex(name);
    }
}
