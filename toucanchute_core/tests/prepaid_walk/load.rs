//! Requests for tokens, and what they use.

use rand::{Rng, seq::IteratorRandom};
use toucanchute_core::prepaid::{CallId, Event, TokenDemand};
use toucanchute_proto::{BudgetId, Incarnation, Millis};

use super::{CONFIG_TIME, Delivery, Simulation};

impl Simulation {
    pub(super) fn request(&mut self, i: usize) {
        let Some((&budget, _)) = self.limits.iter().choose(&mut self.rng) else {
            return;
        };
        let most = self.rng.random_range(1..400);
        let demand = self.part_of(budget, most, None);
        self.counts.requested += 1;
        self.send_demand(i, demand);
    }

    /// Returns the demand for a part of the `most` tokens that a request may still use.
    fn part_of(&mut self, budget: BudgetId, most: u64, extends: Option<CallId>) -> TokenDemand {
        let chance = self.conditions.part_chance;
        let tokens = match chance > 0.0 && self.rng.random_bool(chance) {
            true => self.rng.random_range(1..=most),
            false => most,
        };
        TokenDemand {
            budget,
            tokens,
            rest: most - tokens,
            extends,
        }
    }

    pub(super) fn send_demand(&mut self, i: usize, demand: TokenDemand) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.routers[i].calls.insert(call, demand);
        let deadline = self.clock(i) + Millis(2_000);
        let event = Event::Reserve {
            call,
            demand,
            deadline,
        };
        self.feed(i, event);
    }

    pub(super) fn reserved(&mut self, i: usize, call: CallId) {
        let router = &mut self.routers[i];
        let demand = router.calls[&call];
        let TokenDemand {
            budget,
            tokens,
            rest,
            extends,
        } = demand;
        let at = router.id;
        if let Some(extended) = extends {
            self.rests.remove(&extended);
        }
        *self.used.entry(budget).or_default() += tokens;
        self.counts.reserved += 1;
        if rest > 0 {
            self.rests.insert(call, (budget, rest));
            let demand = self.part_of(budget, rest, Some(call));
            self.schedule(50, 2_000, Delivery::Extend { at, demand });
        }
        let used = self.rng.random_range(0..=tokens);
        self.schedule(100, 3_000, Delivery::Settle { at, call, used });
    }

    pub(super) fn refused(&mut self, i: usize, call: CallId) {
        let demand = self.routers[i].calls.remove(&call);
        let new = demand.filter(|d| d.extends.is_none());
        if let Some(TokenDemand {
            budget,
            tokens,
            rest,
            ..
        }) = new
        {
            let used = self.used.get(&budget).copied().unwrap_or(0) + self.rest_of(budget);
            let limits = match self.now < self.raised_at + CONFIG_TIME {
                true => &self.limits_before,
                false => &self.limits,
            };
            let covered = used + tokens + rest <= limits[&budget] * 97 / 100;
            self.counts.wrongly_refused += u64::from(covered);
        }
    }

    /// Returns the tokens that requests in progress may still ask for.
    fn rest_of(&self, budget: BudgetId) -> u64 {
        let of_budget = self.rests.values().filter(|(b, _)| *b == budget);
        of_budget.map(|(_, rest)| rest).sum()
    }

    pub(super) fn extend(&mut self, at: Incarnation, demand: TokenDemand) {
        let Some(i) = self.index(at) else {
            return;
        };
        if self.routers[i].frozen_until > self.now {
            return self.schedule(1_000, 1_000, Delivery::Extend { at, demand });
        }
        self.send_demand(i, demand);
    }

    pub(super) fn settle(&mut self, at: Incarnation, call: CallId, used: u64) {
        let Some(i) = self.index(at) else {
            return;
        };
        if self.routers[i].frozen_until > self.now {
            return self.schedule(1_000, 1_000, Delivery::Settle { at, call, used });
        }
        let Some(TokenDemand { budget, tokens, .. }) = self.routers[i].calls.remove(&call) else {
            return;
        };
        self.rests.remove(&call);
        *self.used.entry(budget).or_default() -= tokens - used;
        self.feed(i, Event::Settle { call, used });
    }
}
