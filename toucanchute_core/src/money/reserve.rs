use toucanchute_proto::{
    BudgetId, GrantId, Millis,
    ledger::{EntryBody, GrantRequest, GrantReturn},
};

use super::{
    Action, CallId, Event, Money, RefusalReason,
    holding::{Holding, Reservation, Waiting, WaitingKind},
    outbox::Purpose,
};

/// Longest time that a call waits for tokens, in milliseconds.
pub(super) const TOKEN_WAIT_MS: u64 = 1_500;

/// How long a refusal of a grant answers later calls as well, in milliseconds.
const REFUSAL_HOLDS_MS: u64 = 200;

/// A reservation may be cut to this part of what was asked for.
const CUT_DIVISOR: u64 = 4;

/// Time without a draw after which tokens are given back, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// A grant is at least the free balance divided by this and by the number of routers, so that a
/// budget that was drawn on little so far outlasts an outage as well.
const FLOOR_SHARES: u64 = 8;

/// Pause that a refused caller is told, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Reserving tokens.
impl Money {
    pub(super) fn ask_tokens(&mut self, event: Event, out: &mut Vec<Action>) {
        let Some((budget, waiting)) = self.read_request(event) else {
            return;
        };
        if self.draining {
            return self.refuse(waiting.call, RefusalReason::Draining, None, out);
        }
        if waiting.expires <= self.now {
            return self.refuse(waiting.call, RefusalReason::KeyExpired, None, out);
        }
        if waiting.kind == WaitingKind::Intend && waiting.tokens == 0 {
            return self.start_intent(budget, GrantId::default(), &waiting, out);
        }
        let now = self.now;
        let holding = self.holdings.entry(budget).or_default();
        holding.draw(now, waiting.tokens);
        holding.waiting.push_back(waiting);
        self.serve(budget, out);
        self.refill(budget, out);
    }

    fn read_request(&self, event: Event) -> Option<(BudgetId, Waiting)> {
        let until = self.now + Millis(TOKEN_WAIT_MS);
        let (kind, event) = match event {
            Event::Reserve { .. } => (WaitingKind::Reserve, event),
            _ => (WaitingKind::Intend, event),
        };
        match event {
            Event::Reserve {
                call,
                budget,
                key,
                digest,
                tokens,
                expires,
                deadline,
            }
            | Event::CommitIntent {
                call,
                budget,
                key,
                digest,
                tokens,
                expires,
                deadline,
            } => {
                let least = u64::from(kind == WaitingKind::Reserve);
                let waiting = Waiting {
                    call,
                    kind,
                    key,
                    digest,
                    tokens: tokens.max(least),
                    expires,
                    deadline,
                    until: until.min(deadline),
                };
                Some((budget, waiting))
            }
            _ => None,
        }
    }

    /// Serves waiting calls in order out of the grants held.
    pub(super) fn serve(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while let Some(tokens) = self
            .holdings
            .get(&budget)
            .map(Holding::need)
            .filter(|n| *n > 0)
        {
            let Some(grant) = self.find_grant(budget, tokens) else {
                return;
            };
            let holding = self.holdings.get_mut(&budget);
            let Some(waiting) = holding.and_then(|h| h.waiting.pop_front()) else {
                return;
            };
            self.take(budget, grant, &waiting, out);
        }
    }

    /// Returns the grant with the least tokens that has `tokens` available.
    fn find_grant(&self, budget: BudgetId, tokens: u64) -> Option<GrantId> {
        let fitting = self.grants.iter().filter(|(_, g)| g.budget == budget);
        let fitting = fitting.filter(|(_, g)| g.available() >= tokens);
        fitting
            .min_by_key(|(_, g)| g.available())
            .map(|(&id, _)| id)
    }

