//! Reads of the state service that take time: a request is on its way, is served or refused on arrival, and its answer
//! is on its way, too. Several reads of one process may be under way at once, so that answers overtake one another.
//!
//! Off unless [`Simulation::delay_record_reads`] is called. The delays come from a generator of their own.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::records::{job_key, JobRead, RecordChange, RecordChanges, RecordPage};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

use super::Simulation;
use crate::store::Store;

/// Separates the generator of the delays from that of the history with the same seed.
const SEED_SALT: u64 = 0x7265_6164_5f64_656c;
/// Delays of requests and of most answers, in milliseconds.
const USUAL_DELAY_MS: Range<u64> = 1..8;
/// Delays of slow answers, in milliseconds.
const SLOW_DELAY_MS: Range<u64> = 100..500;
/// One in so many answers is slow at any time.
const SLOW_ONE_IN: u32 = 20;
/// One in so many answers to users' reads is slow after a controller is served again; of the other reads two in three.
const SLOW_USER_READS_ONE_IN: u32 = 5;
/// For how long answers are slow after a controller is served again.
const SLOW_AFTER_REFUSAL: Micros = Micros::from_secs(3);
/// The number of records in a page of a listing.
const PAGE_SIZE: usize = 40;
/// The number of revisions whose changes the state service keeps: more than a refused controller misses in most cases,
/// and fewer. The seed decides.
const HISTORY_REVISIONS: [u64; 2] = [300, 40];
/// How often a controller is refused, and all of them, per second.
const REFUSALS_PER_S: f64 = 0.6;
const COMMON_REFUSALS_PER_S: f64 = 0.02;
/// How long a refusal lasts, in milliseconds.
const REFUSAL_MS: Range<u64> = 300..6_000;
/// One in so many refusals ends just before the refused controller lists all records.
const ENDS_BEFORE_LISTING_ONE_IN: u32 = 2;
/// All controllers are served again within this time, in milliseconds.
const COMMON_RETURN_MS: Range<u64> = 0..100;

/// One process of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) node_index: usize,
    process_number: u64,
}

/// Who sends a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reader {
    /// The task that follows the records, with a watch or a listing.
    Follower,
    /// A request that needs the latest records or the record of one job.
    Request,
}

/// The answer to a read of changes.
pub(super) enum ChangesAnswer {
    /// The changes after the requested revision.
    Changes(RecordChanges),
    /// The state service keeps no changes that are so old.
    RevisionTooOld,
}

/// What happened to the reads of a history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Listings whose pages and changes were read.
    pub listings: u64,
    /// Listings that were older than the copy of the records when their last answer arrived.
    pub listings_behind: u64,
    /// Reads of changes that were older than the copy when their answer arrived.
    pub reads_behind: u64,
    /// Reads of changes that were answered and not applied, since changes before them were missing from the copy.
    pub reads_dropped: u64,
    /// Reads of changes that the state service no longer keeps.
    pub reads_too_old: u64,
    /// Refusals of one controller or of all.
    pub refusals: u64,
    /// Answers to users, without those that a controller could not give.
    pub answers: u64,
}

impl ReadCounts {
    /// Adds the counts of another history.
    pub fn add(&mut self, other: &ReadCounts) {
        self.listings += other.listings;
        self.listings_behind += other.listings_behind;
        self.reads_behind += other.reads_behind;
        self.reads_dropped += other.reads_dropped;
        self.reads_too_old += other.reads_too_old;
        self.refusals += other.refusals;
        self.answers += other.answers;
    }
}

/// The delays and refusals of reads.
pub(super) struct StoreAccess {
    rng: SmallRng,
    is_delayed: bool,
    /// The number of revisions whose changes the state service keeps.
    pub(super) history_revisions: u64,
    pub(super) counts: ReadCounts,
    /// Until when each controller's answers are slow.
    slow_until: Vec<Micros>,
}

impl StoreAccess {
    pub(super) fn new(seed: u64, controllers: usize) -> StoreAccess {
        StoreAccess {
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            is_delayed: false,
            history_revisions: HISTORY_REVISIONS[seed as usize % HISTORY_REVISIONS.len()],
            counts: ReadCounts::default(),
            slow_until: vec![Micros::ZERO; controllers],
        }
    }

    /// Draws a number below `n`.
    pub(super) fn random_below(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n.max(1))
    }

    pub(super) fn draw_ms(&mut self, range: Range<u64>) -> Micros {
        Micros::from_millis(self.rng.random_range(range))
    }

    fn draw_answer_delay(&mut self, reader: Reader, node_index: usize, now: Micros) -> Micros {
        let is_slow = match reader {
            _ if now >= self.slow_until[node_index] => self.rng.random_ratio(1, SLOW_ONE_IN),
            Reader::Follower => self.rng.random_ratio(2, 3),
            Reader::Request => self.rng.random_ratio(1, SLOW_USER_READS_ONE_IN),
        };
        self.draw_ms(if is_slow {
            SLOW_DELAY_MS
        } else {
            USUAL_DELAY_MS
        })
    }
}

impl Simulation {
    /// Lets all reads of the records take time, refuses controllers now and then until the faults end, and lets users
    /// ask about the newest jobs. Only allowed before the first step.
    pub fn delay_record_reads(&mut self) {
        self.store_access.is_delayed = true;
        for node_index in 0..self.nodes.len() {
            self.ask_again_and_again(node_index);
        }
    }

