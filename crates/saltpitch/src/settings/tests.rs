//! The settings that are refused, and the texts of the errors.

use serde_json::{json, Value};

use super::*;

const EXAMPLE: &str = include_str!("../../../../docs/example-settings.json");

/// Returns the example settings with every optional field.
fn example() -> Value {
    let mut settings: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    settings["seeds"] = json!([
        {"node": "south", "location": "hillside", "addr": "127.0.0.1:9081"},
    ]);
    settings["cluster"]["state"]["next"] =
        json!({"rps": 50.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 8});
    let objectives = settings["cluster"]["objectives"].as_array_mut();
    objectives
        .expect("a list")
        .push(json!({"kind": "guarantee", "within_s": 20.0}));
    settings
}

/// Returns the JSON pointers of all values inside a value.
fn pointers(value: &Value, parent: &str) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(items) => (0..).map(|i: usize| i.to_string()).zip(items).collect(),
        _ => Vec::new(),
    };
    let mut all = Vec::new();
    for (name, child) in children {
        let pointer = format!("{parent}/{name}");
        all.extend(pointers(child, &pointer));
        all.push(pointer);
    }
    all
}

fn test_values() -> Vec<Value> {
    vec![
        json!(null),
        json!(true),
        json!({}),
        json!([]),
        json!([1]),
        json!(""),
        json!("south"),
        json!("127.0.0.1:7"),
        json!("x".repeat(201)),
        json!(-1),
        json!(0),
        json!(0.0001),
        json!(1),
        json!(1.5),
        json!(3),
        json!(100),
        json!(101),
        json!(1e10),
        json!(1e300),
    ]
}

fn outcome(settings: &Value) -> String {
    match Settings::parse(&settings.to_string()) {
        Ok(settings) => {
            let store = &settings.store;
            let (rps, write_rps) = (store.next_rps, store.next_write_rps);
            let (bytes, writes) = (store.max_value_bytes, store.max_transaction_writes);
            format!("taken: {rps}/s, {write_rps}/s, {bytes} bytes, {writes}")
        }
        Err(error) => format!("{:#}", anyhow::Error::from(error)),
    }
}

fn without(settings: &Value, pointer: &str) -> Value {
    let mut settings = settings.clone();
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    match settings.pointer_mut(parent).expect("the parent") {
        Value::Object(fields) => drop(fields.remove(name)),
        Value::Array(items) => drop(items.remove(name.parse().expect("an index"))),
        _ => unreachable!("a value without children"),
    }
    settings
}

fn outcomes() -> String {
    let example = example();
    let mut lines = Vec::new();
    for pointer in pointers(&example, "") {
        let removed = without(&example, &pointer);
        lines.push(format!("{pointer} removed: {}", outcome(&removed)));
        for value in test_values() {
            let mut changed = example.clone();
            *changed.pointer_mut(&pointer).expect("the pointer exists") = value.clone();
            let value: String = value.to_string().chars().take(16).collect();
            lines.push(format!("{pointer} = {value}: {}", outcome(&changed)));
        }
    }
    for root in ["", "[]", "7", "{", "{}"] {
        let error = Settings::parse(root).expect_err(root);
        lines.push(format!("{root:?}: {:#}", anyhow::Error::from(error)));
    }
    lines.join("\n") + "\n"
}

/// Operators read these texts, so the field that is named first and the reason must not change.
#[test]
fn every_outcome_has_its_recorded_text() {
    let recorded = include_str!("outcomes.txt");
    let present = outcomes();
    for (recorded, present) in recorded.lines().zip(present.lines()) {
        assert_eq!(recorded, present);
    }
    assert_eq!(recorded.lines().count(), present.lines().count());
}
