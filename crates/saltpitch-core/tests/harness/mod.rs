//! A test harness for the scheduler of a leader. The state service commits every transaction at once, no direct
//! command is sent, and the test supplies the agents' heartbeats.

// Each test crate uses only some of these items.
#![allow(dead_code, unused_imports)]

pub mod site;

pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;

pub use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
pub use saltpitch_core::catalog::{Catalog, MachineType, Resources};
pub use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
pub use saltpitch_core::leadership::TOKENS_PER_TERM;
pub use saltpitch_core::policy::Policy;
pub use saltpitch_core::quota::TeamLimits;
pub use saltpitch_core::records::{
    checkpoint_key, job_key, machine_block_key, segment_key, AllocationRecord, CheckpointRecord,
    JobRecord, MachineBlockRecord, MachineRecord, RecordCache, SegmentEntry, SegmentRecord,
    TermRecord, TERM_KEY,
};
pub use saltpitch_core::scheduler::{
    AgentCommands, CommandOutcome, Effect, HeartbeatRejection, Objective, ObjectiveTarget,
    ScaleOutOutcome, Scheduler, SchedulerConfig, SentCommands, Transaction, TransactionOutcome,
    Write,
};
pub use saltpitch_core::Micros;
pub use serde_json::value::{to_raw_value, RawValue};

/// The lowest fencing token of the leader's term, [`TOKENS_PER_TERM`].
pub const FIRST_TOKEN: u64 = 1;

pub fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

/// Returns the configuration that the tests start from.
pub fn config() -> SchedulerConfig {
    SchedulerConfig {
        heartbeat_interval: secs(2),
        agent_lease: secs(14),
        gang_peer_timeout: secs(5),
        cancel_timeout: secs(44),
        max_transaction_writes: 16,
        controller_count: 3,
        max_concurrent_calls: 24,

        max_transaction_bytes: 50_000,
        write_rate: 60.0,
        next_write_rate: 60.0,
        max_value_bytes: 8 * 1024,
        scale_out_rate: 5.0,
        log_segments: 16,
        teams: ["red", "blue"]
            .iter()
            .map(|n| TeamLimits {
                name: (*n).to_owned(),
                cpu: 8_000,
                gpu: 0,
                cpu_max: 24_000,
                gpu_max: 0,
            })
            .collect(),
        objectives: vec![Objective {
            class: "night".to_owned(),
            target: ObjectiveTarget::Finished(secs(200)),
        }],
        guarantee_start_target: secs(15),
        policy: Policy::default(),
    }
}

/// Returns a catalog with the one machine type `plain`, of eight processors.
pub fn catalog() -> Arc<Catalog> {
    Arc::new(Catalog {
        types: vec![MachineType {
            name: "plain".to_owned(),
            size: Resources {
                cpu: 8_000,
                gpu: 0,
                mem: 32_000,
            },
            cache_mb: 50_000,
            fetch_mb_per_s: 500,
            price: 1_000,
            spot_price: 300,
            boot: secs(10),
            zones: vec!["east".to_owned(), "west".to_owned()],
        }],
    })
}

/// Returns a job of this kind whose tasks need `cpu` processors each.
pub fn spec(kind: JobKind, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        class: "night".to_owned(),
        team: "red".to_owned(),
        kind,
        priority: Priority::Normal,
        tasks,
        need: Resources {
            cpu: cpu * 1_000,
            gpu: 0,
            mem: 1_000,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".to_owned(),
        image_mb: 100,
        estimate: secs(20),
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        deadline: None,
        dependencies: Vec::new(),
    }
}

/// Puts a record with this value and revision.
pub fn put<T: serde::Serialize>(records: &mut RecordCache, key: &str, value: &T, revision: u64) {
    let raw = to_raw_value(value).expect("the value is serialisable");
    records
        .put(key, &raw, revision)
        .expect("the record is readable");
}

/// Puts the records of the job `job-1`, whose only task is placed on `machine`.
pub fn put_placed_job(records: &mut RecordCache, machine: &str) {
    let record = JobRecord::accepted(secs(900), Arc::new(spec(JobKind::Array, 1, 2)));
    put(records, &job_key("job-1"), &record, 3);
    let checkpoint = CheckpointRecord {
        up_to_segment: 0,
        attempts: vec![1],
        done: Vec::new(),
        allocations: vec![AllocationRecord(0, machine.to_owned(), 1)],
    };
    put(records, &checkpoint_key("job-1", 0), &checkpoint, 4);
}

