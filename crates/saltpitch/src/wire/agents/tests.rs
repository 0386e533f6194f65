//! Which heartbeats are taken.

use super::*;

#[test]
fn reports_are_read_or_refused_whole() {
    let good = br#"{"bollard":"vm-1","endpoint":"10.1.0.2:9000","hull_type":"g8","basin":"a",
        "watch":1,"log_no":8,"helm_mark":4,"warning_s":null,"new":1,
        "legs":[{"leg":"job-1/3","launch_no":2,"status":"exited","cause":"no_such"}]}"#;
    let r = decode_heartbeat(good).expect("well formed");
    assert_eq!(
        (r.agent_epoch, r.sequence, r.fencing_token, r.spot),
        (1, 8, 4, false)
    );
    assert_eq!(r.tasks[0].task, 3);
    let text = String::from_utf8_lossy(good);
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
