//! Tests of which connections are refused and which are evicted.

use std::collections::hash_map::Entry;

use super::*;

fn addr(n: u32) -> SocketAddr {
    SocketAddr::from((n.to_be_bytes(), 9))
}

/// Returns how many connections a leader with this limit refuses during eight heartbeats of each agent,
/// about a minute at one every 8 s. The agents never close their connections.
fn count_refused(limit: usize, agents: u32) -> usize {
    let connections = Connections::new(limit);
    let mut open: HashMap<SocketAddr, Arc<Connection>> = HashMap::new();
    let mut refused = 0;
    for step in 0..agents * 8 {
        let now = Micros(u64::from(step) * 8_000_000 / u64::from(agents)).plus(USER_MIN_IDLE);
        let from = addr(step % agents);
        // Evicted connections are closed before the next heartbeat.
        for (address, connection) in open.extract_if(|_, connection| connection.is_closing()) {
            connections.release(address, &connection);
        }
        if let Entry::Vacant(place) = open.entry(from) {
            match connections.admit(from, now) {
                Some(connection) => drop(place.insert(connection)),
                None => refused += 1,
            }
        }
        if let Some(connection) = open.get(&from) {
            connection.record_read(now);
            connections.mark_agent(&from);
        }
        // Evicted connections stay open for a short time.
        assert!(
            open.len() <= limit + limit / EVICTION_DIVISOR,
            "{} open",
            open.len()
        );
    }
    refused
}

/// Idle connections of agents are evicted early enough that no agent is refused, with fewer agents than
/// sockets and with more.
#[test]
fn all_agents_are_served_when_they_outnumber_the_sockets() {
    assert_eq!(count_refused(1_750, 500), 0);
    assert_eq!(count_refused(1_750, 3_000), 0);
}

/// Connections of failed machines and of users who no longer send requests are evicted for new
/// connections. Connections of active users are not evicted for agents.
#[test]
fn half_open_connections_are_evicted_and_active_users_stay() {
    let connections = Connections::new(100);
    let at = |s: u64| Micros::from_secs(1_000 + s);
    let users: Vec<_> = (0..40).map(|n| connections.admit(addr(n), at(0))).collect();
    let _agents: Vec<_> = (40..100)
        .map(|n| {
            let connection = connections.admit(addr(n), at(0));
            connections.mark_agent(&addr(n));
            connection
        })
        .collect();
    assert!(connections.is_nearly_full());
    assert!(
        connections.admit(addr(200), at(0)).is_none(),
        "none is idle"
    );
    for n in 200..260 {
        assert!(
            connections.admit(addr(n), at(2)).is_some(),
            "agents' idle connections are evicted"
        );
    }
    let is_closing_or_refused = |connection: &Option<Arc<Connection>>| {
        connection
            .as_ref()
            .is_none_or(|connection| connection.is_closing())
    };
    assert!(!users.iter().any(is_closing_or_refused), "users stay");
    assert!(connections.admit(addr(300), at(30)).is_none());
    assert!(connections.admit(addr(301), at(61)).is_some());
    assert!(users.iter().any(is_closing_or_refused), "idle for a minute");
}
