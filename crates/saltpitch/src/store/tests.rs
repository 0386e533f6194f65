//! Tests of which calls are taken from the request budget.

use std::sync::atomic::{AtomicUsize, Ordering};

use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{endpoint::make_sync, Server};

use super::*;

const LIMITS: StoreLimits = StoreLimits {
    rps: 20.0,
    write_rps: 10.0,
    max_value_bytes: 16 * 1024,
    max_transaction_writes: 16,
    next_rps: 20.0,
    next_write_rps: 10.0,
};

/// Starts a state service that answers each request in the same way. Returns the client of the only controller, and
/// the number of requests so far.
async fn start_service(answer: &'static str) -> (StoreClient, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    let service = make_sync(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        answer
    });
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
    let acceptor = acceptor.expect("a free port");
    let addr = *acceptor.local_addr()[0].as_socket_addr().expect("TCP");
    tokio::spawn(Server::new_with_acceptor(acceptor).run(service));
    let http = Arc::new(Client::new(4));
    let client = StoreClient::new(http, addr, Clock::start(), LIMITS, 1, Role::Follower);
    (client, requests)
}

/// Guards against renewals of the lease and watches that are sent on top of the controller's share of the request
/// rate. They are never delayed, so other requests have to make room for them.
#[tokio::test]
async fn lease_requests_and_waiting_watches_are_taken_from_the_request_budget() {
    let (client, requests) = start_service(r#"{"mooring":7,"ledger_no":1,"news":[]}"#).await;
    for _ in 0..10 {
        assert_eq!(client.keep_alive(7).await, KeepAlive::Renewed);
        assert!(client.watch(1, Duration::from_millis(1)).await.is_ok());
        assert_eq!(client.grant_lease(Micros::from_secs(3)).await, Some(7));
        client.revoke_lease(7).await;
    }
    assert_eq!(requests.load(Ordering::Relaxed), 40, "none is delayed");
    let read = client.watch(1, Duration::ZERO).await;
    assert!(matches!(read, Err(ReadError::OverBudget)));
}

/// Guards against questions that fail because the read for which they wait comes a few milliseconds before the request
/// budget allows it.
#[tokio::test]
async fn a_read_waits_until_the_request_budget_allows_it() {
    let (client, _) = start_service(r#"{"ledger_no":1,"news":[]}"#).await;
    while client.try_request() {}
    assert!(client.watch(1, Duration::ZERO).await.is_ok());
}
