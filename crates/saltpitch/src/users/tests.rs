//! What users are told when more of them ask than can be answered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use saltpitch_core::messages::UserRequest;

use crate::node::Node;
use crate::settings::Settings;

/// A controller whose state service does not answer, and the number of questions that may wait.
fn node_without_store() -> (Arc<Node>, usize) {
    let text = include_str!("../../../../docs/example-settings.json");
    let settings = Settings::parse(text).expect("the example is valid");
    let node = Arc::new(Node::new(settings));
    let limit = node.query_permits.available_permits();
    (node, limit)
}

fn question(number: usize) -> UserRequest {
    UserRequest::Query(format!("job-{number:06}"))
}

/// Questions beyond the bound are refused at once, not held until the state service answers; those that
/// wait give their places back.
#[tokio::test(flavor = "current_thread")]
async fn questions_beyond_the_bound_are_refused_at_once() {
    let (node, limit) = node_without_store();
    assert!(limit >= 16, "{limit}");
    let mut waiting = Vec::new();
    for number in 0..limit {
        let node = node.clone();
        let ask = async move { node.serve_user_request_locally(&question(number)).await };
        waiting.push(tokio::spawn(ask));
    }
    // All of them begin; none is answered within this time.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.query_permits.available_permits(), 0);
    let asked_at = Instant::now();
    let reply = node.serve_user_request_locally(&question(limit)).await;
    assert_eq!(reply.expect("an answer").status, 503);
    assert!(asked_at.elapsed() < Duration::from_millis(200));
    for task in waiting {
        let reply = task.await.expect("no panic");
        assert!(reply.is_err(), "the state service does not answer");
    }
    assert_eq!(node.query_permits.available_permits(), limit);
}
