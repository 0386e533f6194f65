//! The cloud, as this project uses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::catalog::Catalog;
use saltpitch_core::scheduler::{ListedMachine, ScaleOutOutcome};

use crate::budget::Budget;
use crate::clock::Clock;
use crate::http::{CallError, Client};
use crate::wire::cloud as wire;

pub struct Cloud {
    http: Arc<Client>,
    addr: SocketAddr,
    clock: Clock,
    budget: Mutex<Budget>,
    page_gap: Duration,
}

/// The most machines that the cloud lists at a time.
const PAGE: usize = 500;
/// The list's part of the cloud's rate, and that of everything else. A little is left for the other
/// controllers, who read the catalogue when they start.
const LIST_PART: f64 = 0.15;
const CALLS_PART: f64 = 0.8;
/// Of that, what the leader's core asks for in scale-out requests; the rest is for returns.
pub const RENT_PART: f64 = 0.65;
/// Calls that may come at once, in seconds of the cloud's rate: it allows two.
const BURST: f64 = 1.5;

impl Cloud {
    pub fn new(http: Arc<Client>, addr: SocketAddr, clock: Clock, rps: f64) -> Cloud {
        Cloud {
            http,
            addr,
            clock,
            budget: Mutex::new(Budget::with_burst(rps * CALLS_PART, rps * BURST)),
            page_gap: Duration::from_secs_f64(1.0 / (rps * LIST_PART)),
        }
    }

    fn may(&self) -> bool {
        let mut b = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        b.take(1.0, self.clock.now())
    }

    pub async fn catalog(&self) -> Option<Catalog> {
        if !self.may() {
            return None;
        }
        let r = self
            .http
            .call(
                self.addr,
                Method::GET,
                "/catalog",
                Vec::new(),
                Duration::from_secs(2),
            )
            .await
            .ok()?;
        if r.status != 200 {
            return None;
        }
        wire::catalog(&r.body)
            .map_err(|e| tracing::error!("cloud: unreadable catalogue: {e}"))
            .ok()
    }

    /// Reads the list page by page and gives each to `take` as it comes: what a page shows is there
    /// whatever becomes of the rest. Pages keep to their own small part of the rate. A list that drew
    /// on the budget of scale-out requests was never read to its end once it had more pages than that held, and
    /// kept scale-out requests and returns waiting besides.
    pub async fn list(&self, mut take: impl FnMut(&[ListedMachine])) {
        let mut path = format!("/machines?page={PAGE}");
        loop {
            let r = self
                .http
                .call(
                    self.addr,
                    Method::GET,
                    &path,
                    Vec::new(),
                    Duration::from_secs(3),
                )
                .await;
            let Some(r) = r.ok().filter(|r| r.status == 200) else {
                return;
            };
            let (items, more) = match wire::list(&r.body) {
                Ok(page) => page,
                Err(e) => return tracing::error!("cloud: unreadable list: {e}"),
            };
            take(&items);
            tokio::time::sleep(self.page_gap).await;
            match items.last() {
                Some(m) if more => path = format!("/machines?from={}&page={PAGE}", m.name),
                _ => return,
            }
        }
    }

    pub async fn rent(
        &self,
        request: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> ScaleOutOutcome {
        if !self.may() {
            return ScaleOutOutcome::Later;
        }
        let body = wire::rent(request, type_name, zone, spot, count);
        let limit = Duration::from_secs(4);
        match self
            .http
            .call(self.addr, Method::POST, "/machines", body, limit)
            .await
        {
            Ok(r) if r.status == 200 => match wire::rented(&r.body) {
                Ok(names) => ScaleOutOutcome::Machines(names),
                Err(_) => ScaleOutOutcome::Unknown,
            },
            Ok(r)
                if r.status == 503 && String::from_utf8_lossy(&r.body).contains("no capacity") =>
            {
                ScaleOutOutcome::NoCapacity
            }
            Ok(r) => {
                tracing::info!("cloud: rental refused with {}", r.status);
                ScaleOutOutcome::Later
            }
            Err(CallError::NotSent) => ScaleOutOutcome::Later,
            Err(CallError::Unknown) => ScaleOutOutcome::Unknown,
        }
    }

    /// Whether the return was confirmed.
    pub async fn give_back(&self, names: &[Arc<str>]) -> bool {
        if !self.may() {
            return false;
        }
        let limit = Duration::from_secs(4);
        let body = wire::give_back(names);
        matches!(
            self.http.call(self.addr, Method::POST, "/machines/return", body, limit).await,
            Ok(r) if r.status == 200
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::{AtomicUsize, Ordering};

    use poem::listener::{Acceptor, Listener, TcpListener};
    use poem::{endpoint::make_sync, Request, Server};

    /// A list of more pages than calls are allowed at once is read to its end, in whole pages, and
    /// leaves the budget of scale-out requests alone.
    #[tokio::test]
    async fn a_long_list_is_read_to_its_end() {
        let calls = Arc::new(AtomicUsize::new(0));
        let seen = calls.clone();
        let cloud = make_sync(move |req: Request| {
            seen.fetch_add(1, Ordering::Relaxed);
            let query = req.uri().query().unwrap_or_default().to_owned();
            let field = |name: &str| {
                let mut fields = query.split('&').filter_map(|f| f.split_once('='));
                fields.find(|f| f.0 == name).map(|f| f.1.to_owned())
            };
            let from = field("from").map_or(0, |f| f[3..].parse::<usize>().unwrap_or(0));
            let page = field("page")
                .map_or(500, |f| f.parse().unwrap_or(500))
                .min(500);
            let rows: Vec<_> = (from + 1..=(from + page).min(3_100))
                .map(|n| {
                    serde_json::json!({"ref": format!("vm-{n:06}"), "endpoint": "10.0.0.1:9000",
                        "hull_type": "plain", "basin": "east", "lay_by": false,
                        "status": "running", "age_s": 1.0})
                })
                .collect();
            serde_json::json!({"bollards": rows, "has_next": from + page < 3_100}).to_string()
        });
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
        let acceptor = acceptor.expect("a free port");
        let addr = *acceptor.local_addr()[0].as_socket_addr().expect("TCP");
        tokio::spawn(Server::new_with_acceptor(acceptor).run(cloud));
        let cloud = Cloud::new(Arc::new(Client::new(8)), addr, Clock::start(), 200.0);
        *cloud.budget.lock().expect("not poisoned") = Budget::new(0.0);
        let mut found = 0;
        cloud.list(|page| found += page.len()).await;
        assert_eq!((found, calls.load(Ordering::Relaxed)), (3_100, 7));
    }
}
