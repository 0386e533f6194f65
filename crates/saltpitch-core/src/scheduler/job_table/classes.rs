//! The classes of jobs, with their service-level objectives and their averages of run time and task count.

use crate::scheduler::{Objective, ObjectiveTarget};

/// The weight of a new job in the moving average of its class's task counts. The first job sets the average.
const MEAN_TASKS_WEIGHT: f64 = 0.03;
/// The most classes without live jobs and objectives whose averages are kept.
const MAX_IDLE_CLASSES: usize = 512;
/// The weight of one task in the moving average of its class's run time ratio.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// A class of jobs.
pub(in crate::scheduler) struct Class {
    name: String,
    objectives: Vec<ObjectiveTarget>,
    run_time_ratio: f64,
    mean_tasks: f64,
    /// The number of jobs of this class that have not ended.
    live_jobs: usize,
    /// The number of the last job of this class, counted over all classes.
    last_job: u64,
}

impl Class {
    fn new(name: &str, objectives: &[Objective]) -> Class {
        let of_class = objectives
            .iter()
            .filter(|objective| objective.class == name);
        Class {
            name: name.to_owned(),
            objectives: of_class.map(|objective| objective.target).collect(),
            run_time_ratio: 1.0,
            mean_tasks: 0.0,
            live_jobs: 0,
            last_job: 0,
        }
    }

    /// Returns whether nothing but its averages is lost if the class is forgotten.
    fn is_idle(&self) -> bool {
        self.live_jobs == 0 && self.objectives.is_empty()
    }

    /// Returns the service-level objectives of the class's jobs.
    pub(in crate::scheduler) fn objectives(&self) -> &[ObjectiveTarget] {
        &self.objectives
    }

    /// Returns the moving average of the tasks' run times, each divided by the owner's estimate.
    pub(in crate::scheduler) fn run_time_ratio(&self) -> f64 {
        self.run_time_ratio
    }

    /// Returns the moving average of the jobs' task counts.
    pub(in crate::scheduler) fn mean_tasks(&self) -> f64 {
        self.mean_tasks
    }
}

/// The classes, indexed by the number that is stored in their jobs. Users name classes, so those that are no longer
/// used are forgotten and their numbers are used again.
#[derive(Default)]
pub(in crate::scheduler) struct ClassTable {
    classes: Vec<Class>,
    job_count: u64,
}

impl ClassTable {
    /// Returns the number of the class with this name. Adds the class if it is new.
    pub(in crate::scheduler) fn number_of(
        &mut self,
        name: &str,
        objectives: &[Objective],
    ) -> usize {
        let known = self.classes.iter().position(|class| class.name == name);
        if let Some(number) = known {
            return number;
        }
        let class = Class::new(name, objectives);
        if let Some(number) = self.forgettable_class() {
            self.classes[number] = class;
            return number;
        }
        self.classes.push(class);
        self.classes.len() - 1
    }

    /// Returns the class whose last job is longest ago, if there are too many without live jobs.
    fn forgettable_class(&self) -> Option<usize> {
        let idle = || {
            let classes = self.classes.iter().enumerate();
            classes.filter(|(_, class)| class.is_idle())
        };
        if idle().count() < MAX_IDLE_CLASSES {
            return None;
        }
        let oldest = idle().min_by_key(|(_, class)| class.last_job);
        oldest.map(|(number, _)| number)
    }

    /// Returns the class with this number.
    pub(in crate::scheduler) fn get(&self, number: usize) -> Option<&Class> {
        self.classes.get(number)
    }

    /// Returns the service-level objectives of the class with this number.
    pub(in crate::scheduler) fn objectives(&self, number: usize) -> &[ObjectiveTarget] {
        self.get(number).map_or(&[][..], Class::objectives)
    }

    /// Records that a job with this number of tasks was submitted.
    pub(in crate::scheduler) fn job_added(&mut self, number: usize, tasks: u32) {
        self.job_count += 1;
        let Some(class) = self.classes.get_mut(number) else {
            return;
        };
        class.live_jobs += 1;
        class.last_job = self.job_count;
        let weight = match class.mean_tasks > 0.0 {
            true => MEAN_TASKS_WEIGHT,
            false => 1.0,
        };
        class.mean_tasks += (f64::from(tasks) - class.mean_tasks) * weight;
    }

    /// Records that a job has ended.
    pub(in crate::scheduler) fn job_removed(&mut self, number: usize) {
        if let Some(class) = self.classes.get_mut(number) {
            class.live_jobs = class.live_jobs.saturating_sub(1);
        }
    }

    /// Records a task's run time, given as a ratio to its owner's estimate.
    pub(in crate::scheduler) fn note_run_time(&mut self, number: usize, ratio: f64) {
        if let Some(class) = self.classes.get_mut(number) {
            class.run_time_ratio += (ratio - class.run_time_ratio) * RUN_TIME_WEIGHT;
        }
    }
}

#[cfg(test)]
mod tests;
