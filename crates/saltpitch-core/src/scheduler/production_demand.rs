//! What production jobs have asked for lately, so that capacity is kept warm ahead of them.

use super::{Scheduler, FADE};
use crate::job::{JobSpec, Priority};
use crate::time::Micros;

impl Scheduler {
    /// Production jobs come at some rate: what they ask for is kept warm ahead of them.
    pub(super) fn note_demand(&mut self, spec: &JobSpec, now: Micros) {
        if spec.priority == Priority::Production {
            let more = spec.need.cpu as f64 * f64::from(spec.tasks);
            self.autoscaler.production_demand = (self.faded_demand(now) + more, now);
        }
    }

    pub(super) fn faded_demand(&self, now: Micros) -> f64 {
        let (level, at) = self.autoscaler.production_demand;
        level * (-now.since(at).as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
