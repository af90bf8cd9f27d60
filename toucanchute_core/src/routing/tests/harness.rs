//! One dispatcher, driven step by step.

use std::collections::BTreeSet;

use toucanchute_proto::{AttemptId, Incarnation, Millis, fleet::Load};

use super::simulation::{assign, config};
use crate::routing::{Action, AttemptReport, Dispatcher, Event, RefusalReason, RoutingRequest};

/// A dispatcher in failure domain d0 and its actions.
pub(super) struct Harness {
    pub(super) dispatcher: Dispatcher,
    pub(super) out: Vec<Action>,
}

/// A deadline that no test reaches.
pub(super) const NEVER: Millis = Millis(1_000_000);

impl Harness {
    pub(super) fn new(replicas: usize, concurrency: u32) -> Harness {
        let dispatcher = Dispatcher::new(Incarnation(1), "d0", 1);
        let mut harness = Harness {
            dispatcher,
            out: Vec::new(),
        };
        harness.configure(0, replicas, concurrency, &[]);
        harness
    }

    pub(super) fn configure(
        &mut self,
        now: u64,
        replicas: usize,
        concurrency: u32,
        withdrawn: &[&str],
    ) {
        let config = config(replicas, concurrency).into();
        let withdrawn: BTreeSet<String> = withdrawn.iter().map(|&n| n.to_owned()).collect();
        self.handle(now, Event::Configure { config, withdrawn });
    }

    pub(super) fn handle(&mut self, now: u64, event: Event) {
        self.dispatcher.handle(Millis(now), event, &mut self.out);
    }

    pub(super) fn report(&mut self, now: u64, attempt: AttemptId, report: AttemptReport) {
        self.handle(now, Event::Report { attempt, report });
    }

    /// Sends a call; returns its attempt and replica if it starts at once.
    pub(super) fn call(&mut self, now: u64, req: RoutingRequest) -> Option<(AttemptId, String)> {
        self.out.clear();
        self.handle(now, Event::Assign(req));
        self.started()
            .pop()
            .map(|(_, attempt, backend)| (attempt, backend))
    }

    pub(super) fn started(&self) -> Vec<(u64, AttemptId, String)> {
        let started = self.out.iter().filter_map(|a| match a {
            Action::Assigned {
                call,
                attempt,
                backend,
                ..
            } => Some((*call, *attempt, backend.clone())),
            _ => None,
        });
        started.collect()
    }

    pub(super) fn refused(&self) -> Option<RefusalReason> {
        self.out.iter().find_map(|a| match a {
            Action::Refused { reason, .. } => Some(*reason),
            _ => None,
        })
    }

    pub(super) fn load(&mut self, now: u64, backend: &str, running: u32) {
        let backend = backend.to_owned();
        let (waiting, capacity, kv_used, as_of) = (0, 16, 0, Millis(now));
        let load = Load {
            backend,
            running,
            waiting,
            capacity,
            kv_used,
            polled: true,
            pace_percent: None,
            token_time_us: None,
            as_of,
        };
        self.handle(now, Event::Load(load));
    }
}

/// Returns the request of a call without a deadline.
pub(super) fn request(call: u64) -> RoutingRequest {
    RoutingRequest {
        prefix: Vec::new(),
        ..assign(call, 0, 10, NEVER)
    }
}
