//! The queue of machines that are due for a direct call, and the number of calls in flight.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::time::Micros;

/// The direct calls to machines that are due, delayed or in flight.
#[derive(Default)]
pub(super) struct Dispatch {
    /// Machines to call at the next poll.
    pending: BTreeSet<Arc<str>>,
    /// Machines to call later, and when.
    delayed: BTreeSet<(Micros, Arc<str>)>,
    commands_in_flight: usize,
    probes_in_flight: usize,
    /// Machines with stops or starts that have not shown any effect yet.
    awaiting_effect: BTreeSet<Arc<str>>,
}

impl Dispatch {
    /// Requests a call to the machine at the next poll.
    pub(super) fn request(&mut self, name: &Arc<str>) {
        self.pending.insert(name.clone());
    }

    /// Requests a call to the machine at this time.
    pub(super) fn request_at(&mut self, name: &Arc<str>, due: Micros) {
        self.delayed.insert((due, name.clone()));
    }

    /// Drops the pending call to the machine, since the answer to its heartbeat carries the commands.
    pub(super) fn heartbeat_answered(&mut self, name: &Arc<str>) {
        self.pending.remove(name);
    }

    /// Moves the delayed calls that are due to the pending ones.
    pub(super) fn release_delayed(&mut self, now: Micros) {
        while self.delayed.first().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, name)) = self.delayed.pop_first() {
                self.pending.insert(name);
            }
        }
    }

    /// Removes and returns the next machine to call.
    pub(super) fn next_pending(&mut self) -> Option<Arc<str>> {
        self.pending.pop_first()
    }

    /// Returns when the next delayed call is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.delayed.first().map(|(due, _)| *due)
    }

    /// Repeats calls to the machine until its stops and starts show their effect.
    pub(super) fn await_effect(&mut self, name: &Arc<str>) {
        self.awaiting_effect.insert(name.clone());
    }

    /// Requests a call to the machine at the next poll, and repeats it until its stops and starts show their
    /// effect.
    pub(super) fn request_until_effect(&mut self, name: &Arc<str>) {
        self.request(name);
        self.await_effect(name);
    }

    /// Ends the repeated calls to a machine whose stops and starts have shown their effect.
    pub(super) fn effect_seen(&mut self, name: &Arc<str>) {
        self.awaiting_effect.remove(name);
    }

    /// Returns the machines with stops or starts that have not shown any effect yet.
    pub(super) fn awaiting_effect(&self) -> impl Iterator<Item = &Arc<str>> {
        self.awaiting_effect.iter()
    }

    /// Drops the calls to a machine that is gone.
    pub(super) fn machine_removed(&mut self, name: &Arc<str>) {
        self.awaiting_effect.remove(name);
        self.pending.remove(name);
    }

    /// Returns the number of calls with commands in flight.
    pub(super) fn commands_in_flight(&self) -> usize {
        self.commands_in_flight
    }

    /// Records that a call with commands is sent.
    pub(super) fn command_sent(&mut self) {
        self.commands_in_flight += 1;
    }

    /// Records that a call with commands was answered or has failed.
    pub(super) fn command_ended(&mut self) {
        self.commands_in_flight = self.commands_in_flight.saturating_sub(1);
    }

    /// Returns the number of probes in flight.
    pub(super) fn probes_in_flight(&self) -> usize {
        self.probes_in_flight
    }

    /// Records that a probe is sent.
    pub(super) fn probe_sent(&mut self) {
        self.probes_in_flight += 1;
    }

    /// Records that a probe was answered or has failed.
    pub(super) fn probe_ended(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }
}
