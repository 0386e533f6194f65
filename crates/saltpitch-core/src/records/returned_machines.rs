//! Machines that were returned to the cloud.

use std::collections::{HashSet, VecDeque};

/// The most returned machines whose names are remembered.
const MAX_RETURNED: usize = 50_000;

/// Names of machines that were returned: late heartbeats and listings of them mean nothing. Bounded: the
/// oldest fall out, since nothing of them can be in flight any more by then.
#[derive(Clone, Debug, Default)]
pub struct ReturnedMachines {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl ReturnedMachines {
    /// Whether the machine of this name was returned.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// The machine is on record, whatever was known before.
    pub(super) fn remove(&mut self, name: &str) {
        if self.names.remove(name) {
            self.order.retain(|n| n != name);
        }
    }

    /// Remembers a returned machine.
    pub fn insert(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.order.push_back(name.to_owned());
            if self.order.len() > MAX_RETURNED {
                if let Some(old) = self.order.pop_front() {
                    self.names.remove(&old);
                }
            }
        }
    }
}
