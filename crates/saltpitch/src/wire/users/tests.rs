//! Submissions that are refused because a field is missing, of the wrong type or out of range.

use super::*;

fn valid_submission() -> Value {
    json!({"ref":"job-000412","berth":"train","crew":"vision","rig":"ensemble",
        "precedence":"urgent","legs":16,"cpus":8.0,"accelerators":1.0,"mem_gb":64.0,
        "hull":"img-07","image_gb":6.2,"hulls_list":["g8"],"basin":null,"together":true,
        "spread":false,"lay_by":true,"passage_s":240.0,"moor_every_s":30.0,"tie_up_s":4.0,
        "arrive_by_s":900.0})
}

/// Fields that may be null or left out.
const OPTIONAL_FIELDS: [&str; 3] = ["hulls_list", "basin", "arrive_by_s"];

fn assert_refused(body: &Value, field: &str) {
    let outcome = decode_job_id(body).and_then(|_| decode_submission(body));
    let reason = outcome.expect_err(field).to_string();
    assert!(reason.contains(field), "{field}: {reason}");
}

#[test]
fn a_field_that_is_missing_or_null_is_named() {
    assert!(decode_submission(&valid_submission()).is_ok());
    let fields: Vec<String> = (valid_submission().as_object().expect("object").keys())
        .cloned()
        .collect();
    assert_eq!(fields.len(), 20);
    for field in fields {
        let mut without = valid_submission();
        without.as_object_mut().expect("object").remove(&field);
        let mut null = valid_submission();
        null[&field] = Value::Null;
        if OPTIONAL_FIELDS.contains(&&*field) {
            assert!(decode_submission(&without).is_ok(), "{field}");
            assert!(decode_submission(&null).is_ok(), "{field}");
        } else {
            assert_refused(&without, &field);
            assert_refused(&null, &field);
        }
    }
}

#[test]
fn a_field_of_the_wrong_type_is_named() {
    for field in valid_submission().as_object().expect("object").keys() {
        for wrong in [
            json!({"a": 1}),
            json!([[1]]),
            json!("\u{0}nonsense"),
            json!(-7.25),
        ] {
            // Names may be any text.
            let text = matches!(&**field, "berth" | "crew" | "hull" | "basin");
            if text && wrong.is_string() {
                continue;
            }
            let mut body = valid_submission();
            body[field] = wrong;
            assert_refused(&body, field);
        }
        let number = valid_submission()[field].is_number();
        for wrong in [json!("8"), json!(true)] {
            if number {
                let mut body = valid_submission();
                body[field] = wrong;
                assert_refused(&body, field);
            }
        }
    }
}

#[test]
fn a_value_out_of_range_is_named() {
    for (field, bad) in [
        ("ref", json!("task-1")),
        ("ref", json!("job-")),
        ("ref", json!("job-12x")),
        ("ref", json!(format!("job-{}", "1".repeat(41)))),
        ("legs", json!(0)),
        ("legs", json!(1.5)),
        ("legs", json!(100_001)),
        ("legs", json!(-1)),
        ("cpus", json!(-1)),
        ("cpus", json!(1e300)),
        ("accelerators", json!(-0.5)),
        ("mem_gb", json!(1e300)),
        ("image_gb", json!(-1)),
        ("rig", json!("cluster")),
        ("precedence", json!("highest")),
        ("passage_s", json!(-1)),
        ("moor_every_s", json!(1e300)),
        ("tie_up_s", json!(-0.1)),
        ("arrive_by_s", json!(-3)),
        ("crew", json!("")),
        ("berth", json!("x".repeat(201))),
        ("hulls_list", json!([1])),
        ("hulls_list", json!(["g8", null])),
    ] {
        let mut body = valid_submission();
        body[field] = bad;
        assert_refused(&body, field);
    }
}

#[test]
fn a_body_that_is_not_an_object_is_refused() {
    for body in [
        json!([1]),
        json!("job-000412"),
        json!(7),
        json!(null),
        json!(true),
    ] {
        assert!(decode_job_id(&body).is_err() && decode_submission(&body).is_err());
    }
    assert_eq!(decode_job_id(&valid_submission()).ok(), Some("job-000412"));
}

#[test]
fn waits_on_holds_job_ids_or_is_left_out() {
    let with = |dependencies: Value| {
        let mut body = valid_submission();
        body["waits_on"] = dependencies;
        decode_submission(&body)
    };
    for none in [json!(null), json!([])] {
        assert!(with(none).expect("accepted").dependencies.is_empty());
    }
    // Duplicates are removed.
    let two = with(json!(["job-000405", "job-000398", "job-000405"])).expect("accepted");
    assert_eq!(two.dependencies, ["job-000398", "job-000405"]);
    for bad in [
        json!("job-000398"),
        json!(7),
        json!(true),
        json!({"job-000398": 1}),
        json!([7]),
        json!([null]),
        json!([["job-000398"]]),
        json!(["job-000398", "task-1"]),
        json!(["job-"]),
        json!([""]),
        json!(["job-000398/0"]),
    ] {
        let reason = with(bad.clone()).expect_err("refused").to_string();
        assert!(reason.contains("waits_on"), "{bad}: {reason}");
    }
    let many = |n: usize| {
        (0..n)
            .map(|i| json!(format!("job-{i:06}")))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        with(json!(many(MAX_DEPENDENCIES))).map(|s| s.dependencies.len()),
        Ok(MAX_DEPENDENCIES)
    );
    assert!(with(json!(many(MAX_DEPENDENCIES + 1))).is_err());
    // A body can hold the largest accepted number of dependencies.
    let mut body = valid_submission();
    body["waits_on"] = json!(many(MAX_DEPENDENCIES));
    assert!(body.to_string().len() < crate::wire::MAX_BODY_BYTES);
}

