//! Which connections are refused and which are evicted.

use std::collections::hash_map::Entry;

use super::*;

fn addr(n: u32) -> SocketAddr {
    SocketAddr::from((n.to_be_bytes(), 9))
}

/// How many connections a leader with this limit refuses in a minute of heartbeats, one from each agent
/// every 8 s, on a connection that the agent never closes.
fn refused(limit: usize, agents: u32) -> usize {
    let all = Connections::new(limit);
    let mut open: HashMap<SocketAddr, Arc<Connection>> = HashMap::new();
    let mut refused = 0;
    for step in 0..agents * 8 {
        let now = Micros(u64::from(step) * 8_000_000 / u64::from(agents)).plus(USER_IDLE);
        let from = addr(step % agents);
        // Evicted connections are closed by then.
        let gone = |c: &Arc<Connection>| c.is_closing();
        for (a, c) in open.extract_if(|_, c| gone(c)) {
            all.release(a, &c);
        }
        if let Entry::Vacant(place) = open.entry(from) {
            match all.admit(from, now) {
                Some(c) => drop(place.insert(c)),
                None => refused += 1,
            }
        }
        if let Some(c) = open.get(&from) {
            c.record_read(now);
            all.mark_agent(&from);
        }
        // Evicted connections stay for a moment.
        assert!(
            open.len() <= limit + limit / EVICTION_DIVISOR,
            "{} open",
            open.len()
        );
    }
    refused
}

/// Idle connections of agents are evicted in time whether there are more agents than sockets or not.
#[test]
fn all_agents_are_served_when_they_outnumber_the_sockets() {
    assert_eq!(refused(1_750, 500), 0);
    assert_eq!(refused(1_750, 3_000), 0);
}

/// Connections of failed machines and of users who have left are evicted in favour of new ones; those of
/// active users are not evicted in favour of agents.
#[test]
fn half_open_connections_are_evicted_and_active_users_stay() {
    let all = Connections::new(100);
    let at = |s: u64| Micros::from_secs(1_000 + s);
    let users: Vec<_> = (0..40).map(|n| all.admit(addr(n), at(0))).collect();
    let _agents: Vec<_> = (40..100)
        .map(|n| {
            let c = all.admit(addr(n), at(0));
            all.mark_agent(&addr(n));
            c
        })
        .collect();
    assert!(all.is_crowded());
    assert!(all.admit(addr(200), at(0)).is_none(), "none is idle");
    for n in 200..260 {
        assert!(
            all.admit(addr(n), at(2)).is_some(),
            "agents' idle connections are evicted"
        );
    }
    let closing = |c: &Option<Arc<Connection>>| c.as_ref().is_none_or(|c| c.is_closing());
    assert!(!users.iter().any(closing), "users stay");
    assert!(all.admit(addr(300), at(30)).is_none());
    assert!(all.admit(addr(301), at(61)).is_some());
    assert!(users.iter().any(closing), "idle for a minute");
}
