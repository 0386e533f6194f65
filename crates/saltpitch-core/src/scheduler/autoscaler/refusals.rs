//! The cloud's refusals by machine pool, and the backoff before the pool is requested again.

use std::collections::HashMap;

use super::pool_key::MachinePoolKey;
use crate::time::Micros;

/// The backoff after the first refusal for lack of capacity is twice this long, and doubles with each further
/// one.
const BASE_BACKOFF_SECONDS: u64 = 5;
/// The number of refusals after which the backoff no longer doubles, since other customers may return
/// machines at any time.
const MAX_DOUBLINGS: u32 = 3;
/// The backoff after a refusal that has nothing to do with the pool's capacity.
const OTHER_REFUSAL_BACKOFF: Micros = Micros::from_secs(2);

/// The latest refusals of one pool.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// When the backoff ends.
    until: Micros,
    /// The number of consecutive refusals for lack of capacity.
    count: u32,
}

/// The refusals by machine pool.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_pool: HashMap<MachinePoolKey, Refusal>,
}

impl Refusals {
    /// Records that the cloud has no machines of this pool now.
    pub(super) fn record_no_capacity(&mut self, pool: MachinePoolKey, now: Micros) {
        let refusal = self.by_pool.entry(pool).or_insert(Refusal {
            until: now,
            count: 0,
        });
        refusal.count = (refusal.count + 1).min(MAX_DOUBLINGS);
        let backoff = Micros::from_secs(BASE_BACKOFF_SECONDS << refusal.count);
        refusal.until = now.plus(backoff);
    }

    /// Records a refusal for a reason other than lack of capacity.
    pub(super) fn record_other_refusal(&mut self, pool: MachinePoolKey, now: Micros) {
        let until = now.plus(OTHER_REFUSAL_BACKOFF);
        self.by_pool.insert(pool, Refusal { until, count: 0 });
    }

    /// Removes the refusals of a pool for which the cloud has machines again.
    pub(super) fn clear(&mut self, pool: &MachinePoolKey) {
        self.by_pool.remove(pool);
    }

    /// Returns whether the pool's backoff has not ended yet.
    pub(super) fn is_refused(&self, pool: &MachinePoolKey, now: Micros) -> bool {
        let refusal = self.by_pool.get(pool);
        refusal.is_some_and(|refusal| refusal.until > now)
    }
}
