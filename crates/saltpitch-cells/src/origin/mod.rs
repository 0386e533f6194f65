//! The origin cell's side: which jobs are offered, asked for, taken back and written.
//!
//! A [`Delegator`] lives as long as one leadership. Everything that safety rests on is in the jobs' records and
//! in what this leadership itself has sent; a later one starts with the records alone.

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
use crate::peer_link::Link;
use crate::settings::{CellsSettings, DelegationSettings};

use messages::{open_delegation, written_record};

pub use messages::link_request;

pub use step::{CancelTimes, ObservedDelegation, Request, Step, Submissions, Transition};
pub use writes::{RecordWrite, Settled, Writes};

/// How often the host is asked about a job that it has.
const ASK_INTERVAL: Micros = Micros::from_secs(1);
/// How soon a job is asked about again that the host does not know any more, or whose answer could not
/// be read.
const DOUBT_INTERVAL: Micros = Micros::from_secs(10);
/// How often it is looked at whether jobs should be lent or fetched back.
const PLAN_INTERVAL: Micros = Micros::from_millis(500);
/// Notices that wait to be written, at most.
const MAX_NOTICES: usize = 256;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEffect {
    /// Carry out a transaction and answer with [`Delegator::write_ended`].
    Write(RecordWrite),
    /// Call a peer cell and answer with [`Delegator::call_ended`].
    Call(LinkCall),
}

/// A call to a peer cell.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCall {
    /// Says which call an answer belongs to.
    pub id: u64,
    /// The peer cell.
    pub cell: String,
    /// Where to.
    pub address: SocketAddr,
    /// What is asked.
    pub request: LinkRequest,
}

/// A peer cell that work is lent to.
#[derive(Debug)]
struct Neighbour {
    name: String,
    settings: DelegationSettings,
    link: Link,
}

/// A call under way.
#[derive(Debug)]
struct PendingCall {
    neighbour: usize,
    /// `None` for `GET /up`.
    about: Option<CallSubject>,
}

/// What a call is about.
#[derive(Clone, Debug)]
struct CallSubject {
    job: String,
    /// Of the delegation.
    number: u32,
    request: Request,
}

/// What this leadership knows of one delegation, and until when the origin has had room for it.
#[derive(Debug, Default)]
struct TrackedDelegation {
    cell: String,
    number: u32,
    known: ObservedDelegation,
    called: bool,
    room_since: Option<Micros>,
    reported_blocked: bool,
}

impl TrackedDelegation {
    /// What is known of a delegation that was found on record.
    fn of(delegation: &Delegation) -> TrackedDelegation {
        TrackedDelegation {
            cell: delegation.cell.clone(),
            number: delegation.number,
            ..TrackedDelegation::default()
        }
    }
}

/// The origin cell's side of all delegations, for one leadership.
#[derive(Debug)]
pub struct Delegator {
    cancel: Micros,
    neighbours: Vec<Neighbour>,
    tracked: BTreeMap<String, TrackedDelegation>,
    writes: Writes,
    calls: BTreeMap<u64, PendingCall>,
    next_call: u64,
    next_plan: Micros,
    random: SmallRng,
    notices: VecDeque<Notice>,
}

impl Delegator {
    /// The delegations of a leadership that begins. `cancel` is the time within which this cell removes
    /// the tasks of a cancelled job.
    pub fn new(settings: &CellsSettings, cancel: Micros, seed: u64) -> Delegator {
        let delegating = settings.neighbour.iter().filter_map(|neighbour| {
            let settings = neighbour.lend.clone()?;
            let link = Link::new(settings.addresses.clone(), settings.calls_per_s);
            Some(Neighbour {
                name: neighbour.name.clone(),
                settings,
                link,
            })
        });
        let neighbours: Vec<Neighbour> = delegating.collect();
        let rates = neighbours.iter().map(|other| other.settings.changes_per_s);
        let changes_per_s = rates.sum();
        Delegator {
            cancel,
            neighbours,
            tracked: BTreeMap::new(),
            writes: Writes::new(changes_per_s),
            calls: BTreeMap::new(),
            next_call: 0,
            next_plan: Micros::ZERO,
            random: SmallRng::seed_from_u64(seed),
            notices: VecDeque::new(),
        }
    }

