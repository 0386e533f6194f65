//! The commands that bring an agent's tasks to what they should be: which ones, how direct calls with them
//! are sent and repeated, and how these ended.

use std::sync::Arc;

use super::job_table::JobTable;
use super::{Allocation, Effect, Job, ObservedState, Scheduler, SchedulerConfig};
use crate::agent::{Command, Heartbeat, TaskState, TaskStatus};
use crate::gang::Gang;
use crate::job::{JobKind, JobNumber, JobState};
use crate::machine::Machine;
use crate::time::Micros;

/// The most commands sent to one machine at a time: keeps an answer's line below its limit.
const MAX_COMMANDS: usize = 200;
/// How long a direct call has to show an effect before it is repeated.
const REPEAT_INTERVAL: Micros = Micros::from_millis(1_500);
/// How long to wait before the next call after one that was not received.
const NOT_SENT_BACKOFF: Micros = Micros::from_millis(700);
/// How long to wait before the next call after one that was not answered.
const UNKNOWN_BACKOFF: Micros = Micros::from_secs(1);
/// A start that is unacknowledged for longer is ended by raising the term.
const ACKNOWLEDGEMENT_WAIT: Micros = Micros::from_secs(6);

/// How a direct call with commands ended.
#[derive(Clone, Debug)]
pub enum CommandOutcome {
    /// The commands were executed; the agent's status afterwards.
    Executed(Heartbeat),
    /// Nothing was executed, since the fencing token or the epoch did not match; the agent's status.
    Stale(Heartbeat),
    /// The call was certainly not received.
    NotSent,
    /// There was no answer: the commands may be executed any time later.
    Unknown,
}

/// Which machines need another call, by what was sent to them before.
#[derive(Default)]
struct RetryFindings {
    /// Every command has shown its effect.
    settled: Vec<Arc<str>>,
    /// Commands are to be sent once more.
    retried: Vec<Arc<str>>,
    /// The term is to be raised: an agent that has seen the new one ignores earlier starts.
    term_outdated: bool,
}

impl Scheduler {
    /// The commands that bring this machine's tasks to what they should be. `answering`: the sequence number
    /// of the heartbeat that they answer; none for a direct call.
    pub(super) fn commands_for(&mut self, name: &Arc<str>, answering: Option<u64>) -> Vec<Command> {
        let Some(machine) = self.inventory.get(name) else {
            return Vec::new();
        };
        let mut commands = self.commands_for_unowned(machine, answering.is_some());
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
                starts.extend(start_command(job, task, answering));
            }
        }
        if let (Some(sequence), false) = (answering, starts.is_empty()) {
            if let Some(machine) = self.inventory.get_mut(name) {
                machine.agent.start_answered(sequence);
            }
        }
        commands.extend(starts);
        commands
    }

    /// Stops for tasks that run without an allocation, and which exited ones the agent may forget.
    fn commands_for_unowned(&self, machine: &Machine, is_answer: bool) -> Vec<Command> {
        if !machine.agent.is_fenced() {
            return Vec::new();
        }
        // While a start may still arrive, by a direct call or in an answer that the agent has not taken in
        // yet, no attempt is forgotten: it would start again.
        let start_may_arrive = machine.commands.has_unacknowledged_start()
            || (machine.commands.is_in_flight() && is_answer)
            || machine.agent.may_receive_start();
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
            let may_forget = !start_may_arrive && self.is_outcome_recorded(status);
            may_forget.then_some(Command::Forget { job, task, attempt })
        });
        commands.take(MAX_COMMANDS).collect()
    }

    /// Whether the records no longer depend on this attempt, which has exited.
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

    /// Sends direct calls to the machines that need some, a bounded number at a time.
    pub(super) fn send_commands(&mut self, now: Micros) {
        self.dispatch.release_delayed(now);
        while self.dispatch.commands_in_flight() < self.config.calls {
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
            // The answer brings the machine back.
            return;
        }
        if !machine.commands.is_ready(now) {
            self.dispatch.request_at(name, machine.commands.next_at());
            return;
        }
        if !machine.is_up() || machine.addr.is_empty() {
            return;
        }
        let term = self.leader_term.term;
        let has_seen_term = machine.agent.has_seen_token(term);
        let commands = self.commands_for(name, None);
        if commands.is_empty() && has_seen_term {
            return;
        }
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        machine.commands.sent(REPEAT_INTERVAL, now);
        self.dispatch.command_sent();
        self.effects.push(Effect::SendCommands {
            machine: name.clone(),
            addr: machine.addr.clone(),
            agent_epoch: machine.agent.epoch(),
            fencing_token: term,
            commands,
        });
    }

    /// The answer to [`Effect::SendCommands`]; `starts`: whether a start was among them.
    pub fn command_ended(
        &mut self,
        name: &Arc<str>,
        agent_epoch: u64,
        fencing_token: u64,
        starts: bool,
        outcome: CommandOutcome,
        now: Micros,
    ) {
        self.dispatch.command_ended();
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        machine.commands.ended();
        let is_answered = matches!(
            outcome,
            CommandOutcome::Executed(_) | CommandOutcome::Stale(_)
        );
        let inbound = &mut machine.connectivity.inbound;
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
                if starts && machine.agent.epoch() == agent_epoch {
                    machine.commands.start_unacknowledged(fencing_token, now);
                    self.dispatch.await_effect(name);
                }
                self.dispatch.request(name);
            }
        }
        self.inventory.update(name);
    }

    /// Repeats commands that show no effect, and ends starts that stay unacknowledged.
    pub(super) fn retry_unacknowledged(&mut self, now: Micros) {
        let findings = self.check_awaited_effects(now);
        for name in &findings.settled {
            self.dispatch.effect_seen(name);
        }
        for name in &findings.retried {
            self.dispatch.request(name);
        }
        if findings.term_outdated && !self.leader_term.raise_in_flight {
            self.leader_term.raise_in_flight = true;
            self.effects.push(Effect::RaiseTerm);
        }
    }

    fn check_awaited_effects(&mut self, now: Micros) -> RetryFindings {
        let mut findings = RetryFindings::default();
        for name in self.dispatch.awaiting_effect() {
            self.steps += 1;
            let machine = self.inventory.get(name);
            let Some(machine) = machine.filter(|machine| !machine.allocations.is_empty()) else {
                findings.settled.push(name.clone());
                continue;
            };
            findings.term_outdated |= needs_higher_term(machine, self.leader_term.term, now);
            let awaits_effect = has_awaited_tasks(machine, &mut self.job_table, &self.config, now)
                || machine.commands.has_unacknowledged_start();
            if !awaits_effect {
                findings.settled.push(name.clone());
            } else if machine.is_up() && machine.commands.is_ready(now) {
                findings.retried.push(name.clone());
            }
        }
        findings
    }
}

