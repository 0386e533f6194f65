//! What workers say: which tasks are where, and which are proven gone.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Leader, Seen};
use crate::cluster::{Cause, JobNo, Machine, Order, Phase, Report, TaskState};
use crate::gang::Gang;
use crate::job::Kind;
use crate::time::Micros;

/// Why a report gets no 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// From a session that is over.
    OldSession,
    /// From a machine that was returned.
    Returned,
    /// From a machine that has seen a token above ours.
    NewerToken,
    /// Not a machine that we know the type of.
    UnknownType,
    /// A copy of a report that was answered, or of one that its worker has long given up.
    Repeated,
}

impl Leader {
    /// A worker's report. The answer is the orders to send back with a 200.
    pub fn report(&mut self, r: Report, gone: bool, now: Micros) -> Result<Vec<Order>, Ignored> {
        if gone || self.gone_machines.contains(r.machine.as_str()) {
            return Err(Ignored::Returned);
        }
        if r.token > self.term {
            return Err(Ignored::NewerToken);
        }
        let name = self.meet(&r, now)?;
        let (seq, session) = (r.seq, r.session);
        let Some(m) = self.machines.get_mut(&name) else {
            return Err(Ignored::Returned);
        };
        if session < m.session {
            return Err(Ignored::OldSession);
        }
        if matches!(m.phase, Phase::Returning(_)) {
            // Its return may be under way: its lease must not be renewed behind that.
            return Err(Ignored::Returned);
        }
        // A worker has one report in flight: by sending a later one it has given up all before it,
        // and the lease counts from when a report was sent. So a copy that comes late renews
        // nothing, and nobody listens for an answer to it.
        if session == m.session && seq <= m.report_seq {
            return Err(Ignored::Repeated);
        }
        m.last_answer = m.last_answer.max(now);
        (m.mute, m.mute_since, m.drained) = (false, None, false);
        self.last_report = now;
        let token = r.token;
        // Its sequence number counts reports to any node.
        let stays = self.cfg.nodes > 1 && session == m.session && seq == m.seq + 1;
        let stays = stays && m.report_seq > 0;
        self.learn(&name, r, true, now);
        let (term, lately) = (self.term, self.lately());
        let Some(m) = self.machines.get_mut(&name) else {
            return Err(Ignored::Returned);
        };
        if session < m.session {
            return Err(Ignored::OldSession);
        }
        m.deaf.reported(token, seq, stays, lately, now);
        m.deaf.told(term, token, seq);
        m.report_seq = m.report_seq.max(seq);
        self.reindex(&name);
        let orders = self.orders_for(&name, Some(seq));
        self.push.remove(&name);
        Ok(orders)
    }

    /// The machine that this report is from, met for the first time if need be.
    fn meet(&mut self, r: &Report, now: Micros) -> Result<Arc<str>, Ignored> {
        if let Some(m) = self.machines.get(r.machine.as_str()) {
            return Ok(m.name.clone());
        }
        let kind = self
            .catalog
            .get(&r.type_name)
            .cloned()
            .ok_or(Ignored::UnknownType)?;
        let zone = r.zone.as_str().into();
        let mut m = Machine::new(&r.machine, Arc::new(kind), zone, r.spot, &r.addr, now);
        let name = m.name.clone();
        self.blocks.changed(&mut m, now);
        self.add_machine(m);
        Ok(name)
    }

    /// What a machine showed within this time still holds.
    pub(super) fn lately(&self) -> Micros {
        self.cfg.report.times(2.5).plus(Micros::from_secs(1))
    }

    /// What a machine said in answer to a probe.
    pub fn heard_directly(&mut self, r: Report, now: Micros) {
        let lately = self.lately();
        // Whoever answered at that address: the probe is over.
        self.probes_out = self.probes_out.saturating_sub(1);
        if let Some(m) = self.machines.get_mut(r.machine.as_str()) {
            let name = m.name.clone();
            m.deaf.called(true, lately, now);
            self.learn(&name, r, false, now);
            self.reindex(&name);
        }
    }

    /// A probe got no answer.
    pub fn probe_failed(&mut self, name: &str, now: Micros) {
        let lately = self.lately();
        self.probes_out = self.probes_out.saturating_sub(1);
        if let Some(m) = self.machines.get_mut(name) {
            m.probes_failed += 1;
            m.unanswered = m.probe_sent;
            m.deaf.called(false, lately, now);
            let name = m.name.clone();
            self.reindex(&name);
            self.look_at(&name, now);
        }
    }

