//! The lifecycle of a machine, from its order to its return.

use crate::time::Micros;

/// The phase of a machine between its order and its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    /// The machine was ordered, listed by the cloud or read from the records, but this leader has not heard
    /// its agent.
    Unregistered,
    /// This leader has heard the machine's agent.
    Up,
    /// The machine's return is requested, but not on record yet.
    ReturnRequested,
    /// The machine's return is on record. It is requested from the cloud until the cloud confirms it.
    Returning,
}

/// A machine's phase, whether it is on record, and the times of its main events.
#[derive(Debug)]
pub struct Lifecycle {
    phase: MachinePhase,
    is_recorded: bool,
    created_at: Micros,
    up_since: Option<Micros>,
    spot_notice: Option<Micros>,
}

impl Lifecycle {
    /// Creates the lifecycle of a machine that was ordered at this time and whose agent has not been heard.
    pub fn new(created_at: Micros) -> Lifecycle {
        Lifecycle {
            phase: MachinePhase::Unregistered,
            is_recorded: false,
            created_at,
            up_since: None,
            spot_notice: None,
        }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> MachinePhase {
        self.phase
    }

    /// Returns whether this leader has heard the agent and no return is requested.
    pub fn is_up(&self) -> bool {
        self.phase == MachinePhase::Up
    }

    /// Returns whether this leader has not heard the agent yet.
    pub fn is_unregistered(&self) -> bool {
        self.phase == MachinePhase::Unregistered
    }

    /// Returns whether the machine's return is requested, whether that is on record or not.
    pub fn is_returning(&self) -> bool {
        matches!(
            self.phase,
            MachinePhase::ReturnRequested | MachinePhase::Returning
        )
    }

    /// Returns whether the machine is on record, so that a later leader knows of it.
    pub fn is_recorded(&self) -> bool {
        self.is_recorded
    }

    /// Returns when the machine was ordered, or when this leader learned of it if that is unknown.
    pub fn created_at(&self) -> Micros {
        self.created_at
    }

    /// Returns when this leader first heard the agent, or zero if it has not.
    pub fn up_since(&self) -> Micros {
        self.up_since.unwrap_or(Micros::ZERO)
    }

    /// Returns when the cloud reclaims the machine, if it has announced that.
    pub fn spot_notice(&self) -> Option<Micros> {
        self.spot_notice
    }

    /// Sets when the machine was ordered.
    pub fn set_created_at(&mut self, created_at: Micros) {
        self.created_at = created_at;
    }

    /// Records that the agent was heard. Returns whether it is for the first time.
    pub fn register(&mut self, now: Micros) -> bool {
        if self.phase != MachinePhase::Unregistered {
            return false;
        }
        self.phase = MachinePhase::Up;
        self.up_since = Some(now);
        true
    }

    /// Sets the time that the agent last reported for the cloud to reclaim the machine, if any. Returns whether
    /// there was no such notice before.
    pub fn set_spot_notice(&mut self, spot_notice: Option<Micros>) -> bool {
        let is_new = self.spot_notice.is_none() && spot_notice.is_some();
        self.spot_notice = spot_notice;
        is_new
    }

    /// Records that the machine is on record. Returns whether it was not before.
    pub fn set_recorded(&mut self) -> bool {
        !std::mem::replace(&mut self.is_recorded, true)
    }

    /// Requests the machine's return. Returns whether it was not requested before.
    pub fn request_return(&mut self) -> bool {
        if self.is_returning() {
            return false;
        }
        self.phase = MachinePhase::ReturnRequested;
        true
    }

    /// Confirms that the requested return is on record. Returns whether a request was waiting for that.
    pub fn confirm_return(&mut self) -> bool {
        if self.phase != MachinePhase::ReturnRequested {
            return false;
        }
        self.phase = MachinePhase::Returning;
        true
    }

    /// Restores the phase of a machine whose return is on record.
    pub fn restore_return(&mut self) {
        self.phase = MachinePhase::Returning;
    }
}
