//! Requests to the cloud for machines: planned by turns, repeated until answered, refusals remembered.

use std::sync::Arc;

use super::capacity_pools::CapacityPool;
use crate::machine::Machine;
use crate::scheduler::{Effect, Scheduler};
use crate::time::Micros;

/// Rentals of one type, zone and kind that are asked for at a time.
const MAX_RENTS: u32 = 4;
/// A type, zone and kind that was asked for within this time waits for others' turns.
const RUSH: Micros = Micros::from_secs(10);
/// Calls that production's machines get in one turn, where others get one.
const PRODUCTION_CALLS: u32 = 3;
/// The most machines of one scale-out request.
const RENTAL: u32 = 50;

/// What the cloud refused, and until when not to ask again.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub until: Micros,
    pub times: u32,
}

/// A scale-out request under way.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ScaleOutRequest {
    pub request: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
    pub out: bool,
    /// The cloud may have had it: from then on it is repeated as it is until it is answered.
    pub sent: bool,
    pub after: Micros,
}

/// How a scale-out request request ended.
#[derive(Clone, Debug)]
pub enum ScaleOutOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Refused without effect for another reason: throttled, outage, not sent.
    Later,
    /// No answer: the same request is repeated, since it may have been carried out.
    Unknown,
}

impl Scheduler {
    /// Plans the requests for the pools' new machines, by turns: calls are scarce, and a rush that
    /// takes dozens of them for one type must not keep others waiting for theirs. Production gets
    /// more calls than others in a turn.
    pub(in crate::scheduler) fn plan_scale_out(&mut self, pools: &[CapacityPool], now: Micros) {
        let mut planned = Vec::new();
        for p in pools.iter().filter(|p| p.new > 0) {
            let key = (p.kind.name.clone(), p.zone.to_string(), p.spot);
            let recent = self
                .autoscaler
                .recent_scale_outs
                .get(&key)
                .filter(|a| now.since(a.1) < RUSH);
            let before = recent.map_or(0, |a| a.0);
            let weight = if p.production { PRODUCTION_CALLS } else { 1 };
            for call in 0..p.new.div_ceil(RENTAL).min(MAX_RENTS) {
                let count = (p.new - call * RENTAL).min(RENTAL);
                planned.push((((before + call) / weight, p.wanted_by), count, p));
            }
        }
        planned.sort_by_key(|x| x.0);
        for (_, count, p) in planned {
            // A request's name is never used again: the term is this leader's alone.
            let request = format!(
                "t{}-{}",
                self.leader_term.term, self.autoscaler.next_request
            );
            self.autoscaler.next_request += 1;
            self.autoscaler.requests.push(ScaleOutRequest {
                request,
                type_name: p.kind.name.clone(),
                zone: p.zone.to_string(),
                spot: p.spot,
                count,
                out: false,
                sent: false,
                after: now,
            });
        }
    }

    /// Asks for what was planned, as far as the cloud's rate goes.
    pub(in crate::scheduler) fn send_scale_outs(&mut self, now: Micros) {
        let mut calls = self
            .autoscaler
            .budget
            .level(self.config.scale_out_rate * 2.0, now);
        for r in &mut self.autoscaler.requests {
            if r.out || now < r.after {
                continue;
            }
            if calls < 1.0 {
                return;
            }
            calls -= 1.0;
            self.autoscaler.budget.spend(1.0);
            r.out = true;
            r.sent = true;
            let key = (r.type_name.clone(), r.zone.clone(), r.spot);
            let asked = self.autoscaler.recent_scale_outs.entry(key).or_default();
            let before = if now.since(asked.1) < RUSH {
                asked.0
            } else {
                0
            };
            *asked = (before + 1, now);
            self.effects.push(Effect::ScaleOut {
                request: r.request.clone(),
                type_name: r.type_name.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
                count: r.count,
            });
        }
    }

    /// The answer to [`Effect::ScaleOut`].
    pub fn rented(&mut self, request: &str, end: ScaleOutOutcome, now: Micros) {
        let Some(at) = self
            .autoscaler
            .requests
            .iter()
            .position(|r| r.request == request)
        else {
            return;
        };
        let r = self.autoscaler.requests[at].clone();
        let key = (r.type_name.clone(), r.zone.clone(), r.spot);
        match end {
            ScaleOutOutcome::Machines(names) => {
                self.autoscaler.requests.remove(at);
                if (names.len() as u32) < r.count {
                    self.refuse(key, now);
                } else {
                    self.autoscaler.refusals.remove(&key);
                }
                let Some(kind) = self.catalog.get(&r.type_name).cloned() else {
                    return;
                };
                let kind = Arc::new(kind);
                let zone: Arc<str> = r.zone.as_str().into();
                for n in names {
                    if self.inventory.contains(n.as_str()) {
                        continue;
                    }
                    let mut machine = Machine::new(&n, kind.clone(), zone.clone(), r.spot, "", now);
                    self.persistence
                        .machine_changed(&mut machine, now.plus(Micros::from_millis(300)));
                    self.inventory.add(machine);
                }
            }
            ScaleOutOutcome::NoCapacity => {
                self.autoscaler.requests.remove(at);
                self.refuse(key, now);
            }
            ScaleOutOutcome::Later => {
                self.autoscaler.requests.remove(at);
                self.autoscaler.refusals.insert(
                    key,
                    Refusal {
                        until: now.plus(Micros::from_secs(2)),
                        times: 0,
                    },
                );
            }
            ScaleOutOutcome::Unknown => {
                if let Some(r) = self.autoscaler.requests.get_mut(at) {
                    r.out = false;
                    r.after = now.plus(Micros::from_secs(2));
                }
            }
        }
    }

    /// The cloud has no such machines now.
    fn refuse(&mut self, key: (String, String, bool), now: Micros) {
        let r = self.autoscaler.refusals.entry(key).or_insert(Refusal {
            until: now,
            times: 0,
        });
        // Others may give machines back at any time: not left alone for long.
        r.times = (r.times + 1).min(3);
        r.until = now.plus(Micros::from_secs(5 << r.times));
    }
}
