use std::collections::{BTreeSet, VecDeque};

use toucanchute_proto::{
    Incarnation, Millis,
    prepaid::{Account, Quorum, SettleReservation, Term},
};

use super::{
    Fault,
    marks::Marks,
    ramp::{ramp_at, ramp_end},
    rate::DrawRate,
    record,
    reservations::{RequestId, Reservation, Reservations},
};

/// Number of requests over which the mean request size is averaged.
const MEAN_WEIGHT: u64 = 8;

/// An account that this router owns, that is, spends from.
#[derive(Debug)]
pub(super) struct OwnedAccount {
    /// Term of this router. Witnesses that have seen it refuse lesser terms.
    pub(super) term: Term,
    /// When this router began to spend from the account.
    pub(super) since: Millis,
    /// The record as it was last known to be in the store, and its revision.
    pub(super) record: Account,
    pub(super) revision: u64,
    /// Tokens used or set aside. A reservation raises it to [`OwnedAccount::bound`] at most.
    pub(super) used: u64,
    /// Tokens that requests are known to have used. `used` holds them, those set aside, those written
    /// off, and those of earlier owners whose use is not known.
    pub(super) settled: u64,
    /// Tokens set aside for each request in progress; `used` holds their sum, without what the requests
    /// may still ask for.
    pub(super) reserved: Reservations,
    /// Reservations of earlier epochs that were settled in this one.
    pub(super) settled_earlier: BTreeSet<RequestId>,
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) marks: Marks,
    /// When the record was sent to the store.
    pub(super) sent_at: Millis,
    /// Records that were sent and may still take effect, each with the time at which it was sent.
    /// Each of them bounds spending, as the current record does.
    pub(super) pending: Vec<(Account, Millis)>,
    /// Next quorum, and when it was chosen. Its witnesses have to acknowledge the current mark
    /// before it is written into the record.
    pub(super) next_quorum: Option<(Quorum, Millis)>,
    pub(super) write: Option<RecordWrite>,
    /// Proof that precedes the next write, if the store may hold an older record than this one.
    pub(super) renewal: Option<Renewal>,
    /// Time before which the store is not called again.
    pub(super) retry_at: Millis,
    pub(super) rate: DrawRate,
    /// Largest request so far, and the moving average of request sizes.
    pub(super) largest: u64,
    pub(super) mean: u64,
    /// Whether a write was sent that releases the account. Nothing is spent after it.
    pub(super) releasing: bool,
    /// Whether such a write may have taken effect without an answer. The account cannot be kept
    /// then.
    pub(super) release_uncertain: bool,
    fault: Option<Fault>,
}

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) id: RequestId,
    pub(super) tokens: u64,
    /// Further tokens that it may ask for later.
    pub(super) rest: u64,
    /// Reservation that it extends, of a request in progress.
    pub(super) extends: Option<RequestId>,
    /// Time at which it is refused.
    pub(super) until: Millis,
}

/// Proof that no other router has taken an account over, in a store that has forgotten it.
#[derive(Clone, Debug)]
pub(super) struct Renewal {
    pub(super) since: Millis,
    /// Witnesses that have acknowledged a mark since then. Enough of them for a mark cannot have been
    /// fenced.
    pub(super) acked: BTreeSet<Incarnation>,
}

impl Renewal {
    pub(super) fn new(now: Millis) -> Renewal {
        Renewal {
            since: now,
            acked: BTreeSet::new(),
        }
    }
}

/// A write of the record whose result is not known yet.
#[derive(Debug)]
pub(super) struct RecordWrite {
    pub(super) record: Account,
    pub(super) sent: Millis,
    /// The store call in flight: the write, or a read that shows whether the write took effect.
    pub(super) op: Option<u64>,
    /// Whether the record has to be read to find out whether the write took effect.
    pub(super) unresolved: bool,
}

impl OwnedAccount {
    /// Creates the state of an account that this router starts to spend from. The tokens used are
    /// those that the record counts as spent.
    pub(super) fn new(now: Millis, term: Term, record: Account, revision: u64) -> OwnedAccount {
        let used = record.spent;
        let settled = record::settled(&record);
        OwnedAccount {
            term,
            since: now,
            record,
            revision,
            used,
            settled,
            reserved: Reservations::default(),
            settled_earlier: BTreeSet::new(),
            waiting: VecDeque::new(),
            marks: Marks::default(),
            sent_at: now,
            pending: Vec::new(),
            next_quorum: None,
            write: None,
            renewal: None,
            retry_at: now,
            rate: DrawRate::new(now),
            largest: 0,
            mean: 0,
            releasing: false,
            release_uncertain: false,
            fault: None,
        }
    }

