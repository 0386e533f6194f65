//! Machine pools that the cloud has refused machines of, and until when not to ask again.

use std::collections::HashMap;

use super::pool_key::MachinePoolKey;
use crate::time::Micros;

/// The backoff after the first refusal for want of capacity is twice this long, and doubles with each
/// further one.
const BASE_BACKOFF_SECONDS: u64 = 5;
/// Refusals after which the backoff doubles no more: others may return machines at any time.
const MAX_DOUBLINGS: u32 = 3;
/// The backoff after a refusal that says nothing of the pool's capacity.
const UNRELATED_BACKOFF: Micros = Micros::from_secs(2);

/// The refusals of one pool.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Micros,
    /// Refusals for want of capacity in a row.
    count: u32,
}

/// The pools that have been refused.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_pool: HashMap<MachinePoolKey, Refusal>,
}

impl Refusals {
    /// The cloud has no such machines now.
    pub(super) fn no_capacity(&mut self, pool: MachinePoolKey, now: Micros) {
        let refusal = self.by_pool.entry(pool).or_insert(Refusal {
            until: now,
            count: 0,
        });
        refusal.count = (refusal.count + 1).min(MAX_DOUBLINGS);
        let backoff = Micros::from_secs(BASE_BACKOFF_SECONDS << refusal.count);
        refusal.until = now.plus(backoff);
    }

    /// The cloud refused for another reason.
    pub(super) fn unrelated(&mut self, pool: MachinePoolKey, now: Micros) {
        let until = now.plus(UNRELATED_BACKOFF);
        self.by_pool.insert(pool, Refusal { until, count: 0 });
    }

    /// The cloud has such machines again.
    pub(super) fn clear(&mut self, pool: &MachinePoolKey) {
        self.by_pool.remove(pool);
    }

    /// Whether the pool is not to be asked for now.
    pub(super) fn is_refused(&self, pool: &MachinePoolKey, now: Micros) -> bool {
        let refusal = self.by_pool.get(pool);
        refusal.is_some_and(|refusal| refusal.until > now)
    }
}
