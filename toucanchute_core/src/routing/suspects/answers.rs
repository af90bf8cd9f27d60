use std::num::NonZeroUsize;

use lru::LruCache;
use toucanchute_proto::Millis;

use super::SuspectKey;

/// Number of parts that are recorded; the least recently answered one is dropped first.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Time for which a whole answer vouches for its parts, from the start of its attempt.
const VOUCH_TIME: Millis = Millis(15_000);

/// Parts of prompts that got whole answers, each with the latest start of such an attempt.
#[derive(Debug)]
pub(super) struct PartAnswers(LruCache<SuspectKey, Millis>);

impl Default for PartAnswers {
    fn default() -> PartAnswers {
        PartAnswers(LruCache::new(MAX_PARTS))
    }
}

impl PartAnswers {
    /// Records the whole answer of an attempt that started at `started`.
    pub(super) fn record(&mut self, key: SuspectKey, started: Millis) {
        let latest = self.0.get_or_insert_mut(key, || started);
        *latest = started.max(*latest);
    }

    /// Whether any whole answer is recorded.
    pub(super) fn contains(&self, key: SuspectKey) -> bool {
        self.0.contains(&key)
    }

    /// Whether an attempt that started a short time before `now` got a whole answer.
    pub(super) fn is_recent(&self, now: Millis, key: SuspectKey) -> bool {
        let latest = self.0.peek(&key);
        latest.is_some_and(|&started| now.since(started) < VOUCH_TIME)
    }
}
