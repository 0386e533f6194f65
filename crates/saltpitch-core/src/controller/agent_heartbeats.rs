//! Handling of agents' heartbeats: the leader answers them, and all other controllers redirect the agent.

use crate::agent::{Command, Heartbeat};
use crate::scheduler::AgentCommands;
use crate::time::Micros;

use super::{Controller, LossReason, Notice};

/// The number of remembered redirects above which expired ones are removed.
const MAX_REDIRECTED_AGENTS: usize = 10_000;
/// How long a redirect is kept when expired ones are removed.
const REDIRECT_RETENTION: Micros = Micros::from_secs(10);

/// The answer to an agent's heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatAnswer {
    /// The agent's lease is renewed, and the agent is to execute these commands.
    Commands {
        /// The fencing token of the answer.
        fencing_token: u64,
        /// The commands, in the order of their execution.
        commands: Vec<Command>,
    },
    /// This controller does not answer; the agent should try another one.
    Redirect {
        /// The name of the leader, if this controller knows it and can reach it.
        leader: Option<String>,
    },
}

impl Controller {
    /// Answers an agent's heartbeat. A heartbeat with a fencing token above this leader's ends the leadership.
    pub fn agent_heartbeat(&mut self, heartbeat: Heartbeat, now: Micros) -> HeartbeatAnswer {
        if !self.may_answer(now) {
            return self.redirect(heartbeat.machine, now);
        }
        let rejection = HeartbeatAnswer::Redirect { leader: None };
        let is_returned = self.records.returned_machines.contains(&heartbeat.machine);
        let Some(leadership) = &mut self.leadership else {
            return rejection;
        };
        let term = leadership.scheduler.term();
        let seen_token = heartbeat.fencing_token;
        let machine = heartbeat.machine.clone();
        match leadership
            .scheduler
            .heartbeat_received(heartbeat, is_returned, now)
        {
            Ok(AgentCommands {
                fencing_token,
                commands,
            }) => HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            },
            Err(reason) => {
                self.notices.push(Notice::HeartbeatRejected {
                    machine,
                    fencing_token: seen_token,
                    reason,
                });
                if seen_token > term {
                    self.lose_leadership(LossReason::NewerToken);
                }
                rejection
            }
        }
    }

    fn redirect(&mut self, machine: String, now: Micros) -> HeartbeatAnswer {
        self.redirected.insert(machine, now);
        if self.redirected.len() > MAX_REDIRECTED_AGENTS {
            self.redirected
                .retain(|_, at| now.since(*at) < REDIRECT_RETENTION);
        }
        HeartbeatAnswer::Redirect {
            leader: self.reachable_other_leader(now).map(str::to_owned),
        }
    }

    /// Returns how many agents this controller redirected within two heartbeat intervals and 5 seconds.
    pub(super) fn recently_redirected(&self, now: Micros) -> u32 {
        let interval = self.config.scheduler.heartbeat_interval.times(2.0);
        let span = interval.plus(Micros::from_secs(5));
        let recent = self.redirected.values().filter(|at| now.since(**at) < span);
        recent.count() as u32
    }
}
