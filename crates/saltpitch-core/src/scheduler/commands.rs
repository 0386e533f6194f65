//! Commands that bring the tasks of an agent to their desired state: which ones are due, and the direct
//! calls that carry them.

use std::sync::Arc;

use super::{Delivery, Effect, Job, ObservedState, Scheduler};
use crate::agent::{Command, Heartbeat, TaskState, TaskStatus};
use crate::gang::GangState;
use crate::job::{JobKind, JobState};
use crate::machine::Machine;
use crate::time::Micros;

/// The maximum number of commands sent to one machine at a time. Keeps the line of an answer below its size
/// limit.
const MAX_COMMANDS: usize = 200;
/// The minimum interval between direct calls to one machine, so that a call can take effect before it is
/// repeated.
const REPEAT_INTERVAL: Micros = Micros::from_millis(1_500);
/// The delay before the next call after one that was certainly not received.
const NOT_SENT_BACKOFF: Micros = Micros::from_millis(700);
/// The delay before the next call after one whose outcome is unknown.
const UNKNOWN_BACKOFF: Micros = Micros::from_secs(1);

/// How a direct call with commands ended.
#[derive(Clone, Debug)]
pub enum CommandOutcome {
    /// The commands were executed. Holds the agent's status afterwards.
    Executed(Heartbeat),
    /// Nothing was executed, because the fencing token or the epoch did not match. Holds the agent's status.
    Stale(Heartbeat),
    /// The agent certainly did not receive the call.
    NotSent,
    /// There was no answer. The agent may execute the commands at any later time.
    Unknown,
}

/// Commands for an agent, and the fencing token of the message that carries them.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentCommands {
    /// The fencing token.
    pub fencing_token: u64,
    /// The commands, in the order of their execution.
    pub commands: Vec<Command>,
}

/// A direct call with commands whose outcome is not yet known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentCommands {
    /// The machine that was called.
    pub machine: Arc<str>,
    /// The agent's epoch that the commands are for.
    pub agent_epoch: u64,
    /// The fencing token that the commands were sent with.
    pub fencing_token: u64,
    /// Whether the commands include a start.
    pub has_start: bool,
}

impl SentCommands {
    /// Creates the description of a call from the fields of [`Effect::SendCommands`].
    pub fn new(
        machine: Arc<str>,
        agent_epoch: u64,
        fencing_token: u64,
        commands: &[Command],
    ) -> SentCommands {
        let is_start = |command: &Command| matches!(command, Command::Start { .. });
        SentCommands {
            machine,
            agent_epoch,
            fencing_token,
            has_start: commands.iter().any(is_start),
        }
    }
}

impl Scheduler {
    /// Returns the commands that bring the machine's tasks to their desired state, and marks the starts among
    /// them as sent.
    ///
    /// `answered_sequence` is the sequence number of the heartbeat that the commands answer, or `None` for a
    /// direct call.
    pub(super) fn commands_for(
        &mut self,
        name: &Arc<str>,
        answered_sequence: Option<u64>,
    ) -> Vec<Command> {
        let Some(machine) = self.inventory.get(name) else {
            return Vec::new();
        };
        let mut commands = self.commands_for_unowned(machine, answered_sequence.is_some());
        let mut starts = Vec::new();
        for (number, task) in machine.allocations.iter() {
            if commands.len() + starts.len() >= MAX_COMMANDS {
                break;
            }
            let Some(job) = self.job_table.get_mut(number) else {
                continue;
            };
            if let Some(stop) = stop_command(job, task) {
                commands.push(stop);
            } else if may_start(job, task, machine) {
                starts.extend(start_command(job, task, answered_sequence));
            }
        }
        if let (Some(sequence), false) = (answered_sequence, starts.is_empty()) {
            if let Some(machine) = self.inventory.get_mut(name) {
                machine.agent.start_sent(sequence);
            }
        }
        commands.extend(starts);
        commands
    }