    /// What happened since the last call that the log should tell.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        self.notices.drain(..).collect()
    }

    /// Whatever is due. `wall` is the time of day.
    pub fn poll(
        &mut self,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Vec<CellEffect> {
        for settled in self.writes.settle_by_records(access.records) {
            self.settled(&settled, access.scheduler, now);
        }
        self.follow_records(access.records);
        if now >= self.next_plan {
            self.next_plan = now.plus(PLAN_INTERVAL);
            self.plan_offers(access, now);
            self.plan_returns(access, now);
        }
        let mut effects = self.steps(access, now, wall);
        effects.extend(self.ask_up(now));
        effects.extend(self.writes.due(now).into_iter().map(CellEffect::Write));
        effects
    }

    /// Delegations that have come or gone on record.
    fn follow_records(&mut self, records: &RecordCache) {
        let writes = &self.writes;
        self.tracked.retain(|job, tracked| {
            let delegation = open_delegation(records, job);
            let same = |(_, delegation): (_, &Delegation)| delegation.number == tracked.number;
            // An offer that is being written is not on record yet.
            delegation.map_or(writes.concerns(job), same)
        });
        for job in records.delegated_jobs() {
            if self.tracked.contains_key(job) {
                continue;
            }
            if let Some((_, delegation)) = open_delegation(records, job) {
                let tracked = TrackedDelegation::of(delegation);
                self.tracked.insert(job.to_owned(), tracked);
            }
        }
    }

    /// The next step of each delegation, those first that have waited longest for theirs.
    fn steps(
        &mut self,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Vec<CellEffect> {
        let free = self.tracked.iter().filter(|(_, tracked)| !tracked.called);
        let mut order: Vec<(Micros, String)> = free
            .filter(|(job, tracked)| self.has_step(job, tracked, access.records, now))
            .map(|(job, tracked)| (tracked.known.ask_at, job.clone()))
            .collect();
        order.sort_unstable();
        let mut effects = Vec::new();
        for (_, job) in order {
            effects.extend(self.step(&job, access, now, wall));
        }
        effects
    }

    /// Whether there is something to be done about a delegation now.
    fn has_step(
        &self,
        job: &str,
        tracked: &TrackedDelegation,
        records: &RecordCache,
        now: Micros,
    ) -> bool {
        let Some((_, delegation)) = open_delegation(records, job) else {
            return false;
        };
        let Some(times) = self.cancel_times(&delegation.cell) else {
            return true;
        };
        let step = step::next_step(delegation, &tracked.known, times, now);
        !matches!(step, Step::Wait(_))
    }

    fn cancel_times(&self, cell: &str) -> Option<CancelTimes> {
        let neighbour = self.neighbours.get(self.neighbour(cell)?)?;
        Some(CancelTimes {
            home: self.cancel,
            host: neighbour.settings.cancel(),
        })
    }

    fn step(
        &mut self,
        job: &str,
        access: &mut DelegationAccess<'_>,
        now: Micros,
        wall: Micros,
    ) -> Option<CellEffect> {
        if self.writes.concerns(job) {
            return None;
        }
        let (entry, delegation) = open_delegation(access.records, job)?;
        let neighbour = self.neighbour(&delegation.cell);
        let times = self.cancel_times(&delegation.cell);
        let Some((neighbour, times)) = neighbour.zip(times) else {
            self.report_blocked(job, delegation);
            return None;
        };
        let known = &self.tracked.get(job)?.known;
        match step::next_step(delegation, known, times, now) {
            Step::Wait(_) => None,
            Step::Blocked => {
                self.report_blocked(job, delegation);
                None
            }
            Step::Write(transition) => {
                if self.writes.take_credit(now) {
                    let record = written_record(&entry.record, transition, wall);
                    let preconditions = vec![Precondition::new(
                        TERM_KEY,
                        access.scheduler.term_revision(),
                    )];
                    self.writes
                        .begin(job, transition, record, entry.revision, preconditions);
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
                self.call(neighbour, subject, message, now)
            }
        }
    }

    /// Calls the peer cell about a delegation, if its link may be called now.
    fn call(
        &mut self,
        neighbour: usize,
        subject: CallSubject,
        message: LinkRequest,
        now: Micros,
    ) -> Option<CellEffect> {
        let address = self.neighbours[neighbour].link.take_call(now)?;
        let tracked = self.tracked.get_mut(&subject.job)?;
        tracked.called = true;
        Some(self.send(neighbour, address, Some(subject), message))
    }

    fn send(
        &mut self,
        neighbour: usize,
        address: SocketAddr,
        about: Option<CallSubject>,
        request: LinkRequest,
    ) -> CellEffect {
        self.next_call += 1;
        let call = PendingCall { neighbour, about };
        self.calls.insert(self.next_call, call);
        CellEffect::Call(LinkCall {
            id: self.next_call,
            cell: self.neighbours[neighbour].name.clone(),
            address,
            request,
        })
    }

    /// A transaction ended. If it was carried out, the records that [`Delegator::poll`] is given next show
    /// it.
    pub fn write_ended(
        &mut self,
        job: &str,
        outcome: &TransactionOutcome,
        scheduler: &mut Scheduler,
        now: Micros,
    ) {
        if let Some(settled) = self.writes.ended(job, outcome, now) {
            self.settled(&settled, scheduler, now);
        }
    }

    fn settled(&mut self, settled: &Settled, scheduler: &mut Scheduler, now: Micros) {
        let Settled {
            job,
            transition,
            written,
        } = settled;
        if *transition == Transition::Offer && !written {
            self.tracked.remove(job);
            return scheduler.release_reservation(job, now);
        }
        let cell = self.tracked.get(job).map(|tracked| tracked.cell.clone());
        if let Some(neighbour) = cell.filter(|_| *written) {
            self.notify(Notice::Written {
                job: job.clone(),
                neighbour,
                transition: *transition,
            });
        }
    }

    fn neighbour(&self, name: &str) -> Option<usize> {
        self.neighbours.iter().position(|other| other.name == name)
    }

    fn report_blocked(&mut self, job: &str, delegation: &Delegation) {
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut tracked.reported_blocked, true) {
            return;
        }
        let reason = match delegation.state {
            DelegationState::Damaged => "its delegation cannot be read",
            _ => "the settings name no such cell to lend to",
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
