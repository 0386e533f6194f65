//! Where the time of jobs went, for the operators' log.

use std::collections::VecDeque;
use std::sync::Arc;

use super::Job;
use crate::time::Micros;

/// How many jobs are remembered after their end.
const MAX_ENDED: usize = 64;

/// Where a job's time went, as far as this leader saw it; all times count from the submission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobTimeline {
    /// When its last dependency was done; zero if it has none.
    pub released: Micros,
    /// When its last task was placed, zero if none was.
    pub last_placed: Micros,
    /// The highest attempt of any of its tasks: above 1, tasks were lost or stopped.
    pub attempts: u32,
}

impl JobTimeline {
    /// The timeline of a job so far.
    pub(in crate::scheduler) fn of(job: &Job) -> JobTimeline {
        JobTimeline {
            released: job.times.queued_at.since(job.times.submitted_at),
            last_placed: job.times.last_placed_at.since(job.times.submitted_at),
            attempts: job.tasks.highest_attempt(),
        }
    }
}

/// The timelines of jobs that ended last. Their final records are written before this controller's copy
/// of the records shows it, and the log's line on the end of a job is written only then.
#[derive(Default)]
pub(in crate::scheduler) struct EndedJobs {
    timelines: VecDeque<(Arc<str>, JobTimeline)>,
}

impl EndedJobs {
    /// The job has ended.
    pub(in crate::scheduler) fn remember(&mut self, job: &Job) {
        if self.timelines.len() >= MAX_ENDED {
            self.timelines.pop_front();
        }
        self.timelines
            .push_back((job.id.clone(), JobTimeline::of(job)));
    }

    /// The timeline of a job that ended a short while ago.
    pub(in crate::scheduler) fn get(&self, id: &str) -> Option<JobTimeline> {
        let ended = self.timelines.iter().find(|(ended, _)| **ended == *id);
        ended.map(|(_, timeline)| *timeline)
    }
}
