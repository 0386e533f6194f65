//! Holding the leadership: standing for election, renewing the leadership lease, resigning.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::controller::{Candidacy, LossReason};
use saltpitch_core::leadership::LEADERSHIP_LEASE;
use saltpitch_core::records::LEADER_KEY;
use saltpitch_core::scheduler::TransactionOutcome;
use saltpitch_core::Micros;

use crate::node::Node;
use crate::store::{KeepAlive, LeaseAttachment};

/// The pause between two renewals of the leadership lease.
const RENEWAL_PAUSE: Duration = Duration::from_millis(600);
/// How often a follower checks whether there is a leader.
const ELECTION_CHECK: Duration = Duration::from_millis(100);
/// The pause after a lost election, in milliseconds; spread by half either way.
const LOST_ELECTION_PAUSE_MS: u64 = 300;
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Stands for election while there is no leader; as the leader, renews the lease, and resigns when the
/// agents cannot reach this node.
pub async fn hold_leadership(node: Arc<Node>) {
    let mut leaderless_since: Option<Micros> = None;
    loop {
        let store_lease = node.controller().store_lease();
        if let Some(store_lease) = store_lease {
            leaderless_since = None;
            lead(&node, store_lease).await;
            tokio::time::sleep(RENEWAL_PAUSE).await;
            continue;
        }
        tokio::time::sleep(ELECTION_CHECK).await;
        if should_campaign(&node, &mut leaderless_since) {
            leaderless_since = None;
            if !stand_for_election(&node).await {
                node.pause(LOST_ELECTION_PAUSE_MS).await;
            }
        }
    }
}

/// One renewal of the lease, and the decision whether to go on leading.
async fn lead(node: &Node, store_lease: u64) {
    renew(node, store_lease).await;
    let now = node.now();
    if node.controller().should_resign(now) {
        resign(node).await;
    }
    node.store.set_leading(node.controller().is_leader());
}

/// Whether to stand for election now.
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
        // Without the state service the peers' acknowledgements decide.
        KeepAlive::Unknown => {}
    }
}

/// Resigns: this node stops leading first, and then says so on record.
async fn resign(node: &Node) {
    let (now, wall) = (node.now(), node.clock.wall_time());
    let Some(resignation) = node.controller().resign(now, wall) else {
        return;
    };
    let outcome = node
        .store
        .commit(&resignation.transaction, ELECTION_TIMEOUT)
        .await;
    tracing::info!("resigned: {outcome:?}");
    if !matches!(outcome, TransactionOutcome::Committed(_)) {
        node.store.revoke_lease(resignation.store_lease).await;
        node.controller().resignation_failed();
    }
}

/// Opens a leadership lease and campaigns with it. The lease is revoked if the election is lost.
async fn stand_for_election(node: &Node) -> bool {
    if !node.read_latest_records().await {
        return false;
    }
    let Some(store_lease) = node.store.grant_lease(LEADERSHIP_LEASE).await else {
        return false;
    };
    let opened_at = node.now();
    if campaign(node, store_lease, opened_at).await {
        node.store.set_leading(true);
        node.scheduler_wakeup.notify_one();
        return true;
    }
    node.store.revoke_lease(store_lease).await;
    false
}

async fn campaign(node: &Node, store_lease: u64, opened_at: Micros) -> bool {
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
    // A leader starts from the records as they were when its term began.
    if !node.read_latest_records().await {
        return false;
    }
    let (now, wall) = (node.now(), node.clock.wall_time());
    let mut controller = node.controller();
    let elected = controller.election_won(attempt, store_lease, revision, opened_at, now, wall);
    if let Some(scheduler) = controller.scheduler().filter(|_| elected) {
        let (term, summary) = (scheduler.term(), scheduler.summary());
        tracing::info!("leader in term {term}, {summary}");
    }
    elected
}
