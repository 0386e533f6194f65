//! Workers' reports.

use saltpitch_core::controller::ReportAnswer;

use crate::node::Node;
use crate::wire::workers;

/// The answer to a report.
pub struct ReportReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Vec<u8>,
}

impl Node {
    /// Answers a worker's report.
    pub fn report(&self, body: &[u8]) -> ReportReply {
        let report = match workers::report(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::error!("unreadable report refused: {error}");
                let body = workers::redirect(None);
                return ReportReply { status: 400, body };
            }
        };
        let now = self.now();
        let answer = self.controller().report(report, now);
        match answer {
            ReportAnswer::Orders { token, orders } => {
                self.wake.notify_one();
                let body = workers::orders(token, None, &orders);
                ReportReply { status: 200, body }
            }
            ReportAnswer::Redirect { leader } => {
                let body = workers::redirect(leader.as_deref());
                ReportReply { status: 421, body }
            }
        }
    }
}
