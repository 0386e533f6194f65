//! Which tasks to stop so that a more urgent one finds capacity: the cheapest loss first.

use crate::catalog::Resources;
use crate::time::Micros;

/// A task that may be stopped, and what stopping it loses.
#[derive(Clone, Debug)]
pub struct Victim<T> {
    /// The task.
    pub id: T,
    /// What it takes of its machine.
    pub need: Resources,
    /// Work lost, in thousandths of a processor times milliseconds.
    pub loss: u64,
}

/// The cheapest set of victims on one machine that frees `need`, and their loss; `None` if all of them are
/// not enough. `free` is what is free there now or will be once the tasks already being stopped are gone.
pub fn choose<T: Copy>(
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
    // Victims that turned out not to be needed are spared, the most expensive first.
    for at in (0..chosen.len()).rev() {
        let without = freed.minus(&chosen[at].need);
        if need.fits(&without) {
            freed = without;
            chosen.remove(at);
        }
    }
    let loss = chosen.iter().map(|victim| victim.loss).sum();
    Some((loss, chosen.into_iter().map(|victim| victim.id).collect()))
}

/// Work lost when `lost` of a task's run time has to be done again.
pub fn loss(cpu: u64, lost: Micros) -> u64 {
    cpu.saturating_mul(lost.0 / 1_000)
}
