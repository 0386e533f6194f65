//! The link between controllers: length-delimited frames of MessagePack that carry the messages of
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

/// The largest frame in bytes.
const MAX_FRAME_BYTES: usize = 128 * 1024;
/// The most idle connections kept to each other controller.
const MAX_KEPT_CONNECTIONS: usize = 4;

/// One connection to another controller.
pub type PeerLink = Framed<TcpStream, LengthDelimitedCodec>;

/// A connection with the protocol's framing. Frames are small and each is waited for, so they are sent
/// without delay.
pub fn framed(tcp: TcpStream) -> PeerLink {
    let _ = tcp.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(tcp, codec)
}

/// Frames name their fields: a peer of another version skips those that it does not know. The reader
/// also takes frames of protocol version 0, whose fields go by position.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(message).ok()
}

/// A frame that this version cannot read is refused as a whole, with one log line.
pub fn decode<T: DeserializeOwned>(frame: &[u8], from: SocketAddr) -> Option<T> {
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

/// The client's side of the links to the other controllers, with the connections that it keeps.
#[derive(Default)]
pub struct PeerClient {
    idle: Mutex<HashMap<SocketAddr, Vec<PeerLink>>>,
}

impl PeerClient {
    /// Sends a request and waits for its answer. `None`: no answer in time.
    pub async fn request(
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
            // A kept connection may have been closed meanwhile; requests are idempotent.
            Ok(None) if reused => timeout(limit, exchange(None, addr, &frame)).await.ok()??,
            _ => return None,
        };
        self.keep(addr, link);
        Some(response)
    }

    fn take(&self, addr: SocketAddr) -> Option<PeerLink> {
        lock(&self.idle).get_mut(&addr).and_then(Vec::pop)
    }

    fn keep(&self, addr: SocketAddr, link: PeerLink) {
        let mut idle = lock(&self.idle);
        let kept = idle.entry(addr).or_default();
        if kept.len() < MAX_KEPT_CONNECTIONS {
            kept.push(link);
        }
    }
}

/// One request and its answer, on the given connection or a new one.
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
    let answer = link.next().await?.ok()?;
    let response = decode(&answer, addr)?;
    Some((link, response))
}
