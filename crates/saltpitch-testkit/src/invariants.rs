//! The invariants of the protocol, checked after each step, and those of a whole history.

mod violation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState};
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::Micros;

use crate::agents::{Agent, AgentTask, TaskId};
use crate::nodes::Node;
use crate::simulation::{Simulation, UserJob};

pub use violation::{Invariant, InvariantViolation};

/// How long, without any fault, a job may wait while machines have room for it.
pub const MAX_WAIT_WITH_ROOM: Micros = Micros::from_secs(90);

/// How long the largest jobs of a class may wait for their start.
pub const MAX_START_WAIT_OF_LARGEST: Micros = Micros::from_secs(240);

/// How long, without a fault of controllers, store or network, a controller may be unable to answer a status
/// query about a job.
const ANSWER_WITHIN: Micros = Micros::from_secs(75);

/// The running tasks that the check has seen so far.
#[derive(Default)]
struct RunningTasks<'a> {
    machine_of: BTreeMap<(&'a str, u32), &'a str>,
    used_by_team: BTreeMap<&'a str, Resources>,
}

/// Checks all invariants on the current state and returns the first violation.
pub fn check(simulation: &Simulation) -> Result<(), InvariantViolation> {
    let mut running = RunningTasks::default();
    for agent in simulation.agents.values().filter(|agent| !agent.is_gone) {
        for ((id, _), agent_task) in agent
            .tasks
            .iter()
            .filter(|(_, agent_task)| agent_task.counts_as_running())
        {
            check_task(simulation, &mut running, agent, id, agent_task)?;
        }
    }
    let starts = [
        &simulation.early_start,
        &simulation.late_start,
        &simulation.repeated_start,
    ];
    for violation in starts {
        violation.clone().map_or(Ok(()), Err)?;
    }
    let stale_answer = simulation.stale_answer();
    stale_answer.cloned().map_or(Ok(()), Err)?;
    check_quotas(simulation, &running)?;
    check_zones(simulation)?;
    check_kept_jobs(simulation)?;
    for (id, job) in &simulation.jobs {
        check_job(simulation, id, job)?;
    }
    Ok(())
}

fn check_task<'a>(
    simulation: &'a Simulation,
    running: &mut RunningTasks<'a>,
    agent: &'a Agent,
    (job_id, task): &'a TaskId,
    agent_task: &AgentTask,
) -> Result<(), InvariantViolation> {
    let violation = |invariant: Invariant, text: String| {
        let violation = InvariantViolation::new(invariant, text);
        Err(violation.of_job(job_id).on_machine(&agent.name))
    };
    let machine = &agent.name;
    if let Some(other) = running.machine_of.insert((job_id, *task), machine) {
        let attempt = agent_task.attempt;
        let text = format!("{job_id}/{task} attempt {attempt} runs on {machine} and on {other}");
        return violation(Invariant::DuplicateExecution, text);
    }
    let Some(job) = simulation.jobs.get(job_id) else {
        return violation(Invariant::UnknownJob, format!("{job_id} on {machine}"));
    };
    if !job.spec.allows(&agent.type_name, &agent.zone, agent.spot) {
        let (type_name, zone) = (&agent.type_name, &agent.zone);
        let text = format!(
            "{job_id}/{task} runs on {machine} ({type_name} in {zone}), which the job does not allow"
        );
        return violation(Invariant::PlacementConstraint, text);
    }
    let used = running.used_by_team.entry(&job.spec.team).or_default();
    *used = used.plus(&job.spec.need);
    // Tasks on a machine that hangs count as well: they may continue when it resumes.
    let cancelled_for = job.cancelled_at.map(|at| simulation.now.since(at));
    if let Some(late) = cancelled_for.filter(|late| *late > simulation.times.cancel_timeout) {
        let late = late.as_secs_f64();
        let text = format!(
            "{job_id}/{task} still runs on {machine} {late:.1} s after the job's cancellation"
        );
        return violation(Invariant::RunsAfterCancellation, text);
    }
    Ok(())
}

fn check_quotas(simulation: &Simulation, running: &RunningTasks) -> Result<(), InvariantViolation> {
    for team in &simulation.teams {
        let used = running.used_by_team.get(team.name.as_str());
        if let Some(used) = used.filter(|used| !team.allows(used)) {
            let text = format!("team {} uses more than its limit: {used:?}", team.name);
            return Err(InvariantViolation::new(Invariant::QuotaExceeded, text));
        }
    }
    Ok(())
}

fn check_zones(simulation: &Simulation) -> Result<(), InvariantViolation> {
    let mut by_job: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for agent in simulation.agents.values().filter(|agent| !agent.is_gone) {
        for ((id, _), _) in agent
            .tasks
            .iter()
            .filter(|(_, agent_task)| agent_task.counts_as_running())
        {
            let zones = by_job.entry(&id.0).or_default();
            *zones.entry(&agent.zone).or_default() += 1;
        }
    }
    for (id, zones) in by_job {
        let spec = &simulation.jobs[id].spec;
        let text = if spec.one_zone && zones.len() > 1 {
            format!("{id} is bound to one zone but runs in several: {zones:?}")
        } else if zones
            .values()
            .any(|tasks| *tasks > spec.max_tasks_per_zone())
        {
            format!("{id} is not spread over the zones: {zones:?}")
        } else {
            continue;
        };
        return Err(InvariantViolation::new(Invariant::PlacementConstraint, text).of_job(id));
    }
    Ok(())
}

