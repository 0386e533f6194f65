//! The classes of jobs, with their service-level objectives and their averages of run time and task count.

use crate::scheduler::{Objective, ObjectiveTarget};

/// The weight of a new job in the moving average of its class's task counts. The first job sets the average.
const MEAN_TASKS_WEIGHT: f64 = 0.03;
/// The weight of one task in the moving average of its class's run time ratio.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// A class of jobs.
pub(in crate::scheduler) struct Class {
    name: String,
    objectives: Vec<ObjectiveTarget>,
    run_time_ratio: f64,
    mean_tasks: f64,
}

impl Class {
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

/// All classes, indexed by the number that is stored in their jobs.
#[derive(Default)]
pub(in crate::scheduler) struct ClassTable {
    classes: Vec<Class>,
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
        let of_class = objectives
            .iter()
            .filter(|objective| objective.class == name);
        self.classes.push(Class {
            name: name.to_owned(),
            objectives: of_class.map(|objective| objective.target).collect(),
            run_time_ratio: 1.0,
            mean_tasks: 0.0,
        });
        self.classes.len() - 1
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
    pub(in crate::scheduler) fn note_job(&mut self, number: usize, tasks: u32) {
        let Some(class) = self.classes.get_mut(number) else {
            return;
        };
        let weight = match class.mean_tasks > 0.0 {
            true => MEAN_TASKS_WEIGHT,
            false => 1.0,
        };
        class.mean_tasks += (f64::from(tasks) - class.mean_tasks) * weight;
    }

    /// Records a task's run time, given as a ratio to its owner's estimate.
    pub(in crate::scheduler) fn note_run_time(&mut self, number: usize, ratio: f64) {
        if let Some(class) = self.classes.get_mut(number) {
            class.run_time_ratio += (ratio - class.run_time_ratio) * RUN_TIME_WEIGHT;
        }
    }
}
