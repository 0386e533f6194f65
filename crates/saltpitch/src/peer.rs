//! The link between controllers: length-delimited frames of MessagePack that carry the messages of
//! `saltpitch_core::messages`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use saltpitch_core::messages::{PeerRequest, PeerResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::node::Node;
use crate::settings::Peer;

/// The largest frame in bytes.
const MAX_FRAME_BYTES: usize = 128 * 1024;
/// The most connections accepted from other controllers.
const MAX_CONNECTIONS: usize = 64;
/// The most idle connections kept to each other controller.
const MAX_KEPT_CONNECTIONS: usize = 4;
/// A connection on which no request comes for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause between two heartbeats to a peer, in milliseconds; spread by half either way.
const HEARTBEAT_PAUSE_MS: u64 = 700;

/// Frames name their fields: a peer of another version skips those that it does not know. The reader
/// also takes frames of protocol version 0, whose fields go by position.
fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(message).ok()
}

/// A frame that this version cannot read is refused as a whole, with one log line.
fn decode<T: DeserializeOwned>(frame: &[u8], from: SocketAddr) -> Option<T> {
    match rmp_serde::from_slice(frame) {
        Ok(message) => Some(message),
        Err(error) => {
            let length = frame.len();
            tracing::info!(
                "frame of {length} bytes from {from} is unreadable and was refused: {error}"
            );
            None
        }
    }
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Connections to the other controllers.
#[derive(Default)]
pub struct Links(Mutex<HashMap<SocketAddr, Vec<Link>>>);

impl Links {
    /// Sends a request and waits for its answer. `None`: no answer in time.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Option<PeerResponse> {
        let frame = encode(request)?;
        let kept = self.take(addr);
        let reused = kept.is_some();
        let first = timeout(limit, exchange(kept, addr, &frame)).await;
        let (link, response) = match first {
            Ok(Some(answered)) => answered,
            // A kept connection may have been closed meanwhile; requests can be repeated.
            Ok(None) if reused => timeout(limit, exchange(None, addr, &frame)).await.ok()??,
            _ => return None,
        };
        self.keep(addr, link);
        Some(response)
    }

    fn take(&self, addr: SocketAddr) -> Option<Link> {
        let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        all.get_mut(&addr).and_then(Vec::pop)
    }

    fn keep(&self, addr: SocketAddr, link: Link) {
        let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let kept = all.entry(addr).or_default();
        if kept.len() < MAX_KEPT_CONNECTIONS {
            kept.push(link);
        }
    }
}

async fn exchange(
    link: Option<Link>,
    addr: SocketAddr,
    frame: &[u8],
) -> Option<(Link, PeerResponse)> {
    let mut link = match link {
        Some(link) => link,
        None => {
            let tcp = TcpStream::connect(addr).await.ok()?;
            let _ = tcp.set_nodelay(true);
            Framed::new(tcp, codec())
        }
    };
    link.send(bytes::Bytes::copy_from_slice(frame)).await.ok()?;
    let answer = link.next().await?.ok()?;
    Some((link, decode(&answer, addr)?))
}

/// Accepts connections from the other controllers.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((tcp, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
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
    let _ = tcp.set_nodelay(true);
    let mut link = Framed::new(tcp, codec());
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, link.next()).await {
        let Some(request) = decode(&frame, from) else {
            return;
        };
        let response = respond(&node, request).await;
        let Some(frame) = encode(&response) else {
            return;
        };
        let sent = timeout(SEND_TIMEOUT, link.send(bytes::Bytes::from(frame))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn respond(node: &Node, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Heartbeat(status) => {
            let (store, now) = (node.store_health(), node.now());
            let answer = node
                .controller()
                .peer_heartbeat_received(status, store, now);
            PeerResponse::Heartbeat(answer)
        }
        PeerRequest::User(request) => match node.user_request_here(&request).await {
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
        let asked_at = node.now();
        let (peer_heartbeat, epoch) = {
            let store = node.store_health();
            let controller = node.controller();
            let peer_heartbeat = controller.peer_heartbeat(&peer.node, store, asked_at);
            (peer_heartbeat, controller.epoch())
        };
        let request = PeerRequest::Heartbeat(peer_heartbeat);
        let answer = node.links.ask(peer.addr, &request, HEARTBEAT_TIMEOUT).await;
        if let Some(PeerResponse::Heartbeat(status)) = answer {
            let now = node.now();
            let more = node
                .controller()
                .peer_heartbeat_answered(status, asked_at, epoch, now);
            node.wake.notify_one();
            if more {
                continue;
            }
        }
        node.pause(HEARTBEAT_PAUSE_MS).await;
    }
}
