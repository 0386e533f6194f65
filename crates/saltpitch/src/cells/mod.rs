//! Delegation between cells: the listeners for peer cells, and the task that runs the
//! [`Delegator`](saltpitch_cells::origin::Delegator).
//!
//! None of this runs without a cells file.

pub mod command;
mod delegation;
mod link;
mod listener;
pub mod state;

use std::sync::Arc;

use anyhow::Result;
use saltpitch_cells::host::HostAdmission;
use saltpitch_cells::settings::PeerCellSettings;

use crate::node::Node;

/// Starts the listeners and the delegation task, if there is a cells file.
pub async fn start(node: &Arc<Node>) -> Result<()> {
    let Some(cells) = &node.cells else {
        return Ok(());
    };
    for peer in &cells.settings.neighbour {
        if let Some(admission) = host_admission(peer) {
            listener::start(node.clone(), admission).await?;
        }
    }
    tracing::info!("cell {}: delegation started", cells.settings.cell);
    tokio::spawn(delegation::run(node.clone()));
    Ok(())
}

/// Returns the admission of a peer cell's jobs, or `None` if this cell accepts none.
fn host_admission(peer: &PeerCellSettings) -> Option<HostAdmission> {
    let settings = peer.guests.clone()?;
    Some(HostAdmission {
        cell: peer.name.clone(),
        settings,
    })
}
