//! Delegation to other cells: the listeners for peer cells, and the shell of the
//! [`Delegator`](saltpitch_cells::origin::Delegator).
//!
//! Nothing of this runs without a file on cells.

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

/// Starts what the file on cells asks for.
pub async fn start(node: &Arc<Node>) -> Result<()> {
    let Some(cells) = &node.cells else {
        return Ok(());
    };
    for neighbour in &cells.settings.neighbour {
        if let Some(admission) = host_admission(neighbour) {
            listener::start(node.clone(), admission).await?;
        }
    }
    tracing::info!("cell {} begins", cells.settings.cell);
    tokio::spawn(delegation::run(node.clone()));
    Ok(())
}

/// How jobs of a peer cell are admitted, if this cell takes any.
fn host_admission(neighbour: &PeerCellSettings) -> Option<HostAdmission> {
    let settings = neighbour.guests.clone()?;
    Some(HostAdmission {
        cell: neighbour.name.clone(),
        settings,
    })
}
