//! Tests of jobs that ended so long ago that the controllers no longer keep them in memory.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::job::JobKind;
use saltpitch_core::records::job_key;
use saltpitch_core::scheduler::Write;
use serde_json::{json, Value};

use crate::site::{
    self, add_completed_jobs, call, lock, poll_until, wait_for_status, wait_until_healthy,
    ControllerProcesses, Job, Reply, SharedSite,
};

/// The memory that a controller may hold on the smallest machines.
const MEMORY_LIMIT: u64 = 46 * 1_000_000;
/// The pause between two looks at the memory. Only what is held at two looks in a row counts.
const MEMORY_LOOK_PAUSE: Duration = Duration::from_millis(50);
/// How long the memory is looked at after the controller has become healthy.
const MEMORY_LOOKS_AFTER_START: Duration = Duration::from_secs(2);
/// The most records on a page of a listing.
const PAGE_ROWS: usize = 1_000;
/// More jobs than a controller keeps in memory.
const MANY_JOBS: usize = 12_000;
/// One of the first of the completed jobs, which left memory long ago.
const OLD_JOB: &str = "job-1000007";
const OTHER_OLD_JOB: &str = "job-1000008";

/// Returns the most memory that the controller held at two looks in a row, from its start until some time after it has
/// become healthy.
async fn most_held_memory(controllers: &ControllerProcesses, addr: SocketAddr) -> u64 {
    let (mut most, mut last) = (0, 0);
    let mut healthy_since = None;
    loop {
        tokio::time::sleep(MEMORY_LOOK_PAUSE).await;
        let held = controllers.held_memory(0).expect("the controller runs");
        most = most.max(held.min(last));
        last = held;
        let healthy_for = healthy_since.map(|since: Instant| since.elapsed());
        if healthy_for.is_some_and(|elapsed| elapsed > MEMORY_LOOKS_AFTER_START) {
            return most;
        }
        let reply = call(addr, Method::GET, "/up", None).await;
        if reply.is_some_and(|reply| reply.status == 200) {
            healthy_since.get_or_insert(Instant::now());
        }
    }
}

/// Guards against review/3: memory that grows with every job ever accepted, until each controller is above its limit at
/// each start and no question is answered any more.
#[tokio::test]
async fn memory_stays_below_the_limit_with_records_of_many_ended_jobs() {
    let (site, addresses) = site::start(1);
    let last_job = add_completed_jobs(&site, 240_000, PAGE_ROWS);
    let mut controllers = ControllerProcesses::new("memory", &addresses, None);
    controllers.start(0);
    let most = most_held_memory(&controllers, addresses.api[0]).await;
    assert!(most < MEMORY_LIMIT, "the controller holds {most} bytes");
    for id in [OLD_JOB, &last_job] {
        wait_for_status(addresses.api[0], id, "done").await;
    }
}

