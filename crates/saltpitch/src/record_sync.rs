//! Keeps the controller's copy of the records in the state service up to date.

mod follower;
mod freshness;

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::records::{JobRead, JobWrite, RecordChanges};
use serde_json::value::RawValue;

pub use self::follower::follow_changes;
pub use self::freshness::CopyAge;
use crate::node::Node;
use crate::store::ReadError;

/// How long a request waits for the latest records before it fails.
const FRESH_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The fraction of an equal share of the state service's request rate that fresh reads use.
const FRESH_READ_SHARE: f64 = 0.3;

impl Node {
    /// Waits until the records in memory are at least as new as this call. Returns false if the state
    /// service could not be read in time.
    pub async fn read_latest_records(&self) -> bool {
        tokio::time::timeout(FRESH_READ_TIMEOUT, self.fresh_reads.wait())
            .await
            .unwrap_or(false)
    }

    /// Logs that the records in memory are up to date again, if the log said that they were old.
    fn log_current_copy(&self, known_revision: u64, revision: u64) {
        let age = self.copy_age().read_applied(self.now());
        if let Some(age) = age {
            tracing::info!(
                "store: the records in memory are read up to revision {revision} again, after {:.1} s at revision {known_revision}",
                age.as_secs_f64()
            );
        }
    }

    /// Logs now and then how old the records in memory are while they cannot be read.
    fn log_old_copy(&self, reason: &ReadError) {
        let age = self.copy_age().read_failed(self.now());
        if let Some(age) = age {
            let revision = self.controller().records().revision();
            tracing::info!(
                "store: the records in memory are those of {:.1} s ago, at revision {revision}: {reason}",
                age.as_secs_f64()
            );
        }
    }

    /// Applies this node's write of a job's record to the records in memory without waiting for the watch to return it.
    pub fn apply_own_write(&self, id: &str, record: &str, revision: u64) {
        let Ok(record) = RawValue::from_string(record.to_owned()) else {
            return;
        };
        let write = JobWrite {
            id: id.to_owned(),
            record,
            revision,
        };
        let (now, wall) = (self.now(), self.clock.wall_time());
        self.controller().apply_own_write(write, now, wall);
        self.scheduler_wakeup.notify_one();
    }
}

/// Applies changes, and wakes the scheduler's task if a job has changed and this node leads. A new job may depend on
/// ended jobs that are no longer in memory: their records are read first. After a success, the records in memory are
/// at least as new as the changes.
async fn apply_changes(
    node: &Node,
    from_revision: u64,
    changes: RecordChanges,
) -> Result<(), ReadError> {
    let mut reads: Vec<JobRead> = Vec::new();
    loop {
        let unknown = {
            let mut controller = node.controller();
            let unknown = controller.unknown_dependencies(&changes.changes, &reads);
            if unknown.is_empty() {
                let (now, wall) = (node.now(), node.clock.wall_time());
                let RecordChanges { changes, revision } = changes;
                controller.apply_job_reads(&reads);
                let known_revision = controller.records().revision();
                let job_changed =
                    controller.apply_changes(from_revision, changes, revision, now, wall)?;
                node.log_current_copy(known_revision, revision);
                if job_changed && controller.is_leader() {
                    node.scheduler_wakeup.notify_one();
                }
                return Ok(());
            }
            unknown
        };
        for id in &unknown {
            reads.push(node.store.read_job(id).await?);
        }
    }
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
        (controller.is_synced(), controller.records().revision())
    };
    if !is_synced {
        return false;
    }
    let Ok(changes) = node.store.watch(from_revision, Duration::ZERO).await else {
        // If the revision is too old, the next watch finds it as well and lists the records.
        return false;
    };
    match apply_changes(node, from_revision, changes).await {
        Ok(()) => true,
        Err(error) => {
            tracing::info!("store: a read of the latest changes failed: {error}");
            false
        }
    }
}
