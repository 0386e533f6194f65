//! The home cell's side: which jobs are offered, asked for, taken back and written.
//!
//! A [`Delegator`] lives as long as one leadership. Everything that safety rests on is in the jobs' records and
//! in what this leadership itself has sent; a later one starts with the records alone.

mod messages;
mod offers;
pub mod step;
pub mod writes;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::controller::DelegationAccess;
use saltpitch_core::records::{Delegation, DelegationState, JobEntry, RecordCache, TERM_KEY};
use saltpitch_core::scheduler::{Precondition, Scheduler, TransactionOutcome};
use saltpitch_core::Micros;

use crate::ids;
use crate::link::{HostStatus, LinkAnswer, LinkRequest, Refusal};
use crate::notice::Notice;
use crate::peer_link::Link;
use crate::settings::{CellsSettings, LendSettings};

use messages::{open_delegation, written_record};

pub use messages::link_request;

pub use step::{CancelTimes, Knowledge, Request, Step, Submissions, Transition};
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
    /// Call a neighbour and answer with [`Delegator::call_ended`].
    Call(LinkCall),
}

/// A call to a neighbour.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCall {
    /// Says which call an answer belongs to.
    pub id: u64,
    /// The neighbour.
    pub cell: String,
    /// Where to.
    pub address: SocketAddr,
    /// What is asked.
    pub request: LinkRequest,
}

/// A neighbour that work is lent to.
#[derive(Debug)]
struct Neighbour {
    name: String,
    settings: LendSettings,
    link: Link,
}

/// A call under way.
#[derive(Debug)]
struct PendingCall {
    neighbour: usize,
    /// `None` for `GET /up`.
    about: Option<Subject>,
}

/// What a call is about.
#[derive(Clone, Debug)]
struct Subject {
    job: String,
    /// Of the delegation.
    number: u32,
    request: Request,
}

/// What this leadership knows of one delegation, and until when home has had room for it.
#[derive(Debug, Default)]
struct Tracked {
    cell: String,
    number: u32,
    known: Knowledge,
    called: bool,
    room_since: Option<Micros>,
    told_stuck: bool,
}

impl Tracked {
    /// What is known of a delegation that was found on record.
    fn of(delegation: &Delegation) -> Tracked {
        Tracked {
            cell: delegation.cell.clone(),
            number: delegation.number,
            ..Tracked::default()
        }
    }
}

