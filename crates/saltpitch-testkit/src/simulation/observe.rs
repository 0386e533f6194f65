//! What users and operators see of the site: answers to status queries, and jobs that wait although
//! machines have room for them.

use std::collections::{BTreeMap, BTreeSet};

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobState};
use saltpitch_core::Micros;

use super::{Faults, Simulation, UserJob};
use crate::agents::Agent;
use crate::nodes::Node;

/// A machine's free resources count only after it has been up for this long.
const SETTLED_AFTER: Micros = Micros::from_secs(10);

/// The resources in use and those that are free, as seen on the machines.
struct Usage<'a> {
    used_by_team: BTreeMap<&'a str, Resources>,
    placed_tasks: BTreeMap<&'a str, BTreeSet<u32>>,
    free: Vec<(&'a Agent, Resources)>,
}

impl Simulation {
    /// Queries every controller for the status of every job. Each controller in service has to know each
    /// job, by itself or through a peer that reaches the store.
    pub(super) fn query_jobs(&mut self) {
        self.note_health();
        let now = self.now;
        if !self.are_reads_delayed() {
            self.read_all_copies();
        }
        let knows = |node: &Node, id: &str| {
            node.is_up(now)
                && node.can_reach_store(&self.store, now)
                && node.job_state(id, &self.store).is_some()
        };
        for (id, job) in &mut self.jobs {
            let known = self.nodes.iter().any(|node| knows(node, id));
            for (node_index, node) in self.nodes.iter().enumerate() {
                let state = node.job_state(id, &self.store);
                self.trace.event("status", now).text(id);
                self.trace
                    .number(node_index as u64)
                    .number(state_number(state));
                if node.is_up(now) && known {
                    job.last_answered_at[node_index] = now;
                }
            }
        }
        self.note_started();
    }

