//! Machines: heartbeats, leases, running tasks and gangs.

use super::*;

impl Simulation {
    pub(super) fn agent_tick(&mut self, name: &str) {
        let now = self.now;
        let times = self.times.clone();
        let Some(m) = self.agents.get_mut(name) else {
            return;
        };
        if m.gone || now < m.boots_at {
            return;
        }
        // A machine that hangs for longer than its lease has lost its tasks when it resumes.
        m.check_lease(&times, now);
        if !m.is_up(now) {
            return;
        }
        let mut done = Vec::new();
        for ((id, _), h) in m.tasks.iter_mut() {
            let Some(job) = self.jobs.get(&id.0) else {
                continue;
            };
            if job.mistaken && h.state == TaskState::Running {
                h.state = TaskState::Exited {
                    cause: ExitCause::Error,
                    saved: false,
                };
                m.changed = true;
                continue;
            }
            if advance(h, &job.spec, now) {
                done.push(id.clone());
            }
            if matches!(h.state, TaskState::Running | TaskState::Waiting) && h.until <= now {
                m.changed = true;
            }
        }
        if m.waiting
            .is_some_and(|w| now.since(w.1) > Micros::from_secs(4))
        {
            m.waiting = None;
            m.target = (m.target + 1) % 3;
            m.next_report = now.plus(Micros::from_secs(1));
        }
        let due = now >= m.next_report
            || (m.changed
                && now.plus(times.heartbeat_interval).since(m.next_report)
                    > Micros::from_millis(500));
        let sends = due && m.waiting.is_none();
        if !done.is_empty() {
            m.changed = true;
        }
        let heartbeat = sends.then(|| {
            m.changed = false;
            m.next_report = now.plus(times.heartbeat_interval);
            let r = m.heartbeat();
            m.waiting = Some((r.sequence, now));
            (r, m.target)
        });
        for (id, task) in done {
            self.done.entry(id).or_default().insert(task);
        }
        if let Some((r, target)) = heartbeat {
            if self.agents[name].outbound_cut_until > now {
                // No connection: nothing of it ever arrives, and it tries the next node.
                let name = name.to_owned();
                let (agent_epoch, sequence) = (r.agent_epoch, r.sequence);
                return self.after(Micros::from_millis(50), move |w| {
                    w.answered(&name, agent_epoch, sequence, None, None)
                });
            }
            // A cut holds packets and delivers them when it ends.
            let held = self.cut(target, name);
            let wait = held.plus(self.delay());
            if self.chance(self.faults.copies, 1.5) {
                let copy = r.clone();
                let (n, late) = (
                    self.random_below(3) as usize,
                    1_000 + self.random_below(60_000),
                );
                self.after(wait.plus(Micros::from_millis(late)), move |w| {
                    w.deliver_copy(n, copy)
                });
            }
            self.after(wait, move |w| w.deliver(target, r));
        }
    }

