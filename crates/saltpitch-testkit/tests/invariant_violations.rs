//! Violations of invariants are reported with the invariant's name, the job, the machine and the time.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::invariants::{Invariant, InvariantViolation};
use saltpitch_testkit::{Faults, Simulation};

const JOB: &str = "job-000001";

/// Returns a site on which two services of one task each run, and the name of the first one's machine.
fn site_with_two_services() -> (Simulation, String) {
    let mut simulation = Simulation::new(1, Faults::default(), Micros::ZERO);
    simulation
        .run(Micros::from_secs(5))
        .expect("a start without violations");
    let mut spec = simulation.draw_job();
    (spec.kind, spec.tasks) = (JobKind::Service, 1);
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, false);
    // The second job needs a second machine.
    spec.need.cpu = 5_000;
    spec.need.gpu = 0;
    assert!(simulation.submit(JOB, spec.clone()));
    assert!(simulation.submit("job-000002", spec));
    simulation
        .run(Micros::from_secs(60))
        .expect("a site without violations");
    assert_eq!(simulation.running_tasks(JOB), 1);
    let runner = simulation
        .agents
        .values()
        .find(|agent| agent.tasks.keys().any(|(id, _)| id.0 == JOB));
    let machine = runner.expect("a machine that runs the task").name.clone();
    (simulation, machine)
}

#[test]
fn a_task_of_an_unknown_job_is_reported_with_job_machine_and_time() {
    let (mut simulation, machine) = site_with_two_services();
    simulation.jobs.remove(JOB);
    let end = Micros::from_secs(70);
    let violation = simulation.run(end).expect_err("a task without a job");
    assert_eq!(violation.invariant, Invariant::UnknownJob);
    assert_eq!(violation.job.as_deref(), Some(JOB));
    assert_eq!(violation.machine.as_deref(), Some(machine.as_str()));
    assert_eq!(violation.at, Some(simulation.now));
    let since_start = simulation.now.as_secs_f64() - 60.0;
    let text = format!("at {since_start:.1} s: invented: {JOB} on {machine}");
    assert_eq!(violation.to_string(), text);
}

#[test]
fn a_task_on_two_machines_is_reported_as_ran_twice() {
    let (mut simulation, machine) = site_with_two_services();
    let tasks = simulation.agents[&machine].tasks.clone();
    let other = simulation
        .agents
        .values_mut()
        .find(|agent| agent.name != machine)
        .expect("a second machine");
    let other_name = other.name.clone();
    (other.is_gone, other.tasks) = (false, tasks);
    (other.up_at, other.lease_renewed_at) = (simulation.now, simulation.now);
    let violation = simulation.step().expect_err("a task on two machines");
    assert_eq!(violation.invariant, Invariant::DuplicateExecution);
    assert_eq!(violation.job.as_deref(), Some(JOB));
    let reported_machine = violation.machine.as_deref().expect("a machine");
    assert!([machine.as_str(), other_name.as_str()].contains(&reported_machine));
    assert_eq!(violation.at, None);
    let text = violation.to_string();
    assert!(
        text.starts_with("ran_twice: job-000001/0 attempt "),
        "{text}"
    );
}

#[test]
fn a_violation_is_shown_with_time_cell_and_invariant_in_this_order() {
    let violation = InvariantViolation::new(Invariant::DuplicateOwnership, "two owners".to_owned());
    assert_eq!(violation.to_string(), "owned_twice: two owners");
    let violation = violation.in_cell("canal").found_at(Micros::from_secs(75));
    let text = "at 15.0 s: canal: owned_twice: two owners";
    assert_eq!(violation.to_string(), text);
}

#[test]
fn a_violation_of_a_whole_history_is_shown_by_its_text_alone() {
    let text = "class web: 1 of 3 served".to_owned();
    let violation = InvariantViolation::new(Invariant::Unserved, text.clone());
    assert_eq!(violation.to_string(), text);
}
