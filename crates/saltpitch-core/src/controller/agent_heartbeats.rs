//! Agents' heartbeats: answered by the leader, redirected by everybody else.

use crate::agent::{Command, Heartbeat};
use crate::time::Micros;

use super::{Controller, LossReason, Notice};

/// How many redirected agents are remembered before old ones are dropped, and for how long those
/// are kept then.
const MAX_REDIRECTED: usize = 10_000;
const REDIRECTED_KEPT: Micros = Micros::from_secs(10);

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatAnswer {
    /// The agent's lease is renewed; these commands are for it.
    Commands {
        /// The fencing token.
        fencing_token: u64,
        /// The commands, to be executed in this sequence.
        commands: Vec<Command>,
    },
    /// Another controller may answer.
    Redirect {
        /// Its name, if it is known.
        leader: Option<String>,
    },
}

impl Controller {
    /// Answers an agent's heartbeat.
    pub fn agent_heartbeat(&mut self, heartbeat: Heartbeat, now: Micros) -> HeartbeatAnswer {
        if !self.may_answer(now) {
            return self.redirect(heartbeat.machine, now);
        }
        let nobody = HeartbeatAnswer::Redirect { leader: None };
        let returned = self.records.returned_machines.contains(&heartbeat.machine);
        let Some(leadership) = &mut self.leadership else {
            return nobody;
        };
        let fencing_token = leadership.scheduler.term();
        let seen_token = heartbeat.fencing_token;
        let machine = heartbeat.machine.clone();
        match leadership
            .scheduler
            .heartbeat_received(heartbeat, returned, now)
        {
            Ok(commands) => HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            },
            Err(reason) => {
                self.notices.push(Notice::HeartbeatRejected {
                    machine,
                    fencing_token: seen_token,
                    reason,
                });
                if seen_token > fencing_token {
                    self.lose_leadership(LossReason::NewerToken);
                }
                nobody
            }
        }
    }

    fn redirect(&mut self, machine: String, now: Micros) -> HeartbeatAnswer {
        self.redirected.insert(machine, now);
        if self.redirected.len() > MAX_REDIRECTED {
            self.redirected
                .retain(|_, at| now.since(*at) < REDIRECTED_KEPT);
        }
        HeartbeatAnswer::Redirect {
            leader: self.leader_elsewhere(now).map(str::to_owned),
        }
    }

    /// How many agents were redirected within about two heartbeat intervals.
    pub(super) fn recently_redirected(&self, now: Micros) -> u32 {
        let interval = self.config.scheduler.heartbeat_interval.times(2.0);
        let span = interval.plus(Micros::from_secs(5));
        let recent = self.redirected.values().filter(|at| now.since(**at) < span);
        recent.count() as u32
    }
}
