//! What the schedulers want done: transactions, commands, probes, scale-out requests and returns.

use super::*;

impl Simulation {
    pub(super) fn carry_out(&mut self, n: usize, epoch: u64, e: Effect) {
        self.trace.effect(n, &e, self.now);
        match e {
            Effect::Commit(transaction) => self.send_transaction(n, epoch, transaction),
            Effect::ReloadRecords => {
                let d = self.delay();
                self.after(d, move |w| w.refresh(n, epoch));
            }
            Effect::SendCommands {
                machine,
                agent_epoch,
                fencing_token,
                commands,
                ..
            } => self.send_orders(n, epoch, machine, agent_epoch, fencing_token, commands),
            Effect::Probe { machine, .. } => {
                let d = self.delay();
                self.after(d, move |w| {
                    if w.cut(n, &machine).max(w.unheard(&machine)) > Micros::ZERO {
                        w.tell(n, epoch, move |scheduler, now| {
                            scheduler.probe_failed(&machine, now)
                        });
                        return;
                    }
                    let now = w.now;
                    let r = w
                        .agents
                        .get_mut(&*machine)
                        .filter(|m| m.is_up(now))
                        .map(Agent::heartbeat);
                    if r.is_none() {
                        w.tell(n, epoch, move |scheduler, now| {
                            scheduler.probe_failed(&machine, now)
                        });
                    }
                    if let Some(r) = r {
                        let d = w.delay();
                        w.after(d, move |w| {
                            w.tell(n, epoch, move |scheduler, now| {
                                scheduler.probe_answered(r, now)
                            });
                        });
                    }
                });
            }
            Effect::ScaleOut {
                request,
                type_name,
                zone,
                spot,
                count,
            } => {
                let lost = self.faults.losses && self.random_below(8) == 0;
                let d = self.delay();
                self.after(d, move |w| {
                    let end = w.rent(&request, &type_name, &zone, spot, count);
                    let (end, wait) = if lost {
                        (ScaleOutOutcome::Unknown, Micros::from_secs(4))
                    } else {
                        (end, Micros::from_millis(100))
                    };
                    w.after(wait, move |w| {
                        w.tell(n, epoch, move |scheduler, now| {
                            scheduler.rented(&request, end, now)
                        });
                    });
                });
            }
            Effect::ScaleIn { names } => {
                let late = Micros::from_millis(100 + self.random_below(3_000));
                self.after(late, move |w| {
                    for name in &names {
                        let now = w.now;
                        if let Some(m) = w.agents.get_mut(&**name) {
                            let busy = m.tasks.values().any(Held::on);
                            w.returned_alive += u64::from(m.is_up(now) && busy);
                            m.gone = true;
                        }
                    }
                    w.tell(n, epoch, move |scheduler, now| {
                        scheduler.returned(&names, now)
                    });
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
            self.store.txn(
                &increment.transaction.preconditions,
                &increment.transaction.writes,
                None,
            )
        } else {
            TransactionOutcome::Unavailable
        };
        let d = self.delay();
        self.after(d, move |w| {
            w.tell(n, epoch, move |l, _| match outcome {
                TransactionOutcome::Committed(revision) => l.term_raised(increment.term, revision),
                _ => l.term_raise_failed(),
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
        node.controller.records_reloaded(own, read, now, now);
        self.poll(n);
    }

    /// A transaction may be applied late, and its answer may be lost.
    fn send_transaction(&mut self, n: usize, epoch: u64, transaction: Transaction) {
        let Transaction {
            preconditions,
            writes,
        } = transaction;
        let cut = self.now < self.nodes[n].no_store_until;
        if cut {
            let end = self.nodes[n].no_store_until.since(self.now);
            self.after(end, move |w| {
                w.store.txn(&preconditions, &writes, None);
            });
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |scheduler, now| {
                    scheduler.committed(TransactionOutcome::Unknown, now)
                });
            });
            return;
        }
        if self.faults.losses && self.random_below(20) == 0 {
            // Above its rate the store refuses.
            self.after(Micros::from_millis(5), move |w| {
                w.tell(n, epoch, move |scheduler, now| {
                    scheduler.committed(TransactionOutcome::Unavailable, now)
                });
            });
            return;
        }
        let after_newer = self.now < self.late_writes_until
            || (self.faults.late_writes
                && self.now < self.quiet_from
                && self.random_below(12) == 0);
        let lost = after_newer || (self.faults.losses && self.random_below(15) == 0);
        let late = if after_newer {
            2_000 + self.random_below(10_000)
        } else if lost {
            self.random_below(8_000)
        } else {
            self.random_below(30)
        };
        if lost {
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |scheduler, now| {
                    scheduler.committed(TransactionOutcome::Unknown, now)
                });
            });
        }
        self.after(Micros::from_millis(late), move |w| {
            let done = w.store.txn(&preconditions, &writes, None);
            if lost {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                let deposed =
                    matches!(&done, TransactionOutcome::Conflict(k) if k.iter().any(|k| k == TERM_KEY));
                if deposed && w.nodes[n].epoch() == epoch {
                    let controller = &mut w.nodes[n].controller;
                    controller.term_conflict(controller.epoch());
                }
                w.tell(n, epoch, move |scheduler, now| scheduler.committed(done, now));
            });
        });
    }

