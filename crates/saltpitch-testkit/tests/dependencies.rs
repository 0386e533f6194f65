//! Jobs that need others to be done first: released, withdrawn, urgent for the sake of the last one.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::records::job_key;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn run(w: &mut Simulation, seed: u64, until: u64) {
    if let Err(e) = w.run(secs(until)) {
        panic!("seed {seed}: {e}");
    }
}

fn job(
    w: &mut Simulation,
    kind: JobKind,
    tasks: u32,
    estimate: u64,
    dependencies: &[&str],
) -> JobSpec {
    let mut spec = w.draw_job();
    spec.kind = kind;
    spec.priority = Priority::Low;
    spec.class = "stage".to_owned();
    (spec.tasks, spec.zone, spec.one_zone) = (tasks, None, false);
    (spec.spread, spec.spot) = (false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = secs(estimate);
    spec.dependencies = dependencies.iter().map(|n| (*n).to_owned()).collect();
    spec
}

/// A split, two branches of which one is a gang, and the job that needs all of them.
fn diamond(w: &mut Simulation) -> [&'static str; 4] {
    let ids = ["job-000040", "job-000030", "job-000020", "job-000010"];
    let a = job(w, JobKind::Array, 3, 8, &[]);
    let b = job(w, JobKind::Array, 4, 10, &[ids[0]]);
    let c = job(w, JobKind::Gang, 2, 6, &[ids[0]]);
    let d = job(w, JobKind::Array, 2, 4, &[ids[0], ids[1], ids[2]]);
    for (id, spec) in ids.iter().zip([a, b, c, d]) {
        assert!(w.submit(id, spec), "{id}");
    }
    ids
}

#[test]
fn a_job_starts_when_all_its_dependencies_are_done() {
    for seed in 0..8 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        let ids = diamond(&mut w);
        // Leaders change between the stages, in some histories.
        for at in [20, 32, 44] {
            run(&mut w, seed, at);
            assert!(!w.is_done(ids[3]) || at == 44);
            if let Some(n) = w.leader().filter(|_| seed % 2 == 0) {
                w.crash(n);
            }
        }
        run(&mut w, seed, 200);
        for id in ids {
            assert!(w.is_done(id), "seed {seed}: {id}");
        }
        // One that comes when all are over, and is named in the same breath.
        let late = job(&mut w, JobKind::Array, 1, 2, &[ids[1], ids[2]]);
        w.submit("job-000050", late);
        run(&mut w, seed, 240);
        assert!(w.is_done("job-000050"));
    }
}

/// Whatever needs a cancelled job is withdrawn with it, whoever leads and when, and so is what comes
/// later and names one of them.
#[test]
fn a_cancellation_cancels_all_dependents() {
    for seed in 20..32 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        let ids = diamond(&mut w);
        let wait = w.random_below(25_000);
        let at = w.now.plus(Micros::from_millis(wait));
        while w.now < at {
            w.step().expect("no rule is broken");
        }
        if seed % 3 == 0 {
            let n = w.leader().unwrap_or(0);
            w.crash(n);
        }
        let first_done = w.is_done(ids[0]);
        let cut = if first_done { ids[2] } else { ids[0] };
        w.cancel(cut);
        if seed % 3 == 1 {
            let n = w.leader().unwrap_or(0);
            w.crash(n);
        }
        let off = w.jobs[cut].cancelled_at.is_some();
        assert_eq!(w.jobs[ids[3]].dependency_cancelled_at.is_some(), off);
        let late = job(&mut w, JobKind::Array, 1, 2, &[ids[3]]);
        assert!(w.submit("job-000050", late), "accepted all the same");
        run(&mut w, seed, 300);
        let last = w.jobs["job-000050"].dependency_cancelled_at.is_some();
        assert_eq!(last, off);
        assert_eq!(w.is_done("job-000050"), !off, "seed {seed}");
        assert_eq!(
            w.is_done(ids[1]),
            first_done,
            "seed {seed}: the other branch"
        );
        // Not only by what follows from the other records.
        let record = &w.store.keys[&job_key(ids[3])].value;
        assert_eq!(record.contains("cancelled"), off, "seed {seed}: {record}");
        let end = job(&mut w, JobKind::Array, 1, 2, &["job-000050"]);
        w.submit("job-000060", end);
        run(&mut w, seed, 340);
        assert_eq!(w.is_done("job-000060"), !off, "seed {seed}");
    }
}

