//! What workers and the cloud say: which tasks are where, which are proven gone, and the orders
//! that make machines what they should be.

use std::sync::Arc;

use super::{Effect, Leader, Seen, Stop};
use crate::catalog::MachineType;
use crate::cluster::{Cause, JobNo, Machine, Order, Phase, Report, SeenTask, TaskState};
use crate::gang::Gang;
use crate::job::{JobState, Kind};
use crate::time::Micros;

/// The most orders sent to one machine at a time: keeps an answer's line below its limit.
const MAX_ORDERS: usize = 200;

/// One entry of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub name: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    pub age: Micros,
}

/// How a direct order ended.
#[derive(Clone, Debug)]
pub enum Ordered {
    /// Executed, with the report afterwards.
    Done(Report),
    /// Not executed: token or session did not match.
    Stale(Report),
    /// Certainly not received.
    NotSent,
    /// No answer: may be executed any time later.
    Unknown,
}

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
        m.last_answer = m.last_answer.max(now);
        self.learn(&name, r, true, now);
        let Some(m) = self.machines.get_mut(&name) else {
            return Err(Ignored::Returned);
        };
        if session < m.session {
            return Err(Ignored::OldSession);
        }
        m.report_seq = m.report_seq.max(seq);
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
        let m = Machine::new(&r.machine, Arc::new(kind), &r.zone, r.spot, &r.addr, now);
        let name = m.name.clone();
        self.machines.insert(name.clone(), m);
        self.dirty_machines.insert(name.clone());
        Ok(name)
    }

    /// What a machine said in answer to a probe.
    pub fn heard_directly(&mut self, r: Report, now: Micros) {
        if let Some(name) = self
            .machines
            .get(r.machine.as_str())
            .map(|m| m.name.clone())
        {
            self.learn(&name, r, false, now);
        }
    }

    /// A probe got no answer.
    pub fn probe_failed(&mut self, name: &str) {
        if let Some(m) = self.machines.get_mut(name) {
            m.probes_failed += 1;
        }
    }

    /// Takes in what a machine says, if it is newer than what is known.
    fn learn(&mut self, name: &Arc<str>, r: Report, by_report: bool, now: Micros) {
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
                m.addr = r.addr.clone();
                self.dirty_machines.insert(name.clone());
            }
            m.last_heard = now;
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
            if r.session > m.session {
                m.doubt = None;
                m.report_seq = 0;
                m.start_seq = 0;
                if m.session > 0 {
                    m.forget_images();
                }
            }
            m.session = r.session;
            let notice = r.notice.map(|n| now.plus(n));
            let first = m.notice.is_none() && notice.is_some();
            m.notice = notice;
            first
        };
        if quiet_news {
            self.drain(name, now);
        }
        self.match_tasks(name, r, by_report, now);
    }

    fn match_tasks(&mut self, name: &Arc<str>, r: Report, by_report: bool, now: Micros) {
        let held: Vec<(JobNo, u32)> = match self.machines.get(name) {
            Some(m) => m.holds.iter().copied().collect(),
            None => return,
        };
        let mut tasks = r.tasks;
        let mut lost = Vec::new();
        for (no, task) in held {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let Some(place) = job.tasks[task as usize].place.as_deref_mut() else {
                continue;
            };
            if place.session < r.session {
                // The session that it was in is over: the worker killed and forgot it.
                lost.push((no, task, None));
                continue;
            }
            let at = tasks
                .iter()
                .position(|t| t.task == task && t.attempt == place.attempt && t.job == *job.id);
            let Some(at) = at else {
                let m = &self.machines[name];
                let fenced = m.fenced_at.is_some() && m.doubt.is_none() && !m.orders_out;
                let unsent = !place.sent
                    || (fenced && by_report && place.sent_seq < r.seq && place.stop.is_some());
                if place.seen != Seen::No || (place.stop.is_some() && unsent) {
                    lost.push((no, task, None));
                }
                continue;
            };
            let seen = tasks.swap_remove(at);
            place.sent = true;
            match seen.state {
                TaskState::Exited { cause, saved } => lost.push((no, task, Some((cause, saved)))),
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
            if matches!(seen.state, TaskState::Exited { .. }) {
                // Listed until it is told to forget it, once the outcome is on record.
                tasks.push(seen);
            } else if place.seen != Seen::Fetching {
                let (image, mb) = (job.spec.image.clone(), job.spec.image_mb);
                if let Some(m) = self.machines.get_mut(name) {
                    m.use_image(&image, mb, now);
                }
            }
        }
        if let Some(m) = self.machines.get_mut(name) {
            let had = !m.strays.is_empty();
            m.strays = tasks;
            if had || !m.strays.is_empty() {
                self.push.insert(name.clone());
            }
        }
        for (no, task, end) in lost {
            self.ended(no, task, name, end, now);
        }
    }

    /// A task is proven to be off its machine: it exited with this cause, or it is lost.
    fn ended(
        &mut self,
        no: JobNo,
        task: u32,
        machine: &Arc<str>,
        end: Option<(Cause, bool)>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let Some(place) = job.tasks[task as usize].place.as_deref() else {
            return;
        };
        let (started, stopped) = (place.running_since, place.stop.is_some());
        let cause = end.map(|e| e.0);
        match cause {
            Some(Cause::Done) => {
                if let Some(at) = started {
                    self.note_run_time(no, now.since(at));
                }
                self.task_done(no, task);
                if let Some(j) = self.jobs.get(&no) {
                    if j.spec.kind == Kind::Gang {
                        // They complete together: when one is done, all of them are.
                        for t in 0..j.spec.tasks {
                            self.task_done(no, t);
                        }
                    }
                }
            }
            Some(Cause::Error) => {
                job.errors += 1;
                job.avoid
                    .insert(machine.clone(), now.plus(Micros::from_secs(120)));
                // A job with a mistake in it fails everywhere: it is tried ever less often. A
                // machine is only suspected when several jobs fail on it.
                if job.errors >= 3 {
                    let wait = 1u64 << (job.errors - 2).min(6);
                    job.not_before = now.plus(Micros::from_secs(wait));
                }
                let fails_everywhere = job.avoid.len() >= 3;
                if let Some(m) = self.machines.get_mut(machine) {
                    if !fails_everywhere {
                        m.strikes.insert(no);
                    }
                    if m.strikes.len() >= 2 {
                        m.condemned = true;
                    }
                }
            }
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                job.avoid
                    .insert(machine.clone(), now.plus(Micros::from_secs(10)));
                job.not_before = now.plus(Micros::from_secs(1));
            }
            _ => {}
        }
        self.clear(no, task, now);
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
        let r = self.ratios.entry(job.spec.class.clone()).or_insert(1.0);
        *r += (ratio - *r) * 0.05;
    }

    /// The machine is to be taken away: whatever can be saved is saved.
    pub(super) fn drain(&mut self, name: &Arc<str>, now: Micros) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let left = m.notice.map_or(Micros::ZERO, |n| n.since(now));
        let held: Vec<(JobNo, u32)> = m.holds.iter().copied().collect();
        for (no, task) in held {
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            let spec = job.spec.clone();
            let seen = job.tasks[task as usize].place.as_ref().map(|p| p.seen);
            let saves = spec.saves() && left > spec.save.plus(Micros::from_secs(2));
            let grace = spec.save.plus(Micros::from_secs(2));
            let started = matches!(seen, Some(Seen::Running | Seen::Saving));
            if spec.kind == Kind::Gang {
                if started && saves {
                    self.stop_gang(no, grace, now);
                } else if !started {
                    self.stop_gang(no, Micros::ZERO, now);
                }
            } else if !started || spec.kind == Kind::Service {
                // Nothing to lose: sooner stopped is sooner elsewhere.
                self.stop(no, task, Micros::ZERO, now);
            } else if saves {
                self.stop(no, task, grace, now);
            }
            // What can't save runs on: it may complete in time.
        }
    }

    /// Stops a whole gang, all members told at once.
    pub(super) fn stop_gang(&mut self, no: JobNo, grace: Micros, now: Micros) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.gang = Gang::Stopping;
        }
        self.stop_all(no, grace, now);
        if let Some(job) = self.jobs.get_mut(&no) {
            if job.placed == 0 {
                job.gang = Gang::Parked { until: now };
            }
        }
    }

    /// The orders that make this machine what it should be. `answering`: the sequence number of
    /// the report that they answer; none for direct orders.
    fn orders_for(&mut self, name: &Arc<str>, answering: Option<u64>) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(m) = self.machines.get(name) else {
            return orders;
        };
        for s in &m.strays {
            if orders.len() >= MAX_ORDERS {
                return orders;
            }
            let job: Arc<str> = s.job.as_str().into();
            if matches!(s.state, TaskState::Exited { .. }) {
                // While a start may still arrive, by a direct order or in an answer that the worker
                // has not taken in yet, no attempt is forgotten: it would start again.
                let pending = m.doubt.is_some()
                    || (m.orders_out && answering.is_some())
                    || m.start_seq >= m.report_seq;
                if !pending && m.fenced_at.is_some() && self.settled(s) {
                    orders.push(Order::Forget {
                        job,
                        task: s.task,
                        attempt: s.attempt,
                    });
                }
            } else if m.fenced_at.is_some() {
                orders.push(Order::Stop {
                    job,
                    task: s.task,
                    attempt: s.attempt,
                    grace: Micros::ZERO,
                });
            }
        }
        let mut starts = Vec::new();
        for &(no, task) in &m.holds {
            if orders.len() + starts.len() >= MAX_ORDERS {
                break;
            }
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let gang_ready = job.spec.kind != Kind::Gang || job.gang == Gang::Allowed;
            let Some(place) = job.tasks[task as usize].place.as_deref_mut() else {
                continue;
            };
            if let Some(stop) = place.stop {
                orders.push(Order::Stop {
                    job: job.id.clone(),
                    task,
                    attempt: place.attempt,
                    grace: stop.grace,
                });
            } else if place.committed
                && place.seen == Seen::No
                && gang_ready
                && job.state == JobState::Active
                && place.session == m.session
            {
                place.sent = true;
                if let Some(seq) = answering {
                    place.sent_seq = place.sent_seq.max(seq);
                }
                starts.push(Order::Start {
                    job: job.id.clone(),
                    task,
                    attempt: place.attempt,
                });
            }
        }
        if let (Some(seq), false) = (answering, starts.is_empty()) {
            if let Some(m) = self.machines.get_mut(name) {
                m.start_seq = m.start_seq.max(seq);
            }
        }
        orders.extend(starts);
        orders
    }

    /// Whether nothing on record points to this exited attempt any more.
    fn settled(&self, s: &SeenTask) -> bool {
        let Some(no) = self.by_id.get(s.job.as_str()) else {
            return true;
        };
        let chunk = s.task / crate::records::CHUNK;
        if self.dirty.contains(&(*no, chunk)) || self.final_jobs.contains(no) {
            return false;
        }
        if self.in_flight(*no, chunk) {
            return false;
        }
        let place = self
            .jobs
            .get(no)
            .and_then(|j| j.tasks.get(s.task as usize))
            .and_then(|t| t.place.as_ref());
        place.is_none_or(|p| p.attempt != s.attempt)
    }

    /// Sends direct orders to the machines that need some.
    pub(super) fn send_orders(&mut self, now: Micros) {
        let names: Vec<Arc<str>> = self.push.iter().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get(&name) else {
                self.push.remove(&name);
                continue;
            };
            if m.orders_out || now < m.orders_after {
                continue;
            }
            self.push.remove(&name);
            if !m.is_up() || m.addr.is_empty() {
                continue;
            }
            let unfenced = m.token < self.term;
            let orders = self.orders_for(&name, None);
            if orders.is_empty() && !unfenced {
                continue;
            }
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            m.orders_out = true;
            self.effects.push(Effect::Orders {
                machine: name,
                addr: m.addr.clone(),
                session: m.session,
                token: self.term,
                orders,
            });
        }
    }

    /// The answer to [`Effect::Orders`]; `starts`: whether a start was among them.
    pub fn ordered(
        &mut self,
        name: &Arc<str>,
        session: u64,
        token: u64,
        starts: bool,
        end: Ordered,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.orders_out = false;
        match end {
            Ordered::Done(r) | Ordered::Stale(r) => {
                self.learn(name, r, false, now);
            }
            Ordered::NotSent => {
                m.orders_after = now.plus(Micros::from_millis(700));
                self.push.insert(name.clone());
            }
            Ordered::Unknown => {
                m.orders_after = now.plus(Micros::from_secs(1));
                if starts && m.session == session {
                    m.doubt = Some((token, now));
                }
                self.push.insert(name.clone());
            }
        }
    }

    /// Looks after silent machines, stops that take too long, doubts that stay.
    pub(super) fn watch_machines(&mut self, now: Micros) {
        let report = self.cfg.report;
        let mut probes = Vec::new();
        let mut over = Vec::new();
        let mut silent = Vec::new();
        let mut returns = Vec::new();
        let (mut heard_any, mut doubtful) = (0usize, false);
        for m in self.machines.values_mut() {
            if let Phase::Returning(true) = m.phase {
                if now >= m.return_after {
                    m.return_after = now.plus(Micros::from_secs(3));
                    returns.push(m.name.clone());
                }
            }
            if m.phase == Phase::Returning(false) {
                continue;
            }
            let quiet = now.since(m.last_heard.max(self.took_office));
            let heard = m.phase == Phase::Up && now.since(m.last_heard) < report.times(2.5);
            heard_any += usize::from(heard);
            doubtful |= heard
                && m.doubt
                    .is_some_and(|d| now.since(d.1) > Micros::from_secs(6));
            let asks = m.phase == Phase::Up || (m.phase == Phase::Unheard && !m.holds.is_empty());
            // Machines that an earlier leader knew; what boots for us will report by itself.
            let unfenced = m.phase == Phase::Unheard && m.recorded && m.born < self.took_office;
            if (unfenced || (asks && quiet > report.times(1.4)))
                && now >= m.probe_after
                && !m.addr.is_empty()
            {
                let wait = if m.phase == Phase::Up { 1 } else { 4 };
                m.probe_after = now.plus(Micros::from_secs(wait));
                probes.push((m.name.clone(), m.addr.clone()));
            }
            // The worker's lease: from our last answer, or from when the leader before us could
            // have given one.
            let base = match m.fenced_at {
                Some(at) => at.max(m.last_answer),
                None => self.old_silent_at.max(m.last_answer),
            };
            if !m.holds.is_empty() && now > base.plus(self.cfg.lease.with_drift()) {
                over.push(m.name.clone());
            }
            // Two missed reports and two probes without an answer are taken for its end.
            let unanswered = m.probes_failed >= 2 && quiet > report.times(1.8);
            let long = quiet > report.times(2.6).plus(Micros::from_secs(1));
            if m.phase == Phase::Up && (unanswered || long) {
                silent.push(m.name.clone());
            }
        }
        for (machine, addr) in probes {
            self.effects.push(Effect::Probe { machine, addr });
        }
        if !returns.is_empty() {
            self.effects.push(Effect::Return { names: returns });
        }
        for name in over {
            self.lose_all(&name, now);
        }
        self.return_silent(silent, heard_any);
        if doubtful && !self.raise_out {
            self.raise_out = true;
            self.effects.push(Effect::RaiseTerm);
        }
        self.escalate(now);
    }

    /// Returning a silent machine fences it sooner than its lease does. Many silent at once look
    /// like a cut, and so does a zone from which nobody is heard: then the lease decides.
    fn return_silent(&mut self, silent: Vec<Arc<str>>, heard_any: usize) {
        if heard_any == 0 {
            return;
        }
        for name in &silent {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let heard_there = self
                .machines
                .values()
                .filter(|o| {
                    // Heard since this one should have reported: what was heard before says
                    // nothing of a cut that began in between.
                    o.zone == m.zone
                        && o.is_up()
                        && o.last_heard > m.last_heard.plus(self.cfg.report.times(1.4))
                })
                .count();
            let silent_alike = silent
                .iter()
                .filter_map(|n| self.machines.get(n))
                .filter(|o| o.zone == m.zone && o.spot == m.spot)
                .count();
            let few = if m.spot {
                heard_there > 0 || self.open_zones.contains(&*m.zone)
            } else {
                (heard_there > 0 && heard_there * 4 >= silent_alike)
                    || (silent_alike <= 1 && self.open_zones.contains(&*m.zone))
            };
            if few {
                self.give_back(name);
            }
        }
    }

    /// Second stops for tasks that save too long.
    fn escalate(&mut self, now: Micros) {
        let mut again = Vec::new();
        for m in self.machines.values().filter(|m| m.is_up()) {
            for &(no, task) in &m.holds {
                let Some(place) = self
                    .jobs
                    .get(&no)
                    .and_then(|j| j.tasks[task as usize].place.as_ref())
                else {
                    continue;
                };
                if let Some(stop) = place.stop {
                    let limit = stop.grace.plus(self.cfg.gang_peer).plus(self.cfg.report);
                    let late = now.since(stop.since) > limit;
                    again.push((no, task, late, m.name.clone()));
                } else if place.committed && place.seen == Seen::No {
                    again.push((no, task, false, m.name.clone()));
                }
            }
        }
        for (no, task, late, name) in again {
            if late {
                if let Some(place) = self
                    .jobs
                    .get_mut(&no)
                    .and_then(|j| j.tasks[task as usize].place.as_mut())
                {
                    let since = place.stop.map_or(now, |s| s.since);
                    place.stop = Some(Stop {
                        grace: Micros::ZERO,
                        since,
                    });
                }
            }
            self.push.insert(name);
        }
    }

    /// Every task on this machine is proven gone.
    fn lose_all(&mut self, name: &Arc<str>, now: Micros) {
        let held: Vec<(JobNo, u32)> = match self.machines.get(name) {
            Some(m) => m.holds.iter().copied().collect(),
            None => return,
        };
        for (no, task) in held {
            self.ended(no, task, name, None, now);
        }
    }

    /// Intends the return of a machine. The intent goes on record first.
    pub(super) fn give_back(&mut self, name: &Arc<str>) {
        if let Some(m) = self.machines.get_mut(name) {
            if !matches!(m.phase, Phase::Returning(_)) {
                m.phase = Phase::Returning(false);
                self.dirty_machines.insert(name.clone());
            }
        }
    }

    /// The cloud confirmed the return of these machines: they and all on them are gone.
    pub fn returned(&mut self, names: &[Arc<str>], now: Micros) {
        for name in names {
            self.lose_all(name, now);
            if let Some(m) = self.machines.remove(name) {
                // What was given back can be had again.
                let key = (m.kind.name.clone(), m.zone.to_string(), m.spot);
                self.refusals.remove(&key);
                self.dirty_machines.remove(name);
                self.gone_machines.insert(name.clone());
            }
        }
        self.schedule_wanted = true;
    }

    /// The cloud's list. What is on it is there, or was a while ago; absence proves nothing.
    pub fn listed(&mut self, list: &[ListedMachine], gone: &dyn Fn(&str) -> bool, now: Micros) {
        for e in list {
            if let Some(m) = self.machines.get_mut(e.name.as_str()) {
                let name = m.name.clone();
                if m.addr.is_empty() && !e.addr.is_empty() {
                    m.addr.clone_from(&e.addr);
                    self.dirty_machines.insert(name.clone());
                }
                if e.failed {
                    self.lose_all(&name, now);
                    self.give_back(&name);
                }
                continue;
            }
            if gone(&e.name) || self.gone_machines.contains(e.name.as_str()) {
                continue;
            }
            let kind = self.catalog.get(&e.type_name).cloned();
            let kind = kind.unwrap_or_else(|| MachineType::unknown(&e.type_name));
            let mut m = Machine::new(&e.name, Arc::new(kind), &e.zone, e.spot, &e.addr, now);
            m.born = now.since(e.age);
            let name = m.name.clone();
            self.machines.insert(name.clone(), m);
            self.dirty_machines.insert(name.clone());
            if e.failed {
                self.give_back(&name);
            }
        }
    }
}
