//! A small HTTP client: it keeps connections, has a time limit for every call, and tells a request that
//! was certainly not sent from one whose outcome is unknown.

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

/// The most idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 4;
/// The fewest addresses to which connections are kept.
const MIN_ADDRESSES: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest answer taken: a watch's answer has no limit of its own, but this node's memory has.
const MAX_ANSWER_BYTES: usize = 6 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent and never will be.
    NotSent,
    /// No answer: the request may have been carried out, or may yet be.
    Unknown,
}

/// An answer.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// `Retry-After` in seconds.
    pub retry_after_s: Option<u64>,
}

type Sender = SendRequest<Full<Bytes>>;

/// The idle connections to one address.
#[derive(Default)]
struct IdleConnections {
    /// The number of the last use, which is the key in [`IdlePool::by_use`].
    last_use: u64,
    senders: Vec<Sender>,
}

/// Idle connections by address, and the addresses in the order of their last use.
#[derive(Default)]
struct IdlePool {
    by_address: HashMap<SocketAddr, IdleConnections>,
    by_use: BTreeMap<u64, SocketAddr>,
    uses: u64,
}

impl IdlePool {
    /// Takes a connection to the address that is still open.
    fn take(&mut self, addr: SocketAddr) -> Option<Sender> {
        let senders = &mut self.by_address.get_mut(&addr)?.senders;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection, in place of those to the addresses that were used longest ago.
    fn put(&mut self, addr: SocketAddr, sender: Sender, max_addresses: usize) {
        self.uses += 1;
        let entry = self.by_address.entry(addr).or_default();
        self.by_use.remove(&entry.last_use);
        self.by_use.insert(self.uses, addr);
        entry.last_use = self.uses;
        entry.senders.retain(|sender| !sender.is_closed());
        if entry.senders.len() < MAX_IDLE_PER_ADDRESS {
            entry.senders.push(sender);
        }
        // Machines come and go: connections to those long gone must not take the others' places.
        while self.by_address.len() > max_addresses {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.by_address.remove(&oldest);
        }
    }
}

/// An HTTP client for any number of addresses.
pub struct Client {
    idle: Mutex<IdlePool>,
    max_addresses: usize,
}

/// An answer, and whether the connection on which it came can be used again.
struct Exchange {
    reply: Reply,
    closes: bool,
}

impl Client {
    /// Keeps connections to about `max_addresses` addresses, those used last.
    pub fn new(max_addresses: usize) -> Client {
        Client {
            idle: Mutex::default(),
            max_addresses: max_addresses.max(MIN_ADDRESSES),
        }
    }

    /// Sends one request and reads its whole answer within `limit`, after connecting if need be.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let kept = lock(&self.idle).take(addr);
        let mut sender = match kept {
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
        let exchange = timeout(limit, exchange(&mut sender, request))
            .await
            .map_err(|_| CallError::Unknown)??;
        if !exchange.closes {
            lock(&self.idle).put(addr, sender, self.max_addresses);
        }
        Ok(exchange.reply)
    }
}

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
    read_answer(response).await
}

async fn read_answer(response: Response<Incoming>) -> Result<Exchange, CallError> {
    let status = response.status().as_u16();
    let closes = closes_connection(response.headers());
    let retry_after_s = retry_after_s(response.headers());
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|_| CallError::Unknown)?
        .to_bytes();
    let reply = Reply {
        status,
        body,
        retry_after_s,
    };
    Ok(Exchange { reply, closes })
}

fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// `Retry-After` in seconds; its other form, a date, is passed over.
fn retry_after_s(headers: &HeaderMap) -> Option<u64> {
    headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()
}