    /// Lets every controller that reaches the store read the records.
    fn read_all_copies(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let is_running = node.is_up(now) && node.remaining_pause(now) == Micros::ZERO;
            if node.is_started && node.can_reach_store(&self.store, now) && is_running {
                node.read_records(&self.store, now);
            }
        }
    }

    /// Notes the last time at which the site had a fault or one could be drawn.
    fn note_health(&mut self) {
        let now = self.now;
        let controllers_or_store = self.has_controller_fault();
        let machines_or_links = self.has_machine_fault();
        let may_draw_faults = now < self.faults_end_at;
        let any_fault_enabled = may_draw_faults && self.faults != Faults::default();
        if controllers_or_store || machines_or_links || any_fault_enabled {
            self.site_healthy_since = now;
        }
        if controllers_or_store || (may_draw_faults && self.faults.has_controller_faults()) {
            self.controllers_healthy_since = now;
        }
    }

    /// Returns whether the store, a controller or the link between the zones has a fault now.
    fn has_controller_fault(&self) -> bool {
        let now = self.now;
        let is_faulty = |node: &Node| {
            now < node.store_partition_until
                || now < node.agent_partition_until
                || now < node.peer_partition_until
                || !node.is_up(now)
                || node.remaining_pause(now) > Micros::ZERO
        };
        self.store.is_down || now < self.zone_partition_until || self.nodes.iter().any(is_faulty)
    }

    /// Returns whether a machine hangs or is partitioned now, or messages or writes are delayed.
    fn has_machine_fault(&self) -> bool {
        let now = self.now;
        let is_faulty = |agent: &Agent| {
            !agent.is_gone
                && (now < agent.hung_until
                    || now < agent.inbound_partition_until
                    || now < agent.outbound_partition_until)
        };
        now < self.delayed_writes_until
            || now < self.slow_links_until
            || self.agents.values().any(is_faulty)
    }

    /// Notes which jobs run for the first time: an array runs with any task, other jobs with all of them.
    fn note_started(&mut self) {
        let not_begun = self.jobs.iter().filter(|(_, job)| job.started_at.is_none());
        let ids: Vec<String> = not_begun.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let running = self.running_tasks(&id) as u32;
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id) {
                let needed = if job.spec.kind == JobKind::Array {
                    1
                } else {
                    job.spec.tasks
                };
                if running >= needed {
                    job.started_at = Some(now);
                }
            }
        }
    }

    /// Notes which jobs wait, without any fault, although machines have room for them.
    pub(super) fn note_waiting(&mut self) {
        let now = self.now;
        let is_healthy = self.site_healthy_since < now;
        let usage = self.usage();
        let waits: Vec<(String, bool)> = self
            .jobs
            .iter()
            .map(|(id, job)| (id.clone(), self.could_run(id, job, &usage) && is_healthy))
            .collect();
        for (id, waits) in waits {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.waiting_since = waits.then(|| job.waiting_since.unwrap_or(now));
            }
        }
    }

    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage {
            used_by_team: BTreeMap::new(),
            placed_tasks: BTreeMap::new(),
            free: Vec::new(),
        };
        for agent in self.agents.values().filter(|agent| !agent.is_gone) {
            let mut free = agent.size;
            let active = agent
                .tasks
                .iter()
                .filter(|(_, agent_task)| !agent_task.has_exited());
            for ((id, _), _) in active {
                if let Some(job) = self.jobs.get(&id.0) {
                    free = free.minus(&job.spec.need);
                    let used = usage.used_by_team.entry(&job.spec.team).or_default();
                    *used = used.plus(&job.spec.need);
                    usage.placed_tasks.entry(&id.0).or_default().insert(id.1);
                }
            }
            if self.can_take_tasks(agent) {
                usage.free.push((agent, free));
            }
        }
        usage
    }

    /// Returns whether a machine is up, reachable and not about to be taken back.
    fn can_take_tasks(&self, agent: &Agent) -> bool {
        let now = self.now;
        agent.is_up(now)
            && now >= agent.inbound_partition_until
            && now >= agent.outbound_partition_until
            && agent.spot_notice.is_none()
            && now.since(agent.up_at) > SETTLED_AFTER
    }

    /// Returns whether a job has no task on a machine although its team is under its limit and the free
    /// machines have room for the next task of an array, or for all tasks of another job.
    fn could_run(&self, id: &str, job: &UserJob, usage: &Usage) -> bool {
        let spec = &job.spec;
        let placed = usage.placed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        let done = self.completed_tasks.get(id).map_or(0, BTreeSet::len) as u32;
        let left = spec.tasks.saturating_sub(placed + done);
        if !self.is_ready(id, job) || spec.spread || placed > 0 || left == 0 {
            return false;
        }
        let wanted = u64::from(if spec.kind == JobKind::Array { 1 } else { left });
        let used = usage.used_by_team.get(spec.team.as_str());
        let used = used.copied().unwrap_or_default();
        let team = self.teams.iter().find(|team| team.name == spec.team);
        if team.is_none_or(|team| team.tasks_allowed(&used, &spec.need) < wanted) {
            return false;
        }
        let fitting_tasks = |zone: Option<&str>| -> u64 {
            usage
                .free
                .iter()
                .filter(|(agent, _)| zone.is_none_or(|zone| zone == agent.zone))
                .filter(|(agent, _)| spec.allows(&agent.type_name, &agent.zone, agent.spot))
                .map(|(_, free)| spec.need.count_in(free))
                .sum()
        };
        let fitting = if spec.one_zone {
            fitting_tasks(Some("east")).max(fitting_tasks(Some("west")))
        } else {
            fitting_tasks(None)
        };
        fitting >= wanted
    }

    /// Returns whether a job is in this cell and active, and all jobs that it depends on are done.
    fn is_ready(&self, id: &str, job: &UserJob) -> bool {
        let mut dependencies = job.spec.dependencies.iter();
        job.is_accepted
            && !job.is_delegated
            && !job.always_fails
            && job.cancelled_at.is_none()
            && job.dependency_cancelled_at.is_none()
            && dependencies.all(|dependency| self.is_done(dependency))
            && !self.is_done(id)
    }
}

/// Returns the number that stands for a job's state in the trace.
fn state_number(state: Option<JobState>) -> u64 {
    match state {
        None => 0,
        Some(JobState::Active) => 1,
        Some(JobState::Done) => 2,
        Some(JobState::Cancelled) => 3,
    }
}
