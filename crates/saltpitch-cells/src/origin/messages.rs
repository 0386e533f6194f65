//! The records that are written and the requests that are sent for one delegation.

use std::sync::Arc;

use saltpitch_core::job::{JobSpec, JobState};
use saltpitch_core::records::{Delegation, DelegationState, JobEntry, JobRecord, RecordCache};
use saltpitch_core::Micros;

use super::step::{Request, Transition};
use crate::link::{LinkRequest, Submission};

/// Returns the record and the delegation of an active job that another cell may own.
pub(super) fn open_delegation<'a>(
    records: &'a RecordCache,
    job: &str,
) -> Option<(&'a JobEntry, &'a Delegation)> {
    let entry = records.jobs.get(job)?;
    let delegation = entry.record.delegation.as_ref()?;
    let is_open = entry.record.state == JobState::Active && delegation.is_open();
    is_open.then_some((entry, delegation))
}

/// Returns a job's record after a change of its delegation. `wall` is the wall-clock time, at which a completed
/// job is done.
pub(super) fn updated_record(
    record: &JobRecord,
    transition: Transition,
    wall: Micros,
) -> JobRecord {
    let state = match transition {
        Transition::Complete => return JobRecord::final_record(JobState::Done, Some(wall)),
        Transition::Offer => DelegationState::Offered,
        Transition::Accept => DelegationState::Accepted,
        Transition::Run => DelegationState::Running,
        Transition::Return | Transition::Cancel => DelegationState::Returned,
    };
    let mut record = record.clone();
    if transition == Transition::Cancel {
        record.state = JobState::Cancelled;
    }
    if let Some(delegation) = &mut record.delegation {
        delegation.state = state;
    }
    record
}

/// Removes the dependencies from a specification. A job is delegated only after they are done, and the host
/// does not know them.
fn without_dependencies(spec: Arc<JobSpec>) -> Arc<JobSpec> {
    if spec.dependencies.is_empty() {
        return spec;
    }
    let mut spec = JobSpec::clone(&spec);
    spec.dependencies.clear();
    Arc::new(spec)
}

/// Returns the message for a request about the job that the host knows as `id`, or `None` if the job's record
/// has no specification to submit. `wall` is the wall-clock time.
pub fn link_request(
    id: String,
    record: &JobRecord,
    request: Request,
    wall: Micros,
) -> Option<LinkRequest> {
    Some(match request {
        Request::Status => LinkRequest::Status { id },
        Request::Abort | Request::Reclaim => LinkRequest::Abort {
            id,
            unless_begun: request == Request::Reclaim,
        },
        Request::Submit | Request::Close => {
            let spec = record.spec.clone()?;
            let age = wall.since(record.submitted_at);
            let time_left = spec.deadline.map(|deadline| deadline.since(age));
            LinkRequest::Submit(Submission {
                id,
                deadline: time_left.filter(|left| *left > Micros::ZERO),
                spec: without_dependencies(spec),
                closing: request == Request::Close,
            })
        }
    })
}
