//! The scheduler's in-memory model of a machine: its lifecycle, its agent, and the tasks allocated to it.
//!
//! Each aspect is a component that protects its own invariants with private fields. [`Machine`] holds the
//! components and implements the operations that involve more than one of them.

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
pub use command_channel::CommandChannel;
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
    /// The machine's name, which the cloud never reuses.
    pub name: Arc<str>,
    /// The machine's type.
    pub machine_type: Arc<MachineType>,
    /// The machine's zone.
    pub zone: Arc<str>,
    /// Whether the cloud may reclaim the machine.
    pub spot: bool,
    /// The address at which the agent accepts direct calls; empty while unknown.
    pub addr: String,
    /// The machine's phase between its order and its return.
    pub lifecycle: Lifecycle,
    /// The agent's epoch, statuses and fencing token.
    pub agent: AgentState,
    /// The agent's lease.
    pub lease: AgentLease,
    /// Whether the agent and this leader can reach each other.
    pub connectivity: Connectivity,
    /// The state of direct calls with commands to the agent.
    pub commands: CommandChannel,
    /// The tasks on the machine.
    pub allocations: AllocationSet,
    /// The images on the machine.
    pub images: LocalImages,
    /// Whether the machine is closed to new tasks.
    pub cordon: Cordon,
    /// The machine's entry in the machine index; changed by the index only.
    pub index_entry: IndexEntry,
    /// When the machine's health is checked next; changed by the inventory only.
    pub next_check_at: Micros,
    /// The block of machine records that contains the machine.
    pub block: Option<u32>,
}

impl Machine {
    /// Creates a machine whose agent this leader has not heard yet.
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

    /// Returns the resources that no task uses.
    pub fn free(&self) -> Resources {
        self.machine_type.size.minus(&self.allocations.used())
    }

    /// Returns whether this leader has heard the agent and no return is requested.
    pub fn is_up(&self) -> bool {
        self.lifecycle.is_up()
    }

    /// Returns whether new tasks may be placed here now.
    pub fn is_schedulable(&self) -> bool {
        self.is_up()
            && self.lifecycle.is_recorded()
            && self.agent.is_fenced()
            && !self.cordon.is_active()
            && self.lifecycle.spot_notice().is_none()
            && self.connectivity.is_reachable()
            && !self.allocations.has_running_unowned()
    }

    /// Returns the processors that batch tasks use or may use, in thousandths.
    pub fn batch_cpu(&self) -> u64 {
        let non_batch = self.allocations.non_batch_cpu();
        self.machine_type.size.cpu.saturating_sub(non_batch)
    }

    /// Returns how long another machine of this type would take to fetch the largest of this machine's images.
    pub fn max_image_fetch_time(&self) -> Micros {
        self.machine_type.fetch_time(self.images.largest_mb())
    }

    /// Removes a task's allocation.
    pub fn release(&mut self, number: JobNumber, task: u32, spec: &JobSpec, now: Micros) {
        // A machine with accelerators is intended for tasks that use them.
        let is_intended_use = spec.need.gpu > 0 || self.machine_type.size.gpu == 0;
        self.allocations
            .remove(number, task, spec, is_intended_use, now);
    }

    /// Records that a task used this image here. Returns the images that were added and evicted.
    pub fn use_image(&mut self, image: &str, size_mb: u64, now: Micros) -> ImageChanges {
        let capacity_mb = self.machine_type.cache_mb;
        self.images.use_image(image, size_mb, capacity_mb, now)
    }
}
