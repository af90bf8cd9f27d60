use toucanchute_proto::{
    BudgetId, GrantId, Millis,
    ledger::{EntryBody, GrantRequest, GrantReturn},
};

use super::{
    Action, CallId, Event, Money, RefusalReason,
    budget_state::{BudgetState, CallKind, Reservation, WaitingCall},
    outbox::EntryPurpose,
};

/// Time after which a call that waits for tokens is refused, in milliseconds.
pub(super) const TOKEN_TIMEOUT_MS: u64 = 1_500;

/// Time for which a refusal of a grant or a transfer also applies to later calls, in milliseconds.
const REFUSAL_VALID_MS: u64 = 200;

/// A reservation may be cut, but not below the requested tokens divided by this.
const MIN_CUT_DIVISOR: u64 = 4;

/// Time without a request for tokens after which a budget's grants are returned, in milliseconds.
const IDLE_RETURN_MS: u64 = 60_000;

/// A grant is at least the free balance divided by this and by the number of routers. This lets a
/// budget with little traffic so far last through an outage as well.
const GRANT_FLOOR_DIVISOR: u64 = 8;

/// Time to wait before a retry that is sent to a refused caller, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Reservations of tokens.
impl Money {
    pub(super) fn request_tokens(&mut self, event: Event, out: &mut Vec<Action>) {
        let Some((budget, waiting)) = self.waiting_call(event) else {
            return;
        };
        if self.draining {
            return self.refuse(waiting.call, RefusalReason::Draining, None, out);
        }
        if waiting.expires <= self.now {
            return self.refuse(waiting.call, RefusalReason::KeyExpired, None, out);
        }
        if waiting.kind == CallKind::Intent && waiting.tokens == 0 {
            return self.propose_intent(budget, GrantId::default(), &waiting, out);
        }
        let now = self.now;
        let state = self.budget_states.entry(budget).or_default();
        state.record_draw(now, waiting.tokens);
        state.waiting.push_back(waiting);
        self.serve_waiting(budget, out);
        self.refill(budget, out);
    }

    fn waiting_call(&self, event: Event) -> Option<(BudgetId, WaitingCall)> {
        let latest = self.now + Millis(TOKEN_TIMEOUT_MS);
        let (kind, event) = match event {
            Event::Reserve { .. } => (CallKind::Reserve, event),
            _ => (CallKind::Intent, event),
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
                let least = u64::from(kind == CallKind::Reserve);
                let waiting = WaitingCall {
                    call,
                    kind,
                    key,
                    digest,
                    tokens: tokens.max(least),
                    expires,
                    deadline,
                    refuse_at: latest.min(deadline),
                };
                Some((budget, waiting))
            }
            _ => None,
        }
    }

    /// Serves waiting calls from the grants held, oldest first.
    pub(super) fn serve_waiting(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while let Some(tokens) = self
            .budget_states
            .get(&budget)
            .map(BudgetState::tokens_needed)
            .filter(|n| *n > 0)
        {
            let Some(grant) = self.find_grant(budget, tokens) else {
                return;
            };
            let state = self.budget_states.get_mut(&budget);
            let Some(waiting) = state.and_then(|s| s.waiting.pop_front()) else {
                return;
            };
            self.reserve_from(budget, grant, &waiting, out);
        }
    }

    /// Returns the smallest grant that has `tokens` available.
    fn find_grant(&self, budget: BudgetId, tokens: u64) -> Option<GrantId> {
        let fitting = self.grants.iter().filter(|(_, g)| g.budget == budget);
        let fitting = fitting.filter(|(_, g)| g.available() >= tokens);
        fitting
            .min_by_key(|(_, g)| g.available())
            .map(|(&id, _)| id)
    }

    fn reserve_from(
        &mut self,
        budget: BudgetId,
        id: GrantId,
        waiting: &WaitingCall,
        out: &mut Vec<Action>,
    ) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        grant.reserved += waiting.tokens;
        if waiting.kind == CallKind::Intent {
            return self.propose_intent(budget, id, waiting, out);
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

    /// Makes tokens reserved in a grant available again.
    pub(super) fn unreserve(&mut self, id: GrantId, tokens: u64) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.reserved = grant.reserved.saturating_sub(tokens);
        }
    }

    /// Removes reserved tokens from a grant, and the grant itself if nothing remains.
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
            self.serve_waiting(reservation.budget, out);
        }
    }
}

/// Requests and returns of grants.
impl Money {
    pub(super) fn available_tokens(&self, budget: BudgetId) -> u64 {
        let own = self.grants.values().filter(|g| g.budget == budget);
        own.map(super::budget_state::HeldGrant::available).sum()
    }