/// Starts a site with one controller, the records of many completed jobs and that of an old cancelled one.
async fn site_with_many_ended_jobs(name: &str) -> (SharedSite, SocketAddr, ControllerProcesses) {
    let (site, addresses) = site::start(1);
    put_record(&site, "job-000001", r#"{"s":"cancelled","t":0}"#);
    add_completed_jobs(&site, MANY_JOBS, PAGE_ROWS);
    let mut controllers = ControllerProcesses::new(name, &addresses, None);
    controllers.start(0);
    wait_until_healthy(addresses.api[0]).await;
    (site, addresses.api[0], controllers)
}

fn put_record(site: &SharedSite, id: &str, record: &str) {
    let write = Write {
        key: job_key(id),
        value: Some(record.to_owned()),
    };
    lock(site).store.txn(&[], &[write], None);
}

async fn query(addr: SocketAddr, id: &str) -> Option<Reply> {
    call(addr, Method::GET, &format!("/v2/runs/{id}"), None).await
}

/// Sends a request until it gets another answer than 503, which a controller gives while it starts to lead.
async fn answer(addr: SocketAddr, method: Method, path: &str, body: Option<Value>) -> Reply {
    poll_until(addr, method, path, body, |reply| reply.status != 503).await
}

/// Guards against 404 for a job that ended long ago, against a repeated submission of it that is refused or accepted
/// as a new job, and against an abort that changes it.
#[tokio::test]
async fn a_job_that_left_memory_gets_the_answers_of_an_ended_job() {
    let (site, addr, _controllers) = site_with_many_ended_jobs("old-job").await;
    let writes_before = lock(&site).store.keys[&job_key(OLD_JOB)].revision;
    for (id, status) in [(OLD_JOB, "done"), ("job-000001", "withdrawn")] {
        let path = format!("/v2/runs/{id}");
        let reply = answer(addr, Method::GET, &path, None).await;
        assert_eq!((reply.status, &reply.body["status"]), (200, &json!(status)));
        let reply = answer(addr, Method::POST, &format!("{path}/abort"), None).await;
        assert_eq!((reply.status, &reply.body["status"]), (200, &json!(status)));
        let again = Job::new(id, JobKind::Array, 1).body;
        let reply = answer(addr, Method::POST, "/v2/runs", Some(again)).await;
        assert_eq!((reply.status, &reply.body["status"]), (200, &json!(status)));
        let invalid = json!({"ref": id, "berth": 7});
        let reply = answer(addr, Method::POST, "/v2/runs", Some(invalid)).await;
        assert_eq!((reply.status, &reply.body["status"]), (200, &json!(status)));
    }
    let unknown = answer(addr, Method::GET, "/v2/runs/job-777777", None).await;
    assert_eq!(unknown.status, 404);
    let revision = lock(&site).store.keys[&job_key(OLD_JOB)].revision;
    assert_eq!(
        revision, writes_before,
        "nothing is written to an ended job"
    );
}

/// Guards against a job that waits forever, or is refused, because a job that it depends on left memory before.
#[tokio::test]
async fn a_job_may_depend_on_jobs_that_left_memory() {
    let (site, addr, _controllers) = site_with_many_ended_jobs("old-dependency").await;
    let dependent = |id: &str, dependency: &str| {
        let mut job = Job::new(id, JobKind::Array, 1);
        job.body["waits_on"] = json!([dependency]);
        job
    };
    dependent("job-000101", OLD_JOB).submit(&site, addr).await;
    dependent("job-000102", "job-000001")
        .submit(&site, addr)
        .await;
    wait_for_status(addr, "job-000101", "done").await;
    wait_for_status(addr, "job-000102", "withdrawn").await;
    let body = dependent("job-000103", "job-777777").body;
    let reply = answer(addr, Method::POST, "/v2/runs", Some(body)).await;
    assert_eq!(reply.status, 422, "nobody submitted the dependency");
    // As a controller of an earlier version writes it, or one that still had the dependency in memory.
    let mut spec = Job::new("job-000104", JobKind::Array, 1).spec;
    spec.dependencies = vec![OTHER_OLD_JOB.to_owned()];
    lock(&site)
        .specs
        .insert("job-000104".to_owned(), spec.clone());
    let record = json!({"s": "active", "t": 1, "d": spec}).to_string();
    put_record(&site, "job-000104", &record);
    wait_for_status(addr, "job-000104", "done").await;
}

/// Guards against 404 for a job that was accepted while the state service refuses the controller or its record is
/// damaged.
#[tokio::test]
async fn a_job_that_cannot_be_read_is_not_answered_with_404() {
    let (site, addr, _controllers) = site_with_many_ended_jobs("unreadable").await;
    put_record(&site, OTHER_OLD_JOB, r#"{"s":"suspended"}"#);
    let reply = query(addr, OTHER_OLD_JOB).await;
    assert_eq!(reply.expect("a reply").status, 503, "the record is damaged");
    lock(&site).refused_controller = Some(0);
    let reply = query(addr, OLD_JOB).await;
    assert_eq!(
        reply.expect("a reply").status,
        503,
        "the store refuses the read"
    );
    lock(&site).refused_controller = None;
    wait_for_status(addr, OLD_JOB, "done").await;
}

/// Guards against a read for each of many questions about the same job, and for each job that nobody submitted.
#[tokio::test]
async fn many_questions_need_few_reads() {
    const QUESTIONS: usize = 40;
    let (site, addr, _controllers) = site_with_many_ended_jobs("many-questions").await;
    let ids = (0..QUESTIONS).flat_map(|number| [OLD_JOB.to_owned(), format!("job-7{number:05}")]);
    let questions: Vec<_> = ids
        .map(|id| tokio::spawn(async move { (query(addr, &id).await, id) }))
        .collect();
    for question in questions {
        let (reply, id) = question.await.expect("no panic");
        let status = reply.expect("a reply").status;
        let expected = if id == OLD_JOB { 200 } else { 404 };
        assert_eq!(status, expected, "{id}");
    }
    let requests = lock(&site).store_conditions.requests.clone();
    let key = job_key(OLD_JOB);
    let reads = requests.iter().filter_map(|request| request.read_key());
    let (of_old_job, of_others): (Vec<&str>, Vec<&str>) = reads.partition(|read| *read == key);
    assert_eq!(
        of_old_job.len(),
        1,
        "one read for all questions about a job"
    );
    let comparisons = requests.iter().filter(|request| request.is_comparison());
    let of_others = of_others.len() + comparisons.count();
    assert!(
        of_others <= QUESTIONS / 4,
        "{of_others} requests for {QUESTIONS} unknown jobs"
    );
}
