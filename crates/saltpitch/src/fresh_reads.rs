//! Coordinates requests that need the latest records with the task that reads them.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{watch, Notify};

/// The requests that wait until the records are at least as new as the request. One read serves all
/// requests that are waiting when it starts.
pub struct FreshReads {
    /// Wakes the task that reads.
    requested: Notify,
    /// The number of reads that have started.
    started: AtomicU64,
    last_finished: watch::Sender<FreshRead>,
}

/// A read that has ended.
#[derive(Clone, Copy, Default)]
struct FreshRead {
    /// The number of the read, counted from one.
    number: u64,
    succeeded: bool,
}

impl Default for FreshReads {
    fn default() -> FreshReads {
        FreshReads {
            requested: Notify::new(),
            started: AtomicU64::new(0),
            last_finished: watch::channel(FreshRead::default()).0,
        }
    }
}

impl FreshReads {
    /// Waits for the end of a read that starts after this call. Returns false if the state service could
    /// not be read.
    pub async fn wait(&self) -> bool {
        let awaited_number = self.started.load(Ordering::Relaxed) + 1;
        let mut reads = self.last_finished.subscribe();
        self.requested.notify_one();
        loop {
            let last_finished = *reads.borrow_and_update();
            if last_finished.number >= awaited_number {
                return last_finished.succeeded;
            }
            if reads.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Waits until a request needs a read.
    pub async fn wait_for_request(&self) {
        self.requested.notified().await;
    }

    /// Records the start of a read and returns its number.
    pub fn start(&self) -> u64 {
        self.started.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records the end of a read and wakes the requests that wait for it.
    pub fn finish(&self, number: u64, succeeded: bool) {
        self.last_finished
            .send_replace(FreshRead { number, succeeded });
    }
}
