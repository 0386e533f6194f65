//! Controllers: elections, heartbeats, and the effects of their schedulers.

use rand::Rng;
use saltpitch_core::controller::{Candidacy, LossReason};
use saltpitch_core::leadership::{ElectionAttempt, LEADERSHIP_LEASE};
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::records::LEADER_KEY;
use saltpitch_core::scheduler::{Scheduler, SchedulerConfig, TransactionOutcome};
use saltpitch_core::Micros;

use super::{Simulation, TICK};

/// How often a controller reads the records.
const RECORDS_INTERVAL: Micros = Micros::from_millis(200);
/// How often a controller sends heartbeats to its peers and, as leader, renews its lease.
const RENEWAL_INTERVAL: Micros = Micros::from_millis(600);
/// How often a leader lists the cloud's machines.
const MACHINE_LIST_INTERVAL: Micros = Micros::from_secs(3);
/// Heartbeats that arrive later than this after they were sent get no answer.
const HEARTBEAT_TIMEOUT: Micros = Micros::from_secs(1);

/// A heartbeat from one controller to another, and its answer.
#[derive(Clone, Copy)]
struct Exchange {
    from: usize,
    to: usize,
    sent_at: Micros,
    /// The sender's epoch when it sent the heartbeat.
    epoch: u64,
}

/// An election attempt whose transaction is in flight.
struct PendingAttempt {
    campaign: ElectionAttempt,
    store_lease: u64,
    opened_at: Micros,
}

impl Simulation {
    /// Returns how long this controller and this machine stay partitioned from each other.
    pub(super) fn partitioned_for(&self, node_index: usize, machine: &str) -> Micros {
        let node = &self.nodes[node_index];
        let zone = self.agents.get(machine).map(|agent| agent.zone.as_str());
        let zones_partitioned = if zone == Some(node.zone.as_str()) {
            Micros::ZERO
        } else {
            self.zone_partition_until
        };
        node.agent_partition_until
            .max(zones_partitioned)
            .since(self.now)
    }

    /// Returns how long messages to this machine are held back.
    pub(super) fn inbound_partitioned_for(&self, machine: &str) -> Micros {
        let agent = self.agents.get(machine);
        agent.map_or(Micros::ZERO, |agent| {
            agent.inbound_partition_until.since(self.now)
        })
    }

    /// Runs one tick of a controller's process.
    pub(super) fn node_tick(&mut self, node_index: usize) {
        let now = self.now;
        if !self.nodes[node_index].is_up(now)
            || self.nodes[node_index].remaining_pause(now) > Micros::ZERO
        {
            return;
        }
        if !self.nodes[node_index].is_started {
            let scheduler = self.scheduler_config(node_index);
            self.nodes[node_index].start(scheduler, now);
        }
        let store_reachable = self.nodes[node_index].can_reach_store(&self.store, now);
        if self.are_reads_delayed() {
            self.follow_records(node_index);
            self.prepare_to_lead(node_index, store_reachable);
        } else if store_reachable && self.is_due(RECORDS_INTERVAL) {
            self.read_records(node_index);
        }
        if self.is_due(RENEWAL_INTERVAL) {
            self.send_heartbeats(node_index);
        }
        match self.nodes[node_index].controller.store_lease() {
            Some(store_lease) if self.is_due(RENEWAL_INTERVAL) => {
                self.renew_lease(node_index, store_lease, store_reachable);
                if self.nodes[node_index].controller.should_resign(now) {
                    self.resign(node_index, store_reachable);
                }
            }
            None if store_reachable && self.should_campaign(node_index) => {
                self.campaign(node_index)
            }
            _ => {}
        }
        self.poll(node_index);
        if self.nodes[node_index].controller.is_leader() && self.is_due(MACHINE_LIST_INTERVAL) {
            self.list_machines(node_index);
        }
    }

    /// Returns whether an action that is repeated every `interval` is due in this tick.
    fn is_due(&self, interval: Micros) -> bool {
        self.now.0 % interval.0 < TICK.0
    }

