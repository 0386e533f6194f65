//! Tests of the records of delegated and guest jobs: their stored format, damaged records, and cancellations.

use std::sync::Arc;

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::records::{
    job_key, CancelStep, Delegation, DelegationState, Guest, JobRecord, NodeRecord, RecordCache,
};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

/// Returns the record of a job that runs in this cell.
fn accepted() -> JobRecord {
    let spec = JobSpec {
        class: "night".to_owned(),
        team: "red".to_owned(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 2,
        need: Resources::default(),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img".to_owned(),
        image_mb: 1,
        estimate: Micros(1),
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        deadline: None,
        dependencies: Vec::new(),
    };
    JobRecord::accepted(Micros(7), Arc::new(spec))
}

/// Returns the record of a job that is delegated to the cell `south`.
fn delegated(state: DelegationState) -> JobRecord {
    JobRecord {
        delegation: Some(Box::new(Delegation {
            cell: "south".to_owned(),
            number: 2,
            state,
            cancel_requested: false,
        })),
        ..accepted()
    }
}

/// Puts the record of the job `job-1`.
fn put(records: &mut RecordCache, text: String, revision: u64) {
    let raw = RawValue::from_string(text).expect("the value is JSON");
    records
        .put(&job_key("job-1"), &raw, revision)
        .expect("the record is readable");
}

/// The stored fields are a published format, so their names must not change.
#[test]
fn fields_of_delegation_are_stored_under_their_names_and_omitted_while_unused() {
    let plain = serde_json::to_string(&accepted()).expect("the record is serialisable");
    let delegated_text = serde_json::to_string(&delegated(DelegationState::Accepted))
        .expect("the record is serialisable");
    let delegation_field = r#","x":{"c":"south","n":2,"s":"accepted"}}"#;
    assert_eq!(
        delegated_text,
        format!("{}{delegation_field}", &plain[..plain.len() - 1])
    );
    let value: serde_json::Value = serde_json::from_str(&plain).expect("the value is JSON");
    assert!(
        value.get("x").is_none() && value.get("g").is_none(),
        "{plain}"
    );
    let guest = JobRecord {
        guest: Some(Box::new(Guest {
            cell: "south".to_owned(),
            may_rent: true,
        })),
        ..accepted()
    };
    let text = serde_json::to_string(&guest).expect("the record is serialisable");
    assert!(text.ends_with(r#","g":{"c":"south","r":true}}"#), "{text}");
    let node = NodeRecord {
        incarnation: 9,
        knows_delegations: true,
    };
    let text = serde_json::to_string(&node).expect("the record is serialisable");
    assert_eq!(text, r#"{"life":9,"cells":true}"#);
    for record in [delegated(DelegationState::Returned), guest] {
        let text = serde_json::to_string(&record).expect("the record is serialisable");
        assert_eq!(
            serde_json::from_str::<JobRecord>(&text).expect("the record is readable"),
            record
        );
    }
}

/// A job whose delegation is unreadable remains known and counts as delegated. If it counted as local, its tasks could
/// run in both cells.
#[test]
fn a_job_with_a_damaged_delegation_is_known_and_counts_as_delegated() {
    let plain = serde_json::to_string(&accepted()).expect("the record is serialisable");
    let damaged_delegations = [
        r#"7"#,
        r#"{}"#,
        r#"{"c":"south","n":2,"s":"sunk"}"#,
        r#"{"c":"","n":2,"s":"returned"}"#,
        r#"{"c":"south","n":-2,"s":"returned"}"#,
        r#"{"c":"south","n":2,"s":"damaged","w":3}"#,
    ];
    for delegation in damaged_delegations {
        let mut records = RecordCache::default();
        put(
            &mut records,
            format!("{},\"x\":{delegation}}}", &plain[..plain.len() - 1]),
            1,
        );
        assert_eq!(
            records.job_state("job-1"),
            Some(JobState::Active),
            "{delegation}"
        );
        let record = &records.jobs["job-1"].record;
        let state = record.delegation.as_ref().map(|d| d.state);
        assert_eq!(state, Some(DelegationState::Damaged), "{delegation}");
        assert!(record.is_delegated());
        assert_eq!(record.cancel_step(), CancelStep::Await);
        assert_eq!(records.delegated_jobs().collect::<Vec<_>>(), ["job-1"]);
    }
}

#[test]
fn a_cancellation_is_requested_from_the_host_first_and_only_once() {
    let CancelStep::Confirm(record) = accepted().cancel_step() else {
        panic!("a job of this cell is cancelled at once");
    };
    assert_eq!(record.state, JobState::Cancelled);
    let returned = delegated(DelegationState::Returned).cancel_step();
    assert!(matches!(returned, CancelStep::Confirm(_)));
    for state in [
        DelegationState::Offered,
        DelegationState::Accepted,
        DelegationState::Running,
    ] {
        let CancelStep::Request(record) = delegated(state).cancel_step() else {
            panic!("the host must cancel a job in the state {state:?}");
        };
        assert_eq!(record.state, JobState::Active);
        assert!(record
            .delegation
            .as_ref()
            .is_some_and(|d| d.cancel_requested));
        assert_eq!(record.cancel_step(), CancelStep::Await);
    }
}

#[test]
fn the_record_cache_tracks_which_jobs_are_delegated() {
    let mut records = RecordCache::default();
    let text =
        |record: &JobRecord| serde_json::to_string(record).expect("the record is serialisable");
    put(&mut records, text(&delegated(DelegationState::Offered)), 1);
    assert_eq!(records.delegated_jobs().count(), 1);
    put(&mut records, text(&delegated(DelegationState::Returned)), 2);
    assert_eq!(records.delegated_jobs().count(), 0);
    put(&mut records, text(&delegated(DelegationState::Running)), 3);
    put(
        &mut records,
        text(&JobRecord::final_record(JobState::Done, None)),
        4,
    );
    assert_eq!(records.delegated_jobs().count(), 0);
}
