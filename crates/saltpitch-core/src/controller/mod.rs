//! One controller as a state machine without input or output.
//!
//! [`Controller`] decides everything that safety rests on outside of scheduling itself: when to
//! campaign, how long agents may be answered, when to resign, what peers are told and when the
//! copy of the records counts as read. The program's tasks and the simulated site in
//! `saltpitch-testkit` drive the same code: they carry messages, keep timers and execute effects, and
//! decide nothing of this themselves.
//!
//! Submodules: `record_sync` follows the state service, `leader_election` acquires, renews and gives up
//! the leadership, `peer_heartbeats` and `agent_heartbeats` answer peers and agents, [`notice`] holds what
//! the operators' log is told.

mod agent_heartbeats;
mod leader_election;
pub mod notice;
mod peer_heartbeats;
mod record_sync;

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::leadership::{answer_bound, CancellationAcks, ProcessIdentity};
use crate::messages::PeerStatus;
use crate::records::RecordCache;
use crate::scheduler::{Effect, ListedMachine, Precondition, Scheduler, SchedulerConfig};
use crate::time::Micros;

pub use agent_heartbeats::HeartbeatAnswer;
pub use leader_election::{Candidacy, Resignation, TermIncrement};
pub use notice::{LossReason, Notice};
pub use record_sync::OutdatedLayout;

/// How long a peer counts as alive after its last heartbeat.
pub const PEER_TIMEOUT: Micros = Micros::from_secs(3);

/// Another controller, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
}

/// What a controller has to know about itself and the site.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// This controller's name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// All other controllers.
    pub peers: Vec<PeerIdentity>,
    /// The scheduler's part of the settings.
    pub scheduler: SchedulerConfig,
    /// Whether jobs may be delegated to other cells.
    pub knows_delegations: bool,
}

/// How the state service has served this process lately, as its adapter saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreHealth {
    /// Whether it served this process at its last answer, which is not too old.
    pub reachable: bool,
    /// When it last served this process.
    pub last_success_at: Option<Micros>,
}

/// What was last heard from a peer.
#[derive(Clone, Debug)]
struct PeerObservation {
    status: PeerStatus,
    heard_at: Micros,
    /// When the last request that it answered was sent. A message may have waited in a socket while
    /// this process stood still; only the time of the request tells how old an answer may be.
    asked_at: Micros,
}

/// The leadership as long as this controller holds it.
struct Leadership {
    scheduler: Scheduler,
    /// The id of the leadership lease in the state service.
    store_lease: u64,
    /// Until when agents may be answered without another renewal or further acknowledgements.
    answers_until: Micros,
    acks: CancellationAcks,
    /// The previous leader, until it is proven gone.
    previous: Option<ProcessIdentity>,
    /// From when on the leaders before the previous one answer nobody.
    earlier_leaders_fenced_at: Micros,
    /// Since when the agents have not reached this leader although others would hear them.
    isolated_since: Option<Micros>,
}

/// What the delegation of jobs to other cells works with, while this controller leads.
pub struct DelegationAccess<'a> {
    /// The scheduler.
    pub scheduler: &'a mut Scheduler,
    /// The copy of the records.
    pub records: &'a RecordCache,
    /// The conditions that stand for all controllers knowing delegations; `None` while one does not.
    pub announcement_preconditions: Option<Vec<Precondition>>,
}

/// One controller. Every method takes the present time; nothing here reads a clock.
pub struct Controller {
    config: ControllerConfig,
    /// Distinguishes this process from every other, earlier and later ones of this controller included.
    process: u64,
    /// This process's incarnation. On record it proves that earlier processes answer nobody.
    incarnation: u64,
    announced: bool,
    records: RecordCache,
    synced: bool,
    catalog: Option<Arc<Catalog>>,
    /// When the term in the records was first seen here.
    term_seen_at: Micros,
    /// When a cancellation was last learnt of.
    last_cancellation_at: Option<Micros>,
    leadership: Option<Leadership>,
    /// Counts leaderships begun and ended, so that late answers do not reach a later one.
    epoch: u64,
    /// After a resignation: until when this controller defers to the others.
    deferring_until: Micros,
    peers: HashMap<String, PeerObservation>,
    /// Agents that were redirected, and when last.
    redirected: HashMap<String, Micros>,
    notices: Vec<Notice>,
}

