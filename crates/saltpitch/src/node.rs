//! The process around one [`Controller`]: it owns the adapters and shares the state machine between
//! the tasks that carry its messages.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anyhow::{Context, Result};
use poem::listener::TcpAcceptor;
use poem::Server;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::controller::{Controller, StoreHealth};
use saltpitch_core::Micros;
use tokio::sync::{Notify, Semaphore};

use crate::api::Api;
use crate::cells::{self, Cells};
use crate::clock::Clock;
use crate::cloud::Cloud;
use crate::connection_limit::{Bounded, Connections};
use crate::http::Client;
use crate::peer::{self, Links};
use crate::record_sync::FreshReads;
use crate::settings::Settings;
use crate::store::Store;
use crate::{leadership, record_sync};

/// A connection on which nothing moves for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// How the sockets are shared out, in percent: connections accepted from users and agents, those
/// that wait to be accepted, and kept ones to machines. The rest is for the store, the cloud, the peers
/// and calls under way.
const ACCEPTED_PERCENT: usize = 70;
const BACKLOG_PERCENT: usize = 10;
const KEPT_PERCENT: usize = 10;
/// Questions of users that may wait for the newest records at a time, as a part of the sockets: heartbeats,
/// submissions and cancellations share the processor with them.
const QUESTIONS_PERCENT: usize = 20;

/// Connections that may wait to be accepted; the kernel keeps no more than about the latter.
const MIN_BACKLOG: usize = 8;
const MAX_BACKLOG: usize = 4_096;

/// How long after its last answer the state service counts as reachable when peers ask, and when the
/// load balancer does.
const STORE_REACHABLE_WITHIN: Micros = Micros::from_secs(12);
const HEALTHY_WITHIN: Micros = Micros::from_secs(15);

/// A controller process.
pub struct Node {
    /// The platform's settings.
    pub settings: Settings,
    /// This process's clocks.
    pub clock: Clock,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// Calls to machines.
    pub http: Arc<Client>,
    /// Connections to the other controllers.
    pub links: Links,
    /// The connections of users and agents.
    pub connections: Arc<Connections>,
    /// Wakes the leader's loop.
    pub wake: Notify,
    /// Reads of the newest records that requests wait for.
    pub fresh_reads: FreshReads,
    /// Questions of users that may wait for them.
    pub questions: Semaphore,
    /// Delegations to other cells, with a file on cells.
    pub cells: Option<Cells>,
    controller: Mutex<Controller>,
    rng: Mutex<SmallRng>,
}

/// Exclusive access to the controller. Never held across an await. What the controller wants logged
/// is written when the guard is dropped.
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

/// Runs a controller until the process is killed.
pub async fn serve(settings: Settings) -> Result<()> {
    let (api, peer_bind) = (settings.api, settings.peer_bind);
    let backlog = settings.sockets * BACKLOG_PERCENT / 100;
    let node = Arc::new(Node::new(settings));
    let listener = tokio::net::TcpListener::bind(peer_bind)
        .await
        .with_context(|| format!("cannot listen on peer_bind {peer_bind}"))?;
    tracing::info!("node {} starts", node.settings.node);
    tokio::spawn(peer::serve(node.clone(), listener));
    tokio::spawn(record_sync::follow(node.clone()));
    tokio::spawn(record_sync::read_fresh(node.clone()));
    peer::spawn_heartbeats(&node);
    tokio::spawn(record_sync::load_catalog(node.clone()));
    tokio::spawn(leadership::hold_leadership(node.clone()));
    tokio::spawn(leadership::run(node.clone()));
    tokio::spawn(leadership::list_machines(node.clone()));
    cells::start(&node).await?;
    let cannot_serve = || format!("cannot serve on api_addr {api}");
    let acceptor = listen(api, backlog).with_context(cannot_serve)?;
    let acceptor = Bounded::new(acceptor, node.clock, node.connections.clone());
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_TIMEOUT)
        .run(Api(node))
        .await
        .with_context(cannot_serve)
}

/// Listens with a bounded backlog: connections that wait to be accepted take sockets as well.
pub fn listen(addr: std::net::SocketAddr, backlog: usize) -> std::io::Result<TcpAcceptor> {
    let socket = if addr.is_ipv4() {
        tokio::net::TcpSocket::new_v4()?
    } else {
        tokio::net::TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    TcpAcceptor::from_tokio(socket.listen(backlog.clamp(MIN_BACKLOG, MAX_BACKLOG) as u32)?)
}

impl Node {
    /// A controller that has not begun to serve.
    pub fn new(settings: Settings) -> Node {
        let questions = Semaphore::new(settings.sockets * QUESTIONS_PERCENT / 100);
        let clock = Clock::start();
        let http = Arc::new(Client::new(settings.sockets * KEPT_PERCENT / 100));
        let store = Store::new(
            http.clone(),
            settings.state,
            clock,
            settings.store.clone(),
            settings.size,
        );
        let cloud = Cloud::new(http.clone(), settings.cloud, clock, settings.cloud_rps);
        let mut rng = SmallRng::from_os_rng();
        let process = rng.random();
        let controller = Controller::new(settings.controller(), process, clock.wall().0);
        let cells = settings.cells.clone().map(Cells::new);
        let accepted = settings.sockets * ACCEPTED_PERCENT / 100;
        Node {
            settings,
            clock,
            store,
            cloud,
            http,
            links: Links::default(),
            connections: Arc::new(Connections::new(accepted)),
            wake: Notify::new(),
            fresh_reads: FreshReads::default(),
            questions,
            cells,
            controller: Mutex::new(controller),
            rng: Mutex::new(rng),
        }
    }

    /// The controller's state machine.
    pub fn controller(&self) -> ControllerGuard<'_> {
        ControllerGuard(self.controller.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// The present time on the steady clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        let mut rng = self.rng.lock().unwrap_or_else(|e| e.into_inner());
        rng.random()
    }

    /// A pause of about `ms`, spread so that nodes don't act in step.
    pub async fn pause(&self, ms: u64) {
        let spread = self.random() % (ms + 1);
        tokio::time::sleep(Duration::from_millis(ms / 2 + 1 + spread)).await;
    }

    /// How the state service has served this process, as peers are told.
    pub fn store_health(&self) -> StoreHealth {
        StoreHealth {
            reachable: self.store.is_up(STORE_REACHABLE_WITHIN),
            last_success_at: self.store.last_ok(),
        }
    }

    /// Whether this node can take requests. In a common outage all stay up: to be taken out of the
    /// balance costs longer than that.
    pub fn is_up(&self) -> bool {
        let controller = self.controller();
        if !controller.is_synced() || controller.catalog().is_none() {
            return false;
        }
        self.store.is_up(HEALTHY_WITHIN) || controller.live_peers(self.now()) > 0
    }
}
