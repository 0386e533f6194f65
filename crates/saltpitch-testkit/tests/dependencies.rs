//! Jobs that depend on other jobs: when they start, how cancellations propagate, and which priority they inherit.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::records::job_key;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn run_until(simulation: &mut Simulation, seed: u64, until: u64) {
    if let Err(error) = simulation.run(secs(until)) {
        panic!("seed {seed}: {error}");
    }
}

/// Returns a job of low priority whose tasks may run on any machine.
fn job_spec(
    simulation: &mut Simulation,
    kind: JobKind,
    tasks: u32,
    estimate: u64,
    dependencies: &[&str],
) -> JobSpec {
    let mut spec = simulation.draw_job();
    spec.kind = kind;
    spec.priority = Priority::Low;
    spec.class = "stage".to_owned();
    (spec.tasks, spec.zone, spec.one_zone) = (tasks, None, false);
    (spec.spread, spec.spot) = (false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = secs(estimate);
    spec.dependencies = dependencies.iter().map(|id| (*id).to_owned()).collect();
    spec
}

/// Submits a first job, two jobs that depend on it, of which one is a gang, and a job that depends on all three.
/// Returns their ids in this order.
fn submit_diamond(simulation: &mut Simulation) -> [&'static str; 4] {
    let ids = ["job-000040", "job-000030", "job-000020", "job-000010"];
    let first = job_spec(simulation, JobKind::Array, 3, 8, &[]);
    let array_branch = job_spec(simulation, JobKind::Array, 4, 10, &[ids[0]]);
    let gang_branch = job_spec(simulation, JobKind::Gang, 2, 6, &[ids[0]]);
    let last = job_spec(simulation, JobKind::Array, 2, 4, &[ids[0], ids[1], ids[2]]);
    for (id, spec) in ids.iter().zip([first, array_branch, gang_branch, last]) {
        assert!(simulation.submit(id, spec), "{id}");
    }
    ids
}

#[test]
fn a_job_starts_when_all_its_dependencies_are_done() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let ids = submit_diamond(&mut simulation);
        // In half of the histories the leader crashes between the stages.
        for at in [20, 32, 44] {
            run_until(&mut simulation, seed, at);
            assert!(!simulation.is_done(ids[3]) || at == 44);
            if let Some(node) = simulation.leader().filter(|_| seed % 2 == 0) {
                simulation.crash(node);
            }
        }
        run_until(&mut simulation, seed, 200);
        for id in ids {
            assert!(simulation.is_done(id), "seed {seed}: {id}");
        }
        // A job is submitted after all of its dependencies are done.
        let late = job_spec(&mut simulation, JobKind::Array, 1, 2, &[ids[1], ids[2]]);
        simulation.submit("job-000050", late);
        run_until(&mut simulation, seed, 240);
        assert!(simulation.is_done("job-000050"));
    }
}

/// All dependents of a cancelled job are cancelled with it, also if the leader crashes just before or after, and
/// so are jobs that are submitted later and depend on one of them.
#[test]
fn a_cancellation_cancels_all_dependents() {
    for seed in 20..32 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let ids = submit_diamond(&mut simulation);
        let wait = simulation.random_below(25_000);
        let end = simulation.now.plus(Micros::from_millis(wait));
        while simulation.now < end {
            simulation.step().expect("no invariant is violated");
        }
        if seed % 3 == 0 {
            let node = simulation.leader().unwrap_or(0);
            simulation.crash(node);
        }
        let first_done = simulation.is_done(ids[0]);
        let cancelled_id = if first_done { ids[2] } else { ids[0] };
        simulation.cancel(cancelled_id);
        if seed % 3 == 1 {
            let node = simulation.leader().unwrap_or(0);
            simulation.crash(node);
        }
        let is_cancelled = simulation.jobs[cancelled_id].cancelled_at.is_some();
        assert_eq!(
            simulation.jobs[ids[3]].dependency_cancelled_at.is_some(),
            is_cancelled
        );
        let late = job_spec(&mut simulation, JobKind::Array, 1, 2, &[ids[3]]);
        assert!(
            simulation.submit("job-000050", late),
            "accepted although its dependency may be cancelled"
        );
        run_until(&mut simulation, seed, 300);
        let late_is_cancelled = simulation.jobs["job-000050"]
            .dependency_cancelled_at
            .is_some();
        assert_eq!(late_is_cancelled, is_cancelled);
        assert_eq!(
            simulation.is_done("job-000050"),
            !is_cancelled,
            "seed {seed}"
        );
        assert_eq!(
            simulation.is_done(ids[1]),
            first_done,
            "seed {seed}: the other branch"
        );
        // The job's own record says so too; the state isn't just derived from the other records.
        let record = &simulation.store.keys[&job_key(ids[3])].value;
        assert_eq!(
            record.contains("cancelled"),
            is_cancelled,
            "seed {seed}: {record}"
        );
        let last = job_spec(&mut simulation, JobKind::Array, 1, 2, &["job-000050"]);
        simulation.submit("job-000060", last);
        run_until(&mut simulation, seed, 340);
        assert_eq!(
            simulation.is_done("job-000060"),
            !is_cancelled,
            "seed {seed}"
        );
    }
}

