//! A machine in the scheduler's memory: its life, its agent, and the tasks that are assumed on it.
//!
//! Each aspect is a component that keeps its own invariant behind private fields; [`Machine`] holds them and
//! has what needs more than one.

mod agent_state;
mod allocation_set;
mod command_channel;
mod connectivity;
mod cordon;
mod image_cache;
mod inbound_partition;
mod lease;
mod lifecycle;
mod outbound_partition;
mod probes;
mod status;

use std::sync::Arc;

use crate::catalog::{MachineType, Resources};
use crate::job::{JobNumber, JobSpec};
use crate::machine_index::IndexEntry;
use crate::time::Micros;

pub use agent_state::AgentState;
pub use allocation_set::AllocationSet;
pub use command_channel::{CommandChannel, UnacknowledgedStart};
pub use connectivity::Connectivity;
pub use cordon::Cordon;
pub use image_cache::{ImageChanges, LocalImages};
pub use inbound_partition::{AnswerEvidence, InboundPartition};
pub use lease::AgentLease;
pub use lifecycle::{Lifecycle, MachinePhase};
pub use outbound_partition::OutboundPartition;
pub use probes::Probes;
pub use status::{StatusChanges, StatusContext};

/// One machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name, which the cloud never gives again.
    pub name: Arc<str>,
    /// Its type.
    pub machine_type: Arc<MachineType>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Where its agent takes direct calls; empty while unknown.
    pub addr: String,
    /// From its order to its return.
    pub lifecycle: Lifecycle,
    /// The agent's epoch, statuses and fencing token.
    pub agent: AgentState,
    /// The agent's lease.
    pub lease: AgentLease,
    /// Whether the agent and this leader reach each other.
    pub connectivity: Connectivity,
    /// Direct commands to the agent.
    pub commands: CommandChannel,
    /// The tasks on the machine.
    pub allocations: AllocationSet,
    /// The images on the machine.
    pub images: LocalImages,
    /// Whether it is closed to new tasks.
    pub cordon: Cordon,
    /// What the machine index knows of it; changed by the index only.
    pub index_entry: IndexEntry,
    /// When its health is checked next; changed by the inventory only.
    pub next_check_at: Micros,
    /// The block of machine records that it is in.
    pub block: Option<u32>,
}

impl Machine {
    /// A machine that has not been heard by this leader.
    pub fn new(
        name: &str,
        machine_type: Arc<MachineType>,
        zone: Arc<str>,
        spot: bool,
        addr: &str,
        now: Micros,
    ) -> Machine {
        Machine {
            name: name.into(),
            machine_type,
            zone,
            spot,
            addr: addr.to_owned(),
            lifecycle: Lifecycle::new(now),
            agent: AgentState::default(),
            lease: AgentLease::default(),
            connectivity: Connectivity::default(),
            commands: CommandChannel::default(),
            allocations: AllocationSet::new(now),
            images: LocalImages::default(),
            cordon: Cordon::default(),
            index_entry: IndexEntry::default(),
            next_check_at: Micros::ZERO,
            block: None,
        }
    }

    /// What no task takes.
    pub fn free(&self) -> Resources {
        self.machine_type.size.minus(&self.allocations.used())
    }

    /// Whether the agent was heard by this leader and no return is intended.
    pub fn is_up(&self) -> bool {
        self.lifecycle.is_up()
    }

    /// Whether new tasks may be placed here now.
    pub fn is_schedulable(&self) -> bool {
        self.is_up()
            && self.lifecycle.is_recorded()
            && self.agent.is_fenced()
            && !self.cordon.is_active()
            && self.lifecycle.spot_notice().is_none()
            && self.connectivity.is_reachable()
            && !self.allocations.has_running_unowned()
    }

    /// Processors that batch work takes or may take.
    pub fn batch_cpu(&self) -> u64 {
        let steady = self.allocations.steady_cpu();
        self.machine_type.size.cpu.saturating_sub(steady)
    }

    /// How long it would take to have the largest of its images elsewhere.
    pub fn max_image_fetch_time(&self) -> Micros {
        self.machine_type.fetch_time(self.images.largest_mb())
    }

    /// A task is no longer placed here.
    pub fn release(&mut self, number: JobNumber, task: u32, spec: &JobSpec, now: Micros) {
        // Accelerators are what a machine that has some is kept for.
        let wanted = spec.need.gpu > 0 || self.machine_type.size.gpu == 0;
        self.allocations.remove(number, task, spec, wanted, now);
    }

    /// A task with this image ran here.
    pub fn use_image(&mut self, image: &str, size_mb: u64, now: Micros) -> ImageChanges {
        let capacity_mb = self.machine_type.cache_mb;
        self.images.use_image(image, size_mb, capacity_mb, now)
    }
}
