//! A leader under test: its store takes every write at once, direct commands are lost before they are sent,
//! and the test plays the machines.

// Each test file uses a part of this.
#![allow(dead_code, unused_imports)]

pub mod site;

pub use std::collections::BTreeSet;
pub use std::sync::Arc;

pub use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
pub use saltpitch_core::catalog::{Catalog, MachineType, Resources};
pub use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
pub use saltpitch_core::policy::Policy;
pub use saltpitch_core::quota::TeamLimits;
pub use saltpitch_core::records::{
    checkpoint_key, job_key, machine_block_key, segment_key, AllocationRecord, CheckpointRecord,
    JobRecord, MachineBlockRecord, MachineRecord, RecordCache, SegmentEntry, SegmentRecord,
    TermRecord, TERM_KEY,
};
pub use saltpitch_core::scheduler::{
    CommandOutcome, Effect, Objective, ObjectiveTarget, ScaleOutOutcome, Scheduler,
    SchedulerConfig, SentCommands, Transaction, TransactionOutcome, Write,
};
pub use saltpitch_core::Micros;
pub use serde_json::value::{to_raw_value, RawValue};

pub fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

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

pub fn put<T: serde::Serialize>(records: &mut RecordCache, key: &str, value: &T, rev: u64) {
    let raw = to_raw_value(value).expect("json");
    records.put(key, &raw, rev).expect("a record");
}

/// A record of a one-task job whose task is placed on `machine`.
pub fn put_placed(records: &mut RecordCache, machine: &str) {
    let rec = JobRecord::accepted(secs(900), Arc::new(spec(JobKind::Array, 1, 2)));
    put(records, &job_key("job-1"), &rec, 3);
    let chunk = CheckpointRecord {
        up_to_segment: 0,
        attempts: vec![1],
        done: Vec::new(),
        allocations: vec![AllocationRecord(0, machine.to_owned(), 1)],
    };
    put(records, &checkpoint_key("job-1", 0), &chunk, 4);
}

/// A leader with a store that takes every write at once.
pub struct SchedulerHarness {
    pub records: RecordCache,
    pub scheduler: Scheduler,
    pub now: Micros,
    pub rev: u64,
    pub commands: Vec<(Arc<str>, Vec<Command>)>,
    pub returns: BTreeSet<String>,
    pub writes: usize,
    /// Of these, segments of the log.
    pub segments: usize,
    pub rented: u32,
    /// The types that the cloud was asked for, request by request.
    pub asked: Vec<String>,
    /// The cloud answers, and gives whatever it is asked for.
    pub cloud_answers: bool,
    /// The machines that it gave.
    pub ordered_machines: Vec<OrderedMachine>,
}

/// A machine that the cloud gave.
#[derive(Clone, Debug)]
pub struct OrderedMachine {
    pub name: String,
    pub zone: String,
    pub at: Micros,
}

impl SchedulerHarness {
    pub fn new(build: impl FnOnce(&mut RecordCache), old_silent_at: Micros) -> SchedulerHarness {
        SchedulerHarness::with(config(), build, old_silent_at)
    }

    pub fn with(
        config: SchedulerConfig,
        build: impl FnOnce(&mut RecordCache),
        old_silent_at: Micros,
    ) -> SchedulerHarness {
        SchedulerHarness::of(config, catalog(), build, old_silent_at)
    }

    pub fn of(
        config: SchedulerConfig,
        catalog: Arc<Catalog>,
        build: impl FnOnce(&mut RecordCache),
        old_silent_at: Micros,
    ) -> SchedulerHarness {
        let mut records = RecordCache::default();
        let term = TermRecord {
            term: 5,
            node: "n0".to_owned(),
            incarnation: 1,
            earlier_leaders_fenced_at: Micros::ZERO,
        };
        put(&mut records, TERM_KEY, &term, 1);
        build(&mut records);
        records.revision = 10;
        let now = secs(1_000);
        let scheduler = Scheduler::new(config, &records, catalog, old_silent_at, now, now);
        SchedulerHarness {
            records,
            scheduler,
            now,
            rev: 10,
            commands: Vec::new(),
            returns: BTreeSet::new(),
            writes: 0,
            segments: 0,
            rented: 0,
            asked: Vec::new(),
            cloud_answers: false,
            ordered_machines: Vec::new(),
        }
    }

