//! Starts a controller: its listeners and the tasks that run until the process ends.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use poem::Server;
use tokio::net::TcpListener;

use crate::api::Api;
use crate::connection_limit::{listen, LimitedAcceptor};
use crate::node::Node;
use crate::settings::Settings;
use crate::{cells, cloud_sync, effects, job_lookups, leadership, peer, record_sync};

/// A connection of a user or agent without traffic for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// The percentage of the sockets that is reserved for connections of users and agents that wait to be
/// accepted.
const BACKLOG_PERCENT: usize = 10;

/// Runs a controller until the process is killed.
pub async fn serve(settings: Settings) -> Result<()> {
    let (api_addr, peer_bind) = (settings.api_addr, settings.peer_bind);
    let backlog = settings.max_sockets * BACKLOG_PERCENT / 100;
    let node = Arc::new(Node::new(settings));
    let peer_listener = TcpListener::bind(peer_bind)
        .await
        .with_context(|| format!("cannot listen on peer_bind {peer_bind}"))?;
    tracing::info!("node {} is starting", node.settings.node);
    spawn_tasks(&node, peer_listener);
    cells::start(&node).await?;
    let cannot_serve = || format!("cannot serve on api_addr {api_addr}");
    let acceptor = listen(api_addr, backlog).with_context(cannot_serve)?;
    let acceptor = LimitedAcceptor::new(acceptor, node.clock, node.connections.clone());
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_TIMEOUT)
        .run(Api(node))
        .await
        .with_context(cannot_serve)
}

/// Spawns the tasks that run for the lifetime of the process.
fn spawn_tasks(node: &Arc<Node>, peer_listener: TcpListener) {
    tokio::spawn(peer::serve(node.clone(), peer_listener));
    tokio::spawn(record_sync::follow_changes(node.clone()));
    tokio::spawn(record_sync::serve_fresh_reads(node.clone()));
    tokio::spawn(job_lookups::serve_job_lookups(node.clone()));
    peer::spawn_heartbeats(node);
    tokio::spawn(cloud_sync::refresh_catalog(node.clone()));
    tokio::spawn(leadership::hold_leadership(node.clone()));
    tokio::spawn(effects::run_scheduler(node.clone()));
    tokio::spawn(cloud_sync::poll_machine_list(node.clone()));
}
