//! What the answers of a peer cell mean for its link and for the delegation that was asked about.

use rand::Rng;
use saltpitch_core::Micros;

use super::step::Request;
use super::{CallSubject, Delegator, Neighbour, ASK_INTERVAL, DOUBT_INTERVAL};
use crate::link::{HostStatus, LinkAnswer, Refusal};
use crate::notice::Notice;

impl Delegator {
    /// A call ended.
    pub fn call_ended(&mut self, id: u64, answer: LinkAnswer, now: Micros) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note_link(call.neighbour, &answer, now);
        match call.about {
            None => self.note_readiness(call.neighbour, &answer, now),
            Some(subject) => self.answered(call.neighbour, &subject, answer, now),
        }
    }

    /// What an answer says about the link as such.
    fn note_link(&mut self, neighbour: usize, answer: &LinkAnswer, now: Micros) {
        let Neighbour { name, link, .. } = &mut self.neighbours[neighbour];
        let fails = matches!(answer, LinkAnswer::NotSent | LinkAnswer::NoAnswer);
        let changed = match fails {
            true => link.failed(&mut self.random, now),
            false => link.answered(),
        };
        let name = name.clone();
        if changed {
            self.notify(Notice::Link {
                neighbour: name.clone(),
                answers: !fails,
            });
        }
        if let LinkAnswer::Malformed(reason) = answer {
            self.notify(Notice::Malformed {
                neighbour: name,
                reason: reason.clone(),
            });
        }
    }

    fn note_readiness(&mut self, neighbour: usize, answer: &LinkAnswer, now: Micros) {
        let link = &mut self.neighbours[neighbour].link;
        match answer {
            LinkAnswer::Ready => link.is_ready(now),
            LinkAnswer::Refused(refusal) => link.takes_no_guests(refusal.retry_after, now),
            _ => {}
        }
    }

    fn answered(
        &mut self,
        neighbour: usize,
        subject: &CallSubject,
        answer: LinkAnswer,
        now: Micros,
    ) {
        let spread = ASK_INTERVAL.times(self.random.random_range(0.75..1.25));
        let CallSubject {
            job,
            number,
            request,
        } = subject;
        let tracked = self.tracked.get_mut(job);
        let Some(tracked) = tracked.filter(|tracked| tracked.number == *number) else {
            return;
        };
        tracked.called = false;
        let known = &mut tracked.known;
        known.ask_at = now.plus(spread);
        let submission = matches!(request, Request::Submit | Request::Close);
        match answer {
            LinkAnswer::Status(status) => self.heard(neighbour, job, status, now),
            LinkAnswer::Refused(refusal) => {
                known.submissions.sent |= submission;
                known.refused |= submission && refusal.is_definite();
                self.refused(neighbour, job, submission, &refusal, now);
            }
            LinkAnswer::NotSent => {
                // A job of which no copy can arrive need not wait for the link.
                known.refused |= submission && known.submissions.never_sent();
            }
            LinkAnswer::Closed => known.closed = request == &Request::Close,
            LinkAnswer::NoAnswer | LinkAnswer::Ready => known.submissions.sent |= submission,
            LinkAnswer::Malformed(_) => {
                known.submissions.sent |= submission;
                known.ask_at = now.plus(DOUBT_INTERVAL);
            }
            LinkAnswer::NotFound => {
                known.submissions.sent |= submission;
                known.ask_at = now.plus(DOUBT_INTERVAL);
                if !submission {
                    let neighbour = self.neighbours[neighbour].name.clone();
                    let job = job.to_owned();
                    self.notify(Notice::LostByHost { job, neighbour });
                }
            }
        }
    }

    /// The host's status of a job.
    fn heard(&mut self, neighbour: usize, job: &str, status: HostStatus, now: Micros) {
        let name = self.neighbours[neighbour].name.clone();
        let wait = self.neighbours[neighbour].settings.cancel().with_drift();
        let Some(tracked) = self.tracked.get_mut(job) else {
            return;
        };
        let known = &mut tracked.known;
        known.accepted = true;
        known.status = Some(status);
        known.wanted_back &= status == HostStatus::Pending;
        if status == HostStatus::Withdrawn && known.withdrawn_at.is_none() {
            known.withdrawn_at = Some(now);
            self.notify(Notice::Withdrawn {
                job: job.to_owned(),
                neighbour: name,
                wait,
            });
        }
    }

    fn refused(
        &mut self,
        neighbour: usize,
        job: &str,
        submission: bool,
        refusal: &Refusal,
        now: Micros,
    ) {
        let Neighbour { name, link, .. } = &mut self.neighbours[neighbour];
        if submission {
            link.takes_no_guests(refusal.retry_after, now);
        }
        let notice = Notice::Refused {
            job: job.to_owned(),
            neighbour: name.clone(),
            status: refusal.status,
            reason: refusal.reason.clone(),
        };
        self.notify(notice);
    }
}
