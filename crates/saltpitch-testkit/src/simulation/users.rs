//! Users: submissions, cancellations and drawn jobs.

use std::sync::Arc;

use rand::Rng;
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::records::{job_key, CancelStep, JobRecord, JobWrite};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};
use saltpitch_core::Micros;

use super::{Simulation, UserJob};
use crate::nodes::Node;

/// The class, kind, priority and number of tasks of a drawn job.
struct DrawnKind {
    class: &'static str,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
}

impl Simulation {
    /// Submits a job. Returns false if the store does not confirm it, if the job can never run, or if a job
    /// that it depends on is unknown.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> bool {
        if spec.can_ever_run(&self.catalog, &self.teams).is_err() {
            return false;
        }
        let mut dependencies = spec.dependencies.iter();
        if !dependencies.all(|dependency| self.store.keys.contains_key(&job_key(dependency))) {
            return false;
        }
        let record = JobRecord::accepted(self.now, Arc::new(spec));
        self.submit_record(id, record)
    }

    /// Creates the record of a job. Returns whether the store has it, from this call or an earlier one.
    pub fn submit_record(&mut self, id: &str, record: JobRecord) -> bool {
        let Some(spec) = record.spec.as_deref().cloned() else {
            return false;
        };
        self.jobs.entry(id.to_owned()).or_insert(UserJob {
            spec: spec.clone(),
            is_delegated: false,
            is_accepted: false,
            cancelled_at: None,
            submitted_at: self.now,
            started_at: None,
            last_answered_at: vec![self.now; self.nodes.len()],
            always_fails: id.ends_with('7') && spec.kind == JobKind::Array,
            waiting_since: None,
            dependency_cancelled_at: None,
        });
        let key = job_key(id);
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&record).ok(),
        };
        let transaction = Transaction {
            preconditions: vec![Precondition::new(key, 0)],
            writes: vec![write],
        };
        let outcome = self.apply_transaction(&transaction, None);
        self.trace.event("submit", self.now).text(id);
        self.trace.outcome(&outcome);
        match outcome {
            TransactionOutcome::Committed(_) | TransactionOutcome::Conflict(_) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.is_accepted = true;
                }
                self.told_accepted(id);
                self.note_cancelled_dependents();
                true
            }
            _ => false,
        }
    }

    /// Cancels a job through a random controller that reaches the store. Returns whether it is cancelled.
    pub fn cancel(&mut self, id: &str) -> bool {
        let (store, now) = (&self.store, self.now);
        let serves = |node: &Node| {
            node.is_up(now)
                && node.controller.is_synced()
                && node.remaining_pause(now) == Micros::ZERO
                && node.can_reach_store(store, now)
        };
        let serving: Vec<usize> = (0..self.nodes.len())
            .filter(|node_index| serves(&self.nodes[*node_index]))
            .collect();
        let drawn = self.random_below(serving.len() as u64) as usize;
        serving
            .get(drawn)
            .is_some_and(|node_index| self.cancel_by(*node_index, id))
    }

    /// Cancels a job as this controller does, by a compare-and-set on its record; the controller then knows
    /// the new state. Returns whether the job is cancelled.
    pub fn cancel_by(&mut self, node_index: usize, id: &str) -> bool {
        let key = job_key(id);
        let Some(entry) = self.store.keys.get(&key).cloned() else {
            return false;
        };
        let Ok(record) = entry.job_record() else {
            return false;
        };
        if record.state != JobState::Active {
            return record.state == JobState::Cancelled;
        }
        let (record, confirmed) = match record.cancel_step() {
            CancelStep::Confirm(record) => (record, true),
            CancelStep::Request(record) => (record, false),
            CancelStep::Await => return false,
        };
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&record).ok(),
        };
        let value = write.value.clone().unwrap_or_default();
        let precondition = Precondition::new(key.clone(), entry.revision);
        let transaction = Transaction {
            preconditions: vec![precondition],
            writes: vec![write],
        };
        let outcome = self.apply_transaction(&transaction, None);
        self.trace.event("abort", self.now).text(id);
        self.trace.outcome(&outcome);
        let TransactionOutcome::Committed(revision) = outcome else {
            return false;
        };
        if let Ok(record) = serde_json::value::RawValue::from_string(value) {
            let write = JobWrite {
                id: id.to_owned(),
                record,
                revision,
            };
            self.nodes[node_index].apply_own_write(write, self.now);
        }
        if confirmed {
            self.note_cancelled(id);
        }
        confirmed
    }

    /// Notes that a job's record now says that the job is cancelled at its user's request.
    pub fn note_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled_at = Some(self.now);
        }
        self.note_cancelled_dependents();
    }

    /// Notes which jobs are cancelled because a job that they depend on, directly or through others, is.
    fn note_cancelled_dependents(&mut self) {
        let is_cancelled =
            |job: &UserJob| job.cancelled_at.is_some() || job.dependency_cancelled_at.is_some();
        loop {
            let depends_on_cancelled = |job: &UserJob| {
                let mut dependencies = job.spec.dependencies.iter();
                dependencies.any(|id| self.jobs.get(id).is_some_and(is_cancelled))
            };
            let dependents: Vec<String> = self
                .jobs
                .iter()
                .filter(|(_, job)| job.is_accepted && !is_cancelled(job))
                .filter(|(_, job)| depends_on_cancelled(job))
                .map(|(id, _)| id.clone())
                .collect();
            if dependents.is_empty() {
                return;
            }
            for id in dependents {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.dependency_cancelled_at = Some(self.now);
                }
            }
        }
    }

    /// Draws a job from the seed. The draws happen in the order of the fields.
    pub fn draw_job(&mut self) -> JobSpec {
        let DrawnKind {
            class,
            kind,
            priority,
            tasks,
        } = self.draw_kind();
        let gang = kind == JobKind::Gang;
        let service = kind == JobKind::Service;
        let team = if self.random_below(2) == 0 {
            "red"
        } else {
            "blue"
        };
        JobSpec {
            class: class.to_owned(),
            team: team.to_owned(),
            kind,
            priority,
            tasks,
            need: Resources {
                cpu: 1_000 + 1_000 * self.random_below(3),
                gpu: if gang { 1_000 } else { 0 },
                mem: 2_000,
            },
            types: None,
            zone: (self.random_below(8) == 0).then(|| "east".to_owned()),
            one_zone: gang && self.random_below(2) == 0,
            spread: service,
            spot: !service,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_mb: 800,
            estimate: if service {
                Micros::ZERO
            } else {
                Micros::from_secs(3 + self.random_below(15))
            },
            checkpoint_interval: Micros::from_secs(if gang { 5 } else { 0 }),
            save_time: Micros::from_secs(if gang { 2 } else { 0 }),
            deadline: None,
            dependencies: Vec::new(),
        }
    }

    fn draw_kind(&mut self) -> DrawnKind {
        let (class, kind, priority, most_tasks) = match self.random_below(10) {
            0..=2 => ("web", JobKind::Service, Priority::Production, 4),
            3..=6 => ("batch", JobKind::Array, Priority::Normal, 12),
            _ => ("train", JobKind::Gang, Priority::High, 3),
        };
        DrawnKind {
            class,
            kind,
            priority,
            tasks: 1 + self.random_below(most_tasks) as u32,
        }
    }

    /// Returns whether the job's record says that it is done.
    pub fn is_done(&self, id: &str) -> bool {
        self.store
            .keys
            .get(&job_key(id))
            .and_then(|entry| entry.job_record().ok())
            .is_some_and(|record| record.state == JobState::Done)
    }

    /// Returns how many tasks of a job run on machines now.
    pub fn running_tasks(&self, id: &str) -> usize {
        self.agents
            .values()
            .filter(|agent| !agent.is_gone)
            .flat_map(|agent| agent.tasks.iter())
            .filter(|((task_id, _), agent_task)| task_id.0 == id && agent_task.counts_as_running())
            .count()
    }
}
