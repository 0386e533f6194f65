//! The open connections of users and agents, kept within this node's share of sockets: the rest are
//! for the store, the cloud, the machines and the peers.
//!
//! A site may have more machines than a node has sockets, so the agents' connections that have been idle
//! for longest are closed in favour of new ones. Machines that failed or were returned leave theirs half
//! open; since nothing arrives on these any more, they are the first to be closed.

mod acceptor;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Waker;

use saltpitch_core::Micros;

use crate::mutex::lock;

pub use acceptor::{listen, LimitedAcceptor};

/// An agent's connection may be closed when it has been idle for this long: heartbeats are answered at
/// once, so that no request is in flight on it.
const AGENT_IDLE: Micros = Micros::from_secs(1);
/// Any other connection: users ask every few seconds.
const USER_IDLE: Micros = Micros::from_secs(60);
/// One connection in so many, counted from the limit, is closed at a time.
const EVICTION_DIVISOR: usize = 16;
/// When no connection was idle, none is looked for again for this long.
const EVICTION_RETRY: Micros = Micros::from_millis(100);

/// One accepted connection.
struct Connection {
    /// When something last arrived on it, in microseconds.
    last_read_at: AtomicU64,
    /// Whether heartbeats come by it.
    is_agent: AtomicBool,
    /// Whether it is to be closed, which its own task does.
    closing: AtomicBool,
    /// Wakes that task.
    waker: Mutex<Option<Waker>>,
}

impl Connection {
    fn new(now: Micros) -> Connection {
        Connection {
            last_read_at: AtomicU64::new(now.0),
            is_agent: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            waker: Mutex::new(None),
        }
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    fn last_read_at(&self) -> Micros {
        Micros(self.last_read_at.load(Ordering::Relaxed))
    }

    fn record_read(&self, now: Micros) {
        self.last_read_at.store(now.0, Ordering::Relaxed);
    }

    /// Whether it has been idle for long enough to be closed.
    fn is_evictable(&self, now: Micros) -> bool {
        let min_idle = if self.is_agent.load(Ordering::Relaxed) {
            AGENT_IDLE
        } else {
            USER_IDLE
        };
        now.since(self.last_read_at()) >= min_idle && !self.is_closing()
    }

    /// Has its task close it.
    fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        let waker = lock(&self.waker).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Remembers the task that reads from it.
    fn set_waker(&self, waker: &Waker) {
        let mut known = lock(&self.waker);
        if !known.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }
}

#[derive(Default)]
struct ConnectionTable {
    open: HashMap<SocketAddr, Arc<Connection>>,
    /// How many of these are closing.
    closing: usize,
    /// No idle connections are looked for before this time.
    next_eviction_at: Micros,
}

impl ConnectionTable {
    /// Connections that will stay open.
    fn remaining(&self) -> usize {
        self.open.len() - self.closing
    }
}

/// All connections accepted from users and agents.
pub struct Connections {
    limit: usize,
    table: Mutex<ConnectionTable>,
}

impl Connections {
    /// No connections yet, and at most `limit`.
    pub fn new(limit: usize) -> Connections {
        Connections {
            limit: limit.max(1),
            table: Mutex::default(),
        }
    }

    /// Enters a new connection. `None`: it is one too many, and to be closed at once.
    fn admit(&self, from: SocketAddr, now: Micros) -> Option<Arc<Connection>> {
        let mut table = lock(&self.table);
        if table.remaining() >= self.limit && !self.evict_idle(&mut table, now) {
            return None;
        }
        let connection = Arc::new(Connection::new(now));
        let replaced = table.open.insert(from, connection.clone());
        if replaced.is_some_and(|replaced| replaced.is_closing()) {
            table.closing -= 1;
        }
        Some(connection)
    }

    /// Closes some of those that have been idle for longest; whether there were any.
    fn evict_idle(&self, table: &mut ConnectionTable, now: Micros) -> bool {
        if now < table.next_eviction_at {
            return false;
        }
        let mut idle: Vec<(Micros, &Arc<Connection>)> = table
            .open
            .values()
            .filter(|connection| connection.is_evictable(now))
            .map(|connection| (connection.last_read_at(), connection))
            .collect();
        idle.sort_unstable_by_key(|(last_read_at, _)| *last_read_at);
        idle.truncate((self.limit / EVICTION_DIVISOR).max(1));
        let evicted = idle.len();
        for (_, connection) in idle {
            connection.close();
        }
        table.closing += evicted;
        if evicted == 0 {
            table.next_eviction_at = now.plus(EVICTION_RETRY);
        }
        evicted > 0
    }

    /// Removes a connection that has been closed.
    fn release(&self, from: SocketAddr, connection: &Arc<Connection>) {
        let mut table = lock(&self.table);
        // Another connection from the same address may have taken its place.
        let is_current = table
            .open
            .get(&from)
            .is_some_and(|current| Arc::ptr_eq(current, connection));
        if !is_current {
            return;
        }
        table.open.remove(&from);
        if connection.is_closing() {
            table.closing -= 1;
        }
    }

    /// Notes that a heartbeat came by the connection from this address.
    pub fn mark_agent(&self, from: &SocketAddr) {
        if let Some(connection) = lock(&self.table).open.get(from) {
            connection.is_agent.store(true, Ordering::Relaxed);
        }
    }

    /// Whether more than two thirds of the limit are taken, so that agents are to open a new connection
    /// for their next heartbeat.
    pub fn is_nearly_full(&self) -> bool {
        lock(&self.table).remaining() * 3 > self.limit * 2
    }
}

#[cfg(test)]
mod tests;
