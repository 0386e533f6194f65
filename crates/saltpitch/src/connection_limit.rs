//! The open connections of users and agents, kept within this node's share of sockets: the rest are
//! for the store, the cloud, the machines and the peers. A site may have more machines than a node
//! has sockets, so the connections of agents that have been quiet for longest give way to new ones.
//! Machines that died or were returned leave theirs half open: these go first.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use saltpitch_core::Micros;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::clock::Clock;
use crate::mutex::lock;

/// An agent's connection gives way when it has been quiet for this long: heartbeats are answered at
/// once, so that nothing is under way on it.
const QUIET_WORKER: Micros = Micros::from_secs(1);
/// Any other connection: users ask every few seconds.
const QUIET: Micros = Micros::from_secs(60);
/// How many make room at a time, as a part of the limit.
const BATCH: usize = 16;
/// When nobody can make room, nobody is asked again for this long.
const FRUITLESS: Micros = Micros::from_millis(100);

struct Connection {
    used: AtomicU64,
    worker: AtomicBool,
    /// To be closed by its own task.
    over: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

#[derive(Default)]
struct Table {
    open: HashMap<SocketAddr, Arc<Connection>>,
    /// Of these, told to close.
    leaving: usize,
    search_after: Micros,
}

/// All connections accepted from users and agents.
pub struct Connections {
    limit: usize,
    table: Mutex<Table>,
}

impl Connections {
    pub fn new(limit: usize) -> Connections {
        Connections {
            limit: limit.max(1),
            table: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    /// A connection was accepted. None: it is one too many, and to be closed at once.
    fn admit(&self, from: SocketAddr, now: Micros) -> Option<Arc<Connection>> {
        let mut t = self.lock();
        if t.open.len() - t.leaving >= self.limit && !self.make_room(&mut t, now) {
            return None;
        }
        let c = Arc::new(Connection {
            used: AtomicU64::new(now.0),
            worker: AtomicBool::new(false),
            over: AtomicBool::new(false),
            waker: Mutex::new(None),
        });
        let old = t.open.insert(from, c.clone());
        if old.is_some_and(|old| old.over.load(Ordering::Relaxed)) {
            t.leaving -= 1;
        }
        Some(c)
    }

    /// Tells those that have been quiet for longest to close.
    fn make_room(&self, t: &mut Table, now: Micros) -> bool {
        if now < t.search_after {
            return false;
        }
        let mut quiet: Vec<(u64, &Arc<Connection>)> = Vec::new();
        for c in t.open.values() {
            let used = c.used.load(Ordering::Relaxed);
            let least = match c.worker.load(Ordering::Relaxed) {
                true => QUIET_WORKER,
                false => QUIET,
            };
            if now.since(Micros(used)) >= least && !c.over.load(Ordering::Relaxed) {
                quiet.push((used, c));
            }
        }
        quiet.sort_unstable_by_key(|q| q.0);
        quiet.truncate((self.limit / BATCH).max(1));
        let found = quiet.len();
        for (_, c) in quiet {
            c.over.store(true, Ordering::Relaxed);
            let waker = lock(&c.waker).take();
            if let Some(w) = waker {
                w.wake();
            }
        }
        t.leaving += found;
        if found == 0 {
            t.search_after = now.plus(FRUITLESS);
        }
        found > 0
    }

    fn closed(&self, from: SocketAddr, c: &Arc<Connection>) {
        let mut t = self.lock();
        if t.open.get(&from).is_some_and(|here| Arc::ptr_eq(here, c)) {
            t.open.remove(&from);
            if c.over.load(Ordering::Relaxed) {
                t.leaving -= 1;
            }
        }
    }

    /// A heartbeat came by this connection.
    pub fn mark_agent(&self, from: &SocketAddr) {
        if let Some(c) = self.lock().open.get(from) {
            c.worker.store(true, Ordering::Relaxed);
        }
    }

    /// Whether an agent is to open a new connection for its next heartbeat.
    pub fn is_crowded(&self) -> bool {
        let t = self.lock();
        (t.open.len() - t.leaving) * 3 > self.limit * 2
    }
}

/// Accepts whoever comes, so that nobody waits where the kernel counts sockets, and closes at once
/// what is too much: an agent then asks another node.
pub struct Bounded<A> {
    inner: A,
    clock: Clock,
    all: Arc<Connections>,
}

impl<A> Bounded<A> {
    pub fn new(inner: A, clock: Clock, all: Arc<Connections>) -> Bounded<A> {
        Bounded { inner, clock, all }
    }
}

impl<A: Acceptor> Acceptor for Bounded<A> {
    type Io = Counted<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (io, local, remote, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    // Out of sockets after all: not to be asked again at once.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    return Err(e);
                }
            };
            let Some(&from) = remote.as_socket_addr() else {
                continue;
            };
            if let Some(this) = self.all.admit(from, self.clock.now()) {
                let io = Counted {
                    io,
                    from,
                    this,
                    clock: self.clock,
                    all: self.all.clone(),
                };
                return Ok((io, local, remote, scheme));
            }
        }
    }
}