    /// The records as a controller sees them that follows the changes.
    fn apply(&mut self, writes: &[Write]) {
        for write in writes {
            match &write.value {
                Some(value) => {
                    let raw = RawValue::from_string(value.clone()).expect("JSON");
                    self.records
                        .put(&write.key, &raw, self.rev)
                        .expect("readable");
                }
                None => {
                    self.records.delete(&write.key, self.rev);
                }
            }
        }
        self.records.revision = self.rev;
    }

    fn grant(&mut self, request: &str, zone: &str, count: u32) {
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("vm-r{:04}", self.ordered_machines.len());
            names.push(name.clone());
            self.ordered_machines.push(OrderedMachine {
                name,
                zone: zone.to_owned(),
                at: self.now,
            });
        }
        self.scheduler
            .scale_out_ended(request, ScaleOutOutcome::Machines(names), self.now);
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        self.rev += 1;
        let rec = JobRecord::accepted(self.now, Arc::new(spec));
        put(&mut self.records, &job_key(id), &rec, self.rev);
        self.scheduler
            .job_changed(&self.records, id, self.now, self.now);
    }

    /// Lets time pass; transactions succeed, direct commands are lost before they are sent.
    pub fn pass(&mut self, wait: Micros) {
        let end = self.now.plus(wait);
        while self.now < end {
            self.now = self.now.plus(Micros::from_millis(100));
            for e in self.scheduler.poll(self.now) {
                match e {
                    Effect::Commit(Transaction { writes, .. }) => {
                        self.writes += writes.len();
                        let of_log = writes.iter().filter(|w| w.key.starts_with("salt/l/"));
                        self.segments += of_log.count();
                        self.rev += 1;
                        self.apply(&writes);
                        self.scheduler
                            .transaction_ended(TransactionOutcome::Committed(self.rev), self.now);
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
                        let end = CommandOutcome::NotSent;
                        self.scheduler.command_ended(&sent, end, self.now);
                    }
                    Effect::ScaleOut {
                        request,
                        count,
                        type_name,
                        zone,
                        ..
                    } => {
                        self.rented += count;
                        self.asked.push(type_name);
                        if self.cloud_answers {
                            self.grant(&request, &zone, count);
                        }
                    }
                    Effect::ScaleIn { names } => {
                        self.returns.extend(names.iter().map(|n| n.to_string()));
                        if self.cloud_answers {
                            self.scheduler.scale_in_confirmed(&names, self.now);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    pub fn heartbeat(
        &mut self,
        machine: &str,
        zone: &str,
        sequence: u64,
        tasks: &[TaskStatus],
    ) -> Vec<Command> {
        self.scheduler
            .heartbeat_received(heartbeat(machine, zone, sequence, tasks), false, self.now)
            .expect("the report is answered")
    }
}

pub fn heartbeat(machine: &str, zone: &str, sequence: u64, tasks: &[TaskStatus]) -> Heartbeat {
    Heartbeat {
        machine: machine.to_owned(),
        addr: machine.to_owned(),
        type_name: "plain".to_owned(),
        zone: zone.to_owned(),
        spot: false,
        agent_epoch: 1,
        sequence,
        fencing_token: 5,
        spot_notice: None,
        tasks: tasks.to_vec(),
    }
}

pub fn seen(job: &str, state: TaskState) -> TaskStatus {
    TaskStatus {
        job: job.to_owned(),
        task: 0,
        attempt: 1,
        state,
    }
}

pub fn starts(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|o| matches!(o, Command::Start { .. }))
        .count()
}

pub fn forgets(commands: &[Command]) -> bool {
    commands.iter().any(|o| matches!(o, Command::Forget { .. }))
}

pub const DONE: TaskState = TaskState::Exited {
    cause: ExitCause::Done,
    saved: false,
};
