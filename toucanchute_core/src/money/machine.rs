use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, rngs::SmallRng};
use toucanchute_proto::{
    AttemptId, BudgetId, EntryId, GrantId, Incarnation, Millis, RequestKey, ShardId,
    config::Ledger,
    ledger::{Backing, Entry, EntryBody},
    money::MoneyMessage,
};

use super::{
    Action, CallId, Event, Peer, PeerState, RefusalReason, Settings,
    budget_state::{BudgetState, HeldGrant, Reservation},
    calls::RunningCall,
    outbox::PendingEntry,
    reclaim::PendingReclaim,
    transfer::{OutgoingTransfer, TransferRequest},
    witness::WitnessBuffer,
    writer::ShardWriter,
};
use crate::ledger::Fault;

/// Interval of the work that is not urgent, in milliseconds.
const SLOW_TICK_INTERVAL_MS: u64 = 100;

/// The accounting state machine of one router.
///
/// ```
/// use toucanchute_core::money::{Action, CallId, Event, Money, Settings};
/// use toucanchute_proto::{BudgetId, Incarnation, Millis};
///
/// let mut money = Money::new(Settings::new(Incarnation(1), "bilbao", 7));
/// let (call, budget) = (CallId(1), BudgetId::from_name("north"));
/// let event = Event::TopUp { call, id: "t-1".to_owned(), budget, tokens: 500 };
/// let mut actions = Vec::new();
/// money.handle(Millis(1), event, &mut actions);
/// assert!(matches!(actions[0], Action::Store(_))); // reads the shard first
/// ```
#[derive(Debug)]
pub struct Money {
    pub(super) cfg: Settings,
    pub(super) now: Millis,
    pub(super) rng: SmallRng,
    pub(super) next_id: u64,
    pub(super) next_op: u64,
    /// Each peer with its state, and the time since which it is in that state.
    pub(super) peers: BTreeMap<Incarnation, (Peer, Millis)>,
    /// When each holder that is not among the peers was first found missing.
    pub(super) missing_since: BTreeMap<Incarnation, Millis>,
    pub(super) budget_states: BTreeMap<BudgetId, BudgetState>,
    pub(super) grants: BTreeMap<GrantId, HeldGrant>,
    pub(super) reservations: BTreeMap<CallId, Reservation>,
    /// Non-idempotent calls that were accepted and whose outcome is not recorded yet.
    pub(super) running_calls: BTreeMap<RequestKey, RunningCall>,
    /// Entries whose result is not known yet.
    pub(super) outbox: BTreeMap<EntryId, PendingEntry>,
    /// Shards that left an entry uncommitted for longer than the outage bound.
    pub(super) outage_shards: BTreeSet<ShardId>,
    /// Entries of the outbox that were not sent yet.
    pub(super) unsent_entries: BTreeSet<EntryId>,
    pub(super) writers: BTreeMap<ShardId, ShardWriter>,
    pub(super) witness_buffer: WitnessBuffer,
    pub(super) pending_reclaims: BTreeMap<GrantId, PendingReclaim>,
    /// Transfers requested from peers, by the grant that they would open.
    pub(super) transfer_requests: BTreeMap<GrantId, TransferRequest>,
    /// Transfers to peers, by the grant that they open.
    pub(super) outgoing_transfers: BTreeMap<GrantId, OutgoingTransfer>,
    /// Statements requested from a shard's writer, with the time at which they are refused.
    pub(super) statement_requests: BTreeMap<CallId, (BudgetId, Millis)>,
    /// The router that writes each shard, indexed by shard.
    shard_writers: Vec<Incarnation>,
    last_slow_tick: Millis,
    /// When holders were last notified of grants that they may not know of.
    pub(super) unclaimed_sent_at: Millis,
    /// Time of the first event.
    pub(super) started_at: Option<Millis>,
    pub(super) draining: bool,
    /// When the drain began.
    pub(super) draining_since: Option<Millis>,
    pub(super) drained: bool,
}

