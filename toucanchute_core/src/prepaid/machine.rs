use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    config::Ledger,
    fleet::MemberState,
    prepaid::{Account, Announce, OwnerView, PrepaidMessage, Term},
};

use super::{
    AccountEvent, Action, CallId, ClockSpread, CloseCause, Event, Fault, Peer,
    account::OwnedAccount, known_owners::KnownOwners, local_requests::LocalRequests,
    refunds::Refunds, takeover::Takeover, witness::WitnessMarks,
};
use crate::ledger::{StoreOp, StoreRequest};

/// Time after the start in which a router discovers the others, before it claims accounts.
const DISCOVERY_TIME: Millis = Millis(400);

/// Longest time after the first configuration that a router that knows few other clocks waits for
/// more before it claims accounts. After a restart of all routers, a takeover with unknown clocks
/// writes off seconds of each ramp.
const MAX_CLOCK_WAIT: Millis = Millis(1_200);

/// Time after a failed call for which the store counts as unavailable.
const STORE_DOWN_TIME: Millis = Millis(2_000);

/// Time without the store after which accounts are handed over to routers that reach it.
const STORE_LOSS_TIMEOUT: Millis = Millis(1_500);

/// Era of a store that never came back from an older copy.
const FIRST_ERA: u64 = 1;

/// Identity of the router that runs a [`PrepaidAccounts`] machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Incarnation, which identifies this run of the router.
    pub incarnation: Incarnation,
    /// Host, on which one router runs at a time.
    pub host: String,
    /// Failure domain of the router.
    pub failure_domain: String,
    /// Processor time of its host, in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// A fault to inject, to check that the tests detect it.
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Settings {
    /// Creates the settings of one run of a router.
    #[must_use]
    pub fn new(incarnation: Incarnation, host: &str, failure_domain: &str) -> Settings {
        Settings {
            incarnation,
            host: host.to_owned(),
            failure_domain: failure_domain.to_owned(),
            capacity: 0,
            fault: None,
        }
    }

    /// Sets the processor time of the host, in thousandths of a core.
    #[must_use]
    pub fn capacity(mut self, capacity: u32) -> Settings {
        self.capacity = capacity;
        self
    }
}

/// State machine with which one router spends from prepaid accounts, in cooperation with the machines
/// of the other routers.
///
/// ```
/// use toucanchute_core::prepaid::{Action, CallId, Event, PrepaidAccounts, Settings};
/// use toucanchute_proto::{BudgetId, Incarnation, Millis, config::Ledger};
///
/// let mut accounts = PrepaidAccounts::new(Settings::new(Incarnation(1), "bilbao-1", "bilbao"));
/// let budget = BudgetId::from_name("north");
/// let limits = [(budget, 500)].into();
/// let mut out = Vec::new();
/// accounts.handle(Millis(0), Event::Configure { limits, policy: Ledger::default() }, &mut out);
/// accounts.handle(Millis(2_000), Event::Tick, &mut out);
/// assert!(matches!(out[0], Action::Store(_))); // reads the account's record
/// ```
#[derive(Debug)]
pub struct PrepaidAccounts {
    pub(super) cfg: Settings,
    pub(super) now: Millis,
    started_at: Option<Millis>,
    /// Budgets whose accounts this router should claim if they have no owner, and whether the store
    /// was available when they were selected. Absent after a change of peers or budgets.
    pub(super) preclaim_cache: Option<(bool, Vec<BudgetId>)>,
    /// When the first configuration arrived, which is also the first sign that the store answers.
    configured_at: Option<Millis>,
    pub(super) limits: BTreeMap<BudgetId, u64>,
    pub(super) policy: Ledger,
    pub(super) peers: BTreeMap<Incarnation, Peer>,
    pub(super) known_owners: KnownOwners,
    /// Accounts that this router owns.
    pub(super) accounts: BTreeMap<BudgetId, OwnedAccount>,
    /// Accounts that this router is taking over. None of them is in `accounts`.
    pub(super) takeovers: BTreeMap<BudgetId, Takeover>,
    pub(super) clocks: ClockSpread,
    pub(super) witness_marks: WitnessMarks,
    pub(super) requests: LocalRequests,
    pub(super) refunds: Refunds,
    /// Store calls in flight, by number.
    pub(super) ops: BTreeMap<u64, BudgetId>,
    next_op: u64,
    /// Era of the store, as far as this router knows.
    pub(super) store_era: u64,
    /// Era in which each budget was first configured, for those that were added while this router
    /// ran.
    added_in: BTreeMap<BudgetId, u64>,
    /// Since when the store has not answered, and when a call to it last failed. Absent once it
    /// answers.
    store_down: Option<(Millis, Millis)>,
    /// When the store was last known to answer any router.
    store_seen: Option<Millis>,
    pub(super) draining: bool,
    drained: bool,
}

