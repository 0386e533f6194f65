//! Tests of the classes that are kept.

use super::*;
use crate::time::Micros;

/// Guards against the kin of review/3 that a leader keeps every class of jobs that users ever named.
#[test]
fn classes_without_jobs_are_forgotten() {
    let objectives = [Objective {
        class: "gate".to_owned(),
        target: ObjectiveTarget::Started(Micros::from_secs(5)),
    }];
    let mut classes = ClassTable::default();
    let gate = classes.number_of("gate", &objectives);
    classes.job_added(gate, 3);
    classes.job_removed(gate);
    let live = classes.number_of("live", &objectives);
    classes.job_added(live, 7);
    for release in 0..10 * MAX_IDLE_CLASSES {
        let number = classes.number_of(&format!("release-{release}"), &objectives);
        assert!(number != gate && number != live, "the number is in use");
        classes.job_added(number, 1);
        classes.job_removed(number);
    }
    assert_eq!(classes.classes.len(), MAX_IDLE_CLASSES + 2);
    assert_eq!(classes.number_of("gate", &objectives), gate);
    assert_eq!(classes.objectives(gate).len(), 1);
    assert_eq!(classes.number_of("live", &objectives), live);
    assert_eq!(classes.get(live).map(Class::mean_tasks), Some(7.0));
}

/// A class that was used just now keeps its averages while others come and go.
#[test]
fn the_class_whose_last_job_is_longest_ago_is_forgotten_first() {
    let mut classes = ClassTable::default();
    for release in 0..4 * MAX_IDLE_CLASSES {
        for (name, tasks) in [("often".to_owned(), 5), (format!("release-{release}"), 1)] {
            let number = classes.number_of(&name, &[]);
            classes.job_added(number, tasks);
            classes.job_removed(number);
        }
    }
    let often = classes.number_of("often", &[]);
    assert_eq!(classes.get(often).map(Class::mean_tasks), Some(5.0));
}
