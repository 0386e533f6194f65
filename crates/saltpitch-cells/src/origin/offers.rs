//! Which jobs are load, and which are fetched back.

use std::sync::Arc;

use saltpitch_core::controller::DelegationAccess;
use saltpitch_core::job::JobSpec;
use saltpitch_core::records::{Delegation, DelegationState, JobRecord, RecordCache, TERM_KEY};
use saltpitch_core::scheduler::{DelegationCandidate, Precondition};
use saltpitch_core::Micros;

use super::messages::open_delegation;
use super::{CellEffect, Delegator, TrackedDelegation, Transition};
use crate::ids;
use crate::link::{HostStatus, LinkRequest};
use crate::notice::Notice;
use crate::settings::DelegationSettings;

/// Jobs that a peer cell may have been offered without having accepted them, at most: what a link that is
/// cut at this moment can keep from both cells.
const MAX_UNACCEPTED: usize = 2;
/// Candidates that are looked at in one pass.
const MAX_CANDIDATES: usize = 64;

/// What a peer cell has of this cell's jobs.
#[derive(Clone, Copy, Debug, Default)]
struct DelegatedLoad {
    jobs: usize,
    tasks: u64,
    unaccepted: usize,
}

impl DelegatedLoad {
    fn add(&mut self, spec: &JobSpec, accepted: bool) {
        self.jobs += 1;
        self.tasks += u64::from(spec.tasks);
        self.unaccepted += usize::from(!accepted);
    }
}

impl Delegator {
    /// Offers jobs that have waited for long, as far as the peer cells take them.
    pub(super) fn plan_offers(&mut self, access: &mut DelegationAccess<'_>, now: Micros) {
        let Some(announcements) = access.announcement_preconditions.clone() else {
            return;
        };
        for neighbour in 0..self.neighbours.len() {
            let after = self.neighbours[neighbour].settings.after();
            let mut load = self.delegated_to(&self.neighbours[neighbour].name, access.records);
            let candidates = access
                .scheduler
                .delegation_candidates(after, MAX_CANDIDATES, now);
            for candidate in candidates {
                if !self.may_offer(neighbour, &candidate, load, access.records, now) {
                    continue;
                }
                self.neighbours[neighbour].link.wants_up();
                if !self.neighbours[neighbour].link.takes_offers(now) {
                    break;
                }
                if !self.writes.take_credit(now) {
                    break;
                }
                if self.offer(neighbour, &candidate, access, &announcements) {
                    load.add(&candidate.spec, false);
                }
            }
        }
    }

    /// Whether this job goes to this peer cell, as far as the origin can tell.
    fn may_offer(
        &self,
        neighbour: usize,
        candidate: &DelegationCandidate,
        load: DelegatedLoad,
        records: &RecordCache,
        now: Micros,
    ) -> bool {
        let settings = &self.neighbours[neighbour].settings;
        let Some(entry) = records.jobs.get(&*candidate.id) else {
            return false;
        };
        let number = next_number(&entry.record);
        let known = ids::sent_id(&candidate.id, number).is_some();
        let tasks = u64::from(candidate.spec.tasks);
        known
            && !self.writes.concerns(&candidate.id)
            && number <= settings.max_moves
            && load.unaccepted < MAX_UNACCEPTED
            && load.jobs < settings.max_jobs
            && load.tasks + tasks <= settings.max_tasks
            && suits(&candidate.spec, settings)
            && is_worth_moving(candidate, settings)
            && deadline_is_ahead(candidate, now)
    }

    /// What a peer cell has, offers under way included.
    fn delegated_to(&self, name: &str, records: &RecordCache) -> DelegatedLoad {
        let mut load = DelegatedLoad::default();
        for (job, _) in self
            .tracked
            .iter()
            .filter(|(_, tracked)| tracked.cell == name)
        {
            let record = records.jobs.get(job).map(|entry| &entry.record);
            let Some(spec) = record.and_then(|record| record.spec.as_ref()) else {
                continue;
            };
            let accepted = open_delegation(records, job)
                .is_some_and(|(_, delegation)| delegation.state != DelegationState::Offered);
            load.add(spec, accepted);
        }
        load
    }

