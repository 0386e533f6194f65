//! Compatibility of records between versions: this version reads what each version wrote that may be in production,
//! and what it writes equals byte for byte what the newest of them writes and reads.

use std::sync::Arc;

use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::records::{
    checkpoint_key, job_key, machine_block_key, node_key, segment_key, AllocationRecord,
    CheckpointRecord, JobRecord, LeaderRecord, MachineBlockRecord, MachineRecord, NodeRecord,
    RecordCache, SegmentEntry, SegmentRecord, TermRecord, CATALOG_KEY, LEADER_KEY, TERM_KEY,
};
use saltpitch_core::Micros;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::Value;

mod common;
use common::{sample, samples, Sample};

/// Records of a version that had no pipelines yet.
const BEFORE_PIPELINES: &str = include_str!("samples/records-0eaad3a.tsv");
/// Records of the version in production.
const PRODUCTION: &str = include_str!("samples/records-839b1d9.tsv");

const TIME: Micros = Micros(1_700_000_000_000_000);

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("the value is JSON")
}

fn gang_spec() -> JobSpec {
    JobSpec {
        class: "train".to_owned(),
        team: "red".to_owned(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 2,
        need: Resources {
            cpu: 2_000,
            gpu: 1_000,
            mem: 4_000,
        },
        types: Some(vec!["g8".to_owned()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        image: "img-07".to_owned(),
        image_mb: 6_200,
        estimate: Micros::from_secs(240),
        checkpoint_interval: Micros::from_secs(30),
        save_time: Micros::from_secs(4),
        deadline: Some(Micros::from_secs(900)),
        dependencies: Vec::new(),
    }
}

fn waiting_array_spec() -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        priority: Priority::Normal,
        types: None,
        zone: Some("east".to_owned()),
        one_zone: false,
        deadline: None,
        dependencies: vec!["job-000001".to_owned(), "job-000002".to_owned()],
        ..gang_spec()
    }
}

fn service_spec() -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Production,
        spread: true,
        spot: false,
        estimate: Micros::ZERO,
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        dependencies: Vec::new(),
        ..waiting_array_spec()
    }
}

fn low_priority_spec() -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        priority: Priority::Low,
        spread: false,
        ..service_spec()
    }
}

fn accepted(spec: JobSpec) -> JobRecord {
    JobRecord::accepted(TIME, Arc::new(spec))
}

fn machine(number: u32, returning: bool) -> MachineRecord {
    let name = format!("vm-{number:06}");
    MachineRecord(name, format!("10.1.0.{number}:9000"), returning, TIME)
}

fn block(machines: Vec<MachineRecord>) -> MachineBlockRecord {
    MachineBlockRecord {
        type_name: "g8".to_owned(),
        zone: "east".to_owned(),
        spot: true,
        machines,
    }
}

/// Returns the key and the value that this version writes for each of the samples.
fn written_records() -> Vec<(String, String)> {
    fn row<T: Serialize>(key: impl Into<String>, record: &T) -> (String, String) {
        let value = serde_json::to_string(record).expect("the record is serialisable");
        (key.into(), value)
    }
    let machine_type = MachineType {
        name: "g8".to_owned(),
        size: Resources {
            cpu: 8_000,
            gpu: 2_000,
            mem: 32_000,
        },
        cache_mb: 50_000,
        fetch_mb_per_s: 500,
        price: 6_000,
        spot_price: 2_000,
        boot: Micros::from_secs(45),
        zones: vec!["east".to_owned(), "west".to_owned()],
    };
    let term = TermRecord {
        term: 4,
        node: "n1".to_owned(),
        incarnation: 9,
        earlier_leaders_fenced_at: TIME,
    };
    let leader = LeaderRecord {
        node: "n1".to_owned(),
        incarnation: 9,
        term: 4,
    };
    let cancelled = JobRecord {
        state: JobState::Cancelled,
        ..accepted(waiting_array_spec())
    };
    let mut shortened = cancelled.clone();
    shortened.drop_scheduling_fields();
    let segment = SegmentRecord {
        number: 2_055,
        entries: vec![
            (
                "job-000001".to_owned(),
                vec![
                    SegmentEntry(0, 1, "vm-000001".to_owned(), 1, 0),
                    SegmentEntry(1, 2, String::new(), 0, 0),
                ],
            ),
            (
                "job-000008".to_owned(),
                vec![SegmentEntry(3, 1, String::new(), 0, 1)],
            ),
        ],
    };
    let placed = CheckpointRecord {
        up_to_segment: 2_056,
        attempts: vec![1, 2],
        done: Vec::new(),
        allocations: vec![AllocationRecord(1, "vm-000002".to_owned(), 3)],
    };
    let mut completed = CheckpointRecord {
        attempts: vec![1; 5],
        allocations: Vec::new(),
        ..placed.clone()
    };
    for task in [0, 1, 2, 4] {
        completed.add_done(task);
    }
    let done = JobRecord::final_record(JobState::Done, Some(TIME));
    let catalog = Catalog {
        types: vec![machine_type],
    };
    vec![
        row(TERM_KEY, &term),
        row(LEADER_KEY, &leader),
        row(
            node_key("n1"),
            &NodeRecord {
                incarnation: 9,
                ..NodeRecord::default()
            },
        ),
        row(CATALOG_KEY, &catalog),
        row(job_key("job-000001"), &accepted(gang_spec())),
        row(job_key("job-000004"), &accepted(waiting_array_spec())),
        row(job_key("job-000005"), &cancelled),
        row(job_key("job-000006"), &shortened),
        row(job_key("job-000007"), &accepted(service_spec())),
        row(job_key("job-000008"), &accepted(low_priority_spec())),
        row(job_key("job-000002"), &done),
        row(
            job_key("job-000009"),
            &JobRecord::final_record(JobState::Done, None),
        ),
        row(
            job_key("job-000003"),
            &JobRecord::final_record(JobState::Cancelled, None),
        ),
        row(segment_key(7), &segment),
        row(checkpoint_key("job-000001", 0), &placed),
        row(checkpoint_key("job-000008", 1), &completed),
        row(
            machine_block_key(1),
            &block(vec![machine(1, false), machine(2, true)]),
        ),
        row(machine_block_key(2), &block(vec![machine(3, false)])),
    ]
}

