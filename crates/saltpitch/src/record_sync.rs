//! Keeping the controller's copy of the records up to date.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::records::{node_key, RecordCache, RecordChange};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome};
use serde_json::value::RawValue;

use crate::node::Node;
use crate::store::WatchOutcome;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// How long a request waits for the latest records.
const FRESH_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// After so many failed watches in a row the records are listed again.
const FAILURES_BEFORE_LISTING: u32 = 5;
/// The fractions of this node's share of the state service's requests that watches and fresh reads take.
const WATCH_SHARE: f64 = 0.12;
const FRESH_READ_SHARE: f64 = 0.3;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pauses before the next try, in milliseconds; each is spread by half either way.
const FAILED_READ_PAUSE_MS: u64 = 400;
const FAILED_ANNOUNCEMENT_PAUSE_MS: u64 = 300;
const RELISTING_PAUSE_MS: u64 = 200;

impl Node {
    /// Waits until the records are as new as this call. False: the state service could not be read.
    pub async fn read_latest_records(&self) -> bool {
        tokio::time::timeout(FRESH_READ_TIMEOUT, self.fresh_reads.wait())
            .await
            .unwrap_or(false)
    }

    /// Applies a write that this node made itself, without waiting for the watch to bring it.
    pub fn apply_own_write(&self, key: &str, value: &str, revision: u64) {
        let Ok(value) = RawValue::from_string(value.to_owned()) else {
            return;
        };
        let change = RecordChange {
            key: key.to_owned(),
            value: Some(value),
            revision,
        };
        let (now, wall) = (self.now(), self.clock.wall_time());
        self.controller().apply_own_write(&change, now, wall);
        self.scheduler_wakeup.notify_one();
    }
}

/// Follows the changes of the records with one watch at a time.
pub async fn follow(node: Arc<Node>) {
    let mut failures = 0;
    loop {
        if !node.controller().is_synced() && !list_records(&node).await {
            node.pause(FAILED_READ_PAUSE_MS).await;
            continue;
        }
        if !node.controller().is_announced() {
            announce(&node).await;
            if !node.controller().is_announced() {
                node.pause(FAILED_ANNOUNCEMENT_PAUSE_MS).await;
                let _ = node.read_latest_records().await;
            }
        }
        watch_once(&node, &mut failures).await;
    }
}

/// Waits for changes once and applies them. `failures` counts the watches in a row that failed.
async fn watch_once(node: &Node, failures: &mut u32) {
    let from = node.controller().records().revision;
    match node.store.watch(from, WATCH_WAIT).await {
        WatchOutcome::Changes(changes) => {
            *failures = 0;
            apply_changes(node, from, changes.changes, changes.revision);
            // Each watch counts against the service's rate of requests.
            tokio::time::sleep(node.store.pace(WATCH_SHARE)).await;
        }
        WatchOutcome::RevisionTooOld => {
            list_records(node).await;
            node.pause(RELISTING_PAUSE_MS).await;
        }
        WatchOutcome::Failed => {
            node.pause(FAILED_READ_PAUSE_MS).await;
            *failures += 1;
            // After a long absence the changes may be too many for one answer, while a listing
            // comes in pages.
            if failures.is_multiple_of(FAILURES_BEFORE_LISTING) {
                list_records(node).await;
            }
        }
    }
}

fn apply_changes(node: &Node, from: u64, changes: Vec<RecordChange>, upto: u64) {
    let (now, wall) = (node.now(), node.clock.wall_time());
    let mut controller = node.controller();
    let job_changed = controller.apply_changes(from, changes, upto, now, wall);
    if job_changed && controller.is_leader() {
        node.scheduler_wakeup.notify_one();
    }
}

/// Reads all records, in place of those in memory. False: they could not be read.
async fn list_records(node: &Node) -> bool {
    let mut records = RecordCache::default();
    let take = |page: Vec<RecordChange>| {
        for row in page {
            let Some(value) = &row.value else { continue };
            if let Err(error) = records.put(&row.key, value, row.revision) {
                tracing::error!("record {} is unreadable and was skipped: {error}", row.key);
            }
        }
    };
    let Some(revision) = node.store.list_records(take).await else {
        return false;
    };
    records.revision = revision;
    let (now, wall) = (node.now(), node.clock.wall_time());
    let replaced = node.controller().replace_records(records, now, wall);
    if let Err(error) = replaced {
        tracing::error!("{error}");
        return false;
    }
    node.scheduler_wakeup.notify_one();
    true
}

/// Puts this process's incarnation on record.
async fn announce(node: &Node) {
    let Some(announcement) = node.controller().announcement() else {
        return;
    };
    let key = node_key(&node.settings.node);
    let transaction = Transaction {
        preconditions: vec![Precondition::new(key, announcement.expected_revision)],
        writes: vec![announcement.write],
    };
    let outcome = node.store.commit(&transaction, ANNOUNCEMENT_TIMEOUT).await;
    let written = matches!(outcome, TransactionOutcome::Committed(_));
    // A write whose answer was lost shows in the latest records.
    if !written && !node.read_latest_records().await {
        return;
    }
    node.controller()
        .confirm_announcement(announcement.incarnation, written);
}

/// Reads the latest changes whenever a request waits for them.
pub async fn serve_fresh_reads(node: Arc<Node>) {
    let reads = &node.fresh_reads;
    loop {
        reads.requested().await;
        let number = reads.start();
        let succeeded = read_latest_changes(&node).await;
        reads.finish(number, succeeded);
        tokio::time::sleep(node.store.pace(FRESH_READ_SHARE)).await;
    }
}

async fn read_latest_changes(node: &Node) -> bool {
    let (synced, from) = {
        let controller = node.controller();
        (controller.is_synced(), controller.records().revision)
    };
    if !synced {
        return false;
    }
    match node.store.watch(from, Duration::ZERO).await {
        WatchOutcome::Changes(changes) => {
            apply_changes(node, from, changes.changes, changes.revision);
            true
        }
        WatchOutcome::RevisionTooOld => list_records(node).await,
        WatchOutcome::Failed => false,
    }
}
