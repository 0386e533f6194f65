//! HTTP on loopback: servers for the stand-ins, and calls to the program.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use poem::http::{Method, StatusCode};
use poem::listener::TcpListener;
use poem::{Endpoint, Request, Response, Server};
use serde_json::Value;
use tokio::net::TcpStream;

use super::Reply;

/// The first port of the first block. All blocks lie below the ports that the system gives to outgoing
/// connections, so that no such connection takes a port before the program listens on it.
const FIRST_PORT: u16 = 20_000;
/// The number of ports of one test process, enough for all tests of this binary.
const PORTS_PER_BLOCK: u16 = 600;
const BLOCK_COUNT: u16 = 20;

/// A block of ports that is reserved for this process.
///
/// Tests of several checkouts may run at the same time. If a process only probed a port, another process could take
/// it before the program under test listens on it. Each process therefore keeps the first port of its block bound.
struct PortBlock {
    _reservation: StdListener,
    first_port: u16,
    next_offset: AtomicU16,
}

impl PortBlock {
    /// Reserves the first block that no other test process holds.
    fn reserve() -> PortBlock {
        for block in 0..BLOCK_COUNT {
            let first_port = FIRST_PORT + block * PORTS_PER_BLOCK;
            if let Ok(reservation) = StdListener::bind((Ipv4Addr::LOCALHOST, first_port)) {
                return PortBlock {
                    _reservation: reservation,
                    first_port,
                    next_offset: AtomicU16::new(1),
                };
            }
        }
        panic!("no block of ports is free");
    }
}

static PORT_BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::reserve);

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of times that [`poll_until`] makes a call before the test fails.
const MAX_ATTEMPTS: u32 = 600;
/// The pause between two calls of [`poll_until`].
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// A stand-in, which computes its reply from the method, the URI and the body of a request.
struct StandIn<F>(F);

impl<F, Fut> Endpoint for StandIn<F>
where
    F: Fn(Method, String, Value) -> Fut + Send + Sync,
    Fut: Future<Output = Reply> + Send,
{
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let uri = request.uri().to_string();
        let reply = (self.0)(request.method().clone(), uri, body).await;
        Ok(Response::builder()
            .status(StatusCode::from_u16(reply.status).expect("the stand-in sets a valid status"))
            .body(reply.body.to_string()))
    }
}

/// Returns an address on which no process listens; each call returns a different one.
pub fn free_addr() -> SocketAddr {
    loop {
        let offset = PORT_BLOCK.next_offset.fetch_add(1, Ordering::Relaxed);
        assert!(offset < PORTS_PER_BLOCK, "no port of the block is free");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_BLOCK.first_port + offset));
        if StdListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a stand-in that listens on `addr`.
pub fn serve<F, Fut>(addr: SocketAddr, answer: F)
where
    F: Fn(Method, String, Value) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind(addr.to_string());
    tokio::spawn(Server::new(listener).run(StandIn(answer)));
}

/// Returns the value of a query parameter of a URI.
pub fn query_parameter<'a>(uri: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = uri.split_once('?')?;
    query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Makes one call to the program; returns `None` without a reply within [`CALL_TIMEOUT`].
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> Option<Reply> {
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let exchange = exchange(addr, method, path, body);
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}

async fn exchange(addr: SocketAddr, method: Method, path: &str, body: String) -> Option<Reply> {
    let tcp = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(tcp)).await.ok()?;
    tokio::spawn(connection);
    let request = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "site")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some(Reply::new(status, body))
}

/// Repeats a call until `is_expected` holds for the reply; panics after [`MAX_ATTEMPTS`] calls.
pub async fn poll_until(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    is_expected: impl Fn(&Reply) -> bool,
) -> Reply {
    let mut last_reply = None;
    for _ in 0..MAX_ATTEMPTS {
        last_reply = call(addr, method.clone(), path, body.clone()).await;
        if let Some(reply) = last_reply.as_ref().filter(|reply| is_expected(reply)) {
            return reply.clone();
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
    panic!("{path}: no expected reply after {MAX_ATTEMPTS} calls; last reply {last_reply:?}");
}

/// Waits until a controller reports that it is healthy.
pub async fn wait_until_healthy(addr: SocketAddr) {
    poll_until(addr, Method::GET, "/up", None, |reply| reply.status == 200).await;
}
