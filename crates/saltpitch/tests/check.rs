//! `saltpitch check`: what it shows of the store's limits, and which field it names.

use std::process::Command;

use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("../../../docs/example-settings.json");

/// The program's verdict on the example with this as `cluster.state.next`: all that it prints.
fn check(name: &str, next: Option<Value>) -> (bool, String) {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    if let Some(next) = next {
        settings["cluster"]["state"]["next"] = next;
    }
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