    /// A copy of an old heartbeat: whatever is answered, nobody listens.
    pub fn deliver_copy(&mut self, n: usize, r: Heartbeat) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.deliver_copy(n, r));
        }
        if self.nodes[n].may_answer(now) {
            let answer = self.nodes[n].heartbeat(r, now);
            self.trace.report_answer(n, &answer, now);
            self.poll(n);
        }
    }

    fn deliver(&mut self, n: usize, r: Heartbeat) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.deliver(n, r));
        }
        if !self.nodes[n].is_up(now) {
            return;
        }
        let (name, agent_epoch, sequence) = (r.machine.clone(), r.agent_epoch, r.sequence);
        if !self.nodes[n].started {
            return;
        }
        let answer = self.nodes[n].heartbeat(r, now);
        self.trace.report_answer(n, &answer, now);
        let (answer, leader) = match answer {
            HeartbeatAnswer::Commands {
                fencing_token,
                commands,
            } => (Some((fencing_token, commands)), None),
            HeartbeatAnswer::Redirect { leader } => (None, leader),
        };
        self.poll(n);
        let leader = leader.and_then(|name| self.nodes.iter().position(|x| x.name == name));
        // A cut that began meanwhile holds the answer, and the agent drops it then.
        let d = self.cut(n, &name).plus(self.delay());
        self.after(d, move |w| {
            w.answered(&name, agent_epoch, sequence, answer, leader)
        });
    }

    pub(super) fn answered(
        &mut self,
        name: &str,
        agent_epoch: u64,
        sequence: u64,
        answer: Option<(u64, Vec<Command>)>,
        leader: Option<usize>,
    ) {
        let now = self.now;
        let hears = |m: &&mut Agent| m.is_up(now) && now >= m.inbound_cut_until;
        let Some(m) = self.agents.get_mut(name).filter(hears) else {
            return;
        };
        let Some((waiting, sent)) = m
            .waiting
            .filter(|w| w.0 == sequence && m.agent_epoch == agent_epoch)
        else {
            return;
        };
        debug_assert_eq!(waiting, sequence);
        m.waiting = None;
        match answer {
            Some((fencing_token, commands)) => {
                if m.take_token(fencing_token) {
                    m.lease_from = sent;
                    self.execute(name, &commands);
                }
            }
            None => {
                m.target = leader.unwrap_or((m.target + 1) % 3);
                m.next_report = now.plus(Micros::from_millis(500));
            }
        }
    }

    /// Gangs start when all members of an attempt wait, and end together.
    pub(super) fn gangs(&mut self) {
        let now = self.now;
        let ids: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.spec.kind == JobKind::Gang)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let n = self.jobs[&id].spec.tasks;
            let mut counts: BTreeMap<u32, (u32, u32, u32)> = BTreeMap::new();
            for h in self.members(&id) {
                let c = counts.entry(h.attempt).or_default();
                match h.state {
                    TaskState::Waiting => c.0 += 1,
                    TaskState::Running => c.1 += 1,
                    TaskState::Exited {
                        cause: ExitCause::Done,
                        ..
                    } => c.2 += 1,
                    _ => {}
                }
            }
            let (gang_wait, gang_peer) = (self.times.gang_wait, self.times.gang_peer);
            let mut finished = false;
            for h in self.members(&id) {
                let (waiting, running, done) = counts[&h.attempt];
                match h.state {
                    TaskState::Waiting if waiting == n => {
                        h.state = TaskState::Running;
                        h.until = now.plus(h.run);
                    }
                    TaskState::Waiting if now.since(h.until) > gang_wait => {
                        h.state = TaskState::Exited {
                            cause: ExitCause::Incomplete,
                            saved: false,
                        };
                    }
                    TaskState::Running if running == n && h.until <= now => finished = true,
                    TaskState::Running
                        if running + done < n && now.plus(h.run).since(h.until) > gang_peer =>
                    {
                        h.state = TaskState::Exited {
                            cause: ExitCause::Peers,
                            saved: false,
                        };
                    }
                    _ => {}
                }
            }
            if finished {
                for h in self.members(&id) {
                    if h.state == TaskState::Running {
                        h.state = TaskState::Exited {
                            cause: ExitCause::Done,
                            saved: false,
                        };
                    }
                }
                self.done.entry(id.clone()).or_default().extend(0..n);
                for m in self.agents.values_mut() {
                    m.changed = true;
                }
            }
        }
    }

    fn members<'a>(&'a mut self, id: &'a str) -> impl Iterator<Item = &'a mut Held> {
        let now = self.now;
        self.agents
            .values_mut()
            .filter(move |m| m.is_up(now))
            .flat_map(|m| m.tasks.iter_mut())
            .filter(move |((t, _), _)| t.0 == id)
            .map(|(_, h)| h)
    }
}

/// Moves a task on by itself; true when it has just completed.
fn advance(h: &mut Held, spec: &JobSpec, now: Micros) -> bool {
    if now < h.until {
        return false;
    }
    match h.state {
        TaskState::Fetching if spec.kind == JobKind::Gang => {
            h.state = TaskState::Waiting;
            h.until = now;
            false
        }
        TaskState::Fetching => {
            h.state = TaskState::Running;
            h.until = now.plus(h.run);
            false
        }
        TaskState::Running if spec.kind == JobKind::Array => {
            h.state = TaskState::Exited {
                cause: ExitCause::Done,
                saved: false,
            };
            true
        }
        TaskState::Saving => {
            h.state = TaskState::Exited {
                cause: ExitCause::Stopped,
                saved: true,
            };
            false
        }
        _ => false,
    }
}