/// Puts all samples, in their order.
fn records_of(samples: &[Sample]) -> RecordCache {
    let mut records = RecordCache::default();
    for (i, Sample { name, content }) in samples.iter().enumerate() {
        let revision = i as u64 + 1;
        records.put(name, &raw(content), revision).expect(name);
    }
    records
}

/// Keys, names, variants and the order of fields are a published format.
#[test]
fn records_are_written_byte_for_byte_as_production_writes_them() {
    let all = samples(PRODUCTION);
    let written = written_records();
    assert_eq!(all.len(), written.len());
    for (sample, (key, value)) in all.iter().zip(written) {
        assert_eq!((sample.name, sample.content), (&*key, &*value));
    }
}

#[test]
fn records_written_by_production_are_readable() {
    let records = records_of(&samples(PRODUCTION));
    assert_eq!(
        (
            records.term.value.term,
            records.term.value.earlier_leaders_fenced_at
        ),
        (4, TIME)
    );
    assert_eq!(
        records
            .leader
            .as_ref()
            .map(|leader| leader.value.incarnation),
        Some(9)
    );
    assert_eq!(records.incarnation_of("n1"), 9);
    assert_eq!(
        records
            .catalog
            .as_ref()
            .map(|catalog| catalog.value.types[0].boot),
        Some(Micros::from_secs(45))
    );
    let spec = |id: &str| records.jobs[id].record.spec.as_deref().cloned();
    assert_eq!(spec("job-000001"), Some(gang_spec()));
    assert_eq!(spec("job-000004"), Some(waiting_array_spec()));
    assert_eq!(spec("job-000007"), Some(service_spec()));
    assert_eq!(spec("job-000008"), Some(low_priority_spec()));
    let ended = records.ended_jobs().get("job-000002");
    assert_eq!(ended.map(|job| job.done_at), Some(Some(TIME)));
    assert_eq!(records.job_state("job-000009"), Some(JobState::Done));
    for id in ["job-000003", "job-000005", "job-000006"] {
        assert_eq!(records.job_state(id), Some(JobState::Cancelled), "{id}");
    }
    // The checkpoint is newer than the segment, so the checkpoint's state is used.
    assert_eq!(records.task_counts("job-000001"), (1, 0));
    assert_eq!(records.task_counts("job-000008"), (0, 5));
    assert_eq!(records.last_segment, 2_056);
    assert!(
        records.machine_blocks[&1].value.machines[1].2,
        "the return of the machine is requested"
    );
    assert_eq!(
        records.machine_blocks[&2].value.machines[0],
        machine(3, false)
    );
}

#[test]
fn records_from_before_pipelines_are_readable() {
    let records = records_of(&samples(BEFORE_PIPELINES));
    assert_eq!(records.term.value.term, 4);
    assert_eq!(records.incarnation_of("n1"), 9);
    let job = &records.jobs["job-000001"].record;
    assert_eq!(job.spec.as_deref(), Some(&gang_spec()));
    assert_eq!(records.job_state("job-000002"), Some(JobState::Done));
    assert_eq!(records.job_state("job-000003"), Some(JobState::Cancelled));
    assert_eq!(
        records.task_counts("job-000001"),
        (1, 0),
        "the checkpoint is newer than the segment"
    );
    assert_eq!(records.machine_blocks[&1].value.machines[0].0, "vm-000001");
}

