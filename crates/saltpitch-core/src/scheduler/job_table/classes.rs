//! What is known of each class of jobs.

use crate::scheduler::{Objective, ObjectiveTarget};

/// How much a job's task count moves the mean of its class, once there is one.
const MEAN_TASKS_WEIGHT: f64 = 0.03;
/// How much one task's run time moves the ratio of its class.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// One class of jobs.
pub(in crate::scheduler) struct Class {
    name: String,
    objectives: Vec<ObjectiveTarget>,
    run_time_ratio: f64,
    mean_tasks: f64,
}

impl Class {
    /// The service-level objectives of its jobs.
    pub(in crate::scheduler) fn objectives(&self) -> &[ObjectiveTarget] {
        &self.objectives
    }

    /// Run times seen, divided by the owners' estimates.
    pub(in crate::scheduler) fn run_time_ratio(&self) -> f64 {
        self.run_time_ratio
    }

    /// The mean task count of its jobs, the later ones counting more.
    pub(in crate::scheduler) fn mean_tasks(&self) -> f64 {
        self.mean_tasks
    }
}

/// All classes, by the number that their jobs carry.
#[derive(Default)]
pub(in crate::scheduler) struct ClassTable {
    classes: Vec<Class>,
}

impl ClassTable {
    /// The number of a class, which is added if it is new.
    pub(in crate::scheduler) fn number_of(
        &mut self,
        name: &str,
        objectives: &[Objective],
    ) -> usize {
        let known = self.classes.iter().position(|class| class.name == name);
        if let Some(number) = known {
            return number;
        }
        let own = objectives.iter().filter(|own| own.class == name);
        self.classes.push(Class {
            name: name.to_owned(),
            objectives: own.map(|objective| objective.target).collect(),
            run_time_ratio: 1.0,
            mean_tasks: 0.0,
        });
        self.classes.len() - 1
    }

    /// The class with this number.
    pub(in crate::scheduler) fn get(&self, number: usize) -> Option<&Class> {
        self.classes.get(number)
    }

    /// The service-level objectives of a class.
    pub(in crate::scheduler) fn objectives(&self, number: usize) -> &[ObjectiveTarget] {
        self.get(number).map_or(&[][..], Class::objectives)
    }

    /// A job with so many tasks was submitted.
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

    /// A task ran for this many times its owner's estimate.
    pub(in crate::scheduler) fn note_run_time(&mut self, number: usize, ratio: f64) {
        if let Some(class) = self.classes.get_mut(number) {
            class.run_time_ratio += (ratio - class.run_time_ratio) * RUN_TIME_WEIGHT;
        }
    }
}
