//! The rules of the protocol, checked after each step.

use std::collections::BTreeMap;

use saltpitch_core::catalog::Res;
use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, JobRecord};

use crate::world::World;

/// The first rule that the world as it stands breaks.
pub fn check(w: &World) -> Result<(), String> {
    let mut on: BTreeMap<(&str, u32), &str> = BTreeMap::new();
    let mut used: BTreeMap<&str, Res> = BTreeMap::new();
    for m in w.workers.values().filter(|m| !m.gone) {
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
                // A machine that hangs runs nothing, and its lease ends it before it resumes.
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

fn zones(w: &World) -> Result<(), String> {
    let mut by_job: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for m in w.workers.values().filter(|m| !m.gone) {
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

fn outcomes(w: &World) -> Result<(), String> {
    for (id, job) in &w.jobs {
        let Some(entry) = w.store.keys.get(&job_key(id)) else {
            if job.accepted {
                return Err(format!("forgotten: {id}"));
            }
            continue;
        };
        let rec: JobRecord =
            serde_json::from_str(&entry.value).map_err(|e| format!("{id}: unreadable: {e}"))?;
        match rec.state {
            JobState::Done => {
                let done = w.done.get(id).map_or(0, |d| d.len() as u32);
                if done < job.spec.tasks {
                    return Err(format!("not_done: {id} with {done} of {}", job.spec.tasks));
                }
                if job.cancelled_at.is_some() {
                    return Err(format!("went_back: {id} was cancelled, now done"));
                }
            }
            JobState::Cancelled if job.cancelled_at.is_none() => {
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
