//! Late copies: the network delivers requests that were carried out and answered once more, milliseconds to minutes
//! later. Nobody waits for the answer to a copy.
//!
//! Every history has them. They are drawn from a generator of their own, so that they change no other draw.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::scheduler::{CommandOutcome, Transaction, TransactionOutcome};
use saltpitch_core::Micros;

use super::cloud::ScaleOutRequest;
use super::effects::DirectCommands;
use super::Simulation;

/// One in so many requests is delivered once more.
const COPIED_ONE_IN: u32 = 3;
/// One in so many copied requests is delivered twice more.
const COPIED_TWICE_ONE_IN: u32 = 4;
/// Separates the generator of the copies from that of the history with the same seed.
const SEED_SALT: u64 = 0x6c61_7465_636f_7079;

/// The delays of copies, in milliseconds: at once, about as long as a task runs, and longer than any lease.
const DELAY_RANGES_MS: [std::ops::Range<u64>; 3] = [0..300, 300..20_000, 20_000..240_000];

/// How many copies have arrived, by receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Copies of direct commands.
    pub commands: u64,
    /// Copies of direct commands that the agent executed again.
    pub executed_commands: u64,
    /// Copies of transactions.
    pub transactions: u64,
    /// Copies of transactions that the store applied again.
    pub applied_transactions: u64,
    /// Copies of scale-out and scale-in requests.
    pub cloud_requests: u64,
    /// Copies of heartbeats between controllers.
    pub peer_heartbeats: u64,
}

/// Draws which requests are copied, and counts the copies.
pub(super) struct LateCopies {
    rng: SmallRng,
    counts: CopyCounts,
    /// All direct commands that agents have executed, in the order of their execution.
    executed_calls: Vec<Arc<DirectCommands>>,
}

impl LateCopies {
    pub(super) fn new(seed: u64) -> LateCopies {
        LateCopies {
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            counts: CopyCounts::default(),
            executed_calls: Vec::new(),
        }
    }

    /// Draws after which times a request that was just carried out arrives again.
    fn draw_delays(&mut self) -> Vec<Micros> {
        if !self.rng.random_ratio(1, COPIED_ONE_IN) {
            return Vec::new();
        }
        let is_copied_twice = self.rng.random_ratio(1, COPIED_TWICE_ONE_IN);
        let copies = if is_copied_twice { 2 } else { 1 };
        (0..copies).map(|_| self.draw_delay()).collect()
    }

    fn draw_delay(&mut self) -> Micros {
        let range = DELAY_RANGES_MS[self.rng.random_range(0..DELAY_RANGES_MS.len())].clone();
        Micros::from_millis(self.rng.random_range(range))
    }
}

impl Simulation {
    /// Returns how many late copies have arrived so far.
    pub fn late_copies(&self) -> CopyCounts {
        self.late_copies.counts
    }

    /// Delivers copies of all direct commands that agents have executed so far, in their order or newest first.
    pub fn repeat_executed_calls(&mut self, newest_first: bool) {
        let mut calls = self.late_copies.executed_calls.clone();
        if newest_first {
            calls.reverse();
        }
        for direct in calls {
            self.command_copy_arrives(direct);
        }
    }

    /// Records direct commands that an agent has executed, and draws copies of them.
    pub(super) fn copy_commands(&mut self, direct: &Arc<DirectCommands>) {
        self.late_copies.executed_calls.push(direct.clone());
        for delay in self.late_copies.draw_delays() {
            let direct = direct.clone();
            self.schedule_after(delay, move |simulation| {
                simulation.command_copy_arrives(direct)
            });
        }
    }

    /// Delivers a copy of direct commands. A machine that hangs processes it when it resumes.
    fn command_copy_arrives(&mut self, direct: Arc<DirectCommands>) {
        let agent = self.agents.get(&*direct.machine);
        let hung_for = agent.map_or(Micros::ZERO, |agent| agent.hung_until.since(self.now));
        if hung_for > Micros::ZERO {
            return self.schedule_after(hung_for, move |simulation| {
                simulation.command_copy_arrives(direct)
            });
        }
        self.late_copies.counts.commands += 1;
        if let Some(CommandOutcome::Executed(_)) = self.commands_arrive(&direct) {
            self.late_copies.counts.executed_commands += 1;
        }
    }

    /// Draws copies of a transaction that the store has applied.
    pub(super) fn copy_transaction(
        &mut self,
        transaction: &Transaction,
        lease: Option<(u64, &'static str)>,
    ) {
        for delay in self.late_copies.draw_delays() {
            let transaction = transaction.clone();
            self.schedule_after(delay, move |simulation| {
                simulation.transaction_copy_arrives(&transaction, lease)
            });
        }
    }

    fn transaction_copy_arrives(
        &mut self,
        transaction: &Transaction,
        lease: Option<(u64, &'static str)>,
    ) {
        let Transaction {
            preconditions,
            writes,
        } = transaction;
        let outcome = self.store.txn(preconditions, writes, lease);
        self.late_copies.counts.transactions += 1;
        if let TransactionOutcome::Committed(_) = outcome {
            self.late_copies.counts.applied_transactions += 1;
        }
    }

    /// Draws copies of a scale-out request that the cloud has carried out.
    pub(super) fn copy_scale_out(&mut self, request: &Arc<ScaleOutRequest>) {
        for delay in self.late_copies.draw_delays() {
            let request = request.clone();
            self.schedule_after(delay, move |simulation| {
                simulation.late_copies.counts.cloud_requests += 1;
                simulation.scale_out(&request);
            });
        }
    }

    /// Draws copies of a scale-in request that the cloud has carried out.
    pub(super) fn copy_scale_in(&mut self, names: &[Arc<str>]) {
        for delay in self.late_copies.draw_delays() {
            let names = names.to_vec();
            self.schedule_after(delay, move |simulation| {
                simulation.late_copies.counts.cloud_requests += 1;
                simulation.scale_in(&names);
            });
        }
    }

    /// Draws copies of a heartbeat that a peer has answered.
    pub(super) fn copy_peer_heartbeat(&mut self, node_index: usize, heartbeat: &PeerStatus) {
        for delay in self.late_copies.draw_delays() {
            let heartbeat = heartbeat.clone();
            self.schedule_after(delay, move |simulation| {
                simulation.peer_heartbeat_copy_arrives(node_index, heartbeat)
            });
        }
    }

    fn peer_heartbeat_copy_arrives(&mut self, node_index: usize, heartbeat: PeerStatus) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        if node.is_up(now) && node.is_started && node.remaining_pause(now) == Micros::ZERO {
            node.peer_heartbeat_received(heartbeat, now);
            self.late_copies.counts.peer_heartbeats += 1;
        }
    }
}
