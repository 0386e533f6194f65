//! Which machines are to be sent commands directly, and how many such calls are under way.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::time::Micros;

/// Direct calls to machines, due and under way.
#[derive(Default)]
pub(super) struct Dispatch {
    /// Machines that are to be called at the next poll.
    pending: BTreeSet<Arc<str>>,
    /// Machines that are to be called again, and when.
    delayed: BTreeSet<(Micros, Arc<str>)>,
    commands_in_flight: usize,
    probes_in_flight: usize,
    /// Machines with stops or starts that have not shown any effect yet.
    awaiting_effect: BTreeSet<Arc<str>>,
}

impl Dispatch {
    /// The machine is called at the next poll.
    pub(super) fn request(&mut self, name: &Arc<str>) {
        self.pending.insert(name.clone());
    }

    /// The machine is called at this time.
    pub(super) fn request_at(&mut self, name: &Arc<str>, due: Micros) {
        self.delayed.insert((due, name.clone()));
    }

    /// The answer to a heartbeat carries what the machine was to be called for.
    pub(super) fn heartbeat_answered(&mut self, name: &Arc<str>) {
        self.pending.remove(name);
    }

    /// Machines whose time has come are called at the next poll.
    pub(super) fn release_delayed(&mut self, now: Micros) {
        while self.delayed.first().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, name)) = self.delayed.pop_first() {
                self.pending.insert(name);
            }
        }
    }

    /// The next machine to call.
    pub(super) fn next_pending(&mut self) -> Option<Arc<str>> {
        self.pending.pop_first()
    }

    /// When the next machine is to be called again.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.delayed.first().map(|(due, _)| *due)
    }

    /// Calls to the machine are repeated until its stops and starts show an effect.
    pub(super) fn await_effect(&mut self, name: &Arc<str>) {
        self.awaiting_effect.insert(name.clone());
    }

    /// The machine is called at the next poll, and again until its stops and starts show an effect.
    pub(super) fn request_until_effect(&mut self, name: &Arc<str>) {
        self.request(name);
        self.await_effect(name);
    }

    /// The machine's stops and starts have shown their effect.
    pub(super) fn effect_seen(&mut self, name: &Arc<str>) {
        self.awaiting_effect.remove(name);
    }

    /// Machines with stops or starts that have not shown any effect yet.
    pub(super) fn awaiting_effect(&self) -> impl Iterator<Item = &Arc<str>> {
        self.awaiting_effect.iter()
    }

    /// The machine is gone.
    pub(super) fn machine_removed(&mut self, name: &Arc<str>) {
        self.awaiting_effect.remove(name);
        self.pending.remove(name);
    }

    /// Direct commands under way.
    pub(super) fn commands_in_flight(&self) -> usize {
        self.commands_in_flight
    }

    /// Direct commands are sent.
    pub(super) fn command_sent(&mut self) {
        self.commands_in_flight += 1;
    }

    /// Direct commands were answered, or not in time.
    pub(super) fn command_ended(&mut self) {
        self.commands_in_flight = self.commands_in_flight.saturating_sub(1);
    }

    /// Probes under way.
    pub(super) fn probes_in_flight(&self) -> usize {
        self.probes_in_flight
    }

    /// A probe is sent.
    pub(super) fn probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// A probe was answered, or not in time.
    pub(super) fn probe_ended(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }
}
