//! Two cells of three controllers each, with a link that is cut and restored under load.

mod link;
mod load;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use link::Link;
use poem::http::Method;
use saltpitch_core::job::{JobKind, JobState, Priority};
use saltpitch_core::records::DelegationState;
use saltpitch_core::Micros;
use serde_json::json;

use crate::site::{
    self, call, free_addr, job, submit, submit_body, until, wait_for, Addresses, Programs, Shared,
};

const CONTROLLERS: usize = 3;
const HOME: &str = "canal";
const HOST: &str = "harbour";
/// How often the machines of both cells are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// The host's file: it takes the home's jobs.
fn host_file(listen: &[std::net::SocketAddr]) -> String {
    let listen: Vec<String> = (0..CONTROLLERS)
        .map(|n| format!("n{n} = \"{}\"", listen[n]))
        .collect();
    format!(
        "cell = \"{HOST}\"\n[[neighbour]]\nname = \"{HOME}\"\n[neighbour.guests]\nteam = \"guests\"\n\
         max_jobs = 20\nmax_tasks = 100\nmax_waiting = 4\n[neighbour.guests.listen]\n{}\n",
        listen.join("\n")
    )
}

/// The home's file: it lends to the host.
fn home_file(links: &[Link]) -> String {
    let addresses: Vec<String> = links.iter().map(|l| format!("\"{}\"", l.address)).collect();
    format!(
        "cell = \"{HOME}\"\n[[neighbour]]\nname = \"{HOST}\"\n[neighbour.lend]\naddresses = [{}]\n\
         cancel_s = 20.0\nmachine_types = [\"box\"]\nafter_s = 1.0\nmin_run_s = 0.1\n\
         recall_after_s = 5.0\nmax_jobs = 20\nmax_tasks = 100\ncalls_per_s = 20.0\n\
         changes_per_s = 20.0\n",
        addresses.join(", ")
    )
}

struct Cell {
    site: Shared,
    addresses: Addresses,
    programs: Programs,
}

struct TwoCells {
    home: Cell,
    host: Cell,
    links: Vec<Link>,
}

impl TwoCells {
    /// Starts both; the host keeps machines up with room beside its services, the home can rent none.
    async fn start() -> TwoCells {
        TwoCells::start_with(true).await
    }

    /// The same, with or without a file on cells at home.
    async fn start_with(spilling: bool) -> TwoCells {
        let listen: Vec<_> = (0..CONTROLLERS).map(|_| free_addr()).collect();
        let links: Vec<Link> = listen.iter().map(|address| Link::start(*address)).collect();
        let host = Cell::start(HOST, Some(host_file(&listen))).await;
        let file = spilling.then(|| home_file(&links));
        let home = Cell::start(HOME, file).await;
        home.site.lock().expect("lock").max_machines = 0;
        submit_service(&host, "job-000900", 5).await;
        wait_for(host.addresses.api[1], "job-000900", "running").await;
        TwoCells { home, host, links }
    }

    fn cut(&self, cut: bool) {
        for link in &self.links {
            link.cut(cut);
        }
    }

    /// Submits an array at home; its description is known wherever it may run.
    async fn submit(&self, id: &str, tasks: u32) {
        self.submit_with(id, tasks, 0.5).await;
    }

    /// The same, with tasks that run for so many seconds.
    async fn submit_with(&self, id: &str, tasks: u32, run_s: f64) {
        let (mut body, mut spec) = job(id, JobKind::Array, tasks);
        body["passage_s"] = json!(run_s);
        spec.estimate = Micros::from_secs_f64(run_s);
        submit_body(&self.home.site, self.home.addresses.api[0], id, body, spec).await;
        let spec = self.home.site.lock().expect("lock").specs[id].clone();
        let mut host = self.host.site.lock().expect("lock");
        host.specs.insert(id.to_owned(), spec);
    }

    fn guest(id: &str) -> String {
        format!("{HOME}.{id}000001")
    }

    fn delegation(&self, id: &str) -> Option<DelegationState> {
        let record = self.home.site.lock().expect("lock").record(id)?;
        Some(record.delegation?.state)
    }

