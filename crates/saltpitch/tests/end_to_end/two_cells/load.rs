//! A steady load on two cells for some minutes, and what was seen of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{home_id, submit_service, TwoCells};
use crate::site::call;

/// How often the cells are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// A job arrives at home, and a service at the host, so often.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
const SERVICE_INTERVAL: Duration = Duration::from_secs(8);
/// Each job has this many tasks, which run for so long.
const TASKS: u32 = 2;
const RUN_S: f64 = 4.0;
/// Machines that home's cloud has: too few for the load.
const HOME_MACHINES: usize = 1;

/// What was seen at one moment.
pub struct Sample {
    pub at_s: f64,
    pub lent: usize,
    pub returned: usize,
    pub calls: u64,
}

/// What a run came to.
#[derive(Default)]
pub struct TransactionOutcome {
    pub samples: Vec<Sample>,
    /// From each job's submission to its first task, in seconds.
    pub job_waits: Vec<f64>,
    /// The same for the host's services.
    pub service_waits: Vec<f64>,
    pub jobs: usize,
    pub done: usize,
    /// Tasks completed more than once, in both cells together.
    pub repeated: usize,
}

/// Jobs or services that were submitted, and when the first task of each ran.
#[derive(Default)]
struct Arrivals {
    submitted: BTreeMap<String, Instant>,
    begun: BTreeMap<String, Instant>,
}

impl Arrivals {
    fn waits(&self, end: Instant) -> Vec<f64> {
        let wait = |(id, at): (&String, &Instant)| {
            let begun = self.begun.get(id).copied().unwrap_or(end);
            (begun - *at).as_secs_f64()
        };
        self.submitted.iter().map(wait).collect()
    }
}

/// Plays the load; the link is cut in the middle third of the time.
pub async fn play(cells: &TwoCells, time: Duration) -> TransactionOutcome {
    cells.home.site.lock().expect("lock").max_machines = HOME_MACHINES;
    let began = Instant::now();
    let mut outcome = TransactionOutcome::default();
    let (mut jobs, mut services) = (Arrivals::default(), Arrivals::default());
    let (mut next_job, mut next_service) = (began, began);
    while began.elapsed() < time {
        let now = Instant::now();
        let part = began.elapsed().as_secs_f64() / time.as_secs_f64();
        cells.cut((1.0 / 3.0..2.0 / 3.0).contains(&part));
        if now >= next_job {
            next_job += JOB_INTERVAL;
            let id = format!("job-0003{:03}", jobs.submitted.len());
            cells.submit_with(&id, TASKS, RUN_S).await;
            jobs.submitted.insert(id, now);
        }
        if now >= next_service {
            next_service += SERVICE_INTERVAL;
            replace_service(cells, &mut services, now).await;
        }
        note_begun(cells, &mut jobs, &mut services);
        outcome.samples.push(sample(cells, &jobs, began));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    cells.cut(false);
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
        call(api, poem::http::Method::POST, &path, None).await;
    }
    let id = format!("job-0009{:02}", 10 + services.submitted.len());
    submit_service(&cells.host, &id, 1).await;
    services.submitted.insert(id, now);
}

fn note_begun(cells: &TwoCells, jobs: &mut Arrivals, services: &mut Arrivals) {
    let now = Instant::now();
    for cell in [&cells.home, &cells.host] {
        let site = cell.site.lock().expect("lock");
        let machines = site.agents.values().filter(|machine| !machine.gone);
        for ((id, _), held) in machines.flat_map(|machine| &machine.tasks) {
            let id = home_id(&id.0);
            for arrivals in [&mut *jobs, &mut *services] {
                if held.on() && arrivals.submitted.contains_key(&id) {
                    arrivals.begun.entry(id.clone()).or_insert(now);
                }
            }
        }
    }
}

fn sample(cells: &TwoCells, jobs: &Arrivals, began: Instant) -> Sample {
    let site = cells.home.site.lock().expect("lock");
    let records = jobs.submitted.keys().filter_map(|id| site.record(id));
    let (mut lent, mut returned) = (0, 0);
    for delegation in records.filter_map(|record| record.delegation) {
        lent += usize::from(delegation.is_open());
        returned += usize::from(!delegation.is_open());
    }
    Sample {
        at_s: began.elapsed().as_secs_f64(),
        lent,
        returned,
        calls: cells.links.iter().map(|link| link.calls()).sum(),
    }
}

fn count_done(cells: &TwoCells, jobs: &Arrivals) -> usize {
    let site = cells.home.site.lock().expect("lock");
    let records = jobs.submitted.keys().filter_map(|id| site.record(id));
    records.filter(|record| record.state.is_final()).count()
}

/// Waits until all jobs are done, for as long again at most.
async fn finish(cells: &TwoCells, jobs: &Arrivals, outcome: &mut TransactionOutcome) {
    cells.home.site.lock().expect("lock").max_machines = 8;
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
