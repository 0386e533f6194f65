//! Tests of policies: accepted texts, the values of their rules, and error messages.

use super::check::checked_rules;
use super::rules::RULES;
use super::{Policy, Value, DEFAULT};

fn machine(name: &str) -> Option<Value> {
    Some(match name {
        "type.boot_s" => Value::Number(50.0),
        "type.gpus" => Value::Number(2.0),
        "type.name" => Value::Text("big".to_owned()),
        "type.spot" => Value::Bool(false),
        "cluster.machines" => Value::Number(0.0),
        _ => return None,
    })
}

#[test]
fn the_built_in_policy_is_complete_and_sound() {
    let rules = checked_rules(DEFAULT).expect("the built-in policy");
    assert_eq!(rules.len(), RULES.len());
    assert_eq!(Policy::default().number("idle_keep_s", &machine), 50.0);
}

#[test]
fn rules_are_evaluated() {
    for (text, expected) in [
        ("idle_keep_s = 2 * type.boot_s + 1", 101.0),
        (
            "idle_keep_s = if type.gpus > 0 and not type.spot then 7 else 8",
            7.0,
        ),
        ("idle_keep_s = clamp(-(3 - 9) / 2, 4, 5) # a comment", 4.0),
        (
            "idle_keep_s = if type.name == \"big\" or type.spot then 1 else 2",
            1.0,
        ),
        ("idle_keep_s = 10 - 4 - 3", 3.0),
    ] {
        let mut policy = Policy::parse(text).expect(text);
        assert_eq!(policy.number("idle_keep_s", &machine), expected, "{text}");
    }
}

#[test]
fn mistakes_are_found_with_line_and_column() {
    for (text, position, words) in [
        ("idle_keep = 3", "1:1", "no rule"),
        (
            "drain_s = 5\nidle_keep_s = type.boots",
            "2:15",
            "no variable",
        ),
        ("drain_s = type.boot_s", "1:11", "not known"),
        ("use_spot = 3", "1:12", "must be"),
        ("drain_s = 1 + true", "1:15", "expected a number"),
        ("drain_s = 0", "1:11", "between"),
        ("drain_s = max(1)", "1:11", "2 arguments"),
        ("drain_s = (1 + 2", "1:17", "expected"),
        ("drain_s = 1 drain_s = 2", "1:13", "new line"),
        ("drain_s = 1\ndrain_s = 2", "2:1", "twice"),
        ("drain_s = \"a", "1:11", "never ends"),
        ("drain_s = 1 $ 2", "1:13", "unexpected"),
    ] {
        let error = Policy::parse(text).expect_err(text).to_string();
        assert!(
            error.starts_with(position) && error.contains(words),
            "{text:?}: {error}"
        );
    }
}

#[test]
fn an_error_is_reported_once_and_the_default_is_used() {
    let mut policy = Policy::parse("idle_keep_s = 9 / cluster.machines").expect("valid policy");
    for _ in 0..3 {
        assert_eq!(policy.number("idle_keep_s", &machine), 50.0);
    }
    let faults = policy.take_faults();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].to_string().contains("division by zero"));
}

#[test]
fn nesting_is_bounded() {
    let deep = format!("drain_s = {}1{}", "(".repeat(5_000), ")".repeat(5_000));
    assert!(Policy::parse(&deep).is_err());
}

/// The examples in the policy documentation are valid policies.
#[test]
fn the_documented_examples_hold() {
    let page = include_str!("../../../../docs/policy.md");
    let mut found = 0;
    for block in page.split("```policy").skip(1) {
        let text = block.split("```").next().unwrap_or_default();
        Policy::parse(text).unwrap_or_else(|e| panic!("{text}: {e}"));
        found += 1;
    }
    assert!(found >= 3, "{found} examples");
}

/// The exact error messages for policies that are rejected.
#[test]
fn errors_have_exact_messages() {
    for (text, message) in [
        ("idle_keep = 3", "1:1: there is no rule `idle_keep`"),
        (
            "drain_s = type.boots",
            "1:11: there is no variable `type.boots`",
        ),
        (
            "drain_s = type.boot_s",
            "1:11: `type.boot_s` is not known to `drain_s`",
        ),
        (
            "use_spot = 3",
            "1:12: `use_spot` must be true or false, this is a number",
        ),
        (
            "use_spot = \"no\"",
            "1:12: `use_spot` must be true or false, this is text",
        ),
        (
            "drain_s = true",
            "1:11: `drain_s` must be a number, this is true or false",
        ),
        (
            "drain_s = 1 + true",
            "1:15: expected a number, found true or false",
        ),
        (
            "use_spot = not 1",
            "1:16: expected true or false, found a number",
        ),
        (
            "drain_s = 0",
            "1:11: `drain_s`: 0 is not between 1 and 86400",
        ),
        ("drain_s = 1e3", "1:12: a rule begins on a new line"),
        ("drain_s = 1.2.3", "1:11: this is no number"),
        ("drain_s = max(1)", "1:11: `max` takes 2 arguments, not 1"),
        ("drain_s = least(1)", "1:11: there is no function `least`"),
        ("drain_s = max(1, 2", "1:19: expected `)`"),
        ("drain_s = (1 + 2", "1:17: expected `)`"),
        ("drain_s 1", "1:9: expected `=`"),
        ("= 1", "1:1: expected the name of a rule"),
        ("drain_s = ", "1:11: expected a value"),
        ("drain_s = if true 1", "1:19: expected `then`"),
        ("drain_s = if true then 1", "1:25: expected `else`"),
        (
            "drain_s = 1 drain_s = 2",
            "1:13: a rule begins on a new line",
        ),
        ("drain_s = 1\ndrain_s = 2", "2:1: `drain_s` is set twice"),
        ("drain_s = \"a", "1:11: this text never ends"),
        ("drain_s = 1 $ 2", "1:13: unexpected `$`"),
    ] {
        let error = Policy::parse(text).expect_err(text);
        assert_eq!(error.to_string(), message, "{text:?}");
    }
    let deep = format!("drain_s = {}1", "(".repeat(100));
    let error = Policy::parse(&deep).expect_err("nested");
    assert_eq!(error.to_string(), "1:75: nested too deeply");
}

/// The exact messages for faults at evaluation, which are logged for operators.
#[test]
fn faults_are_reported_in_these_words() {
    let large = format!("1{}", "0".repeat(200));
    let overflow = format!("{large} * {large} * type.boot_s");
    for (expression, reason) in [
        ("9 / cluster.machines", "division by zero"),
        ("0 - 5 * type.boot_s", "-250 is not between 0 and 86400"),
        ("type.price", "`type.price` is not known"),
        (overflow.as_str(), "not a finite number"),
    ] {
        let mut policy = Policy::parse(&format!("idle_keep_s = {expression}")).expect(expression);
        policy.number("idle_keep_s", &machine);
        let faults: Vec<String> = policy
            .take_faults()
            .iter()
            .map(ToString::to_string)
            .collect();
        let message = format!("policy: idle_keep_s: {reason}; the default is used");
        assert_eq!(faults, [message]);
    }
}
