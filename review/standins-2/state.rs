//! The state service, after PROTOCOL-saltpitch.md. Each controller has an address of its own there, so that a
//! single one can be refused.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{quote, Json};

const MAX_CHANGES: usize = 10_000;

struct Entry {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }

    /// The limit allows bursts of one second's worth.
    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + refill).min(self.rate);
        self.at = now;
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }
}

pub struct Inner {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    dropped_up_to: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    pub refused: Vec<bool>,
    requests: Bucket,
    writes: Bucket,
    max_value: usize,
    max_ops: usize,
}

impl Inner {
    pub fn value(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(|entry| entry.value.as_str())
    }

    pub fn entry_revision(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }

    fn is_refused(&self, node: usize) -> bool {
        self.refused[node]
    }

    fn record(&mut self, key: String, value: Option<String>) {
        let revision = self.revision;
        self.changes.push_back(Change {
            revision,
            key,
            value,
        });
        while self.changes.len() > MAX_CHANGES {
            if let Some(change) = self.changes.pop_front() {
                self.dropped_up_to = change.revision;
            }
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.entries.remove(&key);
            self.record(key, None);
        }
    }
}

/// How an answer is delayed: before the request is carried out, and after it.
#[derive(Clone, Copy, Default)]
pub struct Delay {
    pub before: Duration,
    pub after: Duration,
    /// The request is carried out and the connection is closed without an answer.
    pub lose_answer: bool,
}

/// Decides on the delay of a request of a controller.
pub type DelayRule = Box<dyn FnMut(usize, &Request) -> Delay + Send>;
/// Observes a request, its status and its answer.
pub type Observer = Box<dyn FnMut(usize, &Request, u16, &str) + Send>;

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    delay: Mutex<Option<DelayRule>>,
    observer: Mutex<Option<Observer>>,
    pub addrs: Vec<SocketAddr>,
}

