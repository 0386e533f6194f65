//! Jobs as they come, change on record and are called off.

use std::collections::{BTreeMap, BTreeSet};

use super::delegation::JobOwner;
use super::job_failures::FailureHistory;
use super::{Class, Job, Scheduler, Task, FADE};
use crate::cluster::JobNumber;
use crate::gang::Gang;
use crate::job::{JobKind, JobSpec, JobState, Priority};
use crate::records::{Checkpoint, RecordCache, CHUNK};
use crate::time::Micros;

/// Where a job's time went, as far as this leader saw it; all times count from the submission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobTimeline {
    /// When the last job that it waited on was done; zero if it waited on none.
    pub released: Micros,
    /// When its last task was placed, zero if none was.
    pub last_placed: Micros,
    /// The highest attempt of any of its tasks: above 1, tasks were lost or stopped.
    pub attempts: u32,
}

/// How many jobs are remembered after their end.
const MAX_ENDED: usize = 64;

impl JobTimeline {
    fn of(job: &Job) -> JobTimeline {
        let attempts = job.tasks.iter().map(|t| t.attempt).max();
        JobTimeline {
            released: job.queued.since(job.submitted),
            last_placed: job.served_at.since(job.submitted),
            attempts: attempts.unwrap_or(0),
        }
    }
}

impl Scheduler {
    /// Where the job's time went, if it runs or has ended a short while ago.
    pub fn timeline(&self, id: &str) -> Option<JobTimeline> {
        let running = self
            .job_table
            .by_id
            .get(id)
            .and_then(|number| self.job_table.jobs.get(number));
        if let Some(job) = running {
            return Some(JobTimeline::of(job));
        }
        let ended = self
            .job_table
            .ended
            .iter()
            .find(|(ended, _)| **ended == *id);
        ended.map(|(_, timeline)| *timeline)
    }

    /// Its final record is written, which this node's copy of the records has yet to show.
    pub(super) fn remember_timeline(&mut self, job: &Job) {
        if self.job_table.ended.len() >= MAX_ENDED {
            self.job_table.ended.pop_front();
        }
        self.job_table
            .ended
            .push_back((job.id.clone(), JobTimeline::of(job)));
    }

    /// Another node's word: this job is cancelled, although the records that this node has don't show
    /// it. What runs is stopped and nothing more is placed; the record catches up later.
    pub fn cancelled_by_peer(&mut self, id: &str, now: Micros) {
        match self.job_table.by_id.get(id) {
            Some(&number) => {
                let Some(job) = self.job_table.jobs.get_mut(&number) else {
                    return;
                };
                if job.state == JobState::Active {
                    job.state = JobState::Cancelled;
                    self.cancel(number, now);
                }
            }
            // Accepted and cancelled since this node read the records last.
            None => {
                self.job_table.cancelled_by_peer.insert(id.to_owned());
            }
        }
    }