    /// Takes in what a machine says, if it is newer than what is known.
    pub(super) fn learn(&mut self, name: &Arc<str>, r: Report, by_report: bool, now: Micros) {
        let lately = self.lately();
        let came_up = (self.machines.get(name)).is_some_and(|m| m.phase == Phase::Unheard);
        let quiet_news = {
            let Some(m) = self.machines.get_mut(name) else {
                return;
            };
            if (r.session, r.seq) <= (m.session, m.seq) {
                return;
            }
            if m.phase == Phase::Unheard {
                m.phase = Phase::Up;
                m.up_since = now;
                m.idle_since = now;
                m.wanted_at = now;
                self.schedule_wanted = true;
            }
            if m.addr != r.addr {
                m.addr.clone_from(&r.addr);
                // Only a later leader needs it, and the cloud's list has it too.
                let due = if m.recorded {
                    now.plus(Micros::from_secs(2))
                } else {
                    now
                };
                self.blocks.changed(m, due);
            }
            m.last_heard = now;
            m.silent = false;
            self.last_heard = now;
            m.probes_failed = 0;
            m.token = m.token.max(r.token);
            if m.fenced_at.is_none() && m.token >= self.office_term {
                m.fenced_at = Some(now);
                self.schedule_wanted = true;
            }
            if m.doubt.is_some_and(|(token, _)| r.token > token) {
                m.doubt = None;
            }
            m.seq = r.seq;
            if r.session > m.session || m.session_since == Micros::ZERO {
                m.session_since = now;
            }
            // What the records prove of its images holds for the session that they name.
            if m.recalled_session.take().is_some_and(|s| r.session > s) {
                let went = m.forget_images();
                self.fleet.images(&m.zone, &[], &went);
            }
            if r.session > m.session {
                m.doubt = None;
                m.report_seq = 0;
                m.start_seq = 0;
                if m.session > 0 {
                    let went = m.forget_images();
                    self.fleet.images(&m.zone, &[], &went);
                    // Its lease ran out although we answered its reports: it did not hear us.
                    let recent = now.since(m.last_answer) < self.cfg.lease;
                    m.deaf
                        .new_session(by_report && m.fenced_at.is_some() && recent, lately, now);
                }
            }
            m.session = r.session;
            let notice = r.notice.map(|n| now.plus(n));
            let first = m.notice.is_none() && notice.is_some();
            m.notice = notice;
            first
        };
        if came_up {
            self.note_boot(name, now);
        }
        if quiet_news {
            self.drain(name, now);
        }
        self.match_tasks(name, r, by_report, now);
    }

