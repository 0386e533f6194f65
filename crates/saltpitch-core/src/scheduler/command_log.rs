//! A log of the commands that this leader sends to agents: under which fencing token and epoch, in which kind of
//! message, and on what knowledge.

use std::fmt;
use std::sync::Arc;

use super::commands::{CommandOutcome, SentCommands};
use super::{Job, Scheduler};
use crate::agent::{Command, ExitCause, TaskState};
use crate::job::JobState;
use crate::machine::Machine;

/// The most entries that are kept until they are taken. Further ones are only counted.
const MAX_ENTRIES: usize = 4_096;

/// The kind of message that carries commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A direct call. The agent may receive it, or a copy of it, at any later time.
    DirectCall,
    /// The answer to a heartbeat, which is never executed late.
    HeartbeatAnswer,
}

/// The knowledge on which a command was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandReason {
    /// The attempt's allocation is on record, and the agent has not listed the attempt.
    AllocationRecorded,
    /// The attempt's job is cancelled.
    JobCancelled,
    /// The task has to leave the machine: it is preempted, evicted or stopped with its gang.
    StopRequested,
    /// The agent lists the attempt, and no allocation belongs to it.
    NotAllocated,
    /// The agent lists the attempt as exited for this cause, and the outcome is on record.
    Exited(ExitCause),
}

/// A command that was sent, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedCommand {
    /// The command.
    pub command: Command,
    /// The knowledge on which it was sent.
    pub reason: CommandReason,
}

/// Why the commands of a direct call were not executed, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The agent refused the call. It has seen this fencing token and is in this epoch.
    Refused {
        /// The highest token that the agent has seen.
        seen_token: u64,
        /// The agent's epoch.
        agent_epoch: u64,
    },
    /// The agent certainly did not receive the call.
    NotSent,
    /// There was no answer.
    Unanswered,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandLogEntry {
    /// Commands were sent.
    Sent {
        /// The machine.
        machine: Arc<str>,
        /// The agent's epoch.
        agent_epoch: u64,
        /// The sequence number of the newest status of the agent that was known.
        status_sequence: u64,
        /// The fencing token of the message.
        fencing_token: u64,
        /// The kind of message.
        delivery: Delivery,
        /// The commands in the order of their execution.
        commands: Vec<LoggedCommand>,
    },
    /// The commands of a direct call were not executed, or nobody knows.
    CallFailed {
        /// The machine.
        machine: Arc<str>,
        /// The fencing token of the call.
        fencing_token: u64,
        /// What is known of the call.
        failure: CallFailure,
    },
}

/// The entries since they were last taken.
#[derive(Default)]
pub(super) struct CommandLog {
    entries: Vec<CommandLogEntry>,
    dropped: u64,
}

impl CommandLog {
    fn push(&mut self, entry: CommandLogEntry) {
        if self.entries.len() < MAX_ENTRIES {
            self.entries.push(entry);
        } else {
            self.dropped += 1;
        }
    }
}

impl Scheduler {
    /// Returns the entries of the command log since the last call, and how many were dropped because there were too
    /// many.
    pub fn take_command_log(&mut self) -> (Vec<CommandLogEntry>, u64) {
        let CommandLog { entries, dropped } = std::mem::take(&mut self.command_log);
        (entries, dropped)
    }

    /// Adds a message with commands to the log.
    pub(super) fn log_commands(
        &mut self,
        name: &Arc<str>,
        fencing_token: u64,
        delivery: Delivery,
        commands: &[Command],
    ) {
        let Some(machine) = self.inventory.get(name).filter(|_| !commands.is_empty()) else {
            return;
        };
        let logged = commands.iter().map(|command| LoggedCommand {
            command: command.clone(),
            reason: self.reason_of(machine, command),
        });
        let entry = CommandLogEntry::Sent {
            machine: name.clone(),
            agent_epoch: machine.agent.epoch(),
            status_sequence: machine.agent.sequence(),
            fencing_token,
            delivery,
            commands: logged.collect(),
        };
        self.command_log.push(entry);
    }

