//! From the order of a machine to its return.

use crate::time::Micros;

/// Where a machine stands between its order and its return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    /// Ordered, listed by the cloud or read from the records; its agent has not been heard by this leader.
    Unregistered,
    /// Its agent was heard by this leader.
    Up,
    /// Its return is intended, which is not on record yet.
    ReturnRequested,
    /// Its return is intended and on record: the cloud is asked for it until it confirms.
    Returning,
}

/// A machine's phase, its record and its time of life.
#[derive(Debug)]
pub struct Lifecycle {
    phase: MachinePhase,
    recorded: bool,
    created_at: Micros,
    up_since: Option<Micros>,
    spot_notice: Option<Micros>,
}

impl Lifecycle {
    /// Of a machine that was created at this time and has not been heard.
    pub fn new(created_at: Micros) -> Lifecycle {
        Lifecycle {
            phase: MachinePhase::Unregistered,
            recorded: false,
            created_at,
            up_since: None,
            spot_notice: None,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> MachinePhase {
        self.phase
    }

    /// Whether the agent was heard and no return is intended.
    pub fn is_up(&self) -> bool {
        self.phase == MachinePhase::Up
    }

    /// Whether the agent has not been heard by this leader.
    pub fn is_unregistered(&self) -> bool {
        self.phase == MachinePhase::Unregistered
    }

    /// Whether the machine's return is intended, on record or not.
    pub fn is_returning(&self) -> bool {
        matches!(
            self.phase,
            MachinePhase::ReturnRequested | MachinePhase::Returning
        )
    }

    /// Whether the machine is on record, so that a later leader knows of it.
    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// When the machine was ordered, as far as known.
    pub fn created_at(&self) -> Micros {
        self.created_at
    }

    /// When this leader first heard the agent; zero if it has not.
    pub fn up_since(&self) -> Micros {
        self.up_since.unwrap_or(Micros::ZERO)
    }

    /// When the cloud takes the machine back, if that is announced.
    pub fn spot_notice(&self) -> Option<Micros> {
        self.spot_notice
    }

    /// The time of the machine's order became known.
    pub fn set_created_at(&mut self, created_at: Micros) {
        self.created_at = created_at;
    }

    /// The agent is heard. Says whether it is for the first time.
    pub fn register(&mut self, now: Micros) -> bool {
        if self.phase != MachinePhase::Unregistered {
            return false;
        }
        self.phase = MachinePhase::Up;
        self.up_since = Some(now);
        true
    }

    /// What the agent says of the cloud's intent. Says whether a notice is new.
    pub fn set_spot_notice(&mut self, spot_notice: Option<Micros>) -> bool {
        let is_new = self.spot_notice.is_none() && spot_notice.is_some();
        self.spot_notice = spot_notice;
        is_new
    }

    /// The machine is on record. Says whether it was not before.
    pub fn set_recorded(&mut self) -> bool {
        !std::mem::replace(&mut self.recorded, true)
    }

    /// The machine is to be returned. Says whether that is new.
    pub fn request_return(&mut self) -> bool {
        if self.is_returning() {
            return false;
        }
        self.phase = MachinePhase::ReturnRequested;
        true
    }

    /// The requested return is on record. Says whether one was waiting for that.
    pub fn confirm_return(&mut self) -> bool {
        if self.phase != MachinePhase::ReturnRequested {
            return false;
        }
        self.phase = MachinePhase::Returning;
        true
    }

    /// The records say that the machine is being returned.
    pub fn restore_return(&mut self) {
        self.phase = MachinePhase::Returning;
    }
}
