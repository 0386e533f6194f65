//! The state that the tasks of one controller process share: the state machine, the settings, and the
//! clients of the systems around it.

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
use crate::mutex::lock;
use crate::peer_link::PeerClient;
use crate::settings::Settings;
use crate::store::StoreClient;

/// How the sockets are shared out, in percent: connections accepted from users and agents, and kept ones
/// to machines. [`crate::server`] takes those that wait to be accepted; the rest is for the store, the
/// cloud, the peers and calls in flight.
const ACCEPTED_PERCENT: usize = 70;
const KEPT_PERCENT: usize = 10;
/// Queries of users that may wait for the latest records at a time, as a part of the sockets: heartbeats,
/// submissions and cancellations share the processor with them.
const QUERIES_PERCENT: usize = 20;

/// How long after its last answer the state service counts as reachable in heartbeats to peers, and when
/// the load balancer asks for this node's health.
const STORE_REACHABLE_WITHIN: Micros = Micros::from_secs(12);
const HEALTHY_WITHIN: Micros = Micros::from_secs(15);

/// One controller process.
pub struct Node {
    /// The platform's settings.
    pub settings: Settings,
    /// This process's clocks.
    pub clock: Clock,
    /// The state service.
    pub store: StoreClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// The client of the agents.
    pub http: Arc<Client>,
    /// The other controllers.
    pub peers: PeerClient,
    /// The connections of users and agents.
    pub connections: Arc<Connections>,
    /// Wakes the task that runs the scheduler.
    pub scheduler_wakeup: Notify,
    /// Reads of the latest records that requests wait for.
    pub fresh_reads: FreshReads,
    /// Queries of users that may wait for them.
    pub query_permits: Semaphore,
    /// Delegations to other cells, if there is a file on cells.
    pub cells: Option<Cells>,
    controller: Mutex<Controller>,
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
    /// A controller that has not begun to serve.
    pub fn new(settings: Settings) -> Node {
        let query_permits = Semaphore::new(settings.max_sockets * QUERIES_PERCENT / 100);
        let clock = Clock::start();
        let http = Arc::new(Client::new(settings.max_sockets * KEPT_PERCENT / 100));
        let store = StoreClient::new(
            http.clone(),
            settings.store_addr,
            clock,
            settings.store.clone(),
            settings.controller_count,
        );
        let cloud = CloudClient::new(http.clone(), settings.cloud_addr, clock, settings.cloud_rps);
        let mut rng = SmallRng::from_os_rng();
        let process = rng.random();
        let controller =
            Controller::new(settings.controller_config(), process, clock.wall_time().0);
        let cells = settings.cells.clone().map(Cells::new);
        let accepted = settings.max_sockets * ACCEPTED_PERCENT / 100;
        Node {
            settings,
            clock,
            store,
            cloud,
            http,
            peers: PeerClient::default(),
            connections: Arc::new(Connections::new(accepted)),
            scheduler_wakeup: Notify::new(),
            fresh_reads: FreshReads::default(),
            query_permits,
            cells,
            controller: Mutex::new(controller),
            rng: Mutex::new(rng),
        }
    }

    /// Locks the controller's state machine.
    pub fn controller(&self) -> ControllerGuard<'_> {
        ControllerGuard(lock(&self.controller))
    }

    /// The time on the monotonic clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    /// A pause of about `ms`, spread by half either way so that nodes don't act in step.
    pub async fn pause(&self, ms: u64) {
        let spread = self.random() % (ms + 1);
        tokio::time::sleep(Duration::from_millis(ms / 2 + 1 + spread)).await;
    }

    /// How the state service has served this process, for heartbeats to peers.
    pub fn store_health(&self) -> StoreHealth {
        StoreHealth {
            reachable: self.store.is_up(STORE_REACHABLE_WITHIN),
            last_success_at: self.store.last_success_at(),
        }
    }

    /// Whether this node can take requests. When the state service fails for all nodes, all stay up: the
    /// load balancer would take longer to bring them back than most outages last.
    pub fn is_up(&self) -> bool {
        let controller = self.controller();
        if !controller.is_synced() || controller.catalog().is_none() {
            return false;
        }
        self.store.is_up(HEALTHY_WITHIN) || controller.live_peers(self.now()) > 0
    }
}
