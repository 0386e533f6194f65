//! Users who ask every controller about the newest jobs and cancel some of them, while the reads of the records take
//! time. No answer may be older than what any controller has told a user before the question.

use std::collections::BTreeMap;
use std::ops::Range;

use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, CancelStep, JobRecord, JobWrite};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

use super::store_access::{read_job, Process, Reader};
use super::Simulation;
use crate::invariants::{Invariant, InvariantViolation};

/// How many of the newest jobs users ask about.
const NEWEST_JOBS: usize = 4;
/// The pause between two questions at one controller, in milliseconds.
const QUESTION_INTERVAL_MS: Range<u64> = 5..40;
/// For how long users still ask after the last fault.
const ASKED_AFTER_FAULTS: Micros = Micros::from_secs(20);
/// How often a controller looks for a job, as in the program.
const MAX_ATTEMPTS: u32 = 3;
/// One in so many questions is a cancellation.
const CANCELLED_ONE_IN: usize = 150;

/// What users were told.
#[derive(Default)]
pub(super) struct Questions {
    /// The newest state that users were told of each job; active for an accepted one.
    told: BTreeMap<String, JobState>,
    /// The jobs in the order of their acceptance.
    accepted: Vec<String>,
    /// The last answer that was older than an earlier one.
    stale_answer: Option<InvariantViolation>,
}

/// A controller's answer about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The job is in this state.
    State(JobState),
    /// No such job was accepted.
    NeverAccepted,
    /// The controller cannot tell now.
    Unavailable,
}

/// A user's question, and what users had been told about the job before it.
struct Question {
    process: Process,
    id: String,
    told: Option<JobState>,
}

type WhenAnswered = Box<dyn FnOnce(&mut Simulation, Answer)>;

impl Simulation {
    /// Returns the last answer that was older than an earlier one.
    pub fn stale_answer(&self) -> Option<&InvariantViolation> {
        self.questions.stale_answer.as_ref()
    }

    /// Notes that a user was told that a job is accepted.
    pub(super) fn told_accepted(&mut self, id: &str) {
        let questions = &mut self.questions;
        if !questions.told.contains_key(id) {
            questions.told.insert(id.to_owned(), JobState::Active);
            questions.accepted.push(id.to_owned());
        }
    }

    /// Notes that a user was told this state of a job.
    fn told(&mut self, id: &str, state: JobState) {
        if state.is_final() {
            self.questions.told.insert(id.to_owned(), state);
        }
    }

    /// Lets a user ask a controller about the newest jobs, and cancel some of them, until a while after the faults.
    pub(super) fn ask_again_and_again(&mut self, node_index: usize) {
        if self.now > self.faults_end_at.plus(ASKED_AFTER_FAULTS) {
            return;
        }
        self.ask_about_newest_job(node_index);
        let pause = self.store_access.draw_ms(QUESTION_INTERVAL_MS);
        self.schedule_after(pause, move |simulation| {
            simulation.ask_again_and_again(node_index)
        });
    }

    fn ask_about_newest_job(&mut self, node_index: usize) {
        let back = self.store_access.random_below(NEWEST_JOBS);
        let cancels = self.store_access.random_below(CANCELLED_ONE_IN) == 0;
        let mut newest = self.questions.accepted.iter().rev();
        let Some(id) = newest.nth(back).cloned() else {
            return;
        };
        let process = self.process(node_index);
        let node = &self.nodes[node_index];
        let is_serving =
            node.controller.is_synced() && node.remaining_pause(self.now) == Micros::ZERO;
        if !self.is_process_up(process) || !is_serving {
            return;
        }
        if cancels && self.now < self.faults_end_at {
            self.abort(process, id);
        } else {
            self.ask(process, id);
        }
    }

    fn ask(&mut self, process: Process, id: String) {
        let told = self.questions.told.get(&id).copied();
        let question = Question { process, id, told };
        let id = question.id.clone();
        let then = move |simulation: &mut Simulation, answer| {
            simulation.check_answer(&question, answer);
        };
        self.find_job(process, id, MAX_ATTEMPTS, Box::new(then));
    }

