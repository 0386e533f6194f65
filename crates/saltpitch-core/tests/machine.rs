//! Tests of the components of a machine and of the machine index.

mod harness;

use harness::{catalog, heartbeat, secs, spec, Arc, Heartbeat, JobKind, Micros, Resources};
use saltpitch_core::machine::{
    AgentLease, AgentState, AnswerEvidence, CommandChannel, Cordon, InboundPartition, Lifecycle,
    LocalImages, Machine, MachinePhase, OutboundPartition, Probes, StatusContext,
};
use saltpitch_core::machine_index::MachineIndex;

const HEARTBEAT_FRESHNESS: Micros = Micros::from_secs(6);

/// Returns a machine that was ordered at second 1 and has not sent a heartbeat.
fn machine(name: &str) -> Machine {
    let machine_type = Arc::new(catalog().types[0].clone());
    Machine::new(
        name,
        machine_type,
        "east".into(),
        false,
        "10.0.0.1:80",
        secs(1),
    )
}

/// Returns a machine on which tasks may be placed.
fn ready_machine(name: &str) -> Machine {
    let mut machine = machine(name);
    machine.lifecycle.set_recorded();
    machine.status_received(&status(1, 1, 5), context(2));
    machine
}

fn status(agent_epoch: u64, sequence: u64, fencing_token: u64) -> Heartbeat {
    Heartbeat {
        agent_epoch,
        fencing_token,
        ..heartbeat("vm-1", "east", sequence, &[])
    }
}

/// Returns the context of a heartbeat that arrives at second `now`, in a leadership whose lowest token is 5.
fn context(now: u64) -> StatusContext {
    StatusContext {
        is_heartbeat: true,
        first_token: 5,
        lease: secs(14),
        heartbeat_freshness: HEARTBEAT_FRESHNESS,
        now: secs(now),
    }
}

/// Returns the evidence of a heartbeat that does not directly follow an answered one.
fn evidence(sequence: u64, fencing_token: u64) -> AnswerEvidence {
    AnswerEvidence {
        sequence,
        fencing_token,
        follows_answer: false,
    }
}

#[test]
fn a_return_is_requested_once_and_confirmed_once() {
    let mut lifecycle = Lifecycle::new(secs(1));
    assert!(lifecycle.register(secs(2)));
    assert!(
        !lifecycle.register(secs(3)),
        "the machine is registered already"
    );
    assert_eq!(lifecycle.up_since(), secs(2));
    assert!(!lifecycle.confirm_return(), "no return was requested");
    assert!(lifecycle.request_return());
    assert!(!lifecycle.request_return());
    assert_eq!(lifecycle.phase(), MachinePhase::ReturnRequested);
    assert!(lifecycle.confirm_return());
    assert!(!lifecycle.confirm_return());
    assert_eq!(lifecycle.phase(), MachinePhase::Returning);
    assert!(
        !lifecycle.register(secs(9)),
        "a returning machine is not registered again"
    );
    assert!(!lifecycle.request_return());
}

#[test]
fn only_a_token_of_this_leadership_fences_an_agent_and_does_so_once() {
    let mut agent = AgentState::default();
    assert!(!agent.token_observed(4, 5, secs(1)));
    assert!(!agent.is_fenced());
    assert!(agent.token_observed(5, 5, secs(2)));
    assert!(!agent.token_observed(6, 5, secs(3)));
    assert_eq!(agent.fenced_at(), Some(secs(2)));
    assert!(agent.has_seen_token(6));
    assert!(!agent.has_seen_token(7));
}

#[test]
fn a_new_epoch_resets_the_order_of_heartbeats() {
    let mut agent = AgentState::default();
    agent.status_received(&status(1, 7, 0));
    agent.heartbeat_answered(7);
    assert!(agent.is_stale_heartbeat(&status(1, 7, 0)));
    assert!(agent.follows_answer(&status(1, 8, 0)));
    assert!(!agent.is_newer(&status(1, 6, 0)));
    let first_of_second = status(2, 1, 0);
    assert!(agent.is_newer(&first_of_second));
    agent.status_received(&first_of_second);
    assert!(!agent.is_stale_heartbeat(&first_of_second));
    assert!(
        !agent.follows_answer(&status(2, 2, 0)),
        "no heartbeat of the new epoch was answered"
    );
}

#[test]
fn a_start_may_arrive_until_a_later_heartbeat_is_answered() {
    let mut agent = AgentState::default();
    agent.status_received(&status(1, 1, 0));
    agent.heartbeat_answered(1);
    agent.start_sent(1);
    assert!(agent.may_receive_start());
    agent.heartbeat_answered(2);
    assert!(!agent.may_receive_start());
}

#[test]
fn a_lease_counts_from_the_latest_possible_renewal() {
    let mut lease = AgentLease::default();
    assert_eq!(lease.expires_at(secs(10), secs(14)), secs(24));
    lease.epoch_observed(true, secs(12));
    assert_eq!(lease.expires_at(secs(10), secs(14)), secs(26));
    lease.epoch_observed(false, secs(13));
    assert_eq!(lease.expires_at(secs(10), secs(14)), secs(26));
    lease.renew(secs(20));
    lease.renew(secs(15));
    assert_eq!(lease.expires_at(secs(10), secs(14)), secs(34));
}

