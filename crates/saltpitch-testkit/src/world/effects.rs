//! What the schedulers want done: transactions, orders, probes, rentals and returns.

use super::*;

impl World {
    pub(super) fn carry_out(&mut self, n: usize, epoch: u64, e: Effect) {
        self.trace.effect(n, &e, self.now);
        match e {
            Effect::Txn { when, writes } => self.send_txn(n, epoch, when, writes),
            Effect::Refresh => {
                let d = self.delay();
                self.after(d, move |w| w.refresh(n, epoch));
            }
            Effect::Orders {
                machine,
                session,
                token,
                orders,
                ..
            } => self.send_orders(n, epoch, machine, session, token, orders),
            Effect::Probe { machine, .. } => {
                let d = self.delay();
                self.after(d, move |w| {
                    if w.cut(n, &machine).max(w.unheard(&machine)) > Micros::ZERO {
                        w.tell(n, epoch, move |l, now| l.probe_failed(&machine, now));
                        return;
                    }
                    let now = w.now;
                    let r = w
                        .workers
                        .get_mut(&*machine)
                        .filter(|m| m.is_up(now))
                        .map(Worker::report);
                    if r.is_none() {
                        w.tell(n, epoch, move |l, now| l.probe_failed(&machine, now));
                    }
                    if let Some(r) = r {
                        let d = w.delay();
                        w.after(d, move |w| {
                            w.tell(n, epoch, move |l, now| l.heard_directly(r, now));
                        });
                    }
                });
            }
            Effect::Rent {
                request,
                type_name,
                zone,
                spot,
                count,
            } => {
                let lost = self.faults.losses && self.luck(8) == 0;
                let d = self.delay();
                self.after(d, move |w| {
                    let end = w.rent(&request, &type_name, &zone, spot, count);
                    let (end, wait) = if lost {
                        (Rented::Unknown, Micros::from_secs(4))
                    } else {
                        (end, Micros::from_millis(100))
                    };
                    w.after(wait, move |w| {
                        w.tell(n, epoch, move |l, now| l.rented(&request, end, now));
                    });
                });
            }
            Effect::Return { names } => {
                let late = Micros::from_millis(100 + self.luck(3_000));
                self.after(late, move |w| {
                    for name in &names {
                        let now = w.now;
                        if let Some(m) = w.workers.get_mut(&**name) {
                            let busy = m.tasks.values().any(Held::on);
                            w.returned_alive += u64::from(m.is_up(now) && busy);
                            m.gone = true;
                        }
                    }
                    w.tell(n, epoch, move |l, now| l.returned(&names, now));
                });
            }
            Effect::RaiseTerm => self.raise_term(n, epoch),
        }
    }

    fn raise_term(&mut self, n: usize, epoch: u64) {
        let node = &self.nodes[n];
        let Some(increment) = node.controller.term_increment(node.controller.epoch()) else {
            return;
        };
        let outcome = if node.reaches_store(&self.store, self.now) {
            self.store.txn(&increment.when, &[increment.write], None)
        } else {
            Outcome::Refused
        };
        let d = self.delay();
        self.after(d, move |w| {
            w.tell(n, epoch, move |l, _| match outcome {
                Outcome::Done(revision) => l.term_raised(increment.term, revision),
                _ => l.raise_failed(),
            });
        });
    }

