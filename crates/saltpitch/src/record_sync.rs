//! Keeping the controller's copy of the records up to date.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::records::{node_key, RecordCache, RecordChange};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome};
use serde_json::value::RawValue;
use tokio::sync::{watch, Notify};

use crate::node::Node;
use crate::store::News;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// How long a request waits for the newest records.
const FRESH_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// After so many failed watches in a row the records are listed anew.
const FAILURES_BEFORE_LISTING: u32 = 5;
/// The parts of this node's share of the state service's requests that watches and fresh reads take.
const WATCH_SHARE: f64 = 0.12;
const FRESH_READ_SHARE: f64 = 0.3;
const TXN_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests that wait for records as new as themselves. One read serves all that wait when it starts.
pub struct FreshReads {
    wanted: Notify,
    started: AtomicU64,
    done: watch::Sender<FreshRead>,
}

/// The last read that ended.
#[derive(Clone, Copy, Default)]
struct FreshRead {
    ticket: u64,
    ok: bool,
}

impl Default for FreshReads {
    fn default() -> FreshReads {
        FreshReads {
            wanted: Notify::new(),
            started: AtomicU64::new(0),
            done: watch::channel(FreshRead::default()).0,
        }
    }
}

impl FreshReads {
    /// Waits for a read that starts after this call. False: the state service could not be read.
    async fn wait(&self) -> bool {
        let needed = self.started.load(Ordering::Relaxed) + 1;
        let mut done = self.done.subscribe();
        self.wanted.notify_one();
        loop {
            let last = *done.borrow_and_update();
            if last.ticket >= needed {
                return last.ok;
            }
            if done.changed().await.is_err() {
                return false;
            }
        }
    }
}

impl Node {
    /// Waits until the records are as new as this call. False: the state service could not be read.
    pub async fn fresh(&self) -> bool {
        tokio::time::timeout(FRESH_READ_TIMEOUT, self.fresh_reads.wait())
            .await
            .unwrap_or(false)
    }

    fn apply(&self, from: u64, changes: Vec<RecordChange>, upto: u64) {
        let (now, wall) = (self.now(), self.clock.wall());
        let mut controller = self.controller();
        let job_changed = controller.apply_changes(from, changes, upto, now, wall);
        if job_changed && controller.is_leader() {
            self.wake.notify_one();
        }
    }

    /// A write that this node made itself is known from the answer on.
    pub fn apply_own_write(&self, key: &str, value: &str, revision: u64) {
        let Ok(value) = RawValue::from_string(value.to_owned()) else {
            return;
        };
        let change = RecordChange {
            key: key.to_owned(),
            value: Some(value),
            revision,
        };
        let (now, wall) = (self.now(), self.clock.wall());
        self.controller().apply_own_write(&change, now, wall);
        self.wake.notify_one();
    }

    /// Reads all records anew.
    async fn list_records(&self) -> bool {
        let mut records = RecordCache::default();
        let take = |rows: Vec<RecordChange>| {
            for row in rows {
                let Some(value) = &row.value else { continue };
                if let Err(error) = records.put(&row.key, value, row.revision) {
                    tracing::error!("record {} is unreadable and was skipped: {error}", row.key);
                }
            }
        };
        let Some(revision) = self.store.list(take).await else {
            return false;
        };
        records.rev = revision;
        let (now, wall) = (self.now(), self.clock.wall());
        let replaced = self.controller().replace_records(records, now, wall);
        if let Err(error) = replaced {
            tracing::error!("{error}");
            return false;
        }
        self.wake.notify_one();
        true
    }

    /// Puts this process's incarnation on record.
    async fn announce(&self) {
        let Some(announcement) = self.controller().announcement() else {
            return;
        };
        let key = node_key(&self.settings.node);
        let preconditions = [Precondition::new(key, announcement.expected_revision)];
        let outcome = self
            .store
            .txn(&preconditions, &[announcement.write], None, TXN_TIMEOUT)
            .await;
        let written = matches!(outcome, TransactionOutcome::Committed(_));
        // The answer may have been lost.
        if !written && !self.fresh().await {
            return;
        }
        self.controller()
            .confirm_announcement(announcement.incarnation, written);
    }
}

/// Follows the changes of the records with one watch at a time.
pub async fn follow(node: Arc<Node>) {
    let mut failures = 0;
    loop {
        if !node.controller().is_synced() && !node.list_records().await {
            node.pause(400).await;
            continue;
        }
        if !node.controller().is_announced() {
            node.announce().await;
            if !node.controller().is_announced() {
                node.pause(300).await;
                let _ = node.fresh().await;
            }
        }
        let from = node.controller().records().rev;
        match node.store.news(from, WATCH_WAIT).await {
            News::Changes(changes, revision) => {
                failures = 0;
                node.apply(from, changes, revision);
                // Each reopening counts against the store's rate.
                tokio::time::sleep(node.store.pace(WATCH_SHARE)).await;
            }
            News::TooOld => {
                node.list_records().await;
                node.pause(200).await;
            }
            News::Failed => {
                node.pause(400).await;
                failures += 1;
                // After a long absence the changes may be too many for one answer, while a listing
                // comes in pages.
                if failures % FAILURES_BEFORE_LISTING == 0 {
                    node.list_records().await;
                }
            }
        }
    }
}

/// Reads the newest changes for whoever waits for them.
pub async fn read_fresh(node: Arc<Node>) {
    let reads = &node.fresh_reads;
    loop {
        reads.wanted.notified().await;
        let ticket = reads.started.fetch_add(1, Ordering::Relaxed) + 1;
        let ok = read_newest(&node).await;
        reads.done.send_replace(FreshRead { ticket, ok });
        tokio::time::sleep(node.store.pace(FRESH_READ_SHARE)).await;
    }
}

async fn read_newest(node: &Node) -> bool {
    let (synced, from) = {
        let controller = node.controller();
        (controller.is_synced(), controller.records().rev)
    };
    if !synced {
        return false;
    }
    match node.store.news(from, Duration::ZERO).await {
        News::Changes(changes, revision) => {
            node.apply(from, changes, revision);
            true
        }
        News::TooOld => node.list_records().await,
        News::Failed => false,
    }
}

/// Reads the machine types from the cloud, and again every now and then.
pub async fn load_catalog(node: Arc<Node>) {
    loop {
        if let Some(catalog) = node.cloud.catalog().await {
            node.controller().set_catalog(Arc::new(catalog));
        }
        let known = node.controller().catalog().is_some();
        node.pause(if known { 30_000 } else { 700 }).await;
    }
}
