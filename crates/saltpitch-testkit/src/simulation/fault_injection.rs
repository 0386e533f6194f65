//! Faults drawn from the seed.
//!
//! The order of the draws is part of a seed's history: a new kind of fault is drawn after all others, and
//! draws nothing while it is switched off.

use rand::Rng;
use saltpitch_core::Micros;

use super::Simulation;
use crate::agents::Agent;

/// The length of one tick in seconds.
const TICK_S: f64 = 0.1;

/// How long before the cloud takes a spot machine back its agent is notified.
const SPOT_NOTICE: Micros = Micros::from_secs(8);

impl Simulation {
    /// Draws whether a fault that occurs `per_s` times a second occurs in this tick.
    pub(super) fn draw_fault(&mut self, enabled: bool, per_s: f64) -> bool {
        enabled && self.now < self.faults_end_at && self.rng.random_bool(per_s * TICK_S)
    }

    /// Draws which faults begin in this tick.
    pub(super) fn inject_faults(&mut self) {
        self.inject_crashes();
        self.inject_controller_partition();
        self.inject_zone_partition();
        self.inject_process_pause();
        self.inject_store_outage();
        self.inject_inbound_partition();
        self.inject_outbound_partition();
        self.inject_machine_fault();
    }

    /// Crashes one controller's process, or all of them at once.
    fn inject_crashes(&mut self) {
        if self.draw_fault(self.faults.crashes, 0.02) {
            let node_index = self.random_below(3) as usize;
            self.crash(node_index);
        }
        if self.draw_fault(self.faults.crashes, 0.004) {
            for node_index in 0..3 {
                self.crash(node_index);
            }
        }
    }

    /// Partitions a controller from the store, from the agents, or from both.
    fn inject_controller_partition(&mut self) {
        if !self.draw_fault(self.faults.controller_partitions, 0.02) {
            return;
        }
        let node_index = self.random_below(3) as usize;
        let until = self.draw_time(3, 40);
        let kind = self.random_below(3);
        let node = &mut self.nodes[node_index];
        match kind {
            0 => node.store_partition_until = until,
            1 => node.agent_partition_until = until,
            _ => {
                node.store_partition_until = until;
                node.agent_partition_until = until;
            }
        }
    }

    fn inject_zone_partition(&mut self) {
        if self.draw_fault(self.faults.zone_partitions, 0.02)
            && self.now >= self.zone_partition_until
        {
            self.zone_partition_until = self.draw_time(3, 30);
        }
    }

    fn inject_process_pause(&mut self) {
        if self.draw_fault(self.faults.process_pauses, 0.02) {
            let node_index = self.random_below(3) as usize;
            self.nodes[node_index].paused_until = self.draw_time(1, 45);
        }
    }

    fn inject_store_outage(&mut self) {
        if self.draw_fault(self.faults.store_outages, 0.01) {
            self.store.is_down = true;
            let wait = Micros::from_secs(2 + self.random_below(25));
            self.schedule_after(wait, |simulation| simulation.store.is_down = false);
        }
    }

    fn inject_inbound_partition(&mut self) {
        if self.draw_fault(self.faults.inbound_partitions, 0.03) && !self.agents.is_empty() {
            let until = self.draw_time(3, 60);
            self.for_up_to_three_agents(|agent| agent.inbound_partition_until = until);
        }
    }

    fn inject_outbound_partition(&mut self) {
        if self.draw_fault(self.faults.outbound_partitions, 0.03) && !self.agents.is_empty() {
            let until = self.draw_time(3, 60);
            self.for_up_to_three_agents(|agent| agent.outbound_partition_until = until);
        }
    }

    /// Makes a machine disappear or hang, or takes it back if it is a spot machine.
    fn inject_machine_fault(&mut self) {
        if !self.draw_fault(self.faults.machine_failures, 0.05) || self.agents.is_empty() {
            return;
        }
        let now = self.now;
        let index = self.random_below(self.agents.len() as u64) as usize;
        let kind = self.random_below(3);
        let hung_for = Micros::from_secs(1 + self.random_below(25));
        let Some(agent) = self.agents.values_mut().nth(index) else {
            return;
        };
        match kind {
            0 => agent.is_gone = true,
            1 => agent.hung_until = now.plus(hung_for),
            _ if agent.spot => {
                agent.spot_notice = Some(SPOT_NOTICE);
                agent.has_changes = true;
                let name = agent.name.clone();
                self.schedule_after(SPOT_NOTICE, move |simulation| {
                    if let Some(agent) = simulation.agents.get_mut(&name) {
                        agent.is_gone = true;
                    }
                });
            }
            _ => {}
        }
    }

    /// Draws a time that is at least `least` and less than `least + range` seconds from now.
    fn draw_time(&mut self, least: u64, range: u64) -> Micros {
        let wait = Micros::from_secs(least + self.random_below(range));
        self.now.plus(wait)
    }

    /// Applies a change to one to three drawn agents; the same agent may be drawn more than once.
    fn for_up_to_three_agents(&mut self, change: impl Fn(&mut Agent)) {
        for _ in 0..1 + self.random_below(3) {
            let index = self.random_below(self.agents.len() as u64) as usize;
            if let Some(agent) = self.agents.values_mut().nth(index) {
                change(agent);
            }
        }
    }

    /// Crashes a controller's process. A third of the processes restart after 0.2 s, the others after 5 s.
    pub fn crash(&mut self, node_index: usize) {
        let wait = if self.random_below(3) == 0 {
            Micros::from_millis(200)
        } else {
            Micros::from_secs(5)
        };
        self.crash_for(node_index, wait);
    }

    /// Crashes a controller's process, which restarts after this time.
    pub fn crash_for(&mut self, node_index: usize, wait: Micros) {
        let up_at = self.now.plus(wait);
        self.nodes[node_index].crash(up_at);
    }
}