    /// A job's record appeared or changed.
    pub fn job_changed(&mut self, records: &RecordCache, id: &str, now: Micros, wall: Micros) {
        let Some(entry) = records.jobs.get(id) else {
            return;
        };
        match entry.record.state {
            JobState::Done => {
                let at = entry.record.finished.map(|f| now.since(wall.since(f)));
                self.dependency_completed(id, at.unwrap_or(now), now);
            }
            JobState::Cancelled => self.dependency_cancelled(id, now),
            JobState::Active => {}
        }
        if let Some(&number) = self.job_table.by_id.get(id) {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                return;
            };
            if entry.rev <= job.rev {
                return;
            }
            job.rev = entry.rev;
            if entry.record.state == JobState::Cancelled && job.state == JobState::Active {
                job.state = JobState::Cancelled;
                self.cancel(number, now);
            }
            self.job_owner_changed(number, &entry.record, now);
            self.completed_by_host(number, records, now);
            return;
        }
        let Some(spec) = entry.record.spec.clone() else {
            return;
        };
        // The outcome of a job without tasks on machines is final as it stands.
        if entry.record.state == JobState::Done {
            return;
        }
        let off = self.job_table.cancelled_by_peer.remove(id)
            || records.state(id) == Some(JobState::Cancelled);
        let state = if off {
            JobState::Cancelled
        } else {
            entry.record.state
        };
        let n = spec.tasks as usize;
        let number = self.job_table.next_number;
        self.job_table.next_number += 1;
        let class = self.class(&spec.class);
        let c = &mut self.job_table.classes[class];
        let weight = if c.mean_tasks > 0.0 { 0.03 } else { 1.0 };
        c.mean_tasks += (f64::from(spec.tasks) - c.mean_tasks) * weight;
        let mut job = Job {
            class,
            team: self.quota.number(&spec.team),
            id: id.into(),
            rev: entry.rev,
            state,
            owner: match entry.record.is_delegated() {
                true => JobOwner::Elsewhere,
                false => JobOwner::Here,
            },
            came_back_at: Micros::ZERO,
            guest: entry.record.guest.clone(),
            submitted: now.since(wall.since(entry.record.submitted)),
            queued: now.since(wall.since(entry.record.submitted)),
            unmet_dependencies: BTreeSet::new(),
            priority: spec.priority,
            due: None,
            done_at: None,
            tasks: vec![Task::default(); n],
            idle: (0..spec.tasks).collect(),
            placed: 0,
            done: 0,
            checkpoints: vec![Checkpoint::default(); n.div_ceil(CHUNK as usize)],
            gang: Gang::default(),
            not_before: Micros::ZERO,
            parked_at: Micros::ZERO,
            served_at: Micros::ZERO,
            failures: FailureHistory::default(),
            deferred: BTreeSet::new(),
            search_after: Micros::ZERO,
            room_awaited_until: None,
            started: false,
            zones: BTreeMap::new(),
            rank: u8::MAX,
            spec,
        };
        let mut allocations = Vec::new();
        for (&index, on_record) in records.chunks.get(id).into_iter().flatten() {
            if let Some(checkpoint) = job.checkpoints.get_mut(index as usize) {
                *checkpoint = *on_record;
            }
        }
        let known = records.tasks.get(id).map_or(&[][..], |t| &t.tasks);
        for (i, (t, rec)) in job.tasks.iter_mut().zip(known).enumerate() {
            t.attempt = rec.attempt;
            t.done = rec.done;
            if let Some(allocation) = &rec.allocation {
                allocations.push((i as u32, allocation.0.clone(), allocation.1));
            }
        }
        job.done = job.tasks.iter().filter(|t| t.done).count() as u32;
        if job.spec.kind == JobKind::Array && job.done == 0 {
            job.failures.restore(job.tasks.iter().map(|t| t.attempt));
        }
        let done: Vec<u32> = (0..n as u32)
            .filter(|i| job.tasks[*i as usize].done)
            .collect();
        for i in done {
            job.idle.remove(&i);
        }
        if job.state == JobState::Active {
            self.resolve_dependencies(&mut job, number, records, now, wall);
        }
        let released = job.unmet_dependencies.is_empty();
        self.job_table.by_id.insert(job.id.clone(), number);
        self.job_table.jobs.insert(number, job);
        if released {
            self.enqueue(number, now);
        }
        self.inherit_urgency(number);
        // Those that need it may have been read before it.
        for d in self
            .job_table
            .dependents
            .get(id)
            .cloned()
            .unwrap_or_default()
        {
            self.inherit_urgency(d);
        }
        let mut lost = false;
        for (task, machine, agent_epoch) in allocations {
            // A machine's record is written before anything is placed on it and deleted only once
            // the machine is proven gone: no record, no task.
            match self
                .inventory
                .machines
                .get(machine.as_str())
                .map(|machine| machine.name.clone())
            {
                Some(name) if (task as usize) < n => {
                    let attempt = self.job_table.jobs[&number].tasks[task as usize].attempt;
                    self.allocate(number, task, name, agent_epoch, attempt, true, now);
                }
                _ => {
                    lost = true;
                    self.persistence.task_ended(number, task, now);
                }
            }
        }
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && job.placed > 0 {
            job.gang = if lost || job.placed < job.spec.tasks {
                Gang::Stopping
            } else {
                Gang::Allowed
            };
            if job.gang == Gang::Stopping {
                self.stop_all(number, Micros::ZERO, now);
            }
        }
        if self.job_table.jobs[&number].state == JobState::Cancelled {
            self.cancel(number, now);
        } else {
            self.check_complete(number);
        }
        self.placement_pass.requested = true;
    }

    /// The job was cancelled: whatever was never sent is dropped, the rest is stopped.
    pub(super) fn cancel(&mut self, number: JobNumber, now: Micros) {
        self.dequeue(number);
        self.stop_all(number, Micros::ZERO, now);
        self.check_complete(number);
        self.placement_pass.requested = true;
        if let Some(id) = self.job_table.jobs.get(&number).map(|job| job.id.clone()) {
            self.dependency_cancelled(&id, now);
        }
    }

    /// Production jobs come at some rate: what they ask for is kept warm ahead of them.
    pub(super) fn note_demand(&mut self, spec: &JobSpec, now: Micros) {
        if spec.priority == Priority::Production {
            let more = spec.need.cpu as f64 * f64::from(spec.tasks);
            self.autoscaler.production_demand = (self.faded_demand(now) + more, now);
        }
    }

    pub(super) fn faded_demand(&self, now: Micros) -> f64 {
        let (level, at) = self.autoscaler.production_demand;
        level * (-now.since(at).as_secs_f64() / FADE.as_secs_f64()).exp()
    }

    /// Nothing more of this job is to be placed.
    pub(super) fn dequeue(&mut self, number: JobNumber) {
        self.job_table.unplaced.remove(&number);
        if let Some(job) = self.job_table.jobs.get_mut(&number) {
            job.rank = u8::MAX;
            self.job_table.active_by_age.remove(&(job.queued, number));
        }
    }

    /// The class's number in the leader's table.
    pub(super) fn class(&mut self, name: &str) -> usize {
        if let Some(at) = self.job_table.classes.iter().position(|c| c.name == name) {
            return at;
        }
        let objectives = self.config.objectives.iter().filter(|o| o.class == name);
        self.job_table.classes.push(Class {
            name: name.to_owned(),
            objectives: objectives.map(|objective| objective.target).collect(),
            ratio: 1.0,
            mean_tasks: 0.0,
        });
        self.job_table.classes.len() - 1
    }
}
