//! `saltpitch check`: its summary of the state service's limits, and the fields that its errors name.

use std::process::Command;

use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("../../../docs/example-settings.json");

/// Checks the example settings with this value of `cluster.state.next`. Returns whether they are valid, and all
/// that the program prints.
fn check(name: &str, next: Option<Value>) -> (bool, String) {
    check_with(name, |settings| {
        if let Some(next) = next {
            settings["cluster"]["state"]["next"] = next;
        }
    })
}

/// Checks the example settings after `change`. Returns whether they are valid, and all that the program prints.
fn check_with(name: &str, change: impl FnOnce(&mut Value)) -> (bool, String) {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    change(&mut settings);
    let file = std::env::temp_dir().join(format!("saltpitch-{}-{name}.json", std::process::id()));
    std::fs::write(&file, settings.to_string()).expect("a file");
    let process = Command::new(env!("CARGO_BIN_EXE_saltpitch"))
        .args(["check", "--config"])
        .arg(&file)
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_file(&file);
    let output = [process.stdout, process.stderr].concat();
    (
        process.status.success(),
        String::from_utf8_lossy(&output).into_owned(),
    )
}

#[test]
fn settings_without_next_limits_use_the_present_ones() {
    for next in [None, Some(Value::Null), Some(json!({}))] {
        let (ok, output) = check("without", next);
        assert!(ok, "{output}");
        assert!(
            output.contains("100 requests and 40 changes a second, next 100 and 40"),
            "{output}"
        );
        assert!(
            output.contains("16384 bytes a value and 16 changes"),
            "{output}"
        );
    }
}

#[test]
fn next_limits_are_shown_and_the_smaller_sizes_count() {
    let next = json!({"write_rps": 24.0, "value_kb": 2.0, "txn_ops": 4, "later": true});
    let (ok, output) = check("with", Some(next));
    assert!(ok, "{output}");
    assert!(output.contains("next 100 and 24"), "{output}");
    assert!(
        output.contains("2048 bytes a value and 4 changes"),
        "{output}"
    );
    // Higher limits are not used before they are in force.
    let (ok, output) = check("larger", Some(json!({"value_kb": 64.0, "txn_ops": 99})));
    assert!(
        ok && output.contains("16384 bytes a value and 16 changes"),
        "{output}"
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
        let (ok, output) = check("bad", Some(json!({ field: bad })));
        assert!(
            !ok && output.contains(&format!("cluster.state.next.{field}")),
            "{output}"
        );
    }
    let (ok, output) = check("list", Some(json!([1])));
    assert!(!ok && output.contains("cluster.state.next"), "{output}");
}

/// Settings that are valid by themselves but contradict each other are refused, and the error names the field.
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
        let (ok, output) = check_with("contradiction", |settings| set(settings, at, bad));
        assert!(!ok && output.contains(field), "{at}: {output}");
    }
}

/// Settings that work with a disadvantage are accepted with a warning.
#[test]
fn settings_that_work_with_a_disadvantage_are_warned_about() {
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
        let (ok, output) = check_with("warning", |settings| set(settings, at, odd));
        let warned = output.contains("warning: ") && output.contains(warning);
        assert!(ok && warned, "{at}: {output}");
    }
    let (ok, output) = check("plain", None);
    assert!(ok && !output.contains("warning"), "{output}");
}

/// Sets the value at this JSON pointer; adds the field if it does not exist.
fn set(settings: &mut Value, pointer: &str, value: Value) {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("the parent");
    match field.parse::<usize>() {
        Ok(index) => parent[index] = value,
        Err(_) => parent[field] = value,
    }
}

/// Checks the example settings together with a file on cells. Returns whether they are valid, and all that the
/// program prints.
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
    let process = Command::new(env!("CARGO_BIN_EXE_saltpitch"))
        .args(["check", "--config"])
        .arg(folder.join("settings.json"))
        .arg("--cells")
        .arg(folder.join("cells.toml"))
        .output()
        .expect("the program runs");
    let _ = std::fs::remove_dir_all(&folder);
    let output = [process.stdout, process.stderr].concat();
    let output = String::from_utf8_lossy(&output).into_owned();
    (process.status.success(), output)
}

#[test]
fn the_example_on_cells_is_valid_and_an_invalid_field_in_it_is_named() {
    let example = include_str!("../../../deploy/cells.toml");
    let (ok, output) = check_cells("cells", example);
    assert!(
        ok && output.contains("cell north: neighbours south"),
        "{output}"
    );
    let changes = [
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
    for (right, wrong, named) in changes {
        assert!(example.contains(right), "{right}");
        let (ok, output) = check_cells("cells-bad", &example.replacen(right, wrong, 1));
        assert!(!ok && output.contains(named), "{wrong}: {output}");
    }
}
