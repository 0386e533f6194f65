//! Filter and score: where one task of a job goes on the present snapshot.

use crate::job::JobSpec;
use crate::machine::Machine;

/// Lower is better. The unit is about a millisecond of delay, money counted alongside.
pub fn score(spec: &JobSpec, machine: &Machine) -> u64 {
    let fetch = if machine.images.contains(&spec.image) {
        0
    } else {
        machine.kind.fetch_time(spec.image_mb).0 / 1_000
    };
    // A task that could run on a spot machine leaves the ordinary ones to those that can't.
    let kind = if spec.spot && !machine.spot { 2_000 } else { 0 };
    // Fill the fullest machine first, so that others become empty and can go back.
    let free = machine.free();
    let room = 1_000 * free.cpu / machine.kind.size.cpu.max(1);
    // Accelerators are left to those who need them as long as there is other room.
    let gpu = if spec.need.gpu == 0 && machine.kind.size.gpu > 0 {
        15_000
    } else {
        0
    };
    fetch + kind + room + gpu
}
