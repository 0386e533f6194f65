//! Messages between controllers.
//!
//! The serialised form is a published format: controllers of different versions talk to each other
//! during an upgrade. Field and variant names on the wire are fixed by the serde attributes below and
//! must not change when a Rust name does; new fields are optional and come last. Samples of each
//! version that may be in production are tested in `tests/frame_samples.rs`.

use serde::{Deserialize, Serialize};

use crate::records::{AckCursor, CancellationAck};

/// The protocol version that this build speaks, sent in [`PeerStatus::protocol_version`].
///
/// From version 1 on a controller sends [`CancellationAck`]s and relies on those of its peers.
/// Version 0 sent no version field.
pub const PROTOCOL_VERSION: u32 = 1;

/// The status that a controller sends in each heartbeat to a peer and in each answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the sending controller.
    pub node: String,
    /// The highest term that the sender knows.
    pub term: u64,
    /// The controller that holds this term.
    #[serde(rename = "owner")]
    pub term_owner: String,
    /// The incarnation in which the owner took the term.
    #[serde(rename = "life")]
    pub term_incarnation: u64,
    /// Whether the sender leads and may answer agents.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether the state service recently answered the sender.
    #[serde(rename = "store_up")]
    pub store_reachable: bool,
    /// The number of agents whose heartbeats the sender recently redirected to another controller.
    #[serde(rename = "knocks")]
    pub redirected_agents: u32,
    /// The sender's [`PROTOCOL_VERSION`]; 0 if the field is missing.
    #[serde(rename = "version", default)]
    pub protocol_version: u32,
    /// A leader's request that the receiver acknowledge cancellations.
    #[serde(rename = "asks", default, skip_serializing_if = "Option::is_none")]
    pub ack_request: Option<AckRequest>,
    /// The answer to an [`AckRequest`].
    #[serde(rename = "word", default, skip_serializing_if = "Option::is_none")]
    pub ack: Option<CancellationAck>,
}

/// A leader's request for the cancellations that the peer knows and the leader's records lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, AckCursor)", into = "(u64, AckCursor)")]
pub struct AckRequest {
    /// The revision of the leader's records.
    pub revision: u64,
    /// Where the peer's last acknowledgement ended.
    pub cursor: AckCursor,
}

impl From<(u64, AckCursor)> for AckRequest {
    fn from((revision, cursor): (u64, AckCursor)) -> AckRequest {
        AckRequest { revision, cursor }
    }
}

impl From<AckRequest> for (u64, AckCursor) {
    fn from(request: AckRequest) -> (u64, AckCursor) {
        (request.revision, request.cursor)
    }
}

/// A user's request that a controller forwards because it cannot reach the state service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UserRequest {
    /// The body of a submission.
    Submit(Vec<u8>),
    /// A query for the status of the job with this id.
    Query(String),
    /// The cancellation of the job with this id.
    Cancel(String),
}

/// A request from one controller to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A heartbeat.
    #[serde(rename = "Hello")]
    Heartbeat(PeerStatus),
    /// A user's request that the receiver serves on behalf of the sender.
    User(UserRequest),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The answer to a heartbeat.
    #[serde(rename = "Hello")]
    Heartbeat(PeerStatus),
    /// The answer to pass on to the user.
    User {
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        body: String,
    },
    /// The receiver cannot serve the user's request either.
    Unable,
}
