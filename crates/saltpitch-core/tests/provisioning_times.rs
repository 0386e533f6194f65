//! Machines that come up late or never, and what is ordered while many cannot be heard.

mod harness;

use harness::site::Site;
use harness::*;

/// The boot time of the only type.
const BOOT: u64 = 10;

/// A leader whose cloud gives what it is asked for, and the machines that came up.
struct Cloud {
    site: Site,
}

/// Whether, and how many seconds after its order, a machine comes up.
type Boots = fn(machine: usize, zone: &str) -> Option<u64>;

impl Cloud {
    fn new() -> Cloud {
        let mut config = config();
        config.teams[0].cpu_max = 0;
        let mut harness = SchedulerHarness::with(config, |_| {}, secs(0));
        harness.cloud_answers = true;
        Cloud {
            site: Site::new(harness, 0),
        }
    }

    /// Lets seconds pass; machines that have booted heartbeat, tasks run for ever.
    fn seconds(&mut self, count: u64, boots: Boots) {
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
                let took = boots(number, &machine.zone).map(secs);
                if took.is_some_and(|took| now >= machine.at.plus(took)) {
                    self.site.join(&machine.name, &machine.zone);
                }
            }
            self.site.step(|_, _, _, _| None);
        }
    }

    fn ordered_machines(&self) -> usize {
        self.site.harness.ordered_machines.len()
    }

    fn ordered_in(&self, zone: &str) -> usize {
        let all = self.site.harness.ordered_machines.iter();
        all.filter(|m| m.zone == zone).count()
    }
}

/// A service of so many replicas, each of which takes a machine.
fn replicas(count: u32) -> JobSpec {
    JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, count, 8)
    }
}

/// One of ten machines never comes up. It is no longer counted on after the time in which the others
/// came up, another one is ordered, and it goes back once that one is up.
#[test]
fn a_machine_that_never_comes_up_is_replaced_and_returned() {
    let mut cloud = Cloud::new();
    cloud.site.harness.submit("web", replicas(10));
    let all_but_one: Boots = |machine, _| (machine != 3).then_some(BOOT);
    cloud.seconds(14, all_but_one);
    // Found with this test: those that had just come up were ordered once more.
    assert_eq!(cloud.ordered_machines(), 10);
    cloud.seconds(10, all_but_one);
    assert_eq!(cloud.ordered_machines(), 11, "ordered again");
    cloud.seconds(16, all_but_one);
    let lost = cloud.site.harness.ordered_machines[3].name.clone();
    assert!(
        cloud.site.harness.returns.contains(&lost),
        "it costs no more"
    );
    assert_eq!(cloud.ordered_machines(), 11, "once");
}

/// In one zone nothing boots: after the first machines there are overdue, commands go elsewhere but for
/// two at a time, which show when it boots again.
#[test]
fn scale_out_avoids_a_zone_where_nothing_boots() {
    let mut cloud = Cloud::new();
    cloud.site.harness.submit("web", replicas(20));
    let east_boots: Boots = |_, zone| (zone == "east").then_some(BOOT);
    cloud.seconds(20, east_boots);
    let before = cloud.ordered_in("west");
    assert!(before >= 5, "{before} of 20 were ordered there");
    cloud.seconds(60, east_boots);
    let probes = cloud.ordered_in("west") - before;
    assert!((1..=10).contains(&probes), "{probes} more in a minute");
    assert!(cloud.site.len() >= 20, "{} are up", cloud.site.len());
    // It boots again: found by the probes.
    cloud.site.harness.submit("more", replicas(20));
    cloud.seconds(60, |_, _| Some(BOOT));
    assert!(cloud.ordered_in("west") - before - probes >= 5);
}

/// Everything boots late: nothing is given up for that, or the wait would begin anew each time.
#[test]
fn machines_that_are_all_late_are_waited_for() {
    let mut cloud = Cloud::new();
    cloud.site.harness.submit("web", replicas(10));
    let late: Boots = |_, _| Some(3 * BOOT);
    cloud.seconds(36, late);
    let first: Vec<String> = cloud.site.harness.ordered_machines[..10]
        .iter()
        .map(|m| m.name.clone())
        .collect();
    assert!(first.iter().all(|name| cloud.site.has(name)));
    assert!(cloud
        .site
        .harness
        .returns
        .iter()
        .all(|name| !first.contains(name)));
    // What was ordered twice meanwhile is bounded.
    assert!(
        cloud.ordered_machines() <= 24,
        "{}",
        cloud.ordered_machines()
    );
}

/// A machine that comes up after it was given up is not used and not forgotten: its return is repeated
/// until the cloud has confirmed it.
#[test]
fn a_machine_that_comes_up_after_it_was_given_up_goes_back() {
    let mut cloud = Cloud::new();
    cloud.site.harness.submit("web", replicas(6));
    let one_very_late: Boots = |machine, _| Some(if machine == 2 { 33 } else { BOOT });
    cloud.seconds(30, one_very_late);
    let late = cloud.site.harness.ordered_machines[2].clone();
    cloud.seconds(40, one_very_late);
    let heartbeat = heartbeat(&late.name, &late.zone, 1_000, &[]);
    let answer =
        cloud
            .site
            .harness
            .scheduler
            .heartbeat_received(heartbeat, false, cloud.site.harness.now);
    assert!(cloud.site.harness.returns.contains(&late.name));
    assert!(answer.is_err(), "{answer:?}");
}

/// The incident: a leader that is cut off from its agents does not rent for the room that it no longer
/// sees. Without that it ordered hundreds of machines in the seconds before it resigned.
#[test]
fn a_leader_cut_from_its_agents_scales_out_nothing() {
    let mut cloud = Cloud::new();
    cloud.site.harness.submit("web", replicas(20));
    let boots: Boots = |_, _| Some(BOOT);
    cloud.seconds(40, boots);
    // Nobody is heard from here on, and calls fail.
    let silent_second = |cloud: &mut Cloud| {
        cloud.site.harness.pass(secs(1));
        let now = cloud.site.harness.now;
        for machine in cloud.site.harness.ordered_machines.clone() {
            cloud
                .site
                .harness
                .scheduler
                .probe_failed(&machine.name, now);
        }
    };
    for _ in 0..5 {
        silent_second(&mut cloud);
    }
    let before = cloud.site.harness.rented;
    cloud
        .site
        .harness
        .submit("batch", spec(JobKind::Array, 400, 4));
    for _ in 0..8 {
        silent_second(&mut cloud);
    }
    assert_eq!(cloud.site.harness.rented, before);
    // After a lease what they held is lost, and has to run elsewhere.
    for _ in 0..12 {
        silent_second(&mut cloud);
    }
    assert!(cloud.site.harness.rented > before);
}

/// One job may take any number of machines, and each is ordered once: before, no more than 400 were on their
/// way for one job, and beyond 64 of a type and zone what was on its way was ordered once more.
#[test]
fn a_job_of_a_thousand_machines_gets_them_all_and_no_more() {
    let mut cloud = Cloud::new();
    // A processor is left over on each machine.
    let job = JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, 1_000, 7)
    };
    cloud.site.harness.submit("web", job);
    cloud.seconds(9, |_, _| None);
    assert_eq!(cloud.ordered_machines(), 1_000);
}
