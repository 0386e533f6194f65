//! How a process reads the records when its reads take time: one watch or listing at a time, as the program's follower
//! does, and beside it one read of the latest changes for all who wait for one.

use std::collections::BTreeSet;

use saltpitch_core::controller::ListingEnd;
use saltpitch_core::records::{JobRead, RecordChanges, RecordListing};
use saltpitch_core::Micros;

use super::store_access::{read_changes, read_job, read_page, ChangesAnswer, Process, Reader};
use super::Simulation;

/// Pauses after a watch, after a failed one, and after a listing that stopped or ended.
const WATCH_PAUSE: Micros = Micros::from_millis(150);
const FAILED_WATCH_PAUSE: Micros = Micros::from_millis(400);
const LISTING_PAUSE: Micros = Micros::from_millis(200);
/// The pause between two reads of the latest changes.
const FRESH_READ_PAUSE: Micros = Micros::from_millis(25);
/// After each run of this many consecutive failed watches, all records are listed.
const FAILED_WATCHES_BEFORE_LISTING: u32 = 5;

type WhenRead = Box<dyn FnOnce(&mut Simulation, bool)>;
type WhenJobsRead = Box<dyn FnOnce(&mut Simulation, Option<Vec<JobRead>>)>;

/// The reads of one process.
#[derive(Default)]
pub struct ProcessReads {
    is_following: bool,
    failed_watches: u32,
    /// The listing under way, if one was interrupted and is still needed.
    listing: Option<Box<RecordListing>>,
    /// Whether the changes since the copy's revision can no longer be read.
    is_copy_outdated: bool,
    /// The number of reads of the latest changes that have started.
    fresh_reads: u64,
    is_reading_fresh: bool,
    /// Who waits for the end of the read with this number or of a later one.
    waiting: Vec<(u64, WhenRead)>,
}

impl Simulation {
    /// Starts the next watch or listing of a controller's process, unless one is under way.
    pub(super) fn follow_records(&mut self, node_index: usize) {
        let process = self.process(node_index);
        let node = &mut self.nodes[node_index];
        if std::mem::replace(&mut node.reads.is_following, true) {
            return;
        }
        if !node.controller.is_synced() || node.reads.is_copy_outdated {
            return self.continue_listing(process);
        }
        let from = node.records().revision();
        let history = self.store_access.history_revisions;
        self.request(
            process,
            Reader::Follower,
            move |store| read_changes(store, from, history),
            move |simulation, answer| simulation.watch_answered(process, from, answer),
        );
    }

    /// Lets the process's next watch or listing start after a pause.
    fn follow_again_after(&mut self, process: Process, pause: Micros) {
        self.schedule_after(pause, move |simulation| {
            if simulation.is_process_up(process) {
                simulation.nodes[process.node_index].reads.is_following = false;
            }
        });
    }

    fn watch_answered(&mut self, process: Process, from: u64, answer: Option<ChangesAnswer>) {
        match answer {
            Some(ChangesAnswer::Changes(changes)) => {
                let then = move |simulation: &mut Simulation, is_applied| {
                    simulation.watch_ended(process, is_applied)
                };
                self.apply_changes(process, from, changes, Vec::new(), Box::new(then));
            }
            Some(ChangesAnswer::RevisionTooOld) => {
                self.store_access.counts.reads_too_old += 1;
                self.nodes[process.node_index].reads.is_copy_outdated = true;
                self.follow_again_after(process, LISTING_PAUSE);
            }
            None => self.watch_ended(process, false),
        }
    }

    fn watch_ended(&mut self, process: Process, is_applied: bool) {
        let reads = &mut self.nodes[process.node_index].reads;
        if is_applied {
            reads.failed_watches = 0;
            reads.listing = None;
            return self.follow_again_after(process, WATCH_PAUSE);
        }
        reads.failed_watches += 1;
        let failed = reads.failed_watches;
        if !failed.is_multiple_of(FAILED_WATCHES_BEFORE_LISTING) {
            return self.follow_again_after(process, FAILED_WATCH_PAUSE);
        }
        self.may_end_refusal(process.node_index);
        self.schedule_after(FAILED_WATCH_PAUSE, move |simulation| {
            if simulation.is_process_up(process) {
                simulation.continue_listing(process);
            }
        });
    }

    fn continue_listing(&mut self, process: Process) {
        let node = &mut self.nodes[process.node_index];
        let max_ended_jobs = node.max_ended_jobs;
        let listing = node.reads.listing.take();
        let listing = listing.unwrap_or_else(|| Box::new(RecordListing::new(max_ended_jobs)));
        self.read_listing(process, listing);
    }

    /// Sends the next request of a listing: for a page or, after the last page, for the changes.
    fn read_listing(&mut self, process: Process, mut listing: Box<RecordListing>) {
        if let Some(after) = listing.next_page().map(str::to_owned) {
            return self.request(
                process,
                Reader::Follower,
                move |store| read_page(store, &after),
                move |simulation, page| match page {
                    Some(page) => {
                        listing.page_read(&page);
                        simulation.read_listing(process, listing);
                    }
                    None => simulation.listing_interrupted(process, listing),
                },
            );
        }
        let from = listing.known_revision();
        let history = self.store_access.history_revisions;
        self.request(
            process,
            Reader::Follower,
            move |store| read_changes(store, from, history),
            move |simulation, answer| match answer {
                Some(ChangesAnswer::Changes(changes)) => {
                    listing.changes_read(&changes);
                    simulation.finish_listing(process, listing);
                }
                Some(ChangesAnswer::RevisionTooOld) => {
                    simulation.follow_again_after(process, LISTING_PAUSE)
                }
                None => simulation.listing_interrupted(process, listing),
            },
        );
    }

