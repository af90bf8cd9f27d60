use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use super::RoutingRequest;

/// Units of virtual time for one token at weight 1.
const TOKEN_SHARE: u64 = 1_000;

/// Waiting calls of one customer that are looked at before the next customer's.
const LOOK_AHEAD: usize = 4;

/// Calls that wait for a replica of one pool.
///
/// Higher priorities go first; within one, customers share by weighted fair queueing over the
/// tokens of what started.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: BTreeMap<Reverse<u8>, Lane>,
    len: usize,
}

/// Calls of one priority.
#[derive(Debug, Default)]
struct Lane {
    customers: BTreeMap<String, Share>,
    /// Virtual time of the customer served last; it only rises.
    clock: u64,
}

/// Calls of one customer.
#[derive(Debug, Default)]
struct Share {
    /// Work started so far divided by weight, not behind the lane's clock when work arrives.
    served: u64,
    weight: u64,
    calls: VecDeque<RoutingRequest>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a call; one that ran before goes ahead of its customer's others.
    pub(super) fn push(&mut self, req: RoutingRequest) {
        let lane = self.lanes.entry(Reverse(req.priority)).or_default();
        let clock = lane.clock;
        let share = lane.customers.entry(req.customer.clone()).or_default();
        share.weight = u64::from(req.weight.max(1));
        if share.calls.is_empty() {
            share.served = share.served.max(clock);
        }
        self.len += 1;
        match req.attempts {
            0 => share.calls.push_back(req),
            _ => share.calls.push_front(req),
        }
    }

    /// Returns the calls that may go next, the fairest first.
    pub(super) fn next(&self) -> Vec<&RoutingRequest> {
        let mut next = Vec::new();
        for lane in self.lanes.values() {
            let waiting = lane.customers.values().filter(|s| !s.calls.is_empty());
            let mut shares: Vec<&Share> = waiting.collect();
            shares.sort_by_key(|s| s.served);
            next.extend(shares.iter().flat_map(|s| s.calls.iter().take(LOOK_AHEAD)));
        }
        next
    }

    /// Counts a call that starts against its customer.
    pub(super) fn charge(&mut self, req: &RoutingRequest) {
        let Some(lane) = self.lanes.get_mut(&Reverse(req.priority)) else {
            return;
        };
        let Some(share) = lane.customers.get_mut(&req.customer) else {
            return;
        };
        lane.clock = lane.clock.max(share.served);
        share.served += req.tokens.max(1) * TOKEN_SHARE / share.weight;
    }

    pub(super) fn remove(&mut self, call: u64) -> Option<RoutingRequest> {
        let shares = self
            .lanes
            .values_mut()
            .flat_map(|lane| lane.customers.values_mut());
        for share in shares {
            if let Some(at) = share.calls.iter().position(|c| c.call == call) {
                self.len -= 1;
                return share.calls.remove(at);
            }
        }
        None
    }

    /// Takes out the calls for which `out` holds.
    pub(super) fn remove_if(
        &mut self,
        out: impl Fn(&RoutingRequest) -> bool,
    ) -> Vec<RoutingRequest> {
        let matching = self.calls().filter(|c| out(c)).map(|c| c.call);
        let ids: Vec<u64> = matching.collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Number of waiting calls that start before a new one like `req`; none before one that ran.
    pub(super) fn ahead(&self, req: &RoutingRequest) -> usize {
        if req.attempts > 0 {
            return 0;
        }
        let higher = self.lanes.range(..Reverse(req.priority));
        let higher: usize = higher.map(|(_, lane)| lane.len()).sum();
        let Some(lane) = self.lanes.get(&Reverse(req.priority)) else {
            return higher;
        };
        let own = lane.customers.get(&req.customer);
        let own = own.map_or(0, |s| s.calls.len());
        let weight = u64::from(req.weight.max(1));
        let others = lane.customers.iter().filter(|(c, _)| **c != req.customer);
        let others = others.map(|(_, s)| {
            let turns = (own as u64 + 1) * s.weight.max(1) / weight;
            s.calls.len().min(turns as usize)
        });
        higher + own + others.sum::<usize>()
    }

    /// Takes out the newest call of the customer that has most waiting for its weight, out of the
    /// lowest priority, unless that one is higher than `priority`.
    pub(super) fn shed(&mut self, priority: u8) -> Option<RoutingRequest> {
        let mut lanes = self.lanes.iter_mut().rev();
        let (&Reverse(lowest), lane) = lanes.find(|(_, lane)| lane.len() > 0)?;
        if lowest > priority {
            return None;
        }
        let crowd = |s: &&mut Share| s.calls.len() as u64 * TOKEN_SHARE / s.weight.max(1);
        let largest = lane.customers.values_mut().max_by_key(crowd)?;
        self.len -= 1;
        largest.calls.pop_back()
    }

    /// All waiting calls.
    pub(super) fn calls(&self) -> impl Iterator<Item = &RoutingRequest> {
        self.lanes
            .values()
            .flat_map(|lane| lane.customers.values())
            .flat_map(|share| &share.calls)
    }
}

impl Lane {
    fn len(&self) -> usize {
        self.customers.values().map(|s| s.calls.len()).sum()
    }
}
