//! Machines as the cloud lists them, and their return.

use std::sync::Arc;

use super::Leader;
use crate::catalog::MachineType;
use crate::cluster::{Machine, Phase};
use crate::time::Micros;

/// One entry of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub name: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    pub age: Micros,
}

impl Leader {
    /// Intends the return of a machine. The intent goes on record first.
    pub(super) fn give_back(&mut self, name: &Arc<str>, now: Micros) {
        if let Some(m) = self.machines.get_mut(name) {
            if !matches!(m.phase, Phase::Returning(_)) {
                m.phase = Phase::Returning(false);
                // What holds work is waited for; what is empty can gather.
                let wait = if m.holds.is_empty() { 700 } else { 0 };
                self.blocks.changed(m, now.plus(Micros::from_millis(wait)));
                self.reindex(name);
            }
        }
    }

    /// The cloud confirmed the return of these machines: they and all on them are gone.
    pub fn returned(&mut self, names: &[Arc<str>], now: Micros) {
        for name in names {
            self.lose_all(name, now);
            if let Some(m) = self.machines.get(name) {
                // What was given back can be had again.
                let key = (m.kind.name.clone(), m.zone.to_string(), m.spot);
                self.refusals.remove(&key);
                self.drop_machine(name, now);
            }
        }
        self.schedule_wanted = true;
    }

    /// The cloud's list. What is on it is there, or was a while ago; absence proves nothing.
    pub fn listed(&mut self, list: &[ListedMachine], gone: &dyn Fn(&str) -> bool, now: Micros) {
        for e in list {
            if let Some(m) = self.machines.get_mut(e.name.as_str()) {
                let name = m.name.clone();
                if m.addr.is_empty() && !e.addr.is_empty() {
                    m.addr.clone_from(&e.addr);
                    self.blocks.changed(m, now.plus(Micros::from_secs(3)));
                }
                if e.failed {
                    self.lose_all(&name, now);
                    self.give_back(&name, now);
                }
                continue;
            }
            if gone(&e.name) || self.gone_machines.contains(e.name.as_str()) {
                continue;
            }
            let kind = self.catalog.get(&e.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&e.type_name)));
            let zone = e.zone.as_str().into();
            let mut m = Machine::new(&e.name, kind, zone, e.spot, &e.addr, now);
            m.born = now.since(e.age);
            let name = m.name.clone();
            self.blocks
                .changed(&mut m, now.plus(Micros::from_millis(300)));
            self.add_machine(m);
            if e.failed {
                self.give_back(&name, now);
            }
        }
    }
}
