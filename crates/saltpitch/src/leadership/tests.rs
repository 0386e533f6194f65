//! Tests of the share of the request rate that goes with the leadership.

use super::*;
use crate::settings::Settings;

const SETTINGS: &str = include_str!("../../../../docs/example-settings.json");

/// Guards against a deposed leader that keeps the leader's share of the store's request rate beside its successor: the
/// shares of all controllers together then exceed the rate.
#[tokio::test]
async fn a_controller_that_no_longer_leads_gives_up_the_leaders_share() {
    let settings = Settings::parse(SETTINGS).expect("the example is valid");
    let node = Arc::new(Node::new(settings));
    node.store.set_role(Role::Leader);
    assert!(!node.controller().is_leader());
    let task = hold_leadership(node.clone());
    let result = tokio::time::timeout(ELECTION_CHECK_INTERVAL * 2, task).await;
    assert!(result.is_err(), "the task never returns");
    assert_ne!(node.store.role(), Role::Leader);
}
