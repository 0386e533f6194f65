//! Tests of processes that read many records when they start, and of refusals by the store at that time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::job::JobKind;
use saltpitch_core::records::node_key;
use saltpitch_core::token_bucket::TokenBucket;

use crate::site::{
    self, add_completed_jobs, call, lock, submit, wait_for_status, wait_until_healthy,
    ControllerProcesses, SharedSite, StoreFault, StoreRequest,
};

/// The time without an answer after which a job counts as forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(75);
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);
/// The longest that a watch may wait, in milliseconds, while the controller's process is not announced.
const MAX_ANNOUNCEMENT_WAIT_MS: u64 = 3_000;

/// Returns the pages that were requested, by the key after which each begins.
fn requested_pages(site: &SharedSite) -> Vec<String> {
    let site = lock(site);
    let pages = site.store_conditions.requests.iter();
    pages
        .filter_map(|request| request.page_after().map(str::to_owned))
        .collect()
}

/// Returns the requests for pages that the store refused because of the request rate.
fn refused_pages(site: &SharedSite) -> Vec<StoreRequest> {
    let site = lock(site);
    let requests = site.store_conditions.requests.iter();
    let refused =
        requests.filter(|request| request.page_after().is_some() && request.status == 429);
    refused.cloned().collect()
}

/// Answers the third, fifth, seventh and ninth request for a page with a fault each.
fn fault_on_every_other_page() -> impl FnMut(&StoreRequest) -> Option<StoreFault> {
    let mut page_requests = 0;
    move |request| {
        request.page_after()?;
        page_requests += 1;
        match page_requests {
            3 => Some(StoreFault::Status(429)),
            5 => Some(StoreFault::Status(503)),
            7 => Some(StoreFault::Unreadable),
            9 => Some(StoreFault::NoAnswer),
            _ => None,
        }
    }
}

/// Guards against a controller that drops the pages that it has read, and begins again at the first one, when the
/// store refuses one page with 429 or 503, or answers it unreadably or not at all.
#[tokio::test]
async fn a_listing_continues_at_the_page_that_was_refused() {
    let (site, addresses) = site::start(1);
    let last_job = add_completed_jobs(&site, 100, 10);
    lock(&site).store_conditions.choose_fault = Some(Box::new(fault_on_every_other_page()));
    let mut controllers = ControllerProcesses::new("refused-page", &addresses, None);
    controllers.start(0);
    wait_until_healthy(addresses.api[0]).await;
    let mut pages = requested_pages(&site);
    let requests = pages.len();
    assert_eq!(
        pages.iter().filter(|page| page.is_empty()).count(),
        1,
        "{pages:?}"
    );
    pages.dedup();
    assert_eq!(
        requests,
        pages.len() + 4,
        "each refused page is requested twice"
    );
    assert!(
        pages.is_sorted(),
        "no page is requested again later: {pages:?}"
    );
    let path = format!("/v2/runs/{last_job}");
    let reply = call(addresses.api[0], Method::GET, &path, None).await;
    assert_eq!(
        reply.expect("the controller replies").body["status"],
        "done"
    );
}

/// Guards against an operator's command that gives up because the store refuses one page while controllers use up the
/// request rate.
#[tokio::test]
async fn the_cells_command_continues_at_the_page_that_was_refused() {
    let (site, addresses) = site::start(1);
    add_completed_jobs(&site, 100, 10);
    lock(&site).store_conditions.choose_fault = Some(Box::new(fault_on_every_other_page()));
    let controllers = ControllerProcesses::new("command", &addresses, None);
    let result = controllers.run_cells_command(&["list"]).await;
    assert_eq!(result.exit_code, Some(0), "{result:?}");
    let pages = requested_pages(&site);
    let first_pages = pages.iter().filter(|page| page.is_empty());
    assert_eq!(first_pages.count(), 1, "{pages:?}");
}

/// Returns whether a request announces the process of controller 0.
fn is_announcement(request: &StoreRequest) -> bool {
    request.writes_key(&node_key("n0"))
}

/// Answers the first announcement of a controller's process with 429.
fn refuse_the_first_announcement() -> impl FnMut(&StoreRequest) -> Option<StoreFault> {
    let mut is_refused = false;
    move |request| {
        if is_refused || !is_announcement(request) {
            return None;
        }
        is_refused = true;
        Some(StoreFault::Status(429))
    }
}

