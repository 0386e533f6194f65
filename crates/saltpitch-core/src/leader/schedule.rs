//! Placement: job by job in order of urgency, task by task on one snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Aim, Job, Leader, Seen};
use crate::catalog::Res;
use crate::cluster::JobNo;
use crate::gang::{permit, pre_enqueue, Gang, Permit};
use crate::job::{JobSpec, Kind, Priority};
use crate::placement;
use crate::preemption::{choose, loss, Victim};
use crate::time::Micros;

/// How long after its submission a service's room is made where its image is, at most; half of the
/// time in which it should start, and no longer than a fetch could still be in time.
const NEAR: Micros = Micros::from_millis(2_500);
/// How long a gang waits for machines that have its image, in times of fetching it.
const PATIENCE: f64 = 0.6;
/// For each of these that a job has waited, it counts as half as large.
const AGEING: Micros = Micros::from_secs(60);
/// A job of which nothing was placed for this long is the next of those not pressing.
const STARVED: Micros = Micros::from_secs(140);
/// The same for those that are not large for their class: once late, they are not pressing.
const STARVED_SMALL: Micros = Micros::from_secs(300);
/// A job of which nothing runs takes any room that fits after this.
const STUCK: Micros = Micros::from_secs(60);
/// How long a gang keeps the room that it found while jobs of its team are stuck.
const MAX_HOLD: Micros = Micros::from_secs(25);
/// Gangs are served in this order of the time left to them.
const SLOT: Micros = Micros::from_secs(10);
/// Gangs take their whole room at once, and come before everything of their team but production.
const STARVED_GANG: Micros = Micros::from_secs(170);

/// The rank of what nothing is said of, and of jobs at fault.
const LAST_RANK: u8 = 5;

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

/// Machines of one group that a pass looks at for one job, beyond those that it needs.
const LOOKS: usize = 48;
/// Machines of one group looked at for room to be made, and searches in one pass: what stands
/// behind them waits for the next pass.
const MAKES: usize = 32;
const SEARCHES: u32 = 3;

impl Leader {
    /// Jobs with tasks to place, most urgent first: production, then what lies within its team's
    /// guarantee, then the rest, each by priority and age.
    pub(super) fn waiting(&mut self, now: Micros) -> Vec<Waiting> {
        let mut ranks = Vec::with_capacity(self.by_age.len());
        let mut claimed = vec![Res::default(); self.quota.len()];
        let mut list = Vec::with_capacity(self.open.len());
        self.steps += self.by_age.len() as u64;
        for (_, no) in &self.by_age {
            let Some(j) = self.jobs.get(no).filter(|j| j.active()) else {
                continue;
            };
            let Some(team) = self.quota.team(j.team) else {
                continue;
            };
            // A job at fault makes no claims: those of its team must not lose their guarantee to it.
            let at_fault = j.at_fault();
            let left = match at_fault {
                true => j.placed,
                false => j.spec.tasks - j.done,
            };
            let left = u64::from(left);
            let whole = claimed[j.team].plus(&j.spec.need.times(left));
            let guaranteed = team.guarantees(&whole);
            claimed[j.team] = whole;
            let due = self.start_by(j, now);
            let young = now.since(j.queued) < self.cfg.guarantee_within;
            let starved = self.starved(j, now);
            let rank = match (j.priority, guaranteed) {
                _ if at_fault => LAST_RANK,
                (Priority::Production, _) => 0u8,
                (_, true) if due.is_some() || young => 1,
                // A gang that needs most of its team's limit at once never finds it free while others
                // of the team come first.
                _ if starved && j.spec.kind == Kind::Gang => 1,
                (Priority::High, _) => 2,
                _ if starved => 3,
                _ if due.is_some_and(|d| d.since(now) <= Micros::from_secs(120)) => 3,
                _ if due.is_some() => 4,
                _ => LAST_RANK,
            };
            ranks.push((*no, rank));
            if j.idle.is_empty() {
                continue;
            }
            let high = j.priority < Priority::High;
            // When not all can be served in time, the smallest first keeps the most aims; but the
            // largest must not wait for ever behind small ones that keep coming. So the wait since
            // a job was served last makes it smaller, and in the end it is the first of its rank.
            let left = j.idle.len() as u64 * self.estimate(j).0 / 1_000 * j.spec.need.cpu;
            let left = if starved {
                0
            } else if j.spec.kind == Kind::Gang {
                // Gangs by the time left for their next aim that can still be kept: one that has
                // missed the first is not served before those that have not.
                let slack = due.map_or(u64::MAX >> 1, |d| d.since(now).0 / SLOT.0);
                slack
                    .saturating_mul(1_000)
                    .saturating_add(u64::from(j.spec.tasks).min(999))
            } else {
                let waited = now.since(j.served_at.max(j.queued)).0 / AGEING.0;
                left >> waited.min(63)
            };
            let key = (rank, high, left, j.queued, *no);
            list.push((
                key,
                Waiting {
                    no: *no,
                    guaranteed,
                    slack: due.map(|d| d.since(now)),
                },
            ));
        }
        list.sort_unstable_by_key(|x| x.0);
        for (no, rank) in ranks {
            if let Some(job) = self.jobs.get_mut(&no) {
                job.rank = rank;
            }
        }
        list.into_iter().map(|x| x.1).collect()
    }