fn stop_command(job: &Job, task: u32) -> Option<Command> {
    let allocation = job.allocation(task)?;
    Some(Command::Stop {
        job: job.id.clone(),
        task,
        attempt: allocation.attempt,
        grace: allocation.stop?.grace,
    })
}

/// Whether the task's allocation is on record and nothing else speaks against its start.
fn may_start(job: &Job, task: u32, machine: &Machine) -> bool {
    let Some(allocation) = job.allocation(task) else {
        return false;
    };
    let is_gang_ready = job.spec.kind != JobKind::Gang || job.gang == Gang::Allowed;
    allocation.committed
        && allocation.observed == ObservedState::Unseen
        && is_gang_ready
        && job.state == JobState::Active
        && allocation.agent_epoch == machine.agent.epoch()
}

/// The start of a task, which is marked as sent.
fn start_command(job: &mut Job, task: u32, answering: Option<u64>) -> Option<Command> {
    let id = job.id.clone();
    let allocation = job.allocation_mut(task)?;
    allocation.start_sent = true;
    if let Some(sequence) = answering {
        allocation.start_sequence = allocation.start_sequence.max(sequence);
    }
    Some(Command::Start {
        job: id,
        task,
        attempt: allocation.attempt,
    })
}

/// Whether a start has been unacknowledged for so long that the term is raised for it. One that the agent
/// should ignore already, since the term was raised after it was sent, is no reason to raise it again.
fn needs_higher_term(machine: &Machine, term: u64, now: Micros) -> bool {
    let Some(start) = machine.commands.unacknowledged_start() else {
        return false;
    };
    machine.is_up()
        && !machine.connectivity.is_unresponsive()
        && !machine.connectivity.inbound.is_suspected()
        && now.since(start.since) > ACKNOWLEDGEMENT_WAIT
        && start.fencing_token >= term
}

/// Whether stops or starts on this machine have yet to show an effect. Tasks that take longer to save than
/// they were given are stopped at once.
fn has_awaited_tasks(
    machine: &Machine,
    job_table: &mut JobTable,
    config: &SchedulerConfig,
    now: Micros,
) -> bool {
    let mut has_awaited = false;
    for (number, task) in machine.allocations.iter() {
        let allocation = allocation_mut(job_table, number, task);
        let Some(allocation) = allocation else {
            continue;
        };
        if let Some(stop) = allocation.stop.as_mut() {
            has_awaited = true;
            let margin = config.gang_peer.plus(config.heartbeat_interval);
            if now.since(stop.since) > stop.grace.plus(margin) {
                stop.grace = Micros::ZERO;
            }
        } else if allocation.committed && allocation.observed == ObservedState::Unseen {
            has_awaited = true;
        }
    }
    has_awaited
}

fn allocation_mut(
    job_table: &mut JobTable,
    number: JobNumber,
    task: u32,
) -> Option<&mut Allocation> {
    job_table.get_mut(number)?.allocation_mut(task)
}
