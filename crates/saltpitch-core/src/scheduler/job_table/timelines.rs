//! Timelines of jobs, for the operators' log.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Job;
use crate::time::Micros;

/// The number of ended jobs whose timelines are kept.
const MAX_ENDED_JOBS: usize = 64;

/// The timeline of a job as far as this leader observed it. All times are relative to the submission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobTimeline {
    /// When the last dependency was done, or zero if the job has none.
    pub released: Micros,
    /// When the job's last task was placed, or zero if none was.
    pub last_placed: Micros,
    /// The highest attempt number of any task. A number above 1 shows that tasks were lost or stopped.
    pub attempts: u32,
}

impl JobTimeline {
    /// Returns the timeline of a job so far.
    pub(in crate::scheduler) fn of(job: &Job) -> JobTimeline {
        JobTimeline {
            released: job.times.queued_at.since(job.times.submitted_at),
            last_placed: job.times.last_placed_at.since(job.times.submitted_at),
            attempts: job.tasks.highest_attempt(),
        }
    }
}

/// The timelines of the jobs that ended last. A job leaves memory when its final record is written, but the
/// log line about its end is only written when this controller's copy of the records shows that record.
#[derive(Default)]
pub(in crate::scheduler) struct EndedJobs {
    timelines: VecDeque<(Arc<str>, JobTimeline)>,
}

impl EndedJobs {
    /// Adds the timeline of a job that has ended, and removes the oldest one if there are too many.
    pub(in crate::scheduler) fn push(&mut self, job: &Job) {
        if self.timelines.len() >= MAX_ENDED_JOBS {
            self.timelines.pop_front();
        }
        self.timelines
            .push_back((job.id.clone(), JobTimeline::of(job)));
    }

    /// Returns the timeline of a recently ended job.
    pub(in crate::scheduler) fn get(&self, id: &str) -> Option<JobTimeline> {
        let ended = self.timelines.iter().find(|(ended, _)| **ended == *id);
        ended.map(|(_, timeline)| *timeline)
    }
}
