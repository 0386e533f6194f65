//! Faults that the scheduler reports to the operator in the log.

use std::fmt;

use super::Persistence;
use crate::policy::PolicyFault;
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// The placement log is nearly full when less than `1 / NEARLY_FULL_DIVISOR` of its segments are free.
const NEARLY_FULL_DIVISOR: u64 = 16;
/// The placement log is reported as full once no segment could be written for this long.
const FULL_AFTER: Micros = Micros::from_secs(5);
/// Minimum interval between two reports of the placement log.
const REPEAT_INTERVAL: Micros = Micros::from_secs(30);

/// A fault that the scheduler reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Alert {
    /// A rule of the operator's policy failed, and the rule's default is used instead.
    Policy(PolicyFault),
    /// Few segments of the placement log can be written before one that is still needed.
    LogNearlyFull {
        /// Number of segments that can be written.
        free_segments: u64,
        /// Number of segments in the ring.
        segment_count: u64,
    },
    /// Every segment of the placement log is still needed, so no task can be placed until others end.
    LogFull {
        /// Number of segments in the ring.
        segment_count: u64,
        /// Maximum size of one value.
        max_value_bytes: usize,
        /// Number of changes that wait to be written.
        unsaved_changes: usize,
    },
}

impl fmt::Display for Alert {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Alert::Policy(fault) => fault.fmt(f),
            Alert::LogNearlyFull {
                free_segments,
                segment_count,
            } => write!(
                f,
                "the placement log is nearly full: {free_segments} of {segment_count} segments are free"
            ),
            Alert::LogFull {
                segment_count,
                max_value_bytes,
                unsaved_changes,
            } => write!(
                f,
                "the placement log is full: all {segment_count} segments of at most {max_value_bytes} bytes are needed, {unsaved_changes} changes wait and nothing is placed until tasks end"
            ),
        }
    }
}

/// Since when writes have been blocked by a full placement log, and when the log was reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlacementLogAlerts {
    /// Since when a segment has been due while none was free.
    blocked_since: Option<Micros>,
    last_alert_at: Option<Micros>,
}

impl PlacementLogAlerts {
    /// Notes that a segment is due and none is free.
    pub(super) fn set_blocked(&mut self, now: Micros) {
        self.blocked_since.get_or_insert(now);
    }

    /// Notes that a segment is free.
    pub(super) fn clear_blocked(&mut self) {
        self.blocked_since = None;
    }
}

impl Persistence {
    /// Returns a fault of the placement log, unless one was reported within the last [`REPEAT_INTERVAL`].
    pub(in crate::scheduler) fn take_log_alert(
        &mut self,
        config: &SchedulerConfig,
        now: Micros,
    ) -> Option<Alert> {
        let last_alert_at = self.log_alerts.last_alert_at;
        if last_alert_at.is_some_and(|at| now.since(at) < REPEAT_INTERVAL) {
            return None;
        }
        let alert = self.log_alert(config, now)?;
        self.log_alerts.last_alert_at = Some(now);
        Some(alert)
    }

    fn log_alert(&self, config: &SchedulerConfig, now: Micros) -> Option<Alert> {
        let segment_count = config.log_segments;
        let blocked_since = self.log_alerts.blocked_since;
        if blocked_since.is_some_and(|since| now.since(since) >= FULL_AFTER) {
            return Some(Alert::LogFull {
                segment_count,
                max_value_bytes: config.max_value_bytes,
                unsaved_changes: self.unsaved_tasks.len(),
            });
        }
        let free_segments = self.placement_log.free_segments();
        let is_nearly_full = free_segments < segment_count / NEARLY_FULL_DIVISOR;
        is_nearly_full.then_some(Alert::LogNearlyFull {
            free_segments,
            segment_count,
        })
    }
}
