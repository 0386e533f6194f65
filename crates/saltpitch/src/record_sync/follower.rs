//! The task that lists the records, announces this process and follows the changes.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::controller::{ListingEnd, OutdatedLayout};
use saltpitch_core::records::{node_key, UnreadableRecord};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome};

use super::apply_changes;
use crate::backoff::Backoff;
use crate::node::Node;
use crate::store::{Listing, ListingError, ReadError};

/// How long the state service may hold a watch open until there is a change.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// After each run of this many consecutive failed watches, all records are listed again.
const FAILED_WATCHES_BEFORE_LISTING: u32 = 5;
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// The fraction of an equal share of the state service's request rate that watches use.
const WATCH_SHARE: f64 = 0.12;
/// Mean pauses before the next watch, in milliseconds. The jitter is half of each in each direction.
const FAILED_READ_PAUSE_MS: u64 = 400;
const POST_LISTING_PAUSE_MS: u64 = 200;
/// Mean pauses before a listing that was interrupted continues: the first one, and the longest.
const FIRST_LISTING_PAUSE: Duration = Duration::from_millis(200);
const MAX_LISTING_PAUSE: Duration = Duration::from_secs(1);
/// The same for an announcement that was not committed.
const FIRST_ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(300);
const MAX_ANNOUNCEMENT_PAUSE: Duration = Duration::from_secs(2);

/// Announces this process and follows the changes of the records, with one watch at a time. Never
/// returns.
pub async fn follow_changes(node: Arc<Node>) {
    let mut follower = RecordFollower::new(node);
    loop {
        follower.step().await;
    }
}

/// The task that keeps the records in memory up to date. It alone lists the records, so that a controller never has
/// two listings under way.
struct RecordFollower {
    node: Arc<Node>,
    /// The listing under way, if one was interrupted and is still needed.
    listing: Option<Box<Listing>>,
    /// Whether the log says that the listing under way was interrupted after its last page.
    is_interruption_logged: bool,
    listing_backoff: Backoff,
    announcement_backoff: Backoff,
    /// The number of consecutive failed watches.
    failed_watches: u32,
}

impl RecordFollower {
    fn new(node: Arc<Node>) -> RecordFollower {
        RecordFollower {
            node,
            listing: None,
            is_interruption_logged: false,
            listing_backoff: Backoff::new(FIRST_LISTING_PAUSE, MAX_LISTING_PAUSE),
            announcement_backoff: Backoff::new(FIRST_ANNOUNCEMENT_PAUSE, MAX_ANNOUNCEMENT_PAUSE),
            failed_watches: 0,
        }
    }

    async fn step(&mut self) {
        if !self.node.controller().is_synced() {
            self.list_until_replaced().await;
        }
        if !self.node.controller().is_announced() {
            announce(&self.node).await;
        }
        let wait = self.next_watch_wait();
        self.watch_once(wait).await;
    }

    /// Returns how long the next watch may wait for a change. Until this process is announced, the watch is also the
    /// pause before the next announcement.
    fn next_watch_wait(&mut self) -> Duration {
        if self.node.controller().is_announced() {
            self.announcement_backoff.reset();
            return WATCH_WAIT;
        }
        self.announcement_backoff.next_pause(self.node.random())
    }

    /// Runs one watch and applies its changes.
    async fn watch_once(&mut self, wait: Duration) {
        let node = self.node.clone();
        let from_revision = node.controller().records().revision();
        let applied = match node.store.watch(from_revision, wait).await {
            Ok(changes) => apply_changes(&node, from_revision, changes).await,
            Err(error) => Err(error),
        };
        match applied {
            Ok(()) => {
                self.failed_watches = 0;
                // The records in memory are up to date again without the listing.
                self.listing = None;
                self.is_interruption_logged = false;
                // Each watch counts towards the service's request rate.
                tokio::time::sleep(node.store.pace(WATCH_SHARE)).await;
            }
            Err(ReadError::RevisionTooOld) => {
                self.list_until_replaced().await;
                node.pause(POST_LISTING_PAUSE_MS).await;
            }
            Err(error) => {
                node.log_old_copy(&error);
                // A refused watch counts towards the service's request rate, too.
                let share_pause_ms = node.store.pace(WATCH_SHARE).as_millis() as u64;
                node.pause(FAILED_READ_PAUSE_MS.max(share_pause_ms)).await;
                self.failed_watches += 1;
                // After a long disconnection there may be too many changes for one response, whereas a
                // listing is read in pages.
                if self
                    .failed_watches
                    .is_multiple_of(FAILED_WATCHES_BEFORE_LISTING)
                {
                    self.continue_listing().await;
                }
            }
        }
    }

