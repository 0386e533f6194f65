//! Machines against need: what to rent and what to return.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{Effect, Leader};
use crate::catalog::Res;
use crate::cluster::{JobNo, Machine, Phase};
use crate::gang::Gang;
use crate::job::{JobSpec, Kind};
use crate::time::Micros;

/// The most tasks of one job that are planned for at a time: a job of 100,000 tasks must not hold
/// up everything else, and no cloud has that many machines at once.
const MAX_RESERVED: u64 = 400;

/// What the cloud refused, and until when not to ask again.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub until: Micros,
    pub times: u32,
}

/// A rental under way.
#[derive(Clone, Debug)]
pub(super) struct Renting {
    pub request: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub out: bool,
    pub after: Micros,
}

/// How a rental request ended.
#[derive(Clone, Debug)]
pub enum Rented {
    Machines(Vec<String>),
    NoCapacity,
    /// Refused without effect for another reason: throttled, outage, not sent.
    Later,
    /// No answer: the same request is repeated, since it may have been carried out.
    Unknown,
}

/// Room to come: a machine that boots, is being rented, or is to be rented.
struct Bin {
    type_name: String,
    zone: String,
    spot: bool,
    free: Res,
    new: bool,
}

impl Leader {
    /// Rents what the waiting tasks need beyond what is on its way; returns what stands idle.
    pub(super) fn plan_capacity(&mut self, now: Micros) {
        let mut bins = self.coming(now);
        let room = self.batch_room(now);
        let mut work = self.batch_work();
        let mut team_left: HashMap<String, Res> = HashMap::new();
        for w in self.waiting(now) {
            let Some(job) = self.jobs.get(&w.no) else {
                continue;
            };
            if job.errors >= 6 || matches!(job.gang, Gang::Committing | Gang::Allowed) {
                continue;
            }
            let spec = job.spec.clone();
            let used = self.quota.used(&spec.team);
            let claimed = team_left.entry(spec.team.clone()).or_insert(used);
            let Some(team) = self.quota.team(&spec.team) else {
                continue;
            };
            let idle = job.idle.len() as u64;
            let mut want = team.more(claimed, &spec.need).min(idle);
            if spec.kind == Kind::Gang && want < idle {
                continue;
            }
            *claimed = claimed.plus(&spec.need.times(want));
            if spec.kind == Kind::Array {
                want = self.unserved(&spec, want, w.slack, room, &mut work);
            }
            let renting = JobSpec {
                spot: self.spot_wanted(&spec),
                ..(*spec).clone()
            };
            self.reserve(w.no, &renting, want.min(MAX_RESERVED), &mut bins, now);
        }
        self.rent(&bins, now);
        self.return_idle(now);
        self.repeat_rents(now);
    }

    /// Machines that are booting or being rented, as empty room.
    fn coming(&self, now: Micros) -> Vec<Bin> {
        let mut bins = Vec::new();
        for m in self.machines.values() {
            let boots = m.phase == Phase::Unheard
                && m.holds.is_empty()
                && now.since(m.born) < m.kind.boot.times(3.0).plus(Micros::from_secs(20));
            let waits = m.phase == Phase::Up && m.fenced_at.is_none() && m.holds.is_empty();
            if boots || waits {
                bins.push(Bin {
                    type_name: m.kind.name.clone(),
                    zone: m.zone.to_string(),
                    spot: m.spot,
                    free: m.free(),
                    new: false,
                });
            }
        }
        for r in &self.rents {
            let Some(kind) = self.catalog.get(&r.type_name) else {
                continue;
            };
            for _ in 0..r.count {
                bins.push(Bin {
                    type_name: r.type_name.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                    free: kind.size,
                    new: false,
                });
            }
        }
        bins
    }

    /// Processors that the machines already there give to batch work.
    fn batch_room(&self, now: Micros) -> u64 {
        let quiet = self.quiet();
        let mut room = 0u64;
        for m in self.machines.values().filter(|m| m.takes_tasks(now, quiet)) {
            let services: u64 = m
                .holds
                .iter()
                .filter_map(|(no, _)| self.jobs.get(no))
                .filter(|j| j.spec.kind != Kind::Array)
                .map(|j| j.spec.need.cpu)
                .sum();
            if !self.contested_for_any(&m.kind.size) {
                room += m.kind.size.cpu.saturating_sub(services);
            }
        }
        room
    }

