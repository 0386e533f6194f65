//! What users and operators see of the site: answers about jobs, and work that waits beside room.

use super::*;

impl Simulation {
    /// Users ask about every job, and every node that is in service is to know each of them: by
    /// itself, or through a peer that has the store.
    pub(super) fn ask_all(&mut self) {
        let now = self.now;
        let wrong = self.store.down
            || now < self.apart_until
            || self.nodes.iter().any(|n| {
                let cut =
                    now < n.no_store_until || now < n.no_workers_until || now < n.no_peers_until;
                cut || !n.is_up(now) || n.frozen(now) > Micros::ZERO
            });
        let odd = |m: &Agent| {
            !m.gone
                && (now < m.hung_until || now < m.inbound_cut_until || now < m.outbound_cut_until)
        };
        let any = now < self.late_writes_until
            || now < self.slow_links_until
            || self.agents.values().any(odd);
        if wrong || any || (now < self.quiet_from && self.faults != Faults::default()) {
            self.still_since = now;
        }
        if wrong || (now < self.quiet_from && self.faults.any()) {
            self.calm_since = now;
        }
        for node in &mut self.nodes {
            let awake = node.is_up(now) && node.frozen(now) == Micros::ZERO;
            if node.started && node.reaches_store(&self.store, now) && awake {
                node.follow(&self.store, now);
            }
        }
        let known = |node: &Node, id: &str| {
            node.is_up(now)
                && node.reaches_store(&self.store, now)
                && node.records().jobs.contains_key(id)
        };
        let mut begun = Vec::new();
        for (id, job) in &mut self.jobs {
            let by_any = self.nodes.iter().any(|n| known(n, id));
            for (n, node) in self.nodes.iter().enumerate() {
                let state = node.records().state(id).map_or(0, |state| match state {
                    JobState::Active => 1,
                    JobState::Done => 2,
                    JobState::Cancelled => 3,
                });
                self.trace.event("status", now).text(id);
                self.trace.number(n as u64).number(state);
                if node.is_up(now) && by_any {
                    job.answered[n] = now;
                }
            }
            if job.begun_at.is_none() {
                begun.push(id.clone());
            }
        }
        for id in begun {
            let on = self.running(&id) as u32;
            if let Some(job) = self.jobs.get_mut(&id) {
                let least = if job.spec.kind == JobKind::Array {
                    1
                } else {
                    job.spec.tasks
                };
                if on >= least {
                    job.begun_at = Some(now);
                }
            }
        }
    }

    /// Which jobs wait in calm beside room that would take what they need at a time.
    pub(super) fn note_waiting(&mut self) {
        let now = self.now;
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut on: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        let mut free: Vec<(&Agent, Resources)> = Vec::new();
        for m in self.agents.values().filter(|m| !m.gone) {
            let mut room = m.size;
            for ((id, _), _) in m.tasks.iter().filter(|(_, h)| !h.exited()) {
                if let Some(j) = self.jobs.get(&id.0) {
                    room = room.minus(&j.spec.need);
                    let sum = used.entry(&j.spec.team).or_default();
                    *sum = sum.plus(&j.spec.need);
                    on.entry(&id.0).or_default().insert(id.1);
                }
            }
            let well = m.is_up(now) && now >= m.inbound_cut_until && now >= m.outbound_cut_until;
            if well && m.notice.is_none() && now.since(m.boots_at) > Micros::from_secs(10) {
                free.push((m, room));
            }
        }
        let mut waits = Vec::new();
        for (id, j) in &self.jobs {
            let counts = j.accepted
                && !j.elsewhere
                && !j.mistaken
                && j.cancelled_at.is_none()
                && j.withdrawn_at.is_none()
                && j.spec.dependencies.iter().all(|n| self.is_done(n))
                && !self.is_done(id);
            let there = on.get(id.as_str()).map_or(0, |s| s.len() as u32);
            let done = self.done.get(id).map_or(0, |s| s.len() as u32);
            let left = j.spec.tasks.saturating_sub(there + done);
            // A job waits while nothing of it runs: an array for any task, the others for all.
            let want = if j.spec.kind == JobKind::Array {
                1
            } else {
                left
            };
            let simple = !j.spec.spread && there == 0;
            let team = self.teams.iter().find(|t| t.name == j.spec.team);
            let sum = used.get(j.spec.team.as_str()).copied().unwrap_or_default();
            let allowed =
                team.is_some_and(|t| t.tasks_allowed(&sum, &j.spec.need) >= u64::from(want));
            let fits = |zone: Option<&str>| -> u64 {
                free.iter()
                    .filter(|(m, _)| zone.is_none_or(|z| z == m.zone))
                    .filter(|(m, _)| j.spec.allows(&m.type_name, &m.zone, m.spot))
                    .map(|(_, room)| j.spec.need.count_in(room))
                    .sum()
            };
            let room = if j.spec.one_zone {
                fits(Some("east")).max(fits(Some("west")))
            } else {
                fits(None)
            };
            let waiting = counts && simple && left > 0 && allowed && room >= u64::from(want);
            waits.push((id.clone(), waiting && self.still_since < now));
        }
        for (id, waiting) in waits {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.waits_since = if waiting {
                    j.waits_since.or(Some(now))
                } else {
                    None
                };
            }
        }
    }
}