    /// Returns commands to stop the tasks that run without an allocation, and to forget the exited tasks
    /// whose outcome is on record.
    fn commands_for_unowned(&self, machine: &Machine, is_answer: bool) -> Vec<Command> {
        if !machine.agent.is_fenced() {
            return Vec::new();
        }
        // No attempt is forgotten while a start may still reach the agent, by a direct call or in an answer
        // that it has not processed yet: the start of a forgotten attempt would run it again. The unused token of
        // the message invalidates late copies of the calls that have ended.
        let start_may_arrive = machine.commands.has_unacknowledged_start()
            || (machine.commands.is_in_flight() && is_answer)
            || machine.agent.may_receive_start();
        let may_forget = !start_may_arrive && self.leader_term.has_unused_token();
        let commands = machine.allocations.unowned().iter().filter_map(|status| {
            let (job, task, attempt) = (status.job.as_str().into(), status.task, status.attempt);
            if !matches!(status.state, TaskState::Exited { .. }) {
                return Some(Command::Stop {
                    job,
                    task,
                    attempt,
                    grace: Micros::ZERO,
                });
            }
            let is_due = is_answer || self.awaits_start(machine, status);
            let forgets = may_forget && is_due && self.is_outcome_recorded(status);
            forgets.then_some(Command::Forget { job, task, attempt })
        });
        commands.take(MAX_COMMANDS).collect()
    }

    /// Returns whether another attempt of the task is to be started on the machine. The agent may refuse the start
    /// while it lists this one.
    fn awaits_start(&self, machine: &Machine, status: &TaskStatus) -> bool {
        let Some(number) = self.job_table.number_of(&status.job) else {
            return false;
        };
        let job = self.job_table.get(number);
        let allocation = job.and_then(|job| job.allocation(status.task));
        machine.allocations.contains(number, status.task)
            && allocation.is_some_and(|allocation| allocation.committed)
    }

    /// Returns the fencing token of a message with these commands, and records that it is sent.
    ///
    /// An agent that forgets an attempt would run it again if it received a copy of a call that started it. The
    /// message therefore carries a token above those of all calls so far, which the agent refuses from then on. In
    /// the same way a start whose call got no answer is invalidated, unless a newer call is in flight.
    pub(super) fn message_token(&mut self, name: &Arc<str>, commands: &[Command]) -> u64 {
        let first_token = self.leader_term.first_token();
        let Some(machine) = self.inventory.get_mut(name) else {
            return first_token;
        };
        let channel = &mut machine.commands;
        let is_forget = |command: &Command| matches!(command, Command::Forget { .. });
        let invalidates_calls = commands.iter().any(is_forget)
            || (channel.has_unacknowledged_start() && !channel.is_in_flight());
        let unused_token = if invalidates_calls {
            self.leader_term.take_token()
        } else {
            None
        };
        let token = unused_token.unwrap_or(channel.fencing_token().max(first_token));
        channel.token_sent(token);
        token
    }

    /// Returns whether the records no longer depend on this exited attempt, so that the agent may forget it.
    fn is_outcome_recorded(&self, status: &TaskStatus) -> bool {
        let Some(number) = self.job_table.number_of(&status.job) else {
            return true;
        };
        if self.persistence.is_task_unsaved(number, status.task)
            || self.persistence.awaits_final_record(number)
        {
            return false;
        }
        let job = self.job_table.get(number);
        let allocation = job.and_then(|job| job.allocation(status.task));
        allocation.is_none_or(|allocation| allocation.attempt != status.attempt)
    }

    /// Sends direct calls to the machines that are due for one, up to the limit on concurrent calls.
    pub(super) fn send_commands(&mut self, now: Micros) {
        self.dispatch.release_delayed(now);
        while self.dispatch.commands_in_flight() < self.config.max_concurrent_calls {
            let Some(name) = self.dispatch.next_pending() else {
                return;
            };
            self.send_commands_to(&name, now);
        }
    }