    fn listing_interrupted(&mut self, process: Process, listing: Box<RecordListing>) {
        self.nodes[process.node_index].reads.listing = Some(listing);
        self.follow_again_after(process, LISTING_PAUSE);
    }

    fn finish_listing(&mut self, process: Process, mut listing: Box<RecordListing>) {
        let now = self.now;
        let node = &mut self.nodes[process.node_index];
        let counts = &mut self.store_access.counts;
        counts.listings += 1;
        counts.listings_behind += u64::from(listing.known_revision() < node.records().revision());
        let end = node.controller.finish_listing(&mut listing, now, now);
        if let Ok(ListingEnd::Missing(unknown)) = end {
            let then = move |simulation: &mut Simulation, reads: Option<Vec<JobRead>>| {
                let Some(reads) = reads else {
                    return simulation.listing_interrupted(process, listing);
                };
                for read in reads {
                    listing.job_read(read);
                }
                simulation.finish_listing(process, listing);
            };
            return self.read_jobs(process, unknown, Box::new(then));
        }
        node.reads.is_copy_outdated = false;
        self.follow_again_after(process, LISTING_PAUSE);
    }

    /// Reads the records of jobs by their keys, one request each. `then` gets `None` if one is refused.
    fn read_jobs(&mut self, process: Process, ids: BTreeSet<String>, then: WhenJobsRead) {
        self.nodes[process.node_index].job_read_count += ids.len() as u64;
        self.read_next_job(process, ids, Vec::new(), then);
    }

    fn read_next_job(
        &mut self,
        process: Process,
        mut ids: BTreeSet<String>,
        mut reads: Vec<JobRead>,
        then: WhenJobsRead,
    ) {
        let Some(id) = ids.pop_first() else {
            return then(self, Some(reads));
        };
        self.request(
            process,
            Reader::Request,
            move |store| read_job(store, id),
            move |simulation, read| match read {
                Some(read) => {
                    reads.push(read);
                    simulation.read_next_job(process, ids, reads, then);
                }
                None => then(simulation, None),
            },
        );
    }

    /// Applies the changes after the revision `from`. The records of ended jobs that they need are read first.
    fn apply_changes(
        &mut self,
        process: Process,
        from: u64,
        changes: RecordChanges,
        mut reads: Vec<JobRead>,
        then: WhenRead,
    ) {
        let now = self.now;
        let node = &mut self.nodes[process.node_index];
        let unknown = node
            .controller
            .unknown_dependencies(&changes.changes, &reads);
        if unknown.is_empty() {
            let counts = &mut self.store_access.counts;
            let known = node.records().revision();
            counts.reads_dropped += u64::from(from > known);
            counts.reads_behind += u64::from(changes.revision < known);
            node.controller.apply_job_reads(&reads);
            let RecordChanges { changes, revision } = changes;
            let applied = node
                .controller
                .apply_changes(from, changes, revision, now, now);
            return then(self, applied.is_ok());
        }
        let when_read = move |simulation: &mut Simulation, more: Option<Vec<JobRead>>| {
            let Some(more) = more else {
                return then(simulation, false);
            };
            reads.extend(more);
            simulation.apply_changes(process, from, changes, reads, then);
        };
        self.read_jobs(process, unknown, Box::new(when_read));
    }

    /// Calls `then` after a read of the latest changes that starts after this call, with whether it succeeded.
    pub(super) fn when_freshly_read(
        &mut self,
        process: Process,
        then: impl FnOnce(&mut Simulation, bool) + 'static,
    ) {
        let reads = &mut self.nodes[process.node_index].reads;
        reads.waiting.push((reads.fresh_reads + 1, Box::new(then)));
        self.start_fresh_read(process);
    }

    fn start_fresh_read(&mut self, process: Process) {
        let node = &mut self.nodes[process.node_index];
        let reads = &mut node.reads;
        if reads.is_reading_fresh || reads.waiting.is_empty() {
            return;
        }
        reads.is_reading_fresh = true;
        reads.fresh_reads += 1;
        if !node.controller.is_synced() {
            return self.finish_fresh_read(process, false);
        }
        let from = node.records().revision();
        let history = self.store_access.history_revisions;
        self.request(
            process,
            Reader::Request,
            move |store| read_changes(store, from, history),
            move |simulation, answer| {
                let Some(ChangesAnswer::Changes(changes)) = answer else {
                    return simulation.finish_fresh_read(process, false);
                };
                let then = move |simulation: &mut Simulation, is_applied| {
                    simulation.finish_fresh_read(process, is_applied)
                };
                simulation.apply_changes(process, from, changes, Vec::new(), Box::new(then));
            },
        );
    }

    fn finish_fresh_read(&mut self, process: Process, succeeded: bool) {
        let reads = &mut self.nodes[process.node_index].reads;
        let number = reads.fresh_reads;
        let (ended, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut reads.waiting)
            .into_iter()
            .partition(|(awaited, _)| *awaited <= number);
        reads.waiting = waiting;
        self.schedule_after(FRESH_READ_PAUSE, move |simulation| {
            if simulation.is_process_up(process) {
                simulation.nodes[process.node_index].reads.is_reading_fresh = false;
                simulation.start_fresh_read(process);
            }
        });
        for (_, then) in ended {
            then(self, succeeded);
        }
    }
}
