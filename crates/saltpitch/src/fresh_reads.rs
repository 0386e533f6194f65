//! Reads of the latest records that requests wait for.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{watch, Notify};

/// Requests that wait for records as new as themselves. One read serves all that wait when it starts.
pub struct FreshReads {
    requested: Notify,
    started: AtomicU64,
    last: watch::Sender<FreshRead>,
}

/// The last read that ended.
#[derive(Clone, Copy, Default)]
struct FreshRead {
    /// Its number, counted from one.
    number: u64,
    succeeded: bool,
}

impl Default for FreshReads {
    fn default() -> FreshReads {
        FreshReads {
            requested: Notify::new(),
            started: AtomicU64::new(0),
            last: watch::channel(FreshRead::default()).0,
        }
    }
}

impl FreshReads {
    /// Waits for a read that starts after this call. False: the state service could not be read.
    pub async fn wait(&self) -> bool {
        let awaited = self.started.load(Ordering::Relaxed) + 1;
        let mut reads = self.last.subscribe();
        self.requested.notify_one();
        loop {
            let last = *reads.borrow_and_update();
            if last.number >= awaited {
                return last.succeeded;
            }
            if reads.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Waits until a request wants a read.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Begins a read; returns its number.
    pub fn start(&self) -> u64 {
        self.started.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Ends a read and wakes the requests that wait for it.
    pub fn finish(&self, number: u64, succeeded: bool) {
        self.last.send_replace(FreshRead { number, succeeded });
    }
}
