//! Records between versions: samples as the version in production writes them, and what this version
//! writes, which that one has to read: nothing is missing there that it needs, and what is new may be
//! passed over.

use std::sync::Arc;

use saltpitch_core::catalog::Res;
use saltpitch_core::job::{JobSpec, JobState, Kind, Priority};
use saltpitch_core::records::{JobRecord, View};
use saltpitch_core::Micros;
use serde_json::value::RawValue;
use serde_json::Value;

/// As written by production.
const OLD: [(&str, &str); 9] = [
    (
        "salt/term",
        r#"{"term":4,"node":"n1","life":9,"quiet":1700000000000000}"#,
    ),
    ("salt/leader", r#"{"node":"n1","life":9,"term":4}"#),
    ("salt/n/n1", r#"{"life":9}"#),
    (
        "salt/j/job-000001",
        r#"{"s":"active","t":1700000000000000,"d":{"class":"train","team":"red","kind":"gang","priority":"high","tasks":2,"need":{"c":2000,"g":1000,"m":4000},"types":["g8"],"one_zone":true,"spread":false,"spot":true,"image":"img-07","image_mb":6200,"estimate":240000000,"checkpoint":30000000,"save":4000000,"deadline":900000000}}"#,
    ),
    ("salt/j/job-000002", r#"{"s":"done","t":0}"#),
    ("salt/j/job-000003", r#"{"s":"cancelled","t":0}"#),
    (
        "salt/l/7",
        r#"{"n":7,"e":[["job-000001",[[0,1,"vm-000001",1,0]]]]}"#,
    ),
    (
        "salt/c/job-000001/0",
        r#"{"l":8,"a":[1,1],"p":[[1,"vm-000002",3]]}"#,
    ),
    (
        "salt/b/1",
        r#"{"t":"g8","z":"east","s":true,"m":[["vm-000001","10.1.0.1:9000",false,1700000000000000]]}"#,
    ),
];

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("JSON")
}

fn spec(needs: &[&str]) -> JobSpec {
    JobSpec {
        class: "train".to_owned(),
        team: "red".to_owned(),
        kind: Kind::Gang,
        priority: Priority::High,
        tasks: 2,
        need: Res {
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
        checkpoint: Micros::from_secs(30),
        save: Micros::from_secs(4),
        deadline: Some(Micros::from_secs(900)),
        needs: needs.iter().map(|n| (*n).to_owned()).collect(),
    }
}

#[test]
fn records_of_the_version_in_production_are_read() {
    let mut view = View::default();
    for (i, (key, value)) in OLD.iter().enumerate() {
        view.put(key, &raw(value), i as u64 + 1).expect(key);
    }
    assert_eq!(view.term.1.term, 4);
    assert_eq!(view.life("n1"), 9);
    let job = &view.jobs["job-000001"].record;
    assert_eq!(job.spec.as_deref(), Some(&spec(&[])));
    assert_eq!(view.state("job-000002"), Some(JobState::Done));
    assert_eq!(view.state("job-000003"), Some(JobState::Cancelled));
    assert_eq!(
        view.counts("job-000001"),
        (1, 0),
        "the checkpoint is the newer one"
    );
    assert_eq!(view.blocks[&1].1.machines[0].0, "vm-000001");
}

/// Where nothing new is used, what is written is what production writes, to the byte.
#[test]
fn what_is_not_new_is_written_as_before() {
    let job = JobRecord::accepted(Micros(1_700_000_000_000_000), Arc::new(spec(&[])));
    assert_eq!(serde_json::to_string(&job).expect("JSON"), OLD[3].1);
    let over = |state| serde_json::to_string(&JobRecord::over(state, None)).expect("JSON");
    assert_eq!(over(JobState::Done), OLD[4].1);
    assert_eq!(over(JobState::Cancelled), OLD[5].1);
}

/// What is new is one more field, beside those that production reads.
#[test]
fn what_is_new_stands_beside_the_old() {
    let fields = |v: &Value| -> Vec<String> {
        let o = v.as_object().expect("an object");
        o.keys().cloned().collect()
    };
    let parse = |t: &str| serde_json::from_str::<Value>(t).expect("JSON");
    let job = JobRecord::accepted(Micros(5), Arc::new(spec(&["job-000009"])));
    let new = parse(&serde_json::to_string(&job).expect("JSON"));
    let old = parse(OLD[3].1);
    for f in fields(&old["d"]) {
        assert!(new["d"].get(&f).is_some(), "{f}");
    }
    assert_eq!(fields(&new["d"]).len(), fields(&old["d"]).len() + 1);
    let over = JobRecord::over(JobState::Done, Some(Micros(7)));
    let new = parse(&serde_json::to_string(&over).expect("JSON"));
    assert_eq!(new["s"], "done");
    assert_eq!(new["f"], 7);
}

/// The log goes round in its keys: read in their order, an older segment comes after a newer one, and the
/// newer one's word stays.
#[test]
fn of_two_segments_the_newer_counts_whatever_the_order() {
    let mut view = View::default();
    let newer = r#"{"n":16,"e":[["job-000001",[[0,2,"vm-000002",1,0]]]]}"#;
    let older = r#"{"n":1,"e":[["job-000001",[[0,1,"vm-000001",1,0]]]]}"#;
    view.put("salt/j/job-000001", &raw(OLD[3].1), 5)
        .expect("read");
    view.put("salt/l/0", &raw(newer), 9).expect("read");
    view.put("salt/l/1", &raw(older), 6).expect("read");
    let task = &view.tasks["job-000001"].tasks[0];
    assert_eq!(task.attempt, 2);
    assert_eq!(task.place.as_ref().map(|p| &*p.0), Some("vm-000002"));
    assert_eq!(view.last_segment, 16);
}
