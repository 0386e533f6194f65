//! A simulated process around one [`Controller`]. It passes messages between the controller and the other
//! simulated parts; the controller makes all decisions, with the same code as in the program.

use std::collections::BTreeSet;

use saltpitch_core::agent::Heartbeat;
use saltpitch_core::controller::{
    Controller, ControllerConfig, HeartbeatAnswer, PeerIdentity, StoreHealth,
};
use saltpitch_core::job::JobState;
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::records::{
    job_key, node_key, JobRead, JobRecord, JobWrite, RecordCache, RecordChange,
};
use saltpitch_core::scheduler::{
    AgentCommands, Effect, Precondition, Scheduler, SchedulerConfig, TransactionOutcome,
};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

use crate::previous_version;
use crate::simulation::ProcessReads;
use crate::store::Store;

/// How many recently ended jobs a simulated process keeps: so few that most of a history's jobs are evicted.
const MAX_ENDED_JOBS: usize = 3;
/// How long after its last success the state service still counts as reachable.
const STORE_REACHABLE_WITHIN: Micros = Micros::from_secs(2);

/// A controller process and its faults.
pub struct Node {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The process is up from then on.
    pub up_at: Micros,
    /// Whether it runs protocol version 0, which acknowledges no cancellations, requests no
    /// acknowledgements, and writes values as large as the state service's current limits allow.
    pub runs_version_0: bool,
    /// Whether it runs with a settings file for cells.
    pub knows_delegations: bool,
    /// How many recently ended jobs the process keeps in memory.
    pub max_ended_jobs: usize,
    /// After so many reads of the records the process lists all of them again, as after a revision that is too old.
    /// It does so only once, at its start, if this is `None`.
    pub reads_per_listing: Option<u64>,
    /// How often the process has read the records.
    read_count: u64,
    /// How many records of jobs the process has read by their keys.
    pub job_read_count: u64,
    /// The number of this node's current process; each restart adds one.
    pub process_number: u64,
    /// The state machine; one in its initial state until the process has started.
    pub controller: Controller,
    /// Whether the process has started with the settings of its version.
    pub is_started: bool,
    /// What a leader of protocol version 0 knows of its peers when it loses the state service.
    pub common_outage: previous_version::CommonOutage,
    /// Partitioned from the state service until then.
    pub store_partition_until: Micros,
    /// Partitioned from the agents until then.
    pub agent_partition_until: Micros,
    /// Partitioned from the other controllers until then.
    pub peer_partition_until: Micros,
    /// The process is paused until then, while its clocks go on; it reads what has arrived afterwards.
    pub paused_until: Micros,
    /// Since when this process has seen no leader.
    pub leaderless_since: Option<Micros>,
    /// Whether an election attempt is in flight.
    pub is_campaigning: bool,
    /// When the state service last served this process.
    store_success_at: Option<Micros>,
    /// The reads under way, if reads take time.
    pub(crate) reads: ProcessReads,
}

/// Returns a controller's configuration. The peers come from the settings, the scheduler's part depends on
/// the version that runs.
fn controller_config(
    name: &str,
    zone: &str,
    scheduler: SchedulerConfig,
    knows_delegations: bool,
    max_ended_jobs: usize,
) -> ControllerConfig {
    let others = CONTROLLERS.iter().filter(|(other, _)| *other != name);
    let identity = |(name, zone): &(&str, &str)| PeerIdentity {
        name: (*name).to_owned(),
        zone: (*zone).to_owned(),
    };
    ControllerConfig {
        name: name.to_owned(),
        zone: zone.to_owned(),
        peers: others.map(identity).collect(),
        scheduler,
        knows_delegations,
        max_ended_jobs,
    }
}

/// The controllers of the simulated site and their zones.
pub const CONTROLLERS: [(&str, &str); 3] = [("n0", "east"), ("n1", "west"), ("n2", "east")];

impl Node {
    /// Returns a node whose process has not started yet.
    pub fn new(name: &str, zone: &str, scheduler: SchedulerConfig) -> Node {
        let config = controller_config(name, zone, scheduler, false, MAX_ENDED_JOBS);
        Node {
            name: name.to_owned(),
            zone: zone.to_owned(),
            up_at: Micros::ZERO,
            runs_version_0: false,
            knows_delegations: false,
            max_ended_jobs: MAX_ENDED_JOBS,
            reads_per_listing: None,
            read_count: 0,
            job_read_count: 0,
            process_number: 0,
            controller: Controller::new(config, 0, 0),
            is_started: false,
            common_outage: previous_version::CommonOutage::default(),
            store_partition_until: Micros::ZERO,
            agent_partition_until: Micros::ZERO,
            peer_partition_until: Micros::ZERO,
            paused_until: Micros::ZERO,
            leaderless_since: None,
            is_campaigning: false,
            store_success_at: None,
            reads: ProcessReads::default(),
        }
    }