    /// Injects a fault, for tests.
    pub(super) fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }

    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the highest value that `used` may take at `now`, for a budget with a total of
    /// `limit`.
    pub(super) fn bound(&self, now: Millis, limit: u64) -> u64 {
        if self.releasing && !self.has_fault(Fault::SpendAfterRelease) {
            return 0;
        }
        if self.has_fault(Fault::IgnoreDrawn) {
            return limit;
        }
        let ramp = self.ramp_bound(now).min(limit);
        if self.has_fault(Fault::IgnoreMarks) {
            return ramp;
        }
        let marks = self
            .possible_records()
            .map(|(record, _)| self.witness_bound(record));
        marks.fold(ramp, u64::min)
    }

    /// Begins to prove that no other router has taken the account over, in order to write its record
    /// again.
    pub(super) fn begin_renewal(&mut self, now: Millis) {
        self.renewal.get_or_insert_with(|| Renewal::new(now));
    }

    /// Whether the record is to be written again now.
    pub(super) fn is_renewal_due(&self) -> bool {
        let acks = self.record.quorum.acks as usize;
        self.renewal.as_ref().is_some_and(|r| r.acked.len() >= acks)
    }

    /// Returns the records that may be in the store, each with the time at which it was sent.
    pub(super) fn possible_records(&self) -> impl Iterator<Item = (&Account, Millis)> {
        let pending = self.pending.iter().map(|(record, sent)| (record, *sent));
        let ignore_release = self.has_fault(Fault::SpendAfterRelease);
        let pending = pending.filter(move |(record, _)| !ignore_release || record.owner.is_some());
        pending.chain([(&self.record, self.sent_at)])
    }

    /// Returns the bound that the witnesses of a record have acknowledged.
    pub(super) fn witness_bound(&self, record: &Account) -> u64 {
        self.marks.effective(&record.quorum).max(record.spent)
    }

    /// Returns the bound that the ramps of all possible records allow at `now`.
    pub(super) fn ramp_bound(&self, now: Millis) -> u64 {
        let ramps = self.possible_records().map(|(record, sent)| {
            match self.has_fault(Fault::SpendLateAtOnce) {
                true => ramp_at(&record::without_late(record), now.since(sent)),
                false => ramp_at(record, now.since(sent)),
            }
        });
        ramps.fold(u64::MAX, u64::min)
    }

    /// Returns the most that the ramps of all possible records may reach by `until`, whatever their pace.
    pub(super) fn ramp_end(&self, until: Millis) -> u64 {
        let ends = self
            .possible_records()
            .map(|(record, sent)| ramp_end(record, until.since(sent)));
        ends.fold(u64::MAX, u64::min)
    }

    /// Returns the sum of tokens that waiting requests need.
    pub(super) fn waiting_tokens(&self) -> u64 {
        self.waiting.iter().map(|w| w.tokens).sum()
    }

    /// Queues a request behind those that came before it, and in front of all new requests if it belongs
    /// to one that is in progress.
    pub(super) fn enqueue(&mut self, request: WaitingRequest) {
        let is_new = |w: &WaitingRequest| w.extends.is_none();
        let at = match request.extends {
            Some(_) => self.waiting.iter().position(is_new),
            None => None,
        };
        self.waiting
            .insert(at.unwrap_or(self.waiting.len()), request);
    }

    /// Returns the value that `used` may take at most once a request is admitted and all requests in
    /// progress have asked for all they may use. A request in progress was admitted before.
    pub(super) fn used_at_most_with(&self, request: &WaitingRequest) -> u64 {
        let with_request = self.used + request.tokens;
        match request.extends {
            Some(_) => with_request,
            None if self.has_fault(Fault::IgnoreRests) => with_request,
            None => with_request + request.rest + self.reserved.rest(),
        }
    }

    /// Sets tokens aside for a request.
    pub(super) fn reserve(&mut self, now: Millis, request: &WaitingRequest) {
        let &WaitingRequest {
            id,
            tokens,
            rest,
            extends,
            ..
        } = request;
        if let Some(extended) = extends {
            self.reserved.take_rest(extended);
        }
        let uncounted = extends.is_some() && self.has_fault(Fault::UncountedExtensions);
        self.used += if uncounted { 0 } else { tokens };
        self.rate.add(now, tokens);
        self.largest = self.largest.max(tokens);
        self.mean = (self.mean * (MEAN_WEIGHT - 1) + tokens) / MEAN_WEIGHT;
        let reservation = Reservation {
            tokens,
            rest,
            since: now,
        };
        self.reserved.insert(id, reservation);
    }

    /// Settles a reservation of a request of `router` and takes the refund off `used`. Returns whether
    /// there was such a reservation.
    pub(super) fn settle(
        &mut self,
        now: Millis,
        router: Incarnation,
        body: &SettleReservation,
    ) -> bool {
        let id = RequestId {
            router,
            seq: body.seq,
        };
        let epoch = self.term.epoch;
        let tokens = match body.reserved_in.unwrap_or(epoch) {
            reserved_in if reserved_in == epoch => self.remove_reservation(id),
            reserved_in => body.tokens.filter(|_| self.settle_earlier(id, reserved_in)),
        };
        let Some(tokens) = tokens else {
            return false;
        };
        let refund = body.refund.min(tokens).min(self.used);
        self.used -= refund;
        self.settled += tokens - refund;
        self.rate.refund(now, refund);
        true
    }

    /// Returns the tokens of a reservation and removes it.
    fn remove_reservation(&mut self, id: RequestId) -> Option<u64> {
        let reserved = match self.has_fault(Fault::RefundTwice) {
            true => self.reserved.get(id).copied(),
            false => self.reserved.remove(id),
        };
        reserved.map(|r| r.tokens)
    }

    /// Records that a reservation of an earlier epoch is settled. Returns whether it may be: its tokens
    /// are contained in `used`, and it was not settled before.
    fn settle_earlier(&mut self, id: RequestId, reserved_in: u64) -> bool {
        let from = self.record.settles_from.unwrap_or(0);
        let contained = (from..self.term.epoch).contains(&reserved_in);
        contained && (self.settled_earlier.insert(id) || self.has_fault(Fault::RefundEarlierTwice))
    }
}
