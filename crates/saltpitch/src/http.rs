//! A small HTTP client: kept connections, a time limit for every call, and the difference between
//! a request that was certainly not sent and one whose fate is unknown.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::mutex::lock;

/// Idle connections kept per address.
const KEPT: usize = 4;
const CONNECT: Duration = Duration::from_millis(1_000);
/// The largest answer taken: a watch's answer has no limit of its own, but this node's memory has.
const MAX_ANSWER: usize = 6 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent and never will be.
    NotSent,
    /// No answer: the request may have been carried out, or may yet be.
    Unknown,
}

pub struct Reply {
    pub status: u16,
    pub body: Bytes,
    /// `Retry-After` in seconds.
    pub retry_after: Option<u64>,
}

type Sender = SendRequest<Full<Bytes>>;

/// Kept connections by address, the addresses in the order of their last use.
#[derive(Default)]
struct Idle {
    by_addr: HashMap<SocketAddr, (u64, Vec<Sender>)>,
    by_use: BTreeMap<u64, SocketAddr>,
    uses: u64,
}

pub struct Client {
    idle: Mutex<Idle>,
    max_addrs: usize,
}

impl Client {
    /// Keeps connections to about `max_addrs` addresses, those used last.
    pub fn new(max_addrs: usize) -> Client {
        Client {
            idle: Mutex::default(),
            max_addrs: max_addrs.max(4),
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let list = &mut idle.by_addr.get_mut(&addr)?.1;
        while let Some(s) = list.pop() {
            if s.is_ready() {
                return Some(s);
            }
        }
        None
    }

    fn put(&self, addr: SocketAddr, s: Sender) {
        let mut idle = lock(&self.idle);
        let idle = &mut *idle;
        idle.uses += 1;
        let entry = idle.by_addr.entry(addr).or_default();
        idle.by_use.remove(&entry.0);
        idle.by_use.insert(idle.uses, addr);
        entry.0 = idle.uses;
        entry.1.retain(|s| !s.is_closed());
        if entry.1.len() < KEPT {
            entry.1.push(s);
        }
        // Machines come and go: connections to those long gone must not take the others' places.
        while idle.by_addr.len() > self.max_addrs {
            let Some((_, oldest)) = idle.by_use.pop_first() else {
                return;
            };
            idle.by_addr.remove(&oldest);
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Sender, CallError> {
        let tcp = timeout(CONNECT, TcpStream::connect(addr))
            .await
            .map_err(|_| CallError::NotSent)?
            .map_err(|_| CallError::NotSent)?;
        let _ = tcp.set_nodelay(true);
        let (sender, conn) = handshake(TokioIo::new(tcp))
            .await
            .map_err(|_| CallError::NotSent)?;
        tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(sender)
    }

    /// One request and its whole answer within `limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let mut sender = match self.take(addr) {
            Some(s) => s,
            None => self.connect(addr).await?,
        };
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let resp = sender.send_request(req).await.map_err(|e| {
                if e.is_canceled() {
                    CallError::NotSent
                } else {
                    CallError::Unknown
                }
            })?;
            let status = resp.status().as_u16();
            let closes = resp
                .headers()
                .get("connection")
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
            let retry_after = resp.headers().get("retry-after");
            let retry_after = retry_after.and_then(|v| v.to_str().ok()?.parse().ok());
            let body = Limited::new(resp.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|_| CallError::Unknown)?
                .to_bytes();
            let reply = Reply {
                status,
                body,
                retry_after,
            };
            Ok((reply, closes))
        };
        match timeout(limit, exchange).await {
            Ok(Ok((reply, closes))) => {
                if !closes {
                    self.put(addr, sender);
                }
                Ok(reply)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(CallError::Unknown),
        }
    }
}
