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
use saltpitch_core::job::{JobKind, JobState};
use saltpitch_core::records::DelegationState;

use crate::site::{
    self, call, free_addr, lock, origin_id, submit, until, until_healthy, wait_for_status,
    Addresses, Job, Programs, SharedSite,
};

const CONTROLLERS: usize = 3;
const ORIGIN: &str = "canal";
const HOST: &str = "harbour";
/// How often it is checked that no task runs in both cells.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The host's file: it takes the origin's jobs.
fn host_file(listen: &[std::net::SocketAddr]) -> String {
    let listen: Vec<String> = (0..CONTROLLERS)
        .map(|n| format!("n{n} = \"{}\"", listen[n]))
        .collect();
    format!(
        "cell = \"{HOST}\"\n[[neighbour]]\nname = \"{ORIGIN}\"\n[neighbour.guests]\nteam = \"guests\"\n\
         max_jobs = 20\nmax_tasks = 100\nmax_waiting = 4\n[neighbour.guests.listen]\n{}\n",
        listen.join("\n")
    )
}

/// The origin's file: it delegates to the host.
fn origin_file(links: &[Link]) -> String {
    let addresses: Vec<String> = links
        .iter()
        .map(|link| format!("\"{}\"", link.address))
        .collect();
    format!(
        "cell = \"{ORIGIN}\"\n[[neighbour]]\nname = \"{HOST}\"\n[neighbour.lend]\naddresses = [{}]\n\
         cancel_s = 20.0\nmachine_types = [\"box\"]\nafter_s = 1.0\nmin_run_s = 0.1\n\
         recall_after_s = 5.0\nmax_jobs = 20\nmax_tasks = 100\ncalls_per_s = 20.0\n\
         changes_per_s = 20.0\n",
        addresses.join(", ")
    )
}

/// One cell: its stand-ins and its controllers.
struct Cell {
    site: SharedSite,
    addresses: Addresses,
    programs: Programs,
}

/// The cell where jobs are submitted, the one that it delegates to, and the links to it.
struct TwoCells {
    origin: Cell,
    host: Cell,
    links: Vec<Link>,
}

impl TwoCells {
    /// Starts both; the host has machines with free capacity beside its services, the origin has none.
    async fn start() -> TwoCells {
        TwoCells::start_with(true).await
    }

    /// The same, with or without a file on cells at the origin.
    async fn start_with(delegating: bool) -> TwoCells {
        let listen: Vec<_> = (0..CONTROLLERS).map(|_| free_addr()).collect();
        let links: Vec<Link> = listen.iter().map(|address| Link::start(*address)).collect();
        let host = Cell::start(HOST, Some(host_file(&listen))).await;
        let file = delegating.then(|| origin_file(&links));
        let origin = Cell::start(ORIGIN, file).await;
        lock(&origin.site).max_machines = 0;
        submit_service(&host, "job-000900", 5).await;
        wait_for_status(host.addresses.api[1], "job-000900", "running").await;
        TwoCells {
            origin,
            host,
            links,
        }
    }

    /// Cuts or restores all links.
    fn set_cut(&self, cut: bool) {
        for link in &self.links {
            link.set_cut(cut);
        }
    }

    /// Submits an array at the origin; its description is known wherever it may run.
    async fn submit(&self, id: &str, tasks: u32) {
        self.submit_job(id, Job::new(id, JobKind::Array, tasks))
            .await;
    }

    /// The same with any job.
    async fn submit_job(&self, id: &str, job: Job) {
        let spec = job.spec.clone();
        job.submit(&self.origin.site, self.origin.addresses.api[0])
            .await;
        lock(&self.host.site).specs.insert(id.to_owned(), spec);
    }

    /// The host's id for the first delegation of a job.
    fn id_at_host(id: &str) -> String {
        format!("{ORIGIN}.{id}000001")
    }

    /// The state of a job's delegation by the origin's records.
    fn delegation(&self, id: &str) -> Option<DelegationState> {
        let record = lock(&self.origin.site).record(id)?;
        Some(record.delegation?.state)
    }

    /// Waits until something holds; fails after a long while.
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

/// Submits a service of the highest priority to a cell.
async fn submit_service(cell: &Cell, id: &str, replicas: u32) {
    let service = Job::new(id, JobKind::Service, replicas).in_production();
    service.submit(&cell.site, cell.addresses.api[0]).await;
}

impl Cell {
    async fn start(name: &str, file: Option<String>) -> Cell {
        let (site, addresses) = site::start(CONTROLLERS);
        let mut programs = Programs::new(name, &addresses, file.as_deref());
        programs.start_all();
        for address in &addresses.api {
            until_healthy(*address).await;
        }
        Cell {
            site,
            addresses,
            programs,
        }
    }

