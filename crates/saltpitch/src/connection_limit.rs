//! Limits the open connections of users and agents to this node's share of sockets for them. The other
//! sockets are for the store, the cloud, the machines and the peers.
//!
//! A site may have more machines than a node has sockets, so the connections of agents that have been
//! idle longest are closed to make room for new ones. Machines that failed or were returned leave their
//! connections half open. Nothing arrives on those any more, so they are closed first.

mod acceptor;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Waker;

use saltpitch_core::Micros;

use crate::mutex::lock;

pub use acceptor::{listen, LimitedAcceptor};

/// An agent's connection may be closed when it has been idle for this long. Heartbeats are answered at
/// once, so no request is in flight on it by then.
const AGENT_MIN_IDLE: Micros = Micros::from_secs(1);
/// Any other connection may be closed when it has been idle for this long. Users send a request every
/// few seconds.
const USER_MIN_IDLE: Micros = Micros::from_secs(60);
/// The limit divided by this is the number of connections that are closed at a time.
const EVICTION_DIVISOR: usize = 16;
/// The pause between a search that found no idle connection and the next search.
const EVICTION_RETRY_DELAY: Micros = Micros::from_millis(100);

/// An accepted connection.
struct Connection {
    /// When data last arrived on the connection, in microseconds.
    last_read_at: AtomicU64,
    /// Whether an agent has sent a heartbeat on the connection.
    is_agent: AtomicBool,
    /// Whether the task that reads from the connection must close it.
    is_closing: AtomicBool,
    /// Wakes that task.
    waker: Mutex<Option<Waker>>,
}

impl Connection {
    fn new(now: Micros) -> Connection {
        Connection {
            last_read_at: AtomicU64::new(now.0),
            is_agent: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            waker: Mutex::new(None),
        }
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    fn last_read_at(&self) -> Micros {
        Micros(self.last_read_at.load(Ordering::Relaxed))
    }

    fn record_read(&self, now: Micros) {
        self.last_read_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns whether the connection has been idle for long enough to be closed, and is not being
    /// closed yet.
    fn is_evictable(&self, now: Micros) -> bool {
        let min_idle = if self.is_agent.load(Ordering::Relaxed) {
            AGENT_MIN_IDLE
        } else {
            USER_MIN_IDLE
        };
        now.since(self.last_read_at()) >= min_idle && !self.is_closing()
    }

    /// Marks the connection for closing and wakes the task that closes it.
    fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        let waker = lock(&self.waker).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Stores the waker of the task that reads from the connection.
    fn set_waker(&self, waker: &Waker) {
        let mut current = lock(&self.waker);
        if !current
            .as_ref()
            .is_some_and(|current| current.will_wake(waker))
        {
            *current = Some(waker.clone());
        }
    }
}

/// The open connections and the state of their eviction.
#[derive(Default)]
struct ConnectionTable {
    /// The open connections by remote address, including those that are being closed.
    open: HashMap<SocketAddr, Arc<Connection>>,
    /// The number of open connections that are being closed.
    closing_count: usize,
    /// The earliest time of the next search for idle connections.
    next_eviction_at: Micros,
}

impl ConnectionTable {
    /// Returns the number of open connections that are not being closed.
    fn count_staying_open(&self) -> usize {
        self.open.len() - self.closing_count
    }
}

/// The connections accepted from users and agents, with a limit on their number.
pub struct Connections {
    limit: usize,
    table: Mutex<ConnectionTable>,
}

impl Connections {
    /// Creates an empty set of at most `limit` connections.
    pub fn new(limit: usize) -> Connections {
        Connections {
            limit: limit.max(1),
            table: Mutex::default(),
        }
    }

    /// Adds a new connection, and evicts idle ones if the limit is reached. Returns `None` if none is
    /// idle: the new connection must then be closed.
    fn admit(&self, remote_addr: SocketAddr, now: Micros) -> Option<Arc<Connection>> {
        let mut table = lock(&self.table);
        if table.count_staying_open() >= self.limit && !self.evict_idle(&mut table, now) {
            return None;
        }
        let connection = Arc::new(Connection::new(now));
        let replaced = table.open.insert(remote_addr, connection.clone());
        if replaced.is_some_and(|replaced| replaced.is_closing()) {
            table.closing_count -= 1;
        }
        Some(connection)
    }

    /// Closes some of the connections that have been idle longest. Returns whether there were any.
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
        let evicted_count = idle.len();
        for (_, connection) in idle {
            connection.close();
        }
        table.closing_count += evicted_count;
        if evicted_count == 0 {
            table.next_eviction_at = now.plus(EVICTION_RETRY_DELAY);
        }
        evicted_count > 0
    }

    /// Removes a connection that has been closed.
    fn release(&self, remote_addr: SocketAddr, connection: &Arc<Connection>) {
        let mut table = lock(&self.table);
        // A newer connection from the same address may have replaced this one.
        let is_current = table
            .open
            .get(&remote_addr)
            .is_some_and(|current| Arc::ptr_eq(current, connection));
        if !is_current {
            return;
        }
        table.open.remove(&remote_addr);
        if connection.is_closing() {
            table.closing_count -= 1;
        }
    }

    /// Records that a heartbeat arrived on the connection from this address.
    pub fn mark_agent(&self, remote_addr: &SocketAddr) {
        if let Some(connection) = lock(&self.table).open.get(remote_addr) {
            connection.is_agent.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether more than two thirds of the limit are in use. Agents are then told to open a new
    /// connection for their next heartbeat.
    pub fn is_nearly_full(&self) -> bool {
        lock(&self.table).count_staying_open() * 3 > self.limit * 2
    }
}

#[cfg(test)]
mod tests;
