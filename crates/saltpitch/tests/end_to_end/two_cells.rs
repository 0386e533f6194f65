//! Tests two cells of three controllers each, connected by a link that is cut and restored under load.

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
    self, call, free_addr, lock, origin_id, poll_until, submit, wait_for_status,
    wait_until_healthy, Addresses, ControllerProcesses, Job, SharedSite,
};

const CONTROLLERS_PER_CELL: usize = 3;
/// The name of the cell where jobs are submitted.
const ORIGIN: &str = "canal";
/// The name of the cell to which the origin delegates jobs.
const HOST: &str = "harbour";
/// The interval between checks that no task runs in both cells.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the host's file on cells, which accepts jobs from the origin.
fn host_file(listen: &[std::net::SocketAddr]) -> String {
    let listen: Vec<String> = (0..CONTROLLERS_PER_CELL)
        .map(|n| format!("n{n} = \"{}\"", listen[n]))
        .collect();
    format!(
        "cell = \"{HOST}\"\n[[neighbour]]\nname = \"{ORIGIN}\"\n[neighbour.guests]\nteam = \"guests\"\n\
         max_jobs = 20\nmax_tasks = 100\nmax_waiting = 4\n[neighbour.guests.listen]\n{}\n",
        listen.join("\n")
    )
}

/// Returns the origin's file on cells, which delegates jobs to the host.
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

/// One cell: the stand-ins outside its controllers, and its controllers.
struct Cell {
    site: SharedSite,
    addresses: Addresses,
    processes: ControllerProcesses,
}

/// The cell where jobs are submitted, the cell to which it delegates, and the links to the host's controllers.
struct TwoCells {
    origin: Cell,
    host: Cell,
    links: Vec<Link>,
}

impl TwoCells {
    /// Starts both cells. The host runs a service and has free capacity beside it; the origin can get no machines.
    async fn start() -> TwoCells {
        TwoCells::start_with(true).await
    }

