//! Load reports of backend servers on their way between routers.

use std::{cmp::Reverse, collections::BTreeMap};

use toucanchute_proto::{
    Millis,
    fleet::{Load, SharedLoad},
};

/// Most load reports in one message.
const MAX_LOADS: usize = 8;

/// Number of messages in which a router passes on a report.
const COPIES: u32 = 2;

/// Number of messages in which the router that got the report sends it.
const FIRST_COPIES: u32 = 4;

/// Most routers that pass on a report one after another. It ends the way of a report whose age is
/// understated because it was held up between routers.
const MAX_HOPS: u32 = 6;

/// Age up to which a report is sent.
const MAX_AGE: Millis = Millis(1_000);

/// Time by which a report has to be newer than the known one to replace it. Copies of one report differ by
/// what they took on their ways.
const TOLERANCE: Millis = Millis(20);

/// Time for which the newest report of a backend server is remembered.
const RETENTION: Millis = Millis(60_000);

/// Newest load report of each backend server.
#[derive(Debug, Default)]
pub(super) struct LoadRumors {
    loads: BTreeMap<String, LoadRumor>,
}

#[derive(Debug)]
struct LoadRumor {
    load: Load,
    hops: u32,
    /// Number of messages that still have to carry it.
    remaining: u32,
}

impl LoadRumors {
    /// Adds a report that this router got itself, unless a newer one is known; returns whether it did.
    pub(super) fn add_own(&mut self, load: &Load) -> bool {
        self.add(load.clone(), 0, FIRST_COPIES, Millis(0))
    }

    /// Returns a report from another router by this router's clock, unless it is known.
    pub(super) fn add_shared(&mut self, now: Millis, shared: SharedLoad) -> Option<Load> {
        let SharedLoad {
            mut load,
            age,
            hops,
        } = shared;
        load.as_of = now - age;
        let copies = if hops < MAX_HOPS { COPIES } else { 0 };
        let is_new = self.add(load.clone(), hops, copies, TOLERANCE);
        is_new.then_some(load)
    }

    /// Returns the reports for the next message, youngest first.
    pub(super) fn take(&mut self, now: Millis) -> Vec<SharedLoad> {
        let is_due = |r: &&mut LoadRumor| r.remaining > 0 && now.since(r.load.as_of) <= MAX_AGE;
        let mut due: Vec<_> = self.loads.values_mut().filter(is_due).collect();
        due.sort_by_key(|r| Reverse(r.load.as_of));
        due.truncate(MAX_LOADS);
        let mut shared = Vec::with_capacity(due.len());
        for rumor in due {
            rumor.remaining -= 1;
            shared.push(SharedLoad {
                load: rumor.load.clone(),
                age: now.since(rumor.load.as_of),
                hops: rumor.hops + 1,
            });
        }
        shared
    }

    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.loads
            .retain(|_, r| now.since(r.load.as_of) < RETENTION);
    }

    fn add(&mut self, load: Load, hops: u32, remaining: u32, tolerance: Millis) -> bool {
        let newest = self.loads.get(&load.backend).map(|r| r.load.as_of);
        if newest.is_some_and(|at| load.as_of <= at + tolerance) {
            return false;
        }
        let name = load.backend.clone();
        let rumor = LoadRumor {
            load,
            hops,
            remaining,
        };
        self.loads.insert(name, rumor);
        true
    }
}
