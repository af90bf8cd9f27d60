use std::ops::RangeInclusive;

use lru::LruCache;
use toucanchute_proto::Millis;

use super::{CacheChange, CacheEvent};

/// Prefixes remembered of all replicas together.
const MAX_PREFIXES: usize = 131_072;

/// Most and fewest prefixes remembered of one replica.
const PREFIXES_PER_REPLICA: RangeInclusive<usize> = 64..=8_192;

/// Cached blocks beyond which more make no difference to the choice.
const MAX_COUNTED_BLOCKS: f64 = 32.0;

/// Worth of a prefix whose eviction may have been missed.
const UNCERTAIN_PREFIX_FACTOR: f64 = 0.5;

/// Prefixes that a replica probably has in its cache.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// When each prefix was last said to be stored.
    stored: LruCache<u64, Millis>,
    /// Most prefixes stored.
    max_prefixes: usize,
    /// When events were last lost; what was stored before is doubtful.
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

    /// Sets the share of this replica in a fleet of `replicas`.
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

    /// Takes in that a prompt was sent to the replica.
    pub(super) fn record_prompt(&mut self, now: Millis, prefix: &[u64]) {
        for &p in prefix {
            self.put(now, p);
        }
    }

    /// Blocks of the prompt that are probably cached, as a share of [`MAX_COUNTED_BLOCKS`] up to 1.
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
