//! The link between two cells: a relay on loopback that can be cut. Connections are accepted while it is
//! cut, and nothing passes until it is restored.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::site::free_addr;

/// The longest request that is passed on at once.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// A relay to one listener.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    works: watch::Sender<bool>,
    connections: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

impl Link {
    /// A relay to `target` that works.
    pub fn start(target: SocketAddr) -> Link {
        let address = free_addr();
        let works = watch::channel(true).0;
        let connections = Arc::new(AtomicU64::new(0));
        let calls = Arc::new(AtomicU64::new(0));
        let link = Link {
            address,
            works: works.clone(),
            connections: connections.clone(),
            calls: calls.clone(),
        };
        tokio::spawn(async move {
            let listener = TcpListener::bind(address).await.expect("a free port");
            while let Ok((from, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                let calls = calls.clone();
                tokio::spawn(relay(from, target, works.subscribe(), calls));
            }
        });
        link
    }

    /// Cuts or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.works.send_replace(!cut);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Requests passed on so far; callers write each in one piece.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

/// Passes on what comes while the link works. A cut holds the requests of new connections, and resets
/// those that are open.
async fn relay(
    mut from: TcpStream,
    target: SocketAddr,
    mut works: watch::Receiver<bool>,
    calls: Arc<AtomicU64>,
) {
    let mut first = vec![0; MAX_REQUEST_BYTES];
    let Ok(length) = from.read(&mut first).await else {
        return;
    };
    // Held, and delivered late, whether or not the caller still waits.
    if works.wait_for(|works| *works).await.is_err() {
        return;
    }
    let Ok(mut to) = TcpStream::connect(target).await else {
        return;
    };
    calls.fetch_add(1, Ordering::Relaxed);
    if to.write_all(&first[..length]).await.is_err() {
        return;
    }
    let (mut requests, mut replies) = from.split();
    let (mut answers, mut asked) = to.split();
    tokio::select! {
        _ = pass_requests(&mut requests, &mut asked, &calls) => {}
        _ = tokio::io::copy(&mut answers, &mut replies) => {}
        _ = works.wait_for(|works| !*works) => {}
    }
}

async fn pass_requests(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    calls: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; MAX_REQUEST_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        calls.fetch_add(1, Ordering::Relaxed);
        to.write_all(&buffer[..length]).await?;
    }
}
