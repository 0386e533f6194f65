//! The origin cell's side: which jobs to offer, query and reclaim, and which records to write.
//!
//! A [`Delegator`] exists as long as its controller leads. Its safety depends only on the jobs' records and on
//! the requests that the leader itself has sent. The next leader starts with the records alone.

mod answers;
mod messages;
mod offers;
pub mod step;
pub mod writes;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use saltpitch_core::controller::DelegationAccess;
use saltpitch_core::records::{Delegation, DelegationState, RecordCache, TERM_KEY};
use saltpitch_core::scheduler::{Precondition, Scheduler, TransactionOutcome};
use saltpitch_core::Micros;

use crate::ids;
use crate::link::LinkRequest;
use crate::notice::Notice;
use crate::peer_link::PeerLink;
use crate::settings::{CellsSettings, DelegationSettings};

use messages::{open_delegation, updated_record};

pub use messages::link_request;

pub use step::{CancelTimeouts, ObservedDelegation, Request, Step, Submissions, Transition};
pub use writes::{PendingWrites, RecordWrite, SettledWrite};

/// The interval between requests about a delegated job, to which jitter is added.
const REQUEST_INTERVAL: Micros = Micros::from_secs(1);
/// The interval until the next request about a job that the host does not know, or about which its answer could
/// not be decoded.
const UNCLEAR_ANSWER_INTERVAL: Micros = Micros::from_secs(10);
/// The interval at which the delegator decides which jobs to offer and to reclaim.
const PLAN_INTERVAL: Micros = Micros::from_millis(500);
/// The most notices that are kept until they are logged. The oldest are dropped first.
const MAX_NOTICES: usize = 256;

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Commit a transaction and report the outcome to [`Delegator::write_ended`].
    Write(RecordWrite),
    /// Call a peer cell and report the answer to [`Delegator::call_ended`].
    Call(LinkCall),
}

/// A call to a peer cell.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCall {
    /// Identifies the call to which an answer belongs.
    pub id: u64,
    /// The name of the peer cell.
    pub cell: String,
    /// The address of the peer cell's listener.
    pub address: SocketAddr,
    /// The request to send.
    pub request: LinkRequest,
}

/// A peer cell to which this cell delegates jobs.
#[derive(Debug)]
struct PeerCell {
    name: String,
    settings: DelegationSettings,
    link: PeerLink,
}

/// A call that has not been answered yet.
#[derive(Debug)]
struct PendingCall {
    /// The index of the peer cell.
    peer: usize,
    /// `None` for `GET /up`.
    subject: Option<CallSubject>,
}

/// The delegation that a call is about, and the request.
#[derive(Clone, Debug)]
struct CallSubject {
    job: String,
    /// The number of the delegation.
    number: u32,
    request: Request,
}

/// The leader's state about one open delegation.
#[derive(Debug, Default)]
struct TrackedDelegation {
    cell: String,
    number: u32,
    observed: ObservedDelegation,
    call_in_flight: bool,
    /// The time since which the origin has had capacity for the job.
    local_capacity_since: Option<Micros>,
    is_reported_blocked: bool,
}

impl TrackedDelegation {
    /// Returns the state about a delegation of which only the record is known.
    fn from_record(delegation: &Delegation) -> TrackedDelegation {
        TrackedDelegation {
            cell: delegation.cell.clone(),
            number: delegation.number,
            ..TrackedDelegation::default()
        }
    }
}

/// Decides on all delegations of the origin cell while its controller leads.
#[derive(Debug)]
pub struct Delegator {
    cancel_timeout: Micros,
    peer_cells: Vec<PeerCell>,
    tracked: BTreeMap<String, TrackedDelegation>,
    writes: PendingWrites,
    calls: BTreeMap<u64, PendingCall>,
    last_call_id: u64,
    next_plan_at: Micros,
    random: SmallRng,
    notices: VecDeque<Notice>,
}

