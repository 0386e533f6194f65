//! Tests of what a controller keeps in memory: everything about live jobs, and a bounded amount about ended ones.

mod harness;

use harness::{job_key, JobKind, JobRecord, JobState, Micros, RawValue, RecordCache};
use saltpitch_core::controller::{Controller, ControllerConfig};
use saltpitch_core::messages::AckRequest;
use saltpitch_core::records::{AckCursor, JobRead, JobWrite, RecordChange, RecordedJob};

const START: Micros = Micros::from_secs(100);
/// How many recently ended jobs the controllers of these tests keep.
const MAX_ENDED_JOBS: usize = 4;
/// The process id of the controllers.
const PROCESS: u64 = 7;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the value is JSON")
}

fn job_id(number: u64) -> String {
    format!("job-{number:06}")
}

/// Returns a controller that has read these records.
fn controller_with(records: RecordCache) -> Controller {
    let config = ControllerConfig {
        name: "n0".to_owned(),
        zone: "east".to_owned(),
        peers: Vec::new(),
        scheduler: harness::config(),
        knows_delegations: false,
        max_ended_jobs: MAX_ENDED_JOBS,
    };
    let mut controller = Controller::new(config, PROCESS, 1);
    controller
        .replace_records(records, START, START)
        .expect("the records have the present layout");
    controller
}

fn controller() -> Controller {
    controller_with(RecordCache::new(MAX_ENDED_JOBS))
}

/// Applies the write of one key as a watch reports it.
fn apply(controller: &mut Controller, key: &str, value: &str, revision: u64) {
    let change = RecordChange {
        key: key.to_owned(),
        value: Some(raw(value)),
        revision,
    };
    let from = controller.records().revision();
    controller
        .apply_changes(from, [change], revision, START, START)
        .expect("no change is missing");
}

fn active_job(dependencies: &[&str]) -> String {
    let mut spec = harness::spec(JobKind::Array, 1, 1);
    spec.dependencies = dependencies.iter().map(|id| (*id).to_owned()).collect();
    let record = JobRecord::accepted(START, spec.into());
    serde_json::to_string(&record).expect("the record is serialisable")
}

/// Returns the record of a cancelled job whose tasks may still run.
fn live_cancelled_job() -> String {
    let record = JobRecord {
        state: JobState::Cancelled,
        ..JobRecord::accepted(START, harness::spec(JobKind::Array, 1, 1).into())
    };
    assert!(!record.is_final());
    serde_json::to_string(&record).expect("the record is serialisable")
}

fn final_record(state: JobState) -> String {
    let record = JobRecord::final_record(state, None);
    serde_json::to_string(&record).expect("the record is serialisable")
}

/// Lets a number of further jobs run and end. Returns the last revision.
fn end_jobs(controller: &mut Controller, numbers: std::ops::Range<u64>) -> u64 {
    for number in numbers {
        let revision = controller.records().revision();
        let key = job_key(&job_id(number));
        apply(controller, &key, &active_job(&[]), revision + 1);
        apply(
            controller,
            &key,
            &final_record(JobState::Done),
            revision + 2,
        );
    }
    controller.records().revision()
}

/// Guards against review/3: a controller keeps something of every job that was ever accepted.
#[test]
fn the_number_of_kept_jobs_does_not_grow_with_ended_jobs() {
    let mut controller = controller();
    for thousand in 0..20 {
        end_jobs(&mut controller, thousand * 1_000..(thousand + 1) * 1_000);
        let records = controller.records();
        assert!(records.jobs.is_empty());
        assert_eq!(records.ended_jobs().len(), MAX_ENDED_JOBS);
        assert!(records.tasks.is_empty());
    }
    assert!(!controller.records().ended_jobs().is_complete());
}

/// Guards against the outcome of a dependency that leaves memory while a job depends on it, and against one that stays
/// there for good.
#[test]
fn the_outcome_of_a_dependency_is_kept_as_long_as_a_live_job_depends_on_it() {
    let mut controller = controller();
    end_jobs(&mut controller, 1..2);
    let dependent = job_key("job-900000");
    let revision = controller.records().revision() + 1;
    apply(
        &mut controller,
        &dependent,
        &active_job(&[&job_id(1)]),
        revision,
    );
    let revision = end_jobs(&mut controller, 100..200);
    let records = controller.records();
    assert_eq!(records.job_state(&job_id(1)), Some(JobState::Done));
    assert_eq!(records.ended_jobs().len(), MAX_ENDED_JOBS + 1);
    apply(
        &mut controller,
        &dependent,
        &final_record(JobState::Done),
        revision + 1,
    );
    end_jobs(&mut controller, 200..300);
    let records = controller.records();
    assert!(records.job(&job_id(1)).is_none());
    assert_eq!(records.ended_jobs().len(), MAX_ENDED_JOBS);
}

