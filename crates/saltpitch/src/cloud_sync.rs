//! Reading the cloud's catalogue of machine types and, while this node leads, its list of machines.

use std::sync::Arc;

use saltpitch_core::scheduler::ListedMachine;

use crate::node::Node;

/// Pauses between two reads of the catalogue, once it is known and before, in milliseconds.
const CATALOG_PAUSE_MS: u64 = 30_000;
const MISSING_CATALOG_PAUSE_MS: u64 = 700;
/// The pause of a follower, which does not read the list, in milliseconds.
const FOLLOWER_PAUSE_MS: u64 = 500;

/// Reads the machine types from the cloud, and again every now and then.
pub async fn load_catalog(node: Arc<Node>) {
    loop {
        if let Some(catalog) = node.cloud.catalog().await {
            node.controller().set_catalog(Arc::new(catalog));
        }
        let known = node.controller().catalog().is_some();
        let pause_ms = if known {
            CATALOG_PAUSE_MS
        } else {
            MISSING_CATALOG_PAUSE_MS
        };
        node.pause(pause_ms).await;
    }
}

/// Reads the cloud's list of machines while this node leads.
pub async fn list_machines(node: Arc<Node>) {
    // The list lags by a known time: half of it, spread, is as often as it shows anything new.
    let pause_ms = node.settings.max_list_lag.0 / 2_000;
    loop {
        let leading_epoch = {
            let controller = node.controller();
            controller.is_leader().then(|| controller.epoch())
        };
        let Some(epoch) = leading_epoch else {
            node.pause(FOLLOWER_PAUSE_MS).await;
            continue;
        };
        let take = |page: &[ListedMachine]| {
            let now = node.now();
            node.controller().machines_listed(epoch, page, now);
        };
        node.cloud.list_machines(take).await;
        node.pause(pause_ms).await;
    }
}
