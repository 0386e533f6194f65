//! Which of a neighbour's jobs a host takes, and as what.

use std::collections::BTreeMap;
use std::sync::Arc;

use saltpitch_cells::host::{Admission, Door, GuestError, HostSite};
use saltpitch_cells::link::{HostStatus, Submission};
use saltpitch_cells::settings::GuestSettings;
use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::job::{JobSpec, JobState, Kind, Priority};
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{job_key, log_key, Entry, JobRecord, LogRecord, View};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

fn door() -> Door {
    Door {
        cell: "north".to_owned(),
        settings: GuestSettings {
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
        kind: Kind::Array,
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
        checkpoint: Micros::ZERO,
        save: Micros::ZERO,
        deadline: Some(Micros::from_secs(900)),
        needs: Vec::new(),
    };
    Submission {
        id: id.to_owned(),
        spec: Arc::new(spec),
        deadline: Some(Micros::from_secs(60)),
        closing: false,
    }
}

fn admit(view: &View, submission: &Submission) -> Result<Admission, GuestError> {
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
    let site = HostSite {
        catalog: &catalog,
        teams: &teams,
    };
    door().admit(view, submission, &site, Micros(5))
}

fn created(view: &View, submission: &Submission) -> JobRecord {
    match admit(view, submission) {
        Ok(Admission::Create(record)) => record,
        other => panic!("not taken: {other:?}"),
    }
}

fn put(view: &mut View, id: &str, record: &JobRecord) {
    view.rev += 1;
    let text = serde_json::to_string(record).expect("JSON");
    let raw = RawValue::from_string(text).expect("JSON");
    view.put(&job_key(id), &raw, view.rev).expect("read");
}

#[test]
fn a_guest_has_the_guests_team_the_lowest_priority_and_what_is_left_of_its_deadline() {
    let record = created(&View::default(), &submission("job-1000001", 2));
    let spec = record.spec.expect("described");
    assert_eq!((&*spec.team, &*spec.class), ("guests", "north.night"));
    assert_eq!(spec.priority, Priority::Low);
    assert_eq!(spec.deadline, Some(Micros::from_secs(60)));
    let guest = record.guest.expect("a guest");
    assert_eq!((&*guest.cell, guest.may_rent), ("north", false));
}

#[test]
fn what_is_not_taken_is_told_apart() {
    let view = View::default();
    let with = |change: &dyn Fn(&mut JobSpec)| {
        let mut submission = submission("job-1000001", 2);
        let mut spec = JobSpec::clone(&submission.spec);
        change(&mut spec);
        submission.spec = Arc::new(spec);
        admit(&view, &submission).expect_err("not taken")
    };
    assert_eq!(with(&|spec| spec.kind = Kind::Service), GuestError::Service);
    assert_eq!(
        with(&|spec| spec.needs = vec!["job-2".to_owned()]),
        GuestError::Dependencies
    );
    assert_eq!(with(&|spec| spec.tasks = 11), GuestError::TooLarge);
    let never = with(&|spec| spec.need.cpu = 9_000);
    assert!(matches!(never, GuestError::Never(_)), "{never:?}");
    assert_eq!((never.status(), never.retry_after()), (422, None));
}

#[test]
fn bounds_hold_and_a_job_that_is_known_takes_nothing_again() {
    let mut view = View::default();
    for id in ["job-1000001", "job-2000001"] {
        let record = created(&view, &submission(id, 2));
        put(&mut view, &door().guest_id(id), &record);
    }
    // Two wait with nothing placed: no room to spare.
    let refused = admit(&view, &submission("job-3000001", 2)).expect_err("full");
    assert_eq!(
        (refused.status(), refused.retry_after().is_some()),
        (429, true)
    );
    assert!(!door().has_room(&view));
    let again = admit(&view, &submission("job-1000001", 2));
    assert_eq!(again, Ok(Admission::Known(HostStatus::Pending)));
    // What is over takes nothing, and is answered for ever.
    put(
        &mut view,
        &door().guest_id("job-1000001"),
        &JobRecord::over(JobState::Done, None),
    );
    assert!(door().has_room(&view));
    let late = admit(&view, &submission("job-1000001", 2));
    assert_eq!(late, Ok(Admission::Known(HostStatus::Done)));
    // This cell's own job of the same id is another one.
    assert_eq!(door().status(&view, "job-1"), None);
}

#[test]
fn a_closing_submission_leaves_a_withdrawn_job_that_never_starts() {
    let mut view = View::default();
    let closing = Submission {
        closing: true,
        ..submission("job-1000001", 2)
    };
    let record = created(&view, &closing);
    assert_eq!(
        (record.state, record.spec.is_none()),
        (JobState::Cancelled, true)
    );
    put(&mut view, &door().guest_id("job-1000001"), &record);
    let late = admit(&view, &submission("job-1000001", 2));
    assert_eq!(late, Ok(Admission::Known(HostStatus::Withdrawn)));
    // It closes nothing that the host has.
    let taken = created(&view, &submission("job-2000001", 2));
    put(&mut view, &door().guest_id("job-2000001"), &taken);
    let closing = Submission {
        closing: true,
        ..submission("job-2000001", 2)
    };
    assert_eq!(
        admit(&view, &closing),
        Ok(Admission::Known(HostStatus::Pending))
    );
    assert!(door().cancels(&view, "job-2000001", true));
    assert!(!door().cancels(&view, "job-1000001", false));
}

#[test]
fn a_recall_does_not_stop_what_has_begun() {
    let mut view = View::default();
    let record = created(&view, &submission("job-1000001", 2));
    let id = door().guest_id("job-1000001");
    put(&mut view, &id, &record);
    assert!(door().cancels(&view, "job-1000001", true));
    let placed = LogRecord {
        no: 1,
        entries: vec![(id, vec![Entry(0, 1, "vm-000001".to_owned(), 1, 0)])],
    };
    let text = serde_json::to_string(&placed).expect("JSON");
    let raw = RawValue::from_string(text).expect("JSON");
    view.put(&log_key(0), &raw, 9).expect("read");
    assert_eq!(
        door().status(&view, "job-1000001"),
        Some(HostStatus::Running)
    );
    assert!(!door().cancels(&view, "job-1000001", true));
    assert!(door().cancels(&view, "job-1000001", false));
}