    /// Batch work on its way: what is running has half of its time left on average.
    fn batch_work(&self) -> u64 {
        self.jobs
            .values()
            .filter(|j| j.spec.kind == Kind::Array)
            .map(|j| u64::from(j.placed) * j.spec.need.cpu * self.estimate(&j.spec).0 / 2_000_000)
            .sum()
    }

    fn contested_for_any(&self, size: &Res) -> bool {
        let wanted: Vec<Res> = self.gpu_needs.values().copied().collect();
        crate::placement::contested(size, &wanted)
    }

    /// How many of `want` tasks the machines already there won't get to in time, with `work` to be
    /// done before them on `room` processors.
    fn unserved(
        &self,
        spec: &JobSpec,
        want: u64,
        slack: Option<Micros>,
        room: u64,
        work: &mut u64,
    ) -> u64 {
        let drain = self.drain;
        let time = slack.map_or(drain.times(3.0), |s| {
            s.max(drain.times(0.5)).min(drain.times(3.0))
        });
        let each = (spec.need.cpu * self.estimate(spec).0 / 1_000_000).max(1);
        let can = (room * time.0 / 1_000_000).saturating_sub(*work);
        *work += want * each;
        want - (can / each).min(want)
    }

    /// Puts `want` tasks into the room to come, adding machines to rent where that is short.
    fn reserve(&self, no: JobNo, spec: &JobSpec, want: u64, bins: &mut Vec<Bin>, now: Micros) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let mut zones: BTreeMap<String, u64> = job
            .zones
            .iter()
            .map(|(z, n)| (z.to_string(), u64::from(*n)))
            .collect();
        let cap = u64::from(spec.per_zone());
        let fixed = if spec.one_zone {
            job.zones.keys().next().map(|z| z.to_string())
        } else {
            None
        };
        let mut fixed = fixed;
        let mut left = want;
        while left > 0 {
            let fits = |zone: &str, zones: &BTreeMap<String, u64>, fixed: &Option<String>| {
                fixed.as_deref().is_none_or(|z| z == zone)
                    && (!spec.spread || zones.get(zone).copied().unwrap_or(0) < cap)
            };
            let found = bins.iter_mut().find(|b| {
                spec.need.fits(&b.free)
                    && spec.allows(&b.type_name, &b.zone, b.spot)
                    && self.suits_type(spec, &b.type_name)
                    && fits(&b.zone, &zones, &fixed)
            });
            let zone = match found {
                Some(bin) => {
                    bin.free = bin.free.minus(&spec.need);
                    bin.zone.clone()
                }
                None => {
                    let Some(mut bin) =
                        self.cheapest(spec, left, bins, now, &|z| fits(z, &zones, &fixed))
                    else {
                        return;
                    };
                    bin.free = bin.free.minus(&spec.need);
                    let zone = bin.zone.clone();
                    bins.push(bin);
                    zone
                }
            };
            if spec.one_zone && fixed.is_none() {
                fixed = Some(zone.clone());
            }
            *zones.entry(zone).or_default() += 1;
            left -= 1;
        }
    }

    fn suits_type(&self, spec: &JobSpec, name: &str) -> bool {
        self.catalog
            .get(name)
            .is_some_and(|t| !self.contested_for(spec, &t.size))
    }

    /// The machine that holds a task of this job for the least money, of those that the cloud has
    /// not just refused.
    fn cheapest(
        &self,
        spec: &JobSpec,
        left: u64,
        bins: &[Bin],
        now: Micros,
        zone_ok: &dyn Fn(&str) -> bool,
    ) -> Option<Bin> {
        let mut best: Option<((u64, u64), Bin)> = None;
        for t in &self.catalog.types {
            if !spec.need.fits(&t.size) || self.contested_for(spec, &t.size) {
                continue;
            }
            let per = spec.need.count_in(&t.size).min(left).max(1);
            for zone in &t.zones {
                for spot in [true, false] {
                    if !spec.allows(&t.name, zone, spot) || !zone_ok(zone) {
                        continue;
                    }
                    let key = (t.name.clone(), zone.clone(), spot);
                    if self.refusals.get(&key).is_some_and(|r| r.until > now) {
                        continue;
                    }
                    let cost = t.price_of(spot) * 1_000 / per;
                    // Between equals, the zone with less of it.
                    let there = bins.iter().filter(|b| b.zone == *zone).count()
                        + self.machines.values().filter(|m| &*m.zone == zone).count();
                    let rank = (cost, there as u64);
                    if best.as_ref().is_none_or(|b| rank < b.0) {
                        best = Some((
                            rank,
                            Bin {
                                type_name: t.name.clone(),
                                zone: zone.clone(),
                                spot,
                                free: t.size,
                                new: true,
                            },
                        ));
                    }
                }
            }
        }
        best.map(|b| b.1)
    }

    fn rent(&mut self, bins: &[Bin], now: Micros) {
        let mut counts: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
        for b in bins.iter().filter(|b| b.new) {
            *counts
                .entry((b.type_name.clone(), b.zone.clone(), b.spot))
                .or_default() += 1;
        }
        for ((type_name, zone, spot), count) in counts {
            // A request's name is never used again: the term is this leader's alone.
            let request = format!("t{}-{}", self.term, self.next_request);
            self.next_request += 1;
            self.rents.push(Renting {
                request,
                type_name,
                zone,
                spot,
                count: count.min(50),
                out: false,
                after: now,
            });
        }
    }

    fn repeat_rents(&mut self, now: Micros) {
        for r in &mut self.rents {
            if !r.out && now >= r.after {
                r.out = true;
                self.effects.push(Effect::Rent {
                    request: r.request.clone(),
                    type_name: r.type_name.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                    count: r.count,
                });
            }
        }
    }

    /// The answer to [`Effect::Rent`].
    pub fn rented(&mut self, request: &str, end: Rented, now: Micros) {
        let Some(at) = self.rents.iter().position(|r| r.request == request) else {
            return;
        };
        let r = self.rents[at].clone();
        let key = (r.type_name.clone(), r.zone.clone(), r.spot);
        match end {
            Rented::Machines(names) => {
                self.rents.remove(at);
                if (names.len() as u32) < r.count {
                    self.refuse(key, now);
                } else {
                    self.refusals.remove(&key);
                }
                let Some(kind) = self.catalog.get(&r.type_name).cloned() else {
                    return;
                };
                let kind = Arc::new(kind);
                for n in names {
                    if self.machines.contains_key(n.as_str()) {
                        continue;
                    }
                    let m = Machine::new(&n, kind.clone(), &r.zone, r.spot, "", now);
                    self.dirty_machines.insert(m.name.clone());
                    self.machines.insert(m.name.clone(), m);
                }
            }
            Rented::NoCapacity => {
                self.rents.remove(at);
                self.refuse(key, now);
            }
            Rented::Later => {
                self.rents.remove(at);
                self.refusals.insert(
                    key,
                    Refusal {
                        until: now.plus(Micros::from_secs(2)),
                        times: 0,
                    },
                );
            }
            Rented::Unknown => {
                if let Some(r) = self.rents.get_mut(at) {
                    r.out = false;
                    r.after = now.plus(Micros::from_secs(2));
                }
            }
        }
    }

    fn refuse(&mut self, key: (String, String, bool), now: Micros) {
        let r = self.refusals.entry(key).or_insert(Refusal {
            until: now,
            times: 0,
        });
        // Others may give machines back at any time: not left alone for long.
        r.times = (r.times + 1).min(3);
        r.until = now.plus(Micros::from_secs(5 << r.times));
    }

    fn return_idle(&mut self, now: Micros) {
        let mut back = Vec::new();
        for m in self.machines.values() {
            if !m.holds.is_empty() || m.has_live_strays() {
                continue;
            }
            let idle = now.since(m.idle_since);
            let keep = m.keep;
            let stale = match m.phase {
                Phase::Up => m.condemned || idle > keep || now.since(m.wanted_at) > keep,
                // Some never come up.
                Phase::Unheard => {
                    now.since(m.born.max(self.took_office))
                        > m.kind.boot.times(4.0).plus(Micros::from_secs(30))
                }
                Phase::Returning(_) => false,
            };
            if stale {
                back.push(m.name.clone());
            }
        }
        for name in back {
            self.give_back(&name);
        }
    }
}
