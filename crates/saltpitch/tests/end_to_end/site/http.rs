//! HTTP on loopback: stand-ins that answer, and calls to the program.

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

/// Ports below those that outgoing connections are given, so that none of these takes one meanwhile.
const FIRST_PORT: u16 = 20_000;
/// The ports of one test process: enough for all tests of this binary.
const BLOCK_PORTS: u16 = 600;
const BLOCKS: u16 = 20;

/// The block of ports that belongs to this process.
///
/// Tests of several checkouts may run at the same time. A port that was only probed could be taken by another
/// process before the program under test listens on it, so a process keeps the first port of its block bound.
struct PortBlock {
    _claim: StdListener,
    first: u16,
    next: AtomicU16,
}

impl PortBlock {
    /// Takes the first block that no other test process holds.
    fn claim() -> PortBlock {
        for block in 0..BLOCKS {
            let first = FIRST_PORT + block * BLOCK_PORTS;
            if let Ok(claim) = StdListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return PortBlock {
                    _claim: claim,
                    first,
                    next: AtomicU16::new(1),
                };
            }
        }
        panic!("no free block of ports");
    }
}

static PORT_BLOCK: LazyLock<PortBlock> = LazyLock::new(PortBlock::claim);

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a call is repeated before a test fails, and the pause between two calls.
const ATTEMPTS: u32 = 600;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// A stand-in: a function of method, URI and body.
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
            .status(StatusCode::from_u16(reply.status).expect("status"))
            .body(reply.body.to_string()))
    }
}

/// An address that nobody listens on; each call gives another one.
pub fn free_addr() -> SocketAddr {
    loop {
        let offset = PORT_BLOCK.next.fetch_add(1, Ordering::Relaxed);
        assert!(offset < BLOCK_PORTS, "no free port");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORT_BLOCK.first + offset));
        if StdListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a stand-in.
pub fn serve<F, Fut>(addr: SocketAddr, answer: F)
where
    F: Fn(Method, String, Value) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind(addr.to_string());
    tokio::spawn(Server::new(listener).run(StandIn(answer)));
}

/// A parameter of a URI.
pub fn parameter<'a>(uri: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = uri.split_once('?')?;
    query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .find_map(|(known, value)| (known == name).then_some(value))
}

/// One call to the program; `None` without an answer in time.
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

/// Repeats a call until its answer is as wanted; fails after a long while.
pub async fn until(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    wanted: impl Fn(&Reply) -> bool,
) -> Reply {
    let mut last = None;
    for _ in 0..ATTEMPTS {
        last = call(addr, method.clone(), path, body.clone()).await;
        if let Some(reply) = last.as_ref().filter(|reply| wanted(reply)) {
            return reply.clone();
        }
        tokio::time::sleep(ATTEMPT_PAUSE).await;
    }
    panic!("{path} never answered as wanted, last {last:?}");
}

/// Waits until a controller takes requests.
pub async fn until_healthy(addr: SocketAddr) {
    until(addr, Method::GET, "/up", None, |reply| reply.status == 200).await;
}
