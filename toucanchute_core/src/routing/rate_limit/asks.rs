use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{Incarnation, Millis};

use crate::routing::{Dispatcher, pool::BackendKey};

/// Time to wait for an issuer's answer.
const ANSWER_TIMEOUT: Millis = Millis(100);

/// Time from an ask, or from as much later as the permit is granted ahead, for which the permit may
/// be used: until the answer is there and the next tick has passed. The ask precedes the grant, so
/// this also bounds the time from the grant to the start of the request.
pub(in crate::routing) const USE_TIME: Millis =
    Millis(ANSWER_TIMEOUT.0 + Dispatcher::MAX_TICK_INTERVAL.0);

/// Permits that this router has asked for, by the calls that they are for.
#[derive(Debug, Default)]
pub(in crate::routing) struct PermitAsks {
    by_call: BTreeMap<u64, Ask>,
    /// Number of denials of calls that still wait.
    denials: BTreeMap<u64, u32>,
    last_seq: u64,
}

/// A permit for one call, or the ask for one.
#[derive(Clone, Copy, Debug)]
pub(in crate::routing) struct Ask {
    pub(in crate::routing) replica: BackendKey,
    pub(in crate::routing) issuer: Incarnation,
    /// Whether the permit is for a cold replica.
    pub(in crate::routing) warming: bool,
    state: AskState,
}

#[derive(Clone, Copy, Debug)]
enum AskState {
    /// The issuer was asked and has not answered.
    Sent { seq: u64, at: Millis },
    /// The permit may be used from one time to the other.
    Granted { from: Millis, until: Millis },
}

/// Whether a call has a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::routing) enum PermitStatus {
    /// It has none and has not asked for one.
    None,
    /// It has asked for one, or has one that may be used later.
    Pending,
    /// It may start on this replica.
    Usable(BackendKey),
    /// Its permit was not used in time.
    Expired,
}

impl PermitAsks {
    pub(in crate::routing) fn is_empty(&self) -> bool {
        self.by_call.is_empty() && self.denials.is_empty()
    }

    /// Counts a denial of a call; returns the number of its denials.
    pub(in crate::routing) fn record_denial(&mut self, call: u64) -> u32 {
        let count = self.denials.entry(call).or_default();
        *count += 1;
        *count
    }

    /// Forgets the denials of calls that are not among `waiting`.
    pub(in crate::routing) fn retain_denials(&mut self, waiting: &BTreeSet<u64>) {
        self.denials.retain(|call, _| waiting.contains(call));
    }

    pub(in crate::routing) fn status(&self, now: Millis, call: u64) -> PermitStatus {
        let Some(ask) = self.by_call.get(&call) else {
            return PermitStatus::None;
        };
        match ask.state {
            AskState::Granted { until, .. } if now > until => PermitStatus::Expired,
            AskState::Granted { from, .. } if now >= from => PermitStatus::Usable(ask.replica),
            AskState::Granted { .. } | AskState::Sent { .. } => PermitStatus::Pending,
        }
    }

    /// Records an ask that is sent now; returns its number.
    pub(in crate::routing) fn record_sent(
        &mut self,
        now: Millis,
        call: u64,
        replica: BackendKey,
        issuer: Incarnation,
        warming: bool,
    ) -> u64 {
        self.last_seq += 1;
        let seq = self.last_seq;
        let state = AskState::Sent { seq, at: now };
        let ask = Ask {
            replica,
            issuer,
            warming,
            state,
        };
        self.by_call.insert(call, ask);
        seq
    }

    /// Records that the permit of a call is granted and may be used after `delay`.
    pub(in crate::routing) fn record_granted(&mut self, now: Millis, call: u64, delay: Millis) {
        if let Some(ask) = self.by_call.get_mut(&call)
            && let AskState::Sent { at, .. } = ask.state
        {
            ask.state = AskState::Granted {
                from: now + delay,
                until: at + delay + USE_TIME,
            };
        }
    }

    /// Returns the call whose ask has this number and can still be answered.
    pub(in crate::routing) fn call_of(&self, now: Millis, seq: u64) -> Option<u64> {
        let is_sent = |ask: &Ask| match ask.state {
            AskState::Sent { seq: sent, at } => sent == seq && now.since(at) < ANSWER_TIMEOUT,
            AskState::Granted { .. } => false,
        };
        let mut asks = self.by_call.iter();
        asks.find(|(_, ask)| is_sent(ask)).map(|(&call, _)| call)
    }

    /// Removes and returns the ask or the permit of a call.
    pub(in crate::routing) fn remove(&mut self, call: u64) -> Option<Ask> {
        self.by_call.remove(&call)
    }

    /// Returns the calls whose permits may be used now.
    pub(in crate::routing) fn usable(&self, now: Millis) -> Vec<u64> {
        let is_usable = |call: &u64| matches!(self.status(now, *call), PermitStatus::Usable(_));
        self.by_call.keys().copied().filter(is_usable).collect()
    }

    /// Returns the calls that have asks or permits.
    pub(in crate::routing) fn calls(&self) -> Vec<u64> {
        self.by_call.keys().copied().collect()
    }

    /// Returns the number of calls that have an ask or a permit for a replica.
    pub(in crate::routing) fn count(&self, replica: BackendKey) -> usize {
        let asks = self.by_call.values();
        asks.filter(|ask| ask.replica == replica).count()
    }

    /// Returns the replica that a call has an ask or a permit for.
    pub(in crate::routing) fn replica(&self, call: u64) -> Option<BackendKey> {
        self.by_call.get(&call).map(|ask| ask.replica)
    }

    pub(in crate::routing) fn contains(&self, call: u64) -> bool {
        self.by_call.contains_key(&call)
    }

    /// Returns the calls whose asks were not answered in time.
    pub(in crate::routing) fn unanswered(&self, now: Millis) -> Vec<u64> {
        let overdue = |ask: &Ask| match ask.state {
            AskState::Sent { at, .. } => now.since(at) >= ANSWER_TIMEOUT,
            AskState::Granted { .. } => false,
        };
        let asks = self.by_call.iter().filter(|(_, ask)| overdue(ask));
        asks.map(|(&call, _)| call).collect()
    }
}

impl Ask {
    /// Whether a permit was granted.
    pub(in crate::routing) fn is_granted(&self) -> bool {
        matches!(self.state, AskState::Granted { .. })
    }
}
