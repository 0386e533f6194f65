//! Jobs that are delegated to another cell, and guest jobs that this cell runs for another cell.
//!
//! Both are optional fields of a job's record, which are left out if they are not used. See docs/cells.md.

use serde::{Deserialize, Deserializer, Serialize};

use super::JobRecord;
use crate::job::JobState;

/// The delegation of one whole job to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The name of the host cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Counts the delegations of this job; part of the job id that is sent to the host cell.
    #[serde(rename = "n")]
    pub number: u32,
    /// The state of the delegation.
    #[serde(rename = "s")]
    pub state: DelegationState,
    /// Whether the user has cancelled the job and the host cell has yet to confirm it.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancel_requested: bool,
}

/// The state of a delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DelegationState {
    /// Submissions to the host cell may be in flight.
    Offered,
    /// The host cell has accepted the job. It is never submitted again under this delegation number.
    Accepted,
    /// The host cell has reported that tasks of the job are running.
    Running,
    /// The delegation has ended: the origin cell owns the job again.
    Returned,
    /// The delegation cannot be read: the job is not placed in any cell.
    #[serde(skip_serializing)]
    Damaged,
}

impl Delegation {
    /// Returns whether the host cell may own the job.
    pub fn is_open(&self) -> bool {
        self.state != DelegationState::Returned
    }

    /// Returns a placeholder for a delegation that cannot be read.
    fn damaged() -> Delegation {
        Delegation {
            cell: String::new(),
            number: u32::MAX,
            state: DelegationState::Damaged,
            cancel_requested: false,
        }
    }
}

/// Deserializes a delegation. One that cannot be read becomes a placeholder, so that its job stays visible: users
/// can still query the job, but none of its tasks is placed.
pub(super) fn read_delegation<'de, D: Deserializer<'de>>(
    input: D,
) -> Result<Option<Box<Delegation>>, D::Error> {
    let value = Option::<serde_json::Value>::deserialize(input)?;
    Ok(value.map(|value| {
        let parsed = serde_json::from_value::<Delegation>(value);
        let has_cell = |delegation: &Delegation| !delegation.cell.is_empty();
        let valid = parsed.ok().filter(has_cell);
        Box::new(valid.unwrap_or_else(Delegation::damaged))
    }))
}

/// Marks a job that this cell runs for another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guest {
    /// The name of the origin cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Whether machines may be rented for the job.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_rent: bool,
}

/// What has to be recorded when a user cancels a job.
#[derive(Clone, Debug, PartialEq)]
pub enum CancelStep {
    /// Writing this record cancels the job.
    Confirm(JobRecord),
    /// Writing this record requests the cancellation from the host cell. The job is not cancelled yet.
    Request(JobRecord),
    /// Nothing is written: the cancellation has already been requested from the host cell, or the delegation
    /// is damaged.
    Await,
}

impl JobRecord {
    /// Returns whether another cell may own the job.
    pub fn is_delegated(&self) -> bool {
        self.delegation
            .as_ref()
            .is_some_and(|delegation| delegation.is_open())
    }

    /// Returns the next step of a user's cancellation of this job. A job that another cell may own is cancelled
    /// only once that cell has confirmed the cancellation.
    pub fn cancel_step(&self) -> CancelStep {
        let mut record = self.clone();
        match &mut record.delegation {
            Some(delegation) if delegation.is_open() => {
                if delegation.cancel_requested || delegation.state == DelegationState::Damaged {
                    return CancelStep::Await;
                }
                delegation.cancel_requested = true;
                CancelStep::Request(record)
            }
            _ => {
                record.state = JobState::Cancelled;
                CancelStep::Confirm(record)
            }
        }
    }
}