#[test]
fn an_unacknowledged_start_is_cleared_by_a_higher_token_or_a_new_epoch() {
    let mut commands = CommandChannel::default();
    commands.call_sent(secs(2), secs(10));
    assert!(!commands.is_ready(secs(60)), "a call is in flight");
    commands.call_ended();
    commands.back_off(secs(1), secs(11));
    assert!(!commands.is_ready(secs(11)));
    assert!(commands.is_ready(secs(12)));
    commands.start_unacknowledged(5);
    commands.token_observed(5);
    assert!(
        commands.has_unacknowledged_start(),
        "the token is not higher"
    );
    commands.token_observed(6);
    assert!(!commands.has_unacknowledged_start());
    commands.start_unacknowledged(6);
    commands.epoch_started();
    assert!(!commands.has_unacknowledged_start());
}

#[test]
fn two_ignored_answers_raise_the_suspicion_of_an_inbound_partition_and_heartbeats_confirm_it() {
    let mut inbound = InboundPartition::default();
    inbound.answer_sent(7, evidence(1, 5));
    inbound.heartbeat_received(evidence(2, 5), HEARTBEAT_FRESHNESS, secs(2));
    assert!(
        !inbound.is_suspected(),
        "a single answer may have been lost"
    );
    inbound.heartbeat_received(evidence(3, 5), HEARTBEAT_FRESHNESS, secs(4));
    assert_eq!(inbound.suspected_since(), Some(secs(4)));
    inbound.heartbeat_received(evidence(4, 5), HEARTBEAT_FRESHNESS, secs(6));
    assert!(!inbound.is_confirmed(secs(3), secs(6)));
    assert!(inbound.is_confirmed(secs(3), secs(8)));
    inbound.heartbeat_received(evidence(5, 7), HEARTBEAT_FRESHNESS, secs(9));
    assert!(!inbound.is_suspected(), "the agent has seen the token");
}

#[test]
fn failed_calls_count_only_if_no_answer_was_seen_recently() {
    let mut inbound = InboundPartition::default();
    let after_answer = AnswerEvidence {
        follows_answer: true,
        ..evidence(2, 5)
    };
    inbound.heartbeat_received(after_answer, HEARTBEAT_FRESHNESS, secs(2));
    inbound.direct_call_ended(false, HEARTBEAT_FRESHNESS, secs(3));
    inbound.direct_call_ended(false, HEARTBEAT_FRESHNESS, secs(4));
    assert!(!inbound.is_suspected());
    inbound.direct_call_ended(false, HEARTBEAT_FRESHNESS, secs(9));
    assert!(inbound.is_suspected());
    inbound.direct_call_ended(true, HEARTBEAT_FRESHNESS, secs(10));
    assert!(!inbound.is_suspected());
}

#[test]
fn an_outbound_partition_can_be_timed_again_and_is_evicted_once() {
    let mut outbound = OutboundPartition::default();
    assert!(outbound.detect(secs(5)));
    assert!(!outbound.detect(secs(7)));
    assert_eq!(outbound.duration(secs(9)), secs(4));
    outbound.reset_timer();
    assert_eq!(outbound.duration(secs(9)), Micros::ZERO);
    assert!(
        outbound.is_detected(),
        "the partition lasts until the next heartbeat"
    );
    assert!(outbound.begin_eviction());
    assert!(!outbound.begin_eviction());
}

#[test]
fn two_failed_probes_count_until_a_status_is_received() {
    let mut probes = Probes::default();
    probes.probe_sent(secs(1), secs(10));
    assert!(!probes.is_due(Micros(secs(11).0 - 1)));
    assert!(probes.is_due(secs(11)));
    probes.probe_failed();
    assert!(!probes.have_failed());
    probes.probe_sent(secs(1), secs(11));
    probes.probe_failed();
    assert!(probes.have_failed());
    assert_eq!(probes.last_failed_probe_sent_at(), secs(11));
    probes.status_received();
    assert!(!probes.have_failed());
}

#[test]
fn the_least_recently_used_image_is_removed_first() {
    let mut images = LocalImages::default();
    images.use_image("a", 40, 100, secs(1));
    images.use_image("b", 40, 100, secs(2));
    let unchanged = images.use_image("a", 40, 100, secs(3));
    assert!(unchanged.added.is_empty() && unchanged.removed.is_empty());
    let changes = images.use_image("c", 40, 100, secs(4));
    assert_eq!(changes.added, ["c"]);
    assert_eq!(changes.removed, ["b"]);
    assert_eq!(images.largest_mb(), 40);
}

#[test]
fn only_a_later_epoch_removes_restored_images() {
    let mut images = LocalImages::default();
    images.mark_restored(3);
    images.use_image("a", 40, 100, secs(1));
    assert!(images.epoch_observed(3).is_empty());
    assert!(
        images.epoch_observed(4).is_empty(),
        "epoch 3 was already observed"
    );
    images.mark_restored(3);
    assert_eq!(images.epoch_observed(4), ["a"]);
    assert!(!images.contains("a"));
}

