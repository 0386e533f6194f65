//! Holding office, and carrying out what the leader's core wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use rand::Rng;
use saltpitch_core::cluster::Order;
use saltpitch_core::leader::{Effect, Leader, ListedMachine, Ordered, Outcome, Write};
use saltpitch_core::leadership::{self, answer_bound, election_delay, Bid, Hearing, Words, HOLD};
use saltpitch_core::records::{TermRecord, LEADER_KEY, TERM_KEY};
use saltpitch_core::Micros;

use crate::http::CallError;
use crate::node::{Inner, Node};
use crate::wire::workers;

/// A node's part in leadership.
#[derive(Default)]
pub struct Office {
    pub leader: Option<Leader>,
    hold: Option<u64>,
    /// Counts offices held, so that late answers are not given to a later one.
    pub epoch: u64,
    /// Until when workers may be answered without another renewal or other nodes' words.
    pub answers_until: Micros,
    /// What the other nodes have told this leader of cancellations.
    pub words: Words,
    /// The leader before, as long as it is not proven gone.
    pub previous: Option<(String, u64)>,
    /// From then on, the leaders before that one answer nobody.
    pub elders_silent_at: Micros,
    shy_until: Micros,
    deaf_since: Option<Micros>,
}

impl Office {
    pub fn may_answer(&self, now: Micros) -> bool {
        self.leader.is_some() && now < self.answers_until
    }

    /// A newer term than ours exists: our office is over at once.
    pub fn seen_term(&mut self, term: u64) {
        if self.leader.as_ref().is_some_and(|l| l.term < term) {
            self.depose("a newer term exists");
        }
    }

    pub fn depose(&mut self, why: &str) {
        if let Some(l) = self.leader.take() {
            tracing::info!("no longer leader in term {}: {why}", l.term);
            self.epoch += 1;
        }
        self.hold = None;
        self.deaf_since = None;
    }
}

pub fn bound(node: &Node) -> Micros {
    answer_bound(node.settings.workers.cancel, node.settings.workers.lease)
}

