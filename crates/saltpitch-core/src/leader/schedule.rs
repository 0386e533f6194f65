//! Placement: job by job in order of urgency, task by task on one snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Aim, Job, Leader, Seen};
use crate::catalog::Res;
use crate::cluster::{JobNo, Machine};
use crate::gang::{permit, pre_enqueue, Gang, Permit};
use crate::job::{JobSpec, Kind, Priority};
use crate::placement;
use crate::preemption::{choose, loss, Victim};
use crate::records::CHUNK;
use crate::time::Micros;

/// A job waiting for room, in the order in which jobs are served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub no: JobNo,
    pub guaranteed: bool,
    /// Time left until it has to start; none: it is late, or nobody said when.
    pub slack: Option<Micros>,
}

/// How room for one task can be made on a machine.
struct Making {
    loss: u64,
    machine: Arc<str>,
    victims: Vec<(JobNo, u32)>,
}

impl Leader {
    /// Jobs with tasks to place, most urgent first: production, then what lies within its team's
    /// guarantee, then the rest, each by priority and age.
    pub(super) fn waiting(&mut self, now: Micros) -> Vec<Waiting> {
        let mut ranks = HashMap::new();
        let mut by_age: Vec<(&JobNo, &Job)> =
            self.jobs.iter().filter(|(_, j)| j.active()).collect();
        by_age.sort_by_key(|(no, j)| (j.submitted, **no));
        let mut claimed: HashMap<&str, Res> = HashMap::new();
        let mut list = Vec::new();
        for (no, j) in by_age {
            let Some(team) = self.quota.team(&j.spec.team) else {
                continue;
            };
            let left = u64::from(j.spec.tasks - j.done);
            let sum = claimed.entry(&j.spec.team).or_default();
            let whole = sum.plus(&j.spec.need.times(left));
            let guaranteed = team.guarantees(&whole);
            *sum = whole;
            let due = self.start_by(j, now);
            let young = now.since(j.submitted) < self.cfg.guarantee_within;
            let rank = match (j.spec.priority, guaranteed) {
                (Priority::Production, _) => 0u8,
                (_, true) if due.is_some() || young => 1,
                (Priority::High, _) => 2,
                _ if due.is_some_and(|d| d.since(now) <= Micros::from_secs(120)) => 3,
                _ if due.is_some() => 4,
                _ => 5,
            };
            ranks.insert(*no, rank);
            if j.idle.is_empty() {
                continue;
            }
            let high = j.spec.priority < Priority::High;
            // When not all can be served in time, the smallest first keeps the most aims.
            let left = j.idle.len() as u64 * self.estimate(&j.spec).0 / 1_000 * j.spec.need.cpu;
            // A gang that has waited for long comes before smaller ones that would fill the gaps.
            let left = if self.aged(j, now) { 0 } else { left };
            let key = (rank, high, left, j.submitted, *no);
            list.push((
                key,
                Waiting {
                    no: *no,
                    guaranteed,
                    slack: due.map(|d| d.since(now)),
                },
            ));
        }
        list.sort_by_key(|x| x.0);
        self.ranks = ranks;
        list.into_iter().map(|x| x.1).collect()
    }

