//! The state of a controller that has a cells file.

use std::sync::{Mutex, MutexGuard};

use saltpitch_cells::origin::Delegator;
use saltpitch_cells::settings::CellsSettings;

use crate::http::Client;
use crate::mutex::lock;

/// The delegations of one leadership of this controller.
pub struct LeaderDelegations {
    /// The leadership's epoch.
    pub epoch: u64,
    /// The state machine that decides on the delegations.
    pub delegator: Delegator,
}

/// The cells file and, while this controller leads, the delegations.
pub struct Cells {
    /// The contents of the cells file.
    pub settings: CellsSettings,
    /// The HTTP client for the peer cells. It is separate from all other clients.
    pub client: Client,
    delegations: Mutex<Option<LeaderDelegations>>,
}

impl Cells {
    /// Creates the state of a controller that has not led yet.
    pub fn new(settings: CellsSettings) -> Cells {
        let hosts = settings
            .neighbour
            .iter()
            .filter_map(|peer| peer.lend.as_ref());
        let addresses = hosts.map(|delegation| delegation.addresses.len()).sum();
        Cells {
            settings,
            client: Client::new(addresses),
            delegations: Mutex::new(None),
        }
    }

    /// Locks the delegations of the current leadership or of one that has ended. A task that also needs the
    /// controller must lock the controller first.
    pub fn delegations(&self) -> MutexGuard<'_, Option<LeaderDelegations>> {
        lock(&self.delegations)
    }
}
