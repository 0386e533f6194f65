//! Seeded histories in which controllers keep the outcomes of very few ended jobs. The invariants, which are checked
//! after each step, include that each controller answers what is on record and keeps no record of an ended job.

use std::collections::BTreeSet;

use saltpitch_core::job::{JobKind, JobSpec, JobState};
use saltpitch_core::records::{job_id, job_key, JobRecord};
use saltpitch_testkit::histories::{check_completed, play_on, seconds};
use saltpitch_testkit::{Faults, Simulation};

/// How long jobs are submitted and faults occur, and how long the site then has to complete them, in seconds.
const BUSY_S: u64 = 120;
const QUIET_S: u64 = 360;
/// A controller lists all records again after so many reads of their changes.
const READS_PER_LISTING: u64 = 17;

/// Returns a site whose controllers keep `max_ended_jobs` recently ended jobs.
fn site(seed: u64, max_ended_jobs: usize, reads_per_listing: Option<u64>) -> Simulation {
    let mut simulation = Simulation::new(seed, Faults::all(), seconds(BUSY_S));
    for node in &mut simulation.nodes {
        node.max_ended_jobs = max_ended_jobs;
        node.reads_per_listing = reads_per_listing;
    }
    simulation
}

/// Plays one history per seed. Returns how many records of jobs the controllers read by their keys.
fn check_seeds(
    seeds: std::ops::Range<u64>,
    max_ended_jobs: usize,
    reads_per_listing: Option<u64>,
) -> u64 {
    let mut job_reads = 0;
    for seed in seeds {
        let simulation = site(seed, max_ended_jobs, reads_per_listing);
        let result = play_on(simulation, seed, BUSY_S, QUIET_S).and_then(|simulation| {
            check_completed(&simulation)?;
            Ok(simulation)
        });
        let simulation = result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        check_final_records(seed, &simulation);
        for node in &simulation.nodes {
            let ended_jobs = node.records().ended_jobs();
            assert!(!ended_jobs.is_complete(), "seed {seed}: no job was evicted");
            assert!(ended_jobs.len() <= max_ended_jobs, "seed {seed}");
            job_reads += node.job_read_count;
        }
    }
    job_reads
}

/// Checks that no job's record was written again after its final record: a leader that has not seen the answer to its
/// transaction finds the record, or what is left of it in memory.
fn check_final_records(seed: u64, simulation: &Simulation) {
    let mut ended: BTreeSet<&str> = BTreeSet::new();
    for (revision, key, value) in &simulation.store.change_log {
        let Some(id) = job_id(key) else { continue };
        assert!(
            !ended.contains(id),
            "seed {seed}: {id} was written again at {revision}"
        );
        let value = value.as_deref().expect("no job's record is deleted");
        let record: JobRecord = serde_json::from_str(value).expect("a readable record");
        if record.is_final() {
            ended.insert(id);
        }
    }
}

/// Guards against a job that waits forever, or an answer that goes back, because the outcome of a job left memory as
/// soon as it was recorded.
#[test]
fn controllers_that_keep_no_ended_job_break_no_invariant() {
    let job_reads = check_seeds(1_600..1_616, 0, None);
    assert!(job_reads > 0, "no job depended on one that had left memory");
}

/// Guards against a listing that brings ended jobs back, or that loses the end of a job which a leader still has.
#[test]
fn controllers_that_list_all_records_again_and_again_break_no_invariant() {
    let job_reads = check_seeds(1_620..1_636, 1, Some(READS_PER_LISTING));
    assert!(
        job_reads > 0,
        "no listing needed a job that had left memory"
    );
}

/// Guards against a job that waits forever because the job that it depends on has left the memory of all controllers
/// before it is accepted.
#[test]
fn a_job_that_depends_on_an_evicted_one_starts_or_is_cancelled() {
    let mut simulation = Simulation::new(1_640, Faults::default(), seconds(0));
    for node in &mut simulation.nodes {
        node.max_ended_jobs = 0;
    }
    let submit = |simulation: &mut Simulation, id: &str, dependencies: &[&str]| {
        let mut spec = JobSpec {
            kind: JobKind::Array,
            spread: false,
            zone: None,
            ..simulation.draw_job()
        };
        spec.need.gpu = 0;
        spec.estimate = seconds(3);
        spec.dependencies = dependencies.iter().map(|id| (*id).to_owned()).collect();
        assert!(simulation.submit(id, spec), "{id}");
    };
    let run = |simulation: &mut Simulation, until: u64| {
        simulation
            .run(seconds(until))
            .unwrap_or_else(|error| panic!("{error}"));
    };
    run(&mut simulation, 5);
    submit(&mut simulation, "job-000001", &[]);
    submit(&mut simulation, "job-000002", &[]);
    run(&mut simulation, 6);
    assert!(simulation.cancel("job-000002"));
    run(&mut simulation, 120);
    assert!(simulation.is_done("job-000001"));
    for node in &simulation.nodes {
        assert!(node.records().job("job-000001").is_none(), "{}", node.name);
        assert!(node.records().job("job-000002").is_none(), "{}", node.name);
    }
    submit(&mut simulation, "job-000003", &["job-000001"]);
    submit(&mut simulation, "job-000004", &["job-000001", "job-000002"]);
    submit(&mut simulation, "job-000005", &["job-000004"]);
    run(&mut simulation, 240);
    assert!(simulation.is_done("job-000003"));
    for id in ["job-000004", "job-000005"] {
        let entry = &simulation.store.keys[&job_key(id)];
        let record: JobRecord = serde_json::from_str(&entry.value).expect("a readable record");
        assert_eq!(record.state, JobState::Cancelled, "{id}");
    }
}