#[test]
fn two_failed_jobs_cordon_a_machine_until_one_is_cleared() {
    let mut cordon = Cordon::default();
    assert!(!cordon.set_failed_job(1, true, 2));
    assert!(
        !cordon.set_failed_job(1, true, 2),
        "the same job counts once"
    );
    assert!(cordon.set_failed_job(2, true, 2));
    assert!(cordon.is_active());
    assert!(cordon.set_failed_job(1, false, 2));
    assert!(!cordon.is_active());
}

#[test]
fn a_machine_is_schedulable_once_it_is_registered_recorded_and_fenced() {
    let mut machine = machine("vm-1");
    let changes = machine.status_received(&status(1, 1, 4), context(2));
    assert!(changes.registered && !changes.fenced);
    machine.lifecycle.set_recorded();
    assert!(
        !machine.is_schedulable(),
        "an earlier leader may still start tasks there"
    );
    let changes = machine.status_received(&status(1, 2, 5), context(4));
    assert!(changes.fenced && !changes.registered);
    assert!(machine.is_schedulable());
    machine.connectivity.set_unresponsive(true);
    assert!(!machine.is_schedulable());
    machine.status_received(&status(1, 3, 5), context(6));
    assert!(machine.is_schedulable(), "a heartbeat arrived again");
    machine.cordon.activate();
    assert!(!machine.is_schedulable());
}

#[test]
fn allocations_and_resources_in_use_change_together() {
    let mut machine = ready_machine("vm-1");
    let array = spec(JobKind::Array, 2, 2);
    let service = spec(JobKind::Service, 1, 3);
    machine.allocations.add(1, 0, &array);
    machine.allocations.add(2, 0, &service);
    assert_eq!(machine.allocations.used().cpu, 5_000);
    assert_eq!(machine.free().cpu, 3_000);
    assert_eq!(machine.batch_cpu(), 5_000);
    machine.release(2, 0, &service, secs(9));
    assert_eq!(machine.batch_cpu(), 8_000);
    assert!(!machine.allocations.is_empty());
    machine.release(1, 0, &array, secs(10));
    assert!(machine.allocations.is_empty());
    assert_eq!(machine.allocations.used(), Resources::default());
    assert_eq!(machine.allocations.idle_since(), secs(10));
}

#[test]
fn a_search_continues_where_it_was_cut_short_and_is_repeated_after_free_capacity_increased() {
    let mut index = MachineIndex::default();
    let mut machines: Vec<Machine> = ["vm-1", "vm-2", "vm-3"].map(ready_machine).into();
    for machine in &mut machines {
        index.add(machine);
        index.update(machine);
    }
    let too_much_memory = Resources {
        cpu: 1_000,
        gpu: 0,
        mem: 64_000,
    };
    let group = &mut index.groups_mut()[0];
    assert_eq!(
        group.search(&too_much_memory, 2).steps,
        3,
        "the search is cut short"
    );
    assert!(
        group.search(&too_much_memory, 2).steps < 3,
        "the search continues with the remaining machines"
    );
    let whole = group.search(&too_much_memory, 10);
    assert_eq!(
        whole.steps, 4,
        "the whole group is searched, without a result"
    );
    assert_eq!(
        group.search(&too_much_memory, 10).steps,
        1,
        "the result is known"
    );
    let need = spec(JobKind::Array, 1, 2).need;
    let found = group.search(&need, 10);
    assert_eq!(found.machines, ["vm-1", "vm-2", "vm-3"].map(Arc::from));
    let machine = &mut machines[0];
    machine.allocations.add(1, 0, &spec(JobKind::Array, 1, 2));
    index.update(machine);
    let found = index.groups_mut()[0].search(&need, 10);
    assert_eq!(
        found.machines[0],
        Arc::from("vm-1"),
        "the fullest machine comes first"
    );
    machine.release(1, 0, &spec(JobKind::Array, 1, 2), secs(9));
    index.update(machine);
    let group = &mut index.groups_mut()[0];
    assert_eq!(
        group.search(&too_much_memory, 10).steps,
        4,
        "the free capacity has increased"
    );
}

#[test]
fn next_members_returns_the_machines_in_turn() {
    let mut index = MachineIndex::default();
    let mut machines: Vec<Machine> = ["vm-1", "vm-2", "vm-3"].map(ready_machine).into();
    for machine in &mut machines {
        index.add(machine);
    }
    let group = &mut index.groups_mut()[0];
    assert_eq!(group.next_members(2), ["vm-1", "vm-2"].map(Arc::from));
    assert_eq!(group.next_members(2), ["vm-3", "vm-1"].map(Arc::from));
    index.remove(&mut machines[1]);
    let group = &mut index.groups_mut()[0];
    assert_eq!(group.next_members(5), ["vm-3", "vm-1"].map(Arc::from));
}
