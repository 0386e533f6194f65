//! Records of jobs that concern other cells: as they are stored, damaged, and in the way of a cancellation.

use std::sync::Arc;

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::records::{
    job_key, CancelStep, Delegation, DelegationState, Guest, JobRecord, NodeRecord, RecordCache,
};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

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

fn put(records: &mut RecordCache, text: String, revision: u64) {
    let raw = RawValue::from_string(text).expect("JSON");
    records
        .put(&job_key("job-1"), &raw, revision)
        .expect("read");
}

/// What is stored is a published format: names may not change.
#[test]
fn the_fields_are_stored_under_their_names_and_left_out_while_unused() {
    let plain = serde_json::to_string(&accepted()).expect("JSON");
    let with = serde_json::to_string(&delegated(DelegationState::Accepted)).expect("JSON");
    let end = r#","x":{"c":"south","n":2,"s":"accepted"}}"#;
    assert_eq!(with, format!("{}{end}", &plain[..plain.len() - 1]));
    let top: serde_json::Value = serde_json::from_str(&plain).expect("JSON");
    assert!(top.get("x").is_none() && top.get("g").is_none(), "{plain}");
    let guest = JobRecord {
        guest: Some(Box::new(Guest {
            cell: "south".to_owned(),
            may_rent: true,
        })),
        ..accepted()
    };
    let text = serde_json::to_string(&guest).expect("JSON");
    assert!(text.ends_with(r#","g":{"c":"south","r":true}}"#), "{text}");
    let node = NodeRecord {
        incarnation: 9,
        knows_delegations: true,
    };
    let text = serde_json::to_string(&node).expect("JSON");
    assert_eq!(text, r#"{"life":9,"cells":true}"#);
    for record in [delegated(DelegationState::Returned), guest] {
        let text = serde_json::to_string(&record).expect("JSON");
        assert_eq!(
            serde_json::from_str::<JobRecord>(&text).expect("read"),
            record
        );
    }
}

/// The job stays known, and counts as with another cell.
#[test]
fn a_damaged_delegation_hides_no_job_and_frees_none() {
    let plain = serde_json::to_string(&accepted()).expect("JSON");
    let damages = [
        r#"7"#,
        r#"{}"#,
        r#"{"c":"south","n":2,"s":"sunk"}"#,
        r#"{"c":"","n":2,"s":"returned"}"#,
        r#"{"c":"south","n":-2,"s":"returned"}"#,
        r#"{"c":"south","n":2,"s":"damaged","w":3}"#,
    ];
    for damage in damages {
        let mut records = RecordCache::default();
        put(
            &mut records,
            format!("{},\"x\":{damage}}}", &plain[..plain.len() - 1]),
            1,
        );
        assert_eq!(
            records.job_state("job-1"),
            Some(JobState::Active),
            "{damage}"
        );
        let record = &records.jobs["job-1"].record;
        let state = record.delegation.as_ref().map(|d| d.state);
        assert_eq!(state, Some(DelegationState::Damaged), "{damage}");
        assert!(record.is_delegated());
        assert_eq!(record.cancel_step(), CancelStep::Await);
        assert_eq!(records.delegated_jobs().collect::<Vec<_>>(), ["job-1"]);
    }
}

#[test]
fn a_cancellation_asks_the_host_first_and_is_not_asked_twice() {
    let CancelStep::Confirm(record) = accepted().cancel_step() else {
        panic!("this cell's own");
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
            panic!("{state:?} is with the host");
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
fn the_view_follows_which_jobs_are_elsewhere() {
    let mut records = RecordCache::default();
    let text = |record: &JobRecord| serde_json::to_string(record).expect("JSON");
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
