//! Limits on the requests of users that may wait at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use saltpitch_core::messages::UserRequest;

use crate::node::Node;
use crate::settings::Settings;

/// Returns a controller whose state service does not answer, and the number of queries that may wait.
fn node_without_store() -> (Arc<Node>, usize) {
    let text = include_str!("../../../../docs/example-settings.json");
    let settings = Settings::parse(text).expect("the example is valid");
    let node = Arc::new(Node::new(settings));
    let limit = node.query_permits.available_permits();
    (node, limit)
}

fn query(number: usize) -> UserRequest {
    UserRequest::Query(format!("job-{number:06}"))
}

/// Queries beyond the limit are refused at once instead of waiting for the state service; a waiting query
/// releases its permit when it ends.
#[tokio::test(flavor = "current_thread")]
async fn queries_beyond_the_limit_are_refused_at_once() {
    let (node, limit) = node_without_store();
    assert!(limit >= 16, "{limit}");
    let mut waiting = Vec::new();
    for number in 0..limit {
        let node = node.clone();
        let request = async move { node.serve_user_request_locally(&query(number)).await };
        waiting.push(tokio::spawn(request));
    }
    // Long enough for all queries to begin, too short for any of them to be answered.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.query_permits.available_permits(), 0);
    let asked_at = Instant::now();
    let reply = node.serve_user_request_locally(&query(limit)).await;
    assert_eq!(reply.expect("an answer").status, 503);
    assert!(asked_at.elapsed() < Duration::from_millis(200));
    for task in waiting {
        let reply = task.await.expect("no panic");
        assert!(reply.is_err(), "the state service does not answer");
    }
    assert_eq!(node.query_permits.available_permits(), limit);
}
