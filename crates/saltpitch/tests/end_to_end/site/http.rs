//! HTTP on loopback: stand-ins that answer, and calls to the program.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use poem::http::{Method, StatusCode};
use poem::listener::TcpListener;
use poem::{Endpoint, Request, Response, Server};
use serde_json::Value;

use super::Reply;

struct Stub<F>(F);

impl<F, Fut> Endpoint for Stub<F>
where
    F: Fn(Method, String, Value) -> Fut + Send + Sync,
    Fut: Future<Output = Reply> + Send,
{
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let body = req.take_body().into_bytes().await.unwrap_or_default();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let uri = req.uri().to_string();
        let (status, body) = (self.0)(req.method().clone(), uri, body).await;
        Ok(Response::builder()
            .status(StatusCode::from_u16(status).expect("status"))
            .body(body.to_string()))
    }
}

/// Ports below those that outgoing connections are given, so that none of these takes one meanwhile.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address that nobody listens on; each call gives another one.
pub fn free_addr() -> SocketAddr {
    let first = std::process::id() as u16;
    for _ in 0..PORTS {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + first.wrapping_mul(97).wrapping_add(next) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if StdListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

pub fn serve<F, Fut>(addr: SocketAddr, f: F)
where
    F: Fn(Method, String, Value) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    tokio::spawn(Server::new(TcpListener::bind(addr.to_string())).run(Stub(f)));
}

pub fn query(uri: &str, name: &str) -> Option<String> {
    let (_, q) = uri.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(&format!("{name}=")).map(str::to_owned))
}

pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> Option<Reply> {
    let exchange = async {
        let tcp = tokio::net::TcpStream::connect(addr).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(tcp);
        let (mut sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(conn);
        let text = body.map(|b| b.to_string()).unwrap_or_default();
        let req = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "site")
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let resp = sender.send_request(req).await.ok()?;
        let status = resp.status().as_u16();
        let bytes = resp.into_body().collect().await.ok()?.to_bytes();
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    };
    tokio::time::timeout(Duration::from_secs(5), exchange)
        .await
        .ok()?
}

/// Repeats a call until its answer is as wanted; fails after a long while.
pub async fn until(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    want: impl Fn(&Reply) -> bool,
) -> Reply {
    let mut last = None;
    for _ in 0..600 {
        last = call(addr, method.clone(), path, body.clone()).await;
        if let Some(r) = last.as_ref().filter(|r| want(r)) {
            return r.clone();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{path} never answered as wanted, last {last:?}");
}
