//! The link between two cells: a relay on loopback that can be cut. While it is cut, it accepts connections but
//! forwards nothing until it is restored.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::site::free_addr;

/// The buffer size of the relay, and so the longest request that it forwards in one piece.
const REQUEST_BUFFER_BYTES: usize = 64 * 1024;

/// A relay to the link listener of one controller.
pub struct Link {
    /// The address on which the relay listens.
    pub address: SocketAddr,
    is_up: watch::Sender<bool>,
    connection_count: Arc<AtomicU64>,
    request_count: Arc<AtomicU64>,
}

impl Link {
    /// Starts a relay to `target` that forwards requests.
    pub fn start(target: SocketAddr) -> Link {
        let address = free_addr();
        let is_up = watch::channel(true).0;
        let connection_count = Arc::new(AtomicU64::new(0));
        let request_count = Arc::new(AtomicU64::new(0));
        let link = Link {
            address,
            is_up: is_up.clone(),
            connection_count: connection_count.clone(),
            request_count: request_count.clone(),
        };
        tokio::spawn(async move {
            let listener = TcpListener::bind(address).await.expect("the port is free");
            while let Ok((from, _)) = listener.accept().await {
                connection_count.fetch_add(1, Ordering::Relaxed);
                let request_count = request_count.clone();
                tokio::spawn(relay(from, target, is_up.subscribe(), request_count));
            }
        });
        link
    }

    /// Cuts or restores the link.
    pub fn set_cut(&self, cut: bool) {
        self.is_up.send_replace(!cut);
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::Relaxed)
    }

    /// Returns the number of requests forwarded so far. Each piece that arrives counts as one request, because
    /// callers write each request in one piece.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }
}

/// Forwards requests and replies of one connection while the link is up. A cut holds the first request of a new
/// connection, and closes connections that are open.
async fn relay(
    mut from: TcpStream,
    target: SocketAddr,
    mut is_up: watch::Receiver<bool>,
    request_count: Arc<AtomicU64>,
) {
    let mut first_request = vec![0; REQUEST_BUFFER_BYTES];
    let Ok(length) = from.read(&mut first_request).await else {
        return;
    };
    // A request that was held is delivered late, even if the caller no longer waits for the reply.
    if is_up.wait_for(|is_up| *is_up).await.is_err() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    request_count.fetch_add(1, Ordering::Relaxed);
    if to.write_all(&first_request[..length]).await.is_err() {
        return;
    }
    let (mut from_reader, mut from_writer) = from.split();
    let (mut to_reader, mut to_writer) = to.split();
    tokio::select! {
        _ = forward_requests(&mut from_reader, &mut to_writer, &request_count) => {}
        _ = tokio::io::copy(&mut to_reader, &mut from_writer) => {}
        _ = is_up.wait_for(|is_up| !*is_up) => {}
    }
}

/// Forwards requests until `from` is closed, and counts them.
async fn forward_requests(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    request_count: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; REQUEST_BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        request_count.fetch_add(1, Ordering::Relaxed);
        to.write_all(&buffer[..length]).await?;
    }
}
