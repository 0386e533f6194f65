//! A simulated process around one [`Controller`]: it carries the controller's messages to the other
//! stand-ins. Decisions are the controller's, the same code as in the program.

use saltpitch_core::agent::Heartbeat;
use saltpitch_core::controller::{
    Controller, ControllerConfig, HeartbeatAnswer, PeerIdentity, StoreHealth,
};
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::records::{node_key, RecordCache, RecordChange};
use saltpitch_core::scheduler::{
    Effect, Precondition, Scheduler, SchedulerConfig, TransactionOutcome,
};
use saltpitch_core::Micros;

use crate::previous_version;
use crate::store::Store;

/// How long after its last success the state service still counts as reachable.
const STORE_REACHABLE_WITHIN: Micros = Micros::from_secs(2);

/// One controller process, and what is wrong with it.
pub struct Node {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The process runs from then on.
    pub up_at: Micros,
    /// Runs protocol version 0: it acknowledges no cancellations, asks for no acknowledgements, and
    /// writes values as large as the state service's present limits allow.
    pub runs_version_0: bool,
    /// Runs with a file on cells.
    pub knows_delegations: bool,
    /// Counts this node's processes.
    pub process_number: u64,
    /// The state machine; a blank one until the process has started.
    pub controller: Controller,
    /// The process has started with the settings of its version.
    pub is_started: bool,
    /// What a leader of protocol version 0 goes by when it loses the state service.
    pub common_outage: previous_version::CommonOutage,
    /// Cut from the state service until then.
    pub store_partition_until: Micros,
    /// Cut from the agents until then.
    pub agent_partition_until: Micros,
    /// Cut from the other controllers until then.
    pub peer_partition_until: Micros,
    /// The process stands still until then, while its clocks run on: what arrives is read afterwards.
    pub paused_until: Micros,
    /// Since when the leadership has been vacant.
    pub leaderless_since: Option<Micros>,
    /// A bid for the leadership is under way.
    pub is_campaigning: bool,
    /// When the state service last served this process.
    store_success_at: Option<Micros>,
}

/// The others are known by the settings, the scheduler's part by the version that runs.
fn controller_config(
    name: &str,
    zone: &str,
    scheduler: SchedulerConfig,
    knows_delegations: bool,
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
    }
}

/// The controllers of the simulated site and their zones.
pub const CONTROLLERS: [(&str, &str); 3] = [("n0", "east"), ("n1", "west"), ("n2", "east")];

impl Node {
    /// A node whose process has not started yet.
    pub fn new(name: &str, zone: &str, scheduler: SchedulerConfig) -> Node {
        let config = controller_config(name, zone, scheduler, false);
        Node {
            name: name.to_owned(),
            zone: zone.to_owned(),
            up_at: Micros::ZERO,
            runs_version_0: false,
            knows_delegations: false,
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
        }
    }

    /// The process starts with what its version makes of the settings.
    pub fn start(&mut self, scheduler: SchedulerConfig, wall: Micros) {
        let known = self.knows_delegations;
        let config = controller_config(&self.name, &self.zone, scheduler, known);
        self.controller = Controller::new(config, self.process_number, wall.0);
        self.is_started = true;
    }

    /// The process ends; a new one starts at `up_at`, with nothing but the settings.
    pub fn crash(&mut self, up_at: Micros) {
        let scheduler = self.controller.config().scheduler.clone();
        *self = Node {
            up_at,
            runs_version_0: self.runs_version_0,
            knows_delegations: self.knows_delegations,
            process_number: self.process_number + 1,
            store_partition_until: self.store_partition_until,
            agent_partition_until: self.agent_partition_until,
            peer_partition_until: self.peer_partition_until,
            ..Node::new(&self.name, &self.zone, scheduler)
        };
    }

    /// Whether the process runs.
    pub fn is_up(&self, now: Micros) -> bool {
        now >= self.up_at
    }

    /// How long it will yet stand still.
    pub fn remaining_pause(&self, now: Micros) -> Micros {
        self.paused_until.since(now)
    }

    /// The copy of the records.
    pub fn records(&self) -> &RecordCache {
        self.controller.records()
    }