/// Guards against a job that waits forever because its dependency left memory before: the controller asks for the
/// record before it adds the job, and the job is cancelled with a cancelled dependency.
#[test]
fn the_outcome_of_an_evicted_dependency_is_asked_for() {
    let mut controller = controller();
    let cancelled = job_id(1);
    apply(
        &mut controller,
        &job_key(&cancelled),
        &final_record(JobState::Cancelled),
        2,
    );
    let revision = end_jobs(&mut controller, 100..200);
    assert!(controller.records().job(&cancelled).is_none());
    let new_job = RecordChange {
        key: job_key("job-900000"),
        value: Some(raw(&active_job(&[&cancelled]))),
        revision: revision + 1,
    };
    let changes = [new_job];
    let unknown = controller.unknown_dependencies(&changes, &[]);
    assert_eq!(Vec::from_iter(unknown), std::slice::from_ref(&cancelled));
    let reads = [JobRead {
        id: cancelled,
        record: Some((raw(&final_record(JobState::Cancelled)), 2)),
    }];
    assert!(controller.unknown_dependencies(&changes, &reads).is_empty());
    controller.apply_job_reads(&reads);
    controller
        .apply_changes(revision, changes, revision + 1, START, START)
        .expect("no change is missing");
    let state = controller.records().job_state("job-900000");
    assert_eq!(state, Some(JobState::Cancelled));
}

/// Guards against a job that waits forever because its dependency is in the same changes but left memory before they
/// arrived: a read of the latest changes may overtake a watch.
#[test]
fn a_dependency_in_changes_that_are_known_already_may_have_left_memory() {
    let mut controller = controller();
    let revision = controller.records().revision();
    let change = |id: &str, value: String, revision| RecordChange {
        key: job_key(id),
        value: Some(raw(&value)),
        revision,
    };
    let dependency = job_id(1);
    let end = change(&dependency, final_record(JobState::Done), revision + 1);
    let later_ends = (0..10).map(|number| {
        let value = final_record(JobState::Done);
        change(&job_id(100 + number), value, revision + 2 + number)
    });
    let overtaking: Vec<RecordChange> = [end.clone()].into_iter().chain(later_ends).collect();
    let mut all = overtaking.clone();
    all.push(change(
        "job-900000",
        active_job(&[&dependency]),
        revision + 20,
    ));
    assert!(controller.unknown_dependencies(&all, &[]).is_empty());
    controller
        .apply_changes(revision, overtaking, revision + 15, START, START)
        .expect("no change is missing");
    assert!(controller.records().job(&dependency).is_none());
    let unknown = controller.unknown_dependencies(&all, &[]);
    assert_eq!(Vec::from_iter(unknown), [dependency]);
}

/// Guards against the tasks of an evicted job that are kept for good because a record of them arrives after its end.
#[test]
fn records_of_the_tasks_of_an_evicted_job_are_ignored() {
    let mut controller = controller();
    let revision = end_jobs(&mut controller, 1..100);
    let segment = r#"{"n":7,"e":[["job-000001",[[0,1,"vm-000001",1,0]]]]}"#;
    apply(&mut controller, "salt/l/7", segment, revision + 1);
    let checkpoint = r#"{"l":7,"a":[1],"r":[[0,1]]}"#;
    apply(
        &mut controller,
        "salt/c/job-000002/0",
        checkpoint,
        revision + 2,
    );
    assert!(controller.records().tasks.is_empty());
}

/// Guards against an evicted job that comes back as live because an older change of it arrives again.
#[test]
fn an_older_change_does_not_bring_an_evicted_job_back() {
    let mut controller = controller();
    let old_key = job_key(&job_id(1));
    apply(&mut controller, &old_key, &active_job(&[]), 2);
    apply(&mut controller, &old_key, &final_record(JobState::Done), 3);
    end_jobs(&mut controller, 100..200);
    let late = RecordChange {
        key: old_key,
        value: Some(raw(&active_job(&[]))),
        revision: 2,
    };
    let revision = controller.records().revision();
    controller
        .apply_changes(1, [late], revision, START, START)
        .expect("no change is missing");
    assert!(controller.records().job(&job_id(1)).is_none());
    assert!(controller.records().jobs.is_empty());
}

