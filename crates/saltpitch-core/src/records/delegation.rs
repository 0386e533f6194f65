//! Jobs that another cell runs, and jobs that this cell runs for another one.
//!
//! Both are optional fields of a job's record, left out where they are not used. See docs/cells.md.

use serde::{Deserialize, Deserializer, Serialize};

use super::JobRecord;
use crate::job::JobState;

/// The delegation of one whole job to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// The host cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Counts the delegations of this job; part of the id that the host is sent.
    #[serde(rename = "n")]
    pub number: u32,
    /// The state.
    #[serde(rename = "s")]
    pub state: DelegationState,
    /// The user asked for the job's cancellation, which the host has yet to confirm.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancel_requested: bool,
}

/// The state of a delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DelegationState {
    /// Submissions to the host may be under way.
    Offered,
    /// The host has accepted the job: it is never submitted again under this number.
    Accepted,
    /// The host reported that tasks of it run.
    Running,
    /// It has ended: the job is the origin's own again.
    Returned,
    /// The record cannot be read: the job is placed nowhere.
    #[serde(skip_serializing)]
    Damaged,
}

impl Delegation {
    /// Whether the host may own the job.
    pub fn is_open(&self) -> bool {
        self.state != DelegationState::Returned
    }

    /// The placeholder of a delegation that cannot be read.
    fn damaged() -> Delegation {
        Delegation {
            cell: String::new(),
            number: u32::MAX,
            state: DelegationState::Damaged,
            cancel_requested: false,
        }
    }
}

/// Reads a delegation. One that cannot be read does not hide its job: users' questions about the job are
/// answered as before, and nothing of it is placed.
pub(super) fn read_delegation<'de, D: Deserializer<'de>>(
    input: D,
) -> Result<Option<Box<Delegation>>, D::Error> {
    let value = Option::<serde_json::Value>::deserialize(input)?;
    Ok(value.map(|value| {
        let read = serde_json::from_value::<Delegation>(value);
        let plausible = |delegation: &Delegation| !delegation.cell.is_empty();
        let usable = read.ok().filter(plausible);
        Box::new(usable.unwrap_or_else(Delegation::damaged))
    }))
}

/// A job that this cell runs for another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guest {
    /// The origin cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Whether machines may be rented for it.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_rent: bool,
}

/// What has to be written when a user cancels a job.
#[derive(Clone, Debug, PartialEq)]
pub enum CancelStep {
    /// This record: the job is cancelled with it.
    Confirm(JobRecord),
    /// This record: it requests the cancellation from the host cell. The job is not cancelled yet.
    Request(JobRecord),
    /// Nothing: the cancellation has been requested from the host cell already.
    Await,
}

impl JobRecord {
    /// Whether another cell may own the job.
    pub fn is_delegated(&self) -> bool {
        self.delegation
            .as_ref()
            .is_some_and(|delegation| delegation.is_open())
    }

    /// How a user's cancellation of this job goes on. A job that another cell may own is cancelled only
    /// once that cell has confirmed it.
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