    /// The controller that leads by the records.
    fn leader(&self) -> usize {
        let site = lock(&self.site);
        let leader = &site.store.keys["salt/leader"].value;
        let leads = |n: &usize| leader.contains(&format!("\"n{n}\""));
        (0..CONTROLLERS).find(leads).expect("a leader")
    }
}

/// The tasks that are on a cell's machines and have not ended, by their jobs' ids at the origin.
fn unfinished_tasks(site: &SharedSite) -> BTreeSet<(String, u32)> {
    lock(site)
        .machines()
        .flat_map(|agent| &agent.tasks)
        .filter(|(_, held)| !held.has_exited())
        .map(|(((id, task), _), _)| (origin_id(id).to_owned(), *task))
        .collect()
}

/// Checks the machines of both cells until `over`: no task is in both at a time.
async fn check_no_task_is_in_both(origin: SharedSite, host: SharedSite, over: Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        let at_host = unfinished_tasks(&host);
        let at_origin = unfinished_tasks(&origin);
        let both: Vec<_> = at_origin.intersection(&at_host).collect();
        assert!(both.is_empty(), "in both cells: {both:?}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// How often each task of these jobs has completed, in both cells together.
fn completions(cells: &TwoCells) -> BTreeMap<(String, u32), u32> {
    let mut all = BTreeMap::new();
    for cell in [&cells.origin, &cells.host] {
        for ((id, task), times) in &lock(&cell.site).completions {
            *all.entry((origin_id(id).to_owned(), *task)).or_default() += times;
        }
    }
    all
}

#[tokio::test]
async fn the_link_is_cut_and_restored_and_every_job_completes_once() {
    let mut cells = TwoCells::start().await;
    let over = Arc::new(AtomicBool::new(false));
    let (origin, host) = (cells.origin.site.clone(), cells.host.site.clone());
    let checker = tokio::spawn(check_no_task_is_in_both(origin, host, over.clone()));

    // The origin has no machines: its jobs run at the host.
    let jobs: Vec<String> = (1..=12).map(|n| format!("job-0001{n:02}")).collect();
    for id in &jobs[..4] {
        cells.submit(id, 2).await;
    }
    for id in &jobs[..2] {
        wait_for_status(cells.origin.addresses.api[1], id, "done").await;
    }

    // The link is cut under load, and the origin loses its leader. The host's own work goes on, and so does
    // the origin's once it has machines.
    for id in &jobs[4..8] {
        cells.submit(id, 2).await;
    }
    let offered = |cells: &TwoCells| jobs[4..8].iter().any(|id| cells.delegation(id).is_some());
    cells.wait_until("a job is offered", offered).await;
    cells.set_cut(true);
    let leader = cells.origin.leader();
    cells.origin.programs.kill(leader);
    let serving = cells.origin.addresses.api[(leader + 1) % CONTROLLERS];
    let host_api = cells.host.addresses.api[0];
    submit(&cells.host.site, host_api, "job-000801", JobKind::Array, 2).await;
    wait_for_status(host_api, "job-000801", "done").await;
    let before: u64 = cells.links.iter().map(Link::connections).sum();
    lock(&cells.origin.site).max_machines = 2;
    for id in &jobs[8..12] {
        submit(&cells.origin.site, serving, id, JobKind::Array, 2).await;
        wait_for_status(serving, id, "done").await;
    }
    let calls = cells.links.iter().map(Link::connections).sum::<u64>() - before;
    assert!(calls < 60, "{calls} connections over a link that is cut");
    cells.origin.programs.start(leader);

    // Requests that were held are delivered, and every job completes.
    cells.set_cut(false);
    for id in &jobs {
        wait_for_status(serving, id, "done").await;
    }
    over.store(true, Ordering::Relaxed);
    checker.await.expect("no task was in both cells");
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
    let job = Job::new(id, JobKind::Array, 1).running_for(60.0);
    cells.submit_job(id, job).await;
    let runs = |cells: &TwoCells| cells.delegation(id) == Some(DelegationState::Running);
    cells.wait_until("it runs at the host", runs).await;
    wait_for_status(cells.origin.addresses.api[2], id, "running").await;
    cells.set_cut(true);
    let path = format!("/v2/runs/{id}/abort");
    let origin = cells.origin.addresses.api[0];
    let reply = call(origin, Method::POST, &path, None).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 503, "{reply:?}");

    // The command lists it, and refuses to take it back without the flag or from another cell.
    let listed = cells.origin.programs.cells_command(&["list"]).await;
    assert_eq!(listed.exit_code, Some(0));
    let line =
        format!("{id}: at cell {HOST} as {id}000001, running, its user waits for the cancellation");
    assert!(listed.printed.contains(&line), "{listed:?}");
    let refused = cells
        .origin
        .programs
        .cells_command(&["give-up", "--job", id, "--cell", HOST])
        .await;
    assert_eq!(refused.exit_code, Some(2), "{refused:?}");
    let vouched = [
        "give-up",
        "--job",
        id,
        "--cell",
        "elsewhere",
        "--nothing-runs-there",
    ];
    let refused = cells.origin.programs.cells_command(&vouched).await;
    assert_eq!(refused.exit_code, Some(2), "{refused:?}");

    cells.set_cut(false);
    let reply = until(origin, Method::POST, &path, None, |r| r.status == 200).await;
    assert_eq!(reply.body["status"], "withdrawn");
    let id_at_host = TwoCells::id_at_host(id);
    let record = lock(&cells.host.site).record(&id_at_host);
    assert!(record.is_some_and(|record| record.state == JobState::Cancelled));
    let ended = |cells: &TwoCells| lock(&cells.host.site).unfinished_tasks(&id_at_host) == 0;
    cells.wait_until("its tasks have ended", ended).await;
}

/// How long the load is played, in seconds, and where the report goes.
const REPORT_SECONDS: &str = "CELLS_REPORT_SECONDS";
const REPORT_FILE: &str = "CELLS_REPORT";

#[tokio::test]
#[ignore = "takes minutes; docs/measurements.md has the command"]
async fn a_report_on_minutes_of_load() {
    let seconds = std::env::var(REPORT_SECONDS).ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(180);
    let time = Duration::from_secs(seconds);
    let (delegating, without) = tokio::join!(TwoCells::start(), TwoCells::start_with(false));
    let runs = tokio::join!(load::play(&delegating, time), load::play(&without, time));
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