/// Term of an account whose owner is not known.
pub(super) const NO_TERM: Term = Term { epoch: 0, turn: 0 };

/// Returns the term of the router that claimed an account in `epoch`.
pub(super) fn first_term(epoch: u64) -> Term {
    Term { epoch, turn: 0 }
}

impl PrepaidAccounts {
    /// Creates the machine of a router that has just started.
    #[must_use]
    pub fn new(cfg: Settings) -> PrepaidAccounts {
        PrepaidAccounts {
            cfg,
            now: Millis(0),
            started_at: None,
            preclaim_cache: None,
            configured_at: None,
            limits: BTreeMap::new(),
            policy: Ledger::default(),
            peers: BTreeMap::new(),
            known_owners: KnownOwners::default(),
            accounts: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            clocks: ClockSpread {
                few_clocks: true,
                ..ClockSpread::default()
            },
            witness_marks: WitnessMarks::default(),
            requests: LocalRequests::default(),
            refunds: Refunds::default(),
            ops: BTreeMap::new(),
            next_op: 0,
            store_era: 0,
            added_in: BTreeMap::new(),
            store_down: None,
            store_seen: None,
            draining: false,
            drained: false,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        match event {
            Event::Reserve {
                call,
                demand,
                deadline,
            } => self.request_tokens(call, demand, deadline, out),
            Event::Settle { call, used } => self.settle_call(call, used, out),
            Event::Configure { limits, policy } => self.configure(limits, policy, out),
            Event::Peers(peers) => self.set_peers(peers, out),
            Event::Message { from, message } => self.on_message(from, *message, out),
            Event::Store { op, result } => self.on_store(op, &result, out),
            Event::Clocks(clocks) => self.clocks = clocks,
            Event::StoreEra(era) => self.observe_era(era),
            Event::StoreSeen(at) => self.store_seen = self.store_seen.max(Some(at)),
            Event::Tick => self.tick(out),
            Event::Drain => self.draining = true,
        }
        self.advance_drain(out);
        if self.draining && !self.drained && self.accounts.is_empty() && self.takeovers.is_empty() {
            self.drained = true;
            out.push(Action::Drained);
        }
    }

    /// Returns the number of accounts that this router owns.
    #[must_use]
    pub fn owned_count(&self) -> usize {
        self.accounts.len()
    }

    fn configure(
        &mut self,
        limits: BTreeMap<BudgetId, u64>,
        policy: Ledger,
        out: &mut Vec<Action>,
    ) {
        self.configured_at.get_or_insert(self.now);
        if !self.limits.is_empty() {
            let added = limits.keys().filter(|b| !self.limits.contains_key(b));
            self.added_in.extend(added.map(|&b| (b, self.store_era)));
        }
        self.limits = limits;
        self.preclaim_cache = None;
        self.policy = policy;
        for budget in self.accounts.keys().copied().collect::<Vec<_>>() {
            self.maintain(budget, out);
            self.serve(budget, out);
        }
    }

    fn set_peers(&mut self, peers: Vec<Peer>, out: &mut Vec<Action>) {
        self.preclaim_cache = None;
        let old = std::mem::take(&mut self.peers);
        self.peers = peers.into_iter().map(|p| (p.incarnation, p)).collect();
        let newly_reachable: Vec<Incarnation> = self
            .peers
            .keys()
            .filter(|id| self.is_reachable(**id))
            .filter(|id| old.get(id).is_none_or(|p| !p.is_reachable()))
            .copied()
            .collect();
        let ended = old.keys().filter(|&&id| !self.is_member(id));
        let ended: Vec<Incarnation> = ended.copied().collect();
        for budget in self.accounts.keys().copied().collect::<Vec<_>>() {
            let mut targets = self.announce_targets(budget);
            targets.retain(|id| newly_reachable.contains(id));
            self.announce(budget, &targets, out);
            self.forget_rests(budget, &ended, out);
        }
        self.reroute(out);
    }

    fn on_message(&mut self, from: Incarnation, message: PrepaidMessage, out: &mut Vec<Action>) {
        match message {
            PrepaidMessage::Ask(body) => self.on_ask(from, body, out),
            PrepaidMessage::Answer(body) => self.on_answer(from, body, out),
            PrepaidMessage::Settle(body) => self.on_settle(from, body, out),
            PrepaidMessage::Settled(body) => self.on_settled(&body, out),
            PrepaidMessage::Mark(body) => self.on_mark(from, &body, out),
            PrepaidMessage::Marked(body) => self.on_marked(from, &body, out),
            PrepaidMessage::Fence(body) => self.on_fence(from, &body, out),
            PrepaidMessage::Fenced(body) => self.on_fenced(from, &body, out),
            PrepaidMessage::Announce(body) => self.on_announce(from, &body, out),
            PrepaidMessage::Handover(body) => self.on_handover(body, out),
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.tick_requests(out);
        for budget in self.takeovers.keys().copied().collect::<Vec<_>>() {
            self.tick_takeover(budget, out);
        }
        for budget in self.accounts.keys().copied().collect::<Vec<_>>() {
            self.tick_account(budget, out);
        }
        self.preclaim_accounts(out);
    }

    // Roles of routers

    /// Whether `fault` is injected into this machine.
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.cfg.fault == Some(fault)
    }

    pub(super) fn me(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Whether this router may take accounts over.
    pub(super) fn may_claim(&self) -> bool {
        let passed =
            |since: Option<Millis>, span| since.is_some_and(|at| self.now.since(at) >= span);
        let clocks_known = !self.clocks.few_clocks || passed(self.configured_at, MAX_CLOCK_WAIT);
        passed(self.started_at, DISCOVERY_TIME) && clocks_known && !self.draining
    }

    /// Whether a router may still run.
    fn is_member(&self, id: Incarnation) -> bool {
        let peer = self.peers.get(&id);
        peer.is_some_and(|p| p.state != MemberState::Gone)
    }

    /// Whether messages reach a router.
    pub(super) fn is_reachable(&self, id: Incarnation) -> bool {
        self.peers.get(&id).is_some_and(Peer::is_reachable)
    }

    /// Whether a router is alive and not leaving.
    pub(super) fn is_alive(&self, id: Incarnation) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|p| p.state == MemberState::Alive)
    }