/// Guards against a controller that waits for a change of the records, for up to 8 s, before it repeats an
/// announcement that the store refused; it cannot become the leader before that.
#[tokio::test]
async fn a_refused_announcement_is_repeated_without_waiting_for_a_change() {
    let (site, addresses) = site::start(1);
    lock(&site).store_conditions.choose_fault = Some(Box::new(refuse_the_first_announcement()));
    let mut controllers = ControllerProcesses::new("announcement", &addresses, None);
    controllers.start(0);
    submit(&site, addresses.api[0], "job-000001", JobKind::Array, 1).await;
    wait_for_status(addresses.api[0], "job-000001", "done").await;
    let requests = lock(&site).store_conditions.requests.clone();
    let refused_at = requests.iter().position(is_announcement);
    let after_refusal = &requests[refused_at.expect("the process was announced") + 1..];
    let waits = after_refusal
        .iter()
        .take_while(|request| !is_announcement(request))
        .filter_map(StoreRequest::watch_wait_ms);
    let longest_wait = waits.max();
    assert!(
        longest_wait <= Some(MAX_ANNOUNCEMENT_WAIT_MS),
        "{longest_wait:?} ms"
    );
}

/// Guards against controllers that restart together and never read all records, because their listings use up the
/// request rate of the store and each refusal makes them begin again: no question is answered any more.
#[tokio::test]
async fn all_controllers_answer_again_after_they_restart_together_with_many_records() {
    const REQUESTS_PER_SECOND: f64 = 60.0;
    let (site, addresses) = site::start(3);
    let last_job = add_completed_jobs(&site, 1_200, 10);
    let limit = TokenBucket::per_second(REQUESTS_PER_SECOND);
    lock(&site).store_conditions.request_limit = Some(limit);
    let mut controllers = ControllerProcesses::with_store_rate(
        "restart-together",
        &addresses,
        None,
        REQUESTS_PER_SECOND,
    );
    let started_at = Instant::now();
    controllers.start_all();
    let path = format!("/v2/runs/{last_job}");
    for addr in addresses.api {
        loop {
            let reply = call(addr, Method::GET, &path, None).await;
            if reply.is_some_and(|reply| reply.status == 200 && reply.body["status"] == "done") {
                break;
            }
            let elapsed = started_at.elapsed();
            assert!(elapsed < FORGOTTEN_AFTER, "no answer from {addr}");
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
    }
    let refused_pages = refused_pages(&site);
    assert!(
        refused_pages.is_empty(),
        "listings exceed their share of the request rate: {refused_pages:?}"
    );
}

/// Guards against watches that the store refuses because of the request rate and that are repeated faster than the
/// controllers' share of that rate allows.
#[tokio::test]
async fn refused_watches_are_repeated_within_the_share_of_the_request_rate() {
    const REQUESTS_PER_SECOND: f64 = 10.0;
    // The share of a watch is one in two seconds here, with a jitter of half of that.
    const MIN_PAUSE: Duration = Duration::from_secs(1);
    const PAUSES: u32 = 4;
    let (site, addresses) = site::start(3);
    let refusals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let refusals_seen = refusals.clone();
    let refuse_watches = move |request: &StoreRequest| {
        // Watches before the announcement are shorter.
        request
            .watch_wait_ms()
            .filter(|wait_ms| *wait_ms > MAX_ANNOUNCEMENT_WAIT_MS)?;
        refusals_seen.lock().expect("no panic").push(Instant::now());
        Some(StoreFault::Status(429))
    };
    lock(&site).store_conditions.choose_fault = Some(Box::new(refuse_watches));
    let mut controllers = ControllerProcesses::with_store_rate(
        "refused-watches",
        &addresses,
        None,
        REQUESTS_PER_SECOND,
    );
    controllers.start(0);
    let started_at = Instant::now();
    loop {
        tokio::time::sleep(ATTEMPT_PAUSE).await;
        let times = refusals.lock().expect("no panic").clone();
        if let [first, _, _, _, fifth, ..] = times[..] {
            let elapsed = fifth - first;
            assert!(elapsed >= MIN_PAUSE * PAUSES, "five watches in {elapsed:?}");
            return;
        }
        assert!(started_at.elapsed() < FORGOTTEN_AFTER, "too few watches");
    }
}
