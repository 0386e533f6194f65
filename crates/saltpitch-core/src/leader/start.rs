//! How a leader begins: with what the records say.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::{blocks, boots, dirty, faults, log, pace, reach, Config, Leader};
use crate::catalog::{Catalog, MachineType};
use crate::cluster::{Machine, Phase};
use crate::fleet::Fleet;
use crate::quota::Quota;
use crate::records::{ReturnedMachines, View};
use crate::time::Micros;

impl Leader {
    /// Takes over with what the records say. `old_silent_at`: from then on no earlier leader can
    /// answer a worker.
    pub fn new(
        cfg: Config,
        view: &View,
        catalog: Arc<Catalog>,
        old_silent_at: Micros,
        now: Micros,
        wall: Micros,
    ) -> Leader {
        let rent_pace = pace::Pace::new(cfg.rent_rate, now);
        let mut leader = Leader {
            quota: Quota::new(cfg.teams.clone()),
            pace: pace::Pace::new(cfg.write_rate, now),
            dirty: dirty::Dirty::default(),
            blocks: blocks::Blocks::new(view, &cfg),
            narrow: false,
            throttles: VecDeque::new(),
            log: log::Log::new(view, &cfg),
            cfg,
            term: view.term.1.term,
            term_rev: view.term.0,
            office_term: view.term.1.term,
            old_silent_at,
            catalog,
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            called_off: HashSet::new(),
            dependents: HashMap::new(),
            next_job: 1,
            machines: BTreeMap::new(),
            fleet: Fleet::default(),
            classes: Vec::new(),
            by_age: BTreeSet::new(),
            open: BTreeSet::new(),
            retries: BTreeSet::new(),
            faulty_jobs: Vec::new(),
            at_barrier: BTreeSet::new(),
            empty: BTreeSet::new(),
            coming: BTreeSet::new(),
            looks: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            final_jobs: BTreeSet::new(),
            gone_machines: ReturnedMachines::default(),
            leftovers: VecDeque::new(),
            txn: None,
            paused: false,
            refresh_out: false,
            next_txn: Micros::ZERO,
            push: BTreeSet::new(),
            push_later: BTreeSet::new(),
            orders_out: 0,
            probes_out: 0,
            last_heard: Micros::ZERO,
            last_report: Micros::ZERO,
            schedule_wanted: true,
            kept_for: Vec::new(),
            waited_at: now,
            demand: (0.0, now),
            searches: 0,
            next_schedule: now,
            next_tick: now,
            next_plan: now,
            effects: Vec::new(),
            raise_out: false,
            rents: Vec::new(),
            rent_pace,
            rents_asked: HashMap::new(),
            next_request: 1,
            boots: boots::BootTimes::default(),
            out_of_reach: reach::OutOfReach::default(),
            refusals: HashMap::new(),
            drain: Micros::from_secs(90),
            gpu_needs: HashSet::new(),
            gpu_asked: Micros::ZERO,
            batch_placed: 0.0,
            steps: 0,
            log_state: faults::LogState::default(),
            ended: VecDeque::new(),
            open_zones: BTreeSet::new(),
            wall_offset: wall.since(now),
            awake_since: now,
            polled_at: now,
            took_office: now,
        };
        leader.recall_machines(view, now, wall);
        leader.recall_jobs(view, now, wall);
        leader
    }

    /// The machines on record, with what the records prove of their caches.
    fn recall_machines(&mut self, view: &View, now: Micros, wall: Micros) {
        for (no, (_, block)) in &view.blocks {
            // A type that is no longer offered still holds what it holds: no room, but evidence.
            let kind = self.catalog.get(&block.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&block.type_name)));
            let zone: Arc<str> = block.zone.as_str().into();
            for rec in &block.machines {
                let mut m =
                    Machine::new(&rec.0, kind.clone(), zone.clone(), block.spot, &rec.1, now);
                m.recorded = true;
                m.block = Some(*no);
                m.born = now.since(wall.since(rec.3));
                if rec.2 {
                    m.phase = Phase::Returning(true);
                }
                if let Some(first) = self.machines.get_mut(&m.name) {
                    let from = first.block.replace(*no);
                    if let Some(from) = from.filter(|f| f != no) {
                        self.blocks
                            .moved(&m.name, from, now.plus(Micros::from_secs(1)));
                    }
                    continue;
                }
                let name = m.name.clone();
                self.add_machine(m);
                self.note_reach(&name);
                self.recall_images(&rec.0, view, now);
            }
        }
    }

    /// The jobs on record, and what is left of those that are over.
    fn recall_jobs(&mut self, view: &View, now: Micros, wall: Micros) {
        let mut ids: Vec<&String> = view.jobs.keys().collect();
        ids.sort();
        for id in ids {
            self.job_changed(view, id, now, wall);
        }
        self.log.recall(view, &self.by_id);
        // Found in every incident of one week: what checkpoints already hold counted as needed until the
        // first write, and each new leader reported a full log.
        self.forget_segments();
        let over = view.chunks.iter();
        let mut over: Vec<_> = over
            .filter(|(id, _)| !self.by_id.contains_key(id.as_str()))
            .collect();
        // A hash map's order differs from process to process: the same history must give the same writes.
        over.sort_unstable_by_key(|(id, _)| *id);
        for (id, chunks) in over {
            let keys = chunks.keys().map(|c| crate::records::chunk_key(id, *c));
            self.leftovers.extend(keys);
        }
    }

    /// What the records prove of a machine's cache, for a leader that has never heard of the machine.
    fn recall_images(&mut self, name: &str, view: &View, now: Micros) {
        let (Some(cache), Some(m)) = (view.images.of(name), self.machines.get_mut(name)) else {
            return;
        };
        m.recalled_session = Some(cache.session);
        let count = cache.images.len() as u64;
        for (i, image) in cache.images.iter().enumerate() {
            // In the order of their use, and all before this leader's own time.
            let used_at = now.since(Micros(count - i as u64));
            let (came, went) = m.use_image(&image.name, image.size_mb, used_at);
            self.fleet.images(&m.zone, &came, &went);
        }
    }
}
