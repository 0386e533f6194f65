//! Selection of the jobs to offer to peer cells and of those to reclaim.

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

/// The most jobs that are offered to a peer cell and not accepted yet. If the link fails at such a moment,
/// these jobs can run in neither cell.
const MAX_UNACCEPTED: usize = 2;
/// The most candidates that are considered for each peer cell in one pass.
const MAX_CANDIDATES: usize = 64;

/// The jobs that are delegated to a peer cell.
#[derive(Clone, Copy, Debug, Default)]
struct DelegatedLoad {
    jobs: usize,
    tasks: u64,
    unaccepted: usize,
}

impl DelegatedLoad {
    fn add(&mut self, spec: &JobSpec, is_accepted: bool) {
        self.jobs += 1;
        self.tasks += u64::from(spec.tasks);
        self.unaccepted += usize::from(!is_accepted);
    }
}

impl Delegator {
    /// Offers jobs that have waited for the minimum time to the peer cells that accept them.
    pub(super) fn plan_offers(&mut self, access: &mut DelegationAccess<'_>, now: Micros) {
        let Some(announcement_preconditions) = access.announcement_preconditions.clone() else {
            return;
        };
        for peer in 0..self.peer_cells.len() {
            let min_wait = self.peer_cells[peer].settings.min_wait();
            let mut load = self.delegated_load(&self.peer_cells[peer].name, access.records);
            let candidates = access
                .scheduler
                .delegation_candidates(min_wait, MAX_CANDIDATES, now);
            for candidate in candidates {
                if !self.may_offer(peer, &candidate, load, access.records, now) {
                    continue;
                }
                self.peer_cells[peer].link.want_readiness();
                if !self.peer_cells[peer].link.can_offer(now) {
                    break;
                }
                if !self.writes.try_take_token(now) {
                    break;
                }
                if self.offer(peer, &candidate, access, &announcement_preconditions) {
                    load.add(&candidate.spec, false);
                }
            }
        }
    }

    /// Returns whether the origin's limits and the job itself allow an offer to this peer cell.
    fn may_offer(
        &self,
        peer: usize,
        candidate: &DelegationCandidate,
        load: DelegatedLoad,
        records: &RecordCache,
        now: Micros,
    ) -> bool {
        let settings = &self.peer_cells[peer].settings;
        let Some(entry) = records.jobs.get(&*candidate.id) else {
            return false;
        };
        let number = next_number(&entry.record);
        let has_sent_id = ids::sent_id(&candidate.id, number).is_some();
        let tasks = u64::from(candidate.spec.tasks);
        has_sent_id
            && !self.writes.is_pending(&candidate.id)
            && number <= settings.max_moves
            && load.unaccepted < MAX_UNACCEPTED
            && load.jobs < settings.max_jobs
            && load.tasks + tasks <= settings.max_tasks
            && is_suitable(&candidate.spec, settings)
            && is_long_enough(candidate, settings)
            && !is_past_deadline(candidate, now)
    }

