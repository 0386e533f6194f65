//! Filter and score: where one task of a job goes on the present snapshot.

use crate::catalog::Catalog;
use crate::cluster::Machine;
use crate::job::{JobSpec, Kind};
use crate::time::Micros;

/// Lower is better. The unit is about a millisecond of delay, money counted alongside.
pub fn score(spec: &JobSpec, m: &Machine, now: Micros) -> u64 {
    let fetch = if m.has_image(&spec.image) {
        0
    } else {
        m.kind.fetch_time(spec.image_mb).0 / 1_000
    };
    // A task that could run on a spot machine leaves the ordinary ones to those that can't.
    let kind = if spec.spot && !m.spot { 2_000 } else { 0 };
    // Fill the fullest machine first, so that others become empty and can go back.
    let free = m.free();
    let room = 1_000 * free.cpu / m.kind.size.cpu.max(1);
    // A service on a machine that is about to be needed elsewhere would have to move.
    let young = if spec.kind == Kind::Service && now.since(m.up_since) < Micros::from_secs(5) {
        10
    } else {
        0
    };
    fetch + kind + room + young
}

/// Whether tasks of this job belong on machines of this type at all: accelerators are left to
/// those who need them wherever another type would do.
pub fn suits(spec: &JobSpec, gpu_type: bool, catalog: &Catalog) -> bool {
    if spec.need.gpu > 0 || !gpu_type {
        return true;
    }
    !catalog.types.iter().any(|t| {
        t.size.gpu == 0
            && spec.need.fits(&t.size)
            && spec
                .types
                .as_ref()
                .is_none_or(|ts| ts.iter().any(|n| *n == t.name))
    })
}
