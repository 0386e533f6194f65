//! Tests of a controller's copy of the records: listings, watches, reads of the latest changes and own writes, whose
//! answers may arrive in any order. The copy must never go back.

#[path = "../harness/mod.rs"]
mod harness;
mod history;

use std::collections::BTreeMap;
use std::ops::Bound;

use harness::{config, job_key, JobState, Micros, RawValue, RecordCache};
use history::{live_job, summary, History, RandomNumbers};
use saltpitch_core::controller::{Controller, ControllerConfig, ListingEnd, MissingChanges};
use saltpitch_core::messages::AckRequest;
use saltpitch_core::records::{
    AckCursor, JobWrite, NodeRecord, RecordChange, RecordChanges, RecordListing, RecordPage,
    TermRecord, DEFAULT_MAX_ENDED_JOBS,
};

/// The time at which each test begins.
const START: Micros = Micros::from_secs(100);
/// The process id of the controllers.
const PROCESS: u64 = 7;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the value is JSON")
}

/// Returns a controller that keeps up to `max_ended_jobs` recently ended jobs and has read no records at revision 1.
fn controller(max_ended_jobs: usize) -> Controller {
    let config = ControllerConfig {
        name: "n0".to_owned(),
        zone: "east".to_owned(),
        peers: Vec::new(),
        scheduler: config(),
        knows_delegations: false,
        max_ended_jobs,
    };
    let mut controller = Controller::new(config, PROCESS, 1);
    let mut records = RecordCache::new(max_ended_jobs);
    records.advance_to(1);
    controller
        .replace_records(records, START, START)
        .expect("the records have the present layout");
    controller
}

/// Applies the answer to a read of the changes after the revision `from`.
fn apply(controller: &mut Controller, from: u64, changes: RecordChanges) {
    let RecordChanges { changes, revision } = changes;
    controller
        .apply_changes(from, changes, revision, START, START)
        .expect("no change is missing");
}

fn write(key: &str, value: &str, revision: u64) -> RecordChange {
    RecordChange {
        key: key.to_owned(),
        value: Some(raw(value)),
        revision,
    }
}

/// Applies the writes that a watch reports up to the revision of the last one.
fn follow(controller: &mut Controller, writes: &[RecordChange]) {
    let from = controller.records().revision();
    let changes = RecordChanges {
        changes: writes.to_vec(),
        revision: writes.last().expect("at least one write").revision,
    };
    apply(controller, from, changes);
}

/// Returns a listing that has read these records at this revision.
fn listing(records: &[RecordChange], revision: u64) -> RecordListing {
    let mut listing = RecordListing::new(DEFAULT_MAX_ENDED_JOBS);
    let page = RecordPage {
        records: records.to_vec(),
        has_next: false,
        revision,
    };
    assert!(listing.page_read(&page).is_empty());
    listing
}

/// Ends a listing that needs no further record.
fn finish(controller: &mut Controller, mut listing: RecordListing) -> ListingEnd {
    let end = controller.finish_listing(&mut listing, START, START);
    end.expect("the records have the present layout")
}

/// Guards against review/4: the last answer to a listing was held back while other reads were answered, the older
/// listing replaced the newer copy, and users got 404 for accepted jobs.
#[test]
fn an_older_listing_does_not_replace_a_newer_copy() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let first = write(&job_key("job-000001"), &live_job(JobState::Active), 2);
    let second = write(&job_key("job-000002"), &live_job(JobState::Active), 4);
    let cancelled = write(&job_key("job-000001"), &live_job(JobState::Cancelled), 5);
    let late = listing(std::slice::from_ref(&first), 3);
    follow(&mut controller, &[first, second, cancelled]);
    let end = finish(&mut controller, late);
    let not_newer = ListingEnd::NotNewer {
        listed_revision: 3,
        revision: 5,
    };
    assert_eq!(end, not_newer);
    let records = controller.records();
    assert_eq!(records.revision(), 5);
    assert_eq!(records.job_state("job-000001"), Some(JobState::Cancelled));
    assert_eq!(records.job_state("job-000002"), Some(JobState::Active));
}

