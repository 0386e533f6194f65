//! Decoding of a peer cell's answers.

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

fn decode_status_reply(status: u16, body: &str) -> LinkAnswer {
    let request = LinkRequest::Status { id: ID.to_owned() };
    decode(&request, &reply(status, body))
}

#[test]
fn a_pending_job_with_a_completed_task_counts_as_running() {
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
        assert_eq!(
            decode_status_reply(200, &body(word, done)),
            LinkAnswer::Status(status)
        );
    }
}

#[test]
fn malformed_answers_give_no_status() {
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
            matches!(decode_status_reply(200, body), LinkAnswer::Malformed(_)),
            "{body}"
        );
    }
    assert_eq!(decode_status_reply(404, "?"), LinkAnswer::NotFound);
    let LinkAnswer::Refused(refusal) = decode_status_reply(503, "?") else {
        panic!("503 is not decoded as a refusal");
    };
    assert!(!refusal.is_definite());
}
