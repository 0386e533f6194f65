//! Heartbeats to the other controllers, and answers to their requests.

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

/// The most connections accepted from other controllers.
const MAX_CONNECTIONS: usize = 64;
/// A connection on which no request comes for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause between two heartbeats to a peer, in milliseconds; spread by half either way.
const HEARTBEAT_PAUSE_MS: u64 = 700;
/// The pause after a connection that could not be accepted.
const FAILED_ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Accepts connections from the other controllers.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((tcp, from)) = listener.accept().await else {
            tokio::time::sleep(FAILED_ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            serve_connection(node, tcp, from).await;
            drop(slot);
        });
    }
}

/// Answers the requests of one connection until it ends.
async fn serve_connection(node: Arc<Node>, tcp: TcpStream, from: SocketAddr) {
    let mut link = framed(tcp);
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, link.next()).await {
        let Some(request) = decode(&frame, from) else {
            return;
        };
        let response = respond(&node, request).await;
        let Some(frame) = encode(&response) else {
            return;
        };
        let sent = timeout(SEND_TIMEOUT, link.send(Bytes::from(frame))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn respond(node: &Node, request: PeerRequest) -> PeerResponse {
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

/// Starts sending heartbeats to every peer, about one a second.
pub fn spawn_heartbeats(node: &Arc<Node>) {
    for peer in node.settings.peers.clone() {
        tokio::spawn(send_heartbeats(node.clone(), peer));
    }
}

async fn send_heartbeats(node: Arc<Node>, peer: Peer) {
    loop {
        let sends_another = send_heartbeat(&node, &peer).await;
        if !sends_another {
            node.pause(HEARTBEAT_PAUSE_MS).await;
        }
    }
}

/// Sends one heartbeat; whether the next is to follow at once.
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
    let sends_another = node
        .controller()
        .peer_heartbeat_answered(answer, sent_at, epoch, now);
    node.scheduler_wakeup.notify_one();
    sends_another
}
