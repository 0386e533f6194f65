//! The fingerprint of two cells: what both did, and the calls over the links between them.

use saltpitch_cells::link::{HostStatus, LinkAnswer, LinkRequest};

use super::Cells;
use crate::trace::Trace;

impl Cells {
    /// Returns the fingerprint of both cells and of the links between them.
    pub fn fingerprint(&self) -> u64 {
        let mut trace = self.trace;
        for cell in &self.cells {
            trace.number(cell.simulation.fingerprint());
        }
        trace.hash()
    }
}

/// Records a request that a cell sends.
pub(super) fn trace_request(trace: &mut Trace, request: &LinkRequest) {
    match request {
        LinkRequest::Readiness => trace.text("up"),
        LinkRequest::Submit(submission) => trace
            .text("runs")
            .text(&submission.id)
            .number(submission.deadline.map_or(u64::MAX, |left| left.0))
            .number(u64::from(submission.closing)),
        LinkRequest::Status { id } => trace.text("status").text(id),
        LinkRequest::Abort { id, unless_begun } => trace
            .text("abort")
            .text(id)
            .number(u64::from(*unless_begun)),
    };
}

/// Records an answer as the calling cell receives it.
pub(super) fn trace_answer(trace: &mut Trace, answer: &LinkAnswer) {
    match answer {
        LinkAnswer::Ready => trace.number(200),
        LinkAnswer::Status(status) => trace.number(200).text(match status {
            HostStatus::Pending => "pending",
            HostStatus::Running => "running",
            HostStatus::Done => "done",
            HostStatus::Withdrawn => "withdrawn",
        }),
        LinkAnswer::Closed => trace.number(201),
        LinkAnswer::NotFound => trace.number(404),
        LinkAnswer::Refused(refusal) => trace.number(u64::from(refusal.status)),
        LinkAnswer::NotSent => trace.text("not sent"),
        LinkAnswer::NoAnswer => trace.text("no answer"),
        LinkAnswer::Malformed(_) => trace.text("malformed"),
    };
}
