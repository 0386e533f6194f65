//! Simulated agents that execute the commands of the leader under test, in steps of one second.

use std::collections::BTreeMap;

use super::*;

/// Decides whether a task exits on a machine after it has run for this many seconds, and with which cause.
pub type Behaviour = fn(job: &str, task: u32, machine: &str, run_s: u64) -> Option<ExitCause>;

/// A task on a machine.
struct AgentTask {
    status: TaskStatus,
    /// For how many seconds it has run.
    run_s: u64,
}

/// A simulated machine with its agent.
struct SiteMachine {
    zone: String,
    tasks: Vec<AgentTask>,
}

/// A leader and the machines that send it heartbeats.
pub struct Site {
    pub harness: SchedulerHarness,
    type_name: &'static str,
    machines: BTreeMap<String, SiteMachine>,
    sequence: u64,
    /// The number of tasks started, by job.
    pub started: BTreeMap<String, u32>,
    /// The number of running tasks that a command stopped, by job.
    pub stopped: BTreeMap<String, u32>,
}

impl Site {
    /// Creates a site of `count` machines named `vm-00` and so on.
    pub fn new(harness: SchedulerHarness, count: u32) -> Site {
        Site::of_type("plain", harness, count)
    }

    /// Creates a site of `count` machines of this type.
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
            site.add_machine(&format!("vm-{machine:02}"), "east");
        }
        site.step(|_, _, _, _| None);
        site
    }

    /// Adds a machine that has come up; does nothing if it is there already.
    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let machine = SiteMachine {
            zone: zone.to_owned(),
            tasks: Vec::new(),
        };
        self.machines.entry(name.to_owned()).or_insert(machine);
    }

    /// Returns whether this machine has come up.
    pub fn has_machine(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns how many machines have come up.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Lets every machine send one heartbeat, then advances the time by one second.
    pub fn step(&mut self, behaviour: Behaviour) {
        self.sequence += 1;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.send_heartbeat(&name, behaviour);
        }
        self.harness.advance(secs(1));
    }

    /// Runs `count` steps.
    pub fn run_steps(&mut self, count: u32, behaviour: Behaviour) {
        for _ in 0..count {
            self.step(behaviour);
        }
    }

    /// Advances the tasks of a machine by one second, sends its heartbeat and executes the commands in the
    /// answer.
    fn send_heartbeat(&mut self, name: &str, behaviour: Behaviour) {
        let machine = self
            .machines
            .get_mut(name)
            .expect("the machine has come up");
        let zone = machine.zone.clone();
        let tasks = &mut machine.tasks;
        for task in tasks
            .iter_mut()
            .filter(|t| t.status.state == TaskState::Running)
        {
            task.run_s += 1;
            let status = &mut task.status;
            if let Some(cause) = behaviour(&status.job, status.task, name, task.run_s) {
                status.state = TaskState::Exited {
                    cause,
                    saved: false,
                };
            }
        }
        let statuses: Vec<TaskStatus> = tasks.iter().map(|t| t.status.clone()).collect();
        let heartbeat = Heartbeat {
            type_name: self.type_name.to_owned(),
            ..heartbeat(name, &zone, self.sequence, &statuses)
        };
        // The leader does not answer a machine that was returned.
        let Ok(answer) = self.harness.send_heartbeat(heartbeat) else {
            return;
        };
        for command in answer.commands {
            self.execute(name, command);
        }
    }

    fn execute(&mut self, name: &str, command: Command) {
        let tasks = &mut self
            .machines
            .get_mut(name)
            .expect("the machine has come up")
            .tasks;
        let is_attempt = |t: &AgentTask, job: &str, task: u32, attempt: u32| {
            t.status.job == job && t.status.task == task && t.status.attempt == attempt
        };
        match command {
            Command::Start { job, task, attempt } => {
                if tasks.iter().any(|t| is_attempt(t, &job, task, attempt)) {
                    return;
                }
                *self.started.entry(job.to_string()).or_default() += 1;
                let status = TaskStatus {
                    job: job.to_string(),
                    task,
                    attempt,
                    state: TaskState::Running,
                };
                tasks.push(AgentTask { status, run_s: 0 });
            }
            Command::Stop {
                job, task, attempt, ..
            } => {
                for t in tasks
                    .iter_mut()
                    .filter(|t| is_attempt(t, &job, task, attempt))
                {
                    if t.status.state == TaskState::Running {
                        *self.stopped.entry(job.to_string()).or_default() += 1;
                        t.status.state = TaskState::Exited {
                            cause: ExitCause::Stopped,
                            saved: true,
                        };
                    }
                }
            }
            Command::Forget { job, task, attempt } => {
                tasks.retain(|t| !is_attempt(t, &job, task, attempt))
            }
        }
    }

    /// Returns how many tasks of a job are running.
    pub fn running(&self, job: &str) -> usize {
        let all = self.machines.values().flat_map(|m| &m.tasks);
        let running = all.filter(|t| t.status.job == job && t.status.state == TaskState::Running);
        running.count()
    }

    /// Returns how many tasks of a job were started so far, counting each attempt.
    pub fn started(&self, job: &str) -> u32 {
        self.started.get(job).copied().unwrap_or(0)
    }
}
