//! Machines that do what the leader under test tells them, in steps of a second.

use std::collections::BTreeMap;

use super::*;

/// What a machine does with a task after it has run for so many seconds.
pub type Behaviour = fn(job: &str, task: u32, machine: &str, ran: u64) -> Option<ExitCause>;

/// A task on a machine, and for how many seconds it has run.
struct OnMachine {
    seen: TaskStatus,
    ran: u64,
}

/// One machine.
struct SiteMachine {
    zone: String,
    tasks: Vec<OnMachine>,
}

/// A leader and its machines.
pub struct Site {
    pub harness: SchedulerHarness,
    type_name: &'static str,
    machines: BTreeMap<String, SiteMachine>,
    sequence: u64,
    /// Starts so far, by job.
    pub started: BTreeMap<String, u32>,
    /// Tasks that were told to stop, by job.
    pub stopped: BTreeMap<String, u32>,
}

impl Site {
    /// A site of `count` machines named `vm-00` and so on.
    pub fn new(harness: SchedulerHarness, count: u32) -> Site {
        Site::of_type("plain", harness, count)
    }

    /// The same, all machines of this type.
    pub fn of_type(type_name: &'static str, harness: SchedulerHarness, count: u32) -> Site {
        let mut site = Site {
            harness,
            type_name,
            machines: BTreeMap::new(),
            sequence: 0,
            started: BTreeMap::new(),
            stopped: BTreeMap::new(),
        };
        for machine in 0..count {
            site.join(&format!("vm-{machine:02}"), "east");
        }
        site.step(|_, _, _, _| None);
        site
    }

    /// A machine comes up.
    pub fn join(&mut self, name: &str, zone: &str) {
        let machine = SiteMachine {
            zone: zone.to_owned(),
            tasks: Vec::new(),
        };
        self.machines.entry(name.to_owned()).or_insert(machine);
    }

    /// Whether this machine has come up.
    pub fn has(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// How many machines have come up.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Lets every machine heartbeat once, and a second pass.
    pub fn step(&mut self, behaviour: Behaviour) {
        self.sequence += 1;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.report_of(&name, behaviour);
        }
        self.harness.pass(secs(1));
    }

    pub fn steps(&mut self, count: u32, behaviour: Behaviour) {
        for _ in 0..count {
            self.step(behaviour);
        }
    }

    fn report_of(&mut self, name: &str, behaviour: Behaviour) {
        let machine = self.machines.get_mut(name).expect("a machine");
        let zone = machine.zone.clone();
        let tasks = &mut machine.tasks;
        for task in tasks
            .iter_mut()
            .filter(|t| t.seen.state == TaskState::Running)
        {
            task.ran += 1;
            let seen = &mut task.seen;
            if let Some(cause) = behaviour(&seen.job, seen.task, name, task.ran) {
                seen.state = TaskState::Exited {
                    cause,
                    saved: false,
                };
            }
        }
        let seen: Vec<TaskStatus> = tasks.iter().map(|t| t.seen.clone()).collect();
        let heartbeat = Heartbeat {
            type_name: self.type_name.to_owned(),
            ..heartbeat(name, &zone, self.sequence, &seen)
        };
        // A machine that was returned is heard no more.
        let Ok(commands) =
            self.harness
                .scheduler
                .heartbeat_received(heartbeat, false, self.harness.now)
        else {
            return;
        };
        for order in commands {
            self.carry_out(name, order);
        }
    }

    fn carry_out(&mut self, name: &str, order: Command) {
        let tasks = &mut self.machines.get_mut(name).expect("a machine").tasks;
        let same = |t: &OnMachine, job: &str, task: u32, attempt: u32| {
            t.seen.job == job && t.seen.task == task && t.seen.attempt == attempt
        };
        match order {
            Command::Start { job, task, attempt } => {
                if tasks.iter().any(|t| same(t, &job, task, attempt)) {
                    return;
                }
                *self.started.entry(job.to_string()).or_default() += 1;
                let seen = TaskStatus {
                    job: job.to_string(),
                    task,
                    attempt,
                    state: TaskState::Running,
                };
                tasks.push(OnMachine { seen, ran: 0 });
            }
            Command::Stop {
                job, task, attempt, ..
            } => {
                for t in tasks.iter_mut().filter(|t| same(t, &job, task, attempt)) {
                    if t.seen.state == TaskState::Running {
                        *self.stopped.entry(job.to_string()).or_default() += 1;
                        t.seen.state = TaskState::Exited {
                            cause: ExitCause::Stopped,
                            saved: true,
                        };
                    }
                }
            }
            Command::Forget { job, task, attempt } => {
                tasks.retain(|t| !same(t, &job, task, attempt))
            }
        }
    }

    /// Tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        let all = self.machines.values().flat_map(|m| &m.tasks);
        let running = all.filter(|t| t.seen.job == job && t.seen.state == TaskState::Running);
        running.count()
    }

    /// Starts of a job so far.
    pub fn started(&self, job: &str) -> u32 {
        self.started.get(job).copied().unwrap_or(0)
    }
}
