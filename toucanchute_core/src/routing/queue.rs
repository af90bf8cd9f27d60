use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use super::{RoutingRequest, suspects::Rank};

/// Units of virtual time for one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Number of a customer's waiting calls that are considered before those of the next customer, of the calls
/// that are free to start and of the others each.
const CALLS_PER_CUSTOMER: usize = 4;

/// Calls that wait for a replica of one pool.
///
/// Calls of a higher priority go first. Within a priority, customers share by weighted fair
/// queueing over the tokens of the calls that started.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    levels: BTreeMap<Reverse<u8>, PriorityLevel>,
    len: usize,
}

/// Calls of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    customers: BTreeMap<String, CustomerQueue>,
    /// Normalized service of the customer that was served last; it only rises.
    virtual_time: u64,
}

/// Calls of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    /// Work started so far, divided by the weight. When a call arrives at an empty queue, it is
    /// raised to the level's virtual time.
    normalized_service: u64,
    weight: u64,
    calls: VecDeque<RoutingRequest>,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a call. A retry goes ahead of the other calls of its customer.
    pub(super) fn push(&mut self, req: RoutingRequest) {
        let level = self.levels.entry(Reverse(req.priority)).or_default();
        let virtual_time = level.virtual_time;
        let queue = level.customers.entry(req.customer.clone()).or_default();
        queue.weight = u64::from(req.weight.max(1));
        if queue.calls.is_empty() {
            queue.normalized_service = queue.normalized_service.max(virtual_time);
        }
        self.len += 1;
        match req.attempts {
            0 => queue.calls.push_back(req),
            _ => queue.calls.push_front(req),
        }
    }

    /// Returns the calls that may start next: by priority, then those of the customers with the
    /// least service so far. Calls for which `is_held` holds are left out. A customer's calls that are not
    /// free to start (`rank`) do not take the place of those that are, and of these the ones
    /// of the lowest rank go first.
    pub(super) fn candidates(
        &self,
        is_held: impl Fn(&RoutingRequest) -> bool,
        rank: impl Fn(&RoutingRequest) -> Rank,
    ) -> Vec<&RoutingRequest> {
        let mut candidates = Vec::new();
        for level in self.levels.values() {
            let waiting = level.customers.values().filter(|q| !q.calls.is_empty());
            let mut queues: Vec<&CustomerQueue> = waiting.collect();
            queues.sort_by_key(|q| q.normalized_service);
            for queue in queues {
                let calls = queue.calls.iter().filter(|c| !is_held(c));
                candidates.extend(first_of_each_kind(calls, &rank));
            }
        }
        candidates
    }

    /// Charges the tokens of a call that starts to its customer.
    pub(super) fn charge(&mut self, req: &RoutingRequest) {
        let Some(level) = self.levels.get_mut(&Reverse(req.priority)) else {
            return;
        };
        let Some(queue) = level.customers.get_mut(&req.customer) else {
            return;
        };
        level.virtual_time = level.virtual_time.max(queue.normalized_service);
        queue.normalized_service += req.tokens.max(1) * UNITS_PER_TOKEN / queue.weight;
    }

    pub(super) fn remove(&mut self, call: u64) -> Option<RoutingRequest> {
        let queues = self
            .levels
            .values_mut()
            .flat_map(|level| level.customers.values_mut());
        for queue in queues {
            if let Some(at) = queue.calls.iter().position(|c| c.call == call) {
                self.len -= 1;
                return queue.calls.remove(at);
            }
        }
        None
    }

    /// Removes and returns the calls for which `out` holds.
    pub(super) fn remove_if(
        &mut self,
        out: impl Fn(&RoutingRequest) -> bool,
    ) -> Vec<RoutingRequest> {
        let matching = self.calls().filter(|c| out(c)).map(|c| c.call);
        let ids: Vec<u64> = matching.collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the number of waiting calls that would start before `req`; 0 for a retry.
    pub(super) fn count_ahead(&self, req: &RoutingRequest) -> usize {
        if req.attempts > 0 {
            return 0;
        }
        let higher = self.levels.range(..Reverse(req.priority));
        let higher: usize = higher.map(|(_, level)| level.len()).sum();
        let Some(level) = self.levels.get(&Reverse(req.priority)) else {
            return higher;
        };
        let own = level.customers.get(&req.customer);
        let own = own.map_or(0, |q| q.calls.len());
        let weight = u64::from(req.weight.max(1));
        let others = level.customers.iter().filter(|(c, _)| **c != req.customer);
        let others = others.map(|(_, q)| {
            let turns = (own as u64 + 1) * q.weight.max(1) / weight;
            q.calls.len().min(turns as usize)
        });
        higher + own + others.sum::<usize>()
    }

    /// Removes and returns the newest call of the customer with the most waiting calls for its
    /// weight, in the lowest priority that has calls. Returns `None` if that priority is above
    /// `priority`.
    pub(super) fn shed(&mut self, priority: u8) -> Option<RoutingRequest> {
        let mut levels = self.levels.iter_mut().rev();
        let (&Reverse(lowest), level) = levels.find(|(_, level)| level.len() > 0)?;
        if lowest > priority {
            return None;
        }
        let weighted_len =
            |q: &&mut CustomerQueue| q.calls.len() as u64 * UNITS_PER_TOKEN / q.weight.max(1);
        let largest = level.customers.values_mut().max_by_key(weighted_len)?;
        self.len -= 1;
        largest.calls.pop_back()
    }

    /// Returns all waiting calls.
    pub(super) fn calls(&self) -> impl Iterator<Item = &RoutingRequest> {
        self.levels
            .values()
            .flat_map(|level| level.customers.values())
            .flat_map(|queue| &queue.calls)
    }
}

/// Returns the first [`CALLS_PER_CUSTOMER`] calls that are free to start and as many others, those of the
/// lowest rank.
fn first_of_each_kind<'a>(
    calls: impl Iterator<Item = &'a RoutingRequest>,
    rank: impl Fn(&RoutingRequest) -> Rank,
) -> Vec<&'a RoutingRequest> {
    let (mut free, mut others) = (Vec::new(), Vec::new());
    for call in calls {
        match rank(call) {
            Rank::Free => free.push(call),
            rank => others.push((rank, call)),
        }
        if free.len() >= CALLS_PER_CUSTOMER {
            break;
        }
    }
    others.sort_by_key(|(rank, _)| *rank);
    others.truncate(CALLS_PER_CUSTOMER);
    free.extend(others.into_iter().map(|(_, call)| call));
    free
}

impl PriorityLevel {
    fn len(&self) -> usize {
        self.customers.values().map(|q| q.calls.len()).sum()
    }
}