    /// Returns the owner of an account if it is another router that can be reached.
    pub(super) fn reachable_owner(&self, budget: BudgetId) -> Option<Incarnation> {
        let owner = self.known_owners.get(budget)?.owner;
        owner.filter(|&o| self.is_reachable(o))
    }

    /// Merges what another router, or a record in the store, says of the owner of an account.
    pub(super) fn learn_owner(&mut self, budget: BudgetId, view: OwnerView) {
        if self.accounts.contains_key(&budget) {
            // If this router was superseded, its witnesses refuse its marks.
            return;
        }
        let owner = view.owner.filter(|&o| o != self.me());
        self.known_owners.merge(budget, OwnerView { owner, ..view });
    }

    // Announcements

    /// Announces to some routers that this one owns an account.
    pub(super) fn announce(&self, budget: BudgetId, to: &[Incarnation], out: &mut Vec<Action>) {
        let Some(owned) = self.accounts.get(&budget) else {
            return;
        };
        for &to in to {
            let body = Announce {
                budget,
                term: owned.term,
            };
            let message = PrepaidMessage::Announce(body);
            out.push(Action::send(to, message));
        }
    }

    /// Announces that this router owns an account to the routers that others send their requests
    /// to.
    pub(super) fn announce_owner(&self, budget: BudgetId, out: &mut Vec<Action>) {
        let targets = self.announce_targets(budget);
        self.announce(budget, &targets, out);
    }

