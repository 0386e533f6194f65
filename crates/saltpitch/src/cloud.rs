//! The client of the cloud, within this controller's share of the cloud's request rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::catalog::Catalog;
use saltpitch_core::scheduler::{ListedMachine, ScaleOutOutcome};
use saltpitch_core::token_bucket::TokenBucket;

use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::http::{CallError, Client, Reply};
use crate::mutex::lock;
use crate::wire::cloud as wire;
pub use crate::wire::cloud::ScaleOutRequest;

/// The maximum number of machines that the cloud lists per page.
const PAGE_SIZE: usize = 500;
/// After this many failures of one page the list is read from its start again.
const MAX_PAGE_ATTEMPTS: u32 = 3;
/// The fractions of the cloud's request rate for the list of machines and for all other requests. The
/// rest is left for the other controllers, which read the catalogue when they start.
const LISTING_SHARE: f64 = 0.15;
const CALLS_SHARE: f64 = 0.8;
/// The fraction of the cloud's request rate that all controllers together use to read a missing catalogue again and
/// again. Without it none of them can lead and make other calls.
const MISSING_CATALOG_SHARE: f64 = 0.2;
/// The mean pause after the first failed read of a missing catalogue.
const FIRST_CATALOG_PAUSE: Duration = Duration::from_millis(700);
/// The maximum burst of calls, in seconds of the cloud's request rate. The cloud allows bursts of two
/// seconds.
const BURST_SECONDS: f64 = 1.5;

const CATALOG_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
const SCALING_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the pauses between a controller's reads of a catalogue that is not known yet, in a site with
/// `controller_count` controllers whose cloud accepts `rps` requests per second.
pub fn missing_catalog_backoff(rps: f64, controller_count: usize) -> Backoff {
    let pause_s = controller_count as f64 / (rps * MISSING_CATALOG_SHARE);
    let max_pause = Duration::from_secs_f64(pause_s).max(FIRST_CATALOG_PAUSE);
    Backoff::new(FIRST_CATALOG_PAUSE, max_pause)
}

/// Where a reading of the list of machines continues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPosition {
    /// The last machine that was read; `None` at the start of the list.
    after: Option<String>,
    /// How often the page after that machine has failed.
    failed_attempts: u32,
}

impl ListPosition {
    /// Moves to the page after the machine `after`, or to the start of the list.
    fn move_to(&mut self, after: Option<String>) {
        self.after = after;
        self.failed_attempts = 0;
    }

    /// Records that the page failed. A page that fails repeatedly must not keep the pages before it from being read
    /// again, so the list then begins anew.
    fn page_failed(&mut self) {
        self.failed_attempts += 1;
        if self.failed_attempts == MAX_PAGE_ATTEMPTS {
            self.move_to(None);
        }
    }

    fn path(&self) -> String {
        match &self.after {
            Some(name) => format!("/machines?from={name}&page={PAGE_SIZE}"),
            None => format!("/machines?page={PAGE_SIZE}"),
        }
    }
}

/// The client of the cloud.
pub struct CloudClient {
    http: Arc<Client>,
    addr: SocketAddr,
    clock: Clock,
    /// The budget of all calls except the pages of the list.
    call_budget: Mutex<TokenBucket>,
    /// The pause between two pages of the list.
    page_pause: Duration,
}

impl CloudClient {
    /// Creates a client of the cloud at `addr`, which accepts `rps` requests per second from the whole
    /// site.
    pub fn new(http: Arc<Client>, addr: SocketAddr, clock: Clock, rps: f64) -> CloudClient {
        CloudClient {
            http,
            addr,
            clock,
            call_budget: Mutex::new(TokenBucket::with_burst(
                rps * CALLS_SHARE,
                rps * BURST_SECONDS,
            )),
            page_pause: Duration::from_secs_f64(1.0 / (rps * LISTING_SHARE)),
        }
    }

    /// Takes one call from the budget. Returns false if the budget is exhausted.
    fn try_call(&self) -> bool {
        lock(&self.call_budget).try_spend(1.0, self.clock.now())
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Reply, CallError> {
        self.http
            .call(self.addr, Method::GET, path, Vec::new(), timeout)
            .await
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Reply, CallError> {
        self.http
            .call(self.addr, Method::POST, path, body, SCALING_TIMEOUT)
            .await
    }

    /// Reads the catalogue of machine types. Returns `None` if the budget is exhausted or the cloud
    /// gives no usable answer.
    pub async fn catalog(&self) -> Option<Catalog> {
        if !self.try_call() {
            return None;
        }
        let reply = self.get("/catalog", CATALOG_TIMEOUT).await.ok()?;
        if reply.status != 200 {
            return None;
        }
        wire::decode_catalog(&reply.body)
            .map_err(|error| {
                tracing::error!("cloud: unreadable catalogue, retrying later: {error}")
            })
            .ok()
    }

    /// Reads the list of machines from `position` on and passes each page to `handle_page` as it arrives, since
    /// the machines on it exist even if a later page fails. At the end of the list `position` is its start again;
    /// if a page fails, it is that page. Pages have their own small share of the request rate. If they were taken
    /// from the budget of scaling requests, a list of many pages would never be read completely and would delay
    /// those requests.
    pub async fn list_machines(
        &self,
        position: &mut ListPosition,
        mut handle_page: impl FnMut(&[ListedMachine]),
    ) {
        loop {
            let reply = self.get(&position.path(), LIST_TIMEOUT).await;
            let Some(reply) = reply.ok().filter(|reply| reply.status == 200) else {
                return position.page_failed();
            };
            let page = match wire::decode_machine_page(&reply.body) {
                Ok(page) => page,
                Err(error) => {
                    position.page_failed();
                    return tracing::error!(
                        "cloud: unreadable page of machines, reading it again later: {error}"
                    );
                }
            };
            handle_page(&page.machines);
            tokio::time::sleep(self.page_pause).await;
            let last = page.machines.last().filter(|_| page.has_next);
            position.move_to(last.map(|machine| machine.name.clone()));
            if position.after.is_none() {
                return;
            }
        }
    }

    /// Requests machines. A repetition with the same request id orders no further machines.
    pub async fn scale_out(&self, request: &ScaleOutRequest<'_>) -> ScaleOutOutcome {
        if !self.try_call() {
            return ScaleOutOutcome::Later;
        }
        let body = wire::encode_scale_out(request);
        match self.post("/machines", body).await {
            Ok(reply) => scale_out_outcome(&reply),
            Err(CallError::NotSent) => ScaleOutOutcome::Later,
            Err(CallError::Unknown) => ScaleOutOutcome::Unknown,
        }
    }

    /// Returns machines to the cloud. Yields true if the cloud confirmed the return.
    pub async fn scale_in(&self, names: &[Arc<str>]) -> bool {
        if !self.try_call() {
            return false;
        }
        let body = wire::encode_scale_in(names);
        let reply = self.post("/machines/return", body).await;
        reply.is_ok_and(|reply| reply.status == 200)
    }
}

fn scale_out_outcome(reply: &Reply) -> ScaleOutOutcome {
    match reply.status {
        200 => wire::decode_scale_out_reply(&reply.body)
            .map_or(ScaleOutOutcome::Unknown, ScaleOutOutcome::Machines),
        503 if String::from_utf8_lossy(&reply.body).contains("no capacity") => {
            ScaleOutOutcome::NoCapacity
        }
        status => {
            tracing::info!(
                "cloud: scale-out request refused with status {status}, the leader retries later"
            );
            ScaleOutOutcome::Later
        }
    }
}

#[cfg(test)]
mod tests;