    /// Lists the records until those in memory are replaced, or are as new already.
    async fn list_until_replaced(&mut self) {
        while !self.continue_listing().await {
            let pause = self.listing_backoff.next_pause(self.node.random());
            tokio::time::sleep(pause).await;
        }
    }

    /// Begins a listing of all records, or continues the one under way, and replaces the records in memory at its
    /// end unless they are as new. Returns false if a request failed, or if the records have the layout of an earlier
    /// version.
    async fn continue_listing(&mut self) -> bool {
        let clock = self.node.clock;
        let max_ended_jobs = self.node.controller().config().max_ended_jobs;
        let mut listing = self
            .listing
            .take()
            .unwrap_or_else(|| Box::new(Listing::new(clock, max_ended_jobs, log_unreadable)));
        let pages_before = listing.page_count();
        let mut result = listing.read_to_end(&self.node.store).await;
        while result.is_ok() {
            match self.finish_listing(&mut listing) {
                Ok(ListingEnd::Missing(unknown)) => {
                    result = listing.read_jobs(&self.node.store, &unknown).await;
                }
                Ok(ListingEnd::Replaced { .. } | ListingEnd::NotNewer { .. }) => return true,
                Err(error) => {
                    tracing::error!("{error}");
                    return false;
                }
            }
        }
        let Err(error) = result else { return false };
        if listing.page_count() > pages_before {
            self.listing_backoff.reset();
            self.is_interruption_logged = false;
        }
        // An outage would otherwise add a line with each attempt.
        let is_logged = std::mem::replace(&mut self.is_interruption_logged, true);
        match error {
            ListingError::Interrupted(reason) => {
                if !is_logged {
                    log_interruption(&listing, "it continues there", &reason);
                }
                self.listing = Some(listing);
            }
            ListingError::Outdated(reason) => {
                self.is_interruption_logged = false;
                log_interruption(&listing, "a new one begins", &reason);
            }
        }
        false
    }

    /// Replaces the records in memory by those of the listing, unless they are as new already or outcomes of ended jobs
    /// are missing.
    fn finish_listing(&mut self, listing: &mut Listing) -> Result<ListingEnd, OutdatedLayout> {
        let node = &self.node;
        let (now, wall) = (node.now(), node.clock.wall_time());
        let end = node
            .controller()
            .finish_listing(listing.records(), now, wall)?;
        if !matches!(end, ListingEnd::Missing(_)) {
            log_listing_end(node, listing, &end);
            node.scheduler_wakeup.notify_one();
            self.listing_backoff.reset();
            self.is_interruption_logged = false;
        }
        Ok(end)
    }
}

fn log_listing_end(node: &Node, listing: &Listing, end: &ListingEnd) {
    let (records, pages) = (listing.record_count(), listing.page_count());
    let elapsed = listing.elapsed().as_secs_f64();
    let (live, ended) = {
        let controller = node.controller();
        let records = controller.records();
        (records.jobs.len(), records.ended_jobs().len())
    };
    match end {
        ListingEnd::Replaced {
            from_revision,
            to_revision,
            newer_jobs,
        } => tracing::info!(
            "store: {records} records listed, {pages} pages in {elapsed:.1} s; {live} live jobs and {ended} ended ones are kept; \
             revision {from_revision} replaced by {to_revision}, {newer_jobs} newer records of jobs carried over"
        ),
        ListingEnd::NotNewer {
            listed_revision,
            revision,
        } => tracing::info!(
            "store: {records} records listed, {pages} pages in {elapsed:.1} s, and not used: they are as of revision \
             {listed_revision}, those in memory as of {revision}"
        ),
        ListingEnd::Missing(_) => {}
    }
}

fn log_unreadable(record: &UnreadableRecord) {
    let UnreadableRecord { key, error } = record;
    tracing::error!("record {key} is unreadable and was skipped: {error}");
}

fn log_interruption(listing: &Listing, next_step: &str, reason: &ReadError) {
    tracing::info!(
        "store: listing of the records stopped after {} pages, {} records and {:.1} s, {next_step}: {reason}",
        listing.page_count(),
        listing.record_count(),
        listing.elapsed().as_secs_f64()
    );
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
