//! Tests of scale-out while ordered machines come up late or never, or while many machines can't be heard.

mod harness;

use harness::site::Site;
use harness::*;

/// The boot time of the only machine type, in seconds.
const BOOT_S: u64 = 10;

/// A leader whose cloud grants every scale-out request, and the machines that came up.
struct ProvisioningSite {
    site: Site,
}

/// Returns how many seconds after its order a machine comes up, or `None` if it never does.
type ProvisioningTime = fn(machine: usize, zone: &str) -> Option<u64>;

impl ProvisioningSite {
    fn new() -> ProvisioningSite {
        let mut config = config();
        config.teams[0].cpu_max = 0;
        let mut harness = SchedulerHarness::with_config(config, |_| {}, secs(0));
        harness.cloud_grants_requests = true;
        ProvisioningSite {
            site: Site::new(harness, 0),
        }
    }

    /// Runs for `count` seconds. Machines that have come up send heartbeats, and tasks run forever.
    fn run_seconds(&mut self, count: u64, provisioning_time: ProvisioningTime) {
        for _ in 0..count {
            let now = self.site.harness.now;
            for (number, machine) in self
                .site
                .harness
                .ordered_machines
                .clone()
                .into_iter()
                .enumerate()
            {
                let duration = provisioning_time(number, &machine.zone).map(secs);
                if duration.is_some_and(|duration| now >= machine.ordered_at.plus(duration)) {
                    self.site.add_machine(&machine.name, &machine.zone);
                }
            }
            self.site.step(|_, _, _, _| None);
        }
    }

    /// Returns how many machines were ordered.
    fn ordered_machine_count(&self) -> usize {
        self.site.harness.ordered_machines.len()
    }

    /// Returns how many machines were ordered in this zone.
    fn ordered_in(&self, zone: &str) -> usize {
        let all = self.site.harness.ordered_machines.iter();
        all.filter(|m| m.zone == zone).count()
    }
}

/// Returns a service of `count` replicas, each of which fills a machine.
fn replicas(count: u32) -> JobSpec {
    JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, count, 8)
    }
}

/// One of ten machines never comes up. After the time in which the others came up it no longer counts as pending
/// capacity, another machine is ordered, and it is returned once that one is up. Otherwise a replica would wait
/// forever.
#[test]
fn a_machine_that_never_comes_up_is_replaced_and_returned() {
    let mut provisioning = ProvisioningSite::new();
    provisioning.site.harness.submit("web", replicas(10));
    let all_but_one: ProvisioningTime = |machine, _| (machine != 3).then_some(BOOT_S);
    provisioning.run_seconds(14, all_but_one);
    // This test found a fault in which machines that had just come up were ordered once more.
    assert_eq!(provisioning.ordered_machine_count(), 10);
    provisioning.run_seconds(10, all_but_one);
    assert_eq!(
        provisioning.ordered_machine_count(),
        11,
        "a replacement is ordered"
    );
    provisioning.run_seconds(16, all_but_one);
    let missing = provisioning.site.harness.ordered_machines[3].name.clone();
    assert!(
        provisioning
            .site
            .harness
            .returned_machines
            .contains(&missing),
        "the machine that never came up is returned"
    );
    assert_eq!(
        provisioning.ordered_machine_count(),
        11,
        "only one replacement is ordered"
    );
}

/// In one zone no machine comes up. Once the first machines there are overdue, machines are ordered elsewhere, except
/// for two at a time, which show when the zone works again.
#[test]
fn scale_out_avoids_a_zone_where_no_machine_comes_up() {
    let mut provisioning = ProvisioningSite::new();
    provisioning.site.harness.submit("web", replicas(20));
    let east_boots: ProvisioningTime = |_, zone| (zone == "east").then_some(BOOT_S);
    provisioning.run_seconds(20, east_boots);
    let before = provisioning.ordered_in("west");
    assert!(
        before >= 5,
        "{before} of 20 machines were ordered in the zone"
    );
    provisioning.run_seconds(60, east_boots);
    let probes = provisioning.ordered_in("west") - before;
    assert!(
        (1..=10).contains(&probes),
        "{probes} more machines were ordered in the zone in a minute"
    );
    assert!(
        provisioning.site.machine_count() >= 20,
        "{} machines are up",
        provisioning.site.machine_count()
    );
    // The zone works again, which the two machines ordered at a time show.
    provisioning.site.harness.submit("more", replicas(20));
    provisioning.run_seconds(60, |_, _| Some(BOOT_S));
    assert!(provisioning.ordered_in("west") - before - probes >= 5);
}