/// Guards against the second half of review/4: an answer that was not applied counted as a successful read, and the
/// questions that waited for it were answered from a copy without it.
#[test]
fn an_answer_is_applied_already_known_or_refused() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let key = job_key("job-000001");
    let mut read = |from: u64, state: JobState, revision: u64| {
        let changes = [write(&key, &live_job(state), revision)];
        let result = controller.apply_changes(from, changes, revision, START, START);
        (result, controller.records().revision())
    };
    let missing = MissingChanges {
        from: 2,
        revision: 1,
    };
    assert_eq!(read(2, JobState::Active, 3), (Err(missing), 1));
    assert_eq!(read(1, JobState::Active, 3), (Ok(true), 3));
    assert_eq!(read(1, JobState::Cancelled, 4), (Ok(true), 4));
    assert_eq!(read(1, JobState::Active, 3), (Ok(false), 4));
    let state = controller.records().job_state("job-000001");
    assert_eq!(state, Some(JobState::Cancelled));
}

/// Guards against a cancellation that this controller confirmed and that a listing, whose last answer was made before
/// it, drops from the copy; and against one that is acknowledged to a leader twice or not at all.
#[test]
fn a_listing_keeps_own_writes_that_are_newer() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let active = live_job(JobState::Active);
    let jobs = [
        write(&job_key("job-000001"), &active, 2),
        write(&job_key("job-000002"), &active, 3),
    ];
    follow(&mut controller, &jobs);
    let own_write = JobWrite {
        id: "job-000001".to_owned(),
        record: raw(&live_job(JobState::Cancelled)),
        revision: 9,
    };
    controller.apply_own_write(own_write, START, START);
    let mut listed = jobs.to_vec();
    listed.push(write(&job_key("job-000003"), &active, 6));
    let end = finish(&mut controller, listing(&listed, 7));
    let replaced = ListingEnd::Replaced {
        from_revision: 3,
        to_revision: 7,
        newer_jobs: 1,
    };
    assert_eq!(end, replaced);
    let records = controller.records();
    assert_eq!(records.revision(), 7);
    assert_eq!(records.job_state("job-000001"), Some(JobState::Cancelled));
    assert_eq!(records.job_state("job-000003"), Some(JobState::Active));
    let request = AckRequest {
        revision: 7,
        cursor: AckCursor::default(),
    };
    let ack = records.cancellations.acknowledge(PROCESS, request);
    assert_eq!(ack.expect("a recent leader").cancelled, ["job-000001"]);
    // The watch that goes on from the listing reports older changes, too.
    follow(
        &mut controller,
        &[write(&job_key("job-000002"), &active, 8)],
    );
    let state = controller.records().job_state("job-000001");
    assert_eq!(state, Some(JobState::Cancelled));
}

/// Guards against machines that count as returned because a listing is older than their record.
#[test]
fn a_listing_does_not_count_newer_machines_as_returned() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let block = r#"{"t":"plain","z":"east","s":true,"m":[["vm-000001","10.1.0.1:9000",false,5]]}"#;
    follow(&mut controller, &[write("salt/b/1", block, 9)]);
    finish(&mut controller, listing(&[], 7));
    let records = controller.records();
    assert!(!records.returned_machines.contains("vm-000001"));
    assert!(records.machine_blocks.contains_key(&1));
}

/// Guards against a machine that counts as returned although a listing has a record of it: its block was deleted in the
/// copy and written again before the listing, as when a machine is moved to another block.
#[test]
fn a_machine_that_is_recorded_again_does_not_count_as_returned() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let block = r#"{"t":"plain","z":"east","s":true,"m":[["vm-000001","10.1.0.1:9000",false,5]]}"#;
    let deleted = RecordChange {
        key: "salt/b/1".to_owned(),
        value: None,
        revision: 3,
    };
    follow(&mut controller, &[write("salt/b/1", block, 2), deleted]);
    let is_returned = |controller: &Controller| {
        let returned = &controller.records().returned_machines;
        returned.contains("vm-000001")
    };
    assert!(is_returned(&controller));
    finish(&mut controller, listing(&[write("salt/b/2", block, 4)], 5));
    assert!(!is_returned(&controller));
}

