//! A small HTTP/1.1 server and client on loopback: one thread for each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

pub enum Answer {
    Reply(u16, String),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// Binds a free port on loopback.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Returns a port that is free now, for a process that binds it itself. It is below the range from which systems
/// take ports for outgoing connections.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 11_000 + (std::process::id() * 41 + step) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    let mut writer = stream;
    while let Some((head, body)) = read_message(&mut reader) {
        let mut words = head.lines().next().unwrap_or("").split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Answer::Reply(status, body) = handler(request) else {
            return;
        };
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut length = 0;
    let mut is_chunked = false;
    for line in head.lines() {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        is_chunked |= lower.starts_with("transfer-encoding:") && lower.contains("chunked");
    }
    let mut body = Vec::new();
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some((head, body))
}

/// Sends one request on a connection of its own. `None` if there is no answer within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let text = format!(
        "{method} {target} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (head, body) = read_message(&mut reader)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
