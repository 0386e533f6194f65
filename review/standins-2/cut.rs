//! One machine of many has room for a waiting job, and the search for room never looks at it.

use std::time::{Duration, Instant};

use crate::log;
use crate::site::{self, job, lock, poll, submit, Plan, TaskState};
use crate::Outcome;

const TEAM: &str = "transit-study";
/// Fills the memory of its machines and leaves most of their CPUs.
const FILLER: &str = "job-000101";
/// A small task on the machine that has room.
const SMALL: &str = "job-000102";
/// The job that waits.
const WAITING: &str = "job-000103";
/// "No job is left waiting for 90 s while a machine that fits has room."
const LIMIT: f64 = 90.0;

fn running(world: &mut site::World, id: &str) -> usize {
    world
        .workers
        .values()
        .filter(|worker| !worker.is_gone)
        .flat_map(|worker| worker.tasks.iter())
        .filter(|((job, _, _), task)| job == id && matches!(task.state, TaskState::Running(_)))
        .count()
}

pub fn run(root: &str, folder: &str, trouble: bool) -> Outcome {
    let parking = Plan::parking();
    let mut teams = parking.teams.clone();
    teams.push((TEAM.into(), 0.0, 0.0, 0.0, 0.0));
    let plan = Plan {
        teams,
        initial: vec![("kerbside".into(), "eagle-farm".into(), 51)],
        ..parking
    };
    let (cpus, mem) = (plan.types[0].1, plan.types[0].3);
    let mut site = site::set_up(plan, root, folder);
    // No further machine is to be had.
    lock(&site.world).no_capacity = true;
    for n in 0..3 {
        site.controllers.start(n);
    }
    if !site.wait_until_ready(Duration::from_secs(10)) {
        return Outcome::CouldNotRun("the controllers did not get ready".into());
    }
    let one = |id: &str, legs: u64, cpus: f64, mem: f64| {
        (
            id.to_owned(),
            job(id, TEAM, "sweep", "best_effort", legs, cpus, mem, 600.0),
        )
    };
    let place = |(id, body): (String, String), count: usize, limit: u64| {
        let accepted = (0..5).any(|n| {
            submit(&site.world, &site.api, n % 3, &id, &body).is_some_and(|(s, _)| s < 300)
        });
        accepted && site.wait_until(Duration::from_secs(limit), |w| running(w, &id) >= count)
    };
    if !place(one(FILLER, 50, 4.0, mem), 50, 15) || !place(one(SMALL, 1, 1.0, 1.0), 1, 10) {
        return Outcome::CouldNotRun("the first jobs were not placed".into());
    }
    log::line("50 machines have no memory left, one has 31 GB and 15 CPUs");
    if trouble {
        let name = {
            let mut w = lock(&site.world);
            let has_filler =
                |worker: &&mut site::Worker| worker.tasks.keys().any(|(job, _, _)| job == FILLER);
            let Some(worker) = w.workers.values_mut().find(has_filler) else {
                return Outcome::CouldNotRun("no machine to stop".into());
            };
            worker.is_gone = true;
            worker.failed_at = Some(log::seconds());
            worker.tasks.clear();
            worker.name.clone()
        };
        log::line(format!("machine {name} stops with all that is on it"));
        if !site.wait_until(Duration::from_secs(16), |w| w.returned.contains(&name)) {
            return Outcome::CouldNotRun("the lost machine was not returned in time".into());
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    let (id, body) = one(WAITING, 1, 1.0, 4.0);
    if !(0..5)
        .any(|n| submit(&site.world, &site.api, n % 3, &id, &body).is_some_and(|(s, _)| s < 300))
    {
        return Outcome::CouldNotRun("the last job was not accepted".into());
    }
    let submitted = Instant::now();
    let mut waited = 0.0;
    while waited <= LIMIT {
        std::thread::sleep(Duration::from_millis(500));
        let w = lock(&site.world);
        if w.workers
            .values()
            .any(|x| x.tasks.keys().any(|(job, _, _)| job == WAITING))
        {
            let text = format!(
                "the job got a machine after {:.1} s",
                submitted.elapsed().as_secs_f64()
            );
            return match w.violations.first() {
                Some((rule, what)) => Outcome::Broken(format!("{rule}: {what}")),
                None => Outcome::Held(text),
            };
        }
        // The time counts only while a machine that is up has room for the job.
        let has_room = w.workers.values().any(|x| {
            x.is_up && !x.is_gone && {
                let on = |id: &str| x.tasks.keys().filter(|(job, _, _)| job == id).count() as f64;
                let used_cpus = 4.0 * on(FILLER) + on(SMALL);
                let used_mem = mem * on(FILLER) + on(SMALL);
                cpus - used_cpus >= 1.0 && mem - used_mem >= 4.0
            }
        });
        if !has_room {
            return Outcome::CouldNotRun("no machine has room".into());
        }
        drop(w);
        let last = waited as u64 / 10;
        waited = submitted.elapsed().as_secs_f64();
        if waited as u64 / 10 != last {
            poll(&site.world, &site.api, 0, WAITING);
        }
    }
    Outcome::Broken(format!(
        "{WAITING} has waited for {waited:.1} s while a machine had 15 CPUs and 31 GB free"
    ))
}