    /// Starts the process with the settings as its version reads them.
    pub fn start(&mut self, scheduler: SchedulerConfig, wall: Micros) {
        let known = self.knows_delegations;
        let max_ended_jobs = self.max_ended_jobs;
        let config = controller_config(&self.name, &self.zone, scheduler, known, max_ended_jobs);
        self.controller = Controller::new(config, self.process_number, wall.0);
        self.is_started = true;
    }

    /// Crashes the process. A new one starts at `up_at` and knows nothing but the settings.
    pub fn crash(&mut self, up_at: Micros) {
        let scheduler = self.controller.config().scheduler.clone();
        *self = Node {
            up_at,
            runs_version_0: self.runs_version_0,
            knows_delegations: self.knows_delegations,
            max_ended_jobs: self.max_ended_jobs,
            reads_per_listing: self.reads_per_listing,
            job_read_count: self.job_read_count,
            process_number: self.process_number + 1,
            store_partition_until: self.store_partition_until,
            agent_partition_until: self.agent_partition_until,
            peer_partition_until: self.peer_partition_until,
            ..Node::new(&self.name, &self.zone, scheduler)
        };
    }

    /// Returns whether the process is up.
    pub fn is_up(&self, now: Micros) -> bool {
        now >= self.up_at
    }

    /// Returns how much longer the process stays paused.
    pub fn remaining_pause(&self, now: Micros) -> Micros {
        self.paused_until.since(now)
    }

    /// Returns the controller's copy of the records.
    pub fn records(&self) -> &RecordCache {
        self.controller.records()
    }

    /// Returns a number that identifies the current leadership of the current process. Answers to requests of
    /// one epoch are not delivered in another.
    pub fn epoch(&self) -> u64 {
        self.process_number * 1_000_000 + self.controller.epoch()
    }

    /// Returns the scheduler, if the process is still up and leads in this epoch.
    pub fn scheduler_in(&mut self, epoch: u64, now: Micros) -> Option<&mut Scheduler> {
        if self.epoch() != epoch || !self.is_up(now) {
            return None;
        }
        let own = self.controller.epoch();
        self.controller.scheduler_in_epoch(own)
    }

    /// Returns whether this controller may answer agents now.
    pub fn may_answer(&self, now: Micros) -> bool {
        let is_extended = self.runs_version_0 && self.common_outage.may_answer(now);
        let is_entitled = self.controller.may_answer(now) || is_extended;
        self.is_up(now) && self.controller.is_leader() && is_entitled
    }

