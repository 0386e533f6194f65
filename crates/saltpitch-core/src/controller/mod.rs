//! A controller as a state machine that performs no input or output.
//!
//! [`Controller`] makes every decision outside of scheduling on which safety depends: when to campaign, how
//! long agents may be answered, when to resign, what peers are told, and when the copy of the records counts
//! as complete. The async tasks of the program and the simulated site in `saltpitch-testkit` drive the same
//! code: they transport messages, keep timers and execute effects, but make none of these decisions.
//!
//! Submodules: `record_sync` follows the state service, `copy_replacement` takes over listings, `leader_election`
//! acquires, renews and gives up the leadership, `peer_heartbeats` and `agent_heartbeats` answer peers and agents, and
//! [`notice`] defines the events for the operators' log.

mod agent_heartbeats;
mod copy_replacement;
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
pub use copy_replacement::{ListingEnd, OutdatedLayout};
pub use leader_election::{Candidacy, Resignation, TermIncrement};
pub use notice::{LossReason, Notice};
pub use record_sync::MissingChanges;

/// How long a peer counts as alive after its last heartbeat.
pub const PEER_TIMEOUT: Micros = Micros::from_secs(3);

/// Another controller, as it appears in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
}

/// The configuration of a controller.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// This controller's name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// All other controllers.
    pub peers: Vec<PeerIdentity>,
    /// The configuration of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Whether this controller supports the delegation of jobs to other cells.
    pub knows_delegations: bool,
    /// How many recently ended jobs this controller keeps in memory.
    pub max_ended_jobs: usize,
}

/// The recent availability of the state service to this process, as the store adapter observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreHealth {
    /// Whether the state service has recently answered this process and its last answer was a success.
    pub reachable: bool,
    /// When the state service last answered a request of this process successfully.
    pub last_success_at: Option<Micros>,
}

/// The last status received from a peer.
#[derive(Clone, Debug)]
struct PeerObservation {
    status: PeerStatus,
    received_at: Micros,
    /// When this controller sent the last request that the peer answered. A message may have waited in a
    /// socket while this process was paused, so only the time of the request bounds the age of an answer.
    requested_at: Micros,
}

/// The state of this controller's leadership.
struct Leadership {
    scheduler: Scheduler,
    /// The id of the leadership lease in the state service.
    store_lease: u64,
    /// Until when this controller may answer agents without another renewal or further acknowledgements.
    answers_until: Micros,
    acks: CancellationAcks,
    /// The previous leader, until it is proven gone.
    previous: Option<ProcessIdentity>,
    /// When the leaders before the previous one no longer answer any agent.
    earlier_leaders_fenced_at: Micros,
    /// Since when the agents have not reached this leader although they reach another controller.
    isolated_since: Option<Micros>,
}

/// The parts of a leading controller that the delegation of jobs to other cells uses.
pub struct DelegationAccess<'a> {
    /// The scheduler.
    pub scheduler: &'a mut Scheduler,
    /// The copy of the records.
    pub records: &'a RecordCache,
    /// The preconditions which ensure that all controllers support delegations; `None` while one of them
    /// does not.
    pub announcement_preconditions: Option<Vec<Precondition>>,
}

/// One controller. Methods that depend on the time take it as an argument; nothing here reads a clock.
pub struct Controller {
    config: ControllerConfig,
    /// A random id that distinguishes this process from all others, including earlier and later processes of
    /// this controller.
    process: u64,
    /// This process's incarnation. Its record proves that earlier processes answer no agents.
    incarnation: u64,
    /// Whether the incarnation is on record.
    announced: bool,
    records: RecordCache,
    /// Whether the records have been read at least once.
    synced: bool,
    catalog: Option<Arc<Catalog>>,
    /// When this controller first saw the term in the records.
    term_seen_at: Micros,
    /// When this controller last received a cancellation.
    last_cancellation_at: Option<Micros>,
    leadership: Option<Leadership>,
    /// Incremented at each beginning and end of a leadership, so that late answers do not reach a later one.
    epoch: u64,
    /// Until when this controller lets others become leader first, after it has resigned.
    deferring_until: Micros,
    peers: HashMap<String, PeerObservation>,
    /// The agents that this controller redirected, each with the time of its last redirect.
    redirected: HashMap<String, Micros>,
    notices: Vec<Notice>,
}

impl Controller {
    /// Creates the state of a process that has just started. `incarnation` is the time of day of the start,
    /// and `process` is a random id.
    pub fn new(config: ControllerConfig, process: u64, incarnation: u64) -> Controller {
        Controller {
            records: RecordCache::new(config.max_ended_jobs),
            config,
            process,
            incarnation,
            announced: false,
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

    /// Returns the configuration of this controller.
    pub fn config(&self) -> &ControllerConfig {
        &self.config
    }

    /// Returns this controller's copy of the records.
    pub fn records(&self) -> &RecordCache {
        &self.records
    }

    /// Returns whether the records have been read at least once since this process started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns whether this process's incarnation is on record.
    pub fn is_announced(&self) -> bool {
        self.announced
    }

    /// Returns the machine types, once they are known from the cloud or the records.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Replaces the machine types by those that the cloud returned.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog.clone());
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.set_catalog(catalog);
        }
    }

    /// Returns whether this controller holds the leadership, even if it may not answer agents at the moment.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns how many times a leadership of this process has begun or ended. The answer to a request of one
    /// epoch is not delivered in another, see [`Controller::scheduler_in_epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether this controller may answer agents now.
    pub fn may_answer(&self, now: Micros) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| now < leadership.answers_until)
    }

    /// Returns the scheduler if this controller leads.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.leadership
            .as_ref()
            .map(|leadership| &leadership.scheduler)
    }

    /// Returns the scheduler if this controller still leads in the epoch in which a request was made.
    pub fn scheduler_in_epoch(&mut self, epoch: u64) -> Option<&mut Scheduler> {
        if self.epoch != epoch {
            return None;
        }
        self.leadership
            .as_mut()
            .map(|leadership| &mut leadership.scheduler)
    }

    /// Runs the scheduler's loops if this controller may answer agents. Otherwise the leader starts nothing
    /// either.
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

    /// Returns the scheduler and the records while this controller may answer agents. Only then may it make
    /// decisions about other cells.
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

    /// Tells the scheduler of this epoch whether the records could be reloaded, as it requested.
    pub fn records_reloaded(&mut self, epoch: u64, succeeded: bool, now: Micros, wall: Micros) {
        if self.epoch != epoch {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            let records = succeeded.then_some(&self.records);
            leadership.scheduler.records_reloaded(records, now, wall);
        }
    }

    /// Passes one page of the cloud's list of machines to the scheduler of the epoch that requested it.
    pub fn machines_listed(&mut self, epoch: u64, page: &[ListedMachine], now: Micros) {
        if self.epoch != epoch {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            let is_returned = |name: &str| self.records.returned_machines.contains(name);
            leadership
                .scheduler
                .machines_listed(page, &is_returned, now);
        }
    }

    /// Takes the events for the log that have occurred since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns how long this controller may answer agents after the last renewal or acknowledgement.
    fn answer_bound(&self) -> Micros {
        answer_bound(
            self.config.scheduler.cancel_timeout,
            self.config.scheduler.agent_lease,
        )
    }
}