/// A connection that gives its place back when it is dropped, and closes when it is told to.
pub struct Counted<I> {
    io: I,
    from: SocketAddr,
    this: Arc<Connection>,
    clock: Clock,
    all: Arc<Connections>,
}

impl<I> Drop for Counted<I> {
    fn drop(&mut self) {
        self.all.closed(self.from, &self.this);
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Counted<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.this.over.load(Ordering::Relaxed) {
            // The end of the stream: nothing more is read from it.
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if read.is_ready() {
            self.this.used.store(self.clock.now().0, Ordering::Relaxed);
        } else {
            let mut waker = lock(&self.this.waker);
            if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
        }
        read
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Counted<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::hash_map::Entry;

    fn addr(n: u32) -> SocketAddr {
        SocketAddr::from((n.to_be_bytes(), 9))
    }

    /// What a leader with `limit` places sees in a minute of `agents` machines reporting every 8 s,
    /// each on a connection of its own that it never closes: how many were turned away.
    fn turned_away(limit: usize, workers: u32) -> usize {
        let all = Connections::new(limit);
        let mut open: HashMap<SocketAddr, Arc<Connection>> = HashMap::new();
        let mut away = 0;
        for step in 0..workers * 8 {
            let now = Micros(u64::from(step) * 8_000_000 / u64::from(workers)).plus(QUIET);
            let from = addr(step % workers);
            // Whoever was told to close has closed by then.
            let gone = |c: &Arc<Connection>| c.over.load(Ordering::Relaxed);
            for (a, c) in open.extract_if(|_, c| gone(c)) {
                all.closed(a, &c);
            }
            if let Entry::Vacant(place) = open.entry(from) {
                match all.admit(from, now) {
                    Some(c) => drop(place.insert(c)),
                    None => away += 1,
                }
            }
            if let Some(c) = open.get(&from) {
                c.used.store(now.0, Ordering::Relaxed);
                all.mark_agent(&from);
            }
            // Those told to close are still there for a moment.
            assert!(open.len() <= limit + limit / BATCH, "{} open", open.len());
        }
        away
    }

    /// Quiet agents give way in time whether there are more of them than places or not.
    #[test]
    fn more_workers_than_sockets_are_all_heard() {
        assert_eq!(turned_away(1_750, 500), 0);
        assert_eq!(turned_away(1_750, 3_000), 0);
    }

    /// Connections of dead machines, and of users who went away, don't keep others out; those of
    /// users who ask do not give way to agents.
    #[test]
    fn the_dead_go_and_users_stay() {
        let all = Connections::new(100);
        let at = |s: u64| Micros::from_secs(1_000 + s);
        let users: Vec<_> = (0..40).map(|n| all.admit(addr(n), at(0))).collect();
        let _workers: Vec<_> = (40..100)
            .map(|n| {
                let c = all.admit(addr(n), at(0));
                all.mark_agent(&addr(n));
                c
            })
            .collect();
        assert!(all.is_crowded());
        assert!(all.admit(addr(200), at(0)).is_none(), "nobody is quiet");
        for n in 200..260 {
            assert!(all.admit(addr(n), at(2)).is_some(), "dead workers go");
        }
        let over =
            |c: &Option<Arc<Connection>>| c.as_ref().is_none_or(|c| c.over.load(Ordering::Relaxed));
        assert!(!users.iter().any(over), "users stay");
        assert!(all.admit(addr(300), at(30)).is_none());
        assert!(all.admit(addr(301), at(61)).is_some());
        assert!(users.iter().any(over), "silent for a minute");
    }
}
