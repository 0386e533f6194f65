//! Workers' reports: answered by the leader, redirected by everybody else.

use crate::cluster::{Order, Report};
use crate::time::Micros;

use super::{Controller, LossReason, Notice};

/// How many redirected workers are remembered before old ones are dropped, and for how long those
/// are kept then.
const MAX_REDIRECTED: usize = 10_000;
const REDIRECTED_KEPT: Micros = Micros::from_secs(10);

/// The answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportAnswer {
    /// The worker's lease is renewed; these orders are for it.
    Orders {
        /// The fencing token.
        token: u64,
        /// The orders, to be executed in this sequence.
        orders: Vec<Order>,
    },
    /// Another controller may answer.
    Redirect {
        /// Its name, if it is known.
        leader: Option<String>,
    },
}

impl Controller {
    /// Answers a worker's report.
    pub fn report(&mut self, report: Report, now: Micros) -> ReportAnswer {
        if !self.may_answer(now) {
            return self.redirect(report.machine, now);
        }
        let nobody = ReportAnswer::Redirect { leader: None };
        let returned = self.view.gone.contains(&report.machine);
        let Some(leadership) = &mut self.leadership else {
            return nobody;
        };
        let token = leadership.leader.term;
        let seen_token = report.token;
        let machine = report.machine.clone();
        match leadership.leader.report(report, returned, now) {
            Ok(orders) => ReportAnswer::Orders { token, orders },
            Err(reason) => {
                self.notices.push(Notice::ReportRefused {
                    machine,
                    token: seen_token,
                    reason,
                });
                if seen_token > token {
                    self.lose_leadership(LossReason::NewerToken);
                }
                nobody
            }
        }
    }

    fn redirect(&mut self, machine: String, now: Micros) -> ReportAnswer {
        self.redirected.insert(machine, now);
        if self.redirected.len() > MAX_REDIRECTED {
            self.redirected
                .retain(|_, at| now.since(*at) < REDIRECTED_KEPT);
        }
        ReportAnswer::Redirect {
            leader: self.leader_elsewhere(now).map(str::to_owned),
        }
    }

    /// How many workers were redirected within about two report intervals.
    pub(super) fn recently_redirected(&self, now: Micros) -> u32 {
        let interval = self.config.scheduler.report.times(2.0);
        let span = interval.plus(Micros::from_secs(5));
        let recent = self.redirected.values().filter(|at| now.since(**at) < span);
        recent.count() as u32
    }
}
