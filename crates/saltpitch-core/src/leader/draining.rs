//! Emptying a machine that is to be taken away, and stopping whole gangs.

use std::sync::Arc;

use super::{Leader, Seen};
use crate::cluster::JobNo;
use crate::gang::Gang;
use crate::job::Kind;
use crate::time::Micros;

impl Leader {
    /// The machine is to be taken away: whatever can be saved is saved.
    pub(super) fn drain(&mut self, name: &Arc<str>, now: Micros) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let left = m.notice.map_or(Micros::ZERO, |n| n.since(now));
        self.drain_within(name, left, now);
    }

    pub(super) fn drain_within(&mut self, name: &Arc<str>, left: Micros, now: Micros) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let held: Vec<(JobNo, u32)> = m.holds.iter().copied().collect();
        for (no, task) in held {
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            let spec = job.spec.clone();
            let seen = job.tasks[task as usize].place.as_ref().map(|p| p.seen);
            let saves = spec.saves() && left > spec.save.plus(Micros::from_secs(2));
            let grace = spec.save.plus(Micros::from_secs(2));
            let started = matches!(seen, Some(Seen::Running | Seen::Saving));
            if spec.kind == Kind::Gang {
                if started && saves {
                    self.stop_gang(no, grace, now);
                } else if !started {
                    self.stop_gang(no, Micros::ZERO, now);
                }
            } else if !started || spec.kind == Kind::Service {
                // Nothing to lose: sooner stopped is sooner elsewhere.
                self.stop(no, task, Micros::ZERO, now);
            } else if saves {
                self.stop(no, task, grace, now);
            }
            // What can't save runs on: it may complete in time.
        }
    }

    /// Stops a whole gang, all members told at once.
    pub(super) fn stop_gang(&mut self, no: JobNo, grace: Micros, now: Micros) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.gang = Gang::Stopping;
        }
        self.stop_all(no, grace, now);
        if let Some(job) = self.jobs.get_mut(&no) {
            if job.placed == 0 {
                job.gang = Gang::Parked { until: now };
            }
        }
    }
}