/// Guards against an evicted job that comes back as live for good because the answer to this process's own write of its
/// cancellation arrives after the changes that ended it.
#[test]
fn a_late_own_write_does_not_bring_an_evicted_job_back() {
    let mut controller = controller();
    let key = job_key(&job_id(1));
    apply(&mut controller, &key, &active_job(&[]), 2);
    apply(&mut controller, &key, &final_record(JobState::Cancelled), 4);
    end_jobs(&mut controller, 100..200);
    let own_write = JobWrite {
        id: job_id(1),
        record: raw(&live_cancelled_job()),
        revision: 3,
    };
    controller.apply_own_write(own_write, START, START);
    assert!(controller.records().job(&job_id(1)).is_none());
}

/// Guards against an evicted job that comes back as live for good because its record was read by its key before it
/// ended. The record is asked for again, so that the job that depends on it does not wait forever.
#[test]
fn a_late_read_by_key_does_not_bring_an_evicted_job_back() {
    let mut controller = controller();
    let dependency = job_id(1);
    let revision = end_jobs(&mut controller, 100..200);
    let read_too_early = JobRead {
        id: dependency.clone(),
        record: Some((raw(&active_job(&[])), revision + 1)),
    };
    let key = job_key(&dependency);
    apply(&mut controller, &key, &active_job(&[]), revision + 1);
    apply(
        &mut controller,
        &key,
        &final_record(JobState::Done),
        revision + 2,
    );
    let revision = end_jobs(&mut controller, 200..300);
    let changes = [RecordChange {
        key: job_key("job-900000"),
        value: Some(raw(&active_job(&[&dependency]))),
        revision: revision + 1,
    }];
    let unknown = controller.unknown_dependencies(&changes, std::slice::from_ref(&read_too_early));
    assert_eq!(Vec::from_iter(unknown), std::slice::from_ref(&dependency));
    controller.apply_job_reads(&[read_too_early]);
    assert!(controller.records().job(&dependency).is_none());
}

/// Guards against the eviction of an end that this process wrote before its watch reported it: the older changes of the
/// job are still to come.
#[test]
fn an_end_that_is_ahead_of_the_known_changes_is_not_evicted() {
    let mut controller = controller();
    let revision = controller.records().revision();
    for number in 0..10 {
        let own_write = JobWrite {
            id: job_id(number),
            record: raw(&final_record(JobState::Cancelled)),
            revision: revision + 100 + number,
        };
        controller.apply_own_write(own_write, START, START);
    }
    apply(
        &mut controller,
        &job_key(&job_id(0)),
        &active_job(&[]),
        revision + 1,
    );
    let records = controller.records();
    assert!(
        records.jobs.is_empty(),
        "the older record is not the latest one"
    );
    assert_eq!(records.ended_jobs().len(), 10);
    controller
        .apply_changes(revision + 1, [], revision + 200, START, START)
        .expect("no change is missing");
    assert_eq!(controller.records().ended_jobs().len(), MAX_ENDED_JOBS);
}