    /// Starts both cells like [`TwoCells::start`]; the origin gets its file on cells only if `can_delegate` is set.
    async fn start_with(can_delegate: bool) -> TwoCells {
        let listen: Vec<_> = (0..CONTROLLERS_PER_CELL).map(|_| free_addr()).collect();
        let links: Vec<Link> = listen.iter().map(|address| Link::start(*address)).collect();
        let host = Cell::start(HOST, Some(host_file(&listen))).await;
        let file = can_delegate.then(|| origin_file(&links));
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

    /// Submits an array at the origin.
    async fn submit(&self, id: &str, tasks: u32) {
        self.submit_job(id, Job::new(id, JobKind::Array, tasks))
            .await;
    }

    /// Submits a job at the origin, and gives its description to the agents of both cells.
    async fn submit_job(&self, id: &str, job: Job) {
        let spec = job.spec.clone();
        job.submit(&self.origin.site, self.origin.addresses.api[0])
            .await;
        lock(&self.host.site).specs.insert(id.to_owned(), spec);
    }

    /// Returns the host's id for the first delegation of a job.
    fn id_at_host(id: &str) -> String {
        format!("{ORIGIN}.{id}000001")
    }

    /// Returns the state of a job's delegation according to the origin's records.
    fn delegation_state(&self, id: &str) -> Option<DelegationState> {
        let record = lock(&self.origin.site).record(id)?;
        Some(record.delegation?.state)
    }

    /// Waits until `reached` holds; panics with `what` after 1,200 checks, about a minute.
    async fn wait_until(&self, what: &str, reached: impl Fn(&TwoCells) -> bool) {
        for _ in 0..1_200 {
            if reached(self) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("timed out waiting until {what}");
    }
}

/// Submits a service with the highest priority to a cell.
async fn submit_service(cell: &Cell, id: &str, replicas: u32) {
    let service = Job::new(id, JobKind::Service, replicas).with_production_priority();
    service.submit(&cell.site, cell.addresses.api[0]).await;
}

impl Cell {
    async fn start(name: &str, file: Option<String>) -> Cell {
        let (site, addresses) = site::start(CONTROLLERS_PER_CELL);
        let mut processes = ControllerProcesses::new(name, &addresses, file.as_deref());
        processes.start_all();
        for address in &addresses.api {
            wait_until_healthy(*address).await;
        }
        Cell {
            site,
            addresses,
            processes,
        }
    }

    /// Returns the index of the leader according to the record in the store.
    fn leader(&self) -> usize {
        let site = lock(&self.site);
        let leader = &site.store.keys["salt/leader"].value;
        let is_leader = |n: &usize| leader.contains(&format!("\"n{n}\""));
        (0..CONTROLLERS_PER_CELL)
            .find(is_leader)
            .expect("the store names a leader")
    }
}

/// Returns the tasks on a cell's machines that have not ended, with their jobs' ids at the origin.
fn unfinished_tasks(site: &SharedSite) -> BTreeSet<(String, u32)> {
    lock(site)
        .machines()
        .flat_map(|agent| &agent.tasks)
        .filter(|(_, task)| !task.has_exited())
        .map(|(((id, task), _), _)| (origin_id(id).to_owned(), *task))
        .collect()
}

/// Checks until `stop` is set that no task is on machines of both cells at the same time.
async fn check_no_task_runs_in_both_cells(
    origin: SharedSite,
    host: SharedSite,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::Relaxed) {
        let at_host = unfinished_tasks(&host);
        let at_origin = unfinished_tasks(&origin);
        let both: Vec<_> = at_origin.intersection(&at_host).collect();
        assert!(both.is_empty(), "tasks on machines of both cells: {both:?}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns how often each task has completed in both cells together, with its job's id at the origin.
fn completions(cells: &TwoCells) -> BTreeMap<(String, u32), u32> {
    let mut completions = BTreeMap::new();
    for cell in [&cells.origin, &cells.host] {
        for ((id, task), times) in &lock(&cell.site).completions {
            *completions
                .entry((origin_id(id).to_owned(), *task))
                .or_default() += times;
        }
    }
    completions
}

/// Guards against delegated tasks that are lost, run twice or run in both cells at once. The test cuts the link
/// between two cells while jobs are offered, kills the origin's leader, and then restores both.
#[tokio::test]
async fn every_job_completes_once_when_the_link_is_cut_and_the_leader_of_the_origin_is_killed() {
    let mut cells = TwoCells::start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let (origin, host) = (cells.origin.site.clone(), cells.host.site.clone());
    let checker = tokio::spawn(check_no_task_runs_in_both_cells(origin, host, stop.clone()));

    // The origin has no machines, so its jobs run at the host.
    let jobs: Vec<String> = (1..=12).map(|n| format!("job-0001{n:02}")).collect();
    for id in &jobs[..4] {
        cells.submit(id, 2).await;
    }
    for id in &jobs[..2] {
        wait_for_status(cells.origin.addresses.api[1], id, "done").await;
    }

    // The link is cut while jobs are offered, and the origin's leader is killed. The host still runs its own
    // jobs, and so does the origin as soon as it can get machines.
    for id in &jobs[4..8] {
        cells.submit(id, 2).await;
    }
    let is_any_offered = |cells: &TwoCells| {
        jobs[4..8]
            .iter()
            .any(|id| cells.delegation_state(id).is_some())
    };
    cells.wait_until("a job is offered", is_any_offered).await;
    cells.set_cut(true);
    let leader = cells.origin.leader();
    cells.origin.processes.kill(leader);
    let surviving_api = cells.origin.addresses.api[(leader + 1) % CONTROLLERS_PER_CELL];
    let host_api = cells.host.addresses.api[0];
    submit(&cells.host.site, host_api, "job-000801", JobKind::Array, 2).await;
    wait_for_status(host_api, "job-000801", "done").await;
    let connections_before: u64 = cells.links.iter().map(Link::connection_count).sum();
    lock(&cells.origin.site).max_machines = 2;
    for id in &jobs[8..12] {
        submit(&cells.origin.site, surviving_api, id, JobKind::Array, 2).await;
        wait_for_status(surviving_api, id, "done").await;
    }
    let connections_now: u64 = cells.links.iter().map(Link::connection_count).sum();
    let connections = connections_now - connections_before;
    assert!(
        connections < 60,
        "{connections} connections over a link that is cut"
    );
    cells.origin.processes.start(leader);

    // The restored link delivers the requests that it held, and every job completes.
    cells.set_cut(false);
    for id in &jobs {
        wait_for_status(surviving_api, id, "done").await;
    }
    stop.store(true, Ordering::Relaxed);
    checker.await.expect("no task ran in both cells");
    let completions = completions(&cells);
    for id in &jobs {
        for task in 0..2 {
            let times = completions.get(&(id.clone(), task));
            assert_eq!(times, Some(&1), "{id}/{task}");
        }
    }
}

/// Guards against a cancellation that is confirmed while the host may still run the tasks. The test cuts the
/// link and cancels a job that runs at the host: the user gets 503, and the operator sees the job in
/// `cells list`. The cancellation succeeds only after the link is restored.
#[tokio::test]
async fn cancelling_a_delegated_job_fails_while_the_link_is_cut_and_succeeds_once_it_is_restored() {
    let cells = TwoCells::start().await;
    let id = "job-000201";
    let job = Job::new(id, JobKind::Array, 1).running_for(60.0);
    cells.submit_job(id, job).await;
    let runs_at_host =
        |cells: &TwoCells| cells.delegation_state(id) == Some(DelegationState::Running);
    cells
        .wait_until("the job runs at the host", runs_at_host)
        .await;
    wait_for_status(cells.origin.addresses.api[2], id, "running").await;
    cells.set_cut(true);
    let path = format!("/v2/runs/{id}/abort");
    let origin = cells.origin.addresses.api[0];
    let reply = call(origin, Method::POST, &path, None).await;
    let reply = reply.expect("the controller replies");
    assert_eq!(reply.status, 503, "{reply:?}");

    // `cells list` shows the job. `cells give-up` refuses to take it back without the flag
    // `--nothing-runs-there`, and refuses with the flag if the named cell does not have the job.
    let listed = cells.origin.processes.run_cells_command(&["list"]).await;
    assert_eq!(listed.exit_code, Some(0));
    let line =
        format!("{id}: at cell {HOST} as {id}000001, running, its user waits for the cancellation");
    assert!(listed.output.contains(&line), "{listed:?}");
    let refused = cells
        .origin
        .processes
        .run_cells_command(&["give-up", "--job", id, "--cell", HOST])
        .await;
    assert_eq!(refused.exit_code, Some(2), "{refused:?}");
    let wrong_cell = [
        "give-up",
        "--job",
        id,
        "--cell",
        "elsewhere",
        "--nothing-runs-there",
    ];
    let refused = cells.origin.processes.run_cells_command(&wrong_cell).await;
    assert_eq!(refused.exit_code, Some(2), "{refused:?}");

    cells.set_cut(false);
    let reply = poll_until(origin, Method::POST, &path, None, |r| r.status == 200).await;
    assert_eq!(reply.body["status"], "withdrawn");
    let id_at_host = TwoCells::id_at_host(id);
    let record = lock(&cells.host.site).record(&id_at_host);
    assert!(record.is_some_and(|record| record.state == JobState::Cancelled));
    let tasks_have_ended =
        |cells: &TwoCells| lock(&cells.host.site).unfinished_tasks(&id_at_host) == 0;
    cells
        .wait_until("the tasks of the job have ended", tasks_have_ended)
        .await;
}

/// The environment variable with the duration of the load in seconds; the default is 180.
const REPORT_SECONDS_VARIABLE: &str = "CELLS_REPORT_SECONDS";
/// The environment variable with the path of the report; the default is `cells-report.html`.
const REPORT_FILE_VARIABLE: &str = "CELLS_REPORT";

/// Guards against jobs that are lost or tasks that are repeated under a steady load, with and without delegation,
/// while the link is cut for a third of the time. Writes a report with the measurements.
#[tokio::test]
#[ignore = "takes minutes; docs/measurements.md has the command"]
async fn a_load_report_shows_every_job_completed_once_with_and_without_delegation() {
    let seconds = std::env::var(REPORT_SECONDS_VARIABLE).ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(180);
    let duration = Duration::from_secs(seconds);
    let (with_delegation, without_delegation) =
        tokio::join!(TwoCells::start(), TwoCells::start_with(false));
    let runs = tokio::join!(
        load::run(&with_delegation, duration),
        load::run(&without_delegation, duration)
    );
    let path =
        std::env::var(REPORT_FILE_VARIABLE).unwrap_or_else(|_| "cells-report.html".to_owned());
    report::write(path.as_ref(), &runs.0, &runs.1).expect("the report is written");
    for run in [&runs.0, &runs.1] {
        println!(
            "{} jobs, {} done, {} tasks completed more than once; job waits {}; service waits {}",
            run.jobs_submitted,
            run.jobs_done,
            run.repeated_tasks,
            report::summarize_waits(&run.job_waits_s),
            report::summarize_waits(&run.service_waits_s)
        );
        assert_eq!((run.jobs_done, run.repeated_tasks), (run.jobs_submitted, 0));
    }
}
