//! What is wrong with the site as the scheduler sees it, for the operator's log.

use std::fmt;

use crate::scheduler::Scheduler;
use crate::time::Micros;

/// From this part of the ring on, few free segments are worth a warning.
const LOW_PART: u64 = 16;
/// How long nothing could be written before the log counts as full.
const FULL_AFTER: Micros = Micros::from_secs(5);
/// How often the same fault is told.
const REPEAT_AFTER: Micros = Micros::from_secs(30);

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Alert {
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
        max_value_bytes: usize,
        /// How many changes wait to be written.
        waiting: usize,
    },
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Alert::Policy(message) => f.write_str(message),
            Alert::LogNearlyFull { free, ring } => write!(
                f,
                "the placement log is nearly full: {free} of {ring} segments are free"
            ),
            Alert::LogFull {
                ring,
                max_value_bytes,
                waiting,
            } => write!(
                f,
                "the placement log is full: all {ring} segments of at most {max_value_bytes} bytes are needed, {waiting} changes wait and nothing is placed until tasks end"
            ),
        }
    }
}

/// Since when the log is in the state that is worth telling, and when it was told last.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::scheduler) struct PlacementLogAlerts {
    /// Since when a segment is due and none is free.
    pub blocked_since: Option<Micros>,
    alerted_at: Option<Micros>,
}

impl Scheduler {
    /// Faults that the log has not been told yet, or not lately.
    pub fn take_alerts(&mut self, now: Micros) -> Vec<Alert> {
        let policy = std::mem::take(&mut self.config.policy.faults);
        let mut faults: Vec<Alert> = policy.into_iter().map(Alert::Policy).collect();
        let answered_with = self.persistence.alerts.alerted_at;
        if answered_with.is_none_or(|at| now.since(at) >= REPEAT_AFTER) {
            if let Some(fault) = self.placement_log_alert(now) {
                self.persistence.alerts.alerted_at = Some(now);
                faults.push(fault);
            }
        }
        faults
    }

    fn placement_log_alert(&self, now: Micros) -> Option<Alert> {
        let ring = self.config.log_segments;
        let blocked = self.persistence.alerts.blocked_since;
        if blocked.is_some_and(|since| now.since(since) >= FULL_AFTER) {
            return Some(Alert::LogFull {
                ring,
                max_value_bytes: self.config.max_value_bytes,
                waiting: self.persistence.unsaved_tasks.len(),
            });
        }
        let free = self.persistence.placement_log.room();
        (free < ring / LOW_PART).then_some(Alert::LogNearlyFull { free, ring })
    }
}
