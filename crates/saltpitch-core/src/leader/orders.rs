//! The orders that make machines what they should be, and how direct ones ended.

use std::sync::Arc;

use super::{Effect, Leader, Seen};
use crate::cluster::{Order, Report, SeenTask, TaskState};
use crate::gang::Gang;
use crate::job::{JobState, Kind};
use crate::time::Micros;

/// The most orders sent to one machine at a time: keeps an answer's line below its limit.
const MAX_ORDERS: usize = 200;
/// How long a direct order has to show an effect before it is repeated.
const REPEAT: Micros = Micros::from_millis(1_500);

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

impl Leader {
    /// The orders that make this machine what it should be. `answering`: the sequence number of
    /// the report that they answer; none for direct orders.
    pub(super) fn orders_for(&mut self, name: &Arc<str>, answering: Option<u64>) -> Vec<Order> {
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
    pub(super) fn settled(&self, s: &SeenTask) -> bool {
        let Some(no) = self.by_id.get(s.job.as_str()) else {
            return true;
        };
        if self.dirty.contains(*no, s.task) || self.final_jobs.contains(no) {
            return false;
        }
        if self.in_flight(*no, s.task) {
            return false;
        }
        let place = self
            .jobs
            .get(no)
            .and_then(|j| j.tasks.get(s.task as usize))
            .and_then(|t| t.place.as_ref());
        place.is_none_or(|p| p.attempt != s.attempt)
    }

    /// Sends direct orders to the machines that need some, a bounded number at a time.
    pub(super) fn send_orders(&mut self, now: Micros) {
        while let Some((due, name)) = self.push_later.first().cloned() {
            if due > now {
                break;
            }
            self.push_later.pop_first();
            self.push.insert(name);
        }
        while self.orders_out < self.cfg.calls {
            let Some(name) = self.push.pop_first() else {
                return;
            };
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            if m.orders_out || now < m.orders_after {
                // Its answer, or the time, brings it back.
                if !m.orders_out {
                    self.push_later.insert((m.orders_after, name));
                }
                continue;
            }
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
            m.orders_after = now.plus(REPEAT);
            self.orders_out += 1;
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
        self.orders_out = self.orders_out.saturating_sub(1);
        let lately = self.lately();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.orders_out = false;
        match end {
            Ordered::Done(r) | Ordered::Stale(r) => {
                m.deaf.called(true, lately, now);
                self.learn(name, r, false, now);
            }
            Ordered::NotSent => {
                m.deaf.called(false, lately, now);
                m.orders_after = now.plus(Micros::from_millis(700));
                self.push.insert(name.clone());
            }
            Ordered::Unknown => {
                m.deaf.called(false, lately, now);
                m.orders_after = now.plus(Micros::from_secs(1));
                if starts && m.session == session {
                    m.doubt = Some((token, now));
                    self.unsettled.insert(name.clone());
                }
                self.push.insert(name.clone());
            }
        }
        self.reindex(name);
    }
}
