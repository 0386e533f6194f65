//! Handling of a peer cell's answers: their effects on its link and on the delegation that a call was about.

use rand::Rng;
use saltpitch_core::Micros;

use super::step::Request;
use super::{CallSubject, Delegator, PeerCell, REQUEST_INTERVAL, UNCLEAR_ANSWER_INTERVAL};
use crate::link::{HostStatus, LinkAnswer, Refusal};
use crate::notice::Notice;

impl Delegator {
    /// Handles the outcome of a call.
    pub fn call_ended(&mut self, id: u64, answer: LinkAnswer, now: Micros) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.update_link(call.peer, &answer, now);
        match call.subject {
            None => self.update_readiness(call.peer, &answer, now),
            Some(subject) => self.update_delegation(call.peer, &subject, answer, now),
        }
    }

    /// Updates the state of the link, and reports a change of it and answers that cannot be decoded.
    fn update_link(&mut self, peer: usize, answer: &LinkAnswer, now: Micros) {
        let PeerCell { name, link, .. } = &mut self.peer_cells[peer];
        let has_failed = matches!(answer, LinkAnswer::NotSent | LinkAnswer::NoAnswer);
        let has_changed = match has_failed {
            true => link.record_failure(&mut self.random, now),
            false => link.record_answer(),
        };
        let name = name.clone();
        if has_changed {
            self.notify(Notice::Link {
                peer_cell: name.clone(),
                is_working: !has_failed,
            });
        }
        if let LinkAnswer::Malformed(reason) = answer {
            self.notify(Notice::Malformed {
                peer_cell: name,
                reason: reason.clone(),
            });
        }
    }

    /// Handles the answer to `GET /up`.
    fn update_readiness(&mut self, peer: usize, answer: &LinkAnswer, now: Micros) {
        let link = &mut self.peer_cells[peer].link;
        match answer {
            LinkAnswer::Ready => link.record_ready(now),
            LinkAnswer::Refused(refusal) => link.record_not_ready(refusal.retry_after, now),
            _ => {}
        }
    }

    /// Handles the answer to a request about a delegation.
    fn update_delegation(
        &mut self,
        peer: usize,
        subject: &CallSubject,
        answer: LinkAnswer,
        now: Micros,
    ) {
        let interval = REQUEST_INTERVAL.times(self.random.random_range(0.75..1.25));
        let CallSubject {
            job,
            number,
            request,
        } = subject;
        let tracked = self.tracked.get_mut(job);
        let Some(tracked) = tracked.filter(|tracked| tracked.number == *number) else {
            return;
        };
        tracked.call_in_flight = false;
        let observed = &mut tracked.observed;
        observed.next_request_at = now.plus(interval);
        let is_submission = matches!(request, Request::Submit | Request::Close);
        match answer {
            LinkAnswer::Status(status) => self.update_status(peer, job, status, now),
            LinkAnswer::Refused(refusal) => {
                observed.submissions.any_sent |= is_submission;
                observed.offer_failed |= is_submission && refusal.is_definite();
                self.handle_refusal(peer, job, is_submission, &refusal, now);
            }
            LinkAnswer::NotSent => {
                // If no submission was ever sent, none can arrive: the job can return without waiting for the
                // link.
                observed.offer_failed |= is_submission && observed.submissions.none_sent();
            }
            LinkAnswer::Closed => observed.is_closed = request == &Request::Close,
            LinkAnswer::NoAnswer | LinkAnswer::Ready => {
                observed.submissions.any_sent |= is_submission;
            }
            LinkAnswer::Malformed(_) => {
                observed.submissions.any_sent |= is_submission;
                observed.next_request_at = now.plus(UNCLEAR_ANSWER_INTERVAL);
            }
            LinkAnswer::NotFound => {
                observed.submissions.any_sent |= is_submission;
                observed.next_request_at = now.plus(UNCLEAR_ANSWER_INTERVAL);
                if !is_submission {
                    let peer_cell = self.peer_cells[peer].name.clone();
                    let job = job.to_owned();
                    self.notify(Notice::UnknownToHost { job, peer_cell });
                }
            }
        }
    }

    /// Records the status of a job at the host.
    fn update_status(&mut self, peer: usize, job: &str, status: HostStatus, now: Micros) {
        let peer_cell = self.peer_cells[peer].name.clone();
        let wait = self.peer_cells[peer].settings.cancel_timeout().with_drift();
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        let observed = &mut tracked.observed;
        observed.is_accepted = true;
        observed.status = Some(status);
        observed.reclaim_if_not_started &= status == HostStatus::Pending;
        if status == HostStatus::Withdrawn && observed.withdrawn_at.is_none() {
            observed.withdrawn_at = Some(now);
            self.notify(Notice::Withdrawn {
                job: job.to_owned(),
                peer_cell,
                wait,
            });
        }
    }

    fn handle_refusal(
        &mut self,
        peer: usize,
        job: &str,
        is_submission: bool,
        refusal: &Refusal,
        now: Micros,
    ) {
        let PeerCell { name, link, .. } = &mut self.peer_cells[peer];
        if is_submission {
            link.record_not_ready(refusal.retry_after, now);
        }
        let notice = Notice::Refused {
            job: job.to_owned(),
            peer_cell: name.clone(),
            status: refusal.status,
            reason: refusal.reason.clone(),
        };
        self.notify(notice);
    }
}
