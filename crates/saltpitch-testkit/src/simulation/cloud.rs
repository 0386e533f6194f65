//! The cloud: scale-out requests and its list of machines.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use saltpitch_core::scheduler::{ListedMachine, ScaleOutOutcome};
use saltpitch_core::Micros;

use super::Simulation;
use crate::agents::{Agent, AgentTask};

/// The provisioning time of a machine that never boots: longer than any history.
const NEVER_PROVISIONED: Micros = Micros::from_secs(1_000_000);
/// The provisioning time of a machine that boots late.
const LATE_PROVISIONING: Micros = Micros::from_secs(45);
/// The age that the cloud's list gives for each machine.
const LISTED_AGE: Micros = Micros::from_secs(10);

/// A scale-out request. Repeating a request returns the same machines.
pub(super) struct ScaleOutRequest {
    pub(super) id: String,
    pub(super) type_name: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) count: u32,
}

impl Simulation {
    /// Provisions the requested machines as far as the cloud has capacity.
    pub(super) fn scale_out(&mut self, request: &ScaleOutRequest) -> ScaleOutOutcome {
        if let Some(names) = self.machines_by_request.get(&request.id) {
            return ScaleOutOutcome::Machines(names.clone());
        }
        let in_pool = |agent: &&Agent| {
            !agent.is_gone
                && agent.type_name == request.type_name
                && agent.zone == request.zone
                && agent.spot == request.spot
        };
        let present = self.agents.values().filter(in_pool).count() as u32;
        let count = request
            .count
            .min(self.machine_limit.saturating_sub(present));
        if count == 0 {
            return ScaleOutOutcome::NoCapacity;
        }
        let names: Vec<String> = (0..count)
            .map(|_| self.provision_machine(request))
            .collect();
        self.machines_by_request
            .insert(request.id.clone(), names.clone());
        ScaleOutOutcome::Machines(names)
    }

    /// Takes machines back. Counts those that were up and running tasks.
    pub(super) fn scale_in(&mut self, names: &[Arc<str>]) {
        let now = self.now;
        for name in names {
            let Some(agent) = self.agents.get_mut(&**name) else {
                continue;
            };
            let is_busy = agent.tasks.values().any(AgentTask::counts_as_running);
            let is_returned_busy = !agent.is_gone && agent.is_up(now) && is_busy;
            self.busy_machines_returned += u64::from(is_returned_busy);
            agent.is_gone = true;
        }
    }

    /// Provisions one machine and returns its name. With machine faults some machines boot late or never,
    /// and some run tasks slowly.
    fn provision_machine(&mut self, request: &ScaleOutRequest) -> String {
        self.next_machine += 1;
        let name = format!("vm-{:06}", self.next_machine);
        let faulty = self.faults.machine_failures && self.now < self.faults_end_at;
        let provisioning = match self.random_below(12) {
            0 if faulty => NEVER_PROVISIONED,
            1 if faulty => LATE_PROVISIONING,
            _ => Micros::from_secs(1 + self.random_below(14)),
        };
        let is_slow = faulty && self.random_below(6) == 0;
        let target_node = self.random_below(3) as usize;
        let up_at = self.now.plus(provisioning);
        let machine_type = self.catalog.get(&request.type_name);
        let agent = Agent {
            name: name.clone(),
            type_name: request.type_name.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            size: machine_type.map(|known| known.size).unwrap_or_default(),
            is_slow,
            up_at,
            is_gone: false,
            hung_until: Micros::ZERO,
            inbound_partition_until: Micros::ZERO,
            outbound_partition_until: Micros::ZERO,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_at: up_at,
            spot_notice: None,
            tasks: BTreeMap::new(),
            forgotten_attempts: BTreeSet::new(),
            target_node,
            next_heartbeat_at: Micros::ZERO,
            pending_heartbeat: None,
            has_changes: false,
        };
        self.agents.insert(name.clone(), agent);
        name
    }

    /// Sends the cloud's list of machines to a leader; the list is up to 12 s old when it arrives.
    pub(super) fn list_machines(&mut self, node_index: usize) {
        let listed = |agent: &Agent| ListedMachine {
            name: agent.name.clone(),
            addr: agent.name.clone(),
            type_name: agent.type_name.clone(),
            zone: agent.zone.clone(),
            spot: agent.spot,
            failed: false,
            age: LISTED_AGE,
        };
        let present = self.agents.values().filter(|agent| !agent.is_gone);
        let list: Vec<ListedMachine> = present.map(listed).collect();
        let epoch = self.nodes[node_index].epoch();
        let lag = Micros::from_secs(self.random_below(12));
        self.schedule_after(lag, move |simulation| {
            let records = simulation.nodes[node_index].records();
            let returned = records.returned_machines.clone();
            simulation.notify_scheduler(node_index, epoch, move |scheduler, now| {
                scheduler.machines_listed(&list, &|machine| returned.contains(machine), now)
            });
        });
    }
}
