//! Model of a replica: request slots, one prefill at a time, decoding that slows down with the
//! batch size, and a prefix cache.

use std::{collections::VecDeque, num::NonZeroUsize};

use lru::LruCache;
use toucanchute_core::routing::{CacheChange, CacheEvent};

use crate::workload::{BLOCK, Work};

/// Number of requests that run at once.
pub(crate) const SLOTS: usize = 16;

/// Time of one decoding step with an empty batch, in microseconds.
const STEP_US: f64 = 12_000.0;

/// Time that each request in the batch adds to a step, in microseconds.
const STEP_US_PER_REQUEST: f64 = 500.0;

/// Time to prefill one token, in microseconds.
const PREFILL_US: f64 = 125.0;

/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: NonZeroUsize = NonZeroUsize::new(1_200).unwrap();

pub(crate) struct Engine {
    pub(crate) slowdown: f64,
    pub(crate) waiting: VecDeque<usize>,
    pub(crate) running: usize,
    /// End of the last prefill, in microseconds.
    prefill_until: u64,
    cache: LruCache<u64, ()>,
    /// Changes of the cache that have not been reported yet.
    pub(crate) pending_events: Vec<CacheEvent>,
}

impl Engine {
    pub(crate) fn new(slowdown: f64) -> Engine {
        Engine {
            slowdown,
            waiting: VecDeque::new(),
            running: 0,
            prefill_until: 0,
            cache: LruCache::new(CACHE_BLOCKS),
            pending_events: Vec::new(),
        }
    }

    /// Starts a prefill; returns the time of the first token, in microseconds.
    pub(crate) fn prefill(&mut self, now: u64, work: &Work) -> u64 {
        self.running += 1;
        let hits = work
            .prefix
            .iter()
            .take_while(|&b| self.cache.contains(b))
            .count() as u64;
        let missing = work.prompt - hits * BLOCK;
        let span = missing as f64 * PREFILL_US * self.slowdown;
        self.prefill_until = self.prefill_until.max(now) + span as u64 + self.step();
        for &prefix in &work.prefix {
            if let Some((evicted, ())) = self.cache.push(prefix, ()).filter(|(b, ())| *b != prefix)
            {
                let change = CacheChange::Evicted;
                self.pending_events.push(CacheEvent {
                    prefix: evicted,
                    change,
                });
            }
            let change = CacheChange::Stored;
            self.pending_events.push(CacheEvent { prefix, change });
        }
        self.prefill_until
    }

    /// Returns the time of one decoding step, in microseconds.
    pub(crate) fn step(&self) -> u64 {
        ((STEP_US + STEP_US_PER_REQUEST * self.running as f64) * self.slowdown) as u64
    }
}
