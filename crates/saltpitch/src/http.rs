//! A small HTTP client that reuses connections, limits the time of every call, and distinguishes
//! requests that were certainly not sent from those whose outcome is unknown.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::mutex::lock;

/// The maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// The lowest limit on the number of addresses to which connections are kept.
const ADDRESS_LIMIT_FLOOR: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum length of a response body. The response to a watch may have any length, but this node's
/// memory is limited.
const MAX_REPLY_BYTES: usize = 6 * 1024 * 1024;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent and will not be sent.
    NotSent,
    /// There is no response: the server may have executed the request or may still execute it.
    Unknown,
}

/// A response.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The `Retry-After` header in seconds.
    pub retry_after_s: Option<u64>,
}

type Sender = SendRequest<Full<Bytes>>;

/// The idle connections to one address.
#[derive(Default)]
struct IdleConnections {
    /// The sequence number of the last use, which is the key in [`IdlePool::by_last_use`].
    last_use: u64,
    senders: Vec<Sender>,
}

/// The idle connections by address, and the addresses in the order of their last use.
#[derive(Default)]
struct IdlePool {
    by_address: HashMap<SocketAddr, IdleConnections>,
    by_last_use: BTreeMap<u64, SocketAddr>,
    /// The number of uses so far.
    use_count: u64,
}

impl IdlePool {
    /// Takes a connection to the address that is still open, and drops those that are not.
    fn take(&mut self, addr: SocketAddr) -> Option<Sender> {
        let senders = &mut self.by_address.get_mut(&addr)?.senders;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Adds a connection to the pool, and evicts the connections to the least recently used addresses if
    /// there are more than `max_addresses` addresses.
    fn put(&mut self, addr: SocketAddr, sender: Sender, max_addresses: usize) {
        self.use_count += 1;
        let entry = self.by_address.entry(addr).or_default();
        self.by_last_use.remove(&entry.last_use);
        self.by_last_use.insert(self.use_count, addr);
        entry.last_use = self.use_count;
        entry.senders.retain(|sender| !sender.is_closed());
        if entry.senders.len() < MAX_IDLE_PER_ADDRESS {
            entry.senders.push(sender);
        }
        // Without eviction, connections to machines that no longer exist would fill the pool.
        while self.by_address.len() > max_addresses {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.by_address.remove(&oldest);
        }
    }
}

/// An HTTP client with a pool of idle connections.
pub struct Client {
    idle_pool: Mutex<IdlePool>,
    max_addresses: usize,
}

/// A response, and whether its connection must be closed instead of reused.
struct Exchange {
    reply: Reply,
    must_close: bool,
}

impl Client {
    /// Creates a client that keeps idle connections to the `max_addresses` most recently used addresses,
    /// or to [`ADDRESS_LIMIT_FLOOR`] if that is more.
    pub fn new(max_addresses: usize) -> Client {
        Client {
            idle_pool: Mutex::default(),
            max_addresses: max_addresses.max(ADDRESS_LIMIT_FLOOR),
        }
    }

    /// Sends one request and reads its whole response within `time_limit`. The time to connect, if there
    /// is no idle connection, is limited separately.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        let idle_sender = lock(&self.idle_pool).take(addr);
        let mut sender = match idle_sender {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CallError::NotSent)?;
        let exchange = timeout(time_limit, exchange(&mut sender, request))
            .await
            .map_err(|_| CallError::Unknown)??;
        if !exchange.must_close {
            lock(&self.idle_pool).put(addr, sender, self.max_addresses);
        }
        Ok(exchange.reply)
    }
}

/// Opens a connection and spawns the task that drives it.
async fn connect(addr: SocketAddr) -> Result<Sender, CallError> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| CallError::NotSent)?
        .map_err(|_| CallError::NotSent)?;
    let _ = tcp.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(tcp))
        .await
        .map_err(|_| CallError::NotSent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends one request on a connection and reads the response.
async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, CallError> {
    let response = sender.send_request(request).await.map_err(|error| {
        if error.is_canceled() {
            CallError::NotSent
        } else {
            CallError::Unknown
        }
    })?;
    read_reply(response).await
}

async fn read_reply(response: Response<Incoming>) -> Result<Exchange, CallError> {
    let status = response.status().as_u16();
    let must_close = has_connection_close(response.headers());
    let retry_after_s = retry_after_s(response.headers());
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
        .collect()
        .await
        .map_err(|_| CallError::Unknown)?
        .to_bytes();
    let reply = Reply {
        status,
        body,
        retry_after_s,
    };
    Ok(Exchange { reply, must_close })
}

/// Returns whether the server closes the connection after this response.
fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Returns the `Retry-After` header in seconds. The header's other form, a date, is ignored.
fn retry_after_s(headers: &HeaderMap) -> Option<u64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}
