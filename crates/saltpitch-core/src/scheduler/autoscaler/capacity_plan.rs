//! Machines against need: what to rent and what to return.

use std::sync::Arc;

use super::capacity_pools::{find, CapacityPool, ScaleOutTerms, ZoneSpread};
use crate::catalog::Resources;
use crate::gang::Gang;
use crate::job::{JobKind, JobNumber, Priority};
use crate::machine::{Machine, MachinePhase};
use crate::scheduler::Scheduler;
use crate::time::Micros;

/// The most tasks of one job that are planned for at a time, beyond one for each machine of the site: a
/// job of 100,000 tasks must not hold up everything else. So one job can make a site grow to any size, by
/// this much in each pass.
const RESERVED_BEYOND_MACHINES: u64 = 400;

/// Until the next pass has placed tasks on a machine that has come up.
const JUST_UP: Micros = Micros::from_secs(1);
/// Room kept warm, as a part of what is expected: arrivals come in clusters.
const WARM: f64 = 1.5;

impl Scheduler {
    /// Rents what the waiting tasks need beyond what is on its way; returns what stands idle.
    pub(in crate::scheduler) fn plan_capacity(&mut self, now: Micros) {
        // What was planned and not asked for yet is planned anew.
        self.autoscaler.requests.retain(|r| r.sent);
        if self.too_many_unreachable(now) {
            self.scale_in_idle(now);
            return self.send_scale_outs(now);
        }
        let mut pools = self.pools(now);
        let room: u64 = (self.inventory.groups().iter())
            .filter(|g| {
                !crate::placement::contested(&g.kind.size, &self.autoscaler.accelerator_demands)
            })
            .map(|g| g.batch_cpu())
            .sum();
        // What is running has half of its time left on average.
        let mut work = (self.autoscaler.batch_placed.max(0.0) / 2.0) as u64 * 1_000;
        let mut claimed: Vec<Resources> =
            (0..self.quota.len()).map(|t| self.quota.used(t)).collect();
        for (at, w) in self.queued_jobs(now).into_iter().enumerate() {
            let Some(job) = self.job_table.jobs.get(&w.number) else {
                continue;
            };
            if matches!(job.gang, Gang::Committing | Gang::Allowed) {
                continue;
            }
            if job.guest.as_ref().is_some_and(|guest| !guest.may_rent) {
                continue;
            }
            let spec = job.spec.clone();
            let job_team = job.team;
            let (Some(team), Some(used)) = (self.quota.team(job_team), claimed.get(job_team))
            else {
                continue;
            };
            let idle = job.idle_in_good_standing();
            if spec.kind == JobKind::Gang && idle < job.idle.len() as u64 {
                continue;
            }
            let mut want = team.more(used, &spec.need).min(idle);
            // A gang at the barrier found the team's limit free for all of it. What is served before it
            // and finds no machine must not keep the machines for its last tasks from being rented.
            let gangs_at_barrier = matches!(job.gang, Gang::Holding { .. }) && job.placed > 0;
            if gangs_at_barrier && self.quota.more(job_team, &spec.need) >= idle {
                want = idle;
            }
            if want == 0 || (spec.kind == JobKind::Gang && want < idle) {
                continue;
            }
            if spec.kind == JobKind::Array {
                // All that is left of it, though no more at a time than its team's limit allows.
                want = want.min(self.unserved(w.number, idle, w.slack, room, &mut work));
            }
            if want == 0 {
                continue;
            }
            // Only what is to run at a time counts against the team's limit.
            if let Some(claimed) = claimed.get_mut(job_team) {
                *claimed = claimed.plus(&spec.need.times(want));
            }
            let terms = ScaleOutTerms {
                spot: self.spot_wanted(&spec),
                dear: if spec.kind == JobKind::Array {
                    self.dear_ratio(&spec)
                } else {
                    f64::INFINITY
                },
                slack: w.slack,
                at,
            };
            let most = self.inventory.len() as u64 + RESERVED_BEYOND_MACHINES;
            self.reserve_capacity(w.number, &terms, want.min(most), &mut pools);
        }
        self.plan_scale_out(&pools, now);
        self.scale_in_idle(now);
        self.send_scale_outs(now);
    }