impl State {
    pub fn start(nodes: usize, rps: f64, write_rps: f64, value_kb: f64, ops: usize) -> Arc<State> {
        let bound: Vec<_> = (0..nodes).map(|_| http::bind()).collect();
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                revision: 1,
                entries: BTreeMap::new(),
                changes: VecDeque::new(),
                dropped_up_to: 0,
                leases: HashMap::new(),
                next_lease: 1,
                refused: vec![false; nodes],
                requests: Bucket::new(rps),
                writes: Bucket::new(write_rps),
                max_value: (value_kb * 1024.0) as usize,
                max_ops: ops,
            }),
            changed: Condvar::new(),
            delay: Mutex::new(None),
            observer: Mutex::new(None),
            addrs: bound.iter().map(|(_, addr)| *addr).collect(),
        });
        for (node, (listener, _)) in bound.into_iter().enumerate() {
            let shared = state.clone();
            http::serve(
                listener,
                Arc::new(move |request| shared.answer(node, &request)),
            );
        }
        let shared = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            shared.expire_leases();
        });
        state
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic")
    }

    pub fn set_delay(&self, rule: Option<DelayRule>) {
        *self.delay.lock().expect("no panic") = rule;
    }

    pub fn set_observer(&self, observer: Observer) {
        *self.observer.lock().expect("no panic") = Some(observer);
    }

    pub fn set_refused(&self, node: usize, refused: bool) {
        self.lock().refused[node] = refused;
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            inner.end_lease(*id);
        }
        drop(inner);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, node: usize, request: &Request) -> Answer {
        let delay = match self.delay.lock().expect("no panic").as_mut() {
            Some(rule) => rule(node, request),
            None => Delay::default(),
        };
        // A response normally takes under 10 ms.
        std::thread::sleep(Duration::from_millis(1) + delay.before);
        let (status, body) = self.carry_out(node, request);
        if let Some(observer) = self.observer.lock().expect("no panic").as_mut() {
            observer(node, request, status, &body);
        }
        std::thread::sleep(Duration::from_millis(1) + delay.after);
        if delay.lose_answer {
            return Answer::Close;
        }
        Answer::Reply(status, body)
    }

    fn carry_out(&self, node: usize, request: &Request) -> (u16, String) {
        let mut inner = self.lock();
        if inner.is_refused(node) {
            return (503, "{\"error\":\"trouble\"}".to_owned());
        }
        if !inner.requests.take(1.0) {
            return (429, "{}".to_owned());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/watch") => self.watch(node, inner, request),
            ("GET", "/store") => list(&inner, request),
            ("GET", path) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match inner.entries.get(key) {
                    Some(entry) => (
                        200,
                        format!(
                            "{{\"path\":{},\"v\":{},\"entry_no\":{}}}",
                            quote(key),
                            entry.value,
                            entry.revision
                        ),
                    ),
                    None => (404, format!("{{\"ledger_no\":{}}}", inner.revision)),
                }
            }
            ("POST", "/txn") => {
                let result = transaction(&mut inner, &request.body);
                drop(inner);
                self.changed.notify_all();
                result
            }
            ("POST", "/holds") => {
                let body = Json::parse(&request.body);
                let ttl_ms = body.and_then(|body| body.integer("ttl_ms")).unwrap_or(0);
                if !(100..=600_000).contains(&ttl_ms) {
                    return (400, "{}".to_owned());
                }
                let id = inner.next_lease;
                inner.next_lease += 1;
                let ttl = Duration::from_millis(ttl_ms);
                let ends = Instant::now() + ttl;
                inner.leases.insert(id, Lease { ttl, ends });
                (200, format!("{{\"mooring\":{id}}}"))
            }
            (method, path) if path.starts_with("/holds/") => {
                let rest = &path["/holds/".len()..];
                let id = rest.trim_end_matches("/touch").parse().unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    return (404, "{}".to_owned());
                }
                if method == "DELETE" {
                    inner.end_lease(id);
                    drop(inner);
                    self.changed.notify_all();
                } else if let Some(lease) = inner.leases.get_mut(&id) {
                    lease.ends = Instant::now() + lease.ttl;
                }
                (200, format!("{{\"mooring\":{id}}}"))
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(
        &self,
        node: usize,
        mut inner: MutexGuard<'_, Inner>,
        request: &Request,
    ) -> (u16, String) {
        let prefix = request.parameter("starts").unwrap_or("").to_owned();
        let from: u64 = request
            .parameter("from")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let wait: u64 = request
            .parameter("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(wait.min(60_000));
        loop {
            if from < inner.dropped_up_to {
                return (410, "{}".to_owned());
            }
            let has_news = inner
                .changes
                .iter()
                .rev()
                .take_while(|change| change.revision > from)
                .any(|change| change.key.starts_with(&prefix));
            let now = Instant::now();
            // A watch that is open stays open while its node is refused.
            let is_refused = inner.is_refused(node);
            if !is_refused && (has_news || now >= ends) {
                break;
            }
            let left = ends.saturating_duration_since(now);
            let pause = left.clamp(Duration::from_millis(5), Duration::from_millis(100));
            inner = self.changed.wait_timeout(inner, pause).expect("no panic").0;
        }
        let news: Vec<String> = inner
            .changes
            .iter()
            .filter(|change| change.revision > from && change.key.starts_with(&prefix))
            .map(|change| match &change.value {
                Some(value) => format!(
                    "{{\"write\":{},\"v\":{value},\"entry_no\":{}}}",
                    quote(&change.key),
                    change.revision
                ),
                None => format!(
                    "{{\"delete\":{},\"entry_no\":{}}}",
                    quote(&change.key),
                    change.revision
                ),
            })
            .collect();
        (
            200,
            format!(
                "{{\"ledger_no\":{},\"news\":[{}]}}",
                inner.revision,
                news.join(",")
            ),
        )
    }
}

fn list(inner: &Inner, request: &Request) -> (u16, String) {
    let prefix = request.parameter("starts").unwrap_or("");
    let after = request.parameter("from").unwrap_or("");
    let page = request.parameter("page").and_then(|v| v.parse().ok());
    let limit = page.unwrap_or(1_000usize).min(1_000);
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut has_next = false;
    for (key, entry) in &inner.entries {
        if !key.starts_with(prefix) || key.as_str() <= after {
            continue;
        }
        if rows.len() >= limit || bytes > 500 * 1024 {
            has_next = true;
            break;
        }
        bytes += entry.value.len() + key.len() + 40;
        rows.push(format!(
            "{{\"path\":{},\"v\":{},\"entry_no\":{}}}",
            quote(key),
            entry.value,
            entry.revision
        ));
    }
    (
        200,
        format!(
            "{{\"rows\":[{}],\"has_next\":{has_next},\"ledger_no\":{}}}",
            rows.join(","),
            inner.revision
        ),
    )
}

fn transaction(inner: &mut Inner, body: &str) -> (u16, String) {
    let Some(body) = Json::parse(body).filter(|_| body.len() <= 64 * 1024) else {
        return (400, "{\"error\":\"malformed\"}".to_owned());
    };
    let (when, writes) = (body.list("when"), body.list("writes"));
    let too_large = writes.iter().any(|write| {
        write
            .get("v")
            .is_some_and(|v| v.write().len() > inner.max_value)
    });
    if too_large || writes.len() > inner.max_ops || when.len() > 4 * inner.max_ops {
        return (400, "{\"error\":\"too large\"}".to_owned());
    }
    if !inner.writes.take(writes.len() as f64) {
        return (429, "{}".to_owned());
    }
    for write in writes {
        let lease = write.integer("mooring");
        if lease.is_some_and(|lease| !inner.leases.contains_key(&lease)) {
            return (400, "{\"error\":\"no such lease\"}".to_owned());
        }
    }
    let failed: Vec<String> = when
        .iter()
        .filter(|condition| {
            inner.entry_revision(condition.text("path"))
                != condition.integer("entry_no").unwrap_or(0)
        })
        .map(|condition| quote(condition.text("path")))
        .collect();
    if !failed.is_empty() {
        let body = format!(
            "{{\"failed\":[{}],\"ledger_no\":{}}}",
            failed.join(","),
            inner.revision
        );
        return (409, body);
    }
    if !writes.is_empty() {
        inner.revision += 1;
    }
    let revision = inner.revision;
    for write in writes {
        if let Some(Json::Text(key)) = write.get("delete") {
            if inner.entries.remove(key).is_some() {
                inner.record(key.clone(), None);
            }
            continue;
        }
        let key = write.text("write").to_owned();
        let value = write.get("v").map_or("null".to_owned(), Json::write);
        inner.entries.insert(
            key.clone(),
            Entry {
                value: value.clone(),
                revision,
                lease: write.integer("mooring"),
            },
        );
        inner.record(key, Some(value));
    }
    (200, format!("{{\"ledger_no\":{revision}}}"))
}
