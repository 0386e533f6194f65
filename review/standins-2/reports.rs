//! One array of many small tasks, which the controllers place on one large machine.

use std::time::{Duration, Instant};

use crate::log;
use crate::site::{self, job, lock, poll, submit, Plan, TaskState};
use crate::Outcome;

const ARRAY: &str = "job-000412";
const SERVICE: &str = "job-000398";

pub fn run(root: &str, folder: &str, trouble: bool) -> Outcome {
    let started = Instant::now();
    // "At times machines are up within a second or two."
    let plan = Plan {
        boot_s: Some(1.2),
        ..Plan::canal()
    };
    let mut site = site::set_up(plan, root, folder);
    for n in 0..3 {
        site.controllers.start(n);
    }
    if !site.wait_until_ready(Duration::from_secs(12)) {
        return Outcome::CouldNotRun("the controllers did not get ready".into());
    }
    let dredger_only =
        |body: String| body.replace("\"hulls_list\":null", "\"hulls_list\":[\"dredger\"]");
    let service = dredger_only(job(
        SERVICE,
        "quay-ops-00",
        "service",
        "production",
        1,
        2.0,
        11.0,
        0.0,
    ));
    let legs = if trouble { 1_800 } else { 900 };
    let array = dredger_only(job(
        ARRAY,
        "quay-ops-01",
        "sweep",
        "best_effort",
        legs,
        0.05,
        0.1,
        50.0,
    ));
    for (id, body) in [(SERVICE, &service), (ARRAY, &array)] {
        let accepted = (0..10).any(|attempt| {
            if attempt > 0 {
                std::thread::sleep(Duration::from_secs(1));
            }
            submit(&site.world, &site.api, attempt % 3, id, body)
                .is_some_and(|(status, _)| status < 300)
        });
        if !accepted {
            return Outcome::CouldNotRun(format!("{id} was not accepted"));
        }
        site.wait_until(Duration::from_secs(15), |w| {
            let is_on = |t: &crate::site::Task| matches!(t.state, TaskState::Running(_));
            w.workers.values().any(|worker| {
                worker
                    .tasks
                    .iter()
                    .any(|((j, _, _), t)| j == id && is_on(t))
            })
        });
    }
    while started.elapsed() < Duration::from_secs(112) {
        std::thread::sleep(Duration::from_secs(2));
        for n in 0..3 {
            poll(&site.world, &site.api, n, ARRAY);
        }
        if lock(&site.world).jobs[ARRAY].told_done_at.is_some() {
            break;
        }
    }
    let w = lock(&site.world);
    let done = (0..legs)
        .filter(|task| w.done.contains(&(ARRAY.to_owned(), *task as u32)))
        .count();
    let text = format!(
        "{done} of {legs} tasks done, {} tasks started, largest report {} bytes, {} reports refused, {} leases ended, \
         the service was started {} times",
        w.starts, w.largest_report, w.reports_refused, w.expired_leases, w.service_starts
    );
    log::line(&text);
    if let Some((rule, what)) = w.violations.first() {
        return Outcome::Broken(format!("{rule}: {what}; {text}"));
    }
    let is_done = w.jobs[ARRAY].told_done_at.is_some();
    if !is_done && w.expired_leases > 0 && w.reports_refused > 0 {
        return Outcome::Broken(format!(
            "the tasks were ended with their machine's lease: {text}"
        ));
    }
    if !is_done {
        return Outcome::CouldNotRun(format!("not done in time: {text}"));
    }
    Outcome::Held(text)
}