    fn take(&mut self, budget: BudgetId, id: GrantId, waiting: &Waiting, out: &mut Vec<Action>) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        grant.reserved += waiting.tokens;
        if waiting.kind == WaitingKind::Intend {
            return self.start_intent(budget, id, waiting, out);
        }
        let (call, tokens) = (waiting.call, waiting.tokens);
        let reservation = Reservation {
            budget,
            grant: id,
            key: waiting.key,
            digest: waiting.digest,
            tokens,
            expires: waiting.expires,
        };
        self.reservations.insert(call, reservation);
        out.push(Action::Reserved { call, tokens });
    }

    /// Gives back tokens reserved in a grant.
    pub(super) fn unreserve(&mut self, id: GrantId, tokens: u64) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.reserved = grant.reserved.saturating_sub(tokens);
        }
    }

    /// Notes that tokens reserved in a grant were taken out of it.
    pub(super) fn deduct(&mut self, id: GrantId, tokens: u64) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.reserved = grant.reserved.saturating_sub(tokens);
            grant.remainder = grant.remainder.saturating_sub(tokens);
            if grant.remainder == 0 {
                self.grants.remove(&id);
            }
        }
    }

    pub(super) fn release(&mut self, call: CallId, out: &mut Vec<Action>) {
        if let Some(reservation) = self.reservations.remove(&call) {
            self.unreserve(reservation.grant, reservation.tokens);
            self.serve(reservation.budget, out);
        }
    }
}

/// Getting and returning grants.
impl Money {
    pub(super) fn available(&self, budget: BudgetId) -> u64 {
        let own = self.grants.values().filter(|g| g.budget == budget);
        own.map(super::holding::HeldGrant::available).sum()
    }

    /// Asks for a grant if calls wait, or if tokens will soon run out.
    pub(super) fn refill(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, horizon, available) = (self.now, self.horizon(), self.available(budget));
        let Some(holding) = self.holdings.get_mut(&budget) else {
            return;
        };
        holding.decay(now);
        let need = holding.need();
        let target = holding.expected_draw(horizon);
        let ahead = available < target / 2 && now >= holding.next_advance;
        if self.draining || holding.request.is_some() || (need == 0 && !ahead) {
            return;
        }
        let refused = holding.refused.filter(|(at, _)| refusal_holds(now, *at));
        if refused.is_some_and(|(_, min)| need == 0 || need >= min) {
            return self.ask_peers(budget, out);
        }
        let waiting: u64 = holding.waiting.iter().map(|w| w.tokens).sum();
        self.return_fragments(budget, need);
        self.request_grant(budget, waiting.max(target), need.max(1));
    }

    fn request_grant(&mut self, budget: BudgetId, want: u64, min: u64) {
        let divisor = self.alive_peers().len() as u64 + 1;
        let body = GrantRequest {
            grant: self.new_grant_id(),
            want,
            min,
            least: least_cut(min),
            divisor: divisor + 1,
            floor_divisor: divisor * FLOOR_SHARES,
            backing: self.choose_backing(),
        };
        let entry = self.new_entry(budget, EntryBody::Grant(body));
        if let Some(holding) = self.holdings.get_mut(&budget) {
            holding.request = Some((entry.id, self.now));
        }
        self.propose(entry, Purpose::Grant, None);
    }

    /// Returns grants that are too small for the next call.
    fn return_fragments(&mut self, budget: BudgetId, need: u64) {
        let small = |g: &super::holding::HeldGrant| g.budget == budget && g.available() < need;
        let ids: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, g)| small(g))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.return_available(id);
        }
    }

    /// Returns what is available of a grant to the free balance.
    pub(super) fn return_available(&mut self, id: GrantId) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let tokens = grant.available();
        if tokens == 0 || grant.returning {
            return;
        }
        grant.reserved += tokens;
        grant.returning = true;
        let (budget, sequence) = (grant.budget, grant.returns);
        let after = grant.origin.as_ref().map(|o| o.id);
        let body = GrantReturn {
            grant: id,
            sequence,
            tokens,
        };
        let entry = self.new_entry(budget, EntryBody::Return(body));
        self.propose(entry, Purpose::Return { grant: id, tokens }, after);
    }

    /// Returns tokens of budgets that nobody draws on.
    pub(super) fn tick_idle(&mut self) {
        for id in self.grants.keys().copied().collect::<Vec<_>>() {
            let budget = self.grants[&id].budget;
            let last = self
                .holdings
                .get(&budget)
                .map(|h| h.last_draw)
                .unwrap_or_default();
            if self.draining || self.now.since(last) > Millis(IDLE_MS) {
                self.return_available(id);
            }
        }
    }
}