/// A submission that is encoded for another cell is decoded there as the same job.
#[test]
fn a_submission_to_another_cell_is_read_as_the_same_job() {
    let mut body = valid_submission();
    for rig in ["sweep", "ensemble", "service"] {
        for precedence in ["production", "urgent", "normal", "best_effort"] {
            body["rig"] = json!(rig);
            body["precedence"] = json!(precedence);
            let spec = decode_submission(&body).expect("valid");
            let sent = Submission {
                id: "job-000412000001".to_owned(),
                deadline: spec.deadline,
                spec: std::sync::Arc::new(spec.clone()),
                closing: rig == "sweep",
            };
            let encoded = encode_submission(&sent);
            assert_eq!(decode_job_id(&encoded), Ok("job-000412000001"));
            assert_eq!(decode_submission(&encoded), Ok(spec));
            assert_eq!(decode_closing(&encoded), sent.closing);
        }
    }
    let decoded =
        |flag: bool| decode_unless_begun(encode_cancellation(flag).to_string().as_bytes());
    assert!(decoded(true) && !decoded(false));
    assert!(!decode_unless_begun(b"") && !decode_unless_begun(b"[1]"));
}

/// The values that every field is set to.
fn test_values() -> Vec<Value> {
    let names = |count: usize| vec!["g8"; count];
    let ids = |count: usize| -> Vec<String> { (0..count).map(|n| format!("job-{n}")).collect() };
    let mut values = vec![
        json!(null),
        json!(true),
        json!({"a": 1}),
        json!([]),
        json!([[1]]),
        json!([null]),
        json!(["g8", 1]),
        json!(["job-1", "job-"]),
        json!(names(100)),
        json!(names(101)),
        json!(vec![1; 101]),
        json!(ids(MAX_DEPENDENCIES)),
        json!(ids(MAX_DEPENDENCIES + 1)),
        json!(vec![1; MAX_DEPENDENCIES + 1]),
        json!(""),
        json!("8"),
        json!("ensemble"),
        json!("Urgent"),
        json!("job-"),
        json!("job-12x"),
        json!("job-7"),
        json!(format!("job-{}", "1".repeat(41))),
        json!("x".repeat(200)),
        json!("x".repeat(201)),
        json!("\u{0}\"quoted\""),
    ];
    let integers = [-1, 0, 1, 100_000, 100_001, 1_000_000_000, 1_000_000_001];
    values.extend(integers.iter().map(|number| json!(number)));
    let numbers = [-7.25, -0.0, 0.5, 1.0, 8.0, 1e9, 1.000_000_001e9, 1e300];
    values.extend(numbers.iter().map(|number| json!(number)));
    values.push(json!(u64::MAX));
    values.push(json!(i64::MIN));
    values
}

/// Returns the outcome of a submission as one line: the error or, if it is accepted, how `field` was decoded.
fn outcome(body: &Value, field: Option<&str>) -> String {
    let spec = match decode_job_id(body).and_then(|_| decode_submission(body)) {
        Ok(spec) => spec,
        Err(reason) => return reason.to_string(),
    };
    let dependencies = spec.dependencies.len();
    let encoded = encode_submission(&Submission {
        id: decode_job_id(body).expect("decoded above").to_owned(),
        deadline: spec.deadline,
        spec: std::sync::Arc::new(spec),
        closing: false,
    });
    match field {
        Some("waits_on") => format!("taken with {dependencies} ids"),
        Some(field) => format!("taken as {}", abridged(&encoded[field])),
        None => "taken".to_owned(),
    }
}

/// Returns the beginning of a value and its length, which tells long values apart.
fn abridged(value: &Value) -> String {
    let text = value.to_string();
    let start: String = text.chars().take(24).collect();
    format!("{start} ({} bytes)", text.len())
}

/// Returns the outcomes of submissions with each field set to each value, and with each pair of fields missing
/// or of the wrong type.
fn outcomes() -> String {
    let mut fields: Vec<String> = valid_submission()
        .as_object()
        .expect("object")
        .keys()
        .cloned()
        .collect();
    fields.push("waits_on".to_owned());
    let mut lines = Vec::new();
    for field in &fields {
        for value in test_values() {
            let mut body = valid_submission();
            body[field] = value.clone();
            lines.push(format!(
                "{field} = {}: {}",
                abridged(&value),
                outcome(&body, Some(field))
            ));
        }
    }
    for (index, first) in fields.iter().enumerate() {
        for second in &fields[index + 1..] {
            let mut without = valid_submission();
            let object = without.as_object_mut().expect("object");
            object.remove(first);
            object.remove(second);
            lines.push(format!(
                "without {first}, {second}: {}",
                outcome(&without, None)
            ));
            let mut wrong = valid_submission();
            wrong[first] = json!({});
            wrong[second] = json!({});
            lines.push(format!(
                "wrong {first}, {second}: {}",
                outcome(&wrong, None)
            ));
        }
    }
    lines.join("\n") + "\n"
}

/// Users and other programs read these texts, so the field that is named first and the reason must not change.
#[test]
fn every_outcome_has_its_recorded_text() {
    let recorded = include_str!("outcomes.txt");
    let present = outcomes();
    for (recorded, present) in recorded.lines().zip(present.lines()) {
        assert_eq!(recorded, present);
    }
    assert_eq!(recorded.lines().count(), present.lines().count());
}
