//! The task that delegates jobs to other cells while this controller leads. It polls the [`Delegator`] and
//! executes its effects.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_cells::origin::{CellEffect, Delegator, LinkCall, RecordWrite};
use saltpitch_core::records::job_key;
use saltpitch_core::scheduler::{Transaction, TransactionOutcome, Write};

use super::link;
use super::state::LeaderDelegations;
use crate::node::Node;

/// The interval at which the delegator is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Polls the delegator until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        poll(&node);
    }
}

/// Polls the delegator once, if this controller leads.
fn poll(node: &Arc<Node>) {
    let Some(cells) = &node.cells else { return };
    let (now, wall, seed) = (node.now(), node.clock.wall_time(), node.random());
    let mut controller = node.controller();
    let epoch = controller.epoch();
    let cancel = controller.config().scheduler.cancel_timeout;
    let mut delegations = cells.delegations();
    let Some(mut access) = controller.delegation_access(now) else {
        return;
    };
    let current = delegations.take().filter(|current| current.epoch == epoch);
    let current = delegations.insert(current.unwrap_or_else(|| LeaderDelegations {
        epoch,
        delegator: Delegator::new(&cells.settings, cancel, seed),
    }));
    let effects = current.delegator.poll(&mut access, now, wall);
    for notice in current.delegator.take_notices() {
        if notice.is_error() {
            tracing::error!("{notice}");
        } else {
            tracing::info!("{notice}");
        }
    }
    for effect in effects {
        tokio::spawn(execute(node.clone(), epoch, effect));
    }
}

async fn execute(node: Arc<Node>, epoch: u64, effect: CellEffect) {
    match effect {
        CellEffect::Write(write) => write_record(&node, epoch, write).await,
        CellEffect::Call(call) => call_peer_cell(&node, epoch, call).await,
    }
}

/// Writes a record and reports the outcome to the delegator, unless the leadership has ended.
async fn write_record(node: &Node, epoch: u64, write: RecordWrite) {
    let job = write.job.clone();
    let outcome = commit(node, write).await;
    let Some(cells) = &node.cells else { return };
    let now = node.now();
    let mut controller = node.controller();
    let mut delegations = cells.delegations();
    let current = delegations
        .as_mut()
        .filter(|current| current.epoch == epoch);
    let (Some(current), Some(scheduler)) = (current, controller.scheduler_in_epoch(epoch)) else {
        return;
    };
    current
        .delegator
        .write_ended(&job, &outcome, scheduler, now);
    node.scheduler_wakeup.notify_one();
}

/// Commits a write. A committed write is applied to the local copy of the records without waiting for the
/// watch.
async fn commit(node: &Node, write: RecordWrite) -> TransactionOutcome {
    let Ok(value) = serde_json::to_string(&write.record) else {
        return TransactionOutcome::TooLarge;
    };
    if value.len() > node.settings.store.max_value_bytes {
        return TransactionOutcome::TooLarge;
    }
    let key = job_key(&write.job);
    let transaction = Transaction {
        preconditions: write.preconditions,
        writes: vec![Write {
            key: key.clone(),
            value: Some(value.clone()),
        }],
    };
    let outcome = node.store.commit(&transaction, TRANSACTION_TIMEOUT).await;
    if let TransactionOutcome::Committed(revision) = outcome {
        node.apply_own_write(&write.job, &value, revision);
    }
    outcome
}

/// Calls a peer cell and reports the answer to the delegator, unless the leadership has ended.
async fn call_peer_cell(node: &Node, epoch: u64, call: LinkCall) {
    let Some(cells) = &node.cells else { return };
    let answer = link::call(&cells.client, call.address, &call.request).await;
    let now = node.now();
    let mut delegations = cells.delegations();
    if let Some(current) = delegations
        .as_mut()
        .filter(|current| current.epoch == epoch)
    {
        current.delegator.call_ended(call.id, answer, now);
    }
}