/// Checks the status answers about a job and its record. Once all faults are over, every controller answers
/// status queries about every accepted job.
fn check_job(simulation: &Simulation, id: &str, job: &UserJob) -> Result<(), InvariantViolation> {
    let violation = |invariant, text| Err(InvariantViolation::new(invariant, text).of_job(id));
    let can_run = job
        .spec
        .can_ever_run(simulation.catalog(), &simulation.teams);
    if job.is_accepted && can_run.is_err() {
        return violation(
            Invariant::ImpossibleJobAccepted,
            format!("{id} was accepted but can never run"),
        );
    }
    check_waits(simulation, id, job)?;
    let Some(entry) = simulation.store.keys.get(&job_key(id)) else {
        if job.is_accepted {
            let text = format!("{id} was accepted but has no record in the store");
            return violation(Invariant::JobLost, text);
        }
        return Ok(());
    };
    let record = match entry.job_record() {
        Ok(record) => record,
        Err(error) => {
            return violation(
                Invariant::UnreadableRecord,
                format!("the record of {id} is unreadable: {error}"),
            );
        }
    };
    if let Some(at) = job.dependency_cancelled_at {
        check_dependent_cancelled(simulation, id, at)?;
    }
    for node in simulation
        .nodes
        .iter()
        .filter(|node| is_current(simulation, node))
    {
        check_answer(simulation, node, id, record)?;
    }
    check_state(simulation, id, job, record.state)
}

/// Checks that a job does not wait for long while machines have room for it, and that each controller in service can
/// answer about it.
fn check_waits(simulation: &Simulation, id: &str, job: &UserJob) -> Result<(), InvariantViolation> {
    let violation = |invariant, text| Err(InvariantViolation::new(invariant, text).of_job(id));
    if let Some(since) = job.waiting_since {
        let waited = simulation
            .now
            .since(since.max(simulation.site_healthy_since));
        if waited > MAX_WAIT_WITH_ROOM {
            let waited = waited.as_secs_f64();
            let text = format!("{id} has waited for {waited:.0} s while machines have room for it");
            return violation(Invariant::Starvation, text);
        }
    }
    if job.is_accepted {
        for (node, answered_at) in simulation.nodes.iter().zip(&job.last_answered_at) {
            let since = (*answered_at).max(simulation.controllers_healthy_since);
            if simulation.now.since(since) > ANSWER_WITHIN {
                let text = format!("{} can't answer a status query about {id}", node.name);
                return violation(Invariant::JobLost, text);
            }
        }
    }
    Ok(())
}

/// Returns whether a controller is up and its records are those in the store.
fn is_current(simulation: &Simulation, node: &Node) -> bool {
    node.is_up(simulation.now)
        && node.controller.is_synced()
        && node.records().revision() == simulation.store.revision
}

/// Checks what a controller with current records answers about a job, whose record this is: it knows the job, and a
/// final state is the one on record.
fn check_answer(
    simulation: &Simulation,
    node: &Node,
    id: &str,
    record: &JobRecord,
) -> Result<(), InvariantViolation> {
    let violation = |invariant, text| Err(InvariantViolation::new(invariant, text).of_job(id));
    let Some(answer) = node.job_state(id, &simulation.store) else {
        let text = format!("{} answers that {id} was never accepted", node.name);
        return violation(Invariant::JobLost, text);
    };
    if record.state.is_final() && answer != record.state {
        let (name, state) = (&node.name, record.state);
        let text = format!("{name} answers that {id} is {answer:?} instead of {state:?}");
        return violation(Invariant::StateReverted, text);
    }
    if record.is_final() && node.records().jobs.contains_key(id) {
        let text = format!("{} keeps the record of {id}, which has ended", node.name);
        return violation(Invariant::EndedJobKept, text);
    }
    Ok(())
}

/// Checks that the outcomes of ended jobs that a controller keeps are limited to recent jobs and dependencies of live
/// jobs.
fn check_kept_jobs(simulation: &Simulation) -> Result<(), InvariantViolation> {
    for node in simulation
        .nodes
        .iter()
        .filter(|node| is_current(simulation, node))
    {
        let records = node.records();
        let specs = records
            .jobs
            .values()
            .filter_map(|entry| entry.record.spec.as_ref());
        let dependencies: usize = specs.map(|spec| spec.dependencies.len()).sum();
        let kept = records.ended_jobs().len();
        if kept > node.max_ended_jobs + dependencies {
            let text = format!("{} keeps the outcomes of {kept} ended jobs", node.name);
            return Err(InvariantViolation::new(Invariant::EndedJobKept, text));
        }
    }
    Ok(())
}