    /// Returns the jobs delegated to a peer cell, including offers that are not committed yet.
    fn delegated_load(&self, name: &str, records: &RecordCache) -> DelegatedLoad {
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
            let is_accepted = open_delegation(records, job)
                .is_some_and(|(_, delegation)| delegation.state != DelegationState::Offered);
            load.add(spec, is_accepted);
        }
        load
    }

    /// Reserves a job and begins to write its delegation to a peer cell. Returns `false` if the job cannot be
    /// reserved, for example because a task of it is placed.
    fn offer(
        &mut self,
        peer: usize,
        candidate: &DelegationCandidate,
        access: &mut DelegationAccess<'_>,
        announcement_preconditions: &[Precondition],
    ) -> bool {
        let job = &*candidate.id;
        let Some(entry) = access.records.jobs.get(job) else {
            return false;
        };
        let Some(revision) = access.scheduler.reserve_for_delegation(job) else {
            return false;
        };
        let name = self.peer_cells[peer].name.clone();
        let number = next_number(&entry.record);
        let delegation = Delegation {
            cell: name.clone(),
            number,
            state: DelegationState::Offered,
            cancel_requested: false,
        };
        let mut tracked = TrackedDelegation::from_record(&delegation);
        tracked.observed.submissions.offered_by_this_leader = true;
        self.tracked.insert(job.to_owned(), tracked);
        let record = JobRecord {
            delegation: Some(Box::new(delegation)),
            ..entry.record.clone()
        };
        let mut preconditions = vec![Precondition::new(
            TERM_KEY,
            access.scheduler.term_revision(),
        )];
        preconditions.extend_from_slice(announcement_preconditions);
        self.writes
            .add(job, Transition::Offer, record, revision, preconditions);
        let sent_id = ids::sent_id(job, number).unwrap_or_default();
        self.notify(Notice::Offered {
            job: job.to_owned(),
            peer_cell: name,
            sent_id,
        });
        true
    }

    /// Asks the peer cells for which there are jobs to offer whether they accept delegated jobs.
    pub(super) fn request_readiness(&mut self, now: Micros) -> Vec<CellEffect> {
        let mut effects = Vec::new();
        for peer in 0..self.peer_cells.len() {
            let link = &mut self.peer_cells[peer].link;
            if !link.should_request_readiness(now) {
                continue;
            }
            if let Some(address) = link.try_start_call(now) {
                link.readiness_requested(now);
                effects.push(self.start_call(peer, address, None, LinkRequest::Readiness));
            }
        }
        effects
    }

    /// Reclaims delegated jobs that have not started and for which the origin has had capacity for long enough.
    /// Reclaims all delegated jobs if a controller of this cell does not support delegation, because that
    /// controller may become the leader and would place the jobs that it finds on record.
    pub(super) fn plan_reclaims(&mut self, access: &mut DelegationAccess<'_>, now: Micros) {
        let reclaim_all = access.announcement_preconditions.is_none();
        let jobs: Vec<String> = self.tracked.keys().cloned().collect();
        for job in jobs {
            let reclaim = reclaim_all || self.should_reclaim(&job, access, now);
            let Some(tracked) = self.tracked.get_mut(&job) else {
                continue;
            };
            let observed = &mut tracked.observed;
            let is_reported = observed.reclaim_if_not_started;
            observed.reclaim_if_not_started |= reclaim;
            observed.reclaim_always |= reclaim_all;
            if !reclaim || is_reported {
                continue;
            }
            observed.next_request_at = now;
            let peer_cell = tracked.cell.clone();
            self.notify(Notice::Reclaimed { job, peer_cell });
        }
    }

    /// Returns whether a delegated job has not started and the origin has had capacity for it for long enough.
    fn should_reclaim(
        &mut self,
        job: &str,
        access: &mut DelegationAccess<'_>,
        now: Micros,
    ) -> bool {
        let Some((_, delegation)) = open_delegation(access.records, job) else {
            return false;
        };
        let Some(peer) = self.peer_index(&delegation.cell) else {
            return false;
        };
        let reclaim_after = self.peer_cells[peer].settings.reclaim_after();
        let Some(tracked) = self.tracked.get_mut(job) else {
            return false;
        };
        // A running delegation counts as well: the job may have lost its machines, and may not fit at the host
        // again.
        let is_accepted = matches!(
            delegation.state,
            DelegationState::Accepted | DelegationState::Running
        );
        let is_pending = is_accepted && tracked.observed.status == Some(HostStatus::Pending);
        if !is_pending || !access.scheduler.could_start_locally(job, now) {
            tracked.local_capacity_since = None;
            return false;
        }
        let since = *tracked.local_capacity_since.get_or_insert(now);
        now.since(since) >= reclaim_after
    }
}

/// Returns the number of the job's next delegation.
fn next_number(record: &JobRecord) -> u32 {
    let last = record.delegation.as_ref().map_or(0, |last| last.number);
    last.saturating_add(1)
}

/// Returns whether the job is not bound to a zone and the peer cell has one of the machine types that it
/// allows.
fn is_suitable(spec: &Arc<JobSpec>, settings: &DelegationSettings) -> bool {
    let is_available = |name: &String| settings.machine_types.contains(name);
    let types = spec.types.as_ref();
    spec.zone.is_none() && types.is_none_or(|types| types.iter().any(is_available))
}

/// Returns whether the job's run time is at least the minimum and at least the time to fetch its image.
fn is_long_enough(candidate: &DelegationCandidate, settings: &DelegationSettings) -> bool {
    let run_time = candidate.spec.estimate;
    run_time >= settings.min_run_time() && run_time >= candidate.fetch
}

/// Returns whether the job has a deadline that has passed.
fn is_past_deadline(candidate: &DelegationCandidate, now: Micros) -> bool {
    let deadline = candidate.spec.deadline;
    deadline.is_some_and(|deadline| now >= candidate.submitted.plus(deadline))
}
