//! Admission of a peer cell's jobs by the host.

use std::collections::BTreeMap;
use std::sync::Arc;

use saltpitch_cells::host::{Admission, AdmissionError, HostAdmission, HostLimits};
use saltpitch_cells::link::{HostStatus, Submission};
use saltpitch_cells::settings::HostingSettings;
use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{
    job_key, segment_key, JobRecord, RecordCache, SegmentEntry, SegmentRecord,
};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

fn admission() -> HostAdmission {
    HostAdmission {
        cell: "north".to_owned(),
        settings: HostingSettings {
            listen: BTreeMap::new(),
            team: "guests".to_owned(),
            may_rent: false,
            max_jobs: 3,
            max_tasks: 10,
            max_waiting: 2,
        },
    }
}

fn submission(id: &str, tasks: u32) -> Submission {
    let spec = JobSpec {
        class: "night".to_owned(),
        team: "red".to_owned(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks,
        need: Resources {
            cpu: 1_000,
            gpu: 0,
            mem: 1_000,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img".to_owned(),
        image_mb: 1,
        estimate: Micros::from_secs(30),
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        deadline: Some(Micros::from_secs(900)),
        dependencies: Vec::new(),
    };
    Submission {
        id: id.to_owned(),
        spec: Arc::new(spec),
        deadline: Some(Micros::from_secs(60)),
        closing: false,
    }
}

fn admit(records: &RecordCache, submission: &Submission) -> Result<Admission, AdmissionError> {
    let catalog = Catalog {
        types: vec![MachineType {
            name: "box".to_owned(),
            size: Resources {
                cpu: 8_000,
                gpu: 0,
                mem: 32_000,
            },
            cache_mb: 1_000,
            fetch_mb_per_s: 100,
            price: 100,
            spot_price: 30,
            boot: Micros::from_secs(10),
            zones: vec!["east".to_owned()],
        }],
    };
    let teams = [TeamLimits {
        name: "guests".to_owned(),
        cpu: 0,
        gpu: 0,
        cpu_max: 64_000,
        gpu_max: 0,
    }];
    let limits = HostLimits {
        catalog: &catalog,
        teams: &teams,
    };
    admission().admit(records, submission, &limits, Micros(5))
}

fn created(records: &RecordCache, submission: &Submission) -> JobRecord {
    match admit(records, submission) {
        Ok(Admission::Create(record)) => record,
        other => panic!("not admitted: {other:?}"),
    }
}

fn put(records: &mut RecordCache, id: &str, record: &JobRecord) {
    records.advance_to(records.revision() + 1);
    let text = serde_json::to_string(record).expect("JSON");
    let raw = RawValue::from_string(text).expect("JSON");
    records
        .put(&job_key(id), &raw, records.revision())
        .expect("read");
}

#[test]
fn a_hosted_job_gets_the_hosting_team_the_lowest_priority_and_the_remaining_deadline() {
    let record = created(&RecordCache::default(), &submission("job-1000001", 2));
    let spec = record.spec.expect("a specification");
    assert_eq!((&*spec.team, &*spec.class), ("guests", "north.night"));
    assert_eq!(spec.priority, Priority::Low);
    assert_eq!(spec.deadline, Some(Micros::from_secs(60)));
    let guest = record.guest.expect("a guest");
    assert_eq!((&*guest.cell, guest.may_rent), ("north", false));
}

#[test]
fn each_reason_for_a_refusal_has_its_own_error() {
    let records = RecordCache::default();
    let error_with = |change: &dyn Fn(&mut JobSpec)| {
        let mut submission = submission("job-1000001", 2);
        let mut spec = JobSpec::clone(&submission.spec);
        change(&mut spec);
        submission.spec = Arc::new(spec);
        admit(&records, &submission).expect_err("refused")
    };
    assert_eq!(
        error_with(&|spec| spec.kind = JobKind::Service),
        AdmissionError::Service
    );
    assert_eq!(
        error_with(&|spec| spec.dependencies = vec!["job-2".to_owned()]),
        AdmissionError::Dependencies
    );
    assert_eq!(
        error_with(&|spec| spec.tasks = 11),
        AdmissionError::TooLarge
    );
    let never = error_with(&|spec| spec.need.cpu = 9_000);
    assert!(matches!(never, AdmissionError::Infeasible(_)), "{never:?}");
    assert_eq!((never.status(), never.retry_after()), (422, None));
}

#[test]
fn limits_refuse_new_jobs_and_a_known_job_is_not_counted_again() {
    let mut records = RecordCache::default();
    for id in ["job-1000001", "job-2000001"] {
        let record = created(&records, &submission(id, 2));
        put(&mut records, &admission().hosted_job_id(id), &record);
    }
    // Two jobs wait without a placed task, which is the limit.
    let refused = admit(&records, &submission("job-3000001", 2)).expect_err("full");
    assert_eq!(
        (refused.status(), refused.retry_after().is_some()),
        (429, true)
    );
    assert!(!admission().has_room(&records));
    let again = admit(&records, &submission("job-1000001", 2));
    assert_eq!(again, Ok(Admission::Known(HostStatus::Pending)));
    // A job that is done does not count towards the limits, and its status stays available permanently.
    put(
        &mut records,
        &admission().hosted_job_id("job-1000001"),
        &JobRecord::final_record(JobState::Done, None),
    );
    assert!(admission().has_room(&records));
    let late = admit(&records, &submission("job-1000001", 2));
    assert_eq!(late, Ok(Admission::Known(HostStatus::Done)));
    // The host's own job ids are not visible to the peer cell.
    assert_eq!(admission().status(&records, "job-1"), None);
}

#[test]
fn a_closing_submission_leaves_a_withdrawn_job_that_never_starts() {
    let mut records = RecordCache::default();
    let closing = Submission {
        closing: true,
        ..submission("job-1000001", 2)
    };
    let record = created(&records, &closing);
    assert_eq!(
        (record.state, record.spec.is_none()),
        (JobState::Cancelled, true)
    );
    put(
        &mut records,
        &admission().hosted_job_id("job-1000001"),
        &record,
    );
    let late = admit(&records, &submission("job-1000001", 2));
    assert_eq!(late, Ok(Admission::Known(HostStatus::Withdrawn)));
    // A closing submission does not change a job that the host knows.
    let admitted = created(&records, &submission("job-2000001", 2));
    put(
        &mut records,
        &admission().hosted_job_id("job-2000001"),
        &admitted,
    );
    let closing = Submission {
        closing: true,
        ..submission("job-2000001", 2)
    };
    assert_eq!(
        admit(&records, &closing),
        Ok(Admission::Known(HostStatus::Pending))
    );
    assert!(admission().should_cancel(&records, "job-2000001", true));
    assert!(!admission().should_cancel(&records, "job-1000001", false));
}

#[test]
fn a_cancellation_unless_begun_does_not_stop_a_started_job() {
    let mut records = RecordCache::default();
    let record = created(&records, &submission("job-1000001", 2));
    let id = admission().hosted_job_id("job-1000001");
    put(&mut records, &id, &record);
    assert!(admission().should_cancel(&records, "job-1000001", true));
    let placed = SegmentRecord {
        number: 1,
        entries: vec![(id, vec![SegmentEntry(0, 1, "vm-000001".to_owned(), 1, 0)])],
    };
    let text = serde_json::to_string(&placed).expect("JSON");
    let raw = RawValue::from_string(text).expect("JSON");
    records.put(&segment_key(0), &raw, 9).expect("read");
    assert_eq!(
        admission().status(&records, "job-1000001"),
        Some(HostStatus::Running)
    );
    assert!(!admission().should_cancel(&records, "job-1000001", true));
    assert!(admission().should_cancel(&records, "job-1000001", false));
}
