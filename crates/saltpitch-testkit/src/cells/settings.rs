//! The cells' settings files.

use super::{GUEST_TEAM, NAMES};
use crate::nodes::CONTROLLERS;

/// The first port of each cell's listeners.
pub(super) const FIRST_PORT: [u16; 2] = [9_100, 9_200];

/// Returns the address of one controller's listener as the settings file writes it.
fn address(cell: usize, node: usize) -> String {
    let port = FIRST_PORT[cell] + node as u16;
    format!("\"127.0.0.1:{port}\"")
}

/// Returns a cell's settings file. Each cell delegates jobs to the other one and hosts the other one's jobs.
pub(super) fn file(cell: usize) -> String {
    let other = 1 - cell;
    let addresses: Vec<String> = (0..CONTROLLERS.len())
        .map(|node| address(other, node))
        .collect();
    let listen: Vec<String> = (0..CONTROLLERS.len())
        .map(|node| format!("{} = {}", CONTROLLERS[node].0, address(cell, node)))
        .collect();
    format!(
        r#"cell = "{}"
[[neighbour]]
name = "{}"
[neighbour.lend]
addresses = [{}]
cancel_s = 44.0
machine_types = ["plain", "accel"]
after_s = 10.0
min_run_s = 2.0
recall_after_s = 15.0
max_jobs = 8
max_tasks = 80
[neighbour.guests]
team = "{GUEST_TEAM}"
max_jobs = 8
max_tasks = 80
max_waiting = 3
[neighbour.guests.listen]
{}
"#,
        NAMES[cell],
        NAMES[other],
        addresses.join(", "),
        listen.join("\n")
    )
}