    /// Adds a direct call that was not executed, as far as is known, to the log.
    pub(super) fn log_outcome(&mut self, sent: &SentCommands, outcome: &CommandOutcome) {
        let failure = match outcome {
            CommandOutcome::Executed(_) => return,
            CommandOutcome::Stale(status) => CallFailure::Refused {
                seen_token: status.fencing_token,
                agent_epoch: status.agent_epoch,
            },
            CommandOutcome::NotSent => CallFailure::NotSent,
            CommandOutcome::Unknown => CallFailure::Unanswered,
        };
        self.command_log.push(CommandLogEntry::CallFailed {
            machine: sent.machine.clone(),
            fencing_token: sent.fencing_token,
            failure,
        });
    }

    /// Returns the knowledge on which a command to this machine is sent.
    fn reason_of(&self, machine: &Machine, command: &Command) -> CommandReason {
        match command {
            Command::Start { .. } => CommandReason::AllocationRecorded,
            Command::Stop {
                job, task, attempt, ..
            } => {
                let job = self.job_table.find(job);
                let is_allocated = |job: &&Job| {
                    let allocation = job.allocation(*task);
                    allocation.is_some_and(|allocation| allocation.attempt == *attempt)
                };
                match job.filter(is_allocated) {
                    None => CommandReason::NotAllocated,
                    Some(job) if job.state == JobState::Cancelled => CommandReason::JobCancelled,
                    Some(_) => CommandReason::StopRequested,
                }
            }
            Command::Forget { job, task, attempt } => {
                let mut unowned = machine.allocations.unowned().iter();
                let status = unowned.find(|status| {
                    (&*status.job, status.task, status.attempt) == (&**job, *task, *attempt)
                });
                match status.map(|status| status.state) {
                    Some(TaskState::Exited { cause, .. }) => CommandReason::Exited(cause),
                    _ => CommandReason::NotAllocated,
                }
            }
        }
    }
}

impl fmt::Display for CommandReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandReason::AllocationRecorded => f.write_str("on record"),
            CommandReason::JobCancelled => f.write_str("job cancelled"),
            CommandReason::StopRequested => f.write_str("has to leave"),
            CommandReason::NotAllocated => f.write_str("not allocated"),
            CommandReason::Exited(cause) => write!(f, "exited: {cause:?}"),
        }
    }
}

impl fmt::Display for LoggedCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.command {
            Command::Start { job, task, attempt } => write!(f, "start {job}/{task}@{attempt}")?,
            Command::Stop {
                job,
                task,
                attempt,
                grace,
            } => {
                let grace = grace.as_secs_f64();
                write!(f, "stop {job}/{task}@{attempt} within {grace:.0} s")?;
            }
            Command::Forget { job, task, attempt } => write!(f, "forget {job}/{task}@{attempt}")?,
        }
        match self.reason {
            CommandReason::AllocationRecorded => Ok(()),
            reason => write!(f, " ({reason})"),
        }
    }
}

impl fmt::Display for CommandLogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandLogEntry::Sent {
                machine,
                agent_epoch,
                status_sequence,
                fencing_token,
                delivery,
                commands,
            } => {
                let delivery = match delivery {
                    Delivery::DirectCall => "call",
                    Delivery::HeartbeatAnswer => "answer",
                };
                write!(
                    f,
                    "{delivery} to {machine} token {fencing_token} epoch {agent_epoch} status {status_sequence}:"
                )?;
                for (index, command) in commands.iter().enumerate() {
                    let separator = if index == 0 { " " } else { ", " };
                    write!(f, "{separator}{command}")?;
                }
                Ok(())
            }
            CommandLogEntry::CallFailed {
                machine,
                fencing_token,
                failure,
            } => {
                write!(f, "call to {machine} token {fencing_token}: ")?;
                match failure {
                    CallFailure::Refused {
                        seen_token,
                        agent_epoch,
                    } => write!(f, "refused at token {seen_token} epoch {agent_epoch}"),
                    CallFailure::NotSent => f.write_str("not sent"),
                    CallFailure::Unanswered => f.write_str("no answer"),
                }
            }
        }
    }
}