    /// Compares an answer with what users had been told before the question.
    fn check_answer(&mut self, question: &Question, answer: Answer) {
        let Question { process, id, told } = question;
        let name = &self.nodes[process.node_index].name;
        let violation = match (told, answer) {
            (_, Answer::Unavailable) => return,
            (Some(told), Answer::NeverAccepted) => {
                let text = format!("{name} answers that {id} was never accepted, after {told:?}");
                Some((Invariant::JobLost, text))
            }
            (Some(told), Answer::State(state)) if told.is_final() && state != *told => {
                let text = format!("{name} answers that {id} is {state:?}, after {told:?}");
                Some((Invariant::StateReverted, text))
            }
            _ => None,
        };
        self.store_access.counts.answers += 1;
        if let Some((invariant, text)) = violation {
            let violation = InvariantViolation::new(invariant, text);
            self.questions.stale_answer = Some(violation.of_job(id));
        }
        if let Answer::State(state) = answer {
            self.told(id, state);
        }
    }

    /// Finds a job's state as the program does: a final state in memory, otherwise one that is at least as new as the
    /// question.
    fn find_job(&mut self, process: Process, id: String, attempts: u32, then: WhenAnswered) {
        let records = self.nodes[process.node_index].records();
        let in_memory = records.job_state(&id);
        if let Some(state) = in_memory.filter(|state| state.is_final()) {
            return then(self, Answer::State(state));
        }
        if attempts == 0 {
            return then(self, Answer::Unavailable);
        }
        if in_memory.is_some() || records.ended_jobs().is_complete() {
            return self.find_in_latest_records(process, id, attempts, then);
        }
        let key = id.clone();
        self.request(
            process,
            Reader::Request,
            move |store| read_job(store, key),
            move |simulation, read| {
                let Some(read) = read else {
                    return then(simulation, Answer::Unavailable);
                };
                let Some((record, _)) = &read.record else {
                    return then(simulation, Answer::NeverAccepted);
                };
                match serde_json::from_str::<JobRecord>(record.get()) {
                    Ok(record) if record.is_final() => {
                        then(simulation, Answer::State(record.state))
                    }
                    Ok(_) => simulation.find_in_latest_records(process, id, attempts, then),
                    Err(_) => then(simulation, Answer::Unavailable),
                }
            },
        );
    }

    fn find_in_latest_records(
        &mut self,
        process: Process,
        id: String,
        attempts: u32,
        then: WhenAnswered,
    ) {
        self.when_freshly_read(process, move |simulation, is_read| {
            if !is_read {
                return then(simulation, Answer::Unavailable);
            }
            let records = simulation.nodes[process.node_index].records();
            match records.job_state(&id) {
                Some(state) => then(simulation, Answer::State(state)),
                None if records.ended_jobs().is_complete() => {
                    then(simulation, Answer::NeverAccepted)
                }
                None => simulation.find_job(process, id, attempts - 1, then),
            }
        });
    }

    /// Cancels a job at a controller. Its transaction and the answer to it take time.
    fn abort(&mut self, process: Process, id: String) {
        let told = self.questions.told.get(&id).copied();
        let question = Question { process, id, told };
        let id = question.id.clone();
        let then = move |simulation: &mut Simulation, answer| {
            simulation.check_answer(&question, answer);
            if answer == Answer::State(JobState::Active) {
                simulation.write_cancellation(process, question.id);
            }
        };
        self.find_job(process, id, MAX_ATTEMPTS, Box::new(then));
    }

    /// Writes a job's cancellation on condition that its record is the one in memory.
    fn write_cancellation(&mut self, process: Process, id: String) {
        let Some(entry) = self.nodes[process.node_index].records().jobs.get(&id) else {
            return;
        };
        let CancelStep::Confirm(record) = entry.record.cancel_step() else {
            return;
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        let transaction = Transaction {
            preconditions: vec![Precondition::new(job_key(&id), entry.revision)],
            writes: vec![Write {
                key: job_key(&id),
                value: Some(value.clone()),
            }],
        };
        let delay = Micros::from_millis(1 + self.store_access.random_below(8) as u64);
        self.schedule_after(delay, move |simulation| {
            let node = &simulation.nodes[process.node_index];
            if !node.can_reach_store(&simulation.store, simulation.now) {
                return;
            }
            let outcome = simulation.apply_transaction(&transaction, None);
            let TransactionOutcome::Committed(revision) = outcome else {
                return;
            };
            simulation.note_cancelled(&id);
            simulation.request(
                process,
                Reader::Request,
                |_| (),
                move |simulation, _| {
                    simulation.cancellation_confirmed(process, &id, value, revision)
                },
            );
        });
    }

    fn cancellation_confirmed(&mut self, process: Process, id: &str, value: String, revision: u64) {
        let Ok(record) = RawValue::from_string(value) else {
            return;
        };
        let write = JobWrite {
            id: id.to_owned(),
            record,
            revision,
        };
        self.nodes[process.node_index].apply_own_write(write, self.now);
        self.told(id, JobState::Cancelled);
    }
}
