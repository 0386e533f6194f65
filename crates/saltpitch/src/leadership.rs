//! Holding the leadership, and carrying out what the scheduler wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use saltpitch_core::agent::{Command, Heartbeat};
use saltpitch_core::controller::{Candidacy, LossReason};
use saltpitch_core::leadership::LEADERSHIP_LEASE;
use saltpitch_core::records::{LEADER_KEY, TERM_KEY};
use saltpitch_core::scheduler::{
    CommandOutcome, Effect, ListedMachine, Scheduler, Transaction, TransactionOutcome,
};
use saltpitch_core::Micros;

use crate::http::CallError;
use crate::node::Node;
use crate::wire::agents;

/// The pause between two renewals of the leadership lease.
const RENEWAL_PAUSE: Duration = Duration::from_millis(600);
/// How often a vacant leadership is looked for.
const ELECTION_CHECK: Duration = Duration::from_millis(100);
/// How long the leader's loop sleeps when this node does not lead.
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// Heartbeats that arrive within this time are answered by one pass.
const BATCHING: Duration = Duration::from_millis(5);
/// How often the log gets a line on the scheduler's state.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
const TXN_TIMEOUT: Duration = Duration::from_millis(1_500);
const ORDERS_TIMEOUT: Duration = Duration::from_millis(1_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most names in one call that returns machines.
const MAX_RETURNED_PER_CALL: usize = 100;

/// Stands for election when the leadership is vacant, renews the lease, and resigns when nobody hears
/// this node.
pub async fn hold_leadership(node: Arc<Node>) {
    let mut leaderless_since: Option<Micros> = None;
    loop {
        let store_lease = node.controller().store_lease();
        if let Some(store_lease) = store_lease {
            leaderless_since = None;
            renew(&node, store_lease).await;
            let now = node.now();
            if node.controller().should_resign(now) {
                resign(&node).await;
            }
            node.store.set_leading(node.controller().is_leader());
            tokio::time::sleep(RENEWAL_PAUSE).await;
            continue;
        }
        tokio::time::sleep(ELECTION_CHECK).await;
        if should_campaign(&node, &mut leaderless_since) {
            leaderless_since = None;
            if !stand_for_election(&node).await {
                node.pause(300).await;
            }
        }
    }
}

/// Whether to stand for election now.
fn should_campaign(node: &Node, leaderless_since: &mut Option<Micros>) -> bool {
    let now = node.now();
    match node.controller().candidacy(now, node.random()) {
        Candidacy::No => {
            *leaderless_since = None;
            false
        }
        Candidacy::AtOnce => true,
        Candidacy::After(delay) => {
            let since = *leaderless_since.get_or_insert(now);
            now.since(since) >= delay
        }
    }
}

async fn renew(node: &Node, store_lease: u64) {
    let sent_at = node.now();
    match node.store.touch(store_lease).await {
        Some(true) => node.controller().lease_renewed(sent_at),
        Some(false) => node.controller().lose_leadership(LossReason::LeaseExpired),
        // Without the state service the peers' acknowledgements decide.
        None => {}
    }
}

/// Gives way in order: the leadership ends here first, then on record.
async fn resign(node: &Node) {
    let (now, wall) = (node.now(), node.clock.wall());
    let Some(resignation) = node.controller().resign(now, wall) else {
        return;
    };
    let Transaction {
        preconditions,
        writes,
    } = &resignation.transaction;
    let outcome = node
        .store
        .txn(preconditions, writes, None, ELECTION_TIMEOUT)
        .await;
    tracing::info!("resigned: {outcome:?}");
    if !matches!(outcome, TransactionOutcome::Committed(_)) {
        node.store.revoke_lease(resignation.store_lease).await;
        node.controller().resignation_failed();
    }
}

/// Opens a leadership lease and bids with it. The lease is dropped if the bid comes to nothing.
async fn stand_for_election(node: &Node) -> bool {
    if !node.fresh().await {
        return false;
    }
    let Some(store_lease) = node.store.grant_lease(LEADERSHIP_LEASE).await else {
        return false;
    };
    let opened_at = node.now();
    if campaign(node, store_lease, opened_at).await {
        node.store.set_leading(true);
        node.wake.notify_one();
        return true;
    }
    node.store.revoke_lease(store_lease).await;
    false
}

async fn campaign(node: &Node, store_lease: u64, opened_at: Micros) -> bool {
    let Some(campaign) = node.controller().campaign(node.clock.wall()) else {
        return false;
    };
    let attached = Some((store_lease, LEADER_KEY));
    let Transaction {
        preconditions,
        writes,
    } = &campaign.transaction;
    let outcome = node
        .store
        .txn(preconditions, writes, attached, ELECTION_TIMEOUT)
        .await;
    let TransactionOutcome::Committed(revision) = outcome else {
        return false;
    };
    // Without the records there is nothing to lead with.
    if !node.fresh().await {
        return false;
    }
    let (now, wall) = (node.now(), node.clock.wall());
    let mut controller = node.controller();
    let elected = controller.elected(campaign, store_lease, revision, opened_at, now, wall);
    if let Some(leader) = controller.scheduler().filter(|_| elected) {
        tracing::info!("leader in term {}, {}", leader.term(), leader.summary());
    }
    elected
}

/// The leader's loop: runs the scheduler when something happened or is due.
pub async fn run(node: Arc<Node>) {
    let mut summarised_at = Micros::ZERO;
    loop {
        let wait = run_once(&node, &mut summarised_at);
        let _ = tokio::time::timeout(wait.max(BATCHING), node.wake.notified()).await;
        tokio::time::sleep(BATCHING).await;
    }
}

/// Runs the scheduler's loops once; says how long to wait unless something happens.
fn run_once(node: &Arc<Node>, summarised_at: &mut Micros) -> Duration {
    let now = node.now();
    let mut controller = node.controller();
    let effects = controller.poll(now);
    let epoch = controller.epoch();
    if !controller.may_answer(now) {
        return IDLE_WAIT;
    }
    let Some(leader) = controller.scheduler_in_epoch(epoch) else {
        return IDLE_WAIT;
    };
    for fault in leader.take_alerts(now) {
        tracing::error!("{fault}");
    }
    for job in leader.take_failing_jobs() {
        tracing::info!("{job} fails on several machines: it is tried ever less often until a task of it completes");
    }
    if now.since(*summarised_at) > SUMMARY_INTERVAL {
        *summarised_at = now;
        tracing::info!("{}", leader.summary());
    }
    let wait = node.clock.until(leader.next_poll());
    for effect in effects {
        tokio::spawn(carry_out(node.clone(), epoch, effect));
    }
    wait
}

impl Node {
    /// Gives an answer to the scheduler that asked for it, if it still leads.
    fn tell(&self, epoch: u64, deliver: impl FnOnce(&mut Scheduler, Micros)) {
        let now = self.now();
        if let Some(scheduler) = self.controller().scheduler_in_epoch(epoch) {
            deliver(scheduler, now);
            self.wake.notify_one();
        }
    }
}

async fn carry_out(node: Arc<Node>, epoch: u64, effect: Effect) {
    match effect {
        Effect::Commit(transaction) => commit(&node, epoch, &transaction).await,
        Effect::ReloadRecords => refresh(&node, epoch).await,
        Effect::SendCommands {
            machine,
            addr,
            agent_epoch,
            fencing_token,
            commands,
        } => {
            let starts = commands.iter().any(|o| matches!(o, Command::Start { .. }));
            tracing::debug!("{machine}: {commands:?}");
            let end = send_orders(&node, &addr, agent_epoch, fencing_token, &commands).await;
            node.tell(epoch, |scheduler, now| {
                scheduler.command_ended(&machine, agent_epoch, fencing_token, starts, end, now);
            });
        }
        Effect::Probe { machine, addr } => probe(&node, epoch, &machine, &addr).await,
        Effect::ScaleOut {
            request,
            type_name,
            zone,
            spot,
            count,
        } => {
            let rented = node
                .cloud
                .rent(&request, &type_name, &zone, spot, count)
                .await;
            tracing::info!("rent {count} {type_name} in {zone} spot {spot}: {rented:?}");
            node.tell(epoch, |scheduler, now| {
                scheduler.rented(&request, rented, now)
            });
        }
        Effect::ScaleIn { names } => return_machines(&node, epoch, &names).await,
        Effect::RaiseTerm => raise_term(&node, epoch).await,
    }
}

async fn commit(node: &Node, epoch: u64, transaction: &Transaction) {
    let Transaction {
        preconditions,
        writes,
    } = transaction;
    let outcome = node
        .store
        .leader_txn(preconditions, writes, TXN_TIMEOUT)
        .await;
    if let TransactionOutcome::Conflict(keys) = &outcome {
        tracing::info!("transaction failed on {keys:?}");
        if keys.iter().any(|key| key == TERM_KEY) {
            return node.controller().term_conflict(epoch);
        }
    }
    node.tell(epoch, |scheduler, now| scheduler.committed(outcome, now));
}

async fn refresh(node: &Node, epoch: u64) {
    let read = node.fresh().await;
    let (now, wall) = (node.now(), node.clock.wall());
    node.controller().refreshed(epoch, read, now, wall);
    node.wake.notify_one();
}

/// Asks a machine for its heartbeat.
async fn probe(node: &Node, epoch: u64, machine: &str, addr: &str) {
    match show(node, machine, addr).await {
        Some(report) => node.tell(epoch, |scheduler, now| {
            scheduler.probe_answered(report, now)
        }),
        None => node.tell(epoch, |scheduler, now| scheduler.probe_failed(machine, now)),
    }
}

async fn show(node: &Node, machine: &str, addr: &str) -> Option<Heartbeat> {
    let addr = addr.parse::<SocketAddr>().ok()?;
    let answer = node
        .http
        .call(addr, Method::GET, "/show", Vec::new(), PROBE_TIMEOUT)
        .await;
    let Some(answer) = answer.ok().filter(|a| a.status == 200) else {
        tracing::debug!("{machine} does not answer");
        return None;
    };
    agents::decode_heartbeat(&answer.body)
        .map_err(|error| tracing::error!("{machine}: unreadable report: {error}"))
        .ok()
}

async fn return_machines(node: &Node, epoch: u64, names: &[Arc<str>]) {
    for part in names.chunks(MAX_RETURNED_PER_CALL) {
        let returned = node.cloud.give_back(part).await;
        tracing::info!("return {part:?}: {returned}");
        if returned {
            node.tell(epoch, |scheduler, now| scheduler.returned(part, now));
        }
    }
}

async fn send_orders(
    node: &Node,
    addr: &str,
    agent_epoch: u64,
    fencing_token: u64,
    commands: &[Command],
) -> CommandOutcome {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return CommandOutcome::NotSent;
    };
    let body = agents::encode_commands(fencing_token, Some(agent_epoch), commands);
    match node
        .http
        .call(addr, Method::POST, "/orders", body, ORDERS_TIMEOUT)
        .await
    {
        Ok(r) => match (r.status, agents::decode_heartbeat(&r.body)) {
            (200, Ok(report)) => CommandOutcome::Executed(report),
            (409, Ok(report)) => CommandOutcome::Stale(report),
            (400 | 409, _) => CommandOutcome::NotSent,
            _ => CommandOutcome::Unknown,
        },
        Err(CallError::NotSent) => CommandOutcome::NotSent,
        Err(CallError::Unknown) => CommandOutcome::Unknown,
    }
}

