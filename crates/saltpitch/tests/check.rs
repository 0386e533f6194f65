//! `saltpitch check`: what it shows of the store's limits, and which field it names.

use std::process::Command;

use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("../../../docs/example-settings.json");

/// The program's verdict on the example with this as `cluster.state.next`: all that it prints.
fn check(name: &str, next: Option<Value>) -> (bool, String) {
    check_with(name, |settings| {
        if let Some(next) = next {
            settings["cluster"]["state"]["next"] = next;
        }
    })
}

/// The program's verdict on the example, changed by `change`.
fn check_with(name: &str, change: impl FnOnce(&mut Value)) -> (bool, String) {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    change(&mut settings);
    let file = std::env::temp_dir().join(format!("saltpitch-{}-{name}.json", std::process::id()));
    std::fs::write(&file, settings.to_string()).expect("a file");
    let end = Command::new(env!("CARGO_BIN_EXE_saltpitch"))
        .args(["check", "--config"])
        .arg(&file)
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_file(&file);
    let said = [end.stdout, end.stderr].concat();
    (
        end.status.success(),
        String::from_utf8_lossy(&said).into_owned(),
    )
}

#[test]
fn settings_without_next_limits_work_as_before() {
    for next in [None, Some(Value::Null), Some(json!({}))] {
        let (ok, said) = check("without", next);
        assert!(ok, "{said}");
        assert!(
            said.contains("100 requests and 40 changes a second, next 100 and 40"),
            "{said}"
        );
        assert!(
            said.contains("16384 bytes a value and 16 changes"),
            "{said}"
        );
    }
}

#[test]
fn next_limits_are_shown_and_the_smaller_sizes_count() {
    let next = json!({"write_rps": 24.0, "value_kb": 2.0, "txn_ops": 4, "later": true});
    let (ok, said) = check("with", Some(next));
    assert!(ok, "{said}");
    assert!(said.contains("next 100 and 24"), "{said}");
    assert!(said.contains("2048 bytes a value and 4 changes"), "{said}");
    // Limits that rise don't count before they are there.
    let (ok, said) = check("larger", Some(json!({"value_kb": 64.0, "txn_ops": 99})));
    assert!(
        ok && said.contains("16384 bytes a value and 16 changes"),
        "{said}"
    );
}

#[test]
fn a_bad_next_limit_is_named() {
    for (field, bad) in [
        ("write_rps", json!(-1.0)),
        ("rps", json!("many")),
        ("value_kb", json!(0)),
        ("txn_ops", json!(1)),
    ] {
        let (ok, said) = check("bad", Some(json!({ field: bad })));
        assert!(
            !ok && said.contains(&format!("cluster.state.next.{field}")),
            "{said}"
        );
    }
    let (ok, said) = check("list", Some(json!([1])));
    assert!(!ok && said.contains("cluster.state.next"), "{said}");
}

/// Settings that are valid one by one and contradict each other: the field is named and the start refused.
#[test]
fn contradicting_settings_are_refused_by_name() {
    let cases: [(&str, Value, &str); 7] = [
        ("/cluster/workers/report_s", json!(16.0), "report_s"),
        ("/cluster/workers/cancel_s", json!(20.0), "cancel_s"),
        ("/cluster/state/rps", json!(2.0), "cluster.state.rps"),
        (
            "/cluster/state/write_rps",
            json!(1.5),
            "cluster.state.write_rps",
        ),
        (
            "/cluster/state/next",
            json!({"rps": 2.0}),
            "cluster.state.next.rps",
        ),
        (
            "/cluster/state/next",
            json!({"write_rps": 1.0}),
            "cluster.state.next.write_rps",
        ),
        (
            "/seeds",
            json!([{"node": "south", "addr": "127.0.0.1:9081"}, {"node": "south", "addr": "127.0.0.1:9082"}]),
            "names south twice",
        ),
    ];
    for (at, bad, field) in cases {
        let (ok, said) = check_with("contradiction", |settings| set(settings, at, bad));
        assert!(!ok && said.contains(field), "{at}: {said}");
    }
}

/// What still works is at most a warning.
#[test]
fn what_works_at_a_price_is_a_warning() {
    let cases: [(&str, Value, &str); 4] = [
        (
            "/cluster/workers/report_s",
            json!(7.0),
            "fewer than 3 heartbeats",
        ),
        (
            "/cluster/workers/cancel_s",
            json!(22.0),
            "exceeds `lease_s` by little",
        ),
        (
            "/cluster/state/next",
            json!({"write_rps": 4.0}),
            "4 changes a second",
        ),
        (
            "/cluster/state/next",
            json!({"value_kb": 1.0}),
            "1024 bytes",
        ),
    ];
    for (at, odd, warning) in cases {
        let (ok, said) = check_with("warning", |settings| set(settings, at, odd));
        let told = said.contains("warning: ") && said.contains(warning);
        assert!(ok && told, "{at}: {said}");
    }
    let (ok, said) = check("plain", None);
    assert!(ok && !said.contains("warning"), "{said}");
}

/// Sets what stands at this JSON pointer, as a new field if need be.
fn set(settings: &mut Value, pointer: &str, value: Value) {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("the parent");
    match field.parse::<usize>() {
        Ok(index) => parent[index] = value,
        Err(_) => parent[field] = value,
    }
}

/// The program's verdict on the example with a file on cells.
fn check_cells(name: &str, cells: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("saltpitch-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    let guests =
        json!({"name": "guests", "cpus": 0.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0});
    let teams = settings["cluster"]["teams"].as_array_mut();
    teams.expect("a list").push(guests);
    std::fs::write(folder.join("settings.json"), settings.to_string()).expect("a file");
    std::fs::write(folder.join("cells.toml"), cells).expect("a file");
    let end = Command::new(env!("CARGO_BIN_EXE_saltpitch"))
        .args(["check", "--config"])
        .arg(folder.join("settings.json"))
        .arg("--cells")
        .arg(folder.join("cells.toml"))
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_dir_all(&folder);
    let said = [end.stdout, end.stderr].concat();
    let said = String::from_utf8_lossy(&said).into_owned();
    (end.status.success(), said)
}

#[test]
fn the_example_on_cells_is_valid_and_a_mistake_in_it_is_named() {
    let example = include_str!("../../../deploy/cells.toml");
    let (ok, said) = check_cells("cells", example);
    assert!(
        ok && said.contains("cell north: neighbours south"),
        "{said}"
    );
    let mistakes = [
        (
            "max_jobs = 20",
            "max_jobs = 0",
            "neighbour[0].lend.max_jobs",
        ),
        (
            "team = \"guests\"",
            "team = \"harbour\"",
            "neighbour[0].guests.team",
        ),
        ("127.0.0.1:8180", "127.0.0.1:8081", "peer_bind"),
        ("cell = \"north\"", "cell = 7", "line 7"),
    ];
    for (right, wrong, named) in mistakes {
        assert!(example.contains(right), "{right}");
        let (ok, said) = check_cells("cells-bad", &example.replacen(right, wrong, 1));
        assert!(!ok && said.contains(named), "{wrong}: {said}");
    }
}
