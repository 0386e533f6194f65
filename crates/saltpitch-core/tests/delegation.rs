//! Jobs that go to another cell and come back, and jobs that are run for another cell, as the scheduler
//! sees them.

mod harness;

use harness::site::Site;
use harness::*;
use saltpitch_core::records::{Delegation, DelegationState, Guest};

fn site(machines: u32) -> Site {
    Site::new(SchedulerHarness::new(|_| {}, secs(0)), machines)
}

fn runs_for_long(_: &str, _: u32, _: &str, ran: u64) -> Option<ExitCause> {
    (ran >= 3_600).then_some(ExitCause::Done)
}

/// Writes a job's record as somebody else's transaction does.
fn write(site: &mut Site, id: &str, record: &JobRecord) {
    let harness = &mut site.harness;
    harness.rev += 1;
    put(&mut harness.records, &job_key(id), record, harness.rev);
    let (records, now) = (&harness.records, harness.now);
    harness.scheduler.job_changed(records, id, now, now);
}

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

fn candidates(site: &Site) -> Vec<String> {
    let leader = &site.harness.scheduler;
    let found = leader.delegation_candidates(secs(5), 10, site.harness.now);
    found.into_iter().map(|c| c.id.to_string()).collect()
}

/// While the record that hands a job over is under way, nothing of the job is placed, however much room
/// appears: the record may be there already.
#[test]
fn a_reserved_job_is_not_placed_until_it_is_released() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    site.steps(10, runs_for_long);
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
    site.join("vm-00", "east");
    site.steps(20, runs_for_long);
    assert_eq!(site.started("job-1"), 0);
    assert!(candidates(&site).is_empty());
    let now = site.harness.now;
    site.harness.scheduler.release_reservation("job-1", now);
    site.join("vm-01", "east");
    site.steps(10, runs_for_long);
    assert_eq!(site.started("job-1"), 2);
}

#[test]
fn what_is_placed_or_not_batch_work_is_no_candidate() {
    let mut site = site(1);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 3));
    site.steps(10, runs_for_long);
    assert_eq!(site.started("job-1"), 2);
    let mut service = spec(JobKind::Service, 1, 8);
    service.priority = Priority::Production;
    service.zone = Some("west".to_owned());
    site.harness.submit("job-2", service);
    site.steps(10, runs_for_long);
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
fn a_job_is_placed_only_while_its_record_says_that_it_is_here() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    for state in [
        DelegationState::Offered,
        DelegationState::Accepted,
        DelegationState::Running,
    ] {
        let record = delegated(&site, "job-1", state);
        write(&mut site, "job-1", &record);
    }
    site.join("vm-00", "east");
    site.steps(20, runs_for_long);
    assert_eq!(site.started("job-1"), 0);
    let record = delegated(&site, "job-1", DelegationState::Returned);
    write(&mut site, "job-1", &record);
    site.join("vm-01", "east");
    site.steps(10, runs_for_long);
    assert_eq!(site.started("job-1"), 2);
}

#[test]
fn a_job_that_was_done_elsewhere_releases_those_that_wait_for_it() {
    let mut site = site(0);
    site.harness.submit("job-1", spec(JobKind::Array, 2, 2));
    let mut next = spec(JobKind::Array, 1, 2);
    next.dependencies = vec!["job-1".to_owned()];
    site.harness.submit("job-2", next);
    let record = delegated(&site, "job-1", DelegationState::Running);
    write(&mut site, "job-1", &record);
    site.join("vm-00", "east");
    site.steps(10, runs_for_long);
    assert_eq!(site.started("job-2"), 0);
    write(
        &mut site,
        "job-1",
        &JobRecord::final_record(JobState::Done, None),
    );
    site.steps(10, runs_for_long);
    assert_eq!((site.started("job-1"), site.started("job-2")), (0, 1));
}

fn guest(site: &mut Site, id: &str, may_rent: bool) {
    let record = JobRecord {
        guest: Some(Box::new(Guest {
            cell: "south".to_owned(),
            may_rent,
        })),
        ..JobRecord::accepted(site.harness.now, Arc::new(spec(JobKind::Array, 1, 4)))
    };
    write(site, id, &record);
}

#[test]
fn a_delegated_job_keeps_no_machine_and_comes_after_own_work() {
    let mut site = site(1);
    guest(&mut site, "south.job-1000001", false);
    site.steps(10, runs_for_long);
    assert_eq!(
        site.started("south.job-1000001"),
        0,
        "nothing else is there"
    );
    assert!(candidates(&site).is_empty(), "lent work is never lent on");
    // Room for one of the two beside a task of this cell's own.
    let mut own = spec(JobKind::Array, 1, 2);
    own.priority = Priority::Low;
    site.harness.submit("job-1", own.clone());
    site.steps(3, runs_for_long);
    assert_eq!(site.started("job-1") + site.started("south.job-1000001"), 2);
    own.need.cpu = 2_000;
    site.harness.submit("job-2", own);
    guest(&mut site, "south.job-2000001", false);
    site.steps(10, runs_for_long);
    assert_eq!(
        (site.started("job-2"), site.started("south.job-2000001")),
        (1, 0)
    );
}

#[test]
fn a_delegated_job_that_may_scale_out_takes_an_idle_machine() {
    let mut site = site(1);
    guest(&mut site, "south.job-1000001", true);
    site.steps(10, runs_for_long);
    assert_eq!(site.started("south.job-1000001"), 1);
}
