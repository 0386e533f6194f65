//! How a leader begins: with what the records say.

use std::sync::Arc;

use super::autoscaler::Autoscaler;
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

/// How long the record of a block waits for other changes after a machine in two blocks was taken out of it.
const DUPLICATE_RECORD_DELAY: Micros = Micros::from_secs(1);

impl Scheduler {
    /// Takes over with what the records say. `previous_leader_fenced_at`: from then on no earlier leader can
    /// answer an agent.
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

    /// The machines on record, with what the records prove of their caches.
    fn restore_machines(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        for (number, block) in &records.machine_blocks {
            let block = &block.value;
            // A type that is no longer offered still holds what it holds: no room, but evidence.
            let kind = self.catalog.get(&block.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&block.type_name)));
            let zone: Arc<str> = block.zone.as_str().into();
            for MachineRecord(name, addr, is_returning, created_at) in &block.machines {
                if self.merge_duplicate(name, *number, now) {
                    continue;
                }
                let mut machine =
                    Machine::new(name, kind.clone(), zone.clone(), block.spot, addr, now);
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

    /// Whether the machine is known from an earlier block: a leader ended while it split that one. The later
    /// block has the machine.
    fn merge_duplicate(&mut self, name: &str, block: u32, now: Micros) -> bool {
        let Some(machine) = self.inventory.get_mut(name) else {
            return false;
        };
        let earlier = machine.block.replace(block);
        let name = machine.name.clone();
        if let Some(earlier) = earlier.filter(|earlier| *earlier != block) {
            let due = now.plus(DUPLICATE_RECORD_DELAY);
            self.persistence
                .remove_duplicate_machine(&name, earlier, due);
        }
        true
    }

    /// The jobs on record, and what is left of those that are over.
    fn restore_jobs(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        let mut ids: Vec<&String> = records.jobs.keys().collect();
        ids.sort();
        for id in ids {
            self.job_changed(records, id, now, wall);
        }
        self.persistence.restore_log(records, &mut self.job_table);
        let over = records.checkpoints.iter();
        let mut over: Vec<_> = over
            .filter(|(id, _)| self.job_table.number_of(id).is_none())
            .collect();
        // A hash map's order differs from process to process: the same history must give the same writes.
        over.sort_unstable_by_key(|(id, _)| *id);
        for (id, checkpoints) in over {
            let keys = checkpoints.keys().map(|index| checkpoint_key(id, *index));
            self.persistence.delete_keys(keys);
        }
    }

    /// What the records prove of a machine's cache, for a leader that has never heard of the machine.
    fn restore_images(&mut self, name: &str, records: &RecordCache, now: Micros) {
        let (Some(cache), Some(machine)) =
            (records.images.cache_of(name), self.inventory.get_mut(name))
        else {
            return;
        };
        machine.images.mark_restored(cache.agent_epoch);
        let count = cache.images.len() as u64;
        for (i, image) in cache.images.iter().enumerate() {
            // In the order of their use, and all before this leader's own time.
            let used_at = now.since(Micros(count - i as u64));
            self.inventory
                .image_used(name, &image.name, image.size_mb, used_at);
        }
    }
}
