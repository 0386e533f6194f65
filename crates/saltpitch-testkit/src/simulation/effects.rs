//! The effects of the schedulers: transactions, direct commands, probes, scale-out and scale-in.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng;
use saltpitch_core::agent::Command;
use saltpitch_core::records::TERM_KEY;
use saltpitch_core::scheduler::{
    CommandOutcome, Effect, ScaleOutOutcome, SentCommands, Transaction, TransactionOutcome,
};
use saltpitch_core::Micros;

use super::cloud::ScaleOutRequest;
use super::{Simulation, UserJob};
use crate::agents::Agent;
use crate::invariants::{Invariant, InvariantViolation};

/// A controller that has no answer from the store or from an agent within this time treats the outcome
/// as unknown.
const ANSWER_TIMEOUT: Micros = Micros::from_millis(1_500);
/// How long the store takes to refuse a transaction above its rate limit.
const REFUSAL_DELAY: Micros = Micros::from_millis(5);
/// How long the cloud takes to answer.
const CLOUD_ANSWER_DELAY: Micros = Micros::from_millis(100);
/// How long a controller waits for the cloud when the answer is lost.
const CLOUD_TIMEOUT: Micros = Micros::from_secs(4);

/// Commands sent directly to a machine, not in the answer to a heartbeat.
pub(super) struct DirectCommands {
    pub(super) machine: Arc<str>,
    agent_epoch: u64,
    fencing_token: u64,
    commands: Vec<Command>,
}

/// When a transaction is applied, and whether its answer is lost.
struct TransactionDelivery {
    applied_after: Micros,
    answer_lost: bool,
}

impl Simulation {
    /// Carries out an effect that a scheduler requested in this epoch.
    pub(super) fn carry_out(&mut self, node_index: usize, epoch: u64, effect: Effect) {
        self.trace.effect(node_index, &effect, self.now);
        match effect {
            Effect::Commit(transaction) => self.send_transaction(node_index, epoch, transaction),
            Effect::ReloadRecords => {
                let delay = self.draw_delay();
                self.schedule_after(delay, move |simulation| {
                    simulation.reload_records(node_index, epoch)
                });
            }
            Effect::SendCommands {
                machine,
                agent_epoch,
                fencing_token,
                commands,
                ..
            } => {
                let direct = DirectCommands {
                    machine,
                    agent_epoch,
                    fencing_token,
                    commands,
                };
                self.send_commands(node_index, epoch, direct);
            }
            Effect::Probe { machine, .. } => {
                let delay = self.draw_delay();
                self.schedule_after(delay, move |simulation| {
                    simulation.probe(node_index, epoch, machine)
                });
            }
            Effect::ScaleOut {
                request,
                type_name,
                zone,
                spot,
                count,
            } => {
                let request = ScaleOutRequest {
                    id: request,
                    type_name,
                    zone,
                    spot,
                    count,
                };
                self.send_scale_out(node_index, epoch, request);
            }
            Effect::ScaleIn { names } => self.send_scale_in(node_index, epoch, names),
            Effect::RaiseTerm => self.raise_term(node_index, epoch),
        }
    }

