use std::collections::BTreeMap;

use toucanchute_proto::{
    Incarnation, Millis, RequestRate,
    fleet::{BackendHint, HintedState},
};

/// Number of backend servers whose limits are recorded; those that were learned first are removed
/// first.
const MAX_BACKENDS: usize = 1_024;

/// Limits of backend servers, as this router knows them from answers and from other routers.
///
/// A name belongs to one process of a backend server; its successor has another name.
#[derive(Debug, Default)]
pub(in crate::routing) struct KnownLimits(BTreeMap<String, Record>);

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::routing) struct KnownLimit {
    pub(in crate::routing) rate: RequestRate,
    /// Router whose answer named it.
    pub(in crate::routing) router: Incarnation,
}

/// What is known about the limit of one backend server.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// The limit; absent once it has ended.
    rate: Option<RequestRate>,
    /// When the server was first known to be limited.
    begun_at: Millis,
    /// When this router learned of the present state. Answers to requests that were sent before do
    /// not end or raise the limit.
    learned_at: Millis,
    /// Rises with each change that any router sees.
    version: u64,
    /// Router that saw the last change.
    router: Incarnation,
}

impl KnownLimits {
    pub(in crate::routing) fn get(&self, backend: &str) -> Option<KnownLimit> {
        let record = self.0.get(backend)?;
        let router = record.router;
        record.rate.map(|rate| KnownLimit { rate, router })
    }

    /// Returns the names of the limited servers.
    pub(in crate::routing) fn names(&self) -> impl Iterator<Item = &str> {
        let limited = self.0.iter().filter(|(_, r)| r.rate.is_some());
        limited.map(|(name, _)| name.as_str())
    }

    /// Returns the time since the server was first known to be limited.
    pub(in crate::routing) fn age(&self, now: Millis, backend: &str) -> Millis {
        let record = self.0.get(backend);
        record.map_or(Millis(0), |r| now.since(r.begun_at))
    }

    /// Returns the hint for other routers.
    pub(in crate::routing) fn hint(&self, backend: &str) -> Option<BackendHint> {
        let record = self.0.get(backend)?;
        Some(BackendHint {
            backend: backend.to_owned(),
            state: match record.rate {
                Some(_) => HintedState::RateLimited,
                None => HintedState::Unlimited,
            },
            rate: record.rate,
            version: record.version,
            router: record.router,
        })
    }

    /// Records a limit named in the answer to a request that this router sent at `sent`; returns
    /// whether that changed the limit.
    ///
    /// An answer to a request that was sent before the present limit was known may lower the limit
    /// only.
    pub(in crate::routing) fn record_named(
        &mut self,
        now: Millis,
        me: Incarnation,
        backend: &str,
        rate: RequestRate,
        sent: Option<Millis>,
    ) -> bool {
        let changes = self.0.get(backend).is_none_or(|old| match old.rate {
            None => true,
            Some(old_rate) => rate < old_rate || rate > old_rate && old.precedes(sent),
        });
        if changes {
            self.set(now, me, backend, Some(rate));
        }
        changes
    }

    /// Records that an answer named no limit; returns whether that ended the limit.
    pub(in crate::routing) fn record_absent(
        &mut self,
        now: Millis,
        me: Incarnation,
        backend: &str,
        sent: Option<Millis>,
    ) -> bool {
        let old = self.0.get(backend);
        let ends = old.is_some_and(|old| old.rate.is_some() && old.precedes(sent));
        if ends {
            self.set(now, me, backend, None);
        }
        ends
    }

    /// Applies a hint unless one with the same or a greater version is known; returns whether that
    /// changed the limit.
    pub(in crate::routing) fn apply_hint(&mut self, now: Millis, hint: &BackendHint) -> bool {
        let old = self.0.get(&hint.backend).copied();
        let rank = (hint.version, hint.router);
        if old.is_some_and(|old| (old.version, old.router) >= rank) {
            return false;
        }
        let rate = hint.rate.filter(|_| hint.state == HintedState::RateLimited);
        let old_rate = old.and_then(|old| old.rate);
        let begun_at = old.filter(|_| old_rate.is_some());
        let record = Record {
            rate,
            begun_at: begun_at.map_or(now, |old| old.begun_at),
            learned_at: now,
            version: hint.version,
            router: hint.router,
        };
        self.insert(&hint.backend, record);
        rate != old_rate
    }

    fn set(&mut self, now: Millis, me: Incarnation, backend: &str, rate: Option<RequestRate>) {
        let old = self.0.get(backend).copied();
        let begun_at = old.filter(|old| old.rate.is_some());
        let record = Record {
            rate,
            begun_at: begun_at.map_or(now, |old| old.begun_at),
            learned_at: now,
            version: old.map_or(0, |old| old.version) + 1,
            router: me,
        };
        self.insert(backend, record);
    }

    fn insert(&mut self, backend: &str, record: Record) {
        self.0.insert(backend.to_owned(), record);
        if self.0.len() > MAX_BACKENDS {
            let oldest = self.0.iter().min_by_key(|(_, r)| r.learned_at);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.0.remove(&name));
        }
    }
}

impl Record {
    /// Whether a request was sent after this state was known.
    fn precedes(&self, sent: Option<Millis>) -> bool {
        sent.is_some_and(|sent| sent >= self.learned_at)
    }
}
