//! Tasks whose processors have four decimals.

use std::time::{Duration, Instant};

use crate::log;
use crate::site::{self, job, lock, poll, submit, Plan};
use crate::Outcome;

const TEAM: &str = "valet-ops";
const ID: &str = "job-000412";

pub fn run(root: &str, folder: &str, trouble: bool) -> Outcome {
    let plan = Plan {
        initial: vec![
            ("kerbside".into(), "eagle-farm".into(), 12),
            ("kerbside".into(), "coolangatta".into(), 12),
        ],
        max_machines: 24,
        ..Plan::parking()
    };
    let mut site = site::set_up(plan, root, folder);
    for n in 0..3 {
        site.controllers.start(n);
    }
    if !site.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not get ready".into());
    }
    let cpus = if trouble { 2.0004 } else { 2.0 };
    let body = job(ID, TEAM, "sweep", "normal", 140, cpus, 3.6, 90.0);
    if !(0..5)
        .any(|n| submit(&site.world, &site.api, n % 3, ID, &body).is_some_and(|(s, _)| s < 300))
    {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    let started = Instant::now();
    let mut most = 0.0f64;
    while started.elapsed() < Duration::from_secs(60) {
        std::thread::sleep(Duration::from_millis(200));
        let w = lock(&site.world);
        let tasks = w
            .workers
            .values()
            .filter(|x| x.is_up && !x.is_gone)
            .flat_map(|x| x.tasks.values())
            .filter(|task| task.is_on())
            .count();
        most = most.max(tasks as f64 * cpus);
        if !w.violations.is_empty() {
            break;
        }
    }
    poll(&site.world, &site.api, 0, ID);
    let w = lock(&site.world);
    let text = format!(
        "at most {most:.4} processors in use, {} tasks started",
        w.starts
    );
    log::line(&text);
    match w.violations.first() {
        Some((rule, what)) => Outcome::Broken(format!("{rule}: {what}; {text}")),
        None => Outcome::Held(text),
    }
}