/// Refusing.
impl Money {
    /// Refuses calls that waited too long, and asks peers where the ledger does not answer.
    pub(super) fn tick_waiting(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let budgets = self.holdings.iter().filter(|(_, h)| !h.waiting.is_empty());
        let budgets: Vec<_> = budgets.map(|(&id, _)| id).collect();
        for budget in budgets {
            let slow = |h: &Holding| {
                h.request
                    .is_some_and(|(_, at)| now.since(at) >= self.outage_after())
            };
            if self.holdings.get(&budget).is_some_and(slow) {
                self.ask_peers(budget, out);
            }
            self.refuse_overdue(budget, out);
            self.refill(budget, out);
        }
    }

    fn refuse_overdue(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while let Some(holding) = self.holdings.get_mut(&budget)
            && holding.waiting.front().is_some_and(|w| w.until <= self.now)
        {
            self.refuse_first(budget, out);
        }
    }

    /// Refuses the first waiting call, or serves it with fewer tokens.
    pub(super) fn refuse_first(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let holding = self.holdings.get_mut(&budget);
        let Some(mut waiting) = holding.and_then(|h| h.waiting.pop_front()) else {
            return;
        };
        let least = least_cut(waiting.tokens);
        let largest = self.grants.iter().filter(|(_, g)| g.budget == budget);
        let largest = largest
            .max_by_key(|(_, g)| g.available())
            .map(|(&id, g)| (id, g.available()));
        if let Some((id, available)) = largest
            && waiting.kind == WaitingKind::Reserve
            && available >= least
        {
            waiting.tokens = available.min(waiting.tokens);
            return self.take(budget, id, &waiting, out);
        }
        let refusal = self.token_refusal(budget, waiting.call);
        out.push(refusal);
    }

    fn token_refusal(&self, budget: BudgetId, call: CallId) -> Action {
        let holding = self.holdings.get(&budget);
        let fresh = |at: Millis| refusal_holds(self.now, at);
        let refused = holding
            .and_then(|h| h.refused)
            .is_some_and(|(at, _)| fresh(at));
        let elsewhere = holding.and_then(|h| h.best_peer).map(|(_, id)| id);
        let all_reached = self.peers.keys().all(|&id| self.is_alive(id));
        if refused && elsewhere.is_none() && all_reached {
            return Action::Refused {
                call,
                reason: RefusalReason::BudgetExhausted,
                retry_after: None,
                elsewhere: None,
            };
        }
        Action::Refused {
            call,
            reason: RefusalReason::GrantUnavailable,
            retry_after: Some(Millis(RETRY_AFTER_MS)),
            elsewhere,
        }
    }

    /// Refuses all calls that wait for a budget that has nothing left.
    pub(super) fn refuse_all(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while self
            .holdings
            .get(&budget)
            .is_some_and(|h| !h.waiting.is_empty())
        {
            self.serve(budget, out);
            self.refuse_first(budget, out);
        }
    }
}

/// Returns the fewest tokens to which a reservation of `tokens` may be cut.
fn least_cut(tokens: u64) -> u64 {
    tokens.div_ceil(CUT_DIVISOR).max(1)
}

pub(super) fn refusal_holds(now: Millis, at: Millis) -> bool {
    now.since(at) < Millis(REFUSAL_HOLDS_MS)
}
