//! Users: submissions, cancellations and drawn jobs.

use super::*;

impl Simulation {
    /// Submits a job through whichever node has the store; false: nobody has, or it can never run.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> bool {
        if spec.can_ever_run(&self.catalog, &self.teams).is_err() {
            return false;
        }
        if !(spec.dependencies.iter()).all(|n| self.store.keys.contains_key(&job_key(n))) {
            return false;
        }
        let record = JobRecord::accepted(self.now, Arc::new(spec));
        self.submit_record(id, record)
    }

    /// Creates the record of a job; false: the store did not answer.
    pub fn submit_record(&mut self, id: &str, record: JobRecord) -> bool {
        let Some(spec) = record.spec.as_deref().cloned() else {
            return false;
        };
        let known = self.jobs.entry(id.to_owned()).or_insert(UserJob {
            spec: spec.clone(),
            elsewhere: false,
            accepted: false,
            cancelled_at: None,
            submitted_at: self.now,
            begun_at: None,
            answered: vec![self.now; self.nodes.len()],
            mistaken: id.ends_with('7') && spec.kind == JobKind::Array,
            waits_since: None,
            withdrawn_at: None,
        });
        let key = job_key(id);
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&record).ok(),
        };
        let outcome = self.store.txn(&[Precondition::new(key, 0)], &[write], None);
        self.trace.event("submit", self.now).text(id);
        self.trace.outcome(&outcome);
        match outcome {
            TransactionOutcome::Committed(_) | TransactionOutcome::Conflict(_) => {
                known.accepted = true;
                self.note_withdrawn();
                true
            }
            _ => false,
        }
    }

    /// Cancels a job by one of the nodes that have the store. True: it is cancelled.
    pub fn cancel(&mut self, id: &str) -> bool {
        let (store, now) = (&self.store, self.now);
        let able = |n: &Node| {
            n.is_up(now)
                && n.controller.is_synced()
                && n.frozen(now) == Micros::ZERO
                && n.reaches_store(store, now)
        };
        let able: Vec<usize> = (0..self.nodes.len())
            .filter(|n| able(&self.nodes[*n]))
            .collect();
        let at = self.random_below(able.len() as u64) as usize;
        able.get(at).is_some_and(|n| self.cancel_by(*n, id))
    }

    /// Cancels a job as node `n` does: compare and set on its record, which it knows from then on.
    pub fn cancel_by(&mut self, n: usize, id: &str) -> bool {
        let key = job_key(id);
        let Some(entry) = self.store.keys.get(&key).cloned() else {
            return false;
        };
        let Ok(rec) = serde_json::from_str::<JobRecord>(&entry.value) else {
            return false;
        };
        if rec.state != JobState::Active {
            return rec.state == JobState::Cancelled;
        }
        let (rec, confirmed) = match rec.cancel_step() {
            CancelStep::Confirm(rec) => (rec, true),
            CancelStep::Request(rec) => (rec, false),
            CancelStep::Await => return false,
        };
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&rec).ok(),
        };
        let value = write.value.clone().unwrap_or_default();
        let done = self
            .store
            .txn(&[Precondition::new(key.clone(), entry.rev)], &[write], None);
        self.trace.event("abort", self.now).text(id);
        self.trace.outcome(&done);
        let ok = matches!(done, TransactionOutcome::Committed(_));
        if let TransactionOutcome::Committed(rev) = done {
            if let Ok(value) = serde_json::value::RawValue::from_string(value) {
                let change = RecordChange {
                    key: key.clone(),
                    value: Some(value),
                    revision: rev,
                };
                self.nodes[n].wrote(&change, self.now);
            }
            if confirmed {
                self.note_cancelled(id);
            }
        }
        ok && confirmed
    }

    /// The job's record says from now on that it is cancelled, as its user asked.
    pub fn note_cancelled(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled_at = Some(self.now);
        }
        self.note_withdrawn();
    }

    /// Notes which jobs are withdrawn with those that they need.
    fn note_withdrawn(&mut self) {
        loop {
            let off = |j: &UserJob| j.cancelled_at.is_some() || j.withdrawn_at.is_some();
            let new: Vec<String> = (self.jobs.iter())
                .filter(|(_, j)| j.accepted && !off(j))
                .filter(|(_, j)| {
                    (j.spec.dependencies.iter()).any(|n| self.jobs.get(n).is_some_and(off))
                })
                .map(|(id, _)| id.clone())
                .collect();
            if new.is_empty() {
                return;
            }
            for id in new {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.withdrawn_at = Some(self.now);
                }
            }
        }
    }

    /// A job drawn from the seed.
    pub fn draw_job(&mut self) -> JobSpec {
        let pick = self.random_below(10);
        let (class, kind, priority, tasks) = match pick {
            0..=2 => (
                "web",
                JobKind::Service,
                Priority::Production,
                1 + self.random_below(4),
            ),
            3..=6 => (
                "batch",
                JobKind::Array,
                Priority::Normal,
                1 + self.random_below(12),
            ),
            _ => (
                "train",
                JobKind::Gang,
                Priority::High,
                1 + self.random_below(3),
            ),
        };
        let gang = kind == JobKind::Gang;
        JobSpec {
            class: class.to_owned(),
            team: if self.random_below(2) == 0 {
                "red"
            } else {
                "blue"
            }
            .to_owned(),
            kind,
            priority,
            tasks: tasks as u32,
            need: Resources {
                cpu: 1_000 + 1_000 * self.random_below(3),
                gpu: if gang { 1_000 } else { 0 },
                mem: 2_000,
            },
            types: None,
            zone: (self.random_below(8) == 0).then(|| "east".to_owned()),
            one_zone: gang && self.random_below(2) == 0,
            spread: kind == JobKind::Service,
            spot: kind != JobKind::Service,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_mb: 800,
            estimate: if kind == JobKind::Service {
                Micros::ZERO
            } else {
                Micros::from_secs(3 + self.random_below(15))
            },
            checkpoint: Micros::from_secs(if gang { 5 } else { 0 }),
            save: Micros::from_secs(if gang { 2 } else { 0 }),
            deadline: None,
            dependencies: Vec::new(),
        }
    }

    /// Whether the store calls this job done.
    pub fn is_done(&self, id: &str) -> bool {
        self.store
            .keys
            .get(&job_key(id))
            .and_then(|e| serde_json::from_str::<JobRecord>(&e.value).ok())
            .is_some_and(|r| r.state == JobState::Done)
    }

    /// The tasks of a job that are on machines now.
    pub fn running(&self, id: &str) -> usize {
        self.agents
            .values()
            .filter(|m| !m.gone)
            .flat_map(|m| m.tasks.iter())
            .filter(|((t, _), h)| t.0 == id && h.on())
            .count()
    }
}
