//! Delegations to other cells: carries out what [`Delegator`] decides, and listens for neighbours.
//!
//! Nothing of this runs without a file on cells.

pub mod command;
mod link;
mod listener;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anyhow::Result;
use saltpitch_cells::host::HostAdmission;
use saltpitch_cells::origin::{CellEffect, Delegator, LinkCall, RecordWrite};
use saltpitch_cells::settings::{CellsSettings, NeighbourSettings};
use saltpitch_core::records::job_key;
use saltpitch_core::scheduler::{TransactionOutcome, Write};

use crate::http::Client;
use crate::node::Node;

/// How often a leader looks after its delegations.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const TXN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delegations of one leadership.
struct Leading {
    epoch: u64,
    delegator: Delegator,
}

/// What a controller with a file on cells keeps.
pub struct Cells {
    settings: CellsSettings,
    /// Calls to neighbours, apart from all others.
    client: Client,
    leading: Mutex<Option<Leading>>,
}

impl Cells {
    /// Nothing is delegated yet.
    pub fn new(settings: CellsSettings) -> Cells {
        let lends = settings.neighbour.iter().filter_map(|n| n.lend.as_ref());
        let addresses = lends.map(|lend| lend.addresses.len()).sum();
        Cells {
            settings,
            client: Client::new(addresses),
            leading: Mutex::new(None),
        }
    }

    fn leading(&self) -> MutexGuard<'_, Option<Leading>> {
        self.leading.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Starts whatever the file asks for.
pub async fn start(node: &Arc<Node>) -> Result<()> {
    let Some(cells) = &node.cells else {
        return Ok(());
    };
    for neighbour in &cells.settings.neighbour {
        if let Some(door) = door(neighbour) {
            listener::start(node.clone(), door).await?;
        }
    }
    tracing::info!("cell {} begins", cells.settings.cell);
    tokio::spawn(run(node.clone()));
    Ok(())
}

fn door(neighbour: &NeighbourSettings) -> Option<HostAdmission> {
    let settings = neighbour.guests.clone()?;
    Some(HostAdmission {
        cell: neighbour.name.clone(),
        settings,
    })
}

async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        poll(&node);
    }
}

/// Looks after the delegations once, if this controller leads.
fn poll(node: &Arc<Node>) {
    let Some(cells) = &node.cells else { return };
    let (now, wall, seed) = (node.now(), node.clock.wall(), node.random());
    let mut controller = node.controller();
    let epoch = controller.epoch();
    let cancel = controller.config().scheduler.cancel;
    let mut leading = cells.leading();
    let Some(mut access) = controller.delegation_access(now) else {
        return;
    };
    let current = leading.take().filter(|leading| leading.epoch == epoch);
    let leading = leading.insert(current.unwrap_or_else(|| Leading {
        epoch,
        delegator: Delegator::new(&cells.settings, cancel, seed),
    }));
    let effects = leading.delegator.poll(&mut access, now, wall);
    for notice in leading.delegator.take_notices() {
        if notice.is_error() {
            tracing::error!("{notice}");
        } else {
            tracing::info!("{notice}");
        }
    }
    for effect in effects {
        tokio::spawn(carry_out(node.clone(), epoch, effect));
    }
}

async fn carry_out(node: Arc<Node>, epoch: u64, effect: CellEffect) {
    match effect {
        CellEffect::Write(write) => commit(&node, epoch, write).await,
        CellEffect::Call(call) => ask(&node, epoch, call).await,
    }
}

/// Carries out a transaction; what it wrote is known here from the answer on.
async fn commit(node: &Node, epoch: u64, write: RecordWrite) {
    let outcome = transact(node, &write).await;
    let Some(cells) = &node.cells else { return };
    let now = node.now();
    let mut controller = node.controller();
    let mut leading = cells.leading();
    let current = leading.as_mut().filter(|leading| leading.epoch == epoch);
    let (Some(current), Some(leader)) = (current, controller.scheduler_in_epoch(epoch)) else {
        return;
    };
    let delegator = &mut current.delegator;
    delegator.write_ended(&write.job, &outcome, leader, now);
    node.wake.notify_one();
}

async fn transact(node: &Node, write: &RecordWrite) -> TransactionOutcome {
    let Ok(value) = serde_json::to_string(&write.record) else {
        return TransactionOutcome::TooLarge;
    };
    if value.len() > node.settings.store.max_value_bytes {
        return TransactionOutcome::TooLarge;
    }
    let key = job_key(&write.job);
    let change = Write {
        key: key.clone(),
        value: Some(value.clone()),
    };
    let outcome = node
        .store
        .txn(&write.preconditions, &[change], None, TXN_TIMEOUT)
        .await;
    if let TransactionOutcome::Committed(revision) = outcome {
        node.apply_own_write(&key, &value, revision);
    }
    outcome
}

async fn ask(node: &Node, epoch: u64, call: LinkCall) {
    let Some(cells) = &node.cells else { return };
    let answer = link::call(&cells.client, call.address, &call.request).await;
    let now = node.now();
    let mut leading = cells.leading();
    if let Some(current) = leading.as_mut().filter(|leading| leading.epoch == epoch) {
        current.delegator.call_ended(call.id, answer, now);
    }
}
