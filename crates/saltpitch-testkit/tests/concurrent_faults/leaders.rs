//! Changes of leader that meet outages, restarts and each other.

use saltpitch_core::Micros;

use crate::common::{all_over, at_work, disturb, run, secs};

/// An outage common to all costs no task its lease, however long it lasts.
#[test]
fn a_store_outage_common_to_all_expires_no_lease() {
    for seed in 20..24 {
        let (mut w, ids, leader) = at_work(seed, 4);
        w.store.is_down = true;
        run(&mut w, seed, 40 + 150);
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        assert!(w.agents.values().all(|m| m.is_gone || m.agent_epoch == 1));
        for id in &ids {
            assert!(w.running_tasks(id) > 0, "seed {seed}: {id} was lost");
        }
        w.store.is_down = false;
        run(&mut w, seed, 230);
    }
}

#[test]
fn ten_failovers_in_two_minutes_with_an_outage_break_no_invariant() {
    for seed in 100..106 {
        let (mut w, _, _) = at_work(seed, 2);
        for round in 0..10 {
            let at = 40 + round * 12;
            disturb(&mut w, seed, round);
            // Two of the changes fall into an outage.
            w.store.is_down = matches!(round, 4 | 5);
            if let Some(n) = w.leader() {
                let wait = w.random_below(9_000);
                w.crash_for(n, Micros::from_millis(200 + wait));
            }
            run(&mut w, seed, at + 12);
        }
        w.store.is_down = false;
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

#[test]
fn failover_and_back_then_a_restart_of_all_breaks_no_invariant() {
    for seed in 110..116 {
        let (mut w, _, first) = at_work(seed, 2);
        disturb(&mut w, seed, 0);
        w.crash_for(first, secs(5));
        run(&mut w, seed, 52);
        disturb(&mut w, seed, 1);
        let second = w.leader().expect("a leader");
        w.crash_for(second, secs(5));
        run(&mut w, seed, 60);
        disturb(&mut w, seed, 2);
        let last = w.leader().unwrap_or(first);
        for n in 0..3 {
            let wait = if n == last { 300 } else { 9_000 };
            w.crash_for(n, Micros::from_millis(wait));
        }
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// A job is done when its last task is, whoever leads by then.
#[test]
fn a_job_whose_tasks_end_across_a_failover_is_done() {
    for seed in 190..198 {
        let (mut w, ids, leader) = at_work(seed, 4);
        // The first tasks end now, the second ones half a minute later.
        let now = w.now;
        for m in w.agents.values_mut() {
            for ((id, _), h) in m.tasks.iter_mut().filter(|(_, h)| h.counts_as_running()) {
                h.phase_ends_at = now.plus(secs(if id.1 == 0 { 1 } else { 30 + seed % 5 }));
            }
        }
        let wait = 1_000 + w.random_below(2_500);
        let at = w.now.plus(Micros::from_millis(wait));
        while w.now < at {
            w.step().expect("no rule is broken");
        }
        w.crash_for(leader, secs(5));
        run(&mut w, seed, 55);
        for id in &ids {
            assert!(!w.is_done(id), "seed {seed}: {id} is not over");
        }
        run(&mut w, seed, 120);
        all_over(&w, seed);
    }
}

#[test]
fn all_controllers_down_for_longer_than_a_lease_break_no_invariant() {
    for seed in 310..318 {
        let (mut w, ids, _) = at_work(seed, 4);
        w.cancel(&ids[0]);
        let away = 15 + (seed % 4) * 10;
        for n in 0..3 {
            w.crash_for(n, secs(away + n as u64));
        }
        run(&mut w, seed, 40 + away + 10);
        w.cancel(&ids[1]);
        run(&mut w, seed, 1_500);
        all_over(&w, seed);
    }
}

/// A leader in a zone cut off goes on with its agents there; the next one ends at once, comes back,
/// and leads again. That nobody led in between proves nothing of the first: what runs in its zone counts
/// until that one can have answered nobody any more.
#[test]
fn two_failovers_while_the_first_leader_still_answers_break_no_invariant() {
    let mut played = 0;
    for seed in 340..376 {
        let (mut w, _, first) = at_work(seed, 4);
        // The zone in which no other node is.
        if w.nodes[first].zone != "west" {
            continue;
        }
        played += 1;
        let until = w.now.plus(secs(34));
        w.zone_partition_until = until;
        w.nodes[first].store_partition_until = until;
        let at = w.now.plus(secs(12));
        while w.now < at && (0..3).all(|n| n == first || !w.nodes[n].may_answer(w.now)) {
            w.step().expect("no rule is broken");
        }
        let second = (0..3).find(|n| *n != first && w.nodes[*n].may_answer(w.now));
        w.crash_for(second.expect("a second leader"), Micros::from_millis(300));
        run(&mut w, seed, 110);
        run(&mut w, seed, 1_500);
        all_over(&w, seed);
    }
    assert!(played >= 4, "{played} histories began in that zone");
}