/// Guards against a listing that holds all ended jobs and cancellations until it ends, and against acknowledgements
/// that lack a cancellation afterwards.
#[test]
fn a_listing_keeps_a_bounded_number_of_ended_jobs_and_cancellations() {
    const JOBS: u64 = 60_000;
    const ROWS_PER_PAGE: u64 = 1_000;
    let mut records = RecordCache::new(MAX_ENDED_JOBS);
    records.advance_to(JOBS);
    let value = raw(&final_record(JobState::Cancelled));
    for number in 0..JOBS {
        // The order of ids says nothing about the order of revisions.
        let revision = 1 + number * 7_919 % JOBS;
        records
            .put(&job_key(&job_id(number)), &value, revision)
            .expect("the record is readable");
        if number % ROWS_PER_PAGE == 0 {
            records.trim_listing();
            assert_eq!(
                records.ended_jobs().len(),
                MAX_ENDED_JOBS.min(number as usize + 1)
            );
        }
    }
    records.trim_listing();
    let controller = controller_with(records);
    let request = |revision| AckRequest {
        revision,
        cursor: AckCursor::default(),
    };
    let cancellations = &controller.records().cancellations;
    let ack = cancellations.acknowledge(PROCESS, request(JOBS - 5));
    let mut acknowledged = ack.expect("the leader's records are recent").cancelled;
    let mut next = cancellations
        .acknowledge(PROCESS, request(JOBS - 5))
        .expect("a page")
        .next;
    for _ in 0..20 {
        let page = AckRequest {
            revision: JOBS - 5,
            cursor: next,
        };
        let page = cancellations.acknowledge(PROCESS, page).expect("a page");
        acknowledged.extend(page.cancelled);
        next = page.next;
    }
    let newest = (0..JOBS).filter(|number| 1 + number * 7_919 % JOBS > JOBS - 5);
    let mut newest: Vec<String> = newest.map(job_id).collect();
    newest.sort();
    acknowledged.sort();
    assert_eq!(acknowledged, newest);
    assert_eq!(cancellations.acknowledge(PROCESS, request(JOBS / 2)), None);
}

/// Guards against the kin of review/3 that the images of machines that were returned long ago are kept.
#[test]
fn the_images_of_returned_machines_are_not_kept() {
    let mut controller = controller();
    let job = job_key(&job_id(1));
    let revision = controller.records().revision();
    apply(&mut controller, &job, &active_job(&[]), revision + 1);
    for number in 0..1_000 {
        let revision = controller.records().revision();
        let block = format!(
            r#"{{"t":"plain","z":"east","s":true,"m":[["vm-{number:06}","10.1.0.1:9000",false,5]]}}"#
        );
        apply(&mut controller, "salt/b/1", &block, revision + 1);
        for (offset, done) in [(2, 0), (3, 1)] {
            let segment = format!(
                r#"{{"n":{},"e":[["job-000001",[[{number},1,"vm-{number:06}",1,{done}]]]]}}"#,
                revision + offset
            );
            if done == 1 {
                // The machine is returned before the record of the completion arrives.
                let empty = r#"{"t":"plain","z":"east","s":true,"m":[]}"#;
                apply(&mut controller, "salt/b/1", empty, revision + offset);
            }
            let key = format!("salt/l/{}", number % 8);
            apply(
                &mut controller,
                &key,
                &segment,
                revision + offset + u64::from(done == 1),
            );
        }
    }
    assert_eq!(controller.records().images.machine_count(), 0);
}

/// Guards against an unreadable record of a job that makes the job count as never accepted.
#[test]
fn after_an_unreadable_record_a_missing_job_may_have_been_accepted() {
    let mut controller = controller();
    assert!(controller.records().ended_jobs().is_complete());
    let revision = controller.records().revision();
    apply(
        &mut controller,
        &job_key(&job_id(1)),
        r#"{"s":"suspended"}"#,
        revision + 1,
    );
    assert!(!controller.records().ended_jobs().is_complete());
}

/// Guards against a listing that replaces the copy without the outcome of a job that a live job depends on.
#[test]
fn a_listing_asks_for_the_outcomes_that_live_jobs_need() {
    let mut records = RecordCache::new(MAX_ENDED_JOBS);
    records.advance_to(1_000);
    for number in 0..100 {
        let key = job_key(&job_id(number));
        let value = raw(&final_record(JobState::Done));
        records.put(&key, &value, number + 1).expect("readable");
        records.trim_listing();
    }
    let dependent = raw(&active_job(&[&job_id(3), &job_id(99)]));
    records
        .put(&job_key("job-900000"), &dependent, 500)
        .expect("readable");
    let controller = controller();
    let unknown = controller.unknown_outcomes(&records, &[]);
    assert_eq!(Vec::from_iter(unknown), [job_id(3)]);
    let read = JobRead {
        id: job_id(3),
        record: Some((raw(&final_record(JobState::Done)), 4)),
    };
    assert!(controller
        .unknown_outcomes(&records, std::slice::from_ref(&read))
        .is_empty());
    records.put_job_read(&read).expect("readable");
    let controller = controller_with(records);
    let kept = controller.records().job(&job_id(3));
    assert!(matches!(kept, Some(RecordedJob::Ended(job)) if job.state == JobState::Done));
}
