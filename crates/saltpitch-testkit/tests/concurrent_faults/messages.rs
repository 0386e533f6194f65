//! Late, held and repeated messages that meet a change of leader.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

use crate::common::{all_over, at_work, disturb, plain, run, secs};

#[test]
fn late_writes_after_newer_ones_of_the_same_leader_break_no_invariant() {
    for seed in 140..148 {
        let (mut w, ids, leader) = at_work(seed, 3);
        w.delayed_writes_until = w.now.plus(secs(40));
        for round in 0..6 {
            disturb(&mut w, seed, round);
            run(&mut w, seed, 45 + round * 7);
            if round == 2 {
                w.cancel(&ids[0]);
            }
            if round == 4 && seed % 2 == 0 {
                w.crash_for(leader, Micros::from_millis(300));
            }
        }
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// The same, and the leader ends some time after: what the late ones did to the records is what the next
/// one goes by.
#[test]
fn failover_after_late_writes_breaks_no_invariant() {
    for seed in 400..424 {
        let (mut w, _, leader) = at_work(seed, 2);
        w.delayed_writes_until = w.now.plus(secs(5));
        for round in 0..5 {
            disturb(&mut w, seed, round);
            let spec = plain(&mut w, JobKind::Array, 3, 40);
            w.submit(&format!("job-9{seed:03}{round}0"), spec);
            run(&mut w, seed, 41 + round);
        }
        run(&mut w, seed, 47 + seed % 14);
        w.crash_for(leader, secs(5));
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// A heartbeat from an earlier epoch, and one of an earlier attempt, come after newer ones.
#[test]
fn old_heartbeats_after_newer_ones_change_nothing() {
    for seed in 160..168 {
        let (mut w, ids, leader) = at_work(seed, 3);
        let name = (w.agents.values())
            .find(|m| !m.is_gone && m.tasks.values().any(|h| h.counts_as_running()))
            .map(|m| m.name.clone())
            .expect("one at work");
        let old = w.agents[&name].newest_heartbeat();
        // Its lease runs out and its tasks go elsewhere, or it is cancelled, or both.
        w.agents
            .get_mut(&name)
            .expect("there")
            .inbound_partition_until = w.now.plus(secs(17));
        if seed % 2 == 0 {
            w.cancel(&ids[0]);
        }
        for at in [44, 56, 60, 70, 90] {
            run(&mut w, seed, at);
            let n = w.leader().unwrap_or(leader);
            w.deliver_duplicate(n, old.clone());
        }
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// Starts, stops and their answers are held up while the machine hangs; then it goes on.
#[test]
fn commands_delayed_by_a_hanging_machine_break_no_invariant() {
    for seed in 170..178 {
        let (mut w, ids, _) = at_work(seed, 3);
        let busy: Vec<String> = w.agents.keys().take(3).cloned().collect();
        disturb(&mut w, seed, 0);
        let placed = w.now.plus(Micros::from_millis(100 * (1 + seed % 8)));
        while w.now < placed {
            w.step().expect("no rule is broken");
        }
        for name in &busy {
            let until = w.now.plus(secs(4 + seed % 9));
            w.agents.get_mut(name).expect("there").hung_until = until;
        }
        w.cancel(&ids[0]);
        run(&mut w, seed, 44);
        w.cancel(&ids[1]);
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// Direct commands that stay without an answer and are carried out up to twenty seconds later, starts of
/// jobs that are cancelled meanwhile among them.
#[test]
fn commands_executed_after_their_timeout_break_no_invariant() {
    for seed in 430..446 {
        let losses = Faults {
            lost_answers: true,
            ..Faults::default()
        };
        let mut w = Simulation::new(seed, losses, Micros::ZERO);
        run(&mut w, seed, 5);
        for t in 0..30u64 {
            let id = format!("job-{seed:03}{t:02}0");
            let kind = if t % 4 == 0 {
                JobKind::Gang
            } else {
                JobKind::Array
            };
            let spec = plain(&mut w, kind, 2, 8);
            w.submit(&id, spec);
            run(&mut w, seed, 6 + t * 2);
            if t % 2 == 0 {
                w.cancel(&id);
            }
            if t % 10 == 9 {
                if let Some(m) = w.agents.values_mut().find(|m| !m.is_gone) {
                    m.hung_until = w.now.plus(secs(5));
                }
            }
        }
        w.heal();
        run(&mut w, seed, 600);
        all_over(&w, seed);
    }
}

/// The store answers slowly, then refuses the leader alone, then all, while users cancel and ask.
#[test]
fn cancellations_while_the_store_is_slow_then_refuses_the_leader_then_all_hold() {
    for seed in 180..188 {
        let (mut w, ids, leader) = at_work(seed, 5);
        w.delayed_writes_until = w.now.plus(secs(6));
        w.cancel(&ids[0]);
        disturb(&mut w, seed, 0);
        run(&mut w, seed, 45);
        w.cancel(&ids[1]);
        w.nodes[leader].store_partition_until = w.now.plus(secs(2 + seed % 12));
        run(&mut w, seed, 46);
        w.cancel(&ids[2]);
        run(&mut w, seed, 47);
        w.store.is_down = true;
        run(&mut w, seed, 47 + 60);
        w.store.is_down = false;
        w.cancel(&ids[3]);
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// A heartbeat is held back until a new leader has acted on what it knows, and then arrives there.
#[test]
fn heartbeats_delivered_after_a_failover_break_no_invariant() {
    for seed in 260..270 {
        let (mut w, ids, leader) = at_work(seed, 4);
        let held: Vec<_> = w.agents.values().map(|m| m.newest_heartbeat()).collect();
        w.crash_for(leader, secs(5));
        w.cancel(&ids[0]);
        run(&mut w, seed, 48 + seed % 10);
        disturb(&mut w, seed, 0);
        w.cancel(&ids[1]);
        for i in 0..4 {
            run(&mut w, seed, 60 + i * 5);
            if let Some(n) = w.leader() {
                for r in &held {
                    w.deliver_duplicate(n, r.clone());
                }
            }
        }
        run(&mut w, seed, 1_500);
        all_over(&w, seed);
    }
}