/// The home cell's side of all delegations, for one leadership.
#[derive(Debug)]
pub struct Delegator {
    cancel: Micros,
    neighbours: Vec<Neighbour>,
    tracked: BTreeMap<String, Tracked>,
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
        let lends = settings.neighbour.iter().filter_map(|neighbour| {
            let settings = neighbour.lend.clone()?;
            let link = Link::new(settings.addresses.clone(), settings.calls_per_s);
            Some(Neighbour {
                name: neighbour.name.clone(),
                settings,
                link,
            })
        });
        let neighbours: Vec<Neighbour> = lends.collect();
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
        for job in records.delegated() {
            if self.tracked.contains_key(job) {
                continue;
            }
            if let Some((_, delegation)) = open_delegation(records, job) {
                let tracked = Tracked::of(delegation);
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
    fn has_step(&self, job: &str, tracked: &Tracked, records: &RecordCache, now: Micros) -> bool {
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
            self.stuck(job, delegation);
            return None;
        };
        let known = &self.tracked.get(job)?.known;
        match step::next_step(delegation, known, times, now) {
            Step::Wait(_) => None,
            Step::Stuck => {
                self.stuck(job, delegation);
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
            Step::Call(request) => self.call(job, entry, delegation, neighbour, request, now, wall),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn call(
        &mut self,
        job: &str,
        entry: &JobEntry,
        delegation: &Delegation,
        neighbour: usize,
        request: Request,
        now: Micros,
        wall: Micros,
    ) -> Option<CellEffect> {
        let id = ids::sent_id(job, delegation.number)?;
        let message = link_request(id, &entry.record, request, wall)?;
        let address = self.neighbours[neighbour].link.take_call(now)?;
        let tracked = self.tracked.get_mut(job)?;
        tracked.called = true;
        let subject = Subject {
            job: job.to_owned(),
            number: delegation.number,
            request,
        };
        Some(self.send(neighbour, address, Some(subject), message))
    }

    fn send(
        &mut self,
        neighbour: usize,
        address: SocketAddr,
        about: Option<Subject>,
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

    /// A call ended.
    pub fn call_ended(&mut self, id: u64, answer: LinkAnswer, now: Micros) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note_link(call.neighbour, &answer, now);
        match call.about {
            None => self.note_readiness(call.neighbour, &answer, now),
            Some(subject) => self.answered(call.neighbour, &subject, answer, now),
        }
    }

    /// What an answer says about the link as such.
    fn note_link(&mut self, neighbour: usize, answer: &LinkAnswer, now: Micros) {
        let Neighbour { name, link, .. } = &mut self.neighbours[neighbour];
        let fails = matches!(answer, LinkAnswer::NotSent | LinkAnswer::NoAnswer);
        let changed = match fails {
            true => link.failed(&mut self.random, now),
            false => link.answered(),
        };
        let name = name.clone();
        if changed {
            self.notify(Notice::Link {
                neighbour: name.clone(),
                answers: !fails,
            });
        }
        if let LinkAnswer::Malformed(reason) = answer {
            self.notify(Notice::Malformed {
                neighbour: name,
                reason: reason.clone(),
            });
        }
    }

    fn note_readiness(&mut self, neighbour: usize, answer: &LinkAnswer, now: Micros) {
        let link = &mut self.neighbours[neighbour].link;
        match answer {
            LinkAnswer::Ready => link.is_ready(now),
            LinkAnswer::Refused(refusal) => link.takes_no_guests(refusal.retry_after, now),
            _ => {}
        }
    }

    fn answered(&mut self, neighbour: usize, subject: &Subject, answer: LinkAnswer, now: Micros) {
        let spread = ASK_INTERVAL.times(self.random.random_range(0.75..1.25));
        let Subject {
            job,
            number,
            request,
        } = subject;
        let tracked = self.tracked.get_mut(job);
        let Some(tracked) = tracked.filter(|tracked| tracked.number == *number) else {
            return;
        };
        tracked.called = false;
        let known = &mut tracked.known;
        known.ask_at = now.plus(spread);
        let submission = matches!(request, Request::Submit | Request::Close);
        match answer {
            LinkAnswer::Status(status) => self.heard(neighbour, job, status, now),
            LinkAnswer::Refused(refusal) => {
                known.submissions.sent |= submission;
                known.refused |= submission && refusal.is_definite();
                self.refused(neighbour, job, submission, &refusal, now);
            }
            LinkAnswer::NotSent => {
                // A job of which no copy can arrive need not wait for the link.
                known.refused |= submission && known.submissions.never_sent();
            }
            LinkAnswer::Closed => known.closed = request == &Request::Close,
            LinkAnswer::NoAnswer | LinkAnswer::Ready => known.submissions.sent |= submission,
            LinkAnswer::Malformed(_) => {
                known.submissions.sent |= submission;
                known.ask_at = now.plus(DOUBT_INTERVAL);
            }
            LinkAnswer::NotFound => {
                known.submissions.sent |= submission;
                known.ask_at = now.plus(DOUBT_INTERVAL);
                if !submission {
                    let neighbour = self.neighbours[neighbour].name.clone();
                    let job = job.to_owned();
                    self.notify(Notice::LostByHost { job, neighbour });
                }
            }
        }
    }

    /// The host's status of a job.
    fn heard(&mut self, neighbour: usize, job: &str, status: HostStatus, now: Micros) {
        let name = self.neighbours[neighbour].name.clone();
        let wait = self.neighbours[neighbour].settings.cancel().with_drift();
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        let known = &mut tracked.known;
        known.accepted = true;
        known.status = Some(status);
        known.wanted_back &= status == HostStatus::Pending;
        if status == HostStatus::Withdrawn && known.withdrawn_at.is_none() {
            known.withdrawn_at = Some(now);
            self.notify(Notice::Withdrawn {
                job: job.to_owned(),
                neighbour: name,
                wait,
            });
        }
    }

    fn refused(
        &mut self,
        neighbour: usize,
        job: &str,
        submission: bool,
        refusal: &Refusal,
        now: Micros,
    ) {
        let Neighbour { name, link, .. } = &mut self.neighbours[neighbour];
        if submission {
            link.takes_no_guests(refusal.retry_after, now);
        }
        let notice = Notice::Refused {
            job: job.to_owned(),
            neighbour: name.clone(),
            status: refusal.status,
            reason: refusal.reason.clone(),
        };
        self.notify(notice);
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

    fn stuck(&mut self, job: &str, delegation: &Delegation) {
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut tracked.told_stuck, true) {
            return;
        }
        let reason = match delegation.state {
            DelegationState::Damaged => "its delegation cannot be read",
            _ => "the settings name no such cell to lend to",
        };
        let job = job.to_owned();
        self.notify(Notice::Stuck { job, reason });
    }

    fn notify(&mut self, notice: Notice) {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
    }
}