    /// Every type, zone and kind on offer, with the machines that are booting or being rented as
    /// empty room.
    fn pools(&mut self, now: Micros) -> Vec<CapacityPool> {
        let waiting = self
            .job_table
            .unplaced()
            .iter()
            .filter_map(|number| self.job_table.jobs.get(number));
        let smallest_need = waiting.map(|job| job.spec.need.cpu).min().unwrap_or(0);
        self.steps += self.job_table.unplaced().len() as u64;
        let mut pools = Vec::new();
        for t in &self.catalog.types {
            let kind = Arc::new(t.clone());
            for zone in &t.zones {
                for spot in [true, false] {
                    let key = (t.name.clone(), zone.clone(), spot);
                    pools.push(CapacityPool {
                        kind: kind.clone(),
                        zone: zone.as_str().into(),
                        spot,
                        bins: Vec::new(),
                        first: 0,
                        smallest_need,
                        new: 0,
                        wanted_by: usize::MAX,
                        production: false,
                        refused: self
                            .autoscaler
                            .refusals
                            .get(&key)
                            .is_some_and(|r| r.until > now),
                        stalled: false,
                        max_new: u32::MAX,
                    });
                }
            }
        }
        self.steps += (self.inventory.provisioning_count() + self.inventory.idle_count()) as u64;
        let coming = self.inventory.provisioning();
        let empty = self.inventory.idle();
        // Found by a test: what had just come up was neither on its way nor in use yet, and was ordered
        // once more.
        let fresh = empty.filter(|machine| {
            machine.takes_tasks() && now.since(machine.lifecycle.up_since()) < JUST_UP
        });
        for machine in coming.chain(fresh) {
            let boots = machine.lifecycle.is_unregistered() && !self.is_overdue(machine, now);
            if machine.allocations.is_empty() && (boots || machine.is_up()) {
                if let Some(p) = find(&mut pools, &machine.kind.name, &machine.zone, machine.spot) {
                    p.bins.push(machine.free());
                }
            }
        }
        for r in &self.autoscaler.requests {
            if let Some(p) = find(&mut pools, &r.type_name, &r.zone, r.spot) {
                let size = p.kind.size;
                p.bins.extend(std::iter::repeat_n(size, r.count as usize));
            }
        }
        let stalled = self.stalled_zones(now);
        for p in &mut pools {
            p.stalled = stalled.contains(&p.zone);
            p.max_new = Scheduler::order_limit(p.stalled, p.bins.len());
            if p.stalled {
                p.bins.clear();
            }
        }
        pools
    }

