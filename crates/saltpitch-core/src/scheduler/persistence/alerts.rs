//! Faults of the site as the scheduler sees it, for the operator's log.

use std::fmt;

use super::Persistence;
use crate::policy::PolicyFault;
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// The log is nearly full when less than this part of the ring is free.
const NEARLY_FULL_DIVISOR: u64 = 16;
/// The log counts as full once no segment could be written for this long.
const FULL_AFTER: Micros = Micros::from_secs(5);
/// How often the same fault is reported.
const REPEAT_AFTER: Micros = Micros::from_secs(30);

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Alert {
    /// A rule of the operators' policy failed and its default is used.
    Policy(PolicyFault),
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
            Alert::Policy(fault) => fault.fmt(f),
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

/// Since when the log has had no free segment, and when that was reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlacementLogAlerts {
    /// Since when a segment is due and none is free.
    blocked_since: Option<Micros>,
    alerted_at: Option<Micros>,
}

impl PlacementLogAlerts {
    /// A segment is due and none is free.
    pub(super) fn blocked(&mut self, now: Micros) {
        self.blocked_since.get_or_insert(now);
    }

    /// There is a free segment.
    pub(super) fn unblocked(&mut self) {
        self.blocked_since = None;
    }
}

impl Persistence {
    /// A fault of the placement log that has not been reported yet, or not lately.
    pub(in crate::scheduler) fn take_log_alert(
        &mut self,
        config: &SchedulerConfig,
        now: Micros,
    ) -> Option<Alert> {
        let alerted_at = self.log_alerts.alerted_at;
        if alerted_at.is_some_and(|at| now.since(at) < REPEAT_AFTER) {
            return None;
        }
        let alert = self.log_alert(config, now)?;
        self.log_alerts.alerted_at = Some(now);
        Some(alert)
    }

    fn log_alert(&self, config: &SchedulerConfig, now: Micros) -> Option<Alert> {
        let ring = config.log_segments;
        let blocked_since = self.log_alerts.blocked_since;
        if blocked_since.is_some_and(|since| now.since(since) >= FULL_AFTER) {
            return Some(Alert::LogFull {
                ring,
                max_value_bytes: config.max_value_bytes,
                waiting: self.unsaved_tasks.len(),
            });
        }
        let free = self.placement_log.free_segments();
        (free < ring / NEARLY_FULL_DIVISOR).then_some(Alert::LogNearlyFull { free, ring })
    }
}
