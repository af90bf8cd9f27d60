use std::sync::atomic::{AtomicU64, Ordering};

use crate::WriteEffect;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads of keys.
    Read,
    /// Writes, compare-and-swaps and deletions.
    Write,
    /// Grants, renewals and revocations of leases.
    Lease,
    /// Requests that open a watch; a watch that reconnects counts again.
    Watch,
    /// Reads of the host list.
    Hosts,
}

/// Numbers of calls since the client was created. A failed call is counted both by its kind and by
/// its effect; a call that is sent to several endpoints is counted once for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of keys.
    pub reads: u64,
    /// Writes, compare-and-swaps and deletions.
    pub writes: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Requests that open a watch; a watch that reconnects counts again.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Failed calls that provably had no effect.
    pub not_applied: u64,
    /// Failed calls that may have taken effect.
    pub unknown: u64,
}

/// Atomic counters from which a client of the platform reads its [`CallCounts`].
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
    /// Counts a call of `kind`.
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

    /// Counts a failed call by its effect; [`CallCounters::count_call`] has counted it by its kind.
    pub fn count_failure(&self, effect: WriteEffect) {
        increment(match effect {
            WriteEffect::NotApplied => &self.not_applied,
            WriteEffect::Unknown => &self.unknown,
        });
    }

    /// Returns the current values of all counters.
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
