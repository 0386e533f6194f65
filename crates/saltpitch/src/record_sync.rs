//! Keeps the controller's copy of the records in the state service up to date.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::records::{node_key, RecordCache, RecordChange};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome};
use serde_json::value::RawValue;

use crate::node::Node;
use crate::store::WatchOutcome;

/// How long the state service may hold a watch open until there is a change.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// How long a request waits for the latest records before it fails.
const FRESH_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// After each run of this many consecutive failed watches, all records are listed again.
const FAILED_WATCHES_BEFORE_LISTING: u32 = 5;
/// The fractions of an equal share of the state service's request rate that watches and fresh reads use.
const WATCH_SHARE: f64 = 0.12;
const FRESH_READ_SHARE: f64 = 0.3;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean pauses before the next attempt, in milliseconds. The jitter is half of each in each direction.
const FAILED_READ_PAUSE_MS: u64 = 400;
const FAILED_ANNOUNCEMENT_PAUSE_MS: u64 = 300;
const POST_LISTING_PAUSE_MS: u64 = 200;

impl Node {
    /// Waits until the records in memory are at least as new as this call. Returns false if the state
    /// service could not be read in time.
    pub async fn read_latest_records(&self) -> bool {
        tokio::time::timeout(FRESH_READ_TIMEOUT, self.fresh_reads.wait())
            .await
            .unwrap_or(false)
    }

    /// Applies a write of this node to the records in memory without waiting for the watch to return it.
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

/// Announces this process and follows the changes of the records, with one watch at a time. Never
/// returns.
pub async fn follow_changes(node: Arc<Node>) {
    let mut failed_watches = 0;
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
        watch_once(&node, &mut failed_watches).await;
    }
}

/// Runs one watch and applies its changes. `failed_watches` counts consecutive failed watches.
async fn watch_once(node: &Node, failed_watches: &mut u32) {
    let from_revision = node.controller().records().revision;
    match node.store.watch(from_revision, WATCH_WAIT).await {
        WatchOutcome::Changes(changes) => {
            *failed_watches = 0;
            apply_changes(node, from_revision, changes.changes, changes.revision);
            // Each watch counts towards the service's request rate.
            tokio::time::sleep(node.store.pace(WATCH_SHARE)).await;
        }
        WatchOutcome::RevisionTooOld => {
            list_records(node).await;
            node.pause(POST_LISTING_PAUSE_MS).await;
        }
        WatchOutcome::Failed => {
            node.pause(FAILED_READ_PAUSE_MS).await;
            *failed_watches += 1;
            // After a long disconnection there may be too many changes for one response, whereas a
            // listing is read in pages.
            if failed_watches.is_multiple_of(FAILED_WATCHES_BEFORE_LISTING) {
                list_records(node).await;
            }
        }
    }
}

/// Applies the changes after `from_revision` up to `last_revision`, and wakes the scheduler's task if a
/// job has changed and this node leads.
fn apply_changes(node: &Node, from_revision: u64, changes: Vec<RecordChange>, last_revision: u64) {
    let (now, wall) = (node.now(), node.clock.wall_time());
    let mut controller = node.controller();
    let job_changed = controller.apply_changes(from_revision, changes, last_revision, now, wall);
    if job_changed && controller.is_leader() {
        node.scheduler_wakeup.notify_one();
    }
}

/// Lists all records and replaces those in memory. Returns false if they could not be listed or have the
/// layout of an earlier version.
async fn list_records(node: &Node) -> bool {
    let mut records = RecordCache::default();
    let put_page = |page: Vec<RecordChange>| {
        for record in page {
            let Some(value) = &record.value else { continue };
            if let Err(error) = records.put(&record.key, value, record.revision) {
                tracing::error!(
                    "record {} is unreadable and was skipped: {error}",
                    record.key
                );
            }
        }
    };
    let Some(revision) = node.store.list_records(put_page).await else {
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

/// Writes this process's incarnation to the state service, once.
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
    let is_written = matches!(outcome, TransactionOutcome::Committed(_));
    // If the response was lost, the latest records show whether the write was committed.
    if !is_written && !node.read_latest_records().await {
        return;
    }
    node.controller()
        .confirm_announcement(announcement.incarnation, is_written);
}

/// Reads the latest changes whenever a request waits for them. Never returns.
pub async fn serve_fresh_reads(node: Arc<Node>) {
    let reads = &node.fresh_reads;
    loop {
        reads.wait_for_request().await;
        let number = reads.start();
        let succeeded = read_latest_changes(&node).await;
        reads.finish(number, succeeded);
        tokio::time::sleep(node.store.pace(FRESH_READ_SHARE)).await;
    }
}

/// Reads and applies the changes that exist now. Returns false if they could not be read.
async fn read_latest_changes(node: &Node) -> bool {
    let (is_synced, from_revision) = {
        let controller = node.controller();
        (controller.is_synced(), controller.records().revision)
    };
    if !is_synced {
        return false;
    }
    match node.store.watch(from_revision, Duration::ZERO).await {
        WatchOutcome::Changes(changes) => {
            apply_changes(node, from_revision, changes.changes, changes.revision);
            true
        }
        WatchOutcome::RevisionTooOld => list_records(node).await,
        WatchOutcome::Failed => false,
    }
}