/// A waiting job holds nothing of its team's limit or guarantee, and no machine is rented for it.
#[test]
fn a_job_with_open_dependencies_uses_no_quota_and_no_machine() {
    for seed in 40..44 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        let mut first = job(&mut w, JobKind::Array, 1, 400, &[]);
        first.team = "red".to_owned();
        w.submit("job-000001", first);
        for i in 0..6 {
            let mut spec = job(&mut w, JobKind::Gang, 5, 300, &["job-000001"]);
            (spec.team, spec.need.cpu) = ("red".to_owned(), 4_000);
            spec.priority = Priority::High;
            w.submit(&format!("job-00002{i}"), spec);
        }
        run(&mut w, seed, 60);
        let there = w.agents.values().filter(|m| !m.is_gone).count();
        assert!(there <= 2, "seed {seed}: {there} machines for one task");
        // Only the task that runs counts against the team's limit.
        let leader = w.leader().expect("a leader");
        let scheduler = w.nodes[leader].controller.scheduler().expect("leads");
        let first = w.jobs["job-000001"].spec.need;
        assert_eq!(scheduler.used_by("red"), first, "seed {seed}");
        for i in 0..4 {
            let mut spec = job(&mut w, JobKind::Array, 5, 10, &[]);
            spec.team = "red".to_owned();
            w.submit(&format!("job-00003{i}"), spec);
        }
        // Whatever the first task leaves of the machines is theirs, so even a single machine with three
        // places gets through twenty tasks of about ten seconds in seven rounds.
        for t in 75..100 {
            run(&mut w, seed, t);
            let there = w.agents.values().filter(|m| !m.is_gone && m.is_up(w.now));
            let places: u64 = there.map(|m| m.size.cpu / 2_000).sum();
            let ids = (0..4).map(|i| format!("job-00003{i}"));
            let (on, left) = ids.fold((0, 0), |(on, left), id| {
                let done = w.completed_tasks.get(&id).map_or(0, |d| d.len());
                (on + w.running_tasks(&id), left + 5 - done)
            });
            let expected = (places as usize - 1).min(left);
            assert!(
                on + 2 >= expected,
                "seed {seed}: {on} of {expected} run at {t} s"
            );
        }
        run(&mut w, seed, 190);
        for i in 0..4 {
            assert!(w.is_done(&format!("job-00003{i}")), "seed {seed}");
        }
    }
}

/// The last job's priority and deadline serve the jobs before it: under steady overload of work that is
/// more urgent than they are by themselves, the chain comes through.
#[test]
fn dependencies_inherit_the_last_jobs_priority() {
    for seed in 60..64 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        for t in 0..60u64 {
            run(&mut w, seed, 5 + t * 2);
            let mut spec = job(&mut w, JobKind::Array, 8, 12, &[]);
            spec.priority = Priority::Normal;
            w.submit(&format!("job-1{t:03}0"), spec);
            if t == 30 {
                let a = job(&mut w, JobKind::Array, 14, 12, &[]);
                w.submit("job-000090", a);
                let b = job(&mut w, JobKind::Array, 14, 12, &["job-000090"]);
                w.submit("job-000080", b);
                let mut c = job(&mut w, JobKind::Array, 1, 3, &["job-000080"]);
                c.priority = Priority::High;
                c.deadline = Some(secs(90));
                w.submit("job-000070", c);
            }
        }
        run(&mut w, seed, 66 + 90);
        assert!(w.is_done("job-000070"), "seed {seed}: the chain is late");
        let waits = w
            .jobs
            .keys()
            .filter(|id| id.starts_with("job-1") && !w.is_done(id));
        assert!(waits.count() > 3, "seed {seed}: there was no overload");
    }
}