impl Money {
    /// Creates the state machine of a router that has just started.
    #[must_use]
    pub fn new(cfg: Settings) -> Money {
        Money {
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            now: Millis(0),
            next_id: 0,
            next_op: 0,
            peers: BTreeMap::new(),
            missing_since: BTreeMap::new(),
            budget_states: BTreeMap::new(),
            grants: BTreeMap::new(),
            reservations: BTreeMap::new(),
            running_calls: BTreeMap::new(),
            outbox: BTreeMap::new(),
            outage_shards: BTreeSet::new(),
            unsent_entries: BTreeSet::new(),
            writers: BTreeMap::new(),
            witness_buffer: WitnessBuffer::default(),
            pending_reclaims: BTreeMap::new(),
            transfer_requests: BTreeMap::new(),
            outgoing_transfers: BTreeMap::new(),
            statement_requests: BTreeMap::new(),
            shard_writers: Vec::new(),
            last_slow_tick: Millis(0),
            unclaimed_sent_at: Millis(0),
            started_at: None,
            draining: false,
            draining_since: None,
            drained: false,
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
        match event {
            Event::Reserve { .. } | Event::CommitIntent { .. } => self.request_tokens(event, out),
            Event::Settle { call, tokens } => self.settle(call, tokens, out),
            Event::Release { call } => self.release(call, out),
            Event::RecordOutcome { key, answer } => self.record_outcome(key, answer),
            Event::TopUp { call, .. } | Event::WriteOff { call, .. } if self.drained => {
                self.refuse(call, RefusalReason::Draining, None, out);
            }
            Event::TopUp { .. } | Event::WriteOff { .. } => self.handle_admin_event(event),
            Event::Statement { call, budget } => self.request_statement(call, budget, out),
            Event::Configure(ledger) => self.configure(&ledger),
            Event::Peers(peers) => self.set_peers(peers),
            Event::Message { from, message } => self.on_message(from, message, out),
            Event::Store { op, result } => self.on_store(op, &result, out),
            Event::Tick => self.tick(out),
            Event::Drain => {
                self.draining = true;
                self.draining_since.get_or_insert(self.now);
            }
        }
        self.send_unsent(out);
        self.start_writer_ops(out);
        self.finish_drain(out);
    }

    /// Returns the time by which the state machine needs an [`Event::Tick`] in addition to the
    /// regular ones; `None` if the regular ones are enough.
    #[must_use]
    pub fn next_wake(&self) -> Option<Millis> {
        self.writers
            .values()
            .filter_map(ShardWriter::next_commit_at)
            .min()
    }

    fn configure(&mut self, ledger: &Ledger) {
        let Ledger { shards, ring, .. } = self.cfg.ledger;
        self.cfg.ledger = Ledger {
            shards,
            ring,
            ..ledger.clone()
        };
    }

    fn on_message(&mut self, from: Incarnation, message: MoneyMessage, out: &mut Vec<Action>) {
        match message {
            MoneyMessage::Propose(body) => self.on_propose(from, body, out),
            MoneyMessage::Proposed(body) => self.on_proposed(body, out),
            MoneyMessage::Hold(body) => self.on_hold(from, &body, out),
            MoneyMessage::Held(body) => self.on_held(&body, out),
            MoneyMessage::RefuseHold(_) => {}
            MoneyMessage::Fence(body) => self.on_fence(from, &body, out),
            MoneyMessage::Fenced(body) => self.on_fenced(body),
            MoneyMessage::Forget(body) => self.witness_buffer.forget(&body),
            MoneyMessage::AskTransfer(body) => self.on_ask_transfer(from, body, out),
            MoneyMessage::Give(body) => self.on_give(&body, out),
            MoneyMessage::Decline(body) => self.on_decline(from, &body, out),
            MoneyMessage::Closed(grant) => {
                self.grants.remove(&grant);
            }
            MoneyMessage::Unclaimed(record) => self.on_unclaimed(&record, out),
            MoneyMessage::AskStatement(body) => self.on_ask_statement(from, &body),
            MoneyMessage::Statement(body) => self.on_statement(body, out),
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.tick_waiting(out);
        self.tick_outbox(out);
        self.tick_holds(out);
        self.tick_intents(out);
        self.tick_writers(out);
        if self.now.since(self.last_slow_tick) < Millis(SLOW_TICK_INTERVAL_MS) {
            return;
        }
        self.last_slow_tick = self.now;
        self.tick_witness_buffer();
        self.tick_transfer_requests(out);
        self.tick_outgoing_transfers();
        self.tick_reclaims(out);
        self.tick_unclaimed(out);
        self.tick_statements(out);
        self.tick_idle();
    }
}

/// Identifiers, peers and the choice of writers and witnesses.
impl Money {
    pub(super) fn me(&self) -> Incarnation {
        self.cfg.incarnation
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.cfg.fault == Some(fault)
    }

    pub(super) fn shard_of(&self, budget: BudgetId) -> ShardId {
        budget.shard(self.cfg.ledger.shards)
    }

    pub(super) fn horizon(&self) -> Millis {
        Millis(self.cfg.ledger.grant_horizon_ms.max(1))
    }

    pub(super) fn outage_after(&self) -> Millis {
        Millis(self.cfg.ledger.outage_after_ms)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(super) fn new_entry(&mut self, budget: BudgetId, body: EntryBody) -> Entry {
        Entry {
            id: EntryId(self.me(), self.new_id()),
            budget,
            body,
        }
    }

    pub(super) fn new_grant_id(&mut self) -> GrantId {
        GrantId(self.me(), self.new_id())
    }

    pub(super) fn new_attempt(&mut self) -> AttemptId {
        AttemptId(self.me(), self.new_id())
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut previous = std::mem::take(&mut self.peers);
        for peer in peers {
            let id = peer.incarnation;
            if id == self.me() {
                continue;
            }
            let since = previous.remove(&id).filter(|(o, _)| o.state == peer.state);
            let since = since.map_or(self.now, |(_, since)| since);
            self.peers.insert(id, (peer, since));
        }
        let shards = (0..self.cfg.ledger.shards).map(ShardId);
        self.shard_writers = shards.map(|s| self.choose_writer(s)).collect();
        let known = &self.peers;
        self.missing_since.retain(|id, _| !known.contains_key(id));
    }

    pub(super) fn is_alive(&self, id: Incarnation) -> bool {
        let alive = |(p, _): &(Peer, Millis)| p.state == PeerState::Alive;
        id == self.me() || self.peers.get(&id).is_some_and(alive)
    }

    /// Returns how long a router has been gone or missing from the list of peers; `None` if it is
    /// neither.
    pub(super) fn gone_for(&mut self, id: Incarnation) -> Option<Millis> {
        if id == self.me() {
            return None;
        }
        let now = self.now;
        match self.peers.get(&id) {
            Some((peer, since)) => (peer.state == PeerState::Gone).then(|| now.since(*since)),
            None => Some(now.since(*self.missing_since.entry(id).or_insert(now))),
        }
    }

    pub(super) fn alive_peers(&self) -> Vec<Incarnation> {
        self.peers
            .keys()
            .copied()
            .filter(|&id| self.is_alive(id))
            .collect()
    }

    /// Chooses the witnesses of a new grant among the routers that are alive and in other failure
    /// domains: one of each failure domain before a second of any.
    pub(super) fn choose_backing(&self) -> Backing {
        let alive = self
            .peers
            .values()
            .filter(|(p, _)| p.state == PeerState::Alive);
        let candidates = alive.filter(|(p, _)| p.failure_domain != self.cfg.failure_domain);
        let weighed = candidates.map(|(p, _)| (rendezvous_weight(self.me().0, p.incarnation), p));
        let mut weighed: Vec<_> = weighed.collect();
        weighed.sort_unstable_by_key(|(weight, _)| *weight);
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ranked = Vec::new();
        for (weight, peer) in weighed {
            let rank = seen.entry(&peer.failure_domain).or_default();
            ranked.push((*rank, weight, peer.incarnation));
            *rank += 1;
        }
        ranked.sort_unstable();
        let wanted = usize::from(self.cfg.ledger.witnesses);
        Backing {
            witnesses: ranked
                .into_iter()
                .take(wanted)
                .map(|(_, _, id)| id)
                .collect(),
            acks: self.cfg.ledger.acks.max(1),
        }
    }

    /// Returns the router that writes a shard at present.
    pub(super) fn writer_of(&self, shard: ShardId) -> Incarnation {
        let chosen = self.shard_writers.get(usize::from(shard.0));
        chosen.copied().unwrap_or(self.me())
    }

    /// Returns the router with the greatest weight for a shard among those that are alive.
    fn choose_writer(&self, shard: ShardId) -> Incarnation {
        let alive = self.peers.keys().copied().filter(|&id| self.is_alive(id));
        let all = alive.chain([self.me()]);
        all.max_by_key(|&id| (rendezvous_weight(u64::from(shard.0), id), id))
            .unwrap_or(self.me())
    }

    pub(super) fn refuse(
        &self,
        call: CallId,
        reason: RefusalReason,
        retry_after: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Refused {
            call,
            reason,
            retry_after,
            elsewhere: None,
        });
    }
}

/// Returns the weight of a router for a subject in rendezvous hashing.
fn rendezvous_weight(subject: u64, id: Incarnation) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&subject.to_le_bytes());
    hasher.update(&id.0.to_le_bytes());
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_at(8);
    head.iter().fold(0, |sum, &b| sum << 8 | u64::from(b))
}
