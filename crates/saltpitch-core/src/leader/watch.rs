//! Machines whose time has come: silent, mute or deaf ones, leases that are over, orders without effect.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Effect, Leader, Seen};
use crate::cluster::Phase;
use crate::time::Micros;

impl Leader {
    /// Looks after the machines whose time has come: silent ones, those whose lease is over, stops
    /// that take too long, doubts that stay.
    pub(super) fn watch_machines(&mut self, now: Micros) {
        let mut over = Vec::new();
        let mut silent = Vec::new();
        let mut returns = Vec::new();
        while let Some((at, name)) = self.looks.first().cloned() {
            if at > now {
                break;
            }
            self.steps += 1;
            let next = self.look(&name, &mut over, &mut silent, &mut returns, now);
            self.look_at(&name, next.max(now.plus(Micros::from_millis(400))));
        }
        if !returns.is_empty() {
            self.effects.push(Effect::Return { names: returns });
        }
        for name in over {
            self.lose_all(&name, now);
        }
        self.return_silent(silent, now);
        self.escalate(now);
    }

    /// One machine; says when to look again.
    fn look(
        &mut self,
        name: &Arc<str>,
        over: &mut Vec<Arc<str>>,
        silent: &mut Vec<Arc<str>>,
        returns: &mut Vec<Arc<str>>,
        now: Micros,
    ) -> Micros {
        let (report, lately) = (self.cfg.report, self.lately());
        let soon = now.plus(Micros::from_millis(500));
        let Some(m) = self.machines.get_mut(name) else {
            return soon;
        };
        match m.phase {
            Phase::Returning(true) => {
                returns.push(name.clone());
                let wait = self.cfg.report.max(Micros::from_secs(3));
                return self.lease_end(name, over, now).min(now.plus(wait));
            }
            Phase::Returning(false) => return self.lease_end(name, over, now).min(soon),
            _ => {}
        }
        let quiet = now.since(m.last_heard.max(self.awake_since));
        let asks = m.phase == Phase::Up || !m.holds.is_empty();
        // Machines that an earlier leader knew; what boots for us will report by itself.
        let unfenced = m.phase == Phase::Unheard && m.recorded && m.born < self.took_office;
        let waits = unfenced || (asks && quiet > report.times(1.4)) || m.deaf.suspected();
        if waits && now >= m.probe_after && !m.addr.is_empty() && self.probes_out < self.cfg.calls {
            let wait = if m.phase == Phase::Up { 1 } else { 4 };
            m.probe_after = now.plus(Micros::from_secs(wait));
            m.probe_sent = now;
            self.probes_out += 1;
            self.effects.push(Effect::Probe {
                machine: name.clone(),
                addr: m.addr.clone(),
            });
        }
        // Two missed reports and two probes without an answer are taken for its end.
        let unanswered = m.probes_failed >= 2 && quiet > report.times(1.8);
        let long = quiet > report.times(2.6).plus(Micros::from_secs(1));
        // A deaf machine is as good as silent: nothing that it is told happens.
        let deaf = m.deaf.certain(report.times(1.8), now);
        if m.phase == Phase::Up && (unanswered || long || deaf) {
            silent.push(name.clone());
        }
        let mute = m.phase == Phase::Up && quiet > lately;
        if mute != m.silent {
            m.silent = mute;
            self.reindex(name);
        }
        let end = self.lease_end(name, over, now);
        self.look_for_mute(name, end, now);
        if waits || deaf || unanswered || long {
            return soon;
        }
        let Some(m) = self.machines.get(name) else {
            return soon;
        };
        let next = if m.phase == Phase::Up {
            m.last_heard.max(self.awake_since).plus(report.times(1.4))
        } else {
            now.plus(Micros::from_secs(2))
        };
        next.min(end)
    }

    /// A machine that reaches no controller answers direct calls: what it shows is true, but its lease
    /// is not renewed, and all that is on it ends with that. Nothing new goes there, and what can save
    /// or loses nothing is moved while there is time. Only as long as others do report: otherwise it is
    /// this node that is not reached.
    fn look_for_mute(&mut self, name: &Arc<str>, lease_end: Micros, now: Micros) {
        let (report, lease) = (self.cfg.report, self.cfg.lease);
        let others = now.since(self.last_report) < report.times(1.5);
        let awake = self.awake_since;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.phase != Phase::Up || m.silent || !others {
            // What comes back from behind a cut answers calls before it reports: that is counted anew.
            m.mute_since = None;
            return;
        }
        let wait = if m.last_answer > Micros::ZERO {
            report.times(1.8)
        } else {
            report.times(2.5).plus(Micros::from_secs(1))
        };
        let quiet = now.since(m.last_answer.max(m.up_since).max(awake));
        if quiet <= wait {
            return;
        }
        let since = *m.mute_since.get_or_insert(now);
        let news = !std::mem::replace(&mut m.mute, true);
        let late = quiet > lease.times(0.55)
            && now.since(since) > report.times(1.8)
            && m.deaf.since.is_none();
        let drains = late && !std::mem::replace(&mut m.drained, true);
        if news {
            self.reindex(name);
        }
        if drains {
            self.drain_within(name, lease_end.since(now), now);
        }
    }