/// A job with open dependencies uses nothing of its team's limit or guarantee, and causes no scale-out.
#[test]
fn a_job_with_open_dependencies_uses_no_quota_and_no_machine() {
    for seed in 40..44 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let mut first = job_spec(&mut simulation, JobKind::Array, 1, 400, &[]);
        first.team = "red".to_owned();
        simulation.submit("job-000001", first);
        for i in 0..6 {
            let mut spec = job_spec(&mut simulation, JobKind::Gang, 5, 300, &["job-000001"]);
            (spec.team, spec.need.cpu) = ("red".to_owned(), 4_000);
            spec.priority = Priority::High;
            simulation.submit(&format!("job-00002{i}"), spec);
        }
        run_until(&mut simulation, seed, 60);
        let machines = simulation
            .agents
            .values()
            .filter(|agent| !agent.is_gone)
            .count();
        assert!(
            machines <= 2,
            "seed {seed}: {machines} machines for one task"
        );
        // Only the task that runs counts against the team's limit.
        let leader = simulation.leader().expect("a leader");
        let scheduler = simulation.nodes[leader]
            .controller
            .scheduler()
            .expect("a leader's scheduler");
        let first = simulation.jobs["job-000001"].spec.need;
        assert_eq!(scheduler.used_by("red"), first, "seed {seed}");
        for i in 0..4 {
            let mut spec = job_spec(&mut simulation, JobKind::Array, 5, 10, &[]);
            spec.team = "red".to_owned();
            simulation.submit(&format!("job-00003{i}"), spec);
        }
        // These jobs may use all capacity that the first task leaves free, so even a single machine with three
        // slots completes their 20 tasks of about ten seconds in seven rounds.
        for t in 75..100 {
            run_until(&mut simulation, seed, t);
            let machines_up = simulation
                .agents
                .values()
                .filter(|agent| !agent.is_gone && agent.is_up(simulation.now));
            let slots: u64 = machines_up.map(|agent| agent.size.cpu / 2_000).sum();
            let ids = (0..4).map(|i| format!("job-00003{i}"));
            let (running, left) = ids.fold((0, 0), |(running, left), id| {
                let done = simulation
                    .completed_tasks
                    .get(&id)
                    .map_or(0, |tasks| tasks.len());
                (running + simulation.running_tasks(&id), left + 5 - done)
            });
            let expected = (slots as usize - 1).min(left);
            assert!(
                running + 2 >= expected,
                "seed {seed}: {running} of {expected} run at {t} s"
            );
        }
        run_until(&mut simulation, seed, 190);
        for i in 0..4 {
            assert!(simulation.is_done(&format!("job-00003{i}")), "seed {seed}");
        }
    }
}

/// Dependencies inherit the priority and the deadline of the last job: under steady overload with jobs of a higher
/// priority than their own, the chain is done in time.
#[test]
fn dependencies_inherit_the_last_jobs_priority() {
    for seed in 60..64 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        for round in 0..60u64 {
            run_until(&mut simulation, seed, 5 + round * 2);
            let mut spec = job_spec(&mut simulation, JobKind::Array, 8, 12, &[]);
            spec.priority = Priority::Normal;
            simulation.submit(&format!("job-1{round:03}0"), spec);
            if round == 30 {
                let first = job_spec(&mut simulation, JobKind::Array, 14, 12, &[]);
                simulation.submit("job-000090", first);
                let second = job_spec(&mut simulation, JobKind::Array, 14, 12, &["job-000090"]);
                simulation.submit("job-000080", second);
                let mut last = job_spec(&mut simulation, JobKind::Array, 1, 3, &["job-000080"]);
                last.priority = Priority::High;
                last.deadline = Some(secs(90));
                simulation.submit("job-000070", last);
            }
        }
        run_until(&mut simulation, seed, 66 + 90);
        assert!(
            simulation.is_done("job-000070"),
            "seed {seed}: the chain is late"
        );
        let unfinished = simulation
            .jobs
            .keys()
            .filter(|id| id.starts_with("job-1") && !simulation.is_done(id));
        assert!(unfinished.count() > 3, "seed {seed}: there was no overload");
    }
}