/// Takes the next term without giving up the leadership.
async fn raise_term(node: &Node, epoch: u64) {
    let Some(increment) = node.controller().term_increment(epoch) else {
        return;
    };
    let (term, transaction) = (increment.term, &increment.transaction);
    let outcome = node
        .store
        .txn(
            &transaction.preconditions,
            &transaction.writes,
            None,
            TXN_TIMEOUT,
        )
        .await;
    match outcome {
        TransactionOutcome::Committed(revision) => {
            tracing::info!("token raised to {term}");
            node.tell(epoch, |scheduler, _| scheduler.term_raised(term, revision));
        }
        _ => node.tell(epoch, |scheduler, _| scheduler.term_raise_failed()),
    }
}

/// Reads the cloud's list while leading.
pub async fn list_machines(node: Arc<Node>) {
    loop {
        let epoch = {
            let controller = node.controller();
            controller.is_leader().then(|| controller.epoch())
        };
        let Some(epoch) = epoch else {
            node.pause(500).await;
            continue;
        };
        let take = |page: &[ListedMachine]| {
            let now = node.now();
            node.controller().machines_listed(epoch, page, now);
        };
        node.cloud.list(take).await;
        // The list lags anyway: to read it more often than that shows nothing new.
        node.pause(node.settings.list_lag.0 / 2_000).await;
    }
}
