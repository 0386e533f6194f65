//! Selects the tasks to stop so that a more urgent one finds capacity, those with the smallest loss first.

use crate::catalog::Resources;
use crate::time::Micros;

/// A task that may be stopped, and the work that is lost by stopping it.
#[derive(Clone, Debug)]
pub struct Victim<T> {
    /// The task.
    pub id: T,
    /// The resources that it uses on its machine.
    pub need: Resources,
    /// The lost work, in thousandths of a processor times milliseconds.
    pub loss: u64,
}

/// Selects a cheap set of victims on one machine that frees `need`, and returns their loss and the
/// victims; `None` if all of them are not enough. `free` is the capacity that is free there now or
/// will be once the tasks that are already being stopped are gone.
pub fn cheapest_victims<T: Copy>(
    need: &Resources,
    free: Resources,
    victims: &mut [Victim<T>],
) -> Option<(u64, Vec<T>)> {
    if need.fits(&free) {
        return Some((0, Vec::new()));
    }
    victims.sort_by_key(|victim| victim.loss);
    let mut freed = free;
    let mut chosen: Vec<&Victim<T>> = Vec::new();
    for victim in victims.iter() {
        freed = freed.plus(&victim.need);
        chosen.push(victim);
        if need.fits(&freed) {
            break;
        }
    }
    if !need.fits(&freed) {
        return None;
    }
    // Removes victims that are not needed after all, those with the largest loss first.
    for index in (0..chosen.len()).rev() {
        let freed_without = freed.minus(&chosen[index].need);
        if need.fits(&freed_without) {
            freed = freed_without;
            chosen.remove(index);
        }
    }
    let loss = chosen.iter().map(|victim| victim.loss).sum();
    Some((loss, chosen.into_iter().map(|victim| victim.id).collect()))
}

/// Returns the work that is lost when `lost_time` of a task's run time has to be repeated.
pub fn lost_work(cpu: u64, lost_time: Micros) -> u64 {
    cpu.saturating_mul(lost_time.0 / 1_000)
}