/// Records that use no pipelines equal byte for byte what the version before pipelines wrote.
#[test]
fn records_without_pipelines_are_written_as_before_them() {
    let all = samples(BEFORE_PIPELINES);
    let json =
        |record: &JobRecord| serde_json::to_string(record).expect("the record is serialisable");
    let final_record = |state| json(&JobRecord::final_record(state, None));
    assert_eq!(
        json(&accepted(gang_spec())),
        sample(&all, "salt/j/job-000001")
    );
    assert_eq!(
        final_record(JobState::Done),
        sample(&all, "salt/j/job-000002")
    );
    assert_eq!(
        final_record(JobState::Cancelled),
        sample(&all, "salt/j/job-000003")
    );
}

/// Pipelines add one field to a job's specification, and one to the record of a job that is done. Every field that the
/// version before pipelines reads is kept.
#[test]
fn pipelines_add_one_field_and_keep_the_old_ones() {
    let fields = |value: &Value| -> Vec<String> {
        let object = value.as_object().expect("the value is an object");
        object.keys().cloned().collect()
    };
    let parse = |text: &str| serde_json::from_str::<Value>(text).expect("the value is JSON");
    let mut spec = gang_spec();
    spec.dependencies = vec!["job-000009".to_owned()];
    let new = parse(&serde_json::to_string(&accepted(spec)).expect("the record is serialisable"));
    let old = parse(sample(&samples(BEFORE_PIPELINES), "salt/j/job-000001"));
    for field in fields(&old["d"]) {
        assert!(new["d"].get(&field).is_some(), "{field}");
    }
    assert_eq!(fields(&new["d"]).len(), fields(&old["d"]).len() + 1);
    let final_record = JobRecord::final_record(JobState::Done, Some(Micros(7)));
    let new = parse(&serde_json::to_string(&final_record).expect("the record is serialisable"));
    assert_eq!(new["s"], "done");
    assert_eq!(new["f"], 7);
}

/// The placement log reuses its keys, so in the order of keys an older segment may be read after a newer one. The
/// newer segment's entries must be kept.
#[test]
fn the_newer_of_two_segments_counts_in_any_order_of_reading() {
    let mut records = RecordCache::default();
    let newer = r#"{"n":16,"e":[["job-000001",[[0,2,"vm-000002",1,0]]]]}"#;
    let older = r#"{"n":1,"e":[["job-000001",[[0,1,"vm-000001",1,0]]]]}"#;
    let all = samples(BEFORE_PIPELINES);
    records
        .put(
            "salt/j/job-000001",
            &raw(sample(&all, "salt/j/job-000001")),
            5,
        )
        .expect("the record is readable");
    records
        .put("salt/l/0", &raw(newer), 9)
        .expect("the record is readable");
    records
        .put("salt/l/1", &raw(older), 6)
        .expect("the record is readable");
    let task = &records.tasks["job-000001"].tasks[0];
    assert_eq!(task.attempt, 2);
    assert_eq!(
        task.allocation
            .as_ref()
            .map(|allocation| &*allocation.machine),
        Some("vm-000002")
    );
    assert_eq!(records.last_segment, 16);
}

/// A later version may add fields; this version must ignore them.
#[test]
fn unknown_fields_of_a_later_version_are_ignored() {
    for Sample { name, content } in samples(PRODUCTION) {
        let mut value: Value = serde_json::from_str(content).expect("the value is JSON");
        let object = value.as_object_mut().expect("the value is an object");
        object.insert("later".to_owned(), serde_json::json!({"a": [1]}));
        let mut records = RecordCache::default();
        records.put(name, &raw(&value.to_string()), 1).expect(name);
    }
}

/// A record of another shape, or with a state that only a later version knows, is refused and leaves every field of the
/// record cache unchanged.
#[test]
fn unreadable_records_leave_the_record_cache_unchanged() {
    let all = samples(PRODUCTION);
    let mut records = records_of(&all);
    let before = format!("{records:?}");
    for Sample { name, content } in &all {
        let later_state = content.replace("\"active\"", "\"suspended\"");
        let mut unreadable = vec!["7".to_owned(), "[]".to_owned(), "null".to_owned()];
        unreadable.extend((later_state != *content).then_some(later_state));
        for value in unreadable {
            let result = records.put(name, &raw(&value), 1_000);
            assert!(result.is_err(), "{name} with the value {value} is refused");
            assert_eq!(
                format!("{records:?}"),
                before,
                "{name} with the value {value} changes nothing"
            );
            let mut empty = RecordCache::default();
            assert!(empty.put(name, &raw(&value), 1_000).is_err());
            assert_eq!(
                format!("{empty:?}"),
                format!("{:?}", RecordCache::default())
            );
        }
    }
}
