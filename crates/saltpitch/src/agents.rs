//! Handles the heartbeats of agents.

use saltpitch_core::controller::HeartbeatAnswer;

use crate::node::Node;
use crate::wire::agents;

/// The response to a heartbeat.
pub struct HeartbeatReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl HeartbeatReply {
    fn new(status: u16, body: Vec<u8>) -> HeartbeatReply {
        HeartbeatReply { status, body }
    }
}

impl Node {
    /// Handles an agent's heartbeat and returns the response: commands if this node leads and may
    /// answer agents, otherwise a redirect that names the leader if it is known.
    pub fn answer_heartbeat(&self, body: &[u8]) -> HeartbeatReply {
        let heartbeat = match agents::decode_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::error!(
                    "unreadable heartbeat of an agent, answering with status 400: {error}"
                );
                return HeartbeatReply::new(400, agents::encode_redirect(None));
            }
        };
        let now = self.now();
        let answer = self.controller().agent_heartbeat(heartbeat, now);
        match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => {
                self.scheduler_wakeup.notify_one();
                let body = agents::encode_commands(fencing_token, None, &commands);
                HeartbeatReply::new(200, body)
            }
            HeartbeatAnswer::Redirect { leader } => {
                let body = agents::encode_redirect(leader.as_deref());
                HeartbeatReply::new(421, body)
            }
        }
    }
}
