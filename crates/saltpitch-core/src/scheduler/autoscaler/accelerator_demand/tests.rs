//! Tests of the needs that are kept.

use super::*;

fn need(cpu: u64, mem: u64) -> Resources {
    Resources {
        cpu,
        gpu: 1_000,
        mem,
    }
}

/// Guards against the kin of review/3 that a leader keeps the resources of every job that ever used accelerators.
#[test]
fn the_number_of_needs_is_bounded() {
    let mut demand = AcceleratorDemand::default();
    for size in 1..=10_000 {
        demand.add_need(need(size, size));
        // No two of these needs can be compared.
        demand.add_need(need(20_000 - size, 1 + size));
        assert!(
            demand.smallest_needs.len() <= MAX_NEEDS,
            "after {size} jobs"
        );
    }
}

/// Needs that are not kept change nothing: a machine is contested if any need fits.
#[test]
fn a_machine_is_contested_by_every_need_that_fits() {
    let needs: Vec<Resources> = (0..200)
        .map(|i| need(1 + i * 7 % 50, 1 + i * 11 % 60))
        .collect();
    let mut demand = AcceleratorDemand::default();
    for (count, added) in needs.iter().enumerate() {
        demand.add_need(*added);
        for size in (0..100).map(|i| need(i % 53, i * 3 % 61)) {
            let any_fits = needs[..=count].iter().any(|need| need.fits(&size));
            assert_eq!(demand.is_contested(&size), any_fits, "{size:?}");
        }
    }
}
