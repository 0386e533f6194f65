//! The encoding of requests to the state service, byte for byte, and the decoding of its answers.

use super::*;

fn transaction() -> Transaction {
    Transaction {
        preconditions: vec![
            Precondition::new("saltpitch/leader", 0),
            Precondition::new("saltpitch/\"quoted\"", 17),
        ],
        writes: vec![
            Write {
                key: "saltpitch/leader".to_owned(),
                value: Some(r#"{"node":"n1"}"#.to_owned()),
            },
            Write {
                key: "saltpitch/old".to_owned(),
                value: None,
            },
        ],
    }
}

#[test]
fn transactions_are_encoded_byte_for_byte() {
    let plain = r#"{"when":[{"path":"saltpitch/leader","entry_no":0},{"path":"saltpitch/\"quoted\"","entry_no":17}],"writes":[{"write":"saltpitch/leader","v":{"node":"n1"}},{"delete":"saltpitch/old"}]}"#;
    let body = encode_transaction(&transaction(), None);
    assert_eq!(String::from_utf8_lossy(&body), plain);
    let lease = LeaseAttachment {
        lease: 9,
        key: "saltpitch/leader",
    };
    let body = encode_transaction(&transaction(), Some(lease));
    let attached = plain.replace(r#""n1"}}"#, r#""n1"},"mooring":9}"#);
    assert_eq!(String::from_utf8_lossy(&body), attached);
    assert_eq!(encode_grant_lease(2_500), br#"{"ttl_ms":2500}"#);
}

#[test]
fn changes_are_read_or_refused_as_a_whole() {
    let decoded = decode_changes(
        br#"{"ledger_no":9,"news":[{"write":"a","v":{"x":1},"entry_no":7},{"delete":"b","entry_no":9}]}"#,
    )
    .expect("well formed");
    assert_eq!(decoded.revision, 9);
    let keys: Vec<&str> = decoded.changes.iter().map(|c| c.key.as_str()).collect();
    assert_eq!(keys, ["a", "b"]);
    assert!(decoded.changes[0].value.is_some() && decoded.changes[1].value.is_none());
    for (change, reason) in [
        (
            r#"{"write":"a","entry_no":7}"#,
            DecodeError::WriteWithoutValue,
        ),
        (
            r#"{"write":"a","delete":"a","v":1,"entry_no":7}"#,
            DecodeError::NotOneOfWriteAndDelete,
        ),
        (
            r#"{"v":1,"entry_no":7}"#,
            DecodeError::NotOneOfWriteAndDelete,
        ),
    ] {
        let body = format!(r#"{{"ledger_no":9,"news":[{change}]}}"#);
        let error = decode_changes(body.as_bytes()).err();
        assert_eq!(error, Some(reason), "{change}");
    }
}

#[test]
fn answers_to_transactions_have_the_revision_or_the_failed_keys() {
    let committed = decode_transaction_reply(br#"{"ledger_no":12}"#).expect("well formed");
    assert_eq!((committed.revision, committed.failed_keys.len()), (12, 0));
    let conflict = decode_transaction_reply(br#"{"ledger_no":12,"failed":["a"]}"#);
    assert_eq!(conflict.expect("well formed").failed_keys, ["a"]);
    assert_eq!(decode_lease(br#"{"mooring":5}"#), Ok(5));
    assert!(decode_lease(br#"{"mooring":-5}"#).is_err());
}
