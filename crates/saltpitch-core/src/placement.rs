//! Scoring: which of the machines on which a task fits it is best placed on.

use crate::job::JobSpec;
use crate::machine::Machine;

/// Microseconds in the unit of the score, a millisecond of delay.
const MICROS_PER_POINT: u64 = 1_000;
/// What it costs to place a task that may run on a spot machine on an ordinary one: those are left to tasks
/// that can run nowhere else.
const ORDINARY_FOR_SPOT_PENALTY: u64 = 2_000;
/// What it costs to place a task on an empty machine rather than on a full one: bin packing empties others,
/// which can be returned.
const EMPTY_MACHINE_PENALTY: u64 = 1_000;
/// What it costs to place a task without accelerators beside some: they are left to those who need them as
/// long as there is other free capacity.
const UNUSED_ACCELERATORS_PENALTY: u64 = 15_000;

/// How well a task of this job is placed on the machine; lower is better. The unit is about a millisecond of
/// delay, with money counted alongside.
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
        ORDINARY_FOR_SPOT_PENALTY
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
