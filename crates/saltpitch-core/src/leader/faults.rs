//! What is wrong with the site as the scheduler sees it, for the operator's log.

use std::fmt;

use super::Leader;
use crate::time::Micros;

/// From this part of the ring on, few free segments are worth a warning.
const LOW_PART: u64 = 16;
/// How long nothing could be written before the log counts as full.
const FULL_AFTER: Micros = Micros::from_secs(5);
/// How often the same fault is told.
const REPEAT_AFTER: Micros = Micros::from_secs(30);

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A rule of the operators' policy failed and its default is used.
    Policy(String),
    /// Few segments of the placement log can be written before one that is still needed.
    LogNearlyFull {
        /// How many can.
        free: u64,
        /// How many there are.
        ring: u64,
    },
    /// Every segment of the placement log is still needed: no task can be placed until others end.
    LogFull {
        /// How many segments there are.
        ring: u64,
        /// The most bytes of one value.
        value_bytes: usize,
        /// How many changes wait to be written.
        waiting: usize,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Policy(message) => f.write_str(message),
            Fault::LogNearlyFull { free, ring } => write!(
                f,
                "the placement log is nearly full: {free} of {ring} segments are free"
            ),
            Fault::LogFull {
                ring,
                value_bytes,
                waiting,
            } => write!(
                f,
                "the placement log is full: all {ring} segments of at most {value_bytes} bytes are needed, {waiting} changes wait and nothing is placed until tasks end"
            ),
        }
    }
}

/// Since when the log is in the state that is worth telling, and when it was told last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogState {
    /// Since when a segment is due and none is free.
    pub blocked_since: Option<Micros>,
    told_at: Option<Micros>,
}

impl Leader {
    /// Faults that the log has not been told yet, or not lately.
    pub fn take_faults(&mut self, now: Micros) -> Vec<Fault> {
        let policy = std::mem::take(&mut self.cfg.policy.faults);
        let mut faults: Vec<Fault> = policy.into_iter().map(Fault::Policy).collect();
        let told = self.log_state.told_at;
        if told.is_none_or(|at| now.since(at) >= REPEAT_AFTER) {
            if let Some(fault) = self.log_fault(now) {
                self.log_state.told_at = Some(now);
                faults.push(fault);
            }
        }
        faults
    }

    fn log_fault(&self, now: Micros) -> Option<Fault> {
        let ring = self.cfg.log_ring;
        let blocked = self.log_state.blocked_since;
        if blocked.is_some_and(|since| now.since(since) >= FULL_AFTER) {
            return Some(Fault::LogFull {
                ring,
                value_bytes: self.cfg.value_bytes,
                waiting: self.dirty.len(),
            });
        }
        let free = self.log.room();
        (free < ring / LOW_PART).then_some(Fault::LogNearlyFull { free, ring })
    }
}
