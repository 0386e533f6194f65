//! The state shared by the tasks of one controller process: the controller's state machine, the
//! settings, and the clients of the external services, the agents and the peers.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::controller::{Controller, StoreHealth};
use saltpitch_core::Micros;
use tokio::sync::{Notify, Semaphore};

use crate::cells::state::Cells;
use crate::clock::Clock;
use crate::cloud::CloudClient;
use crate::connection_limit::Connections;
use crate::fresh_reads::FreshReads;
use crate::http::Client;
use crate::job_lookups::JobLookups;
use crate::mutex::lock;
use crate::peer_link::PeerClient;
use crate::record_sync::CopyAge;
use crate::settings::Settings;
use crate::store::{Role, StoreClient};

/// The percentages of the sockets for connections accepted from users and agents, and for idle
/// connections kept to machines. [`crate::server`] reserves sockets for connections that wait to be
/// accepted. The rest is for the store, the cloud, the peers and calls in flight.
const INBOUND_CONNECTIONS_PERCENT: usize = 70;
const IDLE_CONNECTIONS_PERCENT: usize = 10;
/// The maximum number of users' queries that wait for the latest records at a time, as a percentage of
/// the sockets, and likewise of those that wait for the record of a job that is not in memory. It is limited because heartbeats, submissions and cancellations share the processor with
/// queries.
const WAITING_QUERIES_PERCENT: usize = 20;
/// The state service allows four times as many preconditions in a transaction as writes.
const PRECONDITIONS_PER_WRITE: usize = 4;

/// How long after its last response the state service counts as reachable: in heartbeats to peers, and
/// in health checks of the load balancer.
const STORE_REACHABLE_WINDOW: Micros = Micros::from_secs(12);
const HEALTHY_WINDOW: Micros = Micros::from_secs(15);

/// One controller process.
pub struct Node {
    /// The platform's settings.
    pub settings: Settings,
    /// This process's clocks.
    pub clock: Clock,
    /// The client of the state service.
    pub store: StoreClient,
    /// The client of the cloud.
    pub cloud: CloudClient,
    /// The HTTP client that calls the agents, the state service and the cloud.
    pub http: Arc<Client>,
    /// The client of the other controllers.
    pub peers: PeerClient,
    /// The connections accepted from users and agents.
    pub connections: Arc<Connections>,
    /// Wakes the task that runs the scheduler.
    pub scheduler_wakeup: Notify,
    /// The reads of the latest records for which requests wait.
    pub fresh_reads: FreshReads,
    /// Limits the users' queries that wait for the latest records.
    pub query_permits: Semaphore,
    /// The reads of jobs that are not in memory.
    pub job_lookups: JobLookups,
    /// Limits the users' queries that wait for such reads.
    pub lookup_permits: Semaphore,
    /// The delegations to other cells, if a cells file is configured.
    pub cells: Option<Cells>,
    controller: Mutex<Controller>,
    copy_age: Mutex<CopyAge>,
    rng: Mutex<SmallRng>,
}

/// Exclusive access to the controller, never held across an await. Dropping the guard writes the
/// controller's notices to the log.
pub struct ControllerGuard<'a>(MutexGuard<'a, Controller>);

impl Deref for ControllerGuard<'_> {
    type Target = Controller;

    fn deref(&self) -> &Controller {
        &self.0
    }
}

impl DerefMut for ControllerGuard<'_> {
    fn deref_mut(&mut self) -> &mut Controller {
        &mut self.0
    }
}

impl Drop for ControllerGuard<'_> {
    fn drop(&mut self) {
        for notice in self.0.take_notices() {
            if notice.is_error() {
                tracing::error!("{notice}");
            } else {
                tracing::info!("{notice}");
            }
        }
    }
}

impl Node {
    /// Creates the state of a controller that does not serve yet.
    pub fn new(settings: Settings) -> Node {
        let max_waiting = settings.max_sockets * WAITING_QUERIES_PERCENT / 100;
        let max_comparisons = settings.store.max_transaction_writes * PRECONDITIONS_PER_WRITE;
        let clock = Clock::start();
        let http = Arc::new(Client::new(
            settings.max_sockets * IDLE_CONNECTIONS_PERCENT / 100,
        ));
        let store = StoreClient::new(
            http.clone(),
            settings.store_addr,
            clock,
            settings.store.clone(),
            settings.controller_count,
            Role::Follower,
        );
        let cloud = CloudClient::new(http.clone(), settings.cloud_addr, clock, settings.cloud_rps);
        let mut rng = SmallRng::from_os_rng();
        let process = rng.random();
        let controller =
            Controller::new(settings.controller_config(), process, clock.wall_time().0);
        let cells = settings.cells.clone().map(Cells::new);
        let connection_limit = settings.max_sockets * INBOUND_CONNECTIONS_PERCENT / 100;
        Node {
            settings,
            clock,
            store,
            cloud,
            http,
            peers: PeerClient::default(),
            connections: Arc::new(Connections::new(connection_limit)),
            scheduler_wakeup: Notify::new(),
            fresh_reads: FreshReads::default(),
            copy_age: Mutex::new(CopyAge::new(clock.now())),
            query_permits: Semaphore::new(max_waiting),
            job_lookups: JobLookups::new(max_comparisons),
            lookup_permits: Semaphore::new(max_waiting),
            cells,
            controller: Mutex::new(controller),
            rng: Mutex::new(rng),
        }
    }

    /// Locks the controller's state machine.
    pub fn controller(&self) -> ControllerGuard<'_> {
        ControllerGuard(lock(&self.controller))
    }

    /// Locks the age of the copy of the records.
    pub fn copy_age(&self) -> MutexGuard<'_, CopyAge> {
        lock(&self.copy_age)
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// Sleeps for `ms` milliseconds with a jitter of half of it in each direction, so that nodes do not
    /// act in lockstep.
    pub async fn pause(&self, ms: u64) {
        let jitter = self.random() % (ms + 1);
        tokio::time::sleep(Duration::from_millis(ms / 2 + 1 + jitter)).await;
    }

    /// Returns how the state service has served this process, for heartbeats to peers.
    pub fn store_health(&self) -> StoreHealth {
        StoreHealth {
            reachable: self.store.is_up(STORE_REACHABLE_WINDOW),
            last_success_at: self.store.last_success_at(),
        }
    }

    /// Returns whether this node can take requests, for health checks. It must have read the records and
    /// the catalogue. Without the state service, the node is still up while it has live peers, so that
    /// all nodes stay up when the state service fails for all of them: the load balancer would take
    /// longer to bring them back than most outages last.
    pub fn is_up(&self) -> bool {
        let controller = self.controller();
        if !controller.is_synced() || controller.catalog().is_none() {
            return false;
        }
        self.store.is_up(HEALTHY_WINDOW) || controller.live_peers(self.now()) > 0
    }
}
