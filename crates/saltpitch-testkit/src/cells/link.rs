//! The link between the cells and its faults: calls are refused, held back, slow or duplicated, or their
//! answers are lost.

use std::net::{Ipv4Addr, SocketAddr};

use saltpitch_cells::link::{LinkAnswer, LinkRequest};
use saltpitch_cells::origin::LinkCall;
use saltpitch_core::Micros;

use super::controller::Requester;
use super::settings::FIRST_PORT;
use super::{fingerprint, Cells};

/// How long a controller waits for the answer to a call.
const CALL_TIMEOUT: Micros = Micros::from_secs(2);

/// The state of the link from one cell to the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// No fault.
    #[default]
    Up,
    /// Connections are refused.
    RefusesConnections,
    /// Requests are held back and delivered when the link is up again.
    HoldsMessages,
    /// Requests arrive, answers are lost.
    LosesAnswers,
    /// Answers take up to several seconds.
    Slow,
    /// The caller is told that the connection was refused, yet the request is delivered later. No network does
    /// this; it serves tests of the invariants.
    ReportsFalseRefusal,
}

impl Cells {
    /// Sets the state of the link from one cell to the other. Requests that were held back are delivered when
    /// the link is up again, slow or not.
    pub fn set_link(&mut self, cell: usize, state: LinkState) {
        self.cells[cell].link = state;
        if matches!(state, LinkState::Up | LinkState::Slow) {
            let held = std::mem::take(&mut self.held_calls);
            let (own, others) = held.into_iter().partition(|(from, _)| *from == cell);
            self.held_calls = others;
            for (_, event) in own {
                let wait = Micros::from_millis(self.random_below(500));
                self.schedule_after(wait, event);
            }
        }
    }

    /// Sends a controller's call to a listener of the other cell.
    pub(super) fn call(&mut self, requester: Requester, call: LinkCall) {
        self.calls += 1;
        let at = self.now;
        self.trace.event("call", at).number(requester.cell as u64);
        fingerprint::trace_request(&mut self.trace, &call.request);
        let host = 1 - requester.cell;
        let first_address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT[host]));
        let node = usize::from(call.address.port() - first_address.port());
        let state = self.cells[requester.cell].link;
        let delay = Micros::from_millis(2 + self.random_below(40));
        match state {
            LinkState::RefusesConnections => self.schedule_after(delay, move |cells| {
                cells.answered(requester, call.id, LinkAnswer::NotSent);
            }),
            LinkState::HoldsMessages => self.hold_call(requester, node, call, LinkAnswer::NoAnswer),
            LinkState::ReportsFalseRefusal => {
                self.hold_call(requester, node, call, LinkAnswer::NotSent)
            }
            LinkState::Up | LinkState::LosesAnswers | LinkState::Slow => {
                self.schedule_after(delay, move |cells| {
                    cells.call_arrives(requester, node, call)
                });
            }
        }
    }

    /// Holds a call back until the link is up again. Its controller gets this answer in the meantime.
    fn hold_call(&mut self, requester: Requester, node: usize, call: LinkCall, answer: LinkAnswer) {
        let (host, id) = (1 - requester.cell, call.id);
        let arrives = move |cells: &mut Cells| {
            cells.cells[host].serve(node, &call.request);
        };
        self.held_calls.push((requester.cell, Box::new(arrives)));
        self.schedule_after(CALL_TIMEOUT, move |cells| {
            cells.answered(requester, id, answer)
        });
    }

    fn call_arrives(&mut self, requester: Requester, node: usize, call: LinkCall) {
        let (host, id) = (1 - requester.cell, call.id);
        let answer = self.cells[host].serve(node, &call.request);
        if answer.is_some() {
            self.duplicate_later(requester.cell, node, call.request);
        }
        let answer = answer.unwrap_or(LinkAnswer::NotSent);
        let wait = match self.cells[requester.cell].link {
            LinkState::Up => Micros::from_millis(2 + self.random_below(40)),
            LinkState::Slow => Micros::from_millis(self.random_below(5_000)),
            _ => CALL_TIMEOUT,
        };
        let in_time = wait < CALL_TIMEOUT || answer == LinkAnswer::NotSent;
        let answer = if in_time {
            answer
        } else {
            LinkAnswer::NoAnswer
        };
        self.schedule_after(wait.min(CALL_TIMEOUT), move |cells| {
            cells.answered(requester, id, answer);
        });
    }

    /// May deliver a duplicate of a request that has arrived. A request whose connection was refused has none.
    fn duplicate_later(&mut self, origin: usize, node: usize, request: LinkRequest) {
        let copies = self.cells[origin].duplicate_one_in;
        if copies == 0 || self.random_below(copies) > 0 {
            return;
        }
        let delay = Micros::from_millis(500 + self.random_below(60_000));
        self.schedule_after(delay, move |cells| {
            cells.cells[1 - origin].serve(node, &request);
        });
    }

    /// Passes an answer to the controller that made the call.
    fn answered(&mut self, requester: Requester, id: u64, answer: LinkAnswer) {
        let at = self.now;
        self.trace.event("answer", at).number(requester.cell as u64);
        fingerprint::trace_answer(&mut self.trace, &answer);
        let cell = &mut self.cells[requester.cell];
        let now = cell.simulation.now;
        if let Some(leading) = cell.leading(requester) {
            leading.delegator.call_ended(id, answer, now);
        }
    }
}
