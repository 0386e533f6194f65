//! Troubles drawn from the seed.

use super::*;

impl Simulation {
    pub(super) fn chance(&mut self, on: bool, per_s: f64) -> bool {
        on && self.now < self.quiet_from && self.rng.random_bool(per_s * 0.1)
    }

    pub(super) fn inject_faults(&mut self) {
        let f = self.faults;
        if self.chance(f.crashes, 0.02) {
            let n = self.random_below(3) as usize;
            self.crash(n);
        }
        if self.chance(f.crashes, 0.004) {
            for n in 0..3 {
                self.crash(n);
            }
        }
        if self.chance(f.cuts, 0.02) {
            let n = self.random_below(3) as usize;
            let until = self.now.plus(Micros::from_secs(3 + self.random_below(40)));
            match self.random_below(3) {
                0 => self.nodes[n].no_store_until = until,
                1 => self.nodes[n].no_workers_until = until,
                _ => {
                    self.nodes[n].no_store_until = until;
                    self.nodes[n].no_workers_until = until;
                }
            }
        }
        if self.chance(f.zone_cuts, 0.02) && self.now >= self.apart_until {
            let wait = Micros::from_secs(3 + self.random_below(30));
            self.apart_until = self.now.plus(wait);
        }
        if self.chance(f.freezes, 0.02) {
            let n = self.random_below(3) as usize;
            self.nodes[n].frozen_until =
                self.now.plus(Micros::from_secs(1 + self.random_below(45)));
        }
        if self.chance(f.outages, 0.01) {
            self.store.down = true;
            let wait = Micros::from_secs(2 + self.random_below(25));
            self.after(wait, |w| w.store.down = false);
        }
        if self.chance(f.inbound_partition, 0.03) && !self.agents.is_empty() {
            let until = self.now.plus(Micros::from_secs(3 + self.random_below(60)));
            // One, or a group of them.
            for _ in 0..1 + self.random_below(3) {
                let at = self.random_below(self.agents.len() as u64) as usize;
                if let Some(m) = self.agents.values_mut().nth(at) {
                    m.inbound_cut_until = until;
                }
            }
        }
        if self.chance(f.outbound_partition, 0.03) && !self.agents.is_empty() {
            let until = self.now.plus(Micros::from_secs(3 + self.random_below(60)));
            for _ in 0..1 + self.random_below(3) {
                let at = self.random_below(self.agents.len() as u64) as usize;
                if let Some(m) = self.agents.values_mut().nth(at) {
                    m.outbound_cut_until = until;
                }
            }
        }
        if self.chance(f.machines, 0.05) && !self.agents.is_empty() {
            let at = self.random_below(self.agents.len() as u64) as usize;
            let (kind, wait) = (self.random_below(3), self.random_below(25));
            let now = self.now;
            if let Some(m) = self.agents.values_mut().nth(at) {
                match kind {
                    0 => m.gone = true,
                    1 => m.hung_until = now.plus(Micros::from_secs(1 + wait)),
                    _ if m.spot => {
                        m.notice = Some(Micros::from_secs(8));
                        m.changed = true;
                        let name = m.name.clone();
                        self.after(Micros::from_secs(8), move |w| {
                            if let Some(m) = w.agents.get_mut(&name) {
                                m.gone = true;
                            }
                        });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Ends a node's process; it is back after a while, now and then at once.
    pub fn crash(&mut self, n: usize) {
        let wait = if self.random_below(3) == 0 {
            Micros::from_millis(200)
        } else {
            Micros::from_secs(5)
        };
        self.crash_for(n, wait);
    }

    /// Ends a node's process, which is back after this time.
    pub fn crash_for(&mut self, n: usize, wait: Micros) {
        let up_at = self.now.plus(wait);
        self.nodes[n].crash(up_at);
    }
}
