//! Tasks and their places: assumed, cleared, stopped and completed.

use std::sync::Arc;

use super::{batch_seconds, Leader, Place, Seen, Stop};
use crate::cluster::JobNo;
use crate::job::{JobState, Kind};
use crate::time::Micros;

impl Leader {
    /// Records a place in memory: its room is held from now on.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn hold(
        &mut self,
        no: JobNo,
        task: u32,
        machine: Arc<str>,
        session: u64,
        attempt: u32,
        committed: bool,
        now: Micros,
    ) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&no), self.machines.get_mut(&machine)) else {
            return;
        };
        let t = &mut job.tasks[task as usize];
        t.attempt = attempt;
        t.place = Some(Box::new(Place {
            machine: machine.clone(),
            session,
            attempt,
            committed,
            in_txn: false,
            seen: Seen::No,
            sent_seq: 0,
            // A leader before us may have sent it; its doubts end with our token.
            sent: committed,
            since: now,
            running_since: None,
            stop: None,
        }));
        job.idle.remove(&task);
        if job.idle.is_empty() {
            self.open.remove(&no);
        }
        job.placed += 1;
        // What is assumed at the gang barrier may have to be given back.
        if committed || job.spec.kind != Kind::Gang {
            job.served_at = now;
        }
        job.started |= job.idle.is_empty() && job.deferred.is_empty();
        *job.zones.entry(m.zone.clone()).or_default() += 1;
        m.holds.insert((no, task));
        m.used = m.used.plus(&job.spec.need);
        if committed {
            // What an earlier session says is older than this.
            m.session = m.session.max(session);
            self.unsettled.insert(machine.clone());
        }
        if job.spec.kind == Kind::Array {
            self.batch_placed += batch_seconds(&job.spec);
        } else {
            m.steady_cpu += job.spec.need.cpu;
        }
        self.quota.add(job.team, &job.spec.need);
        self.fleet.loaded(m, job.spec.priority, true);
        self.fleet.update(m);
        self.empty.remove(&machine);
    }

    /// A task's place is proven to be free, or was never sent.
    pub(super) fn clear(&mut self, no: JobNo, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let Some(place) = job.tasks[task as usize].place.take() else {
            return;
        };
        job.placed -= 1;
        if !place.committed && !place.sent && job.tasks[task as usize].attempt == place.attempt {
            // Never sent: the number was not used.
            job.tasks[task as usize].attempt -= 1;
        }
        if !job.tasks[task as usize].done {
            job.idle.insert(task);
            if job.active() {
                self.open.insert(no);
            }
        }
        self.quota.remove(job.team, &job.spec.need);
        if job.spec.kind == Kind::Array {
            self.batch_placed -= batch_seconds(&job.spec);
        }
        if let Some(m) = self.machines.get_mut(&place.machine) {
            if let Some(n) = job.zones.get_mut(&m.zone) {
                *n -= 1;
                if *n == 0 {
                    let zone = m.zone.clone();
                    job.zones.remove(&zone);
                }
            }
            m.holds.remove(&(no, task));
            m.used = m.used.minus(&job.spec.need);
            if job.spec.kind != Kind::Array {
                m.steady_cpu = m.steady_cpu.saturating_sub(job.spec.need.cpu);
            }
            if job.spec.need.gpu > 0 || m.kind.size.gpu == 0 {
                m.wanted_at = now;
            }
            if m.holds.is_empty() {
                m.idle_since = now;
                self.empty.insert(place.machine.clone());
            }
            self.fleet.loaded(m, job.spec.priority, false);
            self.fleet.update(m);
        }
        // In doubt, the record is written again: it must not keep a place that memory has dropped.
        if place.committed || place.in_txn {
            self.dirty.outcome(no, task, now);
        }
        self.schedule_wanted = true;
    }

    /// Stops every placed task of a job; those whose start was never sent are dropped at once.
    pub(super) fn stop_all(&mut self, no: JobNo, grace: Micros, now: Micros) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let placed: Vec<u32> = (0..job.spec.tasks)
            .filter(|t| job.tasks[*t as usize].place.is_some())
            .collect();
        for t in placed {
            self.stop(no, t, grace, now);
        }
    }

    pub(super) fn stop(&mut self, no: JobNo, task: u32, grace: Micros, now: Micros) {
        let Some(place) = self
            .jobs
            .get_mut(&no)
            .and_then(|j| j.tasks[task as usize].place.as_mut())
        else {
            return;
        };
        if !place.sent {
            self.clear(no, task, now);
            return;
        }
        let sooner = place.stop.is_none_or(|s| grace < s.grace);
        if sooner {
            let since = place.stop.map_or(now, |s| s.since);
            place.stop = Some(Stop { grace, since });
        }
        let name = place.machine.clone();
        self.call(&name);
    }

    /// Marks a job that is over, and of which nothing is left on any machine, for its final record.
    pub(super) fn check_complete(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let over = match job.state {
            JobState::Cancelled => job.placed == 0,
            _ => job.complete() && job.placed == 0,
        };
        if over {
            self.close(no);
            self.final_jobs.insert(no);
        }
    }

    /// A task ended with its result kept.
    pub(super) fn task_done(&mut self, no: JobNo, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if job.spec.kind == Kind::Service {
            return;
        }
        let t = &mut job.tasks[task as usize];
        if !t.done {
            job.failures.completed(task);
            t.done = true;
            job.done += 1;
            if job.done == job.spec.tasks {
                job.done_at = Some(now);
            }
            job.idle.remove(&task);
            if job.idle.is_empty() {
                self.open.remove(&no);
            }
            self.dirty.outcome(no, task, now);
        }
    }
}