/// Checks that a job that depends on a cancelled one is cancelled in every controller whose records are
/// current.
fn check_dependent_cancelled(
    simulation: &Simulation,
    id: &str,
    at: Micros,
) -> Result<(), InvariantViolation> {
    let violation =
        |text| Err(InvariantViolation::new(Invariant::DependentNotCancelled, text).of_job(id));
    for node in &simulation.nodes {
        let knows = is_current(simulation, node);
        if knows && node.job_state(id, &simulation.store) != Some(JobState::Cancelled) {
            let text = format!("{id} depends on a cancelled job and is not cancelled");
            return violation(format!("{text} in the records of {}", node.name));
        }
    }
    if simulation.now.since(at) > simulation.times.cancel_timeout
        && simulation.running_tasks(id) > 0
    {
        let text = format!("{id} depends on a cancelled job and still runs");
        return violation(text);
    }
    Ok(())
}

/// Checks that the state in a job's record agrees with what its tasks and its user did.
fn check_state(
    simulation: &Simulation,
    id: &str,
    job: &UserJob,
    state: JobState,
) -> Result<(), InvariantViolation> {
    let violation = |invariant, text| Err(InvariantViolation::new(invariant, text).of_job(id));
    let is_cancelled = job.cancelled_at.or(job.dependency_cancelled_at).is_some();
    match state {
        JobState::Done => {
            let tasks = job.spec.tasks;
            let done = if simulation.completed_in_other_cell.contains(id) {
                tasks
            } else {
                simulation.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32
            };
            if done < tasks {
                return violation(
                    Invariant::DoneWithoutResults,
                    format!("{id} is done on record with {done} of {tasks} tasks completed"),
                );
            }
            if is_cancelled {
                let text = format!("{id} was cancelled and is now done");
                return violation(Invariant::StateReverted, text);
            }
            Ok(())
        }
        JobState::Cancelled if !is_cancelled => {
            let text = format!("{id} is cancelled although nobody cancelled it");
            violation(Invariant::StateReverted, text)
        }
        JobState::Active if job.cancelled_at.is_some() => {
            let text = format!("{id} was cancelled and is now active");
            violation(Invariant::StateReverted, text)
        }
        _ => Ok(()),
    }
}

/// Checks a whole history: of each class, of each team and of each class's largest jobs at least half are
/// served, and the largest start within four minutes. The largest are the tenth of a class with the most
/// tasks, at least one job. An array or a gang is served when it is done, a service when all of its tasks
/// have run at the same time. Jobs that were cancelled, or that fail on every machine, don't count.
pub fn check_served(simulation: &Simulation) -> Result<(), InvariantViolation> {
    let mut groups = group_jobs(simulation);
    for (name, mut largest) in groups.clone() {
        if !name.starts_with("class") {
            continue;
        }
        largest.sort_by_key(|(_, job)| Reverse(job.spec.tasks));
        largest.truncate(largest.len().div_ceil(10));
        for (id, job) in &largest {
            check_started(simulation, &name, id, job)?;
        }
        groups.insert(format!("largest of {name}"), largest);
    }
    for (name, jobs) in groups {
        let is_served = |(id, job): &&(&str, &UserJob)| match job.spec.kind {
            JobKind::Service => job.started_at.is_some(),
            _ => simulation.is_done(id),
        };
        let served = jobs.iter().filter(is_served).count();
        if served * 2 < jobs.len() {
            let text = format!("{name}: {served} of {} jobs are served", jobs.len());
            return Err(InvariantViolation::new(Invariant::Unserved, text));
        }
    }
    Ok(())
}

/// Groups the jobs that count by class and by team.
fn group_jobs(simulation: &Simulation) -> BTreeMap<String, Vec<(&str, &UserJob)>> {
    let mut groups: BTreeMap<String, Vec<(&str, &UserJob)>> = BTreeMap::new();
    for (id, job) in &simulation.jobs {
        let JobSpec { class, team, .. } = &job.spec;
        // A job that is spread over zones and bound to one zone can't run all of its tasks.
        let is_impossible = job.spec.spread && job.spec.zone.is_some() && job.spec.tasks > 1;
        let is_cancelled = job.cancelled_at.or(job.dependency_cancelled_at).is_some();
        if job.is_accepted && !job.always_fails && !is_impossible && !is_cancelled {
            for name in [format!("class {class}"), format!("team {team}")] {
                groups.entry(name).or_default().push((id, job));
            }
        }
    }
    groups
}

fn check_started(
    simulation: &Simulation,
    group: &str,
    id: &str,
    job: &UserJob,
) -> Result<(), InvariantViolation> {
    let started_at = job.started_at.unwrap_or(simulation.now);
    let waited = started_at.since(job.submitted_at);
    if waited <= MAX_START_WAIT_OF_LARGEST {
        return Ok(());
    }
    let (tasks, waited) = (job.spec.tasks, waited.as_secs_f64());
    let text = format!("{id} ({group}, {tasks} tasks) waited {waited:.0} s for its start");
    Err(InvariantViolation::new(Invariant::Unserved, text).of_job(id))
}
