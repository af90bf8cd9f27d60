//! What holds some time after the last disruption.

use toucanchute_core::prepaid::TokenDemand;
use toucanchute_proto::BudgetId;

use super::{Conditions, Simulation, TICK};

/// Time for the answers to requests, in milliseconds.
const ANSWER_TIME: u64 = 1_000;

impl Simulation {
    /// Ends all disruptions, lets the routers recover under load for `recovery_time` milliseconds, and
    /// requests one token of each budget at each router. Returns an error if no router, or more than one, spends from a budget then.
    pub(crate) fn recover(&mut self, recovery_time: u64) -> Result<(), String> {
        self.end_disruptions();
        self.run(recovery_time / TICK)?;
        self.conditions.requests_per_second = 0.0;
        self.run(ANSWER_TIME / TICK)?;
        let before = self.counts.unavailable;
        self.request_everywhere();
        self.run(ANSWER_TIME / TICK)?;
        if self.counts.unavailable > before {
            let refused = self.counts.unavailable - before;
            return Err(format!("{refused} requests found no owner"));
        }
        let budgets: Vec<BudgetId> = self.limits.keys().copied().collect();
        for budget in budgets {
            let owners = self.owners(budget);
            if owners != 1 {
                return Err(format!("budget {budget} has {owners} owners"));
            }
        }
        Ok(())
    }

    fn end_disruptions(&mut self) {
        let now = self.now;
        self.conditions = Conditions {
            fault_chance: 0.0,
            message_loss: 0.0,
            restore_chance: 0.0,
            silent_end_chance: 0.0,
            lost_answers: false,
            ..self.conditions
        };
        for router in &mut self.routers {
            router.frozen_until = now;
            router.store_cut_until = now;
        }
        self.split.clear();
        for (_, until) in &mut self.hosts_down {
            *until = now;
        }
    }

    fn request_everywhere(&mut self) {
        let budgets: Vec<BudgetId> = self.limits.keys().copied().collect();
        let staying = (0..self.routers.len()).filter(|&i| !self.routers[i].draining);
        for i in staying.collect::<Vec<_>>() {
            for &budget in &budgets {
                self.send_demand(i, TokenDemand::whole(budget, 1));
            }
        }
    }

    /// Returns the number of routers that spend from a budget.
    fn owners(&self, budget: BudgetId) -> usize {
        let owns = self
            .routers
            .iter()
            .filter(|r| r.machine.account(budget).is_some());
        owns.count()
    }
}