    /// Runs the scheduler's loops.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        if !self.may_answer(now) {
            return Vec::new();
        }
        if self.controller.may_answer(now) {
            return self.controller.poll(now);
        }
        let epoch = self.epoch();
        let leader = self.scheduler_in(epoch, now);
        leader
            .map(|scheduler| scheduler.poll(now))
            .unwrap_or_default()
    }

    /// Answers an agent's heartbeat.
    pub fn answer_heartbeat(&mut self, heartbeat: Heartbeat, now: Micros) -> HeartbeatAnswer {
        if self.controller.may_answer(now) || !self.may_answer(now) {
            return self.controller.agent_heartbeat(heartbeat, now);
        }
        let epoch = self.epoch();
        let returned = self
            .records()
            .returned_machines
            .contains(&heartbeat.machine);
        let no_leader = HeartbeatAnswer::Redirect { leader: None };
        let Some(leader) = self.scheduler_in(epoch, now) else {
            return no_leader;
        };
        match leader.heartbeat_received(heartbeat, returned, now) {
            Ok(AgentCommands {
                fencing_token,
                commands,
            }) => HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            },
            Err(_) => no_leader,
        }
    }

    /// Returns whether the state service is up and reachable from this process.
    pub fn can_reach_store(&self, store: &Store, now: Micros) -> bool {
        !store.is_down && now >= self.store_partition_until
    }

    /// Returns when the state service last served this process, and whether it counts as reachable.
    pub fn store_health(&self, now: Micros) -> StoreHealth {
        let recent = |at: Micros| now.since(at) < STORE_REACHABLE_WITHIN;
        StoreHealth {
            reachable: self.store_success_at.is_some_and(recent),
            last_success_at: self.store_success_at,
        }
    }

    /// Notes that the state service has served this process.
    pub(crate) fn store_answered(&mut self, now: Micros) {
        self.store_success_at = Some(now);
    }

    /// Reads the changes of the records from the state service. A process that has just started lists all
    /// current records instead, in the order of keys.
    pub fn read_records(&mut self, store: &Store, now: Micros) {
        self.store_success_at = Some(now);
        self.read_count += 1;
        let is_listing_due = self
            .reads_per_listing
            .is_some_and(|reads| self.read_count.is_multiple_of(reads));
        if !self.controller.is_synced() || is_listing_due {
            return self.list_records(store, now);
        }
        let from = self.records().revision();
        let changes = store
            .changes(from)
            .map(|(revision, key, value)| RecordChange {
                key: key.to_owned(),
                value,
                revision,
            });
        let changes: Vec<RecordChange> = changes.collect();
        let unknown = self.controller.unknown_dependencies(&changes, &[]);
        let reads = self.read_jobs(unknown, store);
        self.controller.apply_job_reads(&reads);
        let applied = self
            .controller
            .apply_changes(from, changes, store.revision, now, now);
        debug_assert!(applied.is_ok(), "the read began at the copy's revision");
    }

    /// Lists all current records and replaces the copy.
    fn list_records(&mut self, store: &Store, now: Micros) {
        let mut records = list_records(store, self.max_ended_jobs);
        let unknown = self.controller.unknown_outcomes(&records, &[]);
        for read in self.read_jobs(unknown, store) {
            let _ = records.put_job_read(&read);
        }
        let _ = self.controller.replace_records(records, now, now);
    }

    /// Reads the records of jobs by their keys.
    fn read_jobs(&mut self, ids: BTreeSet<String>, store: &Store) -> Vec<JobRead> {
        self.job_read_count += ids.len() as u64;
        let read = |id: String| {
            let entry = store.keys.get(&job_key(&id));
            let record = entry.and_then(|entry| {
                let value = RawValue::from_string(entry.value.clone()).ok()?;
                Some((value, entry.revision))
            });
            JobRead { id, record }
        };
        ids.into_iter().map(read).collect()
    }

    /// Returns a job's state as users see it: from memory or, if the job may have ended and left memory, from the
    /// job's record in the state service as of the revision of the copy in memory.
    pub fn job_state(&self, id: &str, store: &Store) -> Option<JobState> {
        let records = self.records();
        let in_memory = records.job_state(id);
        let is_kept_if_accepted =
            !self.controller.is_synced() || records.ended_jobs().is_complete();
        if in_memory.is_some() || is_kept_if_accepted {
            return in_memory;
        }
        let value = store.value_at(&job_key(id), records.revision())?;
        let record = serde_json::from_str::<JobRecord>(value).ok()?;
        Some(record.state)
    }

    /// Writes the process's incarnation to the state service.
    pub fn announce(&mut self, store: &mut Store) {
        let Some(announcement) = self.controller.announcement() else {
            return;
        };
        let preconditions = [Precondition::new(
            node_key(&self.name),
            announcement.expected_revision,
        )];
        let outcome = store.txn(&preconditions, &[announcement.write], None);
        let written = matches!(outcome, TransactionOutcome::Committed(_));
        self.controller
            .confirm_announcement(announcement.incarnation, written);
    }

    /// Returns a heartbeat to a peer as this node's version sends it.
    pub fn peer_heartbeat(&self, peer: &str, now: Micros) -> PeerStatus {
        let status = self
            .controller
            .peer_heartbeat(peer, self.store_health(now), now);
        if self.runs_version_0 {
            previous_version::status_v0(status)
        } else {
            status
        }
    }

    /// Handles a peer's heartbeat and returns the answer as this node's version gives it.
    pub fn peer_heartbeat_received(
        &mut self,
        peer_heartbeat: PeerStatus,
        now: Micros,
    ) -> PeerStatus {
        let store = self.store_health(now);
        let answer = self
            .controller
            .peer_heartbeat_received(peer_heartbeat, store, now);
        if self.runs_version_0 {
            previous_version::answer_v0(answer, store)
        } else {
            answer
        }
    }

    /// Handles the answer to a heartbeat that was sent at `sent_at` in `epoch`.
    pub fn peer_heartbeat_answered(
        &mut self,
        answer: PeerStatus,
        sent_at: Micros,
        epoch: u64,
        now: Micros,
    ) {
        if self.runs_version_0 {
            self.common_outage.answer_received(&answer, sent_at);
        }
        let own = if self.epoch() == epoch {
            self.controller.epoch()
        } else {
            u64::MAX
        };
        self.controller
            .peer_heartbeat_answered(answer, sent_at, own, now);
    }

    /// Notes that the state service did not answer a renewal of the leadership lease.
    pub fn renewal_unanswered(&mut self, now: Micros) {
        if self.runs_version_0 {
            self.common_outage
                .renewal_unanswered(CONTROLLERS.len() - 1, now);
        }
    }

    /// Applies a write of this process that the state service has confirmed.
    pub fn apply_own_write(&mut self, write: JobWrite, now: Micros) {
        self.store_success_at = Some(now);
        self.controller.apply_own_write(write, now, now);
    }
}

/// Returns all current records, with the outcomes of up to `max_ended_jobs` recently ended jobs.
fn list_records(store: &Store, max_ended_jobs: usize) -> RecordCache {
    let mut records = RecordCache::new(max_ended_jobs);
    records.advance_to(store.revision);
    for (key, entry) in &store.keys {
        let Ok(value) = RawValue::from_string(entry.value.clone()) else {
            continue;
        };
        let _ = records.put(key, &value, entry.revision);
        records.trim_listing();
    }
    records
}