    fn on_announce(&mut self, from: Incarnation, body: &Announce, out: &mut Vec<Action>) {
        let &Announce { budget, term } = body;
        if !self.known_owners.confirm(budget, term, from) {
            return;
        }
        if self.accounts.get(&budget).is_some_and(|a| a.term < term) {
            self.close(budget, CloseCause::Superseded, out);
        }
        self.reroute_budget(budget, out);
    }

    /// Stops spending from an account, and redirects the requests that wait for its tokens.
    pub(super) fn close(&mut self, budget: BudgetId, cause: CloseCause, out: &mut Vec<Action>) {
        let Some(owned) = self.accounts.remove(&budget) else {
            return;
        };
        self.ops.retain(|_, b| *b != budget);
        self.known_owners.give_up(budget, self.cfg.incarnation);
        out.push(Action::Log(AccountEvent::Closed { budget, cause }));
        for waiting in owned.waiting {
            self.redirect(budget, owned.term, waiting.id, out);
        }
    }

    // The store

    /// Calls the store on behalf of an account; returns the call's number.
    pub(super) fn call_store(
        &mut self,
        budget: BudgetId,
        request: StoreRequest,
        out: &mut Vec<Action>,
    ) -> u64 {
        self.next_op += 1;
        let op = self.next_op;
        self.ops.insert(op, budget);
        out.push(Action::Store(StoreOp { op, request }));
        op
    }

    fn on_store(&mut self, op: u64, result: &crate::ledger::StoreResult, out: &mut Vec<Action>) {
        use crate::ledger::StoreResult::{Unavailable, Unknown};
        let since = self.store_down.map_or(self.now, |(since, _)| since);
        let down = matches!(result, Unavailable | Unknown);
        self.store_down = down.then_some((since, self.now));
        let Some(budget) = self.ops.remove(&op) else {
            return;
        };
        if self.takeovers.contains_key(&budget) {
            self.on_takeover_result(budget, op, result, out);
        } else {
            self.on_write_result(budget, op, result, out);
        }
    }

    /// Records the era of the store. In a new one, the records of this router's accounts are written
    /// again, as the store may hold older ones.
    fn observe_era(&mut self, era: u64) {
        if era <= self.store_era || self.has_fault(Fault::TrustOldEras) {
            return;
        }
        self.store_era = era;
        let now = self.now;
        for owned in self.accounts.values_mut() {
            if owned.record.era.is_some_and(|written| written < era) {
                owned.begin_renewal(now);
            }
        }
    }

    /// Whether an account may have had a record that the store has lost: it came back from an older
    /// copy once, and the budget may be older than that.
    pub(super) fn may_have_lost_record(&self, budget: BudgetId) -> bool {
        let is_new = self.added_in.get(&budget) == Some(&self.store_era);
        self.store_era > FIRST_ERA && !is_new
    }

    /// Whether the store counts as available: no call to it has failed recently.
    pub(super) fn store_up(&self) -> bool {
        self.store_down
            .is_none_or(|(_, last)| self.now.since(last) >= STORE_DOWN_TIME)
    }

    /// Whether the store has not answered this router for so long that its accounts should move,
    /// while the store has answered other routers since.
    pub(super) fn store_lost(&self) -> bool {
        let Some((since, _)) = self.store_down else {
            return false;
        };
        let elsewhere = self.store_seen.is_some_and(|at| at > since);
        !self.store_up() && elsewhere && self.now.since(since) >= STORE_LOSS_TIMEOUT
    }

    /// Returns the total of a budget in tokens; 0 if it is not in the configuration.
    pub(super) fn limit(&self, budget: BudgetId) -> u64 {
        self.limits.get(&budget).copied().unwrap_or(0)
    }

    /// Returns the record of an account that this router owns, and the tokens that are used or set
    /// aside.
    #[must_use]
    pub fn account(&self, budget: BudgetId) -> Option<(&Account, u64)> {
        self.accounts.get(&budget).map(|a| (&a.record, a.used))
    }
}

/// Call numbers double as the sequence numbers of messages.
impl CallId {
    pub(super) fn seq(self) -> u64 {
        self.0
    }
}
