//! Leader election: campaigns for the leadership, renews the leadership lease and resigns.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::controller::{Candidacy, LossReason};
use saltpitch_core::leadership::LEADERSHIP_LEASE;
use saltpitch_core::records::LEADER_KEY;
use saltpitch_core::scheduler::TransactionOutcome;
use saltpitch_core::Micros;

use crate::node::Node;
use crate::store::{KeepAlive, LeaseAttachment, Role};

/// The pause between the end of one renewal of the leadership lease and the next renewal.
const RENEWAL_PAUSE: Duration = Duration::from_millis(600);
/// The interval at which a follower checks whether to stand for election.
const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The mean pause after a lost election, in milliseconds. The jitter is half of it in each direction.
const LOST_ELECTION_PAUSE_MS: u64 = 300;
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after its lease was granted the winner of an election begins another read of the records if one failed,
/// as a share of the lease. A read may take more than a third of the lease.
const ELECTION_READ_SHARE_OF_LEASE: f64 = 0.5;
/// The mean pause between two such reads, in milliseconds.
const ELECTION_READ_PAUSE_MS: u64 = 100;

/// As a follower, stands for election when there is no leader. As the leader, renews the leadership
/// lease, and resigns when agents cannot reach this node. Never returns.
pub async fn hold_leadership(node: Arc<Node>) {
    let mut leaderless_since: Option<Micros> = None;
    loop {
        // The leadership may have ended elsewhere, for example through a transaction that found a newer term.
        update_store_role(&node);
        let store_lease = node.controller().store_lease();
        if let Some(store_lease) = store_lease {
            leaderless_since = None;
            renew_or_resign(&node, store_lease).await;
            tokio::time::sleep(RENEWAL_PAUSE).await;
            continue;
        }
        tokio::time::sleep(ELECTION_CHECK_INTERVAL).await;
        if should_campaign(&node, &mut leaderless_since) {
            leaderless_since = None;
            if !stand_for_election(&node).await {
                node.pause(LOST_ELECTION_PAUSE_MS).await;
            }
        }
    }
}

/// Renews the lease once, then resigns if the agents have not reached this node for too long.
async fn renew_or_resign(node: &Node, store_lease: u64) {
    renew(node, store_lease).await;
    let now = node.now();
    if node.controller().should_resign(now) {
        resign(node).await;
    }
    update_store_role(node);
}

/// Switches to the share of the state service's rate that goes with this controller's present role.
fn update_store_role(node: &Node) {
    let role = store_role(node);
    if node.store.role() != role {
        tracing::debug!("the share of the store's rate is now that of the role {role:?}");
        node.store.set_role(role);
    }
}

/// Returns the role on which this controller's share of the state service's rate depends.
fn store_role(node: &Node) -> Role {
    let now = node.now();
    let controller = node.controller();
    if controller.is_leader() {
        Role::Leader
    } else if !controller.is_synced() && controller.sees_no_leader(now) {
        Role::Starting
    } else {
        Role::Follower
    }
}

/// Returns whether to stand for election now. `leaderless_since` is the time since which every check has
/// found no leader.
fn should_campaign(node: &Node, leaderless_since: &mut Option<Micros>) -> bool {
    let now = node.now();
    match node.controller().candidacy(now, node.random()) {
        Candidacy::No => {
            *leaderless_since = None;
            false
        }
        Candidacy::AtOnce => true,
        Candidacy::After(delay) => {
            let since = *leaderless_since.get_or_insert(now);
            now.since(since) >= delay
        }
    }
}

async fn renew(node: &Node, store_lease: u64) {
    let sent_at = node.now();
    match node.store.keep_alive(store_lease).await {
        KeepAlive::Renewed => node.controller().lease_renewed(sent_at),
        KeepAlive::Expired => node.controller().lose_leadership(LossReason::LeaseExpired),
        // When the state service gives no answer, only acknowledgements of the peers extend the time for
        // which this leader may answer agents.
        KeepAlive::Unknown => {}
    }
}

/// Resigns: this node first stops leading and then writes its resignation to the state service.
async fn resign(node: &Node) {
    let (now, wall) = (node.now(), node.clock.wall_time());
    let Some(resignation) = node.controller().resign(now, wall) else {
        return;
    };
    let outcome = node
        .store
        .commit(&resignation.transaction, ELECTION_TIMEOUT)
        .await;
    if matches!(outcome, TransactionOutcome::Committed(_)) {
        tracing::info!("resigned: the resignation is on record");
    } else {
        tracing::info!(
            "resigned: the resignation was not confirmed ({outcome:?}), revoking the lease"
        );
        node.store.revoke_lease(resignation.store_lease).await;
        node.controller().resignation_failed();
    }
}

/// Stands for election once with a newly granted leadership lease, and revokes the lease if the election
/// is lost. Returns whether this node was elected.
async fn stand_for_election(node: &Node) -> bool {
    if !node.read_latest_records().await {
        return false;
    }
    let Some(store_lease) = node.store.grant_lease(LEADERSHIP_LEASE).await else {
        return false;
    };
    let lease_granted_at = node.now();
    if campaign(node, store_lease, lease_granted_at).await {
        node.store.set_role(Role::Leader);
        node.scheduler_wakeup.notify_one();
        return true;
    }
    node.store.revoke_lease(store_lease).await;
    false
}

/// Writes an election attempt whose leader record is deleted when the lease ends. Returns whether this
/// node was elected.
async fn campaign(node: &Node, store_lease: u64, lease_granted_at: Micros) -> bool {
    let Some(attempt) = node.controller().campaign(node.clock.wall_time()) else {
        return false;
    };
    let attachment = LeaseAttachment {
        lease: store_lease,
        key: LEADER_KEY,
    };
    let outcome = node
        .store
        .commit_with_lease(&attempt.transaction, Some(attachment), ELECTION_TIMEOUT)
        .await;
    let TransactionOutcome::Committed(revision) = outcome else {
        return false;
    };
    // A leader must start from records that are at least as new as the transaction that began its term.
    let last_read_at = lease_granted_at.plus(LEADERSHIP_LEASE.times(ELECTION_READ_SHARE_OF_LEASE));
    if !read_latest_records_until(node, last_read_at).await {
        tracing::info!("elected, but the records cannot be read: the leadership lease is revoked");
        return false;
    }
    let (now, wall) = (node.now(), node.clock.wall_time());
    let mut controller = node.controller();
    let elected =
        controller.election_won(attempt, store_lease, revision, lease_granted_at, now, wall);
    if let Some(scheduler) = controller.scheduler().filter(|_| elected) {
        let (term, first_token) = (scheduler.term(), scheduler.first_token());
        let summary = scheduler.summary();
        tracing::info!(
            "leader in term {term}, fencing tokens from {first_token}, records at revision {revision}, {summary}"
        );
    }
    elected
}

/// Reads the latest records, and repeats reads that fail until the time `last_read_at`. Returns whether one of them
/// succeeded.
async fn read_latest_records_until(node: &Node, last_read_at: Micros) -> bool {
    loop {
        if node.read_latest_records().await {
            return true;
        }
        if node.now() >= last_read_at {
            return false;
        }
        node.pause(ELECTION_READ_PAUSE_MS).await;
    }
}

#[cfg(test)]
mod tests;