/// Takes office when it is vacant, renews the hold, and resigns when nobody hears this node.
pub async fn hold_office(node: Arc<Node>) {
    let mut vacant_since: Option<Micros> = None;
    loop {
        let hold = node.lock().office.hold;
        if let Some(hold) = hold {
            vacant_since = None;
            renew(&node, hold).await;
            if should_resign(&node) {
                resign(&node).await;
            }
            node.store.set_leading(node.lock().office.leader.is_some());
            tokio::time::sleep(Duration::from_millis(600)).await;
            continue;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = node.now();
        let ready = {
            let mut i = node.lock();
            let ready = i.synced && i.announced && i.catalog.is_some();
            let vacant = leadership::vacant(&i.view, &node.settings.node, i.life);
            let own_old = vacant && i.view.leader.is_some();
            if !ready || !vacant {
                vacant_since = None;
                None
            } else {
                let shy = now < i.office.shy_until
                    || (node.peers_alive(&i) == 0 && !node.settings.peers.is_empty());
                let since = *vacant_since.get_or_insert(now);
                let delay = election_delay(i.rng.random(), shy);
                (own_old || now.since(since) >= delay).then_some(())
            }
        };
        if ready.is_some() {
            vacant_since = None;
            if !take_office(&node).await {
                node.pause(300).await;
            }
        }
    }
}

async fn renew(node: &Arc<Node>, hold: u64) {
    let sent = node.now();
    let answer = node.store.touch(hold).await;
    let mut i = node.lock();
    match answer {
        Some(true) => i.office.answers_until = sent.plus(bound(node)),
        Some(false) => i.office.depose("the hold has ended"),
        // Without the store the other nodes' words decide, see `Node::met_peer`.
        None => {}
    }
}

/// Whether the workers have not reached this leader for too long although others would hear them.
fn should_resign(node: &Arc<Node>) -> bool {
    let now = node.now();
    let mut i = node.lock();
    let Some((known, heard, deaf)) = i.office.leader.as_ref().map(|l| l.heard(now)) else {
        return false;
    };
    let knocks = i
        .peers
        .values()
        .filter(|p| now.since(p.at) < Micros::from_secs(3))
        .map(|p| p.hello.knocks as usize)
        .max()
        .unwrap_or(0);
    let hearing = Hearing {
        known,
        heard,
        // Machines that hear nobody knock at every node in turn.
        knocks: knocks.saturating_sub(deaf),
        peers: node.peers_alive(&i),
        others: node.settings.peers.len(),
    };
    if !hearing.deaf() {
        i.office.deaf_since = None;
        return false;
    }
    let since = *i.office.deaf_since.get_or_insert(now);
    let limit = (node.settings.workers.lease.times(0.2)).max(Micros::from_secs(2));
    now.since(since) > limit
}

/// Gives way in order: the office ends here first, then on record.
async fn resign(node: &Arc<Node>) {
    let (hold, when, writes) = {
        let mut i = node.lock();
        let Some(rev) = i.office.leader.as_ref().map(Leader::term_rev) else {
            return;
        };
        let hold = i.office.hold;
        i.office.depose("workers do not reach this node");
        i.office.shy_until = node.now().plus(Micros::from_secs(30));
        i.life = node.clock.wall().0.max(i.life + 1);
        let (when, writes) = leadership::resignation(&i.view, &node.settings.node, i.life, rev);
        (hold, when, writes)
    };
    let done = node
        .store
        .txn(&when, &writes, None, Duration::from_secs(1))
        .await;
    tracing::info!("resigned: {done:?}");
    if !matches!(done, Outcome::Done(_)) {
        if let Some(hold) = hold {
            node.store.drop_hold(hold).await;
        }
        node.lock().announced = false;
    }
}

async fn take_office(node: &Arc<Node>) -> bool {
    if !node.fresh().await {
        return false;
    }
    let Some(hold) = node.store.open_hold(HOLD).await else {
        return false;
    };
    let opened = node.now();
    let bid = {
        let i = node.lock();
        let (me, wall) = (&node.settings.node, node.clock.wall());
        leadership::bid(&i.view, me, i.life, bound(node), wall, i.term_seen)
    };
    let Some(bid) = bid else {
        node.store.drop_hold(hold).await;
        return false;
    };
    let attached = Some((hold, LEADER_KEY));
    let limit = Duration::from_secs(1);
    let done = node
        .store
        .txn(&bid.when, &bid.writes, attached, limit)
        .await;
    let Outcome::Done(rev) = done else {
        node.store.drop_hold(hold).await;
        return false;
    };
    if !node.fresh().await {
        // The hold runs out by itself; without the records there is nothing to lead with.
        node.store.drop_hold(hold).await;
        return false;
    }
    begin(node, hold, bid, rev, opened)
}

/// The office is ours: starts a leader on the records as they stand.
fn begin(node: &Arc<Node>, hold: u64, bid: Bid, rev: u64, opened: Micros) -> bool {
    let (now, wall) = (node.now(), node.clock.wall());
    let mut i = node.lock();
    let Some(catalog) = i.catalog.clone() else {
        return false;
    };
    let term = bid.term;
    let Some(silence) = bid.won(&i.view, rev, bound(node), now) else {
        return false;
    };
    let leader = Leader::new(
        node.settings.core(),
        &i.view,
        catalog,
        silence.all_at,
        now,
        wall,
    );
    tracing::info!("leader in term {term}, {}", leader.summary());
    i.office.leader = Some(leader);
    i.office.hold = Some(hold);
    i.office.epoch += 1;
    i.office.answers_until = opened.plus(bound(node));
    i.office.words = Words::default();
    i.office.previous = silence.previous;
    i.office.elders_silent_at = silence.elders_at;
    i.office.deaf_since = None;
    drop(i);
    node.store.set_leading(true);
    node.wake.notify_one();
    true
}

/// The leader's loop: runs the core when something happened or is due.
pub async fn run(node: Arc<Node>) {
    let mut said = Micros::ZERO;
    loop {
        let (effects, epoch, wait) = {
            let now = node.now();
            let mut guard = node.lock();
            let i: &mut Inner = &mut guard;
            let open = open_zones(&node, i, now);
            // Past the bound on answers nothing is started either.
            let entitled = i.office.may_answer(now);
            match i.office.leader.as_mut().filter(|_| entitled) {
                Some(l) => {
                    l.open_zones = open;
                    let effects = l.poll(now);
                    for fault in l.policy_faults() {
                        tracing::error!("{fault}");
                    }
                    if now.since(said) > Micros::from_secs(10) {
                        said = now;
                        tracing::info!("{}", l.summary());
                    }
                    (effects, i.office.epoch, node.clock.until(l.next_poll()))
                }
                None => (Vec::new(), 0, Duration::from_millis(500)),
            }
        };
        for e in effects {
            tokio::spawn(carry_out(node.clone(), epoch, e));
        }
        let wait = wait.max(Duration::from_millis(5));
        let _ = tokio::time::timeout(wait, node.wake.notified()).await;
        // Reports that arrive together are answered by one pass.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn open_zones(node: &Node, i: &Inner, now: Micros) -> std::collections::BTreeSet<String> {
    let mut zones: std::collections::BTreeSet<String> = node
        .settings
        .peers
        .iter()
        .filter(|p| {
            i.peers
                .get(&p.node)
                .is_some_and(|x| x.answered_within(Micros::from_millis(1_500), now))
        })
        .map(|p| p.zone.clone())
        .collect();
    zones.insert(node.settings.zone.clone());
    zones
}

impl Node {
    /// Gives an answer to the leader that asked for it, if it still leads.
    fn tell(&self, epoch: u64, f: impl FnOnce(&mut Leader, Micros)) {
        let now = self.now();
        let mut i = self.lock();
        if i.office.epoch == epoch {
            if let Some(l) = i.office.leader.as_mut() {
                f(l, now);
                self.wake.notify_one();
            }
        }
    }
}

async fn carry_out(node: Arc<Node>, epoch: u64, effect: Effect) {
    match effect {
        Effect::Txn { when, writes } => {
            let limit = Duration::from_millis(1_500);
            let outcome = node.store.leader_txn(&when, &writes, limit).await;
            if let Outcome::Failed(keys) = &outcome {
                tracing::info!("transaction failed on {keys:?}");
                if keys.iter().any(|k| k == TERM_KEY) {
                    let mut i = node.lock();
                    if i.office.epoch == epoch {
                        i.office.depose("the term has changed");
                    }
                    return;
                }
            }
            node.tell(epoch, |l, now| l.committed(outcome, now));
        }
        Effect::Refresh => {
            let ok = node.fresh().await;
            let (now, wall) = (node.now(), node.clock.wall());
            let mut guard = node.lock();
            let i: &mut Inner = &mut guard;
            if i.office.epoch == epoch {
                if let Some(l) = i.office.leader.as_mut() {
                    l.refreshed(ok.then_some(&i.view), now, wall);
                }
            }
            node.wake.notify_one();
        }
        Effect::Orders {
            machine,
            addr,
            session,
            token,
            orders,
        } => {
            let starts = orders.iter().any(|o| matches!(o, Order::Start { .. }));
            tracing::debug!("{machine}: {orders:?}");
            let end = send_orders(&node, &addr, session, token, &orders).await;
            node.tell(epoch, |l, now| {
                l.ordered(&machine, session, token, starts, end, now);
            });
        }
        Effect::Probe { machine, addr } => {
            let Ok(addr) = addr.parse::<SocketAddr>() else {
                return node.tell(epoch, |l, now| l.probe_failed(&machine, now));
            };
            let limit = Duration::from_millis(1_000);
            let r = node
                .http
                .call(addr, Method::GET, "/show", Vec::new(), limit)
                .await;
            match r {
                Ok(r) if r.status == 200 => match workers::report(&r.body) {
                    Ok(report) => node.tell(epoch, |l, now| l.heard_directly(report, now)),
                    Err(e) => {
                        tracing::error!("{machine}: unreadable report: {e}");
                        node.tell(epoch, |l, now| l.probe_failed(&machine, now));
                    }
                },
                _ => {
                    tracing::debug!("{machine} does not answer");
                    node.tell(epoch, |l, now| l.probe_failed(&machine, now));
                }
            }
        }
        Effect::Rent {
            request,
            type_name,
            zone,
            spot,
            count,
        } => {
            let end = node
                .cloud
                .rent(&request, &type_name, &zone, spot, count)
                .await;
            tracing::info!("rent {count} {type_name} in {zone} spot {spot}: {end:?}");
            node.tell(epoch, |l, now| l.rented(&request, end, now));
        }
        Effect::Return { names } => {
            for part in names.chunks(100) {
                let ok = node.cloud.give_back(part).await;
                tracing::info!("return {part:?}: {ok}");
                if ok {
                    node.tell(epoch, |l, now| l.returned(part, now));
                }
            }
        }
        Effect::RaiseTerm => raise_term(&node, epoch).await,
    }
}

async fn send_orders(
    node: &Node,
    addr: &str,
    session: u64,
    token: u64,
    orders: &[Order],
) -> Ordered {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return Ordered::NotSent;
    };
    let body = workers::orders(token, Some(session), orders);
    let limit = Duration::from_millis(1_500);
    match node
        .http
        .call(addr, Method::POST, "/orders", body, limit)
        .await
    {
        Ok(r) => match (r.status, workers::report(&r.body)) {
            (200, Ok(report)) => Ordered::Done(report),
            (409, Ok(report)) => Ordered::Stale(report),
            (400 | 409, _) => Ordered::NotSent,
            _ => Ordered::Unknown,
        },
        Err(CallError::NotSent) => Ordered::NotSent,
        Err(CallError::Unknown) => Ordered::Unknown,
    }
}

/// Takes the next term without giving up office.
async fn raise_term(node: &Arc<Node>, epoch: u64) {
    let plan = {
        let i = node.lock();
        i.office
            .leader
            .as_ref()
            .filter(|_| i.office.epoch == epoch)
            .map(|l| {
                let record = TermRecord {
                    term: l.term + 1,
                    node: node.settings.node.clone(),
                    life: i.life,
                    quiet: i.view.term.1.quiet,
                };
                (l.term + 1, l.term_rev(), record)
            })
    };
    let Some((term, rev, record)) = plan else {
        return;
    };
    let write = Write {
        key: TERM_KEY.to_owned(),
        value: serde_json::to_string(&record).ok(),
    };
    let limit = Duration::from_millis(1_500);
    let when = [(TERM_KEY.to_owned(), rev)];
    match node.store.txn(&when, &[write], None, limit).await {
        Outcome::Done(rev) => {
            tracing::info!("token raised to {term}");
            node.tell(epoch, |l, _| l.term_raised(term, rev));
        }
        _ => node.tell(epoch, |l, _| l.raise_failed()),
    }
}

/// Reads the cloud's list while leading.
pub async fn list_machines(node: Arc<Node>) {
    loop {
        let epoch = {
            let i = node.lock();
            i.office.leader.as_ref().map(|_| i.office.epoch)
        };
        if let Some(epoch) = epoch {
            let take = |page: &[ListedMachine]| {
                let now = node.now();
                let mut guard = node.lock();
                let i: &mut Inner = &mut guard;
                if i.office.epoch == epoch {
                    if let Some(l) = i.office.leader.as_mut() {
                        l.listed(page, &|n| i.view.gone.contains(n), now);
                    }
                }
            };
            node.cloud.list(take).await;
            // The list lags anyway: to read it more often than that shows nothing new.
            node.pause(node.settings.list_lag.0 / 2_000).await;
        } else {
            node.pause(500).await;
        }
    }
}
