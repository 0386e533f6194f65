//! The host's side of a simulated cell: it answers the peer cell as the program's listener does.

use saltpitch_cells::host::{Admission, HostLimits};
use saltpitch_cells::link::{HostStatus, LinkAnswer, LinkRequest, Refusal, Submission};
use saltpitch_core::job::JobState;
use saltpitch_core::records::job_key;
use saltpitch_core::scheduler::{Precondition, Write};
use saltpitch_core::Micros;

use super::Cell;
use crate::simulation::Simulation;

impl Cell {
    /// Returns whether this controller is up and reaches its store.
    pub(super) fn serves(&self, node: usize) -> bool {
        let Simulation {
            nodes, store, now, ..
        } = &self.simulation;
        let node = &nodes[node];
        let is_running =
            node.is_up(*now) && node.is_started && node.remaining_pause(*now) == Micros::ZERO;
        is_running && node.controller.is_synced() && node.can_reach_store(store, *now)
    }

    /// Answers a peer cell's request as the program does. Returns `None` if the connection is refused.
    pub(super) fn serve(&mut self, node: usize, request: &LinkRequest) -> Option<LinkAnswer> {
        let is_up = self.simulation.nodes[node].is_up(self.simulation.now)
            && self.simulation.nodes[node].is_started;
        if !is_up || !self.is_listening {
            return None;
        }
        if !self.serves(node) {
            return Some(refused(503, "no store", None));
        }
        let now = self.simulation.now;
        let Simulation { nodes, store, .. } = &mut self.simulation;
        nodes[node].read_records(store, now);
        let records = nodes[node].records();
        Some(match request {
            LinkRequest::Readiness if self.admission.has_room(records) => LinkAnswer::Ready,
            LinkRequest::Readiness => refused(503, "no room", Some(Micros::from_secs(2))),
            LinkRequest::Status { id } => status(self.status(node, id)),
            LinkRequest::Submit(submission) => self.submit(node, submission),
            LinkRequest::Abort { id, unless_begun } => self.abort(node, id, *unless_begun),
        })
    }

    /// Returns the status of a peer cell's job according to the controller's records or, if the job is not in memory,
    /// to its record in the store.
    fn status(&self, node: usize, sent: &str) -> Option<HostStatus> {
        let Simulation { nodes, store, .. } = &self.simulation;
        let id = self.admission.hosted_job_id(sent);
        match nodes[node].job_state(&id, store)? {
            JobState::Done => Some(HostStatus::Done),
            JobState::Cancelled => Some(HostStatus::Withdrawn),
            JobState::Active => self.admission.status(nodes[node].records(), sent),
        }
    }

    fn submit(&mut self, node: usize, submission: &Submission) -> LinkAnswer {
        if let Some(known) = self.status(node, &submission.id) {
            return LinkAnswer::Status(known);
        }
        let simulation = &mut self.simulation;
        let Some(catalog) = simulation.nodes[node].controller.catalog().cloned() else {
            return refused(503, "no machine types", None);
        };
        let limits = HostLimits {
            catalog: &catalog,
            teams: &simulation.teams,
        };
        let (records, now) = (simulation.nodes[node].records(), simulation.now);
        let admission = self.admission.admit(records, submission, &limits, now);
        let record = match admission {
            Ok(Admission::Known(known)) => return LinkAnswer::Status(known),
            Err(error) => {
                return refused(error.status(), &error.to_string(), error.retry_after());
            }
            Ok(Admission::Create(record)) => record,
        };
        let id = self.admission.hosted_job_id(&submission.id);
        if record.spec.is_some() {
            simulation.submit_record(&id, record);
        } else {
            let key = job_key(&id);
            let value = serde_json::to_string(&record).ok();
            let write = Write {
                key: key.clone(),
                value,
            };
            simulation
                .store
                .txn(&[Precondition::new(key, 0)], &[write], None);
        }
        let Simulation { nodes, store, .. } = simulation;
        nodes[node].read_records(store, now);
        match submission.closing {
            true => LinkAnswer::Closed,
            false => status(self.status(node, &submission.id)),
        }
    }

    fn abort(&mut self, node: usize, sent: &str, unless_begun: bool) -> LinkAnswer {
        let id = self.admission.hosted_job_id(sent);
        let records = self.simulation.nodes[node].records();
        if self.admission.should_cancel(records, sent, unless_begun) {
            self.simulation.cancel_by(node, &id);
        }
        let Simulation {
            nodes, store, now, ..
        } = &mut self.simulation;
        nodes[node].read_records(store, *now);
        status(self.status(node, sent))
    }
}

fn status(known: Option<HostStatus>) -> LinkAnswer {
    known.map_or(LinkAnswer::NotFound, LinkAnswer::Status)
}

fn refused(status: u16, reason: &str, retry_after: Option<Micros>) -> LinkAnswer {
    LinkAnswer::Refused(Refusal {
        status,
        retry_after,
        reason: reason.to_owned(),
    })
}