    /// When the worker's lease is over at the latest: counted from our last answer, or from when
    /// the leader before us could have given one. If it is, everything on it is gone.
    fn lease_end(&self, name: &Arc<str>, over: &mut Vec<Arc<str>>, now: Micros) -> Micros {
        let far = now.plus(self.cfg.lease);
        let Some(m) = self.machines.get(name).filter(|m| !m.holds.is_empty()) else {
            return far;
        };
        // A session that began after our last answer has its lease from its own beginning.
        let base = match m.fenced_at {
            Some(at) => at.max(m.last_answer),
            None => self.old_silent_at.max(m.last_answer),
        };
        let end = base.max(m.session_since).plus(self.cfg.lease.with_drift());
        if now > end {
            over.push(name.clone());
        }
        end.plus(Micros::from_millis(1))
    }

    /// Returning a silent machine fences it sooner than its lease does. Many silent at once look
    /// like a cut, and so does a zone from which nobody is heard: then the lease decides.
    fn return_silent(&mut self, silent: Vec<Arc<str>>, now: Micros) {
        let report = self.cfg.report;
        if silent.is_empty() || now.since(self.last_heard) > report.times(2.5) {
            return;
        }
        // When each machine that hears us was heard last, by zone.
        let mut heard: HashMap<Arc<str>, Vec<Micros>> = HashMap::new();
        for m in self.machines.values() {
            if m.is_up() && !m.deaf.suspected() {
                heard.entry(m.zone.clone()).or_default().push(m.last_heard);
            }
        }
        self.steps += self.machines.len() as u64;
        for times in heard.values_mut() {
            times.sort_unstable();
        }
        let all: usize = heard.values().map(Vec::len).sum();
        let mut alike: HashMap<(Arc<str>, bool), usize> = HashMap::new();
        for m in silent.iter().filter_map(|n| self.machines.get(n)) {
            *alike.entry((m.zone.clone(), m.spot)).or_default() += 1;
        }
        for name in &silent {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            // What was heard before this one should have reported says nothing of a cut that began in
            // between, and its last probe proves something only if somebody had been heard by then:
            // whole zones, or this node, may just have been cut off or be coming back. Of a deaf
            // machine's zone, whoever hears us counts.
            let (since, until) = match m.deaf.since {
                Some(at) if m.deaf.certain(report.times(1.8), now) => (at, now),
                _ => (m.last_heard.plus(report.times(1.4)), m.unanswered),
            };
            let heard_in = |times: &Vec<Micros>| {
                let upto = times.partition_point(|at| *at <= until);
                upto.saturating_sub(times.partition_point(|at| *at <= since))
            };
            let heard_there = heard.get(&m.zone).map_or(0, heard_in);
            let heard_at_all: usize = heard.values().map(heard_in).sum();
            let open = self.open_zones.contains(&*m.zone);
            let silent_alike = alike.get(&(m.zone.clone(), m.spot)).copied().unwrap_or(0);
            let few = if m.spot {
                // They are taken back in waves.
                heard_there > 0 || (open && heard_at_all * 4 >= silent.len())
            } else {
                (heard_there > 0 && heard_there * 4 >= silent_alike)
                    || (open && silent_alike <= 1 && (heard_at_all > 0 || all <= 1))
            };
            if few {
                self.give_back(name, now);
            }
        }
    }

    /// Repeats what shows no effect; second stops for tasks that save too long.
    fn escalate(&mut self, now: Micros) {
        let mut settled = Vec::new();
        let mut again = Vec::new();
        let mut doubtful = false;
        for name in &self.unsettled {
            self.steps += 1;
            let Some(m) = self.machines.get(name).filter(|m| !m.holds.is_empty()) else {
                settled.push(name.clone());
                continue;
            };
            let in_doubt = m.doubt.filter(|d| now.since(d.1) > Micros::from_secs(6));
            // A token that was raised since then, and not heeded, is not raised again for it.
            doubtful |= m.is_up()
                && !m.silent
                && !m.deaf.suspected()
                && in_doubt.is_some_and(|d| d.0 >= self.term);
            let mut waits = m.doubt.is_some();
            for &(no, task) in &m.holds {
                let place =
                    (self.jobs.get_mut(&no)).and_then(|j| j.tasks[task as usize].place.as_mut());
                let Some(place) = place else { continue };
                if let Some(stop) = place.stop.as_mut() {
                    waits = true;
                    let limit = stop.grace.plus(self.cfg.gang_peer).plus(self.cfg.report);
                    if now.since(stop.since) > limit {
                        stop.grace = Micros::ZERO;
                    }
                } else if place.committed && place.seen == Seen::No {
                    waits = true;
                }
            }
            if !waits {
                settled.push(name.clone());
            } else if m.is_up() && now >= m.orders_after && !m.orders_out {
                again.push(name.clone());
            }
        }
        for name in settled {
            self.unsettled.remove(&name);
        }
        self.push.extend(again);
        if doubtful && !self.raise_out {
            self.raise_out = true;
            self.effects.push(Effect::RaiseTerm);
        }
    }
}
