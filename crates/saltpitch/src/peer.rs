//! Sends heartbeats to the other controllers and handles their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use saltpitch_core::messages::{PeerRequest, PeerResponse};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::node::Node;
use crate::peer_link::{decode, encode, framed};
use crate::settings::Peer;

/// The maximum number of connections accepted from other controllers.
const MAX_INBOUND_CONNECTIONS: usize = 64;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The mean pause between two heartbeats to a peer, in milliseconds. The jitter is half of it in each
/// direction.
const HEARTBEAT_PAUSE_MS: u64 = 700;
/// The pause after a connection could not be accepted.
const FAILED_ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Accepts connections from the other controllers, and closes those that exceed the limit. Never
/// returns.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let connection_permits = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        let Ok((tcp, remote_addr)) = listener.accept().await else {
            tokio::time::sleep(FAILED_ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            serve_connection(node, tcp, remote_addr).await;
            drop(permit);
        });
    }
}

/// Handles the requests of one connection until it fails, becomes idle or sends an unreadable frame.
async fn serve_connection(node: Arc<Node>, tcp: TcpStream, remote_addr: SocketAddr) {
    let mut link = framed(tcp);
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, link.next()).await {
        let Some(request) = decode(&frame, remote_addr) else {
            return;
        };
        let response = handle_request(&node, request).await;
        let Some(frame) = encode(&response) else {
            return;
        };
        let send_result = timeout(SEND_TIMEOUT, link.send(Bytes::from(frame))).await;
        if !matches!(send_result, Ok(Ok(()))) {
            return;
        }
    }
}

async fn handle_request(node: &Node, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Heartbeat(heartbeat) => {
            let (store, now) = (node.store_health(), node.now());
            let answer = node
                .controller()
                .peer_heartbeat_received(heartbeat, store, now);
            PeerResponse::Heartbeat(answer)
        }
        PeerRequest::User(request) => match node.serve_user_request_locally(&request).await {
            Ok(reply) => PeerResponse::User {
                status: reply.status,
                body: reply.body.to_string(),
            },
            Err(_) => PeerResponse::Unable,
        },
    }
}

/// Spawns a task for each peer that sends it a heartbeat about once per second.
pub fn spawn_heartbeats(node: &Arc<Node>) {
    for peer in node.settings.peers.clone() {
        tokio::spawn(send_heartbeats(node.clone(), peer));
    }
}

async fn send_heartbeats(node: Arc<Node>, peer: Peer) {
    loop {
        let has_more = send_heartbeat(&node, &peer).await;
        if !has_more {
            node.pause(HEARTBEAT_PAUSE_MS).await;
        }
    }
}

/// Sends one heartbeat. Returns whether the next one must follow at once because the peer's
/// acknowledgement of cancellations has another page.
async fn send_heartbeat(node: &Node, peer: &Peer) -> bool {
    let sent_at = node.now();
    let (heartbeat, epoch) = {
        let store = node.store_health();
        let controller = node.controller();
        let heartbeat = controller.peer_heartbeat(&peer.node, store, sent_at);
        (heartbeat, controller.epoch())
    };
    let request = PeerRequest::Heartbeat(heartbeat);
    let response = node
        .peers
        .request(peer.addr, &request, HEARTBEAT_TIMEOUT)
        .await;
    let Some(PeerResponse::Heartbeat(answer)) = response else {
        return false;
    };
    let now = node.now();
    let has_more = node
        .controller()
        .peer_heartbeat_answered(answer, sent_at, epoch, now);
    node.scheduler_wakeup.notify_one();
    has_more
}
