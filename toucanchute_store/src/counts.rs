use std::sync::atomic::{AtomicU64, Ordering};

use crate::WriteEffect;

/// Kinds of calls to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads of keys.
    Read,
    /// Writes, compare-and-swaps and deletions.
    Write,
    /// Grants, extensions and ends of leases.
    Lease,
    /// Watches, a connection each.
    Watch,
    /// Reads of the host list.
    Hosts,
}

/// Numbers of calls since the start; a failed call counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of keys.
    pub reads: u64,
    /// Writes, compare-and-swaps and deletions.
    pub writes: u64,
    /// Grants, extensions and ends of leases.
    pub leases: u64,
    /// Watches, a connection each.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Calls that failed and provably took no effect.
    pub not_applied: u64,
    /// Calls that failed and may have taken effect.
    pub unknown: u64,
}

/// Counters behind [`CallCounts`], for a client of the platform.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    hosts: AtomicU64,
    not_applied: AtomicU64,
    unknown: AtomicU64,
}

impl CallCounters {
    /// Counts a call.
    pub fn count_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Lease => &self.leases,
            CallKind::Watch => &self.watches,
            CallKind::Hosts => &self.hosts,
        };
        increment(counter);
    }

    /// Counts a call that failed.
    pub fn count_failure(&self, effect: WriteEffect) {
        increment(match effect {
            WriteEffect::NotApplied => &self.not_applied,
            WriteEffect::Unknown => &self.unknown,
        });
    }

    /// Returns the numbers so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            hosts: self.hosts.load(Ordering::Relaxed),
            not_applied: self.not_applied.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
        }
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
