use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
};

use super::RoutingRequest;

/// Units of virtual time for one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

/// Waiting calls of one customer that are looked at before the next customer'q.
const CALLS_PER_CUSTOMER: usize = 4;

/// Calls that wait for a replica of one pool.
///
/// Higher priorities go first; within one, customers queue by weighted fair queueing over the
/// tokens of what started.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    levels: BTreeMap<Reverse<u8>, PriorityLevel>,
    len: usize,
}

/// Calls of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    customers: BTreeMap<String, CustomerQueue>,
    /// Virtual time of the customer served last; it only rises.
    virtual_time: u64,
}

/// Calls of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    /// Work started so far divided by weight, not behind the level's virtual_time when work arrives.
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

    /// Adds a call; one that ran before goes ahead of its customer's others.
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

    /// Returns the calls that may go next, the fairest first.
    pub(super) fn candidates(&self) -> Vec<&RoutingRequest> {
        let mut candidates = Vec::new();
        for level in self.levels.values() {
            let waiting = level.customers.values().filter(|q| !q.calls.is_empty());
            let mut queues: Vec<&CustomerQueue> = waiting.collect();
            queues.sort_by_key(|q| q.normalized_service);
            candidates.extend(
                queues
                    .iter()
                    .flat_map(|q| q.calls.iter().take(CALLS_PER_CUSTOMER)),
            );
        }
        candidates
    }

    /// Counts a call that starts against its customer.
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

    /// Takes out the newest call of the customer that has most waiting for its weight, out of the
    /// lowest priority, unless that one is higher than `priority`.
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

    /// All waiting calls.
    pub(super) fn calls(&self) -> impl Iterator<Item = &RoutingRequest> {
        self.levels
            .values()
            .flat_map(|level| level.customers.values())
            .flat_map(|queue| &queue.calls)
    }
}

impl PriorityLevel {
    fn len(&self) -> usize {
        self.customers.values().map(|q| q.calls.len()).sum()
    }
}