    /// Begins to write that a job goes to a peer cell; false if something of it is placed.
    fn offer(
        &mut self,
        neighbour: usize,
        candidate: &DelegationCandidate,
        access: &mut DelegationAccess<'_>,
        announcements: &[Precondition],
    ) -> bool {
        let job = &*candidate.id;
        let Some(entry) = access.records.jobs.get(job) else {
            return false;
        };
        let Some(revision) = access.scheduler.reserve_for_delegation(job) else {
            return false;
        };
        let name = self.neighbours[neighbour].name.clone();
        let number = next_number(&entry.record);
        let delegation = Delegation {
            cell: name.clone(),
            number,
            state: DelegationState::Offered,
            cancel_requested: false,
        };
        let mut tracked = TrackedDelegation::of(&delegation);
        tracked.known.submissions.offered_here = true;
        self.tracked.insert(job.to_owned(), tracked);
        let record = JobRecord {
            delegation: Some(Box::new(delegation)),
            ..entry.record.clone()
        };
        let mut preconditions = vec![Precondition::new(
            TERM_KEY,
            access.scheduler.term_revision(),
        )];
        preconditions.extend_from_slice(announcements);
        self.writes
            .begin(job, Transition::Offer, record, revision, preconditions);
        let sent_id = ids::sent_id(job, number).unwrap_or_default();
        self.notify(Notice::Offered {
            job: job.to_owned(),
            neighbour: name,
            sent_id,
        });
        true
    }

    /// Asks peer cells whether they take delegated jobs, where something would be load.
    pub(super) fn ask_up(&mut self, now: Micros) -> Vec<CellEffect> {
        let mut effects = Vec::new();
        for neighbour in 0..self.neighbours.len() {
            let link = &mut self.neighbours[neighbour].link;
            if !link.asks_up(now) {
                continue;
            }
            if let Some(address) = link.take_call(now) {
                link.asked_up(now);
                effects.push(self.send(neighbour, address, None, LinkRequest::Readiness));
            }
        }
        effects
    }

    /// Fetches jobs back of which nothing runs, where the origin has had room for them for long enough; all of
    /// them, once a controller does not know delegations: it may lead next, and would place what it finds.
    pub(super) fn plan_returns(&mut self, access: &mut DelegationAccess<'_>, now: Micros) {
        let ends = access.announcement_preconditions.is_none();
        let jobs: Vec<String> = self.tracked.keys().cloned().collect();
        for job in jobs {
            let reclaims = ends || self.is_wanted_back(&job, access, now);
            let Some(tracked) = self.tracked.get_mut(&job) else {
                continue;
            };
            let known = &mut tracked.known;
            let told = known.wanted_back;
            known.wanted_back |= reclaims;
            known.ends |= ends;
            if !reclaims || told {
                continue;
            }
            known.ask_at = now;
            let neighbour = tracked.cell.clone();
            self.notify(Notice::Reclaimed { job, neighbour });
        }
    }

    fn is_wanted_back(
        &mut self,
        job: &str,
        access: &mut DelegationAccess<'_>,
        now: Micros,
    ) -> bool {
        let Some((_, delegation)) = open_delegation(access.records, job) else {
            return false;
        };
        let Some(neighbour) = self.neighbour(&delegation.cell) else {
            return false;
        };
        let reclaim_after = self.neighbours[neighbour].settings.reclaim_after();
        let Some(tracked) = self.tracked.get_mut(job) else {
            return false;
        };
        // Also what has run and lost its machines: it may not fit there again.
        let accepted = matches!(
            delegation.state,
            DelegationState::Accepted | DelegationState::Running
        );
        let idle = accepted && tracked.known.status == Some(HostStatus::Pending);
        if !idle || !access.scheduler.could_start_locally(job, now) {
            tracked.room_since = None;
            return false;
        }
        let since = *tracked.room_since.get_or_insert(now);
        now.since(since) >= reclaim_after
    }
}

/// The number of the job's next delegation.
fn next_number(record: &JobRecord) -> u32 {
    let last = record.delegation.as_ref().map_or(0, |last| last.number);
    last.saturating_add(1)
}

/// Whether the peer cell has what the job is bound to.
fn suits(spec: &Arc<JobSpec>, settings: &DelegationSettings) -> bool {
    let has = |name: &String| settings.machine_types.contains(name);
    let types = spec.types.as_ref();
    spec.zone.is_none() && types.is_none_or(|types| types.iter().any(has))
}

/// Whether the job runs for long enough, and for longer than its image takes to fetch.
fn is_worth_moving(candidate: &DelegationCandidate, settings: &DelegationSettings) -> bool {
    let run = candidate.spec.estimate;
    run >= settings.min_run() && run >= candidate.fetch
}

/// Whether the job's deadline is not over.
fn deadline_is_ahead(candidate: &DelegationCandidate, now: Micros) -> bool {
    let deadline = candidate.spec.deadline;
    deadline.is_none_or(|deadline| now < candidate.submitted.plus(deadline))
}