    /// The latest start that keeps the next aim that can still be kept. None: every aim for this
    /// job is missed, or nobody said when, so that it comes after those that can still be served in
    /// time.
    fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run = self.estimate(&job.spec).times(1.2);
        let mut latest: Option<Micros> = None;
        let mut any = false;
        for o in &self.cfg.objectives {
            if o.class != job.spec.class {
                continue;
            }
            any = true;
            let by = match o.aim {
                Aim::Wait(_) if job.started => continue,
                Aim::Wait(w) => job.submitted.plus(w),
                Aim::Finished(w) => job.submitted.plus(w).since(run),
                Aim::Deadline(times) => match job.spec.deadline {
                    Some(d) => job.submitted.plus(d.times(times)).since(run),
                    None => continue,
                },
            };
            if by > now {
                latest = Some(latest.map_or(by, |l| l.min(by)));
            }
        }
        if any {
            return latest;
        }
        let own = job.spec.deadline.map(|d| job.submitted.plus(d).since(run));
        // Nobody said when: after those for whom somebody did.
        own.filter(|by| *by > now)
    }

    /// Whether accelerators that other work needs make this machine type a last resort for `spec`.
    pub(super) fn contested_for(&self, spec: &JobSpec, size: &Res) -> bool {
        let wanted: Vec<Res> = self.gpu_needs.values().copied().collect();
        spec.need.gpu == 0 && placement::contested(size, &wanted)
    }

    /// Machines whose accelerators others need lend their processors only to tasks that can save
    /// when they have to make way, and only while the machine is kept for those others anyway.
    fn may_borrow(&self, spec: &JobSpec, m: &Machine, now: Micros) -> bool {
        if !self.contested_for(spec, &m.kind.size) {
            return true;
        }
        spec.kind == Kind::Array && spec.saves() && now.since(m.wanted_at) < m.keep
    }

    pub(super) fn schedule(&mut self, now: Micros) {
        self.loosen(now);
        for w in self.waiting(now) {
            let Some(job) = self.jobs.get(&w.no) else {
                continue;
            };
            if job.not_before > now {
                continue;
            }
            match job.spec.kind {
                Kind::Gang => self.schedule_gang(w, now),
                _ => {
                    if job.spec.priority == Priority::Production && self.clears_near_image(w, now) {
                        continue;
                    }
                    let left = self.fill(w.no, now);
                    if left > 0 {
                        self.preempt(w, left, now);
                    }
                }
            }
        }
    }

    /// The source lets a large gang starve while smaller work fills the gaps. Ours ages: after this
    /// wait it is served first among its like and keeps the room that it finds.
    fn aged(&self, job: &Job, now: Micros) -> bool {
        job.spec.kind == Kind::Gang
            && job.placed < job.spec.tasks
            && now.since(job.submitted) > Micros::from_secs(20)
    }

    /// Takes back the room of all gangs at the barrier, so that this pass deals it out anew, oldest
    /// first: two gangs must not each hold what the other lacks.
    fn loosen(&mut self, now: Micros) {
        let holding: Vec<(JobNo, Micros)> = self
            .jobs
            .iter()
            .filter_map(|(no, j)| match j.gang {
                Gang::Holding { since } => Some((*no, since)),
                _ => None,
            })
            .collect();
        for (no, since) in holding {
            self.park(no, now);
            if let Some(job) = self.jobs.get_mut(&no) {
                job.gang = Gang::Holding { since };
            }
        }
    }

    /// A replica starts at once where its image is, and only after a fetch elsewhere: once for each
    /// job, lesser work is stopped on machines that have the image. True while that room is awaited.
    fn clears_near_image(&mut self, w: Waiting, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&w.no) else {
            return false;
        };
        if let Some(until) = job.room_by {
            return now < until;
        }
        let spec = job.spec.clone();
        let has = |name: &Arc<str>| {
            self.machines
                .get(name)
                .is_some_and(|m| m.has_image(&spec.image))
        };
        let ready: u64 = self
            .candidates(job, None, now)
            .iter()
            .filter(|name| has(name))
            .filter_map(|name| self.machines.get(name))
            .map(|m| spec.need.count_in(&m.free()))
            .sum();
        let missing = (job.idle.len() as u64).saturating_sub(ready) as usize;
        let mut options = self.preemption_options(w, &spec, now);
        options.retain(|o| has(&o.machine) && !o.victims.is_empty());
        options.sort_by_key(|o| o.loss);
        options.truncate(missing);
        let awaited = !options.is_empty();
        if let Some(job) = self.jobs.get_mut(&w.no) {
            job.room_by = Some(if awaited {
                now.plus(Micros::from_millis(700))
            } else {
                now
            });
        }
        let victims = options.into_iter().flat_map(|o| o.victims).collect();
        self.stop_victims(victims, true, now);
        awaited
    }

    /// Machines where this job's tasks could go now, best first, in `zone` if one is given.
    fn candidates(&self, job: &Job, zone: Option<&str>, now: Micros) -> Vec<Arc<str>> {
        let quiet = self.quiet();
        let spec = &job.spec;
        let mut list: Vec<(u64, &Arc<str>)> = self
            .machines
            .values()
            .filter(|m| {
                m.takes_tasks(now, quiet)
                    && zone.is_none_or(|z| z == &*m.zone)
                    && spec.need.fits(&m.free())
                    && spec.allows(&m.kind.name, &m.zone, m.spot)
                    && self.may_borrow(spec, m, now)
                    && job.avoid.get(&m.name).is_none_or(|until| *until <= now)
            })
            .map(|m| (placement::score(spec, m), &m.name))
            .collect();
        list.sort();
        list.into_iter().map(|x| x.1.clone()).collect()
    }

    /// Whether one more task of the job may go to this zone, given where the others are.
    fn zone_allows(job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.zones.keys().any(|z| &**z != zone) {
            return false;
        }
        !job.spec.spread || job.zones.get(zone).copied().unwrap_or(0) < job.spec.per_zone()
    }

    /// Places as many idle tasks of an array or a service as go; says how many are left over that
    /// the team's limit would allow.
    fn fill(&mut self, no: JobNo, now: Micros) -> u64 {
        let Some(job) = self.jobs.get(&no) else {
            return 0;
        };
        let spec = job.spec.clone();
        let mut more = self
            .quota
            .more(&spec.team, &spec.need)
            .min(job.idle.len() as u64);
        if more == 0 {
            return 0;
        }
        for name in self.candidates(job, None, now) {
            while more > 0 {
                let (Some(job), Some(m)) = (self.jobs.get(&no), self.machines.get(&name)) else {
                    break;
                };
                let Some(&task) = job.idle.first() else {
                    return 0;
                };
                if !spec.need.fits(&m.free()) || !Self::zone_allows(job, &m.zone) {
                    break;
                }
                let (session, attempt) = (m.session, job.next_attempt(task));
                self.hold(no, task, name.clone(), session, attempt, false, now);
                self.dirty.insert((no, task / CHUNK));
                more -= 1;
            }
        }
        more
    }

    /// One pass over a gang: gate, assumption, barrier.
    fn schedule_gang(&mut self, w: Waiting, now: Micros) {
        let Some(job) = self.jobs.get(&w.no) else {
            return;
        };
        let n = job.spec.tasks;
        // The job's record carries all of its tasks, so the group is known whole or not at all.
        if !pre_enqueue(true, job.tasks.len() as u32, n) {
            return;
        }
        let since = match job.gang {
            Gang::Parked { until } if until <= now && job.placed == 0 => now,
            Gang::Holding { since } => since,
            _ => return,
        };
        let need = job.spec.need;
        let idle = job.idle.len() as u64;
        if self.quota.more(&job.spec.team, &need) < idle {
            return self.park(w.no, now);
        }
        let zone = if job.spec.one_zone {
            match job.zones.keys().next().cloned() {
                Some(z) => Some(z),
                None => self.best_zone(job, now),
            }
        } else {
            None
        };
        if !job.spec.one_zone || zone.is_some() {
            self.assume(w.no, zone.as_deref(), now);
        }
        let Some(spec) = self.jobs.get(&w.no).map(|j| j.spec.clone()) else {
            return;
        };
        let wait = self.gang_hold(&spec);
        let Some(job) = self.jobs.get_mut(&w.no) else {
            return;
        };
        match permit(job.placed, n, since, now, wait) {
            Permit::Allow => {
                job.gang = Gang::Committing;
                for c in 0..n.div_ceil(CHUNK) {
                    self.dirty.insert((w.no, c));
                }
            }
            Permit::Wait => {
                if job.placed > 0 {
                    job.gang = Gang::Holding { since };
                }
                let left = u64::from(n - job.placed);
                self.preempt(w, left, now);
            }
            Permit::Drop if self.jobs.get(&w.no).is_some_and(|j| self.aged(j, now)) => {
                // It keeps what it found: its turn has come.
                if let Some(job) = self.jobs.get_mut(&w.no) {
                    job.gang = Gang::Holding { since };
                }
            }
            Permit::Drop => {
                self.park(w.no, now);
                if let Some(job) = self.jobs.get_mut(&w.no) {
                    job.gang = Gang::Parked {
                        until: now.plus(Micros::from_secs(1)),
                    };
                }
            }
        }
    }

    /// Drops the room of a gang that is not complete: nothing of it has gone on record.
    fn park(&mut self, no: JobNo, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        job.gang = Gang::Parked { until: now };
        for task in 0..job.spec.tasks {
            self.clear(no, task, now);
        }
    }

    /// Assumes the gang's idle members, one by one, on the present snapshot.
    fn assume(&mut self, no: JobNo, zone: Option<&str>, now: Micros) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let need = job.spec.need;
        let attempt = if job.placed > 0 {
            job.tasks.iter().map(|t| t.attempt).max().unwrap_or(1)
        } else {
            job.next_attempt(0)
        };
        for name in self.candidates(job, zone, now) {
            while let (Some(job), Some(m)) = (self.jobs.get(&no), self.machines.get(&name)) {
                let Some(&task) = job.idle.first() else {
                    return;
                };
                if !need.fits(&m.free()) || !Self::zone_allows(job, &m.zone) {
                    break;
                }
                let session = m.session;
                self.hold(no, task, name.clone(), session, attempt, false, now);
            }
        }
    }

    /// The zone that holds most members of a gang now.
    fn best_zone(&self, job: &Job, now: Micros) -> Option<Arc<str>> {
        let mut rooms: HashMap<Arc<str>, u64> = HashMap::new();
        for name in self.candidates(job, None, now) {
            if let Some(m) = self.machines.get(&name) {
                *rooms.entry(m.zone.clone()).or_default() += job.spec.need.count_in(&m.free());
            }
        }
        let all = u64::from(job.spec.tasks);
        rooms
            .into_iter()
            .max_by_key(|(z, n)| ((*n).min(all), std::cmp::Reverse(z.clone())))
            .map(|x| x.0)
    }

    /// Stops less urgent work for up to `left` tasks of this job, the cheapest loss first.
    fn preempt(&mut self, w: Waiting, left: u64, now: Micros) {
        let Some(job) = self.jobs.get(&w.no) else {
            return;
        };
        let spec = job.spec.clone();
        if now.since(job.preempted_at) < Micros::from_secs(2) && job.preempted_at > Micros::ZERO {
            return;
        }
        // Lesser work is stopped for work that can still be in time, not for what is late anyway.
        if spec.priority < Priority::High && !w.guaranteed && w.slack.is_none() {
            return;
        }
        let mut stops: Vec<(JobNo, u32)> = Vec::new();
        let mut left = left;
        let mut options = self.preemption_options(w, &spec, now);
        options.sort_by_key(|o| o.loss);
        for o in options {
            if left == 0 {
                break;
            }
            left -= 1;
            stops.extend(o.victims);
        }
        if stops.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&w.no) {
            job.preempted_at = now;
        }
        self.stop_victims(stops, spec.priority == Priority::Production, now);
    }

    /// Stops these tasks, at once or with time to save.
    fn stop_victims(&mut self, stops: Vec<(JobNo, u32)>, at_once: bool, now: Micros) {
        for (no, task) in stops {
            let Some(victim) = self.jobs.get(&no) else {
                continue;
            };
            let grace = if victim.spec.saves() && !at_once {
                victim.spec.save.plus(Micros::from_secs(2))
            } else {
                Micros::ZERO
            };
            if victim.spec.kind == Kind::Gang {
                self.stop_gang(no, grace, now);
            } else {
                self.stop(no, task, grace, now);
            }
        }
    }

    /// Per machine where room could be made for one task: what that loses, and whom to stop.
    fn preemption_options(&self, w: Waiting, spec: &JobSpec, now: Micros) -> Vec<Making> {
        let quiet = self.quiet();
        let mut options = Vec::new();
        let Some(job) = self.jobs.get(&w.no) else {
            return options;
        };
        for m in self.machines.values() {
            if !m.takes_tasks(now, quiet)
                || !spec.allows(&m.kind.name, &m.zone, m.spot)
                || self.contested_for(spec, &m.kind.size)
                || !spec.need.fits(&m.kind.size)
                || !Self::zone_allows(job, &m.zone)
                || job.avoid.get(&m.name).is_some_and(|until| *until > now)
            {
                continue;
            }
            let mut free = m.free();
            let mut victims = Vec::new();
            for &(no, task) in &m.holds {
                let Some(other) = self.jobs.get(&no) else {
                    continue;
                };
                let Some(place) = other.tasks[task as usize].place.as_ref() else {
                    continue;
                };
                if place.stop.is_some() {
                    free = free.plus(&other.spec.need);
                    continue;
                }
                if !self.may_stop(w, spec, other) {
                    continue;
                }
                // A start that is undone soon counts for nothing, and neither does work that
                // can't be saved: both are only worth it for urgent work and guarantees.
                let settled = now.since(place.since) > Micros::from_secs(40)
                    && other.spec.saves()
                    && place.seen == Seen::Running;
                if spec.priority < Priority::High && !w.guaranteed && !settled {
                    continue;
                }
                let ran = match place.seen {
                    Seen::Running => now.since(place.running_since.unwrap_or(place.since)),
                    _ => now.since(place.since).times(0.2),
                };
                // Production waits for nobody's save: what is lost then is the time since the last
                // checkpoint.
                let lost = match (spec.priority, other.spec.saves()) {
                    (Priority::Production, true) => Micros(ran.0 % other.spec.checkpoint.0),
                    (_, true) => other.spec.save,
                    _ => ran,
                };
                victims.push(Victim {
                    id: (no, task),
                    need: other.spec.need,
                    loss: loss(other.spec.need.cpu, lost),
                });
            }
            // No victims: room is being made here already, which covers one of the tasks.
            if let Some((loss, victims)) = choose(&spec.need, free, &mut victims) {
                options.push(Making {
                    loss,
                    machine: m.name.clone(),
                    victims,
                });
            }
        }
        options
    }

    /// The protocol's terms: higher priority over lower; a guarantee over what another team runs
    /// beyond its own.
    fn may_stop(&self, w: Waiting, spec: &JobSpec, other: &Job) -> bool {
        // Only what is served later anyway: otherwise two jobs could stop each other in turn.
        let rank = |no: JobNo| self.ranks.get(&no).copied().unwrap_or(u8::MAX);
        let other_no = self.by_id.get(&other.id).copied().unwrap_or(0);
        if rank(other_no) <= rank(w.no) {
            return false;
        }
        if other.spec.priority < spec.priority {
            return true;
        }
        if !w.guaranteed || other.spec.team == spec.team {
            return false;
        }
        // Services are never cheap to move: users look at them.
        other.spec.priority != Priority::Production
            && self
                .quota
                .team(&other.spec.team)
                .is_some_and(|t| !t.guarantees(&self.quota.used(&other.spec.team)))
    }
}
