//! What the leader's loops cost on a site of 4,500 machines, counted in machines and jobs looked at, against
//! one of 500: at its start, after a change of leader, and when a zone is lost.

mod harness;

use harness::*;

const SMALL: u64 = 500;
const LARGE: u64 = 4_500;

/// A heartbeat's interval, as on the operators' large sites.
const REPORT: u64 = 8;

fn large_config() -> SchedulerConfig {
    let mut config = config();
    config.heartbeat_interval = secs(REPORT);
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

/// Machines in two zones, each with one task that runs for ever.
struct LargeSite {
    harness: SchedulerHarness,
    machines: u64,
    sequence: u64,
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
    /// All machines have come up, and each has its task.
    fn started(machines: u64) -> LargeSite {
        let mut site = LargeSite {
            harness: SchedulerHarness::with(large_config(), |_| {}, secs(0)),
            machines,
            sequence: 0,
            running: vec![None; machines as usize],
        };
        site.report_all(|_| true);
        let job = spec(JobKind::Array, machines as u32, 8);
        site.harness.submit("job-0", job);
        for _ in 0..4 {
            site.report_all(|_| true);
        }
        let placed = site.running.iter().flatten().count() as u64;
        assert_eq!(placed, machines, "every machine has its task");
        for job in 1..31 {
            site.harness
                .submit(&format!("job-{job}"), spec(JobKind::Array, 4, 4));
        }
        site.report_all(|_| true);
        site
    }

    /// One interval in which the machines heartbeat that `reaches` names, spread over it.
    fn report_all(&mut self, reaches: fn(u64) -> bool) {
        self.sequence += 1;
        let slots = REPORT * 10;
        for slot in 0..slots {
            for machine in (0..self.machines).filter(|m| m % slots == slot && reaches(*m)) {
                self.heartbeat(machine);
            }
            self.harness.pass(Micros::from_millis(100));
        }
    }

    fn heartbeat(&mut self, machine: u64) {
        let tasks: Vec<TaskStatus> = self.running[machine as usize].iter().cloned().collect();
        let name = format!("vm-{machine:05}");
        let heartbeat = heartbeat(&name, zone_of(machine), self.sequence, &tasks);
        let now = self.harness.now;
        let Ok(commands) = self
            .harness
            .scheduler
            .heartbeat_received(heartbeat, false, now)
        else {
            return;
        };
        for order in commands {
            if let Command::Start { job, task, attempt } = order {
                self.running[machine as usize] = Some(TaskStatus {
                    job: job.to_string(),
                    task,
                    attempt,
                    state: TaskState::Running,
                });
            }
        }
    }

    /// Another controller takes over with the records as they are.
    fn change_leader(&mut self) {
        let now = self.harness.now;
        let (records, catalog) = (&self.harness.records, catalog());
        self.harness.scheduler = Scheduler::new(large_config(), records, catalog, now, now, now);
    }

    /// Machines and jobs looked at in one interval, for each machine.
    fn steps_per_machine(&mut self, reaches: fn(u64) -> bool) -> f64 {
        let before = self.harness.scheduler.steps();
        self.report_all(reaches);
        (self.harness.scheduler.steps() - before) as f64 / self.machines as f64
    }
}

/// The cost of an interval for each machine is no larger on the large site.
fn assert_scales(what: &str, cost: fn(&mut LargeSite) -> f64) {
    let small = cost(&mut LargeSite::started(SMALL));
    let large = cost(&mut LargeSite::started(LARGE));
    assert!(small > 0.0, "{what}: the steps are counted");
    assert!(
        large <= small * 1.25 + 1.0,
        "{what}: {small:.1} steps for each machine, then {large:.1}"
    );
}

#[test]
fn a_full_site_of_4_500_machines_costs_as_much_for_each_as_one_of_500() {
    assert_scales("a full site", |site| site.steps_per_machine(|_| true));
}

#[test]
fn a_new_leader_of_4_500_machines_hears_all_in_one_interval() {
    assert_scales("a new leader", |site| {
        site.change_leader();
        let steps = site.steps_per_machine(|_| true);
        let counts = site.harness.scheduler.agent_counts(site.harness.now);
        assert_eq!(counts.recently_heard as u64, site.machines, "all are heard");
        steps
    });
}

#[test]
fn a_lost_zone_of_4_500_machines_costs_as_much_for_each() {
    assert_scales("a lost zone", |site| {
        let east = |machine| zone_of(machine) == "east";
        let mut steps = 0.0;
        for _ in 0..6 {
            steps += site.steps_per_machine(east);
        }
        assert!(site.harness.returns.is_empty(), "a silent zone is a cut");
        steps
    });
}
