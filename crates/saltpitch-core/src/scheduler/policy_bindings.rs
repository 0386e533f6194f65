//! The operators' policy, applied to jobs, machine types and the site.

use super::Scheduler;
use crate::catalog::MachineType;
use crate::job::{JobKind, JobSpec, Priority};
use crate::policy::Value;
use crate::time::Micros;

fn units(milli: u64) -> Value {
    Value::Number(milli as f64 / 1e3)
}

fn type_value(t: &MachineType, spot: bool, name: &str) -> Option<Value> {
    Some(match name {
        "type.name" => Value::Text(t.name.clone()),
        "type.cpus" => units(t.size.cpu),
        "type.gpus" => units(t.size.gpu),
        "type.mem_gb" => units(t.size.mem),
        "type.price" => units(t.price_of(spot)),
        "type.boot_s" => Value::Number(t.boot.as_secs_f64()),
        "type.spot" => Value::Bool(spot),
        _ => return None,
    })
}

fn job_value(s: &JobSpec, name: &str) -> Option<Value> {
    let word = |w: &str| Value::Text(w.to_owned());
    Some(match name {
        "job.class" => Value::Text(s.class.clone()),
        "job.team" => Value::Text(s.team.clone()),
        "job.kind" => word(match s.kind {
            JobKind::Array => "array",
            JobKind::Gang => "gang",
            JobKind::Service => "service",
        }),
        "job.priority" => word(match s.priority {
            Priority::Production => "production",
            Priority::High => "high",
            Priority::Normal => "normal",
            Priority::Low => "low",
        }),
        "job.tasks" => Value::Number(f64::from(s.tasks)),
        "job.cpus" => units(s.need.cpu),
        "job.gpus" => units(s.need.gpu),
        "job.mem_gb" => units(s.need.mem),
        "job.estimate_s" => Value::Number(s.estimate.as_secs_f64()),
        _ => return None,
    })
}

impl Scheduler {
    fn cluster(&self) -> impl Fn(&str) -> Option<Value> {
        let (machines, jobs) = (self.inventory.len() as f64, self.job_table.len() as f64);
        move |name| match name {
            "cluster.machines" => Some(Value::Number(machines)),
            "cluster.jobs" => Some(Value::Number(jobs)),
            _ => None,
        }
    }

    /// Evaluates the rules that don't hang on a single job.
    pub(super) fn apply_policy(&mut self) {
        let cluster = self.cluster();
        let policy = &mut self.config.policy;
        let batch_target = Micros::from_secs_f64(policy.number("drain_s", &cluster));
        self.autoscaler.set_batch_completion_target(batch_target);
        for g in self.inventory.groups_mut() {
            let scope = |n: &str| type_value(&g.kind, g.spot, n).or_else(|| cluster(n));
            let idle_keep = policy.number("idle_keep_s", &scope);
            g.set_idle_keep(Micros::from_secs_f64(idle_keep));
        }
    }

    pub(super) fn gang_hold(&mut self, spec: &JobSpec) -> Micros {
        let cluster = self.cluster();
        let scope = |n: &str| job_value(spec, n).or_else(|| cluster(n));
        Micros::from_secs_f64(self.config.policy.number("gang_wait_s", &scope))
    }

    pub(super) fn spot_wanted(&mut self, spec: &JobSpec) -> bool {
        let cluster = self.cluster();
        let scope = |n: &str| job_value(spec, n).or_else(|| cluster(n));
        spec.spot && self.config.policy.flag("use_spot", &scope)
    }

    pub(super) fn dear_ratio(&mut self, spec: &JobSpec) -> f64 {
        let cluster = self.cluster();
        let scope = |n: &str| job_value(spec, n).or_else(|| cluster(n));
        self.config.policy.number("dear_ratio", &scope)
    }

    pub(super) fn consolidates(&mut self) -> bool {
        let cluster = self.cluster();
        self.config.policy.flag("consolidate", &cluster)
    }
}
