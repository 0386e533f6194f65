//! What the controllers say to each other: length-delimited frames of MessagePack.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use saltpitch_core::records::{Cursor, Word};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::node::Node;

const MAX_FRAME: usize = 128 * 1024;
const MAX_CONNS: usize = 64;
/// From 1 on a node gives its word on cancellations, and goes by that of others.
pub const VERSION: u32 = 1;

#[cfg(test)]
mod tests;

/// What a node tells of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    pub node: String,
    /// The highest term that it knows, and who holds it in which life.
    pub term: u64,
    pub owner: String,
    pub life: u64,
    pub leads: bool,
    pub store_up: bool,
    /// Workers that knocked here lately and were sent on.
    pub knocks: u32,
    /// What this node understands, see [`VERSION`]; the first version says nothing.
    #[serde(default)]
    pub version: u32,
    /// A leader asks for the peer's [`Word`]: the revision of its records, and where the last word of
    /// that peer ended. Left out otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asks: Option<(u64, Cursor)>,
    /// The answer to that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub word: Option<Word>,
}

/// A user's request, passed on by a node that has no store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum UserOp {
    Submit(Vec<u8>),
    Query(String),
    Cancel(String),
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Ask {
    Hello(Hello),
    User(UserOp),
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Say {
    Hello(Hello),
    User {
        status: u16,
        body: String,
    },
    /// This node can't serve it either.
    Unable,
}

/// Frames name their fields: a peer of another version passes over those that it does not know, and
/// reads those of the first version, which go by position, as well.
pub fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    rmp_serde::to_vec_named(message).ok()
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Connections to the other controllers.
#[derive(Default)]
pub struct Links(Mutex<HashMap<SocketAddr, Vec<Link>>>);

impl Links {
    /// One question and its answer. None: no answer in time.
    pub async fn ask(&self, addr: SocketAddr, q: &Ask, limit: Duration) -> Option<Say> {
        let frame = encode(q)?;
        let kept = {
            let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
            all.get_mut(&addr).and_then(Vec::pop)
        };
        let fresh = kept.is_none();
        let (link, say) = match timeout(limit, exchange(kept, addr, &frame)).await {
            Ok(Some(x)) => x,
            // A kept connection may have been closed meanwhile; questions can be repeated.
            Ok(None) if !fresh => timeout(limit, exchange(None, addr, &frame)).await.ok()??,
            _ => return None,
        };
        let mut all = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let list = all.entry(addr).or_default();
        if list.len() < 4 {
            list.push(link);
        }
        Some(say)
    }
}

async fn exchange(link: Option<Link>, addr: SocketAddr, frame: &[u8]) -> Option<(Link, Say)> {
    let mut link = match link {
        Some(l) => l,
        None => {
            let tcp = TcpStream::connect(addr).await.ok()?;
            let _ = tcp.set_nodelay(true);
            Framed::new(tcp, codec())
        }
    };
    link.send(bytes::Bytes::copy_from_slice(frame)).await.ok()?;
    let answer = link.next().await?.ok()?;
    Some((link, rmp_serde::from_slice(&answer).ok()?))
}

/// Answers the other controllers.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONNS));
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let _slot = slot;
            let _ = tcp.set_nodelay(true);
            let mut link = Framed::new(tcp, codec());
            while let Ok(Some(Ok(frame))) = timeout(Duration::from_secs(30), link.next()).await {
                let Ok(ask) = rmp_serde::from_slice::<Ask>(&frame) else {
                    tracing::info!("peer: unreadable message refused");
                    return;
                };
                let say = match ask {
                    Ask::Hello(h) => {
                        let (asks, version) = (h.asks, h.version);
                        node.met_peer(h, None);
                        Say::Hello(node.answer(asks, version))
                    }
                    Ask::User(op) => match node.user_op(op, false).await {
                        Some((status, body)) => Say::User {
                            status,
                            body: body.to_string(),
                        },
                        None => Say::Unable,
                    },
                };
                let Some(bytes) = encode(&say) else {
                    return;
                };
                let sent =
                    timeout(Duration::from_secs(5), link.send(bytes::Bytes::from(bytes))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
        });
    }
}
