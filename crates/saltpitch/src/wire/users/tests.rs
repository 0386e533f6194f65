//! What submissions are refused for: every field missing, of the wrong type, and out of range.

use super::*;

fn good() -> Value {
    json!({"ref":"job-000412","berth":"train","crew":"vision","rig":"ensemble",
        "precedence":"urgent","legs":16,"cpus":8.0,"accelerators":1.0,"mem_gb":64.0,
        "hull":"img-07","image_gb":6.2,"hulls_list":["g8"],"basin":null,"together":true,
        "spread":false,"lay_by":true,"passage_s":240.0,"moor_every_s":30.0,"tie_up_s":4.0,
        "arrive_by_s":900.0})
}

/// Fields that may be null, and so be left out.
const MAY_BE_NULL: [&str; 3] = ["hulls_list", "basin", "arrive_by_s"];

fn refused(body: &Value, field: &str) {
    let end = id_of(body).and_then(|_| submission(body));
    let reason = end.expect_err(field);
    assert!(reason.contains(field), "{field}: {reason}");
}

#[test]
fn a_field_that_is_missing_or_null_is_named() {
    assert!(submission(&good()).is_ok());
    let fields: Vec<String> = (good().as_object().expect("object").keys())
        .cloned()
        .collect();
    assert_eq!(fields.len(), 20);
    for field in fields {
        let mut without = good();
        without.as_object_mut().expect("object").remove(&field);
        let mut null = good();
        null[&field] = Value::Null;
        if MAY_BE_NULL.contains(&&*field) {
            assert!(submission(&without).is_ok(), "{field}");
            assert!(submission(&null).is_ok(), "{field}");
        } else {
            refused(&without, &field);
            refused(&null, &field);
        }
    }
}

#[test]
fn a_field_of_the_wrong_type_is_named() {
    for field in good().as_object().expect("object").keys() {
        for wrong in [
            json!({"a": 1}),
            json!([[1]]),
            json!("\u{0}nonsense"),
            json!(-7.25),
        ] {
            // A name is any text.
            let text = matches!(&**field, "berth" | "crew" | "hull" | "basin");
            if text && wrong.is_string() {
                continue;
            }
            let mut body = good();
            body[field] = wrong;
            refused(&body, field);
        }
        let number = good()[field].is_number();
        for wrong in [json!("8"), json!(true)] {
            if number {
                let mut body = good();
                body[field] = wrong;
                refused(&body, field);
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
        let mut body = good();
        body[field] = bad;
        refused(&body, field);
    }
}

#[test]
fn what_is_not_an_object_is_refused() {
    for body in [
        json!([1]),
        json!("job-000412"),
        json!(7),
        json!(null),
        json!(true),
    ] {
        assert!(id_of(&body).is_err() && submission(&body).is_err());
    }
    assert_eq!(id_of(&good()).ok(), Some("job-000412"));
}

#[test]
fn waits_on_holds_job_ids_or_is_left_out() {
    let with = |dependencies: Value| {
        let mut body = good();
        body["waits_on"] = dependencies;
        submission(&body)
    };
    for none in [json!(null), json!([])] {
        assert!(with(none).expect("accepted").dependencies.is_empty());
    }
    // Named twice is named.
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
        let reason = with(bad.clone()).expect_err("refused");
        assert!(reason.contains("waits_on"), "{bad}: {reason}");
    }
    let many = |n: usize| {
        (0..n)
            .map(|i| json!(format!("job-{i:06}")))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        with(json!(many(MAX_NEEDS))).map(|s| s.dependencies.len()),
        Ok(MAX_NEEDS)
    );
    assert!(with(json!(many(MAX_NEEDS + 1))).is_err());
    // The bound lies within what a body may hold.
    let mut body = good();
    body["waits_on"] = json!(many(MAX_NEEDS));
    assert!(body.to_string().len() < crate::wire::MAX_BODY);
}

/// What is sent to another cell is read there as the job that it is.
#[test]
fn a_submission_to_another_cell_is_read_as_the_same_job() {
    let mut body = good();
    for rig in ["sweep", "ensemble", "service"] {
        for precedence in ["production", "urgent", "normal", "best_effort"] {
            body["rig"] = json!(rig);
            body["precedence"] = json!(precedence);
            let spec = submission(&body).expect("valid");
            let sent = Submission {
                id: "job-000412000001".to_owned(),
                deadline: spec.deadline,
                spec: std::sync::Arc::new(spec.clone()),
                closing: rig == "sweep",
            };
            let encoded = submission_body(&sent);
            assert_eq!(id_of(&encoded), Ok("job-000412000001"));
            assert_eq!(submission(&encoded), Ok(spec));
            assert_eq!(is_closing(&encoded), sent.closing);
        }
    }
    let abort = |wanted: bool| unless_begun(abort_body(wanted).to_string().as_bytes());
    assert!(abort(true) && !abort(false));
    assert!(!unless_begun(b"") && !unless_begun(b"[1]"));
}