    /// Probes a machine: asks it for a heartbeat.
    fn probe(&mut self, node_index: usize, epoch: u64, machine: Arc<str>) {
        let partitioned = self.partitioned_for(node_index, &machine);
        let unreachable = partitioned.max(self.inbound_partitioned_for(&machine)) > Micros::ZERO;
        let now = self.now;
        let heartbeat = self
            .agents
            .get_mut(&*machine)
            .filter(|agent| !unreachable && agent.is_up(now))
            .map(Agent::heartbeat);
        let Some(heartbeat) = heartbeat else {
            return self.notify_scheduler(node_index, epoch, move |scheduler, now| {
                scheduler.probe_failed(&machine, now)
            });
        };
        let delay = self.draw_delay();
        self.schedule_after(delay, move |simulation| {
            simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                scheduler.probe_answered(heartbeat, now)
            });
        });
    }

    /// Sends a scale-out request. The cloud's answer may be lost after the machines are provisioned.
    fn send_scale_out(&mut self, node_index: usize, epoch: u64, request: ScaleOutRequest) {
        let lost = self.faults.lost_answers && self.random_below(8) == 0;
        let delay = self.draw_delay();
        let request = Arc::new(request);
        self.schedule_after(delay, move |simulation| {
            let outcome = simulation.scale_out(&request);
            if let ScaleOutOutcome::Machines(_) = outcome {
                simulation.copy_scale_out(&request);
            }
            let (outcome, wait) = if lost {
                (ScaleOutOutcome::Unknown, CLOUD_TIMEOUT)
            } else {
                (outcome, CLOUD_ANSWER_DELAY)
            };
            simulation.schedule_after(wait, move |simulation| {
                simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                    scheduler.scale_out_ended(&request.id, outcome, now)
                });
            });
        });
    }

    fn send_scale_in(&mut self, node_index: usize, epoch: u64, names: Vec<Arc<str>>) {
        let delay = Micros::from_millis(100 + self.random_below(3_000));
        self.schedule_after(delay, move |simulation| {
            simulation.scale_in(&names);
            simulation.copy_scale_in(&names);
            simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                scheduler.scale_in_confirmed(&names, now)
            });
        });
    }

    fn raise_term(&mut self, node_index: usize, epoch: u64) {
        let node = &self.nodes[node_index];
        let Some(increment) = node.controller.term_increment(node.controller.epoch()) else {
            return;
        };
        let outcome = if node.can_reach_store(&self.store, self.now) {
            self.apply_transaction(&increment.transaction, None)
        } else {
            TransactionOutcome::Unavailable
        };
        let delay = self.draw_delay();
        self.schedule_after(delay, move |simulation| {
            simulation.notify_scheduler(node_index, epoch, move |scheduler, _| match outcome {
                TransactionOutcome::Committed(revision) => {
                    scheduler.term_raised(increment.term, revision)
                }
                _ => scheduler.term_raise_failed(),
            });
        });
    }

    fn reload_records(&mut self, node_index: usize, epoch: u64) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let pause = node.remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.reload_records(node_index, epoch)
            });
        }
        if node.epoch() != epoch || !node.is_up(now) {
            return;
        }
        if self.are_reads_delayed() {
            let process = self.process(node_index);
            return self.when_freshly_read(process, move |simulation, is_read| {
                if simulation.nodes[node_index].epoch() == epoch {
                    simulation.records_reloaded(node_index, is_read);
                }
            });
        }
        let node = &mut self.nodes[node_index];
        let reaches_store = node.can_reach_store(&self.store, now);
        if reaches_store {
            node.read_records(&self.store, now);
        }
        self.records_reloaded(node_index, reaches_store);
    }

    fn records_reloaded(&mut self, node_index: usize, succeeded: bool) {
        let now = self.now;
        let controller = &mut self.nodes[node_index].controller;
        controller.records_reloaded(controller.epoch(), succeeded, now, now);
        self.poll(node_index);
    }

    /// Sends a transaction to the store. It may be applied late, and its answer may be lost.
    fn send_transaction(&mut self, node_index: usize, epoch: u64, transaction: Transaction) {
        let partition_ends_at = self.nodes[node_index].store_partition_until;
        if self.now < partition_ends_at {
            let remaining_partition = partition_ends_at.since(self.now);
            self.schedule_after(remaining_partition, move |simulation| {
                simulation.apply_transaction(&transaction, None);
            });
            return self.transaction_outcome_unknown(node_index, epoch);
        }
        if self.faults.lost_answers && self.random_below(20) == 0 {
            // The store refuses transactions above its rate limit.
            return self.schedule_after(REFUSAL_DELAY, move |simulation| {
                simulation.transaction_answered(node_index, epoch, TransactionOutcome::Unavailable)
            });
        }
        let delivery = self.draw_transaction_delivery();
        if delivery.answer_lost {
            self.transaction_outcome_unknown(node_index, epoch);
        }
        self.schedule_after(delivery.applied_after, move |simulation| {
            let outcome = simulation.apply_transaction(&transaction, None);
            if delivery.answer_lost {
                return;
            }
            let delay = simulation.draw_delay();
            simulation.schedule_after(delay, move |simulation| {
                simulation.handle_term_conflict(node_index, epoch, &outcome);
                simulation.transaction_answered(node_index, epoch, outcome);
            });
        });
    }

    /// Applies a transaction whose preconditions hold. Late copies of it may follow.
    pub(super) fn apply_transaction(
        &mut self,
        transaction: &Transaction,
        lease: Option<(u64, &'static str)>,
    ) -> TransactionOutcome {
        let Transaction {
            preconditions,
            writes,
        } = transaction;
        let outcome = self.store.txn(preconditions, writes, lease);
        if let TransactionOutcome::Committed(_) = outcome {
            self.copy_transaction(transaction, lease);
        }
        outcome
    }

    /// Draws whether a transaction is overtaken by newer ones and whether its answer is lost.
    fn draw_transaction_delivery(&mut self) -> TransactionDelivery {
        let may_be_delayed = self.faults.delayed_writes && self.now < self.faults_end_at;
        let overtaken =
            self.now < self.delayed_writes_until || (may_be_delayed && self.random_below(12) == 0);
        let answer_lost = overtaken || (self.faults.lost_answers && self.random_below(15) == 0);
        let applied_after = if overtaken {
            2_000 + self.random_below(10_000)
        } else if answer_lost {
            self.random_below(8_000)
        } else {
            self.random_below(30)
        };
        TransactionDelivery {
            applied_after: Micros::from_millis(applied_after),
            answer_lost,
        }
    }

    fn transaction_outcome_unknown(&mut self, node_index: usize, epoch: u64) {
        self.schedule_after(ANSWER_TIMEOUT, move |simulation| {
            simulation.transaction_answered(node_index, epoch, TransactionOutcome::Unknown)
        });
    }

    fn transaction_answered(&mut self, node_index: usize, epoch: u64, outcome: TransactionOutcome) {
        self.notify_scheduler(node_index, epoch, move |scheduler, now| {
            scheduler.transaction_ended(outcome, now)
        });
    }

    /// Ends this controller's leadership on a conflict on the term, which means that another one leads.
    fn handle_term_conflict(
        &mut self,
        node_index: usize,
        epoch: u64,
        outcome: &TransactionOutcome,
    ) {
        let TransactionOutcome::Conflict(keys) = outcome else {
            return;
        };
        let is_deposed = keys.iter().any(|key| key == TERM_KEY);
        if is_deposed && self.nodes[node_index].epoch() == epoch {
            let controller = &mut self.nodes[node_index].controller;
            controller.term_conflict(controller.epoch());
        }
    }

    /// Sends direct commands. The agent may execute them long after the sender's timeout.
    fn send_commands(&mut self, node_index: usize, epoch: u64, direct: DirectCommands) {
        let sent = SentCommands::new(
            direct.machine.clone(),
            direct.agent_epoch,
            direct.fencing_token,
            &direct.commands,
        );
        let partitioned = self.partitioned_for(node_index, &direct.machine);
        let inbound = self.inbound_partitioned_for(&direct.machine);
        let agent = self.agents.get(&*direct.machine);
        let hung = agent.map_or(Micros::ZERO, |agent| agent.hung_until.since(self.now));
        let lost = self.faults.lost_answers && self.random_below(15) == 0;
        let travel = if lost {
            Micros::from_millis(self.random_below(20_000))
        } else {
            self.draw_delay()
        };
        let arrives_after = partitioned.max(inbound).max(hung).plus(travel);
        let unanswered = lost || arrives_after > ANSWER_TIMEOUT;
        if unanswered {
            let sent = sent.clone();
            self.schedule_after(ANSWER_TIMEOUT, move |simulation| {
                simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                    scheduler.command_ended(&sent, CommandOutcome::Unknown, now);
                });
            });
        }
        let direct = Arc::new(direct);
        self.schedule_after(arrives_after, move |simulation| {
            let outcome = simulation.commands_arrive(&direct);
            if let Some(CommandOutcome::Executed(_)) = outcome {
                simulation.copy_commands(&direct);
            }
            let Some(outcome) = outcome.filter(|_| !unanswered) else {
                return;
            };
            let delay = simulation.draw_delay();
            simulation.schedule_after(delay, move |simulation| {
                simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                    scheduler.command_ended(&sent, outcome, now);
                });
            });
        });
    }

    /// Lets the agent execute direct commands, unless they are for another agent epoch or from an earlier
    /// term.
    pub(super) fn commands_arrive(&mut self, direct: &DirectCommands) -> Option<CommandOutcome> {
        let now = self.now;
        let machine = &*direct.machine;
        let agent = self.agents.get_mut(machine)?;
        if !agent.is_up(now) {
            return None;
        }
        if agent.agent_epoch != direct.agent_epoch || !agent.accept_token(direct.fencing_token) {
            return Some(CommandOutcome::Stale(agent.heartbeat()));
        }
        self.execute(machine, &direct.commands);
        let agent = self.agents.get_mut(machine)?;
        Some(CommandOutcome::Executed(agent.heartbeat()))
    }

    /// Lets an agent execute commands. Starts before the job's dependencies are done, or too late after its
    /// cancellation, are noted for the invariants.
    pub(super) fn execute(&mut self, machine: &str, commands: &[Command]) {
        if !self.agents.contains_key(machine) {
            return;
        }
        for command in commands {
            if let Command::Start { job, task, attempt } = command {
                self.check_start(machine, job, *task);
                self.check_attempt(machine, job, *task, *attempt);
            }
        }
        let now = self.now;
        let Simulation {
            agents, jobs, rng, ..
        } = self;
        let spec_of = |id: &str| jobs.get(id).map(|job| job.spec.clone());
        let mut random_below = |n: u64| rng.random_range(0..n.max(1));
        if let Some(agent) = agents.get_mut(machine) {
            agent.execute(commands, &spec_of, &mut random_below, now);
        }
    }

    fn check_start(&mut self, machine: &str, job: &str, task: u32) {
        let Some(known) = self.jobs.get(job) else {
            return;
        };
        for dependency in &known.spec.dependencies {
            if !is_complete(&self.jobs, &self.completed_tasks, dependency) {
                let text =
                    format!("{job}/{task} started on {machine} before {dependency} was done");
                let violation = InvariantViolation::new(Invariant::StartBeforeDependencies, text);
                self.early_start = Some(violation.of_job(job).on_machine(machine));
            }
        }
        let cancelled_at = known.cancelled_at.or(known.dependency_cancelled_at);
        if cancelled_at.is_some_and(|at| self.now.since(at) > self.times.cancel_timeout) {
            let text =
                format!("{job}/{task} started on {machine} after the job's cancellation timeout");
            let violation = InvariantViolation::new(Invariant::RunsAfterCancellation, text);
            self.late_start = Some(violation.of_job(job).on_machine(machine));
        }
    }

    fn check_attempt(&mut self, machine: &str, job: &str, task: u32, attempt: u32) {
        let key = ((job.to_owned(), task), attempt);
        let agent = self.agents.get(machine);
        if agent.is_some_and(|agent| agent.forgotten_attempts.contains(&key)) {
            let text = format!("{job}/{task} attempt {attempt} was forgotten by {machine}");
            let violation = InvariantViolation::new(Invariant::StartAfterForget, text);
            self.repeated_start = Some(violation.of_job(job).on_machine(machine));
        }
    }
}

/// Returns whether all tasks of a job have completed. A job that nobody submitted has no tasks to wait for.
fn is_complete(
    jobs: &BTreeMap<String, UserJob>,
    done: &BTreeMap<String, BTreeSet<u32>>,
    id: &str,
) -> bool {
    let tasks = jobs.get(id).map_or(0, |job| job.spec.tasks as usize);
    done.get(id).map_or(0, BTreeSet::len) >= tasks
}