    fn match_tasks(&mut self, name: &Arc<str>, r: Report, by_report: bool, now: Micros) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        // Held tasks that the report has not mentioned: what stays in here is not on the machine.
        let mut missing: BTreeSet<(JobNo, u32)> = m.holds.clone();
        self.steps += 1;
        let mut strays = Vec::new();
        let mut lost = Vec::new();
        let had = !m.strays.is_empty();
        let mut known: Option<(String, JobNo)> = None;
        for seen in r.tasks {
            // Tasks of a job stand together in a report.
            let no = match &known {
                Some((id, no)) if *id == seen.job => Some(*no),
                _ => self.by_id.get(seen.job.as_str()).copied(),
            };
            let held = no.filter(|no| m.holds.contains(&(*no, seen.task)));
            let place = held.and_then(|no| {
                known = Some((seen.job.clone(), no));
                let job = self.jobs.get_mut(&no)?;
                let place = job.tasks[seen.task as usize].place.as_deref_mut()?;
                (place.session == r.session && place.attempt == seen.attempt).then_some((no, place))
            });
            let Some((no, place)) = place else {
                strays.push(seen);
                continue;
            };
            missing.remove(&(no, seen.task));
            place.sent = true;
            match seen.state {
                TaskState::Exited { cause, saved } => {
                    lost.push((no, seen.task, Some((cause, saved))));
                    // Listed until it is told to forget it, once the outcome is on record.
                    strays.push(seen);
                    continue;
                }
                TaskState::Fetching => place.seen = Seen::Fetching,
                TaskState::Waiting => place.seen = Seen::Waiting,
                TaskState::Saving => place.seen = Seen::Saving,
                TaskState::Running => {
                    if place.seen != Seen::Running {
                        place.running_since = Some(now);
                    }
                    place.seen = Seen::Running;
                }
            }
        }
        let fenced = m.fenced_at.is_some() && m.doubt.is_none() && !m.orders_out;
        let mut images: BTreeMap<JobNo, (String, u64)> = BTreeMap::new();
        for &(no, task) in &m.holds {
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            let Some(place) = job.tasks[task as usize].place.as_deref() else {
                continue;
            };
            if !missing.contains(&(no, task)) {
                if !matches!(place.seen, Seen::No | Seen::Fetching) && !images.contains_key(&no) {
                    images.insert(no, (job.spec.image.clone(), job.spec.image_mb));
                }
                continue;
            }
            if place.session < r.session {
                // The session that it was in is over: the worker killed and forgot it.
                lost.push((no, task, None));
                continue;
            }
            let unsent = !place.sent
                || (fenced && by_report && place.sent_seq < r.seq && place.stop.is_some());
            if place.seen != Seen::No || (place.stop.is_some() && unsent) {
                lost.push((no, task, None));
            }
        }
        if let Some(m) = self.machines.get_mut(name) {
            for (image, mb) in images.into_values() {
                let (came, went) = m.use_image(&image, mb, now);
                self.fleet.images(&m.zone, &came, &went);
            }
            m.strays = strays;
            // What has exited is told to go in the answer to a report; what still runs is not ours
            // to leave there.
            if m.has_live_strays() || (had && m.strays.is_empty()) {
                self.push.insert(name.clone());
            }
        }
        for (no, task, end) in lost {
            self.ended(no, task, name, end, now);
        }
    }

    /// A task is proven to be off its machine: it exited with this cause, or it is lost.
    pub(super) fn ended(
        &mut self,
        no: JobNo,
        task: u32,
        machine: &Arc<str>,
        end: Option<(Cause, bool)>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let Some(place) = job.tasks[task as usize].place.as_deref() else {
            return;
        };
        let (started, stopped) = (place.running_since, place.stop.is_some());
        let cause = end.map(|e| e.0);
        let mut retry_after = Micros::ZERO;
        match cause {
            Some(Cause::Done) => {
                if let Some(at) = started {
                    self.note_run_time(no, now.since(at));
                }
                self.task_done(no, task, now);
                if let Some(j) = self.jobs.get(&no) {
                    if j.spec.kind == Kind::Gang {
                        // They complete together: when one is done, all of them are.
                        for t in 0..j.spec.tasks {
                            self.task_done(no, t, now);
                        }
                    }
                }
            }
            Some(Cause::Error) => {
                retry_after = self.task_failed(no, task, now);
            }
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                self.task_refused(no, machine, now);
            }
            _ => {}
        }
        self.clear(no, task, now);
        if retry_after > Micros::ZERO {
            self.defer_task(no, task, retry_after, now);
        }
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if job.spec.kind == Kind::Gang && !job.complete() {
            // One member gone ends the attempt. An orderly stop keeps its grace: told in time,
            // the others save as well.
            if !stopped && job.gang != Gang::Stopping {
                job.gang = Gang::Stopping;
                self.stop_all(no, Micros::ZERO, now);
            }
        }
        if let Some(job) = self.jobs.get_mut(&no) {
            if job.spec.kind == Kind::Gang && job.placed == 0 {
                job.gang = Gang::Parked { until: now };
                job.parked_at = now;
            }
        }
        self.check_complete(no);
    }

    /// Learns how far a class's estimates are off.
    fn note_run_time(&mut self, no: JobNo, ran: Micros) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        if job.spec.estimate == Micros::ZERO || job.spec.kind == Kind::Service {
            return;
        }
        let ratio = (ran.0 as f64 / job.spec.estimate.0 as f64).clamp(0.1, 10.0);
        if let Some(c) = self.classes.get_mut(job.class) {
            c.ratio += (ratio - c.ratio) * 0.05;
        }
    }

    /// Every task on this machine is proven gone.
    pub(super) fn lose_all(&mut self, name: &Arc<str>, now: Micros) {
        let held: Vec<(JobNo, u32)> = match self.machines.get(name) {
            Some(m) => m.holds.iter().copied().collect(),
            None => return,
        };
        for (no, task) in held {
            self.ended(no, task, name, None, now);
        }
    }
}