    /// Requests a grant if calls wait, or if the available tokens will soon run out. After a recent
    /// refusal, requests transfers from peers instead.
    pub(super) fn refill(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, horizon, available) = (self.now, self.horizon(), self.available_tokens(budget));
        let Some(state) = self.budget_states.get_mut(&budget) else {
            return;
        };
        state.decay_rate(now);
        let need = state.tokens_needed();
        let target = state.expected_draw(horizon);
        let prefetch = available < target / 2 && now >= state.next_prefetch_at;
        if self.draining || state.grant_request.is_some() || (need == 0 && !prefetch) {
            return;
        }
        let refused = state
            .last_refusal
            .filter(|(at, _)| is_recent_refusal(now, *at));
        if refused.is_some_and(|(_, min)| need == 0 || need >= min) {
            return self.start_transfer_round(budget, out);
        }
        let waiting_tokens: u64 = state.waiting.iter().map(|w| w.tokens).sum();
        self.return_fragments(budget, need);
        self.request_grant(budget, waiting_tokens.max(target), need.max(1));
    }

    fn request_grant(&mut self, budget: BudgetId, want: u64, min: u64) {
        let routers = self.alive_peers().len() as u64 + 1;
        let body = GrantRequest {
            grant: self.new_grant_id(),
            want,
            min,
            least: min_cut_tokens(min),
            divisor: routers + 1,
            floor_divisor: routers * GRANT_FLOOR_DIVISOR,
            backing: self.choose_backing(),
        };
        let entry = self.new_entry(budget, EntryBody::Grant(body));
        if let Some(state) = self.budget_states.get_mut(&budget) {
            state.grant_request = Some((entry.id, self.now));
        }
        self.propose(entry, EntryPurpose::Grant, None);
    }

    /// Returns grants that are too small for the oldest waiting call.
    fn return_fragments(&mut self, budget: BudgetId, need: u64) {
        let small = |g: &super::budget_state::HeldGrant| g.budget == budget && g.available() < need;
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

    /// Returns the available tokens of a grant to the budget's free balance.
    pub(super) fn return_available(&mut self, id: GrantId) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let tokens = grant.available();
        if tokens == 0 || grant.return_in_flight {
            return;
        }
        grant.reserved += tokens;
        grant.return_in_flight = true;
        let (budget, sequence) = (grant.budget, grant.committed_returns);
        let after = grant.uncommitted_origin.as_ref().map(|o| o.id);
        let body = GrantReturn {
            grant: id,
            sequence,
            tokens,
        };
        let entry = self.new_entry(budget, EntryBody::Return(body));
        self.propose(entry, EntryPurpose::Return { grant: id, tokens }, after);
    }

    /// Returns the tokens of idle budgets; when draining, those of all budgets.
    pub(super) fn tick_idle(&mut self) {
        for id in self.grants.keys().copied().collect::<Vec<_>>() {
            let budget = self.grants[&id].budget;
            let last = self
                .budget_states
                .get(&budget)
                .map(|s| s.last_draw)
                .unwrap_or_default();
            if self.draining || self.now.since(last) > Millis(IDLE_RETURN_MS) {
                self.return_available(id);
            }
        }
    }
}

/// Refusals of waiting calls.
impl Money {
    /// Refuses calls that waited too long, and requests transfers from peers if a grant request
    /// takes longer than the outage bound.
    pub(super) fn tick_waiting(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let budgets = self
            .budget_states
            .iter()
            .filter(|(_, s)| !s.waiting.is_empty());
        let budgets: Vec<_> = budgets.map(|(&id, _)| id).collect();
        for budget in budgets {
            let slow = |s: &BudgetState| {
                s.grant_request
                    .is_some_and(|(_, at)| now.since(at) >= self.outage_after())
            };
            if self.budget_states.get(&budget).is_some_and(slow) {
                self.start_transfer_round(budget, out);
            }
            self.refuse_overdue(budget, out);
            self.refill(budget, out);
        }
    }

    fn refuse_overdue(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while let Some(state) = self.budget_states.get_mut(&budget)
            && state
                .waiting
                .front()
                .is_some_and(|w| w.refuse_at <= self.now)
        {
            self.cut_or_refuse_first(budget, out);
        }
    }

    /// Serves the oldest waiting call with fewer tokens, or refuses it if too few are available.
    pub(super) fn cut_or_refuse_first(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let state = self.budget_states.get_mut(&budget);
        let Some(mut waiting) = state.and_then(|s| s.waiting.pop_front()) else {
            return;
        };
        let least = min_cut_tokens(waiting.tokens);
        let largest = self.grants.iter().filter(|(_, g)| g.budget == budget);
        let largest = largest
            .max_by_key(|(_, g)| g.available())
            .map(|(&id, g)| (id, g.available()));
        if let Some((id, available)) = largest
            && waiting.kind == CallKind::Reserve
            && available >= least
        {
            waiting.tokens = available.min(waiting.tokens);
            return self.reserve_from(budget, id, &waiting, out);
        }
        let refusal = self.token_refusal(budget, waiting.call);
        out.push(refusal);
    }

    fn token_refusal(&self, budget: BudgetId, call: CallId) -> Action {
        let state = self.budget_states.get(&budget);
        let recent = |at: Millis| is_recent_refusal(self.now, at);
        let refused = state
            .and_then(|s| s.last_refusal)
            .is_some_and(|(at, _)| recent(at));
        let elsewhere = state.and_then(|s| s.best_peer).map(|(_, id)| id);
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

    /// Empties a budget's queue when no more tokens are expected: serves the calls that the held
    /// grants cover, and cuts or refuses the others.
    pub(super) fn refuse_waiting(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        while self
            .budget_states
            .get(&budget)
            .is_some_and(|s| !s.waiting.is_empty())
        {
            self.serve_waiting(budget, out);
            self.cut_or_refuse_first(budget, out);
        }
    }
}

/// Returns the smallest amount to which a reservation of `tokens` may be cut.
fn min_cut_tokens(tokens: u64) -> u64 {
    tokens.div_ceil(MIN_CUT_DIVISOR).max(1)
}

/// Returns whether a refusal at `at` still applies to calls at `now`.
pub(super) fn is_recent_refusal(now: Millis, at: Millis) -> bool {
    now.since(at) < Millis(REFUSAL_VALID_MS)
}
