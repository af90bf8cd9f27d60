use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis, RequestRate};

use super::{MIN_RATE, asks::USE_TIME};

/// Time without permits after a router has become the issuer of a backend server. It is longer than
/// the other routers take to learn of the change.
const TAKEOVER_TIME: Millis = Millis(1_000);

/// Window in which at most `rate x WINDOW + 1` requests are to reach a backend server.
const WINDOW: Millis = Millis(4_000);

/// Time in which a limit allows the part of a bucket's capacity beyond one permit.
const BURST_TIME: Millis = Millis(125);

/// Largest part of a bucket's capacity beyond one permit.
const MAX_EXTRA_BURST: f64 = 1.0;

/// Largest number of permits that a bucket holds.
pub(in crate::routing) const MAX_BUCKET: f64 = 1.0 + MAX_EXTRA_BURST;

/// Time for which a router counts as one that asks for permits, after its permit or the time at
/// which it may ask again.
const ASKER_TIME: Millis = Millis(2_000);

/// Time after which a bucket that nobody asks is removed.
const IDLE_TIME: Millis = Millis(60_000);

/// Issues permits to send requests to backend servers that named a rate limit.
#[derive(Debug, Default)]
pub(in crate::routing) struct PermitIssuer {
    buckets: BTreeMap<String, Bucket>,
}

/// Result of an ask for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::routing) enum Decision {
    /// The permit may be used after this delay.
    Granted(Millis),
    /// The same ask can be granted after this time.
    Denied(Millis),
}

/// Token bucket of one backend server.
#[derive(Debug)]
struct Bucket {
    /// Permits that may be granted. Negative while permits are granted ahead of their time.
    level: f64,
    /// Time for which `level` holds.
    as_of: Millis,
    /// Time until which each router counts as one that asks.
    askers: BTreeMap<Incarnation, Millis>,
}

impl PermitIssuer {
    /// Decides on a permit for a request of router `from` that can wait for `max_delay`; returns
    /// the number of routers that asked lately too.
    pub(in crate::routing) fn decide(
        &mut self,
        now: Millis,
        backend: &str,
        rate: RequestRate,
        max_delay: Millis,
        from: Incarnation,
    ) -> (Decision, u32) {
        let size = BucketSize::new(rate);
        let bucket = self.bucket(now, backend, size);
        bucket.refill(now, size);
        let decision = bucket.take(size, max_delay);
        let (Decision::Granted(wait) | Decision::Denied(wait)) = decision;
        let askers = bucket.record_asker(now, from, now + wait + ASKER_TIME);
        (decision, askers)
    }

    /// Starts to issue permits of a backend server, unless this router does already.
    pub(in crate::routing) fn open(&mut self, now: Millis, backend: &str, rate: RequestRate) {
        self.bucket(now, backend, BucketSize::new(rate));
    }

    fn bucket(&mut self, now: Millis, backend: &str, size: BucketSize) -> &mut Bucket {
        if !self.buckets.contains_key(backend) {
            self.buckets.retain(|_, b| now.since(b.as_of) < IDLE_TIME);
        }
        let bucket = self.buckets.entry(backend.to_owned());
        bucket.or_insert_with(|| Bucket::new(now, size))
    }

    /// Takes back a permit that was not used.
    pub(in crate::routing) fn release(&mut self, backend: &str) {
        if let Some(bucket) = self.buckets.get_mut(backend) {
            bucket.level += 1.0;
        }
    }

    /// Removes the bucket of a backend server whose limit has ended.
    pub(in crate::routing) fn forget(&mut self, backend: &str) {
        self.buckets.remove(backend);
    }

    /// Removes the buckets of the backend servers for which `keep` does not hold.
    pub(in crate::routing) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|backend, _| keep(backend));
    }
}

/// Size of a token bucket.
#[derive(Clone, Copy, Debug)]
struct BucketSize {
    /// Permits that the bucket gains in one millisecond.
    per_ms: f64,
    capacity: f64,
}

impl BucketSize {
    /// Returns the size with which at most `rate x WINDOW + 1` requests reach the server in any
    /// window.
    ///
    /// Permits granted up to [`USE_TIME`] before a window may be used in it. Those are at most
    /// the capacity and what the bucket gains in both times together.
    fn new(rate: RequestRate) -> BucketSize {
        let allowed_per_ms = rate.max(MIN_RATE).per_second() / 1_000.0;
        let extra = (allowed_per_ms * BURST_TIME.0 as f64).min(MAX_EXTRA_BURST);
        let in_window = allowed_per_ms * WINDOW.0 as f64;
        BucketSize {
            per_ms: (in_window - extra) / (WINDOW + USE_TIME).0 as f64,
            capacity: 1.0 + extra,
        }
    }
}

/// Returns the permits that are granted in one second of a server with this limit.
pub(super) fn granted_per_second(rate: RequestRate) -> f64 {
    BucketSize::new(rate).per_ms * 1_000.0
}

impl Bucket {
    /// Creates a bucket whose first permit is due after [`TAKEOVER_TIME`].
    fn new(now: Millis, size: BucketSize) -> Bucket {
        Bucket {
            level: 1.0 - size.per_ms * TAKEOVER_TIME.0 as f64,
            as_of: now,
            askers: BTreeMap::new(),
        }
    }

    fn refill(&mut self, now: Millis, size: BucketSize) {
        let gained = size.per_ms * now.since(self.as_of).0 as f64;
        self.level = (self.level + gained).min(size.capacity);
        self.as_of = self.as_of.max(now);
    }

    fn take(&mut self, size: BucketSize, max_delay: Millis) -> Decision {
        let missing = (1.0 - self.level).max(0.0);
        let delay = Millis((missing / size.per_ms).ceil() as u64);
        if delay > max_delay {
            return Decision::Denied(delay - max_delay);
        }
        self.level -= 1.0;
        Decision::Granted(delay)
    }

    /// Counts a router as one that asks until this time; returns the number of such routers.
    fn record_asker(&mut self, now: Millis, from: Incarnation, until: Millis) -> u32 {
        self.askers.retain(|_, until| *until > now);
        self.askers.insert(from, until);
        u32::try_from(self.askers.len()).unwrap_or(u32::MAX)
    }
}
