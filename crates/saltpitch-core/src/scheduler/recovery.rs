//! How a leader begins: with what the records say.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::{
    alerts, machine_blocks, placement_log, provisioning_times, unreachable_machines, unsaved_tasks,
    Scheduler, SchedulerConfig,
};
use crate::catalog::{Catalog, MachineType};
use crate::cluster::{Machine, MachinePhase};
use crate::machine_index::MachineIndex;
use crate::quota::Quota;
use crate::records::{RecordCache, ReturnedMachines};
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

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
        let scale_out_budget = TokenBucket::new(config.scale_out_rate, now);
        let mut scheduler = Scheduler {
            quota: Quota::new(config.teams.clone()),
            write_budget: TokenBucket::new(config.write_rate, now),
            unsaved: unsaved_tasks::UnsavedTasks::default(),
            machine_blocks: machine_blocks::MachineBlocks::new(records, &config),
            reduced_limits: false,
            rate_limit_refusals: VecDeque::new(),
            placement_log: placement_log::PlacementLog::new(records, &config),
            config,
            term: records.term.1.term,
            term_rev: records.term.0,
            first_term: records.term.1.term,
            previous_leader_fenced_at,
            catalog,
            jobs: BTreeMap::new(),
            job_numbers: HashMap::new(),
            cancelled_by_peer: HashSet::new(),
            dependents: HashMap::new(),
            next_job_number: 1,
            machines: BTreeMap::new(),
            index: MachineIndex::default(),
            classes: Vec::new(),
            active_by_age: BTreeSet::new(),
            unplaced_jobs: BTreeSet::new(),
            retries: BTreeSet::new(),
            failing_jobs: Vec::new(),
            gangs_at_barrier: BTreeSet::new(),
            idle_machines: BTreeSet::new(),
            provisioning: BTreeSet::new(),
            health_checks: BTreeSet::new(),
            awaiting_effect: BTreeSet::new(),
            finished_jobs: BTreeSet::new(),
            returned_machines: ReturnedMachines::default(),
            obsolete_keys: VecDeque::new(),
            transaction_in_flight: None,
            outcome_unknown: false,
            reload_in_flight: false,
            next_transaction_at: Micros::ZERO,
            pending_dispatch: BTreeSet::new(),
            delayed_dispatch: BTreeSet::new(),
            commands_in_flight: 0,
            probes_in_flight: 0,
            last_heard: Micros::ZERO,
            last_report: Micros::ZERO,
            pass_requested: true,
            reserved_quota: Vec::new(),
            last_waiting_at: now,
            production_demand: (0.0, now),
            preemption_searches_left: 0,
            next_pass: now,
            next_tick: now,
            next_plan: now,
            effects: Vec::new(),
            term_raise_in_flight: false,
            scale_out_requests: Vec::new(),
            scale_out_budget,
            recent_scale_outs: HashMap::new(),
            next_request: 1,
            provisioning_times: provisioning_times::ProvisioningTimes::default(),
            unreachable: unreachable_machines::UnreachableMachines::default(),
            refusals: HashMap::new(),
            batch_completion_target: Micros::from_secs(90),
            accelerator_demands: HashSet::new(),
            accelerators_requested_at: Micros::ZERO,
            batch_placed: 0.0,
            steps: 0,
            placement_log_alerts: alerts::PlacementLogAlerts::default(),
            ended_jobs: VecDeque::new(),
            reachable_zones: BTreeSet::new(),
            wall_offset: wall.since(now),
            resumed_at: now,
            polled_at: now,
            elected_at: now,
        };
        scheduler.restore_machines(records, now, wall);
        scheduler.restore_jobs(records, now, wall);
        scheduler
    }

    /// The machines on record, with what the records prove of their caches.
    fn restore_machines(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        for (number, (_, block)) in &records.machine_blocks {
            // A type that is no longer offered still holds what it holds: no room, but evidence.
            let kind = self.catalog.get(&block.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&block.type_name)));
            let zone: Arc<str> = block.zone.as_str().into();
            for rec in &block.machines {
                let mut machine =
                    Machine::new(&rec.0, kind.clone(), zone.clone(), block.spot, &rec.1, now);
                machine.recorded = true;
                machine.block = Some(*number);
                machine.created_at = now.since(wall.since(rec.3));
                if rec.2 {
                    machine.phase = MachinePhase::Returning(true);
                }
                if let Some(first) = self.machines.get_mut(&machine.name) {
                    let from = first.block.replace(*number);
                    if let Some(from) = from.filter(|f| f != number) {
                        self.machine_blocks.moved(
                            &machine.name,
                            from,
                            now.plus(Micros::from_secs(1)),
                        );
                    }
                    continue;
                }
                let name = machine.name.clone();
                self.add_machine(machine);
                self.update_reachability(&name);
                self.restore_images(&rec.0, records, now);
            }
        }
    }

    /// The jobs on record, and what is left of those that are over.
    fn restore_jobs(&mut self, records: &RecordCache, now: Micros, wall: Micros) {
        let mut ids: Vec<&String> = records.jobs.keys().collect();
        ids.sort();
        for id in ids {
            self.job_changed(records, id, now, wall);
        }
        self.placement_log.restore(records, &self.job_numbers);
        // Found in every incident of one week: what checkpoints already hold counted as needed until the
        // first write, and each new leader sent a heartbeat a full log.
        self.drop_obsolete_segments();
        let over = records.chunks.iter();
        let mut over: Vec<_> = over
            .filter(|(id, _)| !self.job_numbers.contains_key(id.as_str()))
            .collect();
        // A hash map's order differs from process to process: the same history must give the same writes.
        over.sort_unstable_by_key(|(id, _)| *id);
        for (id, chunks) in over {
            let keys = chunks.keys().map(|c| crate::records::chunk_key(id, *c));
            self.obsolete_keys.extend(keys);
        }
    }

    /// What the records prove of a machine's cache, for a leader that has never heard of the machine.
    fn restore_images(&mut self, name: &str, records: &RecordCache, now: Micros) {
        let (Some(cache), Some(machine)) = (records.images.of(name), self.machines.get_mut(name))
        else {
            return;
        };
        machine.recorded_epoch = Some(cache.agent_epoch);
        let count = cache.images.len() as u64;
        for (i, image) in cache.images.iter().enumerate() {
            // In the order of their use, and all before this leader's own time.
            let used_at = now.since(Micros(count - i as u64));
            let (came, went) = machine.use_image(&image.name, image.size_mb, used_at);
            self.index.images(&machine.zone, &came, &went);
        }
    }
}