    fn send_commands_to(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        if machine.commands.is_in_flight() {
            // The outcome of that call leads to another one if commands are still due.
            return;
        }
        if !machine.commands.is_ready(now) {
            self.dispatch
                .request_at(name, machine.commands.next_call_at());
            return;
        }
        if !machine.is_up() || machine.addr.is_empty() {
            return;
        }
        let is_fenced = machine.agent.has_seen_token(self.leader_term.first_token());
        let has_unacknowledged_start = machine.commands.has_unacknowledged_start();
        let commands = self.commands_for(name, None);
        if commands.is_empty() && is_fenced && !has_unacknowledged_start {
            return;
        }
        let fencing_token = self.message_token(name, &commands);
        self.log_commands(name, fencing_token, Delivery::DirectCall, &commands);
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        machine.commands.call_sent(REPEAT_INTERVAL, now);
        self.dispatch.command_sent();
        self.effects.push(Effect::SendCommands {
            machine: name.clone(),
            addr: machine.addr.clone(),
            agent_epoch: machine.agent.epoch(),
            fencing_token,
            commands,
        });
    }

    /// Processes the outcome of an [`Effect::SendCommands`].
    pub fn command_ended(&mut self, sent: &SentCommands, outcome: CommandOutcome, now: Micros) {
        self.dispatch.command_ended();
        self.log_outcome(sent, &outcome);
        let name = &sent.machine;
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        machine.commands.call_ended();
        let is_answered = matches!(
            outcome,
            CommandOutcome::Executed(_) | CommandOutcome::Stale(_)
        );
        let inbound = &mut machine.connectivity.inbound_partition;
        inbound.direct_call_ended(is_answered, heartbeat_freshness, now);
        match outcome {
            CommandOutcome::Executed(status) | CommandOutcome::Stale(status) => {
                self.apply_status(name, status, false, now);
            }
            CommandOutcome::NotSent => {
                machine.commands.back_off(NOT_SENT_BACKOFF, now);
                self.dispatch.request(name);
            }
            CommandOutcome::Unknown => {
                machine.commands.back_off(UNKNOWN_BACKOFF, now);
                if sent.has_start && machine.agent.epoch() == sent.agent_epoch {
                    machine.commands.start_unacknowledged(sent.fencing_token);
                    self.dispatch.await_effect(name);
                }
                self.dispatch.request(name);
            }
        }
        self.inventory.update(name);
    }
}

/// Returns the command to stop the task, if a stop is requested.
fn stop_command(job: &Job, task: u32) -> Option<Command> {
    let allocation = job.allocation(task)?;
    Some(Command::Stop {
        job: job.id.clone(),
        task,
        attempt: allocation.attempt,
        grace: allocation.stop?.grace,
    })
}

/// Returns whether the task may be started: its allocation is on record and for the agent's present epoch,
/// its job is active, its gang is released, and the agent has not listed it yet.
fn may_start(job: &Job, task: u32, machine: &Machine) -> bool {
    let Some(allocation) = job.allocation(task) else {
        return false;
    };
    let is_gang_ready = job.spec.kind != JobKind::Gang || job.gang == GangState::Allowed;
    allocation.committed
        && allocation.observed == ObservedState::Unseen
        && is_gang_ready
        && job.state == JobState::Active
        && allocation.agent_epoch == machine.agent.epoch()
}

/// Returns the command to start the task, and marks the start as sent.
fn start_command(job: &mut Job, task: u32, answered_sequence: Option<u64>) -> Option<Command> {
    let id = job.id.clone();
    let allocation = job.allocation_mut(task)?;
    allocation.start_sent = true;
    if let Some(sequence) = answered_sequence {
        allocation.start_sequence = allocation.start_sequence.max(sequence);
    }
    Some(Command::Start {
        job: id,
        task,
        attempt: allocation.attempt,
    })
}