    /// Returns what happened to the reads so far.
    pub fn read_counts(&self) -> ReadCounts {
        self.store_access.counts
    }

    pub(super) fn are_reads_delayed(&self) -> bool {
        self.store_access.is_delayed
    }

    /// Returns the present process of a controller.
    pub(super) fn process(&self, node_index: usize) -> Process {
        Process {
            node_index,
            process_number: self.nodes[node_index].process_number,
        }
    }

    pub(super) fn is_process_up(&self, process: Process) -> bool {
        let node = &self.nodes[process.node_index];
        node.process_number == process.process_number && node.is_up(self.now) && node.is_started
    }

    /// Draws whether controllers are refused from now on.
    pub(super) fn inject_refusals(&mut self) {
        if !self.are_reads_delayed() || self.now >= self.faults_end_at {
            return;
        }
        let ticks_per_s = 1_000_000.0 / super::TICK.0 as f64;
        let access = &mut self.store_access;
        let refuses_one = access.rng.random_bool(REFUSALS_PER_S / ticks_per_s);
        let refuses_all = access.rng.random_bool(COMMON_REFUSALS_PER_S / ticks_per_s);
        let node_index = access.random_below(self.nodes.len());
        let refused_for = access.draw_ms(REFUSAL_MS);
        if refuses_one {
            self.refuse_controller(node_index, refused_for);
        }
        if refuses_all {
            for node_index in 0..self.nodes.len() {
                let delay = self.store_access.draw_ms(COMMON_RETURN_MS);
                self.refuse_controller(node_index, refused_for.plus(delay));
            }
        }
    }

    /// Refuses a controller alone for this time. Its answers are slow afterwards.
    pub fn refuse_controller(&mut self, node_index: usize, refused_for: Micros) {
        let until = self.now.plus(refused_for);
        let node = &mut self.nodes[node_index];
        node.store_partition_until = node.store_partition_until.max(until);
        self.store_access.slow_until[node_index] =
            node.store_partition_until.plus(SLOW_AFTER_REFUSAL);
        self.store_access.counts.refusals += 1;
    }

    /// Draws whether the refusal of a controller that is about to list all records ends now.
    pub(super) fn may_end_refusal(&mut self, node_index: usize) {
        if self
            .store_access
            .rng
            .random_ratio(1, ENDS_BEFORE_LISTING_ONE_IN)
        {
            self.nodes[node_index].store_partition_until = self.now;
            self.store_access.slow_until[node_index] = self.now.plus(SLOW_AFTER_REFUSAL);
        }
    }

    /// Sends a request of a process. `then` gets what `read` finds when the request arrives, or `None` if it was
    /// refused. It is not called if the process has ended.
    pub(super) fn request<T: 'static>(
        &mut self,
        process: Process,
        reader: Reader,
        read: impl FnOnce(&Store) -> T + 'static,
        then: impl FnOnce(&mut Simulation, Option<T>) + 'static,
    ) {
        let delay = self.store_access.draw_ms(USUAL_DELAY_MS);
        self.schedule_after(delay, move |simulation| {
            let (node_index, now) = (process.node_index, simulation.now);
            let is_served = simulation.nodes[node_index].can_reach_store(&simulation.store, now);
            let answer = is_served.then(|| read(&simulation.store));
            let delay = simulation
                .store_access
                .draw_answer_delay(reader, node_index, now);
            simulation.schedule_after(delay, move |simulation| {
                simulation.answer_arrives(process, answer, then)
            });
        });
    }

    fn answer_arrives<T: 'static>(
        &mut self,
        process: Process,
        answer: Option<T>,
        then: impl FnOnce(&mut Simulation, Option<T>) + 'static,
    ) {
        if !self.is_process_up(process) {
            return;
        }
        let node = &mut self.nodes[process.node_index];
        let pause = node.remaining_pause(self.now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.answer_arrives(process, answer, then)
            });
        }
        if answer.is_some() {
            node.store_answered(self.now);
        }
        then(self, answer);
    }
}

/// Reads the changes after a revision, unless it is older than the state service's history.
pub(super) fn read_changes(store: &Store, from: u64, history_revisions: u64) -> ChangesAnswer {
    if from + history_revisions < store.revision {
        return ChangesAnswer::RevisionTooOld;
    }
    let change = |(revision, key, value): (u64, &str, Option<Box<RawValue>>)| RecordChange {
        key: key.to_owned(),
        value,
        revision,
    };
    ChangesAnswer::Changes(RecordChanges {
        changes: store.changes(from).map(change).collect(),
        revision: store.revision,
    })
}

/// Reads the page of records that follow the key `after`.
pub(super) fn read_page(store: &Store, after: &str) -> RecordPage {
    let following = store.entries_after(after);
    let mut records: Vec<RecordChange> = following.take(PAGE_SIZE + 1).collect();
    let has_next = records.len() > PAGE_SIZE;
    records.truncate(PAGE_SIZE);
    RecordPage {
        records,
        has_next,
        revision: store.revision,
    }
}

/// Reads the record of a job by its key.
pub(super) fn read_job(store: &Store, id: String) -> JobRead {
    let entry = store.keys.get(&job_key(&id));
    let record = entry.and_then(|entry| {
        let value = RawValue::from_string(entry.value.clone()).ok()?;
        Some((value, entry.revision))
    });
    JobRead { id, record }
}
