//! Applies the operators' policy to jobs, machine types and the site: supplies the variables of its
//! rules and evaluates them.

use super::Scheduler;
use crate::catalog::MachineType;
use crate::job::{JobKind, JobSpec, Priority};
use crate::policy::{rule, Value};
use crate::time::Micros;

/// Returns a variable in whole units for an amount that is kept in thousandths.
fn from_thousandths(amount: u64) -> Value {
    Value::Number(amount as f64 / 1e3)
}

/// Returns a variable of a machine type.
fn type_variable(machine_type: &MachineType, spot: bool, name: &str) -> Option<Value> {
    Some(match name {
        "type.name" => Value::Text(machine_type.name.clone()),
        "type.cpus" => from_thousandths(machine_type.size.cpu),
        "type.gpus" => from_thousandths(machine_type.size.gpu),
        "type.mem_gb" => from_thousandths(machine_type.size.mem),
        "type.price" => from_thousandths(machine_type.price_of(spot)),
        "type.boot_s" => Value::Number(machine_type.boot.as_secs_f64()),
        "type.spot" => Value::Bool(spot),
        _ => return None,
    })
}

/// Returns a variable of a job.
fn job_variable(spec: &JobSpec, name: &str) -> Option<Value> {
    Some(match name {
        "job.class" => Value::Text(spec.class.clone()),
        "job.team" => Value::Text(spec.team.clone()),
        "job.kind" => Value::Text(kind_name(spec.kind).to_owned()),
        "job.priority" => Value::Text(priority_name(spec.priority).to_owned()),
        "job.tasks" => Value::Number(f64::from(spec.tasks)),
        "job.cpus" => from_thousandths(spec.need.cpu),
        "job.gpus" => from_thousandths(spec.need.gpu),
        "job.mem_gb" => from_thousandths(spec.need.mem),
        "job.estimate_s" => Value::Number(spec.estimate.as_secs_f64()),
        _ => return None,
    })
}

/// Returns the name of a job kind in policies.
fn kind_name(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Array => "array",
        JobKind::Gang => "gang",
        JobKind::Service => "service",
    }
}

/// Returns the name of a priority in policies.
fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Production => "production",
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::Low => "low",
    }
}

impl Scheduler {
    /// Returns a lookup of the site's variables.
    fn cluster_variables(&self) -> impl Fn(&str) -> Option<Value> {
        let machines = self.inventory.len() as f64;
        let jobs = self.job_table.len() as f64;
        move |name| match name {
            "cluster.machines" => Some(Value::Number(machines)),
            "cluster.jobs" => Some(Value::Number(jobs)),
            _ => None,
        }
    }

    /// Evaluates the rules that do not depend on a job.
    pub(super) fn apply_policy(&mut self) {
        let cluster = self.cluster_variables();
        let policy = &mut self.config.policy;
        let batch_target = policy.number(rule::BATCH_COMPLETION_TARGET, &cluster);
        let batch_target = Micros::from_secs_f64(batch_target);
        self.autoscaler.set_batch_completion_target(batch_target);
        for group in self.inventory.groups_mut() {
            let variables = |name: &str| {
                type_variable(&group.machine_type, group.spot, name).or_else(|| cluster(name))
            };
            let idle_keep = policy.number(rule::IDLE_KEEP, &variables);
            group.set_idle_keep(Micros::from_secs_f64(idle_keep));
        }
    }

    /// Evaluates a numeric rule that may depend on a job.
    fn job_rule(&mut self, rule: &'static str, spec: &JobSpec) -> f64 {
        let cluster = self.cluster_variables();
        let variables = |name: &str| job_variable(spec, name).or_else(|| cluster(name));
        self.config.policy.number(rule, &variables)
    }

    /// Returns how long the members of an incomplete gang keep their capacity.
    pub(super) fn gang_wait_limit(&mut self, spec: &JobSpec) -> Micros {
        Micros::from_secs_f64(self.job_rule(rule::GANG_WAIT, spec))
    }

    /// Whether both the job and the policy allow spot machines for it.
    pub(super) fn may_use_spot(&mut self, spec: &JobSpec) -> bool {
        let cluster = self.cluster_variables();
        let variables = |name: &str| job_variable(spec, name).or_else(|| cluster(name));
        spec.spot && self.config.policy.flag(rule::USE_SPOT, &variables)
    }

    /// Returns the price ratio to the cheapest machine above which machines are ordered for urgent work
    /// only.
    pub(super) fn max_price_ratio(&mut self, spec: &JobSpec) -> f64 {
        self.job_rule(rule::MAX_PRICE_RATIO, spec)
    }

    /// Whether replicas are moved off expensive or nearly empty machines.
    pub(super) fn is_consolidation_enabled(&mut self) -> bool {
        let cluster = self.cluster_variables();
        self.config.policy.flag(rule::CONSOLIDATE, &cluster)
    }
}
