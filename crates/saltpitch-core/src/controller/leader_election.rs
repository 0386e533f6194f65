//! Acquisition, renewal and loss of the leadership.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::leadership::{
    self, election_delay, next_term, resignation, AgentReachability, CancellationAcks,
    ElectionAttempt,
};
use crate::records::{TermRecord, TERM_KEY};
use crate::scheduler::{Precondition, Scheduler, Transaction, Write};
use crate::time::Micros;

use super::{Controller, Leadership, LossReason, Notice};

/// How long a controller lets the others become leader first after it has resigned.
const RESIGNATION_DEFERRAL: Micros = Micros::from_secs(30);

/// How long a leader may be isolated from its agents before it resigns, as a share of the agents' lease.
const MAX_ISOLATION_SHARE_OF_LEASE: f64 = 0.2;
/// The lower limit of that time.
const MIN_ISOLATION_BEFORE_RESIGNATION: Micros = Micros::from_secs(2);

/// Whether and when a controller campaigns for the leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// Not now: there is a leader, or this process is not ready to lead.
    No,
    /// As soon as there has been no leader for this long.
    After(Micros),
    /// Immediately: an earlier incarnation of this controller holds the leadership.
    AtOnce,
}

/// The steps by which a leader puts its resignation on record.
#[derive(Clone, Debug)]
pub struct Resignation {
    /// The id of the leadership lease, to be revoked if the transaction fails.
    pub store_lease: u64,
    /// The transaction to commit.
    pub transaction: Transaction,
}

/// A transaction by which a leader takes the next term while it keeps the leadership.
#[derive(Clone, Debug)]
pub struct TermIncrement {
    /// The new term.
    pub term: u64,
    /// The transaction to commit.
    pub transaction: Transaction,
}

impl Controller {
    /// Returns whether and when to campaign. `random` spreads the candidates' delays.
    pub fn candidacy(&self, now: Micros, random: u64) -> Candidacy {
        let is_ready = self.synced && self.announced && self.catalog.is_some();
        let is_leaderless =
            leadership::is_leaderless(&self.records, &self.config.name, self.incarnation);
        if self.is_leader() || !is_ready || !is_leaderless {
            return Candidacy::No;
        }
        if self.records.leader.is_some() {
            return Candidacy::AtOnce;
        }
        let is_isolated = self.live_peers(now) == 0 && !self.config.peers.is_empty();
        let defers = now < self.deferring_until || is_isolated;
        Candidacy::After(election_delay(random, defers))
    }

    /// Builds an election attempt from this controller's copy of the records, unless they show a leader.
    pub fn campaign(&self, wall: Micros) -> Option<ElectionAttempt> {
        leadership::campaign(
            &self.records,
            &self.config.name,
            self.incarnation,
            self.answer_bound(),
            wall,
            self.term_seen_at,
        )
    }

    /// Starts to lead after the election attempt was committed at `revision` and the records were read again.
    /// Returns false if another controller has taken the leadership since. `lease_opened_at` is a time at
    /// which the leadership lease was certainly in force.
    pub fn election_won(
        &mut self,
        attempt: ElectionAttempt,
        store_lease: u64,
        revision: u64,
        lease_opened_at: Micros,
        now: Micros,
        wall: Micros,
    ) -> bool {
        let Some(catalog) = self.catalog.clone() else {
            return false;
        };
        let bound = self.answer_bound();
        let Some(earlier_leaders) = attempt.earlier_leaders(&self.records, revision, bound, now)
        else {
            return false;
        };
        let scheduler = self.new_scheduler(catalog, earlier_leaders.all_fenced_at, now, wall);
        self.epoch += 1;
        self.leadership = Some(Leadership {
            scheduler,
            store_lease,
            answers_until: lease_opened_at.plus(bound),
            acks: CancellationAcks::default(),
            previous: earlier_leaders.previous,
            earlier_leaders_fenced_at: earlier_leaders.earlier_fenced_at,
            isolated_since: None,
        });
        true
    }

    fn new_scheduler(
        &self,
        catalog: Arc<Catalog>,
        fenced_at: Micros,
        now: Micros,
        wall: Micros,
    ) -> Scheduler {
        let config = self.config.scheduler.clone();
        let mut scheduler = Scheduler::new(config, &self.records, catalog, fenced_at, now, wall);
        scheduler.set_reachable_zones(BTreeSet::from([self.config.zone.clone()]));
        scheduler
    }

    /// Returns the id of the leadership lease to renew, if this controller leads.
    pub fn store_lease(&self) -> Option<u64> {
        self.leadership
            .as_ref()
            .map(|leadership| leadership.store_lease)
    }

