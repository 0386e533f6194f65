//! Names of machines that were returned to the cloud.

use std::collections::{HashSet, VecDeque};

/// Maximum number of names that are kept.
const MAX_RETURNED: usize = 50_000;

/// A bounded set of names of returned machines, whose late heartbeats and cloud listings are ignored. The oldest
/// names are dropped: by then, no message about these machines can be in flight any more.
#[derive(Clone, Debug, Default)]
pub struct ReturnedMachines {
    names: HashSet<String>,
    insertion_order: VecDeque<String>,
}

impl ReturnedMachines {
    /// Returns whether the machine with this name was returned.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Removes a machine because it is recorded again.
    pub(super) fn remove(&mut self, name: &str) {
        if self.names.remove(name) {
            self.insertion_order.retain(|returned| returned != name);
        }
    }

    /// Adds a returned machine.
    pub fn insert(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.insertion_order.push_back(name.to_owned());
            if self.insertion_order.len() > MAX_RETURNED {
                if let Some(oldest) = self.insertion_order.pop_front() {
                    self.names.remove(&oldest);
                }
            }
        }
    }
}
