//! The origin's side of a cell: the leading controller processes its delegations, and their writes go to the
//! cell's store.

use rand::Rng;
use saltpitch_cells::origin::{CellEffect, Delegator, RecordWrite};
use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, JobWrite};
use saltpitch_core::scheduler::{TransactionOutcome, Write};
use saltpitch_core::Micros;
use serde_json::value::to_raw_value;

use super::{Cell, Cells, HISTORY_START, NAMES};

/// How long the store takes to refuse a transaction above its rate limit.
const REFUSAL_DELAY: Micros = Micros::from_millis(5);
/// How long a controller waits for its store's answer.
const STORE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// A controller's delegations while it leads.
pub(super) struct LeaderDelegations {
    epoch: u64,
    pub(super) delegator: Delegator,
}

/// The sender of a write or a call: the cell, its controller, and the epoch.
#[derive(Clone, Copy)]
pub(super) struct Requester {
    pub(super) cell: usize,
    pub(super) node: usize,
    pub(super) epoch: u64,
}

/// When a write is applied, and whether its answer is lost.
struct WriteDelivery {
    applied_after: Micros,
    answer_lost: bool,
}

impl Cell {
    /// Returns the delegations of the requester, if its controller is still up and leads in the same epoch.
    pub(super) fn leading(&mut self, requester: Requester) -> Option<&mut LeaderDelegations> {
        let node = &self.simulation.nodes[requester.node];
        if node.epoch() != requester.epoch || !node.is_up(self.simulation.now) {
            return None;
        }
        let leading = self.leading[requester.node].as_mut();
        leading.filter(|leading| leading.epoch == requester.epoch)
    }
}

impl Cells {
    /// Lets a controller process its delegations, if it leads.
    pub(super) fn poll(&mut self, cell: usize, node: usize) {
        let seed = self.rng.random();
        let Cell {
            simulation,
            settings,
            leading,
            ..
        } = &mut self.cells[cell];
        let (now, cancel) = (simulation.now, simulation.times.cancel_timeout);
        let process = &mut simulation.nodes[node];
        let is_halted = !process.is_up(now) || process.remaining_pause(now) > Micros::ZERO;
        if is_halted || !process.knows_delegations {
            return;
        }
        let epoch = process.epoch();
        let Some(mut access) = process.controller.delegation_access(now) else {
            return;
        };
        let current = leading[node]
            .take()
            .filter(|leading| leading.epoch == epoch);
        let leading = leading[node].insert(current.unwrap_or_else(|| LeaderDelegations {
            epoch,
            delegator: Delegator::new(settings, cancel, seed),
        }));
        let effects = leading.delegator.poll(&mut access, now, now);
        let notices = leading.delegator.take_notices();
        let at = now.as_secs_f64() - HISTORY_START.as_secs_f64();
        let lines = notices
            .iter()
            .map(|notice| format!("{at:.1} {}: {notice}", NAMES[cell]));
        self.log.extend(lines);
        let requester = Requester { cell, node, epoch };
        for effect in effects {
            match effect {
                CellEffect::Write(write) => self.write(requester, write),
                CellEffect::Call(call) => self.call(requester, call),
            }
        }
    }

    /// Sends a write to the store, which may refuse it or apply it late; its answer may be lost.
    fn write(&mut self, requester: Requester, write: RecordWrite) {
        let cell = &self.cells[requester.cell];
        let reaches_store = cell.serves(requester.node);
        let losses = cell.simulation.faults.lost_answers;
        if !reaches_store || (losses && self.random_below(20) == 0) {
            return self.schedule_after(REFUSAL_DELAY, move |cells| {
                cells.write_answered(requester, &write, TransactionOutcome::Unavailable);
            });
        }
        let delivery = self.draw_write_delivery(requester.cell);
        if delivery.answer_lost {
            let write = write.clone();
            self.schedule_after(STORE_TIMEOUT, move |cells| {
                cells.write_answered(requester, &write, TransactionOutcome::Unknown);
            });
        }
        self.schedule_after(delivery.applied_after, move |cells| {
            let outcome = cells.cells[requester.cell].apply(&write);
            if !delivery.answer_lost {
                cells.write_answered(requester, &write, outcome);
            }
        });
    }

    /// Draws whether a write's answer is lost; such a write is applied up to nine seconds later.
    fn draw_write_delivery(&mut self, cell: usize) -> WriteDelivery {
        let faults = self.cells[cell].simulation.faults;
        let answer_lost = (faults.lost_answers && self.random_below(10) == 0)
            || (faults.delayed_writes && self.random_below(12) == 0);
        let applied_after = if answer_lost {
            Micros::from_millis(self.random_below(9_000))
        } else {
            Micros::from_millis(1 + self.random_below(30))
        };
        WriteDelivery {
            applied_after,
            answer_lost,
        }
    }

    /// Passes the outcome of a write to the controller that sent it.
    fn write_answered(
        &mut self,
        requester: Requester,
        write: &RecordWrite,
        outcome: TransactionOutcome,
    ) {
        let Cell {
            simulation,
            leading,
            ..
        } = &mut self.cells[requester.cell];
        let now = simulation.now;
        let node = &mut simulation.nodes[requester.node];
        if node.epoch() != requester.epoch || !node.is_up(now) {
            return;
        }
        if let TransactionOutcome::Committed(revision) = outcome {
            if let Ok(record) = to_raw_value(&write.record) {
                let id = write.job.clone();
                let own_write = JobWrite {
                    id,
                    record,
                    revision,
                };
                node.apply_own_write(own_write, now);
            }
        }
        let Some(scheduler) = node.scheduler_in(requester.epoch, now) else {
            return;
        };
        let leading = leading[requester.node].as_mut();
        if let Some(leading) = leading.filter(|leading| leading.epoch == requester.epoch) {
            let delegator = &mut leading.delegator;
            delegator.write_ended(&write.job, &outcome, scheduler, now);
        }
    }
}

impl Cell {
    /// Lets the store apply a write.
    fn apply(&mut self, write: &RecordWrite) -> TransactionOutcome {
        let change = Write {
            key: job_key(&write.job),
            value: serde_json::to_string(&write.record).ok(),
        };
        let store = &mut self.simulation.store;
        let outcome = store.txn(&write.preconditions, &[change], None);
        let cancels = write.record.state == JobState::Cancelled;
        if cancels && matches!(outcome, TransactionOutcome::Committed(_)) {
            self.simulation.note_cancelled(&write.job);
        }
        outcome
    }
}