impl Controller {
    /// A process that has just started. `incarnation` is its start by the time of day; `process` is
    /// drawn at random.
    pub fn new(config: ControllerConfig, process: u64, incarnation: u64) -> Controller {
        Controller {
            config,
            process,
            incarnation,
            announced: false,
            records: RecordCache::default(),
            synced: false,
            catalog: None,
            term_seen_at: Micros::ZERO,
            last_cancellation_at: None,
            leadership: None,
            epoch: 0,
            deferring_until: Micros::ZERO,
            peers: HashMap::new(),
            redirected: HashMap::new(),
            notices: Vec::new(),
        }
    }

    /// The settings that it was made with.
    pub fn config(&self) -> &ControllerConfig {
        &self.config
    }

    /// The copy of the records.
    pub fn records(&self) -> &RecordCache {
        &self.records
    }

    /// Whether the records were read at least once since this process started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Whether this process's incarnation is on record.
    pub fn is_announced(&self) -> bool {
        self.announced
    }

    /// The machine types, once the cloud or the records told them.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Takes over the machine types from the cloud.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog.clone());
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.set_catalog(catalog);
        }
    }

    /// Whether this controller holds the leadership, entitled to answer agents at present or not.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// The count of leaderships begun and ended. What was asked for in one epoch is not delivered in
    /// another, see [`Controller::scheduler_in_epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether agents may be answered now.
    pub fn may_answer(&self, now: Micros) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|l| now < l.answers_until)
    }

    /// The scheduler, if this controller leads.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.leadership.as_ref().map(|l| &l.scheduler)
    }

    /// The scheduler, if this controller still leads in the epoch in which something was asked for.
    pub fn scheduler_in_epoch(&mut self, epoch: u64) -> Option<&mut Scheduler> {
        if self.epoch != epoch {
            return None;
        }
        self.leadership.as_mut().map(|l| &mut l.scheduler)
    }

    /// Runs the scheduler's loops if this controller may answer agents: past the bound on answers
    /// nothing is started either.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        if !self.may_answer(now) {
            return Vec::new();
        }
        let reachable_zones = self.reachable_zones(now);
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        leadership.scheduler.set_reachable_zones(reachable_zones);
        leadership.scheduler.poll(now)
    }

    /// Scheduler and records, while this controller may answer agents: only then is anything decided
    /// about other cells.
    pub fn delegation_access(&mut self, now: Micros) -> Option<DelegationAccess<'_>> {
        if !self.may_answer(now) {
            return None;
        }
        let announcement_preconditions = self.announcement_preconditions();
        let leadership = self.leadership.as_mut()?;
        Some(DelegationAccess {
            scheduler: &mut leadership.scheduler,
            records: &self.records,
            announcement_preconditions,
        })
    }

    /// The records were read anew for the scheduler of this epoch, or could not be.
    pub fn records_reloaded(&mut self, epoch: u64, read: bool, now: Micros, wall: Micros) {
        if self.epoch != epoch {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            let records = read.then_some(&self.records);
            leadership.scheduler.records_reloaded(records, now, wall);
        }
    }

    /// A page of the cloud's list of machines, asked for in this epoch.
    pub fn machines_listed(&mut self, epoch: u64, page: &[ListedMachine], now: Micros) {
        if self.epoch != epoch {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            let returned = |name: &str| self.records.returned_machines.contains(name);
            leadership.scheduler.machines_listed(page, &returned, now);
        }
    }

    /// What happened since the last call that the log should tell.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// How long agents may be answered after the last renewal or acknowledgement.
    fn answer_bound(&self) -> Micros {
        answer_bound(
            self.config.scheduler.cancel_timeout,
            self.config.scheduler.agent_lease,
        )
    }
}
