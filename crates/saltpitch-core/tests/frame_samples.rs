//! Compatibility of the frames between controllers of different versions: this version reads what each version wrote
//! that may be in production, and what it writes equals byte for byte what the newest of them writes and reads.

use saltpitch_core::messages::{
    AckRequest, PeerRequest, PeerResponse, PeerStatus, UserRequest, PROTOCOL_VERSION,
};
use saltpitch_core::records::{AckCursor, CancellationAck};
use serde::de::DeserializeOwned;
use serde::Serialize;

mod common;
use common::{sample, samples, Sample};

/// Frames of protocol version 0, whose fields are encoded by position.
const VERSION_0: &str = include_str!("samples/frames-0eaad3a.tsv");
/// Frames of the version in production, whose fields are encoded by name.
const VERSION_1: &str = include_str!("samples/frames-839b1d9.tsv");

/// Decodes hexadecimal digits.
fn bytes(hex: &str) -> Vec<u8> {
    let digit = |c: u8| (c as char).to_digit(16).expect("a hexadecimal digit") as u8;
    hex.as_bytes()
        .chunks(2)
        .map(|pair| digit(pair[0]) * 16 + digit(pair[1]))
        .collect()
}

/// Returns the frame that this version writes, in hexadecimal.
fn written<T: Serialize>(message: &T) -> String {
    let frame = rmp_serde::to_vec_named(message).expect("the message is serialisable");
    frame.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a frame that is given in hexadecimal.
fn read<T: DeserializeOwned>(hex: &str) -> T {
    rmp_serde::from_slice(&bytes(hex)).expect("the frame is readable")
}

fn plain_status() -> PeerStatus {
    PeerStatus {
        node: "n1".to_owned(),
        term: 7,
        term_owner: "n0".to_owned(),
        term_incarnation: 1_700_000_000_000_000,
        is_leader: false,
        store_reachable: true,
        redirected_agents: 3,
        protocol_version: 1,
        ack_request: None,
        ack: None,
    }
}

/// Returns a status that uses every field.
fn full_status() -> PeerStatus {
    PeerStatus {
        is_leader: true,
        store_reachable: false,
        ack_request: Some(AckRequest {
            revision: 9,
            cursor: AckCursor {
                process: 5,
                entries: 2,
            },
        }),
        ack: Some(CancellationAck {
            next: AckCursor {
                process: 6,
                entries: 1,
            },
            has_more: false,
            cancelled: vec!["job-000002".to_owned()],
        }),
        ..plain_status()
    }
}

/// Returns a status with the first page of an acknowledgement that has more pages.
fn status_with_ack_page() -> PeerStatus {
    PeerStatus {
        ack: Some(CancellationAck {
            next: AckCursor {
                process: 6,
                entries: 1_000,
            },
            has_more: true,
            cancelled: Vec::new(),
        }),
        ..plain_status()
    }
}

/// Returns each request that is sampled, with the name of its sample.
fn requests() -> Vec<(&'static str, PeerRequest)> {
    let id = "job-000001".to_owned();
    vec![
        ("ask-status-with-all", PeerRequest::Heartbeat(full_status())),
        ("ask-status-plain", PeerRequest::Heartbeat(plain_status())),
        (
            "ask-submit",
            PeerRequest::User(UserRequest::Submit(b"{}".to_vec())),
        ),
        (
            "ask-query",
            PeerRequest::User(UserRequest::Query(id.clone())),
        ),
        ("ask-cancel", PeerRequest::User(UserRequest::Cancel(id))),
    ]
}

/// Returns each response that is sampled, with the name of its sample.
fn responses() -> Vec<(&'static str, PeerResponse)> {
    let user_response = PeerResponse::User {
        status: 200,
        body: "{}".to_owned(),
    };
    vec![
        (
            "say-status-with-word",
            PeerResponse::Heartbeat(status_with_ack_page()),
        ),
        ("say-status-plain", PeerResponse::Heartbeat(plain_status())),
        ("say-user", user_response),
        ("say-unable", PeerResponse::Unable),
    ]
}

#[test]
fn production_frames_are_read_and_written_byte_for_byte() {
    let all = samples(VERSION_1);
    assert_eq!(all.len(), requests().len() + responses().len());
    for (name, message) in requests() {
        assert_eq!(read::<PeerRequest>(sample(&all, name)), message, "{name}");
        assert_eq!(written(&message), sample(&all, name), "{name}");
    }
    for (name, message) in responses() {
        assert_eq!(read::<PeerResponse>(sample(&all, name)), message, "{name}");
        assert_eq!(written(&message), sample(&all, name), "{name}");
    }
}

#[test]
fn frames_of_protocol_version_0_are_readable() {
    let all = samples(VERSION_0);
    let expected = PeerStatus {
        is_leader: true,
        store_reachable: false,
        protocol_version: 0,
        ..plain_status()
    };
    let peer_heartbeat: PeerRequest = read(sample(&all, "ask-status-plain"));
    assert_eq!(peer_heartbeat, PeerRequest::Heartbeat(expected));
    for (name, message) in requests().into_iter().skip(2) {
        assert_eq!(read::<PeerRequest>(sample(&all, name)), message, "{name}");
    }
    for (name, message) in responses().into_iter().skip(2) {
        assert_eq!(read::<PeerResponse>(sample(&all, name)), message, "{name}");
    }
}

/// Users' requests are encoded as in version 0, so that a controller of version 0 can read them.
#[test]
fn requests_of_users_are_written_as_version_0_wrote_them() {
    let all = samples(VERSION_0);
    for (name, message) in requests().into_iter().skip(2) {
        assert_eq!(written(&message), sample(&all, name), "{name}");
    }
}

#[test]
fn the_protocol_version_is_that_of_the_samples() {
    assert_eq!(PROTOCOL_VERSION, plain_status().protocol_version);
}

/// A later version may add fields; this version must ignore them.
#[test]
fn unknown_fields_of_a_later_version_are_ignored() {
    #[derive(Serialize)]
    struct LaterStatus {
        node: &'static str,
        term: u64,
        owner: &'static str,
        life: u64,
        leads: bool,
        store_up: bool,
        knocks: u32,
        version: u32,
        queue_lengths: Vec<u32>,
    }
    #[derive(Serialize)]
    enum LaterRequest {
        Hello(LaterStatus),
    }
    let frame = written(&LaterRequest::Hello(LaterStatus {
        node: "n1",
        term: 7,
        owner: "n0",
        life: 1_700_000_000_000_000,
        leads: false,
        store_up: true,
        knocks: 3,
        version: 9,
        queue_lengths: vec![1, 2],
    }));
    let expected = PeerStatus {
        protocol_version: 9,
        ..plain_status()
    };
    assert_eq!(
        read::<PeerRequest>(&frame),
        PeerRequest::Heartbeat(expected)
    );
}

/// Truncated frames and frames with an unknown message are refused. A frame with a changed byte may be refused or read
/// as another valid message, but reading it must not panic.
#[test]
fn damaged_and_unknown_frames_are_refused_or_read_without_panic() {
    let unknown = [
        "81a554726164658101a3",
        "a85265736574416c6c",
        "",
        "c1",
        "ffffffff",
    ];
    for hex in unknown {
        assert!(rmp_serde::from_slice::<PeerRequest>(&bytes(hex)).is_err());
        assert!(rmp_serde::from_slice::<PeerResponse>(&bytes(hex)).is_err());
    }
    for Sample { name, content } in [samples(VERSION_0), samples(VERSION_1)].concat() {
        let frame = bytes(content);
        for end in 0..frame.len() {
            let request = rmp_serde::from_slice::<PeerRequest>(&frame[..end]);
            let response = rmp_serde::from_slice::<PeerResponse>(&frame[..end]);
            assert!(
                request.is_err() && response.is_err(),
                "the first {end} bytes of {name} are refused"
            );
        }
        for position in 0..frame.len() {
            let mut changed = frame.clone();
            changed[position] ^= 0xff;
            let _ = rmp_serde::from_slice::<PeerRequest>(&changed);
            let _ = rmp_serde::from_slice::<PeerResponse>(&changed);
        }
    }
}
