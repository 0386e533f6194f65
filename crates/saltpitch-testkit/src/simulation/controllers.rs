//! Controllers: elections, heartbeats, and the effects of their schedulers.

use super::*;

const FOLLOW_INTERVAL: Micros = Micros::from_millis(200);
const RENEWAL_INTERVAL: Micros = Micros::from_millis(600);
const LIST_INTERVAL: Micros = Micros::from_secs(3);
const HEARTBEAT_TIMEOUT: Micros = Micros::from_secs(1);

/// One heartbeat and its answer.
#[derive(Clone, Copy)]
struct Exchange {
    from: usize,
    to: usize,
    asked_at: Micros,
    /// The sender's epoch when it asked.
    epoch: u64,
}

/// A bid whose transaction is under way.
struct PendingBid {
    campaign: ElectionAttempt,
    store_lease: u64,
    opened_at: Micros,
}

impl Simulation {
    /// How long until node `n` and this machine can reach each other.
    pub(super) fn cut(&self, n: usize, machine: &str) -> Micros {
        let node = &self.nodes[n];
        let zone = self.agents.get(machine).map(|m| m.zone.as_str());
        let apart = if zone == Some(node.zone.as_str()) {
            Micros::ZERO
        } else {
            self.apart_until
        };
        node.no_workers_until.max(apart).since(self.now)
    }

    /// How long what is sent to this machine is held back.
    pub(super) fn unheard(&self, machine: &str) -> Micros {
        let m = self.agents.get(machine);
        m.map_or(Micros::ZERO, |m| m.inbound_cut_until.since(self.now))
    }

    pub(super) fn node_tick(&mut self, n: usize) {
        let now = self.now;
        if !self.nodes[n].is_up(now) || self.nodes[n].frozen(now) > Micros::ZERO {
            return;
        }
        if !self.nodes[n].started {
            let scheduler = self.scheduler_config(n);
            self.nodes[n].start(scheduler, now);
        }
        let reaches = self.nodes[n].reaches_store(&self.store, now);
        if reaches && self.is_due(FOLLOW_INTERVAL) {
            self.follow(n);
        }
        if self.is_due(RENEWAL_INTERVAL) {
            self.send_heartbeats(n);
        }
        match self.nodes[n].controller.store_lease() {
            Some(store_lease) if self.is_due(RENEWAL_INTERVAL) => {
                self.renew(n, store_lease, reaches);
                if self.nodes[n].controller.should_resign(now) {
                    self.resign(n, reaches);
                }
            }
            None if reaches && self.should_campaign(n) => self.elect(n),
            _ => {}
        }
        self.poll(n);
        if self.nodes[n].controller.is_leader() && self.is_due(LIST_INTERVAL) {
            self.list(n);
        }
    }

    /// Whether something that is done every `interval` falls into this tick.
    fn is_due(&self, interval: Micros) -> bool {
        self.now.0 % interval.0 < TICK.0
    }

    /// Reads the records, and puts the process's incarnation on record if it is not there yet.
    fn follow(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        node.follow(&self.store, now);
        if node.controller.catalog().is_none() {
            node.controller.set_catalog(self.catalog.clone());
        }
        if !node.controller.is_announced() {
            node.announce(&mut self.store);
            node.follow(&self.store, now);
        }
    }

