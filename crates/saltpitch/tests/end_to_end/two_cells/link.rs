//! The link between two cells: a relay on loopback that can be cut. Connections are accepted while it is
//! cut, and nothing passes until it is restored.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::site::free_addr;

/// A relay to one listener.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    works: watch::Sender<bool>,
    connections: Arc<AtomicU64>,
}

impl Link {
    /// A relay to `target` that works.
    pub fn start(target: SocketAddr) -> Link {
        let address = free_addr();
        let works = watch::channel(true).0;
        let connections = Arc::new(AtomicU64::new(0));
        let link = Link {
            address,
            works: works.clone(),
            connections: connections.clone(),
        };
        tokio::spawn(async move {
            let listener = TcpListener::bind(address).await.expect("a free port");
            while let Ok((from, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(relay(from, target, works.subscribe()));
            }
        });
        link
    }

    pub fn cut(&self, cut: bool) {
        self.works.send_replace(!cut);
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Passes on what comes while the link works. A cut holds the requests of new connections, and resets
/// those that are open.
async fn relay(mut from: TcpStream, target: SocketAddr, mut works: watch::Receiver<bool>) {
    let mut first = vec![0; 64 * 1024];
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
    if to.write_all(&first[..length]).await.is_err() {
        return;
    }
    tokio::select! {
        _ = copy_bidirectional(&mut from, &mut to) => {}
        _ = works.wait_for(|works| !*works) => {}
    }
}