/// A leader's scheduler, with a state service that commits every transaction at once and a cloud.
pub struct SchedulerHarness {
    pub records: RecordCache,
    pub scheduler: Scheduler,
    pub now: Micros,
    /// The revision of the latest write to the state service.
    pub revision: u64,
    /// The direct calls that the scheduler requested, with the machine of each.
    pub commands: Vec<(Arc<str>, Vec<Command>)>,
    /// The fencing token of each of these calls.
    pub call_tokens: Vec<u64>,
    /// The fencing token of the last answer to each machine, which its next heartbeat shows.
    pub seen_tokens: BTreeMap<String, u64>,
    /// How every direct call ends; it is not sent unless a test sets something else.
    pub call_outcome: CommandOutcome,
    /// The machines that the scheduler returned to the cloud.
    pub returned_machines: BTreeSet<String>,
    /// The number of keys written by the scheduler's transactions.
    pub write_count: usize,
    /// How many of these writes were segments of the placement log.
    pub segment_write_count: usize,
    /// The number of machines that the scheduler requested from the cloud.
    pub requested_machine_count: u32,
    /// The machine type of each scale-out request.
    pub requested_types: Vec<String>,
    /// Whether the cloud grants every scale-out request and confirms every return. Otherwise requests stay
    /// unanswered.
    pub cloud_grants_requests: bool,
    /// The machines that the cloud granted.
    pub ordered_machines: Vec<OrderedMachine>,
}

/// A machine that the cloud granted.
#[derive(Clone, Debug)]
pub struct OrderedMachine {
    pub name: String,
    pub zone: String,
    /// When it was granted.
    pub ordered_at: Micros,
}

impl SchedulerHarness {
    /// Creates a leader with the default configuration and the records that `build` puts.
    pub fn new(
        build: impl FnOnce(&mut RecordCache),
        previous_leader_fenced_at: Micros,
    ) -> SchedulerHarness {
        SchedulerHarness::with_config(config(), build, previous_leader_fenced_at)
    }

    /// Creates a leader with this configuration.
    pub fn with_config(
        config: SchedulerConfig,
        build: impl FnOnce(&mut RecordCache),
        previous_leader_fenced_at: Micros,
    ) -> SchedulerHarness {
        SchedulerHarness::with_catalog(config, catalog(), build, previous_leader_fenced_at)
    }

    /// Creates a leader with this configuration and catalog.
    pub fn with_catalog(
        config: SchedulerConfig,
        catalog: Arc<Catalog>,
        build: impl FnOnce(&mut RecordCache),
        previous_leader_fenced_at: Micros,
    ) -> SchedulerHarness {
        let mut records = RecordCache::default();
        let term = TermRecord {
            term: TOKENS_PER_TERM,
            node: "n0".to_owned(),
            incarnation: 1,
            earlier_leaders_fenced_at: Micros::ZERO,
        };
        put(&mut records, TERM_KEY, &term, 1);
        build(&mut records);
        records.advance_to(10);
        let now = secs(1_000);
        let scheduler = Scheduler::new(
            config,
            &records,
            catalog,
            previous_leader_fenced_at,
            now,
            now,
        );
        SchedulerHarness {
            records,
            scheduler,
            now,
            revision: 10,
            commands: Vec::new(),
            call_tokens: Vec::new(),
            seen_tokens: BTreeMap::new(),
            call_outcome: CommandOutcome::NotSent,
            returned_machines: BTreeSet::new(),
            write_count: 0,
            segment_write_count: 0,
            requested_machine_count: 0,
            requested_types: Vec::new(),
            cloud_grants_requests: false,
            ordered_machines: Vec::new(),
        }
    }

    /// Applies committed writes to the records, as a controller does that follows the changes.
    fn apply(&mut self, writes: &[Write]) {
        for write in writes {
            match &write.value {
                Some(value) => {
                    let raw = RawValue::from_string(value.clone()).expect("the value is JSON");
                    self.records
                        .put(&write.key, &raw, self.revision)
                        .expect("the record is readable");
                }
                None => {
                    self.records.delete(&write.key, self.revision);
                }
            }
        }
        self.records.advance_to(self.revision);
    }

