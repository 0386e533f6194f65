//! The rules of the protocol, checked after each step.

use std::collections::BTreeMap;

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState};
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::Micros;

use crate::simulation::{Simulation, UserJob};

/// The first rule that the world as it stands breaks.
pub fn check(w: &Simulation) -> Result<(), String> {
    let mut on: BTreeMap<(&str, u32), &str> = BTreeMap::new();
    let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
    for m in w.agents.values().filter(|m| !m.gone) {
        for ((id, _), h) in m.tasks.iter().filter(|(_, h)| h.on()) {
            if let Some(other) = on.insert((&id.0, id.1), &m.name) {
                return Err(format!(
                    "ran_twice: {}/{} attempt {} on {} and {other}",
                    id.0, id.1, h.attempt, m.name
                ));
            }
            let Some(job) = w.jobs.get(&id.0) else {
                return Err(format!("invented: {} on {}", id.0, m.name));
            };
            if !job.spec.allows(&m.type_name, &m.zone, m.spot) {
                return Err(format!("wrong_place: {}/{} on {}", id.0, id.1, m.name));
            }
            let sum = used.entry(&job.spec.team).or_default();
            *sum = sum.plus(&job.spec.need);
            if let Some(at) = job.cancelled_at {
                // On a machine that hangs as well: it may go on with it.
                if w.now.since(at) > w.times.cancel {
                    return Err(format!(
                        "ran_cancelled: {}/{} on {} {:.1} s after",
                        id.0,
                        id.1,
                        m.name,
                        w.now.since(at).as_secs_f64()
                    ));
                }
            }
        }
    }
    if let Some(what) = &w.too_early {
        return Err(format!("too_early: {what}"));
    }
    if let Some(what) = &w.started_late {
        return Err(format!("ran_cancelled: {what} started after its time"));
    }
    for t in &w.teams {
        if let Some(sum) = used.get(t.name.as_str()) {
            if !t.allows(sum) {
                return Err(format!("quota: {} uses {sum:?}", t.name));
            }
        }
    }
    zones(w)?;
    outcomes(w)
}

/// How long, in calm, a job may wait beside a machine that has room for it.
pub const WAIT: Micros = Micros::from_secs(90);

/// How soon the largest jobs have to begin.
pub const BEGIN: Micros = Micros::from_secs(240);

/// A history as a whole: of each class, of each team and of each class's largest jobs at least half
/// is served, and the largest begin within four minutes. The largest are the largest tenth of a
/// class by tasks, at least one. Served is: an array or a gang is done, a service ran whole. Jobs
/// that were cancelled, or fail everywhere, don't count.
pub fn served(w: &Simulation) -> Result<(), String> {
    let mut groups: BTreeMap<String, Vec<(&str, &UserJob)>> = BTreeMap::new();
    for (id, job) in &w.jobs {
        // Spread over zones and bound to one, it can't run whole.
        let torn = job.spec.spread && job.spec.zone.is_some() && job.spec.tasks > 1;
        let off = job.cancelled_at.or(job.withdrawn_at).is_some();
        if job.accepted && !job.mistaken && !torn && !off {
            let JobSpec { class, team, .. } = &job.spec;
            for name in [format!("class {class}"), format!("team {team}")] {
                groups.entry(name).or_default().push((id, job));
            }
        }
    }
    for (name, mut largest) in groups.clone() {
        if !name.starts_with("class") {
            continue;
        }
        largest.sort_by_key(|j| std::cmp::Reverse(j.1.spec.tasks));
        largest.truncate(largest.len().div_ceil(10));
        for (id, job) in &largest {
            let waited = job.begun_at.unwrap_or(w.now).since(job.submitted_at);
            if waited > BEGIN {
                let (tasks, waited) = (job.spec.tasks, waited.as_secs_f64());
                return Err(format!("{id} ({name}, {tasks} tasks) waited {waited:.0} s"));
            }
        }
        groups.insert(format!("largest of {name}"), largest);
    }
    for (name, jobs) in groups {
        let well = jobs.iter().filter(|(id, j)| match j.spec.kind {
            JobKind::Service => j.begun_at.is_some(),
            _ => w.is_done(id),
        });
        let well = well.count();
        if well * 2 < jobs.len() {
            return Err(format!("{name}: {well} of {} served", jobs.len()));
        }
    }
    Ok(())
}