    /// How many of `want` tasks the machines already there won't get to in time, with `work` to be
    /// done before them on `room` processors.
    fn unserved(
        &self,
        number: JobNumber,
        want: u64,
        slack: Option<Micros>,
        room: u64,
        work: &mut u64,
    ) -> u64 {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return 0;
        };
        let drain = self.autoscaler.batch_completion_target;
        let time = slack.map_or(drain.times(3.0), |s| {
            s.max(drain.times(0.5)).min(drain.times(3.0))
        });
        let each = (job.spec.need.cpu * self.estimate(job).0 / 1_000_000).max(1);
        let can = (room * time.0 / 1_000_000).saturating_sub(*work);
        *work += want * each;
        let left = want - (can / each).min(want);
        // A machine that comes takes one task after the other until then.
        let boot = self.catalog.types.iter().map(|t| t.boot).min();
        let turns = time.since(boot.unwrap_or_default()).0 / self.estimate(job).times(1.2).0;
        left.div_ceil(turns.max(1))
    }

    /// Puts `want` tasks into the room to come, adding machines to rent where that is short.
    fn reserve_capacity(
        &self,
        number: JobNumber,
        terms: &ScaleOutTerms,
        want: u64,
        pools: &mut [CapacityPool],
    ) {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return;
        };
        let spec = &job.spec;
        let one = spec.one_zone;
        let mut zones = ZoneSpread {
            counts: (job.zones.iter())
                .map(|(z, n)| (z.clone(), u64::from(*n)))
                .collect(),
            fixed: job.zones.keys().next().filter(|_| one).cloned(),
            one,
            cap: u64::from(spec.per_zone()),
        };
        let mut left = want;
        let suits = |p: &CapacityPool| {
            spec.need.fits(&p.kind.size)
                && (terms.spot || !p.spot)
                && spec.allows(&p.kind.name, &p.zone, p.spot)
                && !self.contested_for(spec, &p.kind.size)
        };
        for p in pools.iter_mut().filter(|p| suits(p)) {
            let n = left.min(zones.room(&p.zone));
            if n > 0 {
                let taken = p.take(&spec.need, n);
                if taken > 0 {
                    zones.add(&p.zone, taken);
                    left -= taken;
                }
            }
        }
        let price = |p: &CapacityPool| {
            let per = spec.need.count_in(&p.kind.size).max(1);
            p.kind.price_of(p.spot) as f64 / per as f64
        };
        let cheapest = (pools.iter().filter(|p| suits(p)).map(price)).fold(f64::INFINITY, f64::min);
        // The machine that holds a task of this job for the least money, of those that the cloud has
        // not just refused; between equals, the zone with less of it.
        while left > 0 {
            let there =
                |p: &CapacityPool| self.inventory.machines_in_zone(&p.zone) + p.new as usize;
            let best = (pools.iter_mut())
                .filter(|p| suits(p) && !p.refused && p.new < p.max_new && zones.room(&p.zone) > 0)
                .filter(|p| price(p) <= cheapest * terms.dear || terms.pressing(p.kind.boot))
                .min_by_key(|p| {
                    let per = spec.need.count_in(&p.kind.size).min(left).max(1);
                    (p.kind.price_of(p.spot) * 1_000 / per, there(p))
                });
            let Some(p) = best else { return };
            p.wanted_by = p.wanted_by.min(terms.at);
            p.production |= spec.priority == Priority::Production;
            p.new += 1;
            if p.stalled {
                continue;
            }
            let n = spec
                .need
                .count_in(&p.kind.size)
                .min(left)
                .min(zones.room(&p.zone));
            p.bins.push(p.kind.size.minus(&spec.need.times(n)));
            zones.add(&p.zone, n);
            left -= n;
        }
    }

    /// Processors of ordinary machines beyond what production is expected to ask for before a
    /// machine could boot. Batch work there makes way for it.
    pub(in crate::scheduler) fn spare_above_warm_pool(&self, now: Micros) -> u64 {
        let boot = self.catalog.types.iter().map(|t| t.boot).max();
        let rate = self.faded_demand(now) / crate::scheduler::FADE.as_secs_f64();
        let keep = rate * boot.unwrap_or_default().as_secs_f64() * WARM;
        let there: u64 = (self.inventory.groups().iter())
            .filter(|g| {
                !g.spot
                    && !crate::placement::contested(
                        &g.kind.size,
                        &self.autoscaler.accelerator_demands,
                    )
            })
            .map(|g| g.batch_cpu())
            .sum();
        there.saturating_sub(keep as u64)
    }

    /// How long an empty machine is kept: what the policy says; and while work with accelerators
    /// keeps coming, a machine for it as long again as its images would take to have elsewhere.
    pub(in crate::scheduler) fn keep(&self, machine: &Machine, now: Micros) -> Micros {
        let keep = self.inventory.group_of(machine).idle_keep();
        let comes = machine.kind.size.gpu > 0
            && now.since(self.autoscaler.accelerators_requested_at) < keep;
        keep.plus(if comes {
            machine.image_worth()
        } else {
            Micros::ZERO
        })
    }

    fn scale_in_idle(&mut self, now: Micros) {
        let mut back = Vec::new();
        let mut spare = self.spare_above_warm_pool(now);
        self.steps += self.inventory.idle_count() as u64;
        for machine in self.inventory.idle() {
            if !machine.allocations.is_empty() || machine.allocations.has_running_unowned() {
                continue;
            }
            let idle = now.since(machine.allocations.idle_since());
            let keep = self.keep(machine, now);
            let stale = match machine.lifecycle.phase() {
                MachinePhase::Up => {
                    machine.cordon.is_active()
                        || idle > keep
                        || now.since(machine.allocations.wanted_at()) > keep
                }
                MachinePhase::Unregistered => self.is_given_up(machine, now),
                MachinePhase::ReturnRequested | MachinePhase::Returning => false,
            };
            let warm = machine.is_up()
                && !machine.cordon.is_active()
                && !machine.spot
                && !crate::placement::contested(
                    &machine.kind.size,
                    &self.autoscaler.accelerator_demands,
                );
            if stale && warm {
                if spare < machine.kind.size.cpu {
                    continue;
                }
                spare -= machine.kind.size.cpu;
            }
            if stale {
                back.push(machine.name.clone());
            }
        }
        for name in back {
            self.scale_in(&name, now);
        }
    }
}