    /// Reads the records, and writes the process's incarnation to the store if it is not there yet.
    fn read_records(&mut self, node_index: usize) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        node.read_records(&self.store, now);
        if node.controller.catalog().is_none() {
            node.controller.set_catalog(self.catalog.clone());
        }
        if !node.controller.is_announced() {
            node.announce(&mut self.store);
            node.read_records(&self.store, now);
        }
    }

    /// Gives a process that has read the records the machine types, and announces it.
    fn prepare_to_lead(&mut self, node_index: usize, store_reachable: bool) {
        let node = &mut self.nodes[node_index];
        if node.controller.catalog().is_none() {
            node.controller.set_catalog(self.catalog.clone());
        }
        if store_reachable && node.controller.is_synced() && !node.controller.is_announced() {
            node.announce(&mut self.store);
        }
    }

    /// Returns whether to campaign for the leadership now.
    fn should_campaign(&mut self, node_index: usize) -> bool {
        let (now, random) = (self.now, self.rng.random());
        let node = &mut self.nodes[node_index];
        match node.controller.candidacy(now, random) {
            Candidacy::No => {
                node.leaderless_since = None;
                false
            }
            Candidacy::AtOnce => true,
            Candidacy::After(delay) => {
                let since = *node.leaderless_since.get_or_insert(now);
                now.since(since) >= delay
            }
        }
    }

    /// Campaigns for the leadership. An election takes time: the lease is granted, the transaction is sent,
    /// its answer may be lost, and the records are read again. Processes crash and restart, and others
    /// campaign, in between.
    fn campaign(&mut self, node_index: usize) {
        if std::mem::replace(&mut self.nodes[node_index].is_campaigning, true) {
            return;
        }
        let now = self.now;
        self.nodes[node_index].leaderless_since = None;
        let epoch = self.nodes[node_index].epoch();
        let campaign = self.nodes[node_index].controller.campaign(now);
        let store_lease = self.store.grant_lease(LEADERSHIP_LEASE, now);
        let (Some(campaign), Some(store_lease)) = (campaign, store_lease) else {
            self.nodes[node_index].is_campaigning = false;
            return;
        };
        let lost = self.faults.lost_answers && self.random_below(5) == 0;
        let delay = if lost {
            self.random_below(4_000)
        } else {
            self.random_below(300)
        };
        self.schedule_after(Micros::from_millis(delay), move |simulation| {
            // A transaction in flight is applied even if the process has crashed since.
            let attached = Some((store_lease, LEADER_KEY));
            let outcome = simulation.apply_transaction(&campaign.transaction, attached);
            let outcome = if lost {
                TransactionOutcome::Unknown
            } else {
                outcome
            };
            let delay = Micros::from_millis(simulation.random_below(300));
            let pending = PendingAttempt {
                campaign,
                store_lease,
                opened_at: now,
            };
            simulation.schedule_after(delay, move |simulation| {
                simulation.attempt_answered(node_index, epoch, pending, outcome)
            });
        });
    }

    fn attempt_answered(
        &mut self,
        node_index: usize,
        epoch: u64,
        pending: PendingAttempt,
        outcome: TransactionOutcome,
    ) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        if node.epoch() != epoch || !node.is_up(now) {
            return;
        }
        node.is_campaigning = false;
        // A paused process reads the answer after its timeout, and without the state service the records
        // can't be read: the lease is left to expire.
        if node.remaining_pause(now) > Micros::ZERO || !node.can_reach_store(&self.store, now) {
            return;
        }
        let TransactionOutcome::Committed(revision) = outcome else {
            return self.store.revoke_lease(pending.store_lease);
        };
        if self.are_reads_delayed() {
            let process = self.process(node_index);
            return self.when_freshly_read(process, move |simulation, is_read| {
                simulation.conclude_election(node_index, epoch, pending, revision, is_read)
            });
        }
        self.nodes[node_index].read_records(&self.store, now);
        self.conclude_election(node_index, epoch, pending, revision, true);
    }

    /// Lets the winner of an election lead once it has read the records again.
    fn conclude_election(
        &mut self,
        node_index: usize,
        epoch: u64,
        pending: PendingAttempt,
        revision: u64,
        is_read: bool,
    ) {
        let PendingAttempt {
            campaign,
            store_lease,
            opened_at,
        } = pending;
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let is_elected = is_read
            && node.epoch() == epoch
            && node
                .controller
                .election_won(campaign, store_lease, revision, opened_at, now, now);
        if !is_elected {
            self.store.revoke_lease(store_lease);
        }
    }

    /// Returns the scheduler's settings as the node's version reads them: version 0 ignores the store's next
    /// limits.
    fn scheduler_config(&self, node_index: usize) -> SchedulerConfig {
        let mut config = self.config.clone();
        if let Some((bytes, ops, rate)) = self
            .next_store_limits
            .filter(|_| !self.nodes[node_index].runs_version_0)
        {
            config.max_value_bytes = config.max_value_bytes.min(bytes);
            config.max_transaction_writes = config.max_transaction_writes.min(ops);
            config.next_write_rate = f64::from(rate) * 0.7;
        }
        config
    }

    fn renew_lease(&mut self, node_index: usize, store_lease: u64, store_reachable: bool) {
        let now = self.now;
        let answer = if store_reachable {
            self.store.keep_alive(store_lease, now)
        } else {
            None
        };
        let node = &mut self.nodes[node_index];
        match answer {
            Some(true) => node.controller.lease_renewed(now),
            Some(false) => node.controller.lose_leadership(LossReason::LeaseExpired),
            None => node.renewal_unanswered(now),
        }
    }

    fn send_heartbeats(&mut self, node_index: usize) {
        let (sent_at, epoch) = (self.now, self.nodes[node_index].epoch());
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node_index) {
            let name = self.nodes[peer].name.clone();
            let peer_heartbeat = self.nodes[node_index].peer_heartbeat(&name, sent_at);
            let exchange = Exchange {
                from: node_index,
                to: peer,
                sent_at,
                epoch,
            };
            let delay = self.draw_delay();
            self.schedule_after(delay, move |simulation| {
                simulation.heartbeat_arrives(exchange, peer_heartbeat)
            });
        }
    }

    fn heartbeat_arrives(&mut self, exchange: Exchange, peer_heartbeat: PeerStatus) {
        let now = self.now;
        let (from, to) = (&self.nodes[exchange.from], &self.nodes[exchange.to]);
        let zones_partitioned = from.zone != to.zone && now < self.zone_partition_until;
        let is_partitioned =
            zones_partitioned || now < from.peer_partition_until || now < to.peer_partition_until;
        if is_partitioned || !to.is_up(now) || !to.is_started {
            return;
        }
        let pause = to.remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.heartbeat_arrives(exchange, peer_heartbeat)
            });
        }
        self.copy_peer_heartbeat(exchange.to, &peer_heartbeat);
        let answer = self.nodes[exchange.to].peer_heartbeat_received(peer_heartbeat, now);
        self.trace.heartbeat_answer(&answer, now);
        if now.since(exchange.sent_at) > HEARTBEAT_TIMEOUT {
            return;
        }
        let delay = self.draw_delay();
        self.schedule_after(delay, move |simulation| {
            simulation.peer_heartbeat_answered(exchange, answer)
        });
    }

    fn peer_heartbeat_answered(&mut self, exchange: Exchange, answer: PeerStatus) {
        let now = self.now;
        let node_index = exchange.from;
        let pause = self.nodes[node_index].remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.peer_heartbeat_answered(exchange, answer)
            });
        }
        let node = &mut self.nodes[node_index];
        let same_process = node.epoch() / 1_000_000 == exchange.epoch / 1_000_000;
        if !node.is_up(now) || !same_process {
            return;
        }
        node.peer_heartbeat_answered(answer, exchange.sent_at, exchange.epoch, now);
        self.poll(node_index);
    }

    fn resign(&mut self, node_index: usize, store_reachable: bool) {
        self.resignations += 1;
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let Some(resignation) = node.controller.resign(now, now) else {
            return;
        };
        let written = store_reachable
            && matches!(
                self.apply_transaction(&resignation.transaction, None),
                TransactionOutcome::Committed(_)
            );
        if !written {
            self.nodes[node_index].controller.resignation_failed();
        }
    }

    /// Runs the scheduler's loops, if this controller leads, and carries out their effects.
    pub(super) fn poll(&mut self, node_index: usize) {
        let epoch = self.nodes[node_index].epoch();
        for effect in self.nodes[node_index].poll(self.now) {
            self.carry_out(node_index, epoch, effect);
        }
    }

    /// Delivers an answer to the scheduler that requested it, if it still leads in that epoch, and then runs
    /// its loops.
    pub(super) fn notify_scheduler(
        &mut self,
        node_index: usize,
        epoch: u64,
        deliver: impl FnOnce(&mut Scheduler, Micros) + 'static,
    ) {
        let now = self.now;
        let pause = self.nodes[node_index].remaining_pause(now);
        if pause > Micros::ZERO {
            return self.schedule_after(pause, move |simulation| {
                simulation.notify_scheduler(node_index, epoch, deliver)
            });
        }
        if let Some(scheduler) = self.nodes[node_index].scheduler_in(epoch, now) {
            deliver(scheduler, now);
            self.poll(node_index);
        }
    }
}