fn zones(w: &Simulation) -> Result<(), String> {
    let mut by_job: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for m in w.agents.values().filter(|m| !m.gone) {
        for ((id, _), _) in m.tasks.iter().filter(|(_, h)| h.on()) {
            *by_job.entry(&id.0).or_default().entry(&m.zone).or_default() += 1;
        }
    }
    for (id, zones) in by_job {
        let spec = &w.jobs[id].spec;
        if spec.one_zone && zones.len() > 1 {
            return Err(format!("wrong_place: {id} in {zones:?}"));
        }
        if zones.values().any(|n| *n > spec.per_zone()) {
            return Err(format!("wrong_place: {id} not spread: {zones:?}"));
        }
    }
    Ok(())
}

/// A job that needs a cancelled one is told to be withdrawn by every node that can read the records.
fn orphaned(w: &Simulation, id: &str, at: Micros) -> Result<(), String> {
    for n in &w.nodes {
        let able =
            n.is_up(w.now) && n.controller.is_synced() && n.records().revision == w.store.rev;
        if able && n.records().state(id) != Some(JobState::Cancelled) {
            return Err(format!("orphaned: {id} by {}", n.name));
        }
    }
    if w.now.since(at) > w.times.cancel && w.running(id) > 0 {
        return Err(format!("orphaned: {id} still runs"));
    }
    Ok(())
}

fn outcomes(w: &Simulation) -> Result<(), String> {
    for (id, job) in &w.jobs {
        // Once all troubles are over, every node answers questions about every accepted job.
        if job.accepted && job.spec.can_ever_run(w.catalog(), &w.teams).is_err() {
            return Err(format!("accepted: {id} can never run"));
        }
        if let Some(since) = job.waits_since {
            let waited = w.now.since(since.max(w.still_since));
            if waited > WAIT {
                return Err(format!("waits: {id} beside room that fits"));
            }
        }
        if job.accepted {
            for (n, at) in job.answered.iter().enumerate() {
                let unanswered = w.now.since((*at).max(w.calm_since));
                if unanswered > Micros::from_secs(75) {
                    return Err(format!("forgotten: {id} by {}", w.nodes[n].name));
                }
            }
        }
        let Some(entry) = w.store.keys.get(&job_key(id)) else {
            if job.accepted {
                return Err(format!("forgotten: {id}"));
            }
            continue;
        };
        let rec: JobRecord =
            serde_json::from_str(&entry.value).map_err(|e| format!("{id}: unreadable: {e}"))?;
        if let Some(at) = job.withdrawn_at {
            orphaned(w, id, at)?;
        }
        match rec.state {
            JobState::Done => {
                let here = w.done.get(id).map_or(0, |d| d.len() as u32);
                let done = match w.done_elsewhere.contains(id) {
                    true => job.spec.tasks,
                    false => here,
                };
                if done < job.spec.tasks {
                    return Err(format!("not_done: {id} with {done} of {}", job.spec.tasks));
                }
                if job.cancelled_at.or(job.withdrawn_at).is_some() {
                    return Err(format!("went_back: {id} was cancelled, now done"));
                }
            }
            JobState::Cancelled if job.cancelled_at.or(job.withdrawn_at).is_none() => {
                return Err(format!("went_back: {id} is cancelled by nobody"));
            }
            JobState::Active if job.cancelled_at.is_some() => {
                return Err(format!("went_back: {id} was cancelled, now active"));
            }
            _ => {}
        }
    }
    Ok(())
}