    /// Direct commands may be executed long after the sender gave up.
    fn send_orders(
        &mut self,
        n: usize,
        epoch: u64,
        machine: Arc<str>,
        agent_epoch: u64,
        fencing_token: u64,
        commands: Vec<Command>,
    ) {
        let sent = SentCommands::new(machine.clone(), agent_epoch, fencing_token, &commands);
        let cut = self.cut(n, &machine).max(self.unheard(&machine));
        let hung = self
            .agents
            .get(&*machine)
            .map_or(Micros::ZERO, |m| m.hung_until.since(self.now));
        let lost = self.faults.losses && self.random_below(15) == 0;
        let late = cut.max(hung).plus(if lost {
            Micros::from_millis(self.random_below(20_000))
        } else {
            self.delay()
        });
        let unanswered = lost || late > Micros::from_millis(1_500);
        if unanswered {
            let sent = sent.clone();
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |scheduler, now| {
                    scheduler.command_ended(&sent, CommandOutcome::Unknown, now);
                });
            });
        }
        self.after(late, move |w| {
            let Some(r) = w.direct(&machine, agent_epoch, fencing_token, &commands) else {
                return;
            };
            if unanswered {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                w.tell(n, epoch, move |scheduler, now| {
                    scheduler.command_ended(&sent, r, now);
                });
            });
        });
    }

    fn direct(
        &mut self,
        machine: &str,
        agent_epoch: u64,
        fencing_token: u64,
        commands: &[Command],
    ) -> Option<CommandOutcome> {
        let now = self.now;
        let m = self.agents.get_mut(machine).filter(|m| m.is_up(now))?;
        if m.agent_epoch != agent_epoch || !m.take_token(fencing_token) {
            return Some(CommandOutcome::Stale(m.heartbeat()));
        }
        self.execute(machine, commands);
        let m = self.agents.get_mut(machine)?;
        Some(CommandOutcome::Executed(m.heartbeat()))
    }

    pub(super) fn execute(&mut self, machine: &str, commands: &[Command]) {
        let now = self.now;
        let Simulation {
            agents,
            jobs,
            done,
            rng,
            ..
        } = self;
        let Some(m) = agents.get_mut(machine) else {
            return;
        };
        for o in commands {
            let Command::Start { job, task, .. } = o else {
                continue;
            };
            for need in jobs.get(&**job).iter().flat_map(|j| &j.spec.dependencies) {
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
            commands,
            &spec_of,
            &mut |n| rng.random_range(0..n.max(1)),
            now,
        );
    }
}
