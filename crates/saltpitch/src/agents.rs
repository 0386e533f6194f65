//! Agents' heartbeats.

use saltpitch_core::controller::HeartbeatAnswer;

use crate::node::Node;
use crate::wire::agents;

/// The answer to a heartbeat.
pub struct ReportReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl Node {
    /// Answers an agent's heartbeat.
    pub fn report(&self, body: &[u8]) -> ReportReply {
        let heartbeat = match agents::decode_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::error!("unreadable report refused: {error}");
                let body = agents::redirect(None);
                return ReportReply { status: 400, body };
            }
        };
        let now = self.now();
        let answer = self.controller().agent_heartbeat(heartbeat, now);
        match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => {
                self.wake.notify_one();
                let body = agents::encode_commands(fencing_token, None, &commands);
                ReportReply { status: 200, body }
            }
            HeartbeatAnswer::Redirect { leader } => {
                let body = agents::redirect(leader.as_deref());
                ReportReply { status: 421, body }
            }
        }
    }
}
