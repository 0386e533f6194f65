//! Tests that the scheduler's cost per machine is the same on a site of 4,500 machines as on one of 500, counted in
//! machines and jobs examined: on a full site, after a change of leader, and while a zone is unreachable.

mod harness;

use harness::*;

const SMALL_SITE_MACHINES: u64 = 500;
const LARGE_SITE_MACHINES: u64 = 4_500;

/// The heartbeat interval in seconds, as on the operators' large sites.
const HEARTBEAT_INTERVAL_S: u64 = 8;

fn large_config() -> SchedulerConfig {
    let mut config = config();
    config.heartbeat_interval = secs(HEARTBEAT_INTERVAL_S);
    config.agent_lease = secs(36);
    config.cancel_timeout = secs(66);
    config.max_concurrent_calls = 128;
    config.max_transaction_writes = 48;
    config.write_rate = 200.0;
    config.max_value_bytes = 32 * 1024;
    config.log_segments = 2_048;
    config.teams[0].cpu_max = 0;
    config
}

/// A leader with machines in two zones, each with one task that runs forever.
struct LargeSite {
    harness: SchedulerHarness,
    machine_count: u64,
    sequence: u64,
    /// The task of each machine.
    running: Vec<Option<TaskStatus>>,
}

fn zone_of(machine: u64) -> &'static str {
    if machine.is_multiple_of(2) {
        "east"
    } else {
        "west"
    }
}

impl LargeSite {
    /// Creates a site on which every machine runs its task, with 30 jobs waiting that fit nowhere.
    fn started(machine_count: u64) -> LargeSite {
        let mut site = LargeSite {
            harness: SchedulerHarness::with_config(large_config(), |_| {}, secs(0)),
            machine_count,
            sequence: 0,
            running: vec![None; machine_count as usize],
        };
        site.run_heartbeat_interval(|_| true);
        let job = spec(JobKind::Array, machine_count as u32, 8);
        site.harness.submit("job-0", job);
        for _ in 0..4 {
            site.run_heartbeat_interval(|_| true);
        }
        let placed = site.running.iter().flatten().count() as u64;
        assert_eq!(placed, machine_count, "every machine has its task");
        for job in 1..31 {
            site.harness
                .submit(&format!("job-{job}"), spec(JobKind::Array, 4, 4));
        }
        site.run_heartbeat_interval(|_| true);
        site
    }

    /// Runs one heartbeat interval. The machines for which `is_reachable` returns true send their heartbeats, spread
    /// over the interval.
    fn run_heartbeat_interval(&mut self, is_reachable: fn(u64) -> bool) {
        self.sequence += 1;
        let slots = HEARTBEAT_INTERVAL_S * 10;
        for slot in 0..slots {
            for machine in (0..self.machine_count).filter(|m| m % slots == slot && is_reachable(*m))
            {
                self.send_heartbeat(machine);
            }
            self.harness.advance(Micros::from_millis(100));
        }
    }

    /// Sends a machine's heartbeat and starts the task that the answer commands.
    fn send_heartbeat(&mut self, machine: u64) {
        let tasks: Vec<TaskStatus> = self.running[machine as usize].iter().cloned().collect();
        let name = format!("vm-{machine:05}");
        let heartbeat = heartbeat(&name, zone_of(machine), self.sequence, &tasks);
        let Ok(answer) = self.harness.send_heartbeat(heartbeat) else {
            return;
        };
        for command in answer.commands {
            if let Command::Start { job, task, attempt } = command {
                self.running[machine as usize] = Some(TaskStatus {
                    job: job.to_string(),
                    task,
                    attempt,
                    state: TaskState::Running,
                });
            }
        }
    }

    /// Replaces the scheduler by that of a new leader, which starts from the present records.
    fn change_leader(&mut self) {
        let now = self.harness.now;
        let (records, catalog) = (&self.harness.records, catalog());
        self.harness.scheduler = Scheduler::new(large_config(), records, catalog, now, now, now);
    }

    /// Runs one heartbeat interval and returns how many machines and jobs were examined per machine of the site.
    fn steps_per_machine(&mut self, is_reachable: fn(u64) -> bool) -> f64 {
        let before = self.harness.scheduler.steps();
        self.run_heartbeat_interval(is_reachable);
        (self.harness.scheduler.steps() - before) as f64 / self.machine_count as f64
    }
}

/// Asserts that the cost per machine is no larger on the large site than on the small one, apart from a margin.
fn assert_cost_per_machine_is_constant(scenario: &str, cost: fn(&mut LargeSite) -> f64) {
    let small = cost(&mut LargeSite::started(SMALL_SITE_MACHINES));
    let large = cost(&mut LargeSite::started(LARGE_SITE_MACHINES));
    assert!(small > 0.0, "{scenario}: steps were counted");
    assert!(
        large <= small * 1.25 + 1.0,
        "{scenario}: {small:.1} steps per machine on the small site, {large:.1} on the large one"
    );
}

#[test]
fn a_full_site_of_4_500_machines_costs_as_much_per_machine_as_one_of_500() {
    assert_cost_per_machine_is_constant("a full site", |site| site.steps_per_machine(|_| true));
}

#[test]
fn a_new_leader_of_4_500_machines_hears_all_of_them_in_one_interval() {
    assert_cost_per_machine_is_constant("a new leader", |site| {
        site.change_leader();
        let steps = site.steps_per_machine(|_| true);
        let counts = site.harness.scheduler.agent_counts(site.harness.now);
        assert_eq!(
            counts.recently_heard as u64, site.machine_count,
            "every machine was heard"
        );
        steps
    });
}

#[test]
fn an_unreachable_zone_of_a_site_of_4_500_machines_costs_as_much_per_machine() {
    assert_cost_per_machine_is_constant("an unreachable zone", |site| {
        let is_in_east = |machine| zone_of(machine) == "east";
        let mut steps = 0.0;
        for _ in 0..6 {
            steps += site.steps_per_machine(is_in_east);
        }
        assert!(
            site.harness.returned_machines.is_empty(),
            "no machine of the unreachable zone is returned"
        );
        steps
    });
}
