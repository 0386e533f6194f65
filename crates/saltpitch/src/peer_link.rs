//! The protocol between controllers: length-delimited MessagePack frames that carry the messages of
//! `saltpitch_core::messages`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use saltpitch_core::messages::{PeerRequest, PeerResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::mutex::lock;

/// The maximum length of a frame.
const MAX_FRAME_BYTES: usize = 128 * 1024;
/// The maximum number of idle connections kept to each of the other controllers.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// A connection to another controller.
pub type PeerLink = Framed<TcpStream, LengthDelimitedCodec>;

/// Adds the protocol's framing to a connection. Disables Nagle's algorithm because frames are small and
/// the sender waits for the response to each.
pub fn framed(tcp: TcpStream) -> PeerLink {
    let _ = tcp.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(tcp, codec)
}

/// Encodes a message with the names of its fields, so that a peer of another version ignores fields that
/// it does not know. [`decode`] also accepts frames of protocol version 0, whose fields are identified
/// by position.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(message).ok()
}

/// Decodes a frame. Returns `None` and logs a line if this version cannot read the whole frame.
pub fn decode<T: DeserializeOwned>(frame: &[u8], remote_addr: SocketAddr) -> Option<T> {
    match rmp_serde::from_slice(frame) {
        Ok(message) => Some(message),
        Err(error) => {
            let length = frame.len();
            tracing::info!(
                "frame of {length} bytes from {remote_addr} is unreadable and was refused: {error}"
            );
            None
        }
    }
}

/// The client side of the connections to the other controllers, with a pool of idle connections.
#[derive(Default)]
pub struct PeerClient {
    idle: Mutex<HashMap<SocketAddr, Vec<PeerLink>>>,
}

impl PeerClient {
    /// Sends a request and waits for its response. Returns `None` if there is no response within
    /// `time_limit`, or no readable one. A request on a reused connection that fails is retried once on
    /// a new connection.
    pub async fn request(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        time_limit: Duration,
    ) -> Option<PeerResponse> {
        let frame = encode(request)?;
        let idle = self.take_idle(addr);
        let is_reused = idle.is_some();
        let first = timeout(time_limit, exchange(idle, addr, &frame)).await;
        let (link, response) = match first {
            Ok(Some(answered)) => answered,
            // The peer may have closed the idle connection in the meantime. Requests are idempotent.
            Ok(None) if is_reused => timeout(time_limit, exchange(None, addr, &frame))
                .await
                .ok()??,
            _ => return None,
        };
        self.put_idle(addr, link);
        Some(response)
    }

    /// Takes an idle connection from the pool.
    fn take_idle(&self, addr: SocketAddr) -> Option<PeerLink> {
        lock(&self.idle).get_mut(&addr).and_then(Vec::pop)
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    fn put_idle(&self, addr: SocketAddr, link: PeerLink) {
        let mut idle = lock(&self.idle);
        let links = idle.entry(addr).or_default();
        if links.len() < MAX_IDLE_CONNECTIONS {
            links.push(link);
        }
    }
}

/// Sends one request frame and reads its response, on the given connection or a new one.
async fn exchange(
    link: Option<PeerLink>,
    addr: SocketAddr,
    frame: &[u8],
) -> Option<(PeerLink, PeerResponse)> {
    let mut link = match link {
        Some(link) => link,
        None => framed(TcpStream::connect(addr).await.ok()?),
    };
    link.send(Bytes::copy_from_slice(frame)).await.ok()?;
    let response_frame = link.next().await?.ok()?;
    let response = decode(&response_frame, addr)?;
    Some((link, response))
}
