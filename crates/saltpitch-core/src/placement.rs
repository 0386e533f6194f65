//! Scoring: rates the machines on which a task fits, so that it is placed on the best one.

use crate::job::JobSpec;
use crate::machine::Machine;

/// Microseconds of delay that add one point to the score.
const MICROS_PER_POINT: u64 = 1_000;
/// The penalty for placing a task that may run on spot machines on an on-demand machine: these are left
/// to tasks that can't run anywhere else.
const ON_DEMAND_PENALTY: u64 = 2_000;
/// The penalty for placing a task on an empty machine rather than on a full one: bin packing empties other
/// machines, which can then be returned.
const EMPTY_MACHINE_PENALTY: u64 = 1_000;
/// The penalty for placing a task without accelerators on a machine that has some: these are left to
/// tasks that need accelerators, as long as there is other free capacity.
const UNUSED_ACCELERATORS_PENALTY: u64 = 15_000;

/// Returns how well a task of this job would be placed on the machine; lower is better. A point is about a
/// millisecond of delay; money is counted in the same unit.
pub fn score(spec: &JobSpec, machine: &Machine) -> u64 {
    fetch_penalty(spec, machine)
        + spot_penalty(spec, machine)
        + packing_penalty(machine)
        + accelerator_penalty(spec, machine)
}

fn fetch_penalty(spec: &JobSpec, machine: &Machine) -> u64 {
    if machine.images.contains(&spec.image) {
        0
    } else {
        machine.machine_type.fetch_time(spec.image_mb).0 / MICROS_PER_POINT
    }
}

fn spot_penalty(spec: &JobSpec, machine: &Machine) -> u64 {
    if spec.spot && !machine.spot {
        ON_DEMAND_PENALTY
    } else {
        0
    }
}

fn packing_penalty(machine: &Machine) -> u64 {
    EMPTY_MACHINE_PENALTY * machine.free().cpu / machine.machine_type.size.cpu.max(1)
}

fn accelerator_penalty(spec: &JobSpec, machine: &Machine) -> u64 {
    if spec.need.gpu == 0 && machine.machine_type.size.gpu > 0 {
        UNUSED_ACCELERATORS_PENALTY
    } else {
        0
    }
}
