//! Reads the cloud's catalogue of machine types periodically and, while this node leads, its list of
//! machines.

use std::sync::Arc;

use saltpitch_core::scheduler::ListedMachine;

use crate::cloud::{missing_catalog_backoff, ListPosition};
use crate::node::Node;

/// The mean pause between two reads of the catalogue once a catalogue is known, in milliseconds.
const CATALOG_PAUSE_MS: u64 = 30_000;
/// The mean pause before a follower, which does not read the list, checks again whether it leads, in
/// milliseconds.
const FOLLOWER_PAUSE_MS: u64 = 500;

/// Reads the catalogue of machine types from the cloud periodically. Never returns.
pub async fn refresh_catalog(node: Arc<Node>) {
    let settings = &node.settings;
    let mut backoff = missing_catalog_backoff(settings.cloud_rps, settings.controller_count);
    loop {
        if let Some(catalog) = node.cloud.catalog().await {
            node.controller().set_catalog(Arc::new(catalog));
        }
        let is_known = node.controller().catalog().is_some();
        if is_known {
            node.pause(CATALOG_PAUSE_MS).await;
        } else {
            tokio::time::sleep(backoff.next_pause(node.random())).await;
        }
    }
}

/// Reads the cloud's list of machines periodically while this node leads. Never returns.
pub async fn poll_machine_list(node: Arc<Node>) {
    // The list lags by up to `max_list_lag`, so reading it more often than about every half of that,
    // with jitter, shows nothing new.
    let pause_ms = node.settings.max_list_lag.0 / 2_000;
    let mut position = ListPosition::default();
    let mut last_epoch = None;
    loop {
        let leading_epoch = {
            let controller = node.controller();
            controller.is_leader().then(|| controller.epoch())
        };
        let Some(epoch) = leading_epoch else {
            node.pause(FOLLOWER_PAUSE_MS).await;
            continue;
        };
        if last_epoch.replace(epoch) != Some(epoch) {
            // A new leader needs the list from its start.
            position = ListPosition::default();
        }
        let handle_page = |page: &[ListedMachine]| {
            let now = node.now();
            node.controller().machines_listed(epoch, page, now);
        };
        node.cloud.list_machines(&mut position, handle_page).await;
        node.pause(pause_ms).await;
    }
}
