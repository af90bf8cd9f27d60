use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::Serialize;

/// Size of a block of a prompt, in bytes.
const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks of a prompt that are cached.
const MAX_PROMPT_BLOCKS: usize = 32;
/// Maximum number of events that are stored for readers.
const MAX_EVENTS: usize = 4096;

/// Cache of prompt prefixes with a limited capacity, and the events of stored and evicted prefixes.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    lag_ms: u64,
    /// Each event whose number is a multiple of this is dropped; zero drops none.
    drop_interval: u64,
    /// Number of uses so far, from which the least recently used prefix is determined.
    use_count: u64,
    prefixes: BTreeMap<u64, Prefix>,
    seq: u64,
    events: VecDeque<Event>,
}

#[derive(Debug)]
struct Prefix {
    last_used: u64,
    /// Imported contents; if empty, [`Cache::export`] generates them.
    contents: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
struct Event {
    seq: u64,
    kind: EventKind,
    prefix: String,
    #[serde(skip)]
    visible_ms: u64,
}

/// Response to `GET /v1/cache-events`.
#[derive(Debug, Serialize)]
pub(super) struct EventPage {
    next: u64,
    events: Vec<Event>,
}

impl Cache {
    pub(super) fn new(limit: usize, lag_ms: u64, drop_interval: u64) -> Cache {
        Cache {
            limit: limit.max(1),
            lag_ms,
            drop_interval,
            use_count: 0,
            prefixes: BTreeMap::new(),
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the share of the capacity that is in use, from 0 to 1.
    pub(super) fn used_share(&self) -> f64 {
        self.prefixes.len() as f64 / self.limit as f64
    }

    /// Caches the blocks of a prompt. Returns the number of blocks that were not cached before.
    pub(super) fn cache_prompt(&mut self, now_ms: u64, prompt: &str) -> usize {
        let hashes = prefix_hashes(prompt.as_bytes());
        let cached = hashes
            .iter()
            .take_while(|hash| self.prefixes.contains_key(hash));
        let cached = cached.count();
        for &hash in &hashes {
            self.import(now_ms, hash, Bytes::new());
        }
        hashes.len() - cached
    }

    /// Returns the contents of a cached prefix.
    pub(super) fn export(&mut self, prefix: u64) -> Option<Bytes> {
        let prefix_entry = self.prefixes.get(&prefix)?;
        let synthetic = || Bytes::from(format!("kv {prefix:016x}"));
        Some(match prefix_entry.contents.is_empty() {
            true => synthetic(),
            false => prefix_entry.contents.clone(),
        })
    }

    /// Caches a prefix. The contents of a cached prefix are not replaced.
    pub(super) fn import(&mut self, now_ms: u64, prefix: u64, contents: Bytes) {
        self.use_count += 1;
        let last_used = self.use_count;
        if let Some(prefix_entry) = self.prefixes.get_mut(&prefix) {
            prefix_entry.last_used = last_used;
            return;
        }
        if self.prefixes.len() >= self.limit {
            self.evict(now_ms);
        }
        self.prefixes.insert(
            prefix,
            Prefix {
                last_used,
                contents,
            },
        );
        self.push_event(now_ms, EventKind::Stored, prefix);
    }

    fn evict(&mut self, now_ms: u64) {
        let least_recent = self
            .prefixes
            .iter()
            .min_by_key(|(_, prefix)| prefix.last_used);
        if let Some((&prefix, _)) = least_recent {
            self.prefixes.remove(&prefix);
            self.push_event(now_ms, EventKind::Evicted, prefix);
        }
    }

    fn push_event(&mut self, now_ms: u64, kind: EventKind, prefix: u64) {
        self.seq += 1;
        if self.drop_interval > 0 && self.seq.is_multiple_of(self.drop_interval) {
            return;
        }
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            prefix: format!("{prefix:016x}"),
            visible_ms: now_ms + self.lag_ms,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events after number `after`.
    pub(super) fn events(&self, now_ms: u64, after: u64) -> EventPage {
        let visible = self.events.iter().filter(|e| e.visible_ms <= now_ms);
        let events: Vec<Event> = visible.filter(|e| e.seq > after).cloned().collect();
        let next = events.last().map_or(after, |e| e.seq);
        EventPage { next, events }
    }
}

/// Returns the chained hashes of the leading complete blocks of a prompt.
fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS);
    let chain = blocks.scan(0_u64, |previous, block| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous.to_be_bytes());
        hasher.update(block);
        let hash = hasher.finalize();
        let (head, _) = hash.as_bytes().split_at(8);
        *previous = head.iter().fold(0, |sum, &b| sum << 8 | u64::from(b));
        Some(*previous)
    });
    chain.collect()
}
