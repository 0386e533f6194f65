//! Runs a steady load on two cells for some minutes and measures it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::job::JobKind;

use super::{submit_service, TwoCells};
use crate::site::{call, lock, origin_id, Job};

/// The interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two submissions of jobs at the origin.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
/// The interval between two submissions of services at the host.
const SERVICE_INTERVAL: Duration = Duration::from_secs(8);
const TASKS_PER_JOB: u32 = 2;
/// The run time of each task in seconds.
const TASK_RUN_S: f64 = 4.0;
/// The most machines that the origin's cloud provides during the load; too few for the load, so that jobs are
/// delegated or wait.
const ORIGIN_MAX_MACHINES: usize = 1;

/// The measurements at one point in time.
pub struct Sample {
    /// The time since the start of the load, in seconds.
    pub elapsed_s: f64,
    /// The number of jobs that the host may own.
    pub delegated: usize,
    /// The number of jobs that returned from the host.
    pub returned: usize,
    /// The number of requests on all links so far.
    pub requests: u64,
}

/// The measurements of one run of the load.
#[derive(Default)]
pub struct LoadOutcome {
    /// The samples in the order in which they were taken.
    pub samples: Vec<Sample>,
    /// The times in seconds from each job's submission to the start of its first task.
    pub job_waits_s: Vec<f64>,
    /// The times in seconds from each service's submission at the host to the start of its first task.
    pub service_waits_s: Vec<f64>,
    /// The number of jobs submitted at the origin.
    pub jobs_submitted: usize,
    /// The number of those jobs that reached a final state.
    pub jobs_done: usize,
    /// The number of tasks that completed more than once in both cells together.
    pub repeated_tasks: usize,
}

/// Jobs or services by id, with the times of their submission and of the start of their first task.
#[derive(Default)]
struct Submissions {
    submitted_at: BTreeMap<String, Instant>,
    started_at: BTreeMap<String, Instant>,
}

impl Submissions {
    /// Returns the time from each submission to the start of its first task, in seconds. What has not started counts
    /// as started at `end`.
    fn waits_s(&self, end: Instant) -> Vec<f64> {
        let wait_s = |(id, submitted_at): (&String, &Instant)| {
            let started_at = self.started_at.get(id).copied().unwrap_or(end);
            (started_at - *submitted_at).as_secs_f64()
        };
        self.submitted_at.iter().map(wait_s).collect()
    }
}

/// Runs the load for `duration`. The link is cut during the middle third of that time.
pub async fn run(cells: &TwoCells, duration: Duration) -> LoadOutcome {
    lock(&cells.origin.site).max_machines = ORIGIN_MAX_MACHINES;
    let started_at = Instant::now();
    let mut outcome = LoadOutcome::default();
    let (mut jobs, mut services) = (Submissions::default(), Submissions::default());
    let (mut next_job_at, mut next_service_at) = (started_at, started_at);
    while started_at.elapsed() < duration {
        let now = Instant::now();
        let elapsed_share = started_at.elapsed().as_secs_f64() / duration.as_secs_f64();
        cells.set_cut((1.0 / 3.0..2.0 / 3.0).contains(&elapsed_share));
        if now >= next_job_at {
            next_job_at += JOB_INTERVAL;
            let id = format!("job-0003{:03}", jobs.submitted_at.len());
            let job = Job::new(&id, JobKind::Array, TASKS_PER_JOB).running_for(TASK_RUN_S);
            cells.submit_job(&id, job).await;
            jobs.submitted_at.insert(id, now);
        }
        if now >= next_service_at {
            next_service_at += SERVICE_INTERVAL;
            replace_service(cells, &mut services, now).await;
        }
        record_starts(cells, &mut jobs, &mut services);
        outcome.samples.push(take_sample(cells, &jobs, started_at));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    cells.set_cut(false);
    outcome.jobs_submitted = jobs.submitted_at.len();
    outcome.job_waits_s = jobs.waits_s(Instant::now());
    outcome.service_waits_s = services.waits_s(Instant::now());
    wait_for_all_jobs(cells, &jobs, &mut outcome).await;
    outcome
}

/// Cancels the last service at the host and submits a new one with one replica.
async fn replace_service(cells: &TwoCells, services: &mut Submissions, now: Instant) {
    let api = cells.host.addresses.api[0];
    if let Some(last) = services.submitted_at.keys().next_back() {
        let path = format!("/v2/runs/{last}/abort");
        call(api, Method::POST, &path, None).await;
    }
    let id = format!("job-0009{:02}", 10 + services.submitted_at.len());
    submit_service(&cells.host, &id, 1).await;
    services.submitted_at.insert(id, now);
}

/// Records the start of each job and service whose first task is now seen on a machine.
fn record_starts(cells: &TwoCells, jobs: &mut Submissions, services: &mut Submissions) {
    let now = Instant::now();
    for cell in [&cells.origin, &cells.host] {
        let site = lock(&cell.site);
        for ((id, _), task) in site.machines().flat_map(|agent| &agent.tasks) {
            let id = origin_id(&id.0);
            for submissions in [&mut *jobs, &mut *services] {
                if task.counts_as_running() && submissions.submitted_at.contains_key(id) {
                    submissions.started_at.entry(id.to_owned()).or_insert(now);
                }
            }
        }
    }
}

/// Counts the delegated and the returned jobs by the origin's records, and the requests on the links.
fn take_sample(cells: &TwoCells, jobs: &Submissions, started_at: Instant) -> Sample {
    let site = lock(&cells.origin.site);
    let records = jobs.submitted_at.keys().filter_map(|id| site.record(id));
    let (mut delegated, mut returned) = (0, 0);
    for delegation in records.filter_map(|record| record.delegation) {
        delegated += usize::from(delegation.is_open());
        returned += usize::from(!delegation.is_open());
    }
    Sample {
        elapsed_s: started_at.elapsed().as_secs_f64(),
        delegated,
        returned,
        requests: cells.links.iter().map(|link| link.request_count()).sum(),
    }
}

/// Returns the number of jobs that are in a final state by the origin's records.
fn count_done(cells: &TwoCells, jobs: &Submissions) -> usize {
    let site = lock(&cells.origin.site);
    let records = jobs.submitted_at.keys().filter_map(|id| site.record(id));
    records.filter(|record| record.state.is_final()).count()
}

/// Gives the origin more machines and waits until all jobs are done, for at most 1,200 sample intervals; then
/// stores the counts of completed jobs and of repeated tasks in `outcome`.
async fn wait_for_all_jobs(cells: &TwoCells, jobs: &Submissions, outcome: &mut LoadOutcome) {
    lock(&cells.origin.site).max_machines = 8;
    for _ in 0..1_200 {
        outcome.jobs_done = count_done(cells, jobs);
        if outcome.jobs_done == outcome.jobs_submitted {
            break;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let completions = super::completions(cells);
    outcome.repeated_tasks = completions.values().filter(|times| **times > 1).count();
}
