//! What users and operators see of the site: answers about jobs, and jobs that wait although machines are
//! free.

use std::collections::{BTreeMap, BTreeSet};

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobState};
use saltpitch_core::Micros;

use super::{Faults, Simulation, UserJob};
use crate::agents::Agent;
use crate::nodes::Node;

/// A machine counts as free once it has been up for this long.
const SETTLED_AFTER: Micros = Micros::from_secs(10);

/// What is in use and what is free, as the machines have it.
struct Usage<'a> {
    used_by_team: BTreeMap<&'a str, Resources>,
    placed_tasks: BTreeMap<&'a str, BTreeSet<u32>>,
    free: Vec<(&'a Agent, Resources)>,
}

impl Simulation {
    /// Users ask about every job, and every controller that is in service has to know each of them: by
    /// itself, or through a peer that has the store.
    pub(super) fn query_jobs(&mut self) {
        self.note_health();
        let now = self.now;
        for node in &mut self.nodes {
            let awake = node.is_up(now) && node.remaining_pause(now) == Micros::ZERO;
            if node.is_started && node.can_reach_store(&self.store, now) && awake {
                node.read_records(&self.store, now);
            }
        }
        let knows = |node: &Node, id: &str| {
            node.is_up(now)
                && node.can_reach_store(&self.store, now)
                && node.records().jobs.contains_key(id)
        };
        for (id, job) in &mut self.jobs {
            let known = self.nodes.iter().any(|node| knows(node, id));
            for (node_index, node) in self.nodes.iter().enumerate() {
                let state = node.records().job_state(id);
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

    /// Notes the last time at which something was wrong with the site.
    fn note_health(&mut self) {
        let now = self.now;
        let controllers_or_store = self.has_controller_fault();
        let machines_or_links = self.has_machine_fault();
        let faults_ahead = now < self.faults_end_at;
        let any_drawn = faults_ahead && self.faults != Faults::default();
        if controllers_or_store || machines_or_links || any_drawn {
            self.site_healthy_since = now;
        }
        if controllers_or_store || (faults_ahead && self.faults.has_controller_faults()) {
            self.controllers_healthy_since = now;
        }
    }

    /// Whether the store, a controller or the link between the zones fails now.
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

    /// Whether a machine hangs or is partitioned now, or messages take long.
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

    /// Notes which jobs run for the first time: an array with any task, the others with all of them.
    fn note_started(&mut self) {
        let not_begun = self.jobs.iter().filter(|(_, job)| job.started_at.is_none());
        let ids: Vec<String> = not_begun.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let running = self.running_tasks(&id) as u32;
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id) {
                let least = if job.spec.kind == JobKind::Array {
                    1
                } else {
                    job.spec.tasks
                };
                if running >= least {
                    job.started_at = Some(now);
                }
            }
        }
    }

    /// Notes which jobs wait in calm although machines have room for what they need at a time.
    pub(super) fn note_waiting(&mut self) {
        let now = self.now;
        let still = self.site_healthy_since < now;
        let usage = self.usage();
        let waits: Vec<(String, bool)> = self
            .jobs
            .iter()
            .map(|(id, job)| (id.clone(), self.could_run(id, job, &usage) && still))
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
            let active = agent.tasks.iter().filter(|(_, held)| !held.has_exited());
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

    /// Whether a machine is up, reachable and not about to be taken back.
    fn can_take_tasks(&self, agent: &Agent) -> bool {
        let now = self.now;
        agent.is_up(now)
            && now >= agent.inbound_partition_until
            && now >= agent.outbound_partition_until
            && agent.spot_notice.is_none()
            && now.since(agent.up_at) > SETTLED_AFTER
    }

    /// Whether nothing of a job runs although its team is under its limit and the free machines would
    /// take an array's next task, or all tasks of another job.
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

    /// Whether a job is this cell's, active, and has all that it depends on.
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

/// A job's state as the trace writes it.
fn state_number(state: Option<JobState>) -> u64 {
    match state {
        None => 0,
        Some(JobState::Active) => 1,
        Some(JobState::Done) => 2,
        Some(JobState::Cancelled) => 3,
    }
}