    /// Identifies the present leadership of the present process. What was asked for in one is not
    /// delivered in another.
    pub fn epoch(&self) -> u64 {
        self.process_number * 1_000_000 + self.controller.epoch()
    }

    /// The scheduler, if the process still runs and leads in this epoch.
    pub fn scheduler_in(&mut self, epoch: u64, now: Micros) -> Option<&mut Scheduler> {
        if self.epoch() != epoch || !self.is_up(now) {
            return None;
        }
        let own = self.controller.epoch();
        self.controller.scheduler_in_epoch(own)
    }

    /// Whether agents may be answered now.
    pub fn may_answer(&self, now: Micros) -> bool {
        let extended = self.runs_version_0 && self.common_outage.may_answer(now);
        let entitled = self.controller.may_answer(now) || extended;
        self.is_up(now) && self.controller.is_leader() && entitled
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
        leader.map(|l| l.poll(now)).unwrap_or_default()
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
        let nobody = HeartbeatAnswer::Redirect { leader: None };
        let Some(leader) = self.scheduler_in(epoch, now) else {
            return nobody;
        };
        let fencing_token = leader.term();
        match leader.heartbeat_received(heartbeat, returned, now) {
            Ok(commands) => HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            },
            Err(_) => nobody,
        }
    }

    /// Whether the state service can be reached and serves.
    pub fn can_reach_store(&self, store: &Store, now: Micros) -> bool {
        !store.is_down && now >= self.store_partition_until
    }

    /// How the state service has served this process.
    pub fn store_health(&self, now: Micros) -> StoreHealth {
        let recent = |at: Micros| now.since(at) < STORE_REACHABLE_WITHIN;
        StoreHealth {
            reachable: self.store_success_at.is_some_and(recent),
            last_success_at: self.store_success_at,
        }
    }

    /// Takes in the changes that the state service has. A process that has just started lists the
    /// records as they stand, in the order of keys.
    pub fn read_records(&mut self, store: &Store, now: Micros) {
        self.store_success_at = Some(now);
        if !self.controller.is_synced() {
            let records = list(store);
            let _ = self.controller.replace_records(records, now, now);
            return;
        }
        let from = self.records().revision;
        let changes = store
            .changes(from)
            .map(|(revision, key, value)| RecordChange {
                key: key.to_owned(),
                value,
                revision,
            });
        let changes: Vec<RecordChange> = changes.collect();
        self.controller
            .apply_changes(from, changes, store.revision, now, now);
    }

    /// Puts the process's incarnation on record.
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

    /// A heartbeat to a peer, as this node's version sends it.
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

    /// Takes in a peer's heartbeat and answers it, as this node's version does.
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

    /// Takes in the answer to a heartbeat that was sent at `asked_at` in `epoch`.
    pub fn peer_heartbeat_answered(
        &mut self,
        answer: PeerStatus,
        asked_at: Micros,
        epoch: u64,
        now: Micros,
    ) {
        if self.runs_version_0 {
            self.common_outage.answer_received(&answer, asked_at);
        }
        let own = if self.epoch() == epoch {
            self.controller.epoch()
        } else {
            u64::MAX
        };
        self.controller
            .peer_heartbeat_answered(answer, asked_at, own, now);
    }

    /// The leadership lease could not be renewed: the state service does not answer.
    pub fn renewal_unanswered(&mut self, now: Micros) {
        if self.runs_version_0 {
            self.common_outage
                .renewal_unanswered(CONTROLLERS.len() - 1, now);
        }
    }

    /// A write of this process that the state service confirmed.
    pub fn apply_own_write(&mut self, change: &RecordChange, now: Micros) {
        self.store_success_at = Some(now);
        self.controller.apply_own_write(change, now, now);
    }
}

/// The records as they stand.
fn list(store: &Store) -> RecordCache {
    let mut records = RecordCache::default();
    for (key, entry) in &store.keys {
        let Ok(value) = serde_json::value::RawValue::from_string(entry.value.clone()) else {
            continue;
        };
        let _ = records.put(key, &value, entry.revision);
    }
    records.revision = store.revision;
    records
}
