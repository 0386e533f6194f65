//! Preemption for production jobs on machines that have their image: a task starts at once there, and only
//! after a fetch elsewhere.

use std::sync::Arc;

use super::options::PreemptionOption;
use super::{Grace, VictimTask};
use crate::job::JobSpec;
use crate::scheduler::queue_order::QueuedJob;
use crate::scheduler::{Job, ObjectiveTarget, Scheduler};
use crate::time::Micros;

/// The longest time after a job was queued during which tasks are preempted for it on machines with its image.
const MAX_SEARCH_TIME: Micros = Micros::from_millis(2_500);
/// How long the job waits for the capacity that preempted tasks free.
const WAIT_FOR_CAPACITY: Micros = Micros::from_millis(700);
/// The time that is allowed for a fetch, as a multiple of the expected time.
const FETCH_TIME_MARGIN: f64 = 1.3;
/// The time that is allowed between the end of a fetch and the start.
const START_MARGIN: Micros = Micros::from_secs(1);
/// The fraction of the time within which a job should start that is spent searching machines with its
/// image, if a fetch elsewhere could not be in time.
const SEARCH_SHARE: f64 = 0.5;

impl Scheduler {
    /// Stops less urgent tasks on machines that have the job's image: once in any case, and again until its
    /// search time is over. Returns whether the job waits for that capacity.
    pub(in crate::scheduler) fn preempt_near_image(
        &mut self,
        queued: QueuedJob,
        now: Micros,
    ) -> bool {
        let Some(job) = self.job_table.get(queued.number) else {
            return false;
        };
        // The search is repeated after each wait for capacity, until the search time is over.
        if let Some(until) = job.backoff.near_image_until {
            if now < until || now.since(job.times.queued_at) > self.search_time(job) {
                return now < until;
            }
        }
        let (spec, idle) = (job.spec.clone(), job.tasks.idle().len() as u64);
        let ready = self.tasks_ready_near_image(queued, &spec, idle, now);
        let missing = idle.saturating_sub(ready) as usize;
        let options = match missing {
            0 => Vec::new(),
            _ => self.options_near_image(queued, &spec, missing, now),
        };
        let waits_for_capacity = !options.is_empty();
        if let Some(job) = self.job_table.get_mut(queued.number) {
            let wait = match waits_for_capacity {
                true => WAIT_FOR_CAPACITY,
                false => Micros::ZERO,
            };
            job.backoff.near_image_until = Some(now.plus(wait));
        }
        let victims: Vec<VictimTask> = options
            .into_iter()
            .flat_map(|option| option.victims)
            .collect();
        self.preempt_tasks(victims, Grace::None, now);
        waits_for_capacity
    }

    /// Returns how long after the job was queued machines with its image are searched for capacity. If
    /// a fetch elsewhere could be in time for the job's objective, the search ends early enough for that
    /// fetch; otherwise it takes half of the time within which the job should start. It never takes longer than
    /// [`MAX_SEARCH_TIME`].
    fn search_time(&self, job: &Job) -> Micros {
        let types = self.catalog.types.iter();
        let suitable = types.filter(|machine_type| {
            job.spec.need.fits(&machine_type.size)
                && !self.is_contested_for(&job.spec, &machine_type.size)
        });
        let fetch_times = suitable.map(|machine_type| {
            let expected = machine_type.fetch_time(job.spec.image_mb);
            expected.times(FETCH_TIME_MARGIN)
        });
        let fetch = fetch_times.min().unwrap_or_default();
        let objectives = self.job_table.classes.objectives(job.class);
        let limits = objectives.iter().filter_map(|target| match target {
            // A fetch could be in time, so the search must not last longer than that allows.
            ObjectiveTarget::Started(within) if fetch < *within => {
                Some(within.since(fetch).since(START_MARGIN))
            }
            ObjectiveTarget::Started(within) => Some(within.times(SEARCH_SHARE)),
            ObjectiveTarget::Finished(_) | ObjectiveTarget::Deadline(_) => None,
        });
        let limit = limits.min().unwrap_or(MAX_SEARCH_TIME);
        limit.min(MAX_SEARCH_TIME)
    }

    /// Returns how many tasks could start at once on machines with the image.
    fn tasks_ready_near_image(
        &mut self,
        queued: QueuedJob,
        spec: &JobSpec,
        idle: u64,
        now: Micros,
    ) -> u64 {
        let candidates = self.candidate_machines(queued.number, None, idle, now);
        let with_image = candidates.iter().filter(|name| self.has_image(name, spec));
        let machines = with_image.filter_map(|name| self.inventory.get(name));
        let tasks = machines.map(|machine| spec.need.count_in(&machine.free()));
        tasks.sum()
    }

    fn options_near_image(
        &mut self,
        queued: QueuedJob,
        spec: &JobSpec,
        wanted: usize,
        now: Micros,
    ) -> Vec<PreemptionOption> {
        let mut options = self.preemption_options(queued, spec, now);
        options
            .retain(|option| self.has_image(&option.machine, spec) && !option.victims.is_empty());
        options.sort_by_key(|option| option.loss);
        options.truncate(wanted);
        options
    }

    fn has_image(&self, machine: &Arc<str>, spec: &JobSpec) -> bool {
        let machine = self.inventory.get(machine);
        machine.is_some_and(|machine| machine.images.contains(&spec.image))
    }
}
