//! Nodes are replaced while jobs run and troubles come: both versions lead after one another on each
//! other's records, what dies before its turn comes back old, and then the store's limits fall.

use saltpitch_core::job::Kind;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, World};

fn upgrade(seed: u64, faults: Faults, limits: (usize, usize, u32)) -> Result<World, String> {
    let mut w = World::new(seed, faults, Micros::from_secs(150));
    w.next_limits = Some(limits);
    for n in &mut w.nodes {
        n.old = true;
    }
    let mut ids: Vec<String> = Vec::new();
    for i in 0..60u64 {
        w.run(Micros::from_secs(i * 3))?;
        // One after the other, the leader at a different turn in each history.
        if matches!(i, 12 | 20 | 28) {
            let n = ((i / 8 + seed) % 3) as usize;
            w.crash(n);
            w.nodes[n].old = false;
        }
        if i == 36 {
            assert!(w.nodes.iter().all(|n| !n.old));
            w.store.limits = Some(limits);
        }
        let id = format!("job-{seed:03}{i:03}0");
        let mut spec = w.draw_job();
        // Nothing new is asked of the service before all have the new version.
        if i > 30 && spec.kind != Kind::Service && w.luck(3) == 0 {
            let at = w.luck(ids.len() as u64) as usize;
            let named = ids.get(at).filter(|n| w.jobs[*n].accepted);
            let named = named.filter(|n| w.jobs[*n].spec.kind != Kind::Service);
            spec.needs.extend(named.cloned());
        }
        w.submit(&id, spec);
        ids.push(id);
        if w.luck(5) == 0 {
            let at = w.luck(ids.len() as u64) as usize;
            w.cancel(&ids[at].clone());
        }
    }
    w.heal();
    w.run(Micros::from_secs(400))?;
    for id in &ids {
        if w.jobs[id].spec.kind == Kind::Service || w.jobs[id].mistaken {
            w.cancel(id);
        }
    }
    w.run(Micros::from_secs(800))?;
    for (id, j) in w.jobs.iter().filter(|(_, j)| j.accepted) {
        let off = j.cancelled_at.or(j.withdrawn_at).is_some();
        if off && w.running(id) > 0 {
            return Err(format!("{id} was cancelled and still runs"));
        }
        if !off && j.spec.kind != Kind::Service && !w.is_done(id) {
            return Err(format!("{id} is not done"));
        }
    }
    Ok(w)
}

fn many(seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        // A description of a job still fits; a third of the operations and changes are left.
        let end = upgrade(seed, faults, (700, 3, 20));
        let w = end.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(w.store.rejected <= 3, "seed {seed}: {}", w.store.rejected);
    }
}

#[test]
fn nodes_are_replaced_and_then_the_limits_fall() {
    many(0..8, Faults::default());
}

#[test]
fn nodes_are_replaced_while_others_crash_and_come_back_old() {
    let f = Faults {
        crashes: true,
        machines: true,
        ..Faults::default()
    };
    many(20..30, f);
}

#[test]
fn nodes_are_replaced_through_outages_cuts_and_lost_answers() {
    let f = Faults {
        cuts: true,
        outages: true,
        losses: true,
        late_writes: true,
        ..Faults::default()
    };
    many(40..50, f);
}
