//! Tests of the scheduler with jobs that are delegated to another cell and return, and with guest jobs that this cell
//! runs for another one.

mod harness;

use harness::site::Site;
use harness::*;
use saltpitch_core::records::{Delegation, DelegationState, Guest};

fn site(machines: u32) -> Site {
    Site::new(SchedulerHarness::new(|_| {}, secs(0)), machines)
}

/// Tasks complete after an hour.
fn runs_for_an_hour(_: &str, _: u32, _: &str, run_s: u64) -> Option<ExitCause> {
    (run_s >= 3_600).then_some(ExitCause::Done)
}

/// Writes a job's record as a transaction of another process does.
fn write_record(site: &mut Site, id: &str, record: &JobRecord) {
    let harness = &mut site.harness;
    harness.revision += 1;
    put(&mut harness.records, &job_key(id), record, harness.revision);
    let (records, now) = (&harness.records, harness.now);
    harness.scheduler.job_changed(records, id, now, now);
}

/// Returns the record of a job as delegated to the cell `south`.
fn delegated(site: &Site, id: &str, state: DelegationState) -> JobRecord {
    JobRecord {
        delegation: Some(Box::new(Delegation {
            cell: "south".to_owned(),
            number: 1,
            state,
            cancel_requested: false,
        })),
        ..site.harness.records.jobs[id].record.clone()
    }
}

/// Returns the ids of the jobs that could be delegated.
fn candidates(site: &Site) -> Vec<String> {
    let scheduler = &site.harness.scheduler;
    let candidates = scheduler.delegation_candidates(secs(5), 10, site.harness.now);
    candidates
        .into_iter()
        .map(|candidate| candidate.id.to_string())
        .collect()
}

/// While the record that delegates a job is being written, no task of the job may be placed, however much capacity
/// becomes free. The record may already be committed, and the tasks could then run in both cells.
#[test]
fn a_reserved_job_is_not_placed_until_it_is_released() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(candidates(&site), ["job-1"]);
    assert!(site
        .harness
        .scheduler
        .reserve_for_delegation("job-1")
        .is_some());
    assert!(site
        .harness
        .scheduler
        .reserve_for_delegation("job-1")
        .is_none());
    site.add_machine("vm-00", "east");
    site.run_steps(20, runs_for_an_hour);
    assert_eq!(site.started("job-1"), 0);
    assert!(candidates(&site).is_empty());
    let now = site.harness.now;
    site.harness.scheduler.release_reservation("job-1", now);
    site.add_machine("vm-01", "east");
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(site.started("job-1"), 2);
}

#[test]
fn placed_jobs_and_services_are_no_candidates() {
    let mut site = site(1);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 3));
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(site.started("job-1"), 2);
    let mut service = spec(JobKind::Service, 1, 8);
    service.priority = Priority::Production;
    service.zone = Some("west".to_owned());
    site.harness.submit("job-2", service);
    site.run_steps(10, runs_for_an_hour);
    assert!(candidates(&site).is_empty());
    assert!(site
        .harness
        .scheduler
        .reserve_for_delegation("job-1")
        .is_none());
    assert!(site
        .harness
        .scheduler
        .reserve_for_delegation("job-2")
        .is_none());
}

#[test]
fn a_job_is_placed_only_while_its_record_says_that_this_cell_runs_it() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    for state in [
        DelegationState::Offered,
        DelegationState::Accepted,
        DelegationState::Running,
    ] {
        let record = delegated(&site, "job-1", state);
        write_record(&mut site, "job-1", &record);
    }
    site.add_machine("vm-00", "east");
    site.run_steps(20, runs_for_an_hour);
    assert_eq!(site.started("job-1"), 0);
    let record = delegated(&site, "job-1", DelegationState::Returned);
    write_record(&mut site, "job-1", &record);
    site.add_machine("vm-01", "east");
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(site.started("job-1"), 2);
}

#[test]
fn a_job_that_another_cell_has_done_releases_its_dependents() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    let mut dependent = spec(JobKind::Array, 1, 2);
    dependent.dependencies = vec!["job-1".to_owned()];
    site.harness.submit("job-2", dependent);
    let record = delegated(&site, "job-1", DelegationState::Running);
    write_record(&mut site, "job-1", &record);
    site.add_machine("vm-00", "east");
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(site.started("job-2"), 0);
    write_record(
        &mut site,
        "job-1",
        &JobRecord::final_record(JobState::Done, None),
    );
    site.run_steps(10, runs_for_an_hour);
    assert_eq!((site.started("job-1"), site.started("job-2")), (0, 1));
}

/// Submits a guest job from the cell `south`, whose only task needs four processors.
fn submit_guest(site: &mut Site, id: &str, may_rent: bool) {
    let record = JobRecord {
        guest: Some(Box::new(Guest {
            cell: "south".to_owned(),
            may_rent,
        })),
        ..JobRecord::accepted(site.harness.now, Arc::new(spec(JobKind::Array, 1, 4)))
    };
    write_record(site, id, &record);
}

#[test]
fn a_guest_job_keeps_no_machine_and_is_placed_after_own_jobs() {
    let mut site = site(1);
    submit_guest(&mut site, "south.job-1000001", false);
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(
        site.started("south.job-1000001"),
        0,
        "no other job keeps the machine"
    );
    assert!(
        candidates(&site).is_empty(),
        "a guest job is not delegated again"
    );
    // Once an own job keeps the machine, there is free capacity for the guest job beside it.
    let mut own = spec(JobKind::Array, 1, 2);
    own.priority = Priority::Low;
    site.harness.submit("job-1", own.clone());
    site.run_steps(3, runs_for_an_hour);
    assert_eq!(site.started("job-1") + site.started("south.job-1000001"), 2);
    own.need.cpu = 2_000;
    site.harness.submit("job-2", own);
    submit_guest(&mut site, "south.job-2000001", false);
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(
        (site.started("job-2"), site.started("south.job-2000001")),
        (1, 0)
    );
}

#[test]
fn a_guest_job_that_may_scale_out_takes_an_idle_machine() {
    let mut site = site(1);
    submit_guest(&mut site, "south.job-1000001", true);
    site.run_steps(10, runs_for_an_hour);
    assert_eq!(site.started("south.job-1000001"), 1);
}
