use std::ops::RangeInclusive;

use lru::LruCache;
use toucanchute_proto::Millis;

use super::{CacheChange, CacheEvent};

/// Upper bound of the prefixes recorded for all replicas together.
const MAX_PREFIXES: usize = 131_072;

/// Smallest and largest number of prefixes recorded for one replica.
const PREFIXES_PER_REPLICA: RangeInclusive<usize> = 64..=8_192;

/// Number of cached blocks above which further ones do not affect the choice.
const MAX_COUNTED_BLOCKS: f64 = 32.0;

/// Factor on the value of a prefix whose eviction event may have been lost.
const UNCERTAIN_PREFIX_FACTOR: f64 = 0.5;

/// Prefixes that a replica probably has in its cache.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// When each prefix was last reported or assumed to be stored.
    stored: LruCache<u64, Millis>,
    /// Largest number of prefixes recorded.
    max_prefixes: usize,
    /// When events were last lost. Prefixes stored before may have been evicted since.
    gap_at: Option<Millis>,
}

impl PrefixCache {
    pub(super) fn new() -> PrefixCache {
        PrefixCache {
            stored: LruCache::unbounded(),
            max_prefixes: *PREFIXES_PER_REPLICA.end(),
            gap_at: None,
        }
    }

    /// Sets this replica's part of [`MAX_PREFIXES`] in a fleet of `replicas`.
    pub(super) fn set_replica_count(&mut self, replicas: usize) {
        let share = MAX_PREFIXES / replicas.max(1);
        self.max_prefixes = share.clamp(*PREFIXES_PER_REPLICA.start(), *PREFIXES_PER_REPLICA.end());
    }

    fn put(&mut self, now: Millis, prefix: u64) {
        self.stored.put(prefix, now);
        while self.stored.len() > self.max_prefixes {
            self.stored.pop_lru();
        }
    }

    pub(super) fn apply_events(&mut self, now: Millis, events: &[CacheEvent], gap: bool) {
        if gap {
            self.gap_at = Some(now);
        }
        for event in events {
            match event.change {
                CacheChange::Stored => self.put(now, event.prefix),
                CacheChange::Evicted => drop(self.stored.pop(&event.prefix)),
            }
        }
    }

    /// Records that a prompt was sent to the replica, which will probably store its prefixes.
    pub(super) fn record_prompt(&mut self, now: Millis, prefix: &[u64]) {
        for &p in prefix {
            self.put(now, p);
        }
    }

    /// Returns the number of the prompt's blocks that are probably cached, as a share of
    /// [`MAX_COUNTED_BLOCKS`] between 0 and 1.
    pub(super) fn cached_share(&self, prefix: &[u64]) -> f64 {
        let stored_at = |p: &u64| self.stored.peek(p).copied();
        let Some((at, stored)) = prefix
            .iter()
            .enumerate()
            .rev()
            .find_map(|(i, p)| Some((i, stored_at(p)?)))
        else {
            return 0.0;
        };
        let share = ((at + 1) as f64 / MAX_COUNTED_BLOCKS).min(1.0);
        match self.gap_at {
            Some(gap) if stored <= gap => share * UNCERTAIN_PREFIX_FACTOR,
            _ => share,
        }
    }
}
