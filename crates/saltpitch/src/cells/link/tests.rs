//! How the answers of a peer cell are read.

use bytes::Bytes;

use super::*;

const ID: &str = "job-0001000001";

fn reply(status: u16, body: &str) -> Reply {
    Reply {
        status,
        body: Bytes::from(body.to_owned()),
        retry_after_s: None,
    }
}

fn asked(status: u16, body: &str) -> LinkAnswer {
    let request = LinkRequest::Status { id: ID.to_owned() };
    decode(&request, &reply(status, body))
}

#[test]
fn a_job_of_which_a_task_has_completed_has_begun() {
    let body =
        |word: &str, done: u32| format!(r#"{{"ref":"{ID}","status":"{word}","done":{done}}}"#);
    let expected = [
        ("pending", 0, HostStatus::Pending),
        ("pending", 2, HostStatus::Running),
        ("running", 0, HostStatus::Running),
        ("done", 4, HostStatus::Done),
        ("withdrawn", 0, HostStatus::Withdrawn),
    ];
    for (word, done, status) in expected {
        assert_eq!(asked(200, &body(word, done)), LinkAnswer::Status(status));
    }
}

#[test]
fn answers_that_cannot_be_read_say_nothing_about_the_job() {
    let bodies = [
        "",
        "[]",
        "{}",
        r#"{"ref":"job-0001000001"}"#,
        r#"{"ref":"job-0001000001","status":"sunk"}"#,
        r#"{"ref":"job-0001000002","status":"done"}"#,
        r#"{"ref":"job-0001000001","status":"done","done":-1}"#,
    ];
    for body in bodies {
        assert!(
            matches!(asked(200, body), LinkAnswer::Malformed(_)),
            "{body}"
        );
    }
    assert_eq!(asked(404, "?"), LinkAnswer::NotFound);
    let LinkAnswer::Refused(refusal) = asked(503, "?") else {
        panic!("503 is a refusal");
    };
    assert!(!refusal.is_definite());
}