/// All machines come up late. None of them may be returned for that, or the wait would start again each time.
#[test]
fn machines_are_not_returned_when_all_of_them_are_late() {
    let mut provisioning = ProvisioningSite::new();
    provisioning.site.harness.submit("web", replicas(10));
    let late: ProvisioningTime = |_, _| Some(3 * BOOT_S);
    provisioning.run_seconds(36, late);
    let first_machines: Vec<String> = provisioning.site.harness.ordered_machines[..10]
        .iter()
        .map(|m| m.name.clone())
        .collect();
    assert!(first_machines
        .iter()
        .all(|name| provisioning.site.has_machine(name)));
    assert!(provisioning
        .site
        .harness
        .returned_machines
        .iter()
        .all(|name| !first_machines.contains(name)));
    // The number of replacements ordered in the meantime is limited.
    assert!(
        provisioning.ordered_machine_count() <= 24,
        "{} machines were ordered",
        provisioning.ordered_machine_count()
    );
}

/// A machine that comes up after it was replaced and returned gets no tasks, and its heartbeats are not answered. Its
/// return is repeated until the cloud has confirmed it, or the machine would cost money without being used.
#[test]
fn a_machine_that_comes_up_after_its_replacement_is_returned() {
    let mut provisioning = ProvisioningSite::new();
    provisioning.site.harness.submit("web", replicas(6));
    let one_very_late: ProvisioningTime = |machine, _| Some(if machine == 2 { 33 } else { BOOT_S });
    provisioning.run_seconds(30, one_very_late);
    let late_machine = provisioning.site.harness.ordered_machines[2].clone();
    provisioning.run_seconds(40, one_very_late);
    let heartbeat = heartbeat(&late_machine.name, &late_machine.zone, 1_000, &[]);
    let answer = provisioning.site.harness.scheduler.heartbeat_received(
        heartbeat,
        false,
        provisioning.site.harness.now,
    );
    assert!(provisioning
        .site
        .harness
        .returned_machines
        .contains(&late_machine.name));
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against a failure seen in an incident: a leader that was partitioned from its agents took their capacity for
/// lost, and ordered hundreds of machines in the seconds before it resigned.
#[test]
fn a_leader_partitioned_from_its_agents_does_not_scale_out() {
    let mut provisioning = ProvisioningSite::new();
    provisioning.site.harness.submit("web", replicas(20));
    let all_come_up: ProvisioningTime = |_, _| Some(BOOT_S);
    provisioning.run_seconds(40, all_come_up);
    // From here on no heartbeat arrives, and probes fail.
    let run_partitioned_second = |provisioning: &mut ProvisioningSite| {
        provisioning.site.harness.advance(secs(1));
        let now = provisioning.site.harness.now;
        for machine in provisioning.site.harness.ordered_machines.clone() {
            provisioning
                .site
                .harness
                .scheduler
                .probe_failed(&machine.name, now);
        }
    };
    for _ in 0..5 {
        run_partitioned_second(&mut provisioning);
    }
    let before = provisioning.site.harness.requested_machine_count;
    provisioning
        .site
        .harness
        .submit("batch", spec(JobKind::Array, 400, 4));
    for _ in 0..8 {
        run_partitioned_second(&mut provisioning);
    }
    assert_eq!(provisioning.site.harness.requested_machine_count, before);
    // After a lease the tasks on these machines are lost and have to run elsewhere.
    for _ in 0..12 {
        run_partitioned_second(&mut provisioning);
    }
    assert!(provisioning.site.harness.requested_machine_count > before);
}

/// One job may use any number of machines, and each is ordered once. Guards against two earlier faults: at most 400
/// machines were pending for one job, and beyond 64 machines of one type and zone the pending ones were ordered once
/// more.
#[test]
fn a_job_of_a_thousand_machines_gets_exactly_that_many() {
    let mut provisioning = ProvisioningSite::new();
    // One processor remains free on each machine.
    let job = JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, 1_000, 7)
    };
    provisioning.site.harness.submit("web", job);
    provisioning.run_seconds(9, |_, _| None);
    assert_eq!(provisioning.ordered_machine_count(), 1_000);
}
