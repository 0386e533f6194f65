//! The state service refuses one controller alone for a few seconds. The controller reads all records again
//! afterwards, while its users ask for jobs.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::log;
use crate::site::{self, job, lock, poll, submit, Plan};
use crate::state::Delay;
use crate::Outcome;

/// The slow answers take between these times: "now and then a few hundred" milliseconds.
const SLOW_MS: std::ops::Range<u64> = 100..500;
/// For how long such answers occur each time.
const SLOW_TIME: Duration = Duration::from_millis(1_500);

/// What the state service has seen of the controller that it refused.
#[derive(Default)]
struct Seen {
    /// Watches that were refused in a row since the refusal began.
    refused_watches: usize,
    /// Until when two of three of its watches are answered slowly.
    slow_until: Option<Instant>,
}

pub fn run(root: &str, folder: &str, trouble: bool) -> Outcome {
    let plan = Plan {
        initial: Vec::new(),
        max_machines: 0,
        ..Plan::parking()
    };
    let mut site = site::set_up(plan, root, folder);
    for n in 0..3 {
        site.controllers.start(n);
    }
    if !site.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not get ready".into());
    }
    let Some(leader) = site.leader() else {
        return Outcome::CouldNotRun("no leader".into());
    };
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    log::line(format!(
        "bollard-{leader} leads; the others are refused by turns"
    ));

    let seen: Arc<Mutex<[Seen; 3]>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let listings = Arc::new(AtomicUsize::new(0));
    {
        let (seen, listings) = (seen.clone(), listings.clone());
        site.state
            .set_observer(Box::new(move |from, request, status, body| {
                if from == leader {
                    return;
                }
                let seen = &mut seen.lock().expect("no panic")[from];
                if request.path == "/watch" && request.parameter("wait_ms") != Some("0") {
                    if status == 503 {
                        seen.refused_watches += 1;
                    } else {
                        seen.refused_watches = 0;
                    }
                }
                if request.path == "/store" && status == 200 && body.contains("\"has_next\":false")
                {
                    listings.fetch_add(1, Ordering::Relaxed);
                    log::line(format!("bollard-{from} has read all records again"));
                }
            }));
    }
    {
        let seen = seen.clone();
        let mut random = u64::from(std::process::id()) * 0x9E37_79B9_7F4A_7C15 + 1;
        site.state.set_delay(Some(Box::new(move |from, request| {
            let slow_until = seen.lock().expect("no panic")[from].slow_until;
            let is_slow_time = slow_until.is_some_and(|until| Instant::now() < until);
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            if from == leader
                || request.path != "/watch"
                || !is_slow_time
                || (random >> 33) % 3 == 0
            {
                return Delay::default();
            }
            log::line(format!(
                "slow answer to bollard-{from}: watch {}",
                request.query
            ));
            let ms = SLOW_MS.start + (random >> 13) % (SLOW_MS.end - SLOW_MS.start);
            Delay {
                after: Duration::from_millis(ms),
                ..Delay::default()
            }
        })));
    }

    // Users submit jobs at the leader and ask for them at the others.
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    {
        let (world, api, stop, accepted) = (
            site.world.clone(),
            site.api.clone(),
            stop.clone(),
            accepted.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("job-{number:06}");
                let body = job(&id, "longstay-ops", "sweep", "normal", 2, 1.0, 1.0, 60.0);
                if submit(&world, &api, leader, &id, &body).is_some_and(|(status, _)| status < 300)
                {
                    accepted.lock().expect("no panic").push(id);
                }
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    for user in 0..16 {
        let node = followers[user / 8];
        let (world, api, stop, accepted) = (
            site.world.clone(),
            site.api.clone(),
            stop.clone(),
            accepted.clone(),
        );
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let id = {
                    let accepted = accepted.lock().expect("no panic");
                    let back = accepted.len().saturating_sub(1 + user % 4);
                    accepted.get(back).cloned()
                };
                if let Some(id) = id {
                    poll(&world, &api, node, &id);
                }
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let ends = Instant::now() + Duration::from_secs(90);
    let mut node = followers[0];
    while Instant::now() < ends && lock(&site.world).violations.is_empty() {
        node = followers[usize::from(node == followers[0])];
        seen.lock().expect("no panic")[node].refused_watches = 0;
        if trouble {
            site.state.set_refused(node, true);
            log::line(format!("the state service refuses bollard-{node}"));
            let until = Instant::now() + Duration::from_secs(8);
            while Instant::now() < until && seen.lock().expect("no panic")[node].refused_watches < 5
            {
                std::thread::sleep(Duration::from_millis(5));
            }
            site.state.set_refused(node, false);
            log::line(format!("the state service serves bollard-{node} again"));
        } else {
            std::thread::sleep(Duration::from_millis(2_500));
        }
        seen.lock().expect("no panic")[node].slow_until = Some(Instant::now() + SLOW_TIME);
    }
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let w = lock(&site.world);
    let jobs = accepted.lock().expect("no panic").len();
    let text = format!(
        "{jobs} jobs accepted, {} listings after the start",
        listings.load(Ordering::Relaxed)
    );
    match w.violations.first() {
        Some((rule, what)) => Outcome::Broken(format!("{rule}: {what}; {text}")),
        None if jobs == 0 => Outcome::CouldNotRun("no job was accepted".into()),
        None => Outcome::Held(text),
    }
}
