//! Heartbeats that are accepted or refused, and the encoding of commands.

use super::*;

#[test]
fn heartbeats_are_read_or_refused_as_a_whole() {
    let valid = br#"{"bollard":"vm-1","endpoint":"10.1.0.2:9000","hull_type":"g8","basin":"a",
        "watch":1,"log_no":8,"helm_mark":4,"warning_s":null,"new":1,
        "legs":[{"leg":"job-1/3","launch_no":2,"status":"exited","cause":"no_such"}]}"#;
    let heartbeat = decode_heartbeat(valid).expect("well formed");
    assert_eq!(
        (
            heartbeat.agent_epoch,
            heartbeat.sequence,
            heartbeat.fencing_token,
            heartbeat.spot
        ),
        (1, 8, 4, false)
    );
    assert_eq!(heartbeat.tasks[0].task, 3);
    let text = String::from_utf8_lossy(valid);
    for (from, to) in [
        ("\"log_no\":8", "\"log_no\":-8"),
        ("job-1/3", "job-1"),
        ("exited", "asleep"),
        (",\"cause\":\"no_such\"", ""),
        ("vm-1", "vm 1"),
        ("}", ""),
    ] {
        assert!(
            decode_heartbeat(text.replace(from, to).as_bytes()).is_err(),
            "{from}"
        );
    }
}

#[test]
fn commands_are_encoded_byte_for_byte() {
    let commands = [
        Command::Start {
            job: "job-1".into(),
            task: 3,
            attempt: 2,
        },
        Command::Stop {
            job: "job-1".into(),
            task: 4,
            attempt: 1,
            grace: saltpitch_core::Micros::from_millis(2_500),
        },
        Command::Forget {
            job: "job-2".into(),
            task: 0,
            attempt: 1,
        },
    ];
    let orders = r#""orders":[{"order_kind":"launch","leg":"job-1/3","launch_no":2},{"order_kind":"kill","leg":"job-1/4","launch_no":1,"slack_s":2.5},{"order_kind":"reap","leg":"job-2/0","launch_no":1}]"#;
    let answer = encode_commands(7, None, &commands);
    assert_eq!(
        String::from_utf8_lossy(&answer),
        format!(r#"{{"helm_mark":7,{orders}}}"#)
    );
    let request = encode_commands(7, Some(5), &commands);
    assert_eq!(
        String::from_utf8_lossy(&request),
        format!(r#"{{"helm_mark":7,"watch":5,{orders}}}"#)
    );
    assert_eq!(encode_redirect(None), b"{}");
    assert_eq!(encode_redirect(Some("n2")), br#"{"harbour_master":"n2"}"#);
}
