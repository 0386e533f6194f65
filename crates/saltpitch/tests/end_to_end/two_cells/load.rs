//! A steady load on two cells for some minutes, and measurements of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::job::JobKind;

use super::{submit_service, TwoCells};
use crate::site::{call, lock, origin_id, Job};

/// How often the cells are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How often a job arrives at the origin, and a service at the host.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
const SERVICE_INTERVAL: Duration = Duration::from_secs(8);
/// Each job has this many tasks, which run for so long.
const TASKS: u32 = 2;
const RUN_S: f64 = 4.0;
/// Machines that the origin's cloud has: too few for the load.
const ORIGIN_MACHINES: usize = 1;

/// The measurements at one moment.
pub struct Sample {
    /// Seconds since the start.
    pub at_s: f64,
    /// Jobs that are with the host.
    pub delegated: usize,
    /// Jobs that came back from it.
    pub returned: usize,
    /// Requests on the links so far.
    pub calls: u64,
}

/// The measurements of a run.
#[derive(Default)]
pub struct LoadOutcome {
    /// Measurements over time.
    pub samples: Vec<Sample>,
    /// From each job's submission to its first task, in seconds.
    pub job_waits: Vec<f64>,
    /// The same for the host's services.
    pub service_waits: Vec<f64>,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs completed.
    pub done: usize,
    /// Tasks completed more than once, in both cells together.
    pub repeated: usize,
}

/// Jobs or services that were submitted, and when the first task of each started.
#[derive(Default)]
struct Arrivals {
    submitted: BTreeMap<String, Instant>,
    started: BTreeMap<String, Instant>,
}

impl Arrivals {
    /// The time from each submission to the first task, in seconds.
    fn waits(&self, end: Instant) -> Vec<f64> {
        let wait = |(id, at): (&String, &Instant)| {
            let started_at = self.started.get(id).copied().unwrap_or(end);
            (started_at - *at).as_secs_f64()
        };
        self.submitted.iter().map(wait).collect()
    }
}

/// Plays the load; the link is cut in the middle third of the time.
pub async fn play(cells: &TwoCells, time: Duration) -> LoadOutcome {
    lock(&cells.origin.site).max_machines = ORIGIN_MACHINES;
    let started_at = Instant::now();
    let mut outcome = LoadOutcome::default();
    let (mut jobs, mut services) = (Arrivals::default(), Arrivals::default());
    let (mut next_job, mut next_service) = (started_at, started_at);
    while started_at.elapsed() < time {
        let now = Instant::now();
        let part = started_at.elapsed().as_secs_f64() / time.as_secs_f64();
        cells.set_cut((1.0 / 3.0..2.0 / 3.0).contains(&part));
        if now >= next_job {
            next_job += JOB_INTERVAL;
            let id = format!("job-0003{:03}", jobs.submitted.len());
            let job = Job::new(&id, JobKind::Array, TASKS).running_for(RUN_S);
            cells.submit_job(&id, job).await;
            jobs.submitted.insert(id, now);
        }
        if now >= next_service {
            next_service += SERVICE_INTERVAL;
            replace_service(cells, &mut services, now).await;
        }
        record_starts(cells, &mut jobs, &mut services);
        outcome.samples.push(sample(cells, &jobs, started_at));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    cells.set_cut(false);
    outcome.jobs = jobs.submitted.len();
    outcome.job_waits = jobs.waits(Instant::now());
    outcome.service_waits = services.waits(Instant::now());
    finish(cells, &jobs, &mut outcome).await;
    outcome
}

/// A service of one replica arrives at the host, and the one before it leaves.
async fn replace_service(cells: &TwoCells, services: &mut Arrivals, now: Instant) {
    let api = cells.host.addresses.api[0];
    if let Some(last) = services.submitted.keys().next_back() {
        let path = format!("/v2/runs/{last}/abort");
        call(api, Method::POST, &path, None).await;
    }
    let id = format!("job-0009{:02}", 10 + services.submitted.len());
    submit_service(&cells.host, &id, 1).await;
    services.submitted.insert(id, now);
}

fn record_starts(cells: &TwoCells, jobs: &mut Arrivals, services: &mut Arrivals) {
    let now = Instant::now();
    for cell in [&cells.origin, &cells.host] {
        let site = lock(&cell.site);
        for ((id, _), held) in site.machines().flat_map(|agent| &agent.tasks) {
            let id = origin_id(&id.0);
            for arrivals in [&mut *jobs, &mut *services] {
                if held.counts_as_running() && arrivals.submitted.contains_key(id) {
                    arrivals.started.entry(id.to_owned()).or_insert(now);
                }
            }
        }
    }
}

fn sample(cells: &TwoCells, jobs: &Arrivals, started_at: Instant) -> Sample {
    let site = lock(&cells.origin.site);
    let records = jobs.submitted.keys().filter_map(|id| site.record(id));
    let (mut delegated, mut returned) = (0, 0);
    for delegation in records.filter_map(|record| record.delegation) {
        delegated += usize::from(delegation.is_open());
        returned += usize::from(!delegation.is_open());
    }
    Sample {
        at_s: started_at.elapsed().as_secs_f64(),
        delegated,
        returned,
        calls: cells.links.iter().map(|link| link.calls()).sum(),
    }
}

fn count_done(cells: &TwoCells, jobs: &Arrivals) -> usize {
    let site = lock(&cells.origin.site);
    let records = jobs.submitted.keys().filter_map(|id| site.record(id));
    records.filter(|record| record.state.is_final()).count()
}

/// Waits until all jobs are done, for as long again at most.
async fn finish(cells: &TwoCells, jobs: &Arrivals, outcome: &mut LoadOutcome) {
    lock(&cells.origin.site).max_machines = 8;
    for _ in 0..1_200 {
        outcome.done = count_done(cells, jobs);
        if outcome.done == outcome.jobs {
            break;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    let completions = super::completions(cells);
    outcome.repeated = completions.values().filter(|times| **times > 1).count();
}