impl Delegator {
    /// Creates the delegator of a new leader. `cancel_timeout` is the time within which this cell removes
    /// the tasks of a cancelled job.
    pub fn new(settings: &CellsSettings, cancel_timeout: Micros, seed: u64) -> Delegator {
        let peer_cells = settings.neighbour.iter().filter_map(|peer| {
            let settings = peer.lend.clone()?;
            let link = PeerLink::new(settings.addresses.clone(), settings.calls_per_s);
            Some(PeerCell {
                name: peer.name.clone(),
                settings,
                link,
            })
        });
        let peer_cells: Vec<PeerCell> = peer_cells.collect();
        let rates = peer_cells.iter().map(|peer| peer.settings.changes_per_s);
        let writes_per_s = rates.sum();
        Delegator {
            cancel_timeout,
            peer_cells,
            tracked: BTreeMap::new(),
            writes: PendingWrites::new(writes_per_s),
            calls: BTreeMap::new(),
            last_call_id: 0,
            next_plan_at: Micros::ZERO,
            random: SmallRng::seed_from_u64(seed),
            notices: VecDeque::new(),
        }
    }

    /// Removes and returns the events to be logged since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        self.notices.drain(..).collect()
    }

    /// Returns all actions that are due. `wall` is the wall-clock time.
    pub fn poll(
        &mut self,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Vec<CellEffect> {
        for settled in self.writes.settle_by_records(access.records) {
            self.write_settled(&settled, access.scheduler, now);
        }
        self.sync_with_records(access.records);
        if now >= self.next_plan_at {
            self.next_plan_at = now.plus(PLAN_INTERVAL);
            self.plan_offers(access, now);
            self.plan_reclaims(access, now);
        }
        let mut effects = self.take_steps(access, now, wall);
        effects.extend(self.request_readiness(now));
        effects.extend(self.writes.take_due(now).into_iter().map(CellEffect::Write));
        effects
    }

    /// Adds the delegations that the records have as open and removes the others.
    fn sync_with_records(&mut self, records: &RecordCache) {
        let writes = &self.writes;
        self.tracked.retain(|job, tracked| {
            let delegation = open_delegation(records, job);
            let is_same = |(_, delegation): (_, &Delegation)| delegation.number == tracked.number;
            // The records do not have an offer that is still being written.
            delegation.map_or(writes.is_pending(job), is_same)
        });
        for job in records.delegated_jobs() {
            if self.tracked.contains_key(job) {
                continue;
            }
            if let Some((_, delegation)) = open_delegation(records, job) {
                let tracked = TrackedDelegation::from_record(delegation);
                self.tracked.insert(job.to_owned(), tracked);
            }
        }
    }

    /// Takes the next step of each delegation, in the order of the times at which their next requests were due.
    fn take_steps(
        &mut self,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Vec<CellEffect> {
        let idle = self
            .tracked
            .iter()
            .filter(|(_, tracked)| !tracked.call_in_flight);
        let mut order: Vec<(Micros, String)> = idle
            .filter(|(job, tracked)| self.needs_step(job, tracked, access.records, now))
            .map(|(job, tracked)| (tracked.observed.next_request_at, job.clone()))
            .collect();
        order.sort_unstable();
        let mut effects = Vec::new();
        for (_, job) in order {
            effects.extend(self.take_step(&job, access, now, wall));
        }
        effects
    }

    /// Returns whether a delegation needs an action now.
    fn needs_step(
        &self,
        job: &str,
        tracked: &TrackedDelegation,
        records: &RecordCache,
        now: Micros,
    ) -> bool {
        let Some((_, delegation)) = open_delegation(records, job) else {
            return false;
        };
        let Some(timeouts) = self.cancel_timeouts(&delegation.cell) else {
            return true;
        };
        let step = step::next_step(delegation, &tracked.observed, timeouts, now);
        !matches!(step, Step::Wait(_))
    }

    fn cancel_timeouts(&self, cell: &str) -> Option<CancelTimeouts> {
        let peer = self.peer_cells.get(self.peer_index(cell)?)?;
        Some(CancelTimeouts {
            origin: self.cancel_timeout,
            host: peer.settings.cancel_timeout(),
        })
    }

    /// Takes the next step of a delegation. Returns the call to make, if the step is one.
    fn take_step(
        &mut self,
        job: &str,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Option<CellEffect> {
        if self.writes.is_pending(job) {
            return None;
        }
        let (entry, delegation) = open_delegation(access.records, job)?;
        let peer = self.peer_index(&delegation.cell);
        let timeouts = self.cancel_timeouts(&delegation.cell);
        let Some((peer, timeouts)) = peer.zip(timeouts) else {
            self.report_blocked(job, delegation);
            return None;
        };
        let observed = &self.tracked.get(job)?.observed;
        match step::next_step(delegation, observed, timeouts, now) {
            Step::Wait(_) => None,
            Step::Blocked => {
                self.report_blocked(job, delegation);
                None
            }
            Step::Write(transition) => {
                if self.writes.try_take_token(now) {
                    let record = updated_record(&entry.record, transition, wall);
                    let preconditions = vec![Precondition::new(
                        TERM_KEY,
                        access.scheduler.term_revision(),
                    )];
                    self.writes
                        .add(job, transition, record, entry.revision, preconditions);
                }
                None
            }
            Step::Call(request) => {
                let id = ids::sent_id(job, delegation.number)?;
                let message = link_request(id, &entry.record, request, wall)?;
                let subject = CallSubject {
                    job: job.to_owned(),
                    number: delegation.number,
                    request,
                };
                self.call(peer, subject, message, now)
            }
        }
    }

    /// Calls the peer cell about a delegation, if its link allows a call now.
    fn call(
        &mut self,
        peer: usize,
        subject: CallSubject,
        message: LinkRequest,
        now: Micros,
    ) -> Option<CellEffect> {
        let address = self.peer_cells[peer].link.try_start_call(now)?;
        let tracked = self.tracked.get_mut(&subject.job)?;
        tracked.call_in_flight = true;
        Some(self.start_call(peer, address, Some(subject), message))
    }

    fn start_call(
        &mut self,
        peer: usize,
        address: SocketAddr,
        subject: Option<CallSubject>,
        request: LinkRequest,
    ) -> CellEffect {
        self.last_call_id += 1;
        let call = PendingCall { peer, subject };
        self.calls.insert(self.last_call_id, call);
        CellEffect::Call(LinkCall {
            id: self.last_call_id,
            cell: self.peer_cells[peer].name.clone(),
            address,
            request,
        })
    }

    /// Handles the outcome of a transaction. If it was committed, the records at the next [`Delegator::poll`]
    /// must include its write.
    pub fn write_ended(
        &mut self,
        job: &str,
        outcome: &TransactionOutcome,
        scheduler: &mut Scheduler,
        now: Micros,
    ) {
        if let Some(settled) = self.writes.transaction_ended(job, outcome, now) {
            self.write_settled(&settled, scheduler, now);
        }
    }

    fn write_settled(&mut self, settled: &SettledWrite, scheduler: &mut Scheduler, now: Micros) {
        let SettledWrite {
            job,
            transition,
            is_committed,
        } = settled;
        if *transition == Transition::Offer && !is_committed {
            self.tracked.remove(job);
            return scheduler.release_reservation(job, now);
        }
        let cell = self.tracked.get(job).map(|tracked| tracked.cell.clone());
        if let Some(peer_cell) = cell.filter(|_| *is_committed) {
            self.notify(Notice::Written {
                job: job.clone(),
                peer_cell,
                transition: *transition,
            });
        }
    }

    fn peer_index(&self, name: &str) -> Option<usize> {
        self.peer_cells.iter().position(|peer| peer.name == name)
    }

    fn report_blocked(&mut self, job: &str, delegation: &Delegation) {
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut tracked.is_reported_blocked, true) {
            return;
        }
        let reason = match delegation.state {
            DelegationState::Damaged => "its delegation cannot be read",
            _ => "the cells file has no `lend` table for its host cell",
        };
        let job = job.to_owned();
        self.notify(Notice::Blocked { job, reason });
    }

    fn notify(&mut self, notice: Notice) {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
    }
}
