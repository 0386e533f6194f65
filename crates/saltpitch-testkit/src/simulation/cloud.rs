//! The cloud: scale-out requests and its list of machines.

use super::*;

impl Simulation {
    pub(super) fn rent(
        &mut self,
        request: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        n: u32,
    ) -> ScaleOutOutcome {
        if let Some(names) = self.requests.get(request) {
            return ScaleOutOutcome::Machines(names.clone());
        }
        let there = self
            .agents
            .values()
            .filter(|m| !m.gone && m.type_name == type_name && m.zone == zone && m.spot == spot)
            .count() as u32;
        let n = n.min(self.machine_limit.saturating_sub(there));
        if n == 0 {
            return ScaleOutOutcome::NoCapacity;
        }
        let size = self
            .catalog
            .get(type_name)
            .map(|t| t.size)
            .unwrap_or_default();
        let mut names = Vec::new();
        for _ in 0..n {
            self.next_machine += 1;
            let name = format!("vm-{:06}", self.next_machine);
            // Some take long, a few never come up, and some are slow once they are.
            let odd = self.faults.machines && self.now < self.quiet_from;
            let boot = match self.random_below(12) {
                0 if odd => Micros::from_secs(1_000_000),
                1 if odd => Micros::from_secs(45),
                _ => Micros::from_secs(1 + self.random_below(14)),
            };
            let slow = odd && self.random_below(6) == 0;
            let target = self.random_below(3) as usize;
            self.agents.insert(
                name.clone(),
                Agent {
                    name: name.clone(),
                    type_name: type_name.to_owned(),
                    zone: zone.to_owned(),
                    spot,
                    size,
                    slow,
                    boots_at: self.now.plus(boot),
                    gone: false,
                    hung_until: Micros::ZERO,
                    inbound_cut_until: Micros::ZERO,
                    outbound_cut_until: Micros::ZERO,
                    agent_epoch: 1,
                    sequence: 0,
                    fencing_token: 0,
                    lease_from: self.now.plus(boot),
                    notice: None,
                    tasks: BTreeMap::new(),
                    target,
                    next_report: Micros::ZERO,
                    waiting: None,
                    changed: false,
                },
            );
            names.push(name);
        }
        self.requests.insert(request.to_owned(), names.clone());
        ScaleOutOutcome::Machines(names)
    }

    pub(super) fn list(&mut self, n: usize) {
        let list: Vec<ListedMachine> = self
            .agents
            .values()
            .filter(|m| !m.gone)
            .map(|m| ListedMachine {
                name: m.name.clone(),
                addr: m.name.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                failed: false,
                age: Micros::from_secs(10),
            })
            .collect();
        let epoch = self.nodes[n].epoch();
        // The list lags.
        let lag = Micros::from_secs(self.random_below(12));
        self.after(lag, move |w| {
            let gone = w.nodes[n].records().returned_machines.clone();
            w.tell(n, epoch, move |scheduler, now| {
                scheduler.listed(&list, &|x| gone.contains(x), now)
            });
        });
    }
}