    /// Answers a scale-out request with new machines.
    fn grant(&mut self, request: &str, zone: &str, count: u32) {
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("vm-r{:04}", self.ordered_machines.len());
            names.push(name.clone());
            self.ordered_machines.push(OrderedMachine {
                name,
                zone: zone.to_owned(),
                ordered_at: self.now,
            });
        }
        self.scheduler
            .scale_out_ended(request, ScaleOutOutcome::Machines(names), self.now);
    }

    /// Writes the record of a new job and reports the change to the scheduler.
    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        self.revision += 1;
        let record = JobRecord::accepted(self.now, Arc::new(spec));
        put(&mut self.records, &job_key(id), &record, self.revision);
        self.scheduler
            .job_changed(&self.records, id, self.now, self.now);
    }

    /// Advances the time by `duration` and executes the scheduler's effects. Transactions are committed, and
    /// direct commands end as not sent.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now.plus(duration);
        while self.now < end {
            self.now = self.now.plus(Micros::from_millis(100));
            for effect in self.scheduler.poll(self.now) {
                match effect {
                    Effect::Commit(Transaction { writes, .. }) => {
                        self.write_count += writes.len();
                        let segments = writes
                            .iter()
                            .filter(|write| write.key.starts_with("salt/l/"));
                        self.segment_write_count += segments.count();
                        self.revision += 1;
                        self.apply(&writes);
                        self.scheduler.transaction_ended(
                            TransactionOutcome::Committed(self.revision),
                            self.now,
                        );
                    }
                    Effect::SendCommands {
                        machine,
                        agent_epoch,
                        fencing_token,
                        commands,
                        ..
                    } => {
                        let name = machine.clone();
                        let sent =
                            SentCommands::new(machine, agent_epoch, fencing_token, &commands);
                        self.commands.push((name, commands));
                        self.call_tokens.push(fencing_token);
                        let outcome = self.call_outcome.clone();
                        self.scheduler.command_ended(&sent, outcome, self.now);
                    }
                    Effect::ScaleOut {
                        request,
                        count,
                        type_name,
                        zone,
                        ..
                    } => {
                        self.requested_machine_count += count;
                        self.requested_types.push(type_name);
                        if self.cloud_grants_requests {
                            self.grant(&request, &zone, count);
                        }
                    }
                    Effect::ScaleIn { names } => {
                        self.returned_machines
                            .extend(names.iter().map(|n| n.to_string()));
                        if self.cloud_grants_requests {
                            self.scheduler.scale_in_confirmed(&names, self.now);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Delivers a heartbeat to the scheduler and returns the commands in its answer.
    pub fn heartbeat(
        &mut self,
        machine: &str,
        zone: &str,
        sequence: u64,
        tasks: &[TaskStatus],
    ) -> Vec<Command> {
        self.send_heartbeat(heartbeat(machine, zone, sequence, tasks))
            .expect("the heartbeat is answered")
            .commands
    }

    /// Delivers a heartbeat of an agent that has received the last answer, and returns the answer.
    pub fn send_heartbeat(
        &mut self,
        mut heartbeat: Heartbeat,
    ) -> Result<AgentCommands, HeartbeatRejection> {
        let seen_token = self.seen_tokens.entry(heartbeat.machine.clone());
        let seen_token = seen_token.or_insert(FIRST_TOKEN);
        heartbeat.fencing_token = *seen_token;
        let answer = self
            .scheduler
            .heartbeat_received(heartbeat, false, self.now)?;
        *seen_token = answer.fencing_token;
        Ok(answer)
    }
}

/// Returns a heartbeat of the first agent epoch on a machine of the type `plain`.
pub fn heartbeat(machine: &str, zone: &str, sequence: u64, tasks: &[TaskStatus]) -> Heartbeat {
    Heartbeat {
        machine: machine.to_owned(),
        addr: machine.to_owned(),
        type_name: "plain".to_owned(),
        zone: zone.to_owned(),
        spot: false,
        agent_epoch: 1,
        sequence,
        fencing_token: FIRST_TOKEN,
        spot_notice: None,
        tasks: tasks.to_vec(),
    }
}

/// Returns the status of the first attempt of a job's task 0.
pub fn task_status(job: &str, state: TaskState) -> TaskStatus {
    TaskStatus {
        job: job.to_owned(),
        task: 0,
        attempt: 1,
        state,
    }
}

/// Returns how many of the commands start a task.
pub fn start_count(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|command| matches!(command, Command::Start { .. }))
        .count()
}

/// Returns whether one of the commands tells the agent to forget an ended attempt.
pub fn contains_forget(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Forget { .. }))
}

/// The state of a task that has completed.
pub const DONE: TaskState = TaskState::Exited {
    cause: ExitCause::Done,
    saved: false,
};