    /// Extends the time for answering agents after the leadership lease was renewed by a request that was
    /// sent at `sent_at`.
    pub fn lease_renewed(&mut self, sent_at: Micros) {
        let until = sent_at.plus(self.answer_bound());
        if let Some(leadership) = &mut self.leadership {
            leadership.answers_until = until;
        }
    }

    /// Ends the leadership immediately.
    pub fn lose_leadership(&mut self, reason: LossReason) {
        if let Some(leadership) = self.leadership.take() {
            let term = leadership.scheduler.term();
            self.notices.push(Notice::LeadershipLost { term, reason });
            self.epoch += 1;
        }
    }

    /// Ends the leadership of this epoch after one of its transactions failed because the term has changed.
    pub fn term_conflict(&mut self, epoch: u64) {
        if self.epoch == epoch {
            self.lose_leadership(LossReason::TermChanged);
        }
    }

    /// Ends the leadership if `term` is newer than its own.
    pub(super) fn term_seen(&mut self, term: u64) {
        if self
            .scheduler()
            .is_some_and(|scheduler| scheduler.term() < term)
        {
            self.lose_leadership(LossReason::NewerTerm);
        }
    }

    /// Ends the leadership if the recorded term is newer, unless this process raised the term itself. Then the
    /// scheduler takes over the new term.
    pub(super) fn check_recorded_term(&mut self) {
        let recorded = &self.records.term;
        let (revision, record) = (recorded.revision, &recorded.value);
        let term = record.term;
        let is_own = record.node == self.config.name && record.incarnation == self.incarnation;
        if !is_own {
            return self.term_seen(term);
        }
        if let Some(leadership) = &mut self.leadership {
            if leadership.scheduler.term() < term {
                leadership.scheduler.term_raised(term, revision);
            }
        }
    }

    /// Returns whether the agents have failed to reach this leader for too long although they reach another
    /// controller.
    pub fn should_resign(&mut self, now: Micros) -> bool {
        let redirected_agents = self.most_redirected(now);
        let live_peers = self.live_peers(now);
        let other_controllers = self.config.peers.len();
        let agent_lease = self.config.scheduler.agent_lease;
        let Some(leadership) = &mut self.leadership else {
            return false;
        };
        let agents = leadership.scheduler.agent_counts(now);
        let reachability = AgentReachability {
            known_agents: agents.reachable,
            recently_heard: agents.recently_heard,
            // Agents that receive no answers try every controller in turn, also with a healthy leader.
            redirected_agents: redirected_agents.saturating_sub(agents.inbound_partitioned),
            live_peers,
            other_controllers,
        };
        if !reachability.is_isolated() {
            leadership.isolated_since = None;
            return false;
        }
        let since = *leadership.isolated_since.get_or_insert(now);
        let limit = agent_lease
            .times(MAX_ISOLATION_SHARE_OF_LEASE)
            .max(MIN_ISOLATION_BEFORE_RESIGNATION);
        now.since(since) > limit
    }

    /// Resigns. The leadership ends in this process before the returned transaction ends it on record.
    pub fn resign(&mut self, now: Micros, wall: Micros) -> Option<Resignation> {
        let leadership = self.leadership.as_ref()?;
        let store_lease = leadership.store_lease;
        let term_revision = leadership.scheduler.term_revision();
        self.lose_leadership(LossReason::AgentsUnreachable);
        self.deferring_until = now.plus(RESIGNATION_DEFERRAL);
        self.incarnation = wall.0.max(self.incarnation + 1);
        let record = self.node_record();
        let transaction = resignation(&self.records, &self.config.name, &record, term_revision);
        Some(Resignation {
            store_lease,
            transaction,
        })
    }

    /// Requests another announcement because the resignation, which contains the new incarnation, could not
    /// be written.
    pub fn resignation_failed(&mut self) {
        self.announced = false;
    }

    /// Builds the transaction that raises the term, if this controller still leads in this epoch.
    pub fn term_increment(&self, epoch: u64) -> Option<TermIncrement> {
        let scheduler = self.scheduler().filter(|_| self.epoch == epoch)?;
        let record = TermRecord {
            term: next_term(scheduler.term()),
            node: self.config.name.clone(),
            incarnation: self.incarnation,
            earlier_leaders_fenced_at: self.records.term.value.earlier_leaders_fenced_at,
        };
        let write = Write {
            key: TERM_KEY.to_owned(),
            value: serde_json::to_string(&record).ok(),
        };
        Some(TermIncrement {
            term: record.term,
            transaction: Transaction {
                preconditions: vec![Precondition::new(TERM_KEY, scheduler.term_revision())],
                writes: vec![write],
            },
        })
    }
}