    async fn wait_until(&self, what: &str, reached: impl Fn(&TwoCells) -> bool) {
        for _ in 0..1_200 {
            if reached(self) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{what}: never reached");
    }
}

/// Submits a service of production to a cell.
async fn submit_service(cell: &Cell, id: &str, replicas: u32) {
    let (mut body, mut spec) = job(id, JobKind::Service, replicas);
    body["precedence"] = json!("production");
    spec.priority = Priority::Production;
    submit_body(&cell.site, cell.addresses.api[0], id, body, spec).await;
}

impl Cell {
    async fn start(name: &str, file: Option<String>) -> Cell {
        let (site, addresses) = site::start(CONTROLLERS);
        let mut programs = Programs::new(name, &addresses, file.as_deref());
        programs.start_all();
        for address in &addresses.api {
            until(*address, Method::GET, "/up", None, |r| r.0 == 200).await;
        }
        Cell {
            site,
            addresses,
            programs,
        }
    }

    /// The controller that leads by the records.
    fn leader(&self) -> usize {
        let site = self.site.lock().expect("lock");
        let leader = &site.store.keys["salt/leader"].value;
        let leads = |n: &usize| leader.contains(&format!("\"n{n}\""));
        (0..CONTROLLERS).find(leads).expect("a leader")
    }
}

fn home_id(id: &str) -> String {
    let sent = id.split_once('.').map(|(_, sent)| sent);
    let home = sent.and_then(saltpitch_cells::ids::home_id);
    home.unwrap_or(id).to_owned()
}

/// The tasks that a cell's machines have and that have not ended, by their jobs' ids at home.
fn running(site: &Shared) -> BTreeSet<(String, u32)> {
    let site = site.lock().expect("lock");
    let machines = site.agents.values().filter(|machine| !machine.gone);
    let tasks = machines.flat_map(|machine| &machine.tasks);
    tasks
        .filter(|(_, held)| !held.exited())
        .map(|(((id, task), _), _)| (home_id(id), *task))
        .collect()
}

/// Looks at the machines of both cells again and again until `over`: no task is in both at a time.
async fn watch(home: Shared, host: Shared, over: Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        let there = running(&host);
        let both: Vec<_> = running(&home).intersection(&there).cloned().collect();
        assert!(both.is_empty(), "in both cells: {both:?}");
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// How often each task of these jobs has completed, in both cells together.
fn completions(cells: &TwoCells) -> BTreeMap<(String, u32), u32> {
    let mut all = BTreeMap::new();
    for cell in [&cells.home, &cells.host] {
        let site = cell.site.lock().expect("lock");
        for ((id, task), times) in &site.completions {
            *all.entry((home_id(id), *task)).or_default() += times;
        }
    }
    all
}

#[tokio::test]
async fn the_link_is_cut_and_restored_and_every_job_completes_once() {
    let mut cells = TwoCells::start().await;
    let over = Arc::new(AtomicBool::new(false));
    let (home, host) = (cells.home.site.clone(), cells.host.site.clone());
    let watcher = tokio::spawn(watch(home, host, over.clone()));

    // Home has no machines: its work runs at the host.
    let jobs: Vec<String> = (1..=12).map(|n| format!("job-0001{n:02}")).collect();
    for id in &jobs[..4] {
        cells.submit(id, 2).await;
    }
    for id in &jobs[..2] {
        wait_for(cells.home.addresses.api[1], id, "done").await;
    }

    // The link is cut under load, and home loses its leader. The host's own work goes on, and so does
    // home's once it has machines.
    for id in &jobs[4..8] {
        cells.submit(id, 2).await;
    }
    let offered = |cells: &TwoCells| jobs[4..8].iter().any(|id| cells.delegation(id).is_some());
    cells.wait_until("a job is offered", offered).await;
    cells.cut(true);
    let leader = cells.home.leader();
    cells.home.programs.kill(leader);
    let serving = cells.home.addresses.api[(leader + 1) % CONTROLLERS];
    let host_api = cells.host.addresses.api[0];
    submit(&cells.host.site, host_api, "job-000801", JobKind::Array, 2).await;
    wait_for(host_api, "job-000801", "done").await;
    let before: u64 = cells.links.iter().map(Link::connections).sum();
    cells.home.site.lock().expect("lock").max_machines = 2;
    for id in &jobs[8..12] {
        submit(&cells.home.site, serving, id, JobKind::Array, 2).await;
        wait_for(serving, id, "done").await;
    }
    let calls = cells.links.iter().map(Link::connections).sum::<u64>() - before;
    assert!(calls < 60, "{calls} connections over a link that is cut");
    cells.home.programs.start(leader);

    // What was held is delivered, and everything completes.
    cells.cut(false);
    for id in &jobs {
        wait_for(serving, id, "done").await;
    }
    over.store(true, Ordering::Relaxed);
    watcher.await.expect("no task was in both cells");
    let completions = completions(&cells);
    for id in &jobs {
        for task in 0..2 {
            let times = completions.get(&(id.clone(), task));
            assert_eq!(times, Some(&1), "{id}/{task}");
        }
    }
}

#[tokio::test]
async fn a_cancellation_waits_for_the_host_and_the_operator_sees_it() {
    let cells = TwoCells::start().await;
    let id = "job-000201";
    cells.submit_with(id, 1, 60.0).await;
    let runs = |cells: &TwoCells| cells.delegation(id) == Some(DelegationState::Running);
    cells.wait_until("it runs at the host", runs).await;
    wait_for(cells.home.addresses.api[2], id, "running").await;
    cells.cut(true);
    let path = format!("/v2/runs/{id}/abort");
    let home = cells.home.addresses.api[0];
    let asked = call(home, Method::POST, &path, None)
        .await
        .expect("an answer");
    assert_eq!(asked.0, 503, "{asked:?}");

    // The command shows it, and refuses what the operator does not vouch for.
    let listed = cells.home.programs.command(&["list"]).await;
    assert_eq!(listed.0, Some(0));
    let line =
        format!("{id}: at cell {HOST} as {id}000001, running, its user waits for the cancellation");
    assert!(listed.1.contains(&line), "{listed:?}");
    let refused = cells
        .home
        .programs
        .command(&["give-up", "--job", id, "--cell", HOST])
        .await;
    assert_eq!(refused.0, Some(2), "{refused:?}");
    let vouched = [
        "give-up",
        "--job",
        id,
        "--cell",
        "elsewhere",
        "--nothing-runs-there",
    ];
    let refused = cells.home.programs.command(&vouched).await;
    assert_eq!(refused.0, Some(2), "{refused:?}");

    cells.cut(false);
    let told = until(home, Method::POST, &path, None, |reply| reply.0 == 200).await;
    assert_eq!(told.1["status"], "withdrawn");
    let guest = TwoCells::guest(id);
    let host = cells.host.site.lock().expect("lock").record(&guest);
    assert!(host.is_some_and(|record| record.state == JobState::Cancelled));
    let gone = |cells: &TwoCells| cells.host.site.lock().expect("lock").held(&guest) == 0;
    cells.wait_until("its tasks are gone", gone).await;
}

/// How long the load is played, in seconds, and where the report goes.
const REPORT_SECONDS: &str = "CELLS_REPORT_SECONDS";
const REPORT_FILE: &str = "CELLS_REPORT";

#[tokio::test]
#[ignore = "takes minutes; docs/measurements.md has the command"]
async fn a_report_on_minutes_of_load() {
    let seconds = std::env::var(REPORT_SECONDS).ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(180);
    let time = std::time::Duration::from_secs(seconds);
    let (spilling, without) = tokio::join!(TwoCells::start(), TwoCells::start_with(false));
    let runs = tokio::join!(load::play(&spilling, time), load::play(&without, time));
    let path = std::env::var(REPORT_FILE).unwrap_or_else(|_| "cells-report.html".to_owned());
    report::write(path.as_ref(), &runs.0, &runs.1).expect("a report");
    for run in [&runs.0, &runs.1] {
        println!(
            "{} jobs, {} done, {} tasks twice; job waits {}; service waits {}",
            run.jobs,
            run.done,
            run.repeated,
            report::summary(&run.job_waits),
            report::summary(&run.service_waits)
        );
        assert_eq!((run.done, run.repeated), (run.jobs, 0));
    }
}