    /// Whether to stand for election now.
    fn should_campaign(&mut self, n: usize) -> bool {
        let (now, random) = (self.now, self.rng.random());
        let node = &mut self.nodes[n];
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

    /// An election takes time: the lease is opened, the transaction travels, its answer may be lost,
    /// and the records are read again. Processes end and return, and others bid, in between.
    fn elect(&mut self, n: usize) {
        if std::mem::replace(&mut self.nodes[n].bidding, true) {
            return;
        }
        let now = self.now;
        self.nodes[n].leaderless_since = None;
        let epoch = self.nodes[n].epoch();
        let campaign = self.nodes[n].controller.campaign(now);
        let store_lease = self.store.grant_lease(LEADERSHIP_LEASE, now);
        let (Some(campaign), Some(store_lease)) = (campaign, store_lease) else {
            self.nodes[n].bidding = false;
            return;
        };
        let lost = self.faults.losses && self.random_below(5) == 0;
        let delay = if lost {
            self.random_below(4_000)
        } else {
            self.random_below(300)
        };
        self.after(Micros::from_millis(delay), move |w| {
            // Sent is sent: it is carried out whether or not the process still lives.
            let attached = Some((store_lease, LEADER_KEY));
            let outcome = w.store.txn(
                &campaign.transaction.preconditions,
                &campaign.transaction.writes,
                attached,
            );
            let outcome = if lost {
                TransactionOutcome::Unknown
            } else {
                outcome
            };
            let d = Micros::from_millis(w.random_below(300));
            let pending = PendingBid {
                campaign,
                store_lease,
                opened_at: now,
            };
            w.after(d, move |w| w.bid_answered(n, epoch, pending, outcome));
        });
    }

    fn bid_answered(
        &mut self,
        n: usize,
        epoch: u64,
        pending: PendingBid,
        outcome: TransactionOutcome,
    ) {
        let now = self.now;
        let node = &mut self.nodes[n];
        if node.epoch() != epoch || !node.is_up(now) {
            return;
        }
        node.bidding = false;
        // Read when nobody waits for it any more, or without the state service: the lease runs out.
        if node.frozen(now) > Micros::ZERO || !node.reaches_store(&self.store, now) {
            return;
        }
        let PendingBid {
            campaign,
            store_lease,
            opened_at,
        } = pending;
        let elected = match outcome {
            TransactionOutcome::Committed(revision) => {
                node.follow(&self.store, now);
                let controller = &mut node.controller;
                controller.elected(campaign, store_lease, revision, opened_at, now, now)
            }
            _ => false,
        };
        if !elected {
            self.store.revoke_lease(store_lease);
        }
    }

    /// What a node's version makes of the settings.
    fn scheduler_config(&self, n: usize) -> SchedulerConfig {
        let mut config = self.config.clone();
        if let Some((bytes, ops, rate)) = self.next_limits.filter(|_| !self.nodes[n].old) {
            config.max_value_bytes = config.max_value_bytes.min(bytes);
            config.max_transaction_writes = config.max_transaction_writes.min(ops);
            config.next_write_rate = f64::from(rate) * 0.7;
        }
        config
    }

    fn renew(&mut self, n: usize, store_lease: u64, reaches: bool) {
        let now = self.now;
        let answer = if reaches {
            self.store.keep_alive(store_lease, now)
        } else {
            None
        };
        let node = &mut self.nodes[n];
        match answer {
            Some(true) => node.controller.lease_renewed(now),
            Some(false) => node.controller.lose_leadership(LossReason::LeaseExpired),
            None => node.renewal_unanswered(now),
        }
    }

    fn send_heartbeats(&mut self, n: usize) {
        let (asked_at, epoch) = (self.now, self.nodes[n].epoch());
        for peer in (0..self.nodes.len()).filter(|peer| *peer != n) {
            let name = self.nodes[peer].name.clone();
            let peer_heartbeat = self.nodes[n].peer_heartbeat(&name, asked_at);
            let exchange = Exchange {
                from: n,
                to: peer,
                asked_at,
                epoch,
            };
            let d = self.delay();
            self.after(d, move |w| w.heartbeat_arrives(exchange, peer_heartbeat));
        }
    }

    fn heartbeat_arrives(&mut self, exchange: Exchange, peer_heartbeat: PeerStatus) {
        let now = self.now;
        let (from, to) = (&self.nodes[exchange.from], &self.nodes[exchange.to]);
        let apart = from.zone != to.zone && now < self.apart_until;
        let cut = apart || now < from.no_peers_until || now < to.no_peers_until;
        if cut || !to.is_up(now) || !to.started {
            return;
        }
        let frozen = to.frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| {
                w.heartbeat_arrives(exchange, peer_heartbeat)
            });
        }
        let answer = self.nodes[exchange.to].peer_heartbeat_received(peer_heartbeat, now);
        self.trace.heartbeat_answer(&answer, now);
        if now.since(exchange.asked_at) > HEARTBEAT_TIMEOUT {
            return;
        }
        let d = self.delay();
        self.after(d, move |w| w.peer_heartbeat_answered(exchange, answer));
    }

    fn peer_heartbeat_answered(&mut self, exchange: Exchange, answer: PeerStatus) {
        let now = self.now;
        let n = exchange.from;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.peer_heartbeat_answered(exchange, answer));
        }
        let node = &mut self.nodes[n];
        let same_process = node.epoch() / 1_000_000 == exchange.epoch / 1_000_000;
        if !node.is_up(now) || !same_process {
            return;
        }
        node.peer_heartbeat_answered(answer, exchange.asked_at, exchange.epoch, now);
        self.poll(n);
    }

    fn resign(&mut self, n: usize, reaches: bool) {
        self.resignations += 1;
        let now = self.now;
        let node = &mut self.nodes[n];
        let Some(resignation) = node.controller.resign(now, now) else {
            return;
        };
        let Transaction {
            preconditions,
            writes,
        } = &resignation.transaction;
        let written = reaches
            && matches!(
                self.store.txn(preconditions, writes, None),
                TransactionOutcome::Committed(_)
            );
        if !written {
            node.controller.resignation_failed();
        }
    }

    pub(super) fn poll(&mut self, n: usize) {
        let epoch = self.nodes[n].epoch();
        for effect in self.nodes[n].poll(self.now) {
            self.carry_out(n, epoch, effect);
        }
    }

    /// Gives an answer to the scheduler that asked, if it still leads; then runs its loops.
    pub(super) fn tell(
        &mut self,
        n: usize,
        epoch: u64,
        deliver: impl FnOnce(&mut Scheduler, Micros) + 'static,
    ) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.tell(n, epoch, deliver));
        }
        if let Some(scheduler) = self.nodes[n].scheduler_in(epoch, now) {
            deliver(scheduler, now);
            self.poll(n);
        }
    }
}