/// Guards against a machine that counts as returned because the block that it was moved out of is deleted.
#[test]
fn a_machine_that_was_moved_to_another_block_does_not_count_as_returned() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let block = |names: [&str; 2]| {
        let [first, second] = names.map(|name| format!(r#"["{name}","10.1.0.1:9000",false,5]"#));
        format!(r#"{{"t":"plain","z":"east","s":true,"m":[{first},{second}]}}"#)
    };
    let deleted = RecordChange {
        key: "salt/b/1".to_owned(),
        value: None,
        revision: 4,
    };
    let changes = [
        write("salt/b/1", &block(["vm-000001", "vm-000002"]), 2),
        write("salt/b/2", &block(["vm-000002", "vm-000003"]), 3),
        deleted,
    ];
    follow(&mut controller, &changes);
    let returned = &controller.records().returned_machines;
    assert!(returned.contains("vm-000001"));
    assert!(!returned.contains("vm-000002"));
}

/// Guards against the term, the leader and a controller's incarnation of a listing that is older than the copy.
#[test]
fn an_older_listing_brings_back_no_earlier_term_or_incarnation() {
    let mut controller = controller(DEFAULT_MAX_ENDED_JOBS);
    let term = |term: u64| {
        let record = TermRecord {
            term,
            node: "n1".to_owned(),
            incarnation: 1,
            earlier_leaders_fenced_at: Micros::ZERO,
        };
        serde_json::to_string(&record).expect("the record is serialisable")
    };
    let node = |incarnation: u64| {
        let record = NodeRecord {
            incarnation,
            knows_delegations: false,
        };
        serde_json::to_string(&record).expect("the record is serialisable")
    };
    let older = [
        write("salt/n/n1", &node(1), 2),
        write("salt/term", &term(1_000), 3),
    ];
    let late = listing(&older, 4);
    follow(&mut controller, &older);
    follow(
        &mut controller,
        &[
            write("salt/n/n1", &node(2), 5),
            write("salt/term", &term(2_000), 6),
        ],
    );
    let newest = controller.records().term.clone();
    assert_eq!(newest.revision, 6);
    finish(&mut controller, late);
    assert_eq!(controller.records().term, newest);
    assert_eq!(controller.records().incarnation_of("n1"), 2);
}

/// Guards against a listing that is behind the copy again and again, as reads go on, and therefore never ends.
#[test]
fn a_listing_that_is_behind_again_and_again_needs_nothing_more() {
    let mut controller = controller(2);
    let active = live_job(JobState::Active);
    for round in 1..100 {
        let id = format!("job-{round:06}");
        let late = listing(&[], 2 * round);
        follow(
            &mut controller,
            &[write(&job_key(&id), &active, 2 * round + 1)],
        );
        let end = finish(&mut controller, late);
        assert!(matches!(end, ListingEnd::NotNewer { .. }), "{end:?}");
        assert_eq!(controller.records().revision(), 2 * round + 1);
        assert_eq!(controller.records().jobs.len() as u64, round);
    }
}

/// Lists the records page by page while they continue to change, and then applies the changes since the first page.
/// Checks that the records equal those of a controller that has followed all changes.
fn check_paged_listing(seed: u64, mut history: History, max_ended_jobs: usize) {
    let mut random = RandomNumbers(seed);
    let mut follower = controller(max_ended_jobs);
    for _ in 0..300 {
        history.make_random_change(&mut random);
    }
    apply(&mut follower, 1, history.read_changes(1));
    let mut records = RecordCache::new(max_ended_jobs);
    records.advance_to(history.revision());
    let mut last_key = String::new();
    loop {
        let remaining = (Bound::Excluded(last_key.clone()), Bound::Unbounded);
        let rows = history.keys.range::<String, _>(remaining).take(7);
        let page: Vec<(String, (u64, String))> =
            rows.map(|(k, v)| (k.clone(), v.clone())).collect();
        let Some((last, _)) = page.last() else { break };
        last_key.clone_from(last);
        for (key, (revision, value)) in &page {
            records
                .put(key, &raw(value), *revision)
                .expect("the record is readable");
        }
        records.trim_listing();
        for _ in 0..random.below(6) {
            history.make_random_change(&mut random);
        }
    }
    let mut reloaded = controller(max_ended_jobs);
    reloaded
        .replace_records(records, START, START)
        .expect("the records have the present layout");
    let from = reloaded.records().revision();
    apply(&mut reloaded, from, history.read_changes(from));
    let from = follower.records().revision();
    apply(&mut follower, from, history.read_changes(from));
    let (reloaded, follower) = (reloaded.records(), follower.records());
    assert_eq!(reloaded.revision(), follower.revision(), "seed {seed}");
    assert_eq!(summary(reloaded), summary(follower), "seed {seed}");
}

/// A controller that has missed too many changes lists the records page by page while they continue to change. After
/// it has applied the changes since the first page, its records must equal those of a controller that has followed
/// all changes.
#[test]
fn a_paged_listing_catches_up_with_concurrent_changes() {
    for seed in 0..40 {
        check_paged_listing(seed, History::default(), DEFAULT_MAX_ENDED_JOBS);
    }
}

/// Guards against a listing that brings a job back which ended and left memory while the pages were read, or that keeps
/// the tasks of such a job.
#[test]
fn a_paged_listing_that_evicts_ended_jobs_catches_up_with_concurrent_changes() {
    for seed in 0..40 {
        for max_ended_jobs in [0, 2] {
            let history = History {
                places_only_active_jobs: true,
                ..History::default()
            };
            check_paged_listing(seed, history, max_ended_jobs);
        }
    }
}

/// An answer that is on its way to a controller.
enum Answer {
    /// The changes after the revision `from`.
    Changes { from: u64, changes: RecordChanges },
    /// The confirmation of this controller's own write.
    OwnWrite(JobWrite),
    /// The next page of the listing.
    Page(RecordPage),
    /// The changes since the listing's pages.
    ListingChanges(RecordChanges),
}

/// A controller whose reads and writes are answered late and in any order.
struct SlowReads {
    random: RandomNumbers,
    history: History,
    controller: Controller,
    listing: Option<RecordListing>,
    answers: Vec<Answer>,
    /// The revision of the newest record of each live job that the copy has had, until the job was seen to end.
    live: BTreeMap<String, u64>,
    revision: u64,
}

impl SlowReads {
    fn new(seed: u64, max_ended_jobs: usize) -> SlowReads {
        SlowReads {
            random: RandomNumbers(seed),
            history: History {
                places_only_active_jobs: true,
                ..History::default()
            },
            controller: controller(max_ended_jobs),
            listing: None,
            answers: Vec::new(),
            live: BTreeMap::new(),
            revision: 1,
        }
    }

    fn step(&mut self) {
        match self.random.below(10) {
            0..=3 => self.history.make_random_change(&mut self.random),
            4 => self.cancel_a_job(),
            5 => {
                let from = self.controller.records().revision();
                let changes = self.history.read_changes(from);
                self.answers.push(Answer::Changes { from, changes });
            }
            6 => self.request_for_listing(),
            _ if self.answers.is_empty() => {}
            _ => {
                let index = self.random.below(self.answers.len() as u64) as usize;
                let answer = self.answers.swap_remove(index);
                self.answer_arrives(answer);
            }
        }
    }

    /// Cancels an active job of the copy, as a controller does for a user.
    fn cancel_a_job(&mut self) {
        let jobs = self.controller.records().jobs.iter();
        let mut active: Vec<(String, u64)> = jobs
            .filter(|(_, entry)| entry.record.state == JobState::Active)
            .map(|(id, entry)| (id.clone(), entry.revision))
            .collect();
        active.sort();
        let Some((id, revision)) = active.first() else {
            return;
        };
        let key = job_key(id);
        if self.history.keys[&key].0 != *revision {
            return;
        }
        let value = live_job(JobState::Cancelled);
        self.history.write(&key, Some(value.clone()));
        self.answers.push(Answer::OwnWrite(JobWrite {
            id: id.clone(),
            record: raw(&value),
            revision: self.history.revision(),
        }));
    }

    /// Sends the next request of the listing, unless one is under way.
    fn request_for_listing(&mut self) {
        let is_listing =
            |answer: &Answer| matches!(answer, Answer::Page(_) | Answer::ListingChanges(_));
        if self.answers.iter().any(is_listing) {
            return;
        }
        let listing = self.listing.get_or_insert_with(|| RecordListing::new(2));
        let answer = match listing.next_page() {
            Some(after) => Answer::Page(self.history.read_page(after)),
            None => {
                let from = listing.known_revision();
                Answer::ListingChanges(self.history.read_changes(from))
            }
        };
        self.answers.push(answer);
    }

    fn answer_arrives(&mut self, answer: Answer) {
        match answer {
            Answer::Changes { from, changes } => apply(&mut self.controller, from, changes),
            Answer::OwnWrite(write) => self.controller.apply_own_write(write, START, START),
            Answer::Page(page) => {
                let listing = self.listing.as_mut().expect("a listing is under way");
                assert!(listing.page_read(&page).is_empty());
            }
            Answer::ListingChanges(changes) => {
                let mut listing = self.listing.take().expect("a listing is under way");
                assert!(listing.changes_read(&changes).is_empty());
                finish(&mut self.controller, listing);
            }
        }
    }

    /// Checks that no part of the copy is older than before.
    fn check_copy(&mut self, seed: u64) {
        let records = self.controller.records();
        assert!(records.revision() >= self.revision, "seed {seed}");
        self.revision = records.revision();
        for (id, revision) in std::mem::take(&mut self.live) {
            match records.jobs.get(&id) {
                Some(entry) => assert!(entry.revision >= revision, "seed {seed}: {id}"),
                None => assert!(
                    self.history.has_ended(&job_key(&id)),
                    "seed {seed}: {id} is gone"
                ),
            }
        }
        for (id, entry) in &records.jobs {
            self.live.insert(id.clone(), entry.revision);
        }
        let blocks = records.machine_blocks.values();
        for machine in blocks.flat_map(|block| &block.value.machines) {
            let is_returned = records.returned_machines.contains(&machine.0);
            assert!(!is_returned, "seed {seed}: {}", machine.0);
        }
    }

    /// Delivers what is on its way and the changes since then, and compares the copy with one that followed them all.
    fn check_end(mut self, seed: u64, max_ended_jobs: usize) {
        while let Some(answer) = self.answers.pop() {
            self.answer_arrives(answer);
            self.check_copy(seed);
        }
        let from = self.controller.records().revision();
        apply(&mut self.controller, from, self.history.read_changes(from));
        let mut follower = controller(max_ended_jobs);
        apply(&mut follower, 1, self.history.read_changes(1));
        let (copy, follower) = (self.controller.records(), follower.records());
        assert_eq!(copy.revision(), follower.revision(), "seed {seed}");
        assert_eq!(live_parts(copy), live_parts(follower), "seed {seed}");
    }
}

/// Returns the summary without the outcomes of ended jobs, of which a copy keeps those that it saw last.
fn live_parts(records: &RecordCache) -> Vec<String> {
    let mut parts = summary(records);
    parts.retain(|line| !line.contains("Done") && !line.contains("Cancelled"));
    parts.push(format!("{} live jobs", records.jobs.len()));
    parts
}

/// Guards against answers that take the copy back, in whatever order those of listings, reads and own writes arrive.
#[test]
fn answers_in_any_order_never_take_the_copy_back() {
    const MAX_ENDED_JOBS: usize = 2;
    for seed in 0..200 {
        let mut reads = SlowReads::new(seed, MAX_ENDED_JOBS);
        for _ in 0..600 {
            reads.step();
            reads.check_copy(seed);
        }
        reads.check_end(seed, MAX_ENDED_JOBS);
    }
}
