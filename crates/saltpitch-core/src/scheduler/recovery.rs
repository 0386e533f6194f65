//! Restores the scheduler's state from the records when a leader takes over.

use std::sync::Arc;

use super::autoscaler::Autoscaler;
use super::command_log::CommandLog;
use super::dependency_gate::DependencyGate;
use super::dispatch::Dispatch;
use super::gang_barrier::GangBarrier;
use super::inventory::MachineInventory;
use super::job_failures::RetryQueue;
use super::job_table::JobTable;
use super::leader_clock::LeaderClock;
use super::leader_term::LeaderTerm;
use super::persistence::Persistence;
use super::placement_pass::PlacementPass;
use super::{Scheduler, SchedulerConfig};
use crate::catalog::{Catalog, MachineType};
use crate::machine::Machine;
use crate::quota::Quota;
use crate::records::{checkpoint_key, MachineRecord, RecordCache};
use crate::time::Micros;

/// How long the rewrite of a block's record is delayed after a machine that was listed in two blocks was
/// removed from it, so that it can include other changes.
const DUPLICATE_REMOVAL_DELAY: Micros = Micros::from_secs(1);

impl Scheduler {
    /// Creates the scheduler of a new leader from the records. `previous_leader_fenced_at` is the time from
    /// which no earlier leader can answer an agent.
    pub fn new(
        config: SchedulerConfig,
        records: &RecordCache,
        catalog: Arc<Catalog>,
        previous_leader_fenced_at: Micros,
        now: Micros,
        wall: Micros,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            leader_term: LeaderTerm::new(records, previous_leader_fenced_at, now),
            clock: LeaderClock::new(now, wall),
            quota: Quota::new(config.teams.clone()),
            job_table: JobTable::default(),
            dependencies: DependencyGate::default(),
            retries: RetryQueue::default(),
            gang_barrier: GangBarrier::default(),
            inventory: MachineInventory::new(now),
            dispatch: Dispatch::default(),
            persistence: Persistence::new(records, &config, now),
            autoscaler: Autoscaler::new(&config, now),
            placement_pass: PlacementPass::new(now),
            command_log: CommandLog::default(),
            next_tick: now,
            next_plan: now,
            effects: Vec::new(),
            steps: 0,
            config,
            catalog,
        };
        scheduler.restore_machines(records, now, wall);
        scheduler.restore_jobs(records, now, wall);
        scheduler
    }

    /// Restores the machines on record and the known contents of their image caches.
    fn restore_machines(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        for (number, block) in &records.machine_blocks {
            let block = &block.value;
            // A machine of a type that the catalog no longer lists has no free capacity, but it stays in the
            // inventory as evidence of the tasks on it.
            let machine_type = self.catalog.get(&block.type_name).cloned();
            let machine_type =
                Arc::new(machine_type.unwrap_or_else(|| MachineType::unknown(&block.type_name)));
            let zone: Arc<str> = block.zone.as_str().into();
            for MachineRecord(name, addr, is_returning, created_at) in &block.machines {
                if self.merge_duplicate(name, *number, now) {
                    continue;
                }
                let mut machine = Machine::new(
                    name,
                    machine_type.clone(),
                    zone.clone(),
                    block.spot,
                    addr,
                    now,
                );
                machine.block = Some(*number);
                machine.lifecycle.set_recorded();
                let age = wall.since(*created_at);
                machine.lifecycle.set_created_at(now.since(age));
                if *is_returning {
                    machine.lifecycle.restore_return();
                }
                let name = machine.name.clone();
                self.inventory.add(machine);
                self.inventory.update_reachability(&name);
                self.restore_images(&name, records, now);
            }
        }
    }

    /// Handles a machine that an earlier block also lists, which happens if a leader stopped while it split
    /// that block. The machine then belongs to the later block. Returns whether the machine was known.
    fn merge_duplicate(&mut self, name: &str, block: u32, now: Micros) -> bool {
        let Some(machine) = self.inventory.get_mut(name) else {
            return false;
        };
        let earlier_block = machine.block.replace(block);
        let name = machine.name.clone();
        if let Some(earlier_block) = earlier_block.filter(|earlier| *earlier != block) {
            let due = now.plus(DUPLICATE_REMOVAL_DELAY);
            self.persistence
                .remove_duplicate_machine(&name, earlier_block, due);
        }
        true
    }

    /// Restores the jobs that have not ended, and deletes the checkpoints that are left of ended jobs.
    fn restore_jobs(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        let mut ids: Vec<&String> = records.jobs.keys().collect();
        ids.sort();
        for id in ids {
            self.job_changed(records, id, now, wall);
        }
        self.persistence.restore_log(records, &mut self.job_table);
        let mut of_ended_jobs: Vec<_> = records
            .checkpoints
            .iter()
            .filter(|(id, _)| self.job_table.number_of(id).is_none())
            .collect();
        // The order of a hash map differs between processes, but the same history must cause the same writes.
        of_ended_jobs.sort_unstable_by_key(|(id, _)| *id);
        for (id, checkpoints) in of_ended_jobs {
            let keys = checkpoints.keys().map(|index| checkpoint_key(id, *index));
            self.persistence.delete_keys(keys);
        }
    }

    /// Restores the images that the records prove to be in a machine's cache, since this leader has not yet
    /// received a heartbeat from the machine.
    fn restore_images(&mut self, name: &str, records: &RecordCache, now: Micros) {
        let (Some(cache), Some(machine)) =
            (records.images.cache_of(name), self.inventory.get_mut(name))
        else {
            return;
        };
        machine.images.mark_restored(cache.agent_epoch);
        let count = cache.images.len() as u64;
        for (i, image) in cache.images.iter().enumerate() {
            // Keeps the order of use, with all times before this leader's election.
            let used_at = now.since(Micros(count - i as u64));
            self.inventory
                .image_used(name, &image.name, image.size_mb, used_at);
        }
    }
}
