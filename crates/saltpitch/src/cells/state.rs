//! What a controller with a file on cells keeps.

use std::sync::{Mutex, MutexGuard};

use saltpitch_cells::origin::Delegator;
use saltpitch_cells::settings::CellsSettings;

use crate::http::Client;
use crate::mutex::lock;

/// The delegations of one leadership.
pub struct LeaderDelegations {
    /// The leadership's epoch.
    pub epoch: u64,
    /// Decides on the delegations.
    pub delegator: Delegator,
}

/// The file on cells and, while this controller leads, the delegations.
pub struct Cells {
    /// The operators' file.
    pub settings: CellsSettings,
    /// The client of the peer cells, apart from all others.
    pub client: Client,
    delegations: Mutex<Option<LeaderDelegations>>,
}

impl Cells {
    /// Nothing is delegated yet.
    pub fn new(settings: CellsSettings) -> Cells {
        let delegating = settings.neighbour.iter().filter_map(|n| n.lend.as_ref());
        let addresses = delegating.map(|lend| lend.addresses.len()).sum();
        Cells {
            settings,
            client: Client::new(addresses),
            delegations: Mutex::new(None),
        }
    }

    /// Locks the delegations of the present leadership, or of one that has ended. A task that needs the
    /// controller as well locks that first.
    pub fn delegations(&self) -> MutexGuard<'_, Option<LeaderDelegations>> {
        lock(&self.delegations)
    }
}