    fn refresh(&mut self, n: usize, epoch: u64) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.refresh(n, epoch));
        }
        let read = self.nodes[n].reaches_store(&self.store, now);
        if self.nodes[n].epoch() != epoch || !self.nodes[n].is_up(now) {
            return;
        }
        let node = &mut self.nodes[n];
        if read {
            node.follow(&self.store, now);
        }
        let own = node.controller.epoch();
        node.controller.refreshed(own, read, now, now);
        self.poll(n);
    }

    /// A transaction may be applied late, and its answer may be lost.
    fn send_txn(&mut self, n: usize, epoch: u64, when: Vec<(String, u64)>, writes: Vec<Write>) {
        let cut = self.now < self.nodes[n].no_store_until;
        if cut {
            let end = self.nodes[n].no_store_until.since(self.now);
            self.after(end, move |w| {
                w.store.txn(&when, &writes, None);
            });
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Unknown, now));
            });
            return;
        }
        if self.faults.losses && self.luck(20) == 0 {
            // Above its rate the store refuses.
            self.after(Micros::from_millis(5), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Refused, now));
            });
            return;
        }
        let after_newer = self.now < self.late_writes_until
            || (self.faults.late_writes && self.now < self.quiet_from && self.luck(12) == 0);
        let lost = after_newer || (self.faults.losses && self.luck(15) == 0);
        let late = if after_newer {
            2_000 + self.luck(10_000)
        } else if lost {
            self.luck(8_000)
        } else {
            self.luck(30)
        };
        if lost {
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Unknown, now));
            });
        }
        self.after(Micros::from_millis(late), move |w| {
            let done = w.store.txn(&when, &writes, None);
            if lost {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                let deposed =
                    matches!(&done, Outcome::Failed(k) if k.iter().any(|k| k == TERM_KEY));
                if deposed && w.nodes[n].epoch() == epoch {
                    let controller = &mut w.nodes[n].controller;
                    controller.term_conflict(controller.epoch());
                }
                w.tell(n, epoch, move |l, now| l.committed(done, now));
            });
        });
    }

    /// Direct orders may be executed long after the sender gave up.
    fn send_orders(
        &mut self,
        n: usize,
        epoch: u64,
        machine: Arc<str>,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    ) {
        let starts = orders.iter().any(|o| matches!(o, Order::Start { .. }));
        let cut = self.cut(n, &machine).max(self.unheard(&machine));
        let hung = self
            .workers
            .get(&*machine)
            .map_or(Micros::ZERO, |m| m.hung_until.since(self.now));
        let lost = self.faults.losses && self.luck(15) == 0;
        let late = cut.max(hung).plus(if lost {
            Micros::from_millis(self.luck(20_000))
        } else {
            self.delay()
        });
        let unanswered = lost || late > Micros::from_millis(1_500);
        if unanswered {
            let machine = machine.clone();
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| {
                    l.ordered(&machine, session, token, starts, Ordered::Unknown, now);
                });
            });
        }
        self.after(late, move |w| {
            let Some(r) = w.direct(&machine, session, token, &orders) else {
                return;
            };
            if unanswered {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                w.tell(n, epoch, move |l, now| {
                    l.ordered(&machine, session, token, starts, r, now);
                });
            });
        });
    }

    fn direct(
        &mut self,
        machine: &str,
        session: u64,
        token: u64,
        orders: &[Order],
    ) -> Option<Ordered> {
        let now = self.now;
        let m = self.workers.get_mut(machine).filter(|m| m.is_up(now))?;
        if m.session != session || !m.take_token(token) {
            return Some(Ordered::Stale(m.report()));
        }
        self.execute(machine, orders);
        let m = self.workers.get_mut(machine)?;
        Some(Ordered::Done(m.report()))
    }

    pub(super) fn execute(&mut self, machine: &str, orders: &[Order]) {
        let now = self.now;
        let World {
            workers,
            jobs,
            done,
            rng,
            ..
        } = self;
        let Some(m) = workers.get_mut(machine) else {
            return;
        };
        for o in orders {
            let Order::Start { job, task, .. } = o else {
                continue;
            };
            for need in jobs.get(&**job).iter().flat_map(|j| &j.spec.needs) {
                let all = jobs.get(need).map_or(0, |j| j.spec.tasks as usize);
                if done.get(need).map_or(0, BTreeSet::len) < all {
                    self.too_early = Some(format!("{job}/{task}, which needs {need}"));
                }
            }
            let cancelled = jobs
                .get(&**job)
                .and_then(|j| j.cancelled_at.or(j.withdrawn_at));
            if cancelled.is_some_and(|at| now.since(at) > self.times.cancel) {
                self.started_late = Some(format!("{job}/{task} on {machine}"));
            }
        }
        let spec_of = |id: &str| jobs.get(id).map(|j| j.spec.clone());
        m.execute(
            orders,
            &spec_of,
            &mut |n| rng.random_range(0..n.max(1)),
            now,
        );
    }
}