    /// Nothing of this job was placed for long, although something is left of it: late or large, its
    /// turn has come. The wait is the same for all, so that nobody's is without bound.
    fn starved(&self, job: &Job, now: Micros) -> bool {
        let mean = self.classes.get(job.class).map_or(0.0, |c| c.mean_tasks);
        let large = f64::from(job.spec.tasks) > mean * 1.5;
        let limit = match job.spec.kind {
            _ if !large => STARVED_SMALL,
            Kind::Gang => STARVED_GANG,
            _ => STARVED,
        };
        !job.idle.is_empty() && now.since(job.served_at.max(job.queued)) > limit
    }

    /// The latest start that keeps the next aim that can still be kept. None: every aim for this
    /// job is missed, or nobody said when, so that it comes after those that can still be served in
    /// time.
    fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run = self.estimate(job).times(1.2);
        let aims = self.classes.get(job.class).map_or(&[][..], |c| &c.aims);
        let mut latest: Option<Micros> = None;
        for aim in aims {
            let by = match *aim {
                Aim::Wait(_) if job.started => continue,
                Aim::Wait(w) => job.queued.plus(w),
                Aim::Finished(w) => job.queued.plus(w).since(run),
                Aim::Deadline(times) => match job.spec.deadline {
                    Some(d) => job.submitted.plus(d.times(times)).since(run),
                    None => continue,
                },
            };
            if by > now {
                latest = Some(latest.map_or(by, |l| l.min(by)));
            }
        }
        // For the sake of those that need it.
        let chain = job.due.map(|d| d.since(run)).filter(|by| *by > now);
        if !aims.is_empty() || chain.is_some() {
            return latest.into_iter().chain(chain).min();
        }
        let own = job.spec.deadline.map(|d| job.submitted.plus(d).since(run));
        // Nobody said when: after those for whom somebody did.
        own.filter(|by| *by > now)
    }

    /// Nothing of this job runs and nothing was placed for long: it may have whatever fits. No job is
    /// to wait beside a machine with room, be it one that is kept for others.
    fn stuck(&self, job: &Job, now: Micros) -> bool {
        job.placed == 0 && now.since(job.served_at.max(job.queued)) > STUCK
    }

    pub(super) fn schedule(&mut self, now: Micros) {
        self.loosen(now);
        self.searches = SEARCHES;
        self.kept_for.clear();
        for w in self.waiting(now) {
            let Some(job) = self.jobs.get(&w.no) else {
                continue;
            };
            if job.not_before > now || self.kept_from(job) {
                continue;
            }
            match job.spec.kind {
                Kind::Gang => self.schedule_gang(w, now),
                _ => {
                    let urgent = job.spec.priority == Priority::Production && !job.at_fault();
                    if urgent && self.clears_near_image(w, now) {
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
            && now.since(job.queued) > Micros::from_secs(20)
    }

    /// Whether a gang keeps the room that it found beyond the barrier's wait: its turn has come. Not for
    /// ever, though: where the machines for the rest are not to be had, jobs of its team would wait
    /// beside free room, since what the gang holds counts against the team's limit.
    fn keeps_barrier(&self, no: JobNo, since: Micros, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&no).filter(|job| self.aged(job, now)) else {
            return false;
        };
        let blocked = |other: &Job| {
            other.team == job.team
                && other.spec.kind == Kind::Array
                && !other.idle.is_empty()
                && !other.at_fault()
                && self.stuck(other, now)
        };
        now.since(since) < MAX_HOLD || !self.jobs.values().any(blocked)
    }

    /// What its team has left is kept for a gang that has waited too long: nothing behind that one
    /// takes of the same kind until it has started.
    fn kept_from(&self, job: &Job) -> bool {
        self.kept_for
            .iter()
            .any(|(team, only_gpu)| *team == job.team && (!only_gpu || job.spec.need.gpu > 0))
    }

    /// Takes back the room of all gangs at the barrier, so that this pass deals it out anew, oldest
    /// first: two gangs must not each hold what the other lacks.
    fn loosen(&mut self, now: Micros) {
        let holding: Vec<(JobNo, Micros)> = (self.at_barrier.iter())
            .filter_map(|no| match self.jobs.get(no)?.gang {
                Gang::Holding { since } => Some((*no, since)),
                _ => None,
            })
            .collect();
        self.at_barrier.clear();
        for (no, since) in holding {
            self.park(no, now);
            self.hold_barrier(no, since);
        }
    }

    /// The gang's members found so far hold their room.
    fn hold_barrier(&mut self, no: JobNo, since: Micros) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.gang = Gang::Holding { since };
            self.at_barrier.insert(no);
        }
    }

    /// A replica starts at once where its image is, and only after a fetch elsewhere: once for each
    /// job, lesser work is stopped on machines that have the image. True while that room is awaited.
    fn clears_near_image(&mut self, w: Waiting, now: Micros) -> bool {
        let Some(job) = self.jobs.get(&w.no) else {
            return false;
        };
        // Looked for again while there is hope: a fetch takes longer than that.
        if let Some(until) = job.room_by {
            let aims = self.classes.get(job.class).map_or(&[][..], |c| &c.aims);
            // Where a fetch would be in time, there is no more to hope for than that.
            let fetch = (self.catalog.types.iter())
                .filter(|t| job.spec.need.fits(&t.size) && !self.contested_for(&job.spec, &t.size))
                .map(|t| t.fetch_time(job.spec.image_mb).times(1.3))
                .min()
                .unwrap_or_default();
            let start = aims.iter().filter_map(|a| match a {
                Aim::Wait(w) if fetch < *w => Some(w.since(fetch).since(Micros::from_secs(1))),
                Aim::Wait(w) => Some(w.times(0.5)),
                _ => None,
            });
            let hope = start.min().unwrap_or(NEAR).min(NEAR);
            if now < until || now.since(job.queued) > hope {
                return now < until;
            }
        }
        let spec = job.spec.clone();
        let idle = job.idle.len() as u64;
        let near = self.candidates(w.no, None, idle, now);
        let has = |l: &Leader, name: &Arc<str>| {
            let m = l.machines.get(name);
            m.is_some_and(|m| m.has_image(&spec.image))
        };
        let ready: u64 = near
            .iter()
            .filter(|name| has(self, name))
            .filter_map(|name| self.machines.get(name))
            .map(|m| spec.need.count_in(&m.free()))
            .sum();
        let missing = idle.saturating_sub(ready) as usize;
        let mut options = Vec::new();
        if missing > 0 {
            options = self.preemption_options(w, &spec, now);
            options.retain(|o| has(self, &o.machine) && !o.victims.is_empty());
            options.sort_by_key(|o| o.loss);
            options.truncate(missing);
        }
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

    /// Machines where this job's tasks could go now, best first, in `zone` if one is given. Of each
    /// group only as many are looked at as may be of use, the fullest first.
    fn candidates(
        &mut self,
        no: JobNo,
        zone: Option<&str>,
        want: u64,
        now: Micros,
    ) -> Vec<Arc<str>> {
        let Some(job) = self.jobs.get(&no) else {
            return Vec::new();
        };
        let stuck = self.stuck(job, now);
        let spec = job.spec.clone();
        let limit = LOOKS + want.min(1_000) as usize;
        let mut found = Vec::new();
        for g in 0..self.fleet.groups.len() {
            let group = &self.fleet.groups[g];
            if zone.is_some_and(|z| z != &*group.zone)
                || !(stuck || self.ever_suits(&spec, &group.kind.size))
                || !spec.allows(&group.kind.name, &group.zone, group.spot)
            {
                continue;
            }
            let group = &mut self.fleet.groups[g];
            let walk = group.walk(&spec.need, limit);
            self.steps += walk.steps;
            found.extend(walk.fits);
        }
        let Some(job) = self.jobs.get(&no) else {
            return Vec::new();
        };
        let holders = self.fleet.holders(&spec.image) as u64;
        let waited = now.since(job.queued.max(job.parked_at));
        // How soon the machines that have its image become free for it, one after the other.
        let soon = match spec.kind {
            Kind::Gang if holders > 0 => self.estimate(job).0 * u64::from(spec.tasks) / holders,
            _ => u64::MAX,
        };
        let mut list: Vec<(u64, Arc<str>)> = found
            .into_iter()
            .filter_map(|name| {
                let m = self.machines.get(&name)?;
                // A large image takes as long to fetch as the gang may soon find a machine that has
                // it; and this machine may have what another gang needs.
                if !m.has_image(&spec.image) {
                    let patience = m.kind.fetch_time(spec.image_mb).times(PATIENCE);
                    if soon < patience.0 && waited < patience {
                        return None;
                    }
                }
                let avoided = job.failures.avoids(&name, now);
                (!avoided && (stuck || self.may_borrow(&spec, m, now)))
                    .then(|| (placement::score(&spec, m), name))
            })
            .collect();
        list.sort();
        list.into_iter().map(|x| x.1).collect()
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
        let idle = job.idle.len() as u64;
        let mut more = self.quota.more(job.team, &spec.need).min(idle);
        more = more.min(job.placeable());
        if more == 0 {
            return 0;
        }
        // Beside what suits it, an array that is stuck takes room for a single task of it.
        let single = spec.kind == Kind::Array && self.stuck(job, now);
        for name in self.candidates(no, None, more, now) {
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
                let suits = self.ever_suits(&spec, &m.kind.size) && self.may_borrow(&spec, m, now);
                if single && !suits && job.placed > 0 {
                    break;
                }
                let (session, attempt) = (m.session, job.next_attempt(task));
                self.hold(no, task, name.clone(), session, attempt, false, now);
                self.dirty.placement(no, task, &spec, now);
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
        if self.quota.more(job.team, &need) < idle {
            if self.starved(job, now) && !job.at_fault() && self.can_become_free(job) {
                // Of processors, everybody's tasks take; of accelerators, only some.
                let cpu = Res { gpu: 0, ..need };
                let only_gpu = self.quota.more(job.team, &cpu) >= idle;
                self.kept_for.push((job.team, only_gpu));
            }
            return self.park(w.no, now);
        }
        let one_zone = job.spec.one_zone;
        let zone = if one_zone {
            match job.zones.keys().next().cloned() {
                Some(z) => Some(z),
                None => self.best_zone(w.no, now),
            }
        } else {
            None
        };
        if !one_zone || zone.is_some() {
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
                job.served_at = now;
                self.at_barrier.remove(&w.no);
                for task in 0..n {
                    self.dirty.placement(w.no, task, &spec, now);
                }
            }
            Permit::Wait => {
                let left = u64::from(n - job.placed);
                if job.placed > 0 {
                    self.hold_barrier(w.no, since);
                }
                self.preempt(w, left, now);
            }
            Permit::Drop if self.keeps_barrier(w.no, since, now) => {
                // It keeps what it found: its turn has come.
                self.hold_barrier(w.no, since);
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

    /// Whether the team's limit holds the whole gang beside the team's services, which don't end by
    /// themselves. If it does not, keeping what the team has left would only make the team's other
    /// jobs wait beside free room, for as long as the services run.
    fn can_become_free(&self, job: &Job) -> bool {
        let services = self
            .jobs
            .values()
            .filter(|j| j.team == job.team && j.spec.kind == Kind::Service);
        let lasting = services.fold(Res::default(), |sum, j| {
            sum.plus(&j.spec.need.times(u64::from(j.placed)))
        });
        let team = self.quota.team(job.team);
        team.is_some_and(|t| t.more(&lasting, &job.spec.need) >= u64::from(job.spec.tasks))
    }

    /// Drops the room of a gang that is not complete: nothing of it has gone on record.
    fn park(&mut self, no: JobNo, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        job.gang = Gang::Parked { until: now };
        if job.placed == 0 {
            return;
        }
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
        let want = job.idle.len() as u64;
        for name in self.candidates(no, zone, want, now) {
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
    fn best_zone(&mut self, no: JobNo, now: Micros) -> Option<Arc<str>> {
        let job = self.jobs.get(&no)?;
        let (need, all) = (job.spec.need, u64::from(job.spec.tasks));
        let mut rooms: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for name in self.candidates(no, None, all, now) {
            if let Some(m) = self.machines.get(&name) {
                *rooms.entry(m.zone.clone()).or_default() += need.count_in(&m.free());
            }
        }
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
        if now < job.search_after {
            return;
        }
        // Nothing is stopped for what fails wherever it runs.
        let left = left.min(job.idle_in_good_standing());
        if left == 0 {
            return;
        }
        // Lesser work is stopped for work that can still be in time, not for what is late anyway.
        if spec.priority < Priority::High && !w.guaranteed && w.slack.is_none() {
            return;
        }
        if self.searches == 0 {
            return;
        }
        self.searches -= 1;
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
        // What was found is given time to show its effect; what was not may turn up elsewhere.
        // The more jobs wait, the later it is another one's turn.
        let turn = 300 * (self.open.len() as u64 / 8).clamp(1, 8);
        let wait = if stops.is_empty() { turn } else { 2_000 };
        if let Some(job) = self.jobs.get_mut(&w.no) {
            job.search_after = now.plus(Micros::from_millis(wait));
        }
        if stops.is_empty() {
            return;
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

    /// Per machine where room could be made for one task: what that loses, and whom to stop. Of each
    /// group a bounded part is looked at, and the next search goes on from there.
    fn preemption_options(&mut self, w: Waiting, spec: &JobSpec, now: Micros) -> Vec<Making> {
        let mut options = Vec::new();
        let mut looked: Vec<Arc<str>> = Vec::new();
        for g in 0..self.fleet.groups.len() {
            let group = &self.fleet.groups[g];
            if !spec.need.fits(&group.kind.size)
                || !spec.allows(&group.kind.name, &group.zone, group.spot)
                || self.contested_for(spec, &group.kind.size)
                || !(w.guaranteed || group.has_below(spec.priority))
            {
                continue;
            }
            let group = &mut self.fleet.groups[g];
            let part = group.next_part(MAKES);
            looked.extend(part);
        }
        self.steps += looked.len() as u64;
        let Some(job) = self.jobs.get(&w.no) else {
            return options;
        };
        for m in looked.iter().filter_map(|n| self.machines.get(n)) {
            if !m.takes_tasks()
                || !Self::zone_allows(job, &m.zone)
                || job.failures.avoids(&m.name, now)
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
        // What borrows a machine with accelerators makes way for work that needs them, wherever it
        // stands in the order: it can't take that room back. A job counts as urgent as the most urgent
        // job that needs it, here as in the order of service: otherwise an early stage of an urgent
        // pipeline is stopped again and again by work that is no more urgent.
        if spec.need.gpu > 0 && other.spec.need.gpu == 0 && other.priority < spec.priority {
            return true;
        }
        // Only what is served later anyway: otherwise two jobs could stop each other in turn.
        let own = self.jobs.get(&w.no).map_or(u8::MAX, |j| j.rank);
        if other.rank <= own {
            return false;
        }
        if other.priority < spec.priority {
            return true;
        }
        if !w.guaranteed || other.spec.team == spec.team {
            return false;
        }
        // Services are never cheap to move: users look at them.
        other.spec.priority != Priority::Production
            && self
                .quota
                .team(other.team)
                .is_some_and(|t| !t.guarantees(&self.quota.used(other.team)))
    }
}
