//! Runs the scheduler while this node leads and executes the effects that the scheduler returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use saltpitch_core::agent::Heartbeat;
use saltpitch_core::records::TERM_KEY;
use saltpitch_core::scheduler::{
    CommandOutcome, Effect, Scheduler, SentCommands, Transaction, TransactionOutcome,
};
use saltpitch_core::Micros;

use crate::cloud::ScaleOutRequest;
use crate::command_log::CommandLogWriter;
use crate::http::{CallError, Reply};
use crate::node::Node;
use crate::wire::agents;

/// The longest time between two polls while this node does not lead or must not answer agents.
const FOLLOWER_WAIT: Duration = Duration::from_millis(500);
/// The delay before each poll, so that one poll handles all heartbeats that arrive in the meantime.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// The interval between two summaries of the scheduler's state in the log.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(1_500);
const COMMANDS_TIMEOUT: Duration = Duration::from_millis(1_500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum number of machine names in one request that returns machines to the cloud.
const MAX_MACHINES_PER_RETURN: usize = 100;

/// What the scheduler's loop writes to the log.
#[derive(Default)]
struct SchedulerLog {
    last_summary_at: Micros,
    commands: CommandLogWriter,
}

/// Polls the scheduler after each event that wakes it and whenever its next poll is due. Never returns.
pub async fn run_scheduler(node: Arc<Node>) {
    let mut log = SchedulerLog::default();
    loop {
        let wait = poll(&node, &mut log);
        let _ = tokio::time::timeout(wait.max(BATCH_DELAY), node.scheduler_wakeup.notified()).await;
        tokio::time::sleep(BATCH_DELAY).await;
    }
}

/// Polls the scheduler once and spawns a task for each effect. Returns how long to wait for the next
/// poll if no event comes first.
fn poll(node: &Arc<Node>, log: &mut SchedulerLog) -> Duration {
    let now = node.now();
    let mut controller = node.controller();
    let effects = controller.poll(now);
    let epoch = controller.epoch();
    let records_revision = controller.records().revision();
    if !controller.may_answer(now) {
        log.commands.flush();
        return FOLLOWER_WAIT;
    }
    let Some(scheduler) = controller.scheduler_in_epoch(epoch) else {
        log.commands.flush();
        return FOLLOWER_WAIT;
    };
    log_diagnostics(scheduler, records_revision, now, log);
    let next_poll = scheduler.next_poll();
    let next_poll = log
        .commands
        .due_at()
        .map_or(next_poll, |due| due.min(next_poll));
    let wait = node.clock.time_until(next_poll);
    for effect in effects {
        tokio::spawn(execute(node.clone(), epoch, effect));
    }
    wait
}

fn log_diagnostics(
    scheduler: &mut Scheduler,
    records_revision: u64,
    now: Micros,
    log: &mut SchedulerLog,
) {
    log.commands.write(scheduler, now);
    for alert in scheduler.take_alerts(now) {
        tracing::error!("{alert}");
    }
    for job in scheduler.take_failing_jobs() {
        tracing::info!("{job} fails on several machines: its tasks are retried at increasing intervals until one of them completes");
    }
    if now.since(log.last_summary_at) > SUMMARY_INTERVAL {
        log.last_summary_at = now;
        tracing::info!(
            "{} records at revision {records_revision}",
            scheduler.summary()
        );
    }
}

/// Passes the result of an effect to the scheduler that requested it and wakes the scheduler's task.
/// Drops the result if the leadership of that epoch has ended.
fn deliver(node: &Node, epoch: u64, apply: impl FnOnce(&mut Scheduler, Micros)) {
    let now = node.now();
    if let Some(scheduler) = node.controller().scheduler_in_epoch(epoch) {
        apply(scheduler, now);
        node.scheduler_wakeup.notify_one();
    }
}

/// Executes an effect and passes its result to the scheduler.
async fn execute(node: Arc<Node>, epoch: u64, effect: Effect) {
    match effect {
        Effect::Commit(transaction) => commit(&node, epoch, &transaction).await,
        Effect::ReloadRecords => reload_records(&node, epoch).await,
        Effect::SendCommands {
            machine,
            addr,
            agent_epoch,
            fencing_token,
            commands,
        } => {
            let sent = SentCommands::new(machine, agent_epoch, fencing_token, &commands);
            let body = agents::encode_commands(fencing_token, Some(agent_epoch), &commands);
            let outcome = send_commands(&node, &addr, body).await;
            deliver(&node, epoch, |scheduler, now| {
                scheduler.command_ended(&sent, outcome, now);
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
            let request = ScaleOutRequest {
                id: &request,
                type_name: &type_name,
                zone: &zone,
                spot,
                count,
            };
            scale_out(&node, epoch, &request).await;
        }
        Effect::ScaleIn { names } => scale_in(&node, epoch, &names).await,
        Effect::RaiseTerm => raise_term(&node, epoch).await,
    }
}

async fn commit(node: &Node, epoch: u64, transaction: &Transaction) {
    let outcome = node
        .store
        .commit_as_leader(transaction, TRANSACTION_TIMEOUT)
        .await;
    if let TransactionOutcome::Conflict(keys) = &outcome {
        if keys.iter().any(|key| key == TERM_KEY) {
            tracing::info!("transaction conflict on {keys:?}: this node stops leading");
            return node.controller().term_conflict(epoch);
        }
        tracing::info!("transaction conflict on {keys:?}: the leader reloads the records");
    }
    deliver(node, epoch, |scheduler, now| {
        scheduler.transaction_ended(outcome, now);
    });
}

async fn reload_records(node: &Node, epoch: u64) {
    let succeeded = node.read_latest_records().await;
    let (now, wall) = (node.now(), node.clock.wall_time());
    node.controller()
        .records_reloaded(epoch, succeeded, now, wall);
    node.scheduler_wakeup.notify_one();
}

/// Requests a heartbeat from an agent and reports the outcome to the scheduler.
async fn probe(node: &Node, epoch: u64, machine: &str, addr: &str) {
    match request_heartbeat(node, machine, addr).await {
        Some(heartbeat) => deliver(node, epoch, |scheduler, now| {
            scheduler.probe_answered(heartbeat, now);
        }),
        None => deliver(node, epoch, |scheduler, now| {
            scheduler.probe_failed(machine, now);
        }),
    }
}

async fn request_heartbeat(node: &Node, machine: &str, addr: &str) -> Option<Heartbeat> {
    let addr = addr.parse::<SocketAddr>().ok()?;
    let reply = node
        .http
        .call(addr, Method::GET, "/show", Vec::new(), PROBE_TIMEOUT)
        .await;
    let Some(reply) = reply.ok().filter(|reply| reply.status == 200) else {
        tracing::debug!("probe of {machine} failed: no heartbeat in response");
        return None;
    };
    agents::decode_heartbeat(&reply.body)
        .map_err(|error| {
            tracing::error!("probe of {machine} failed: unreadable heartbeat: {error}")
        })
        .ok()
}

async fn send_commands(node: &Node, addr: &str, body: Vec<u8>) -> CommandOutcome {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return CommandOutcome::NotSent;
    };
    let reply = node
        .http
        .call(addr, Method::POST, "/orders", body, COMMANDS_TIMEOUT)
        .await;
    match reply {
        Ok(reply) => command_outcome(&reply),
        Err(CallError::NotSent) => CommandOutcome::NotSent,
        Err(CallError::Unknown) => CommandOutcome::Unknown,
    }
}

fn command_outcome(reply: &Reply) -> CommandOutcome {
    match (reply.status, agents::decode_heartbeat(&reply.body)) {
        (200, Ok(heartbeat)) => CommandOutcome::Executed(heartbeat),
        (409, Ok(heartbeat)) => CommandOutcome::Stale(heartbeat),
        (400 | 409, _) => CommandOutcome::NotSent,
        _ => CommandOutcome::Unknown,
    }
}

async fn scale_out(node: &Node, epoch: u64, request: &ScaleOutRequest<'_>) {
    let outcome = node.cloud.scale_out(request).await;
    let ScaleOutRequest {
        id,
        type_name,
        zone,
        spot,
        count,
    } = request;
    tracing::info!("scale out {count} {type_name} in {zone} spot {spot}: {outcome:?}");
    deliver(node, epoch, |scheduler, now| {
        scheduler.scale_out_ended(id, outcome, now);
    });
}

async fn scale_in(node: &Node, epoch: u64, names: &[Arc<str>]) {
    for batch in names.chunks(MAX_MACHINES_PER_RETURN) {
        let returned = node.cloud.scale_in(batch).await;
        let answer = if returned {
            "confirmed"
        } else {
            "not confirmed, the leader retries"
        };
        tracing::info!("scale in {batch:?}: {answer}");
        if returned {
            deliver(node, epoch, |scheduler, now| {
                scheduler.scale_in_confirmed(batch, now)
            });
        }
    }
}

/// Increments the term, which is the fencing token, while this node keeps the leadership.
async fn raise_term(node: &Node, epoch: u64) {
    let Some(increment) = node.controller().term_increment(epoch) else {
        return;
    };
    let term = increment.term;
    let outcome = node
        .store
        .commit(&increment.transaction, TRANSACTION_TIMEOUT)
        .await;
    match outcome {
        TransactionOutcome::Committed(revision) => {
            tracing::info!("fencing token raised to {term}");
            deliver(node, epoch, |scheduler, _| {
                scheduler.term_raised(term, revision);
            });
        }
        _ => deliver(node, epoch, |scheduler, _| scheduler.term_raise_failed()),
    }
}
