use std::collections::{BTreeMap, BTreeSet};

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use toucanchute_proto::{AttemptId, Incarnation, Millis, fleet::Verdict};

use super::{
    Action, Event, RefusalReason, RoutingRequest, Target,
    attempts::Attempt,
    availability::Availability,
    cold::ColdNotices,
    evacuation::Evacuation,
    fault::Fault,
    notices::{LeavingBackends, SavedBackoffs},
    pool::{BackendKey, Pool, PoolKey},
    rate_limit::{IssuerChoice, KnownLimits, PermitAsks, PermitIssuer},
    replica::Replica,
    suspects::{Permit, Survivors, Suspects},
};

/// Bounds of the retry time in a refusal.
const RETRY_AFTER: (Millis, Millis) = (Millis(200), Millis(30_000));

/// Time after which to retry a request that no backend server may get. An operator or a new server
/// has to change that.
const UNSERVABLE_RETRY_AFTER: Millis = Millis(1_000);

/// Chooses a backend server for each request of one router.
///
/// ```
/// use toucanchute_core::routing::{Action, Dispatcher, Event};
/// use toucanchute_proto::{Incarnation, Millis};
///
/// let mut dispatcher = Dispatcher::new(Incarnation(1), "bilbao", 7);
/// let mut out: Vec<Action> = Vec::new();
/// dispatcher.handle(Millis(0), Event::Tick, &mut out);
/// assert!(out.is_empty());
/// ```
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) incarnation: Incarnation,
    pub(super) domain: String,
    pub(super) last_attempt: u64,
    /// Whether a configuration was applied. Replicas that are added by later ones start slowly.
    pub(super) configured: bool,
    pub(super) queue_limit: usize,
    pub(super) pools: SlotMap<PoolKey, Pool>,
    pub(super) replicas: SlotMap<BackendKey, Replica>,
    /// Keys by name, one for each entry of `replicas`.
    pub(super) keys_by_name: BTreeMap<String, BackendKey>,
    pub(super) withdrawn: BTreeSet<String>,
    pub(super) evacuation: Evacuation,
    /// Regions by failure domain.
    pub(super) regions: BTreeMap<String, String>,
    pub(super) targets: BTreeMap<Target, PoolKey>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) suspects: Suspects,
    /// Names of backend servers that announced that they are leaving.
    pub(super) leaving: LeavingBackends,
    /// Backoffs of backend servers that are not among `replicas`.
    pub(super) saved_backoffs: SavedBackoffs,
    /// Rate limits that backend servers named.
    pub(super) known_limits: KnownLimits,
    pub(super) issuers: IssuerChoice,
    /// Permits that this router issues to others and to itself.
    pub(super) permit_issuer: PermitIssuer,
    /// Permits for cold backend servers that this router issues to others and to itself.
    pub(super) cold_issuer: PermitIssuer,
    pub(super) cold_notices: ColdNotices,
    /// Permits that this router has or has asked for.
    pub(super) permit_asks: PermitAsks,
    pub(super) rng: SmallRng,
    #[cfg(test)]
    pub(super) fault: Option<Fault>,
}

impl Dispatcher {
    /// Longest interval between two [`Event::Tick`]s while calls wait.
    pub const MAX_TICK_INTERVAL: Millis = Millis(50);

    /// Creates a dispatcher for the router `incarnation` in failure domain `domain`.
    ///
    /// `seed` determines its random choices.
    #[must_use]
    pub fn new(incarnation: Incarnation, domain: &str, seed: u64) -> Dispatcher {
        Dispatcher {
            incarnation,
            domain: domain.to_owned(),
            last_attempt: 0,
            configured: false,
            queue_limit: 0,
            pools: SlotMap::with_key(),
            replicas: SlotMap::with_key(),
            keys_by_name: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            evacuation: Evacuation::default(),
            regions: BTreeMap::new(),
            targets: BTreeMap::new(),
            attempts: BTreeMap::new(),
            suspects: Suspects::new(incarnation),
            leaving: LeavingBackends::default(),
            saved_backoffs: SavedBackoffs::default(),
            known_limits: KnownLimits::default(),
            issuers: IssuerChoice::new(incarnation),
            permit_issuer: PermitIssuer::default(),
            cold_issuer: PermitIssuer::default(),
            cold_notices: ColdNotices::default(),
            permit_asks: PermitAsks::default(),
            rng: SmallRng::seed_from_u64(seed),
            #[cfg(test)]
            fault: None,
        }
    }

    /// Handles one event at time `now` and pushes the resulting actions to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.suspects.observe(now);
        match event {
            Event::Configure { config, withdrawn } => {
                self.withdrawn.clone_from(&withdrawn);
                self.configure(now, &config, &withdrawn);
                self.set_configured_evacuations(now, &config.evacuated_domains, out);
                self.refuse_unservable(out);
            }
            Event::Evacuate(domains) => self.set_ordered_evacuations(now, domains, out),
            Event::Assign(req) => self.admit(now, req, out),
            Event::Abandon { call } => self.abandon(call),
            Event::Report { attempt, report } => self.handle_report(now, attempt, report, out),
            Event::Notice { backend, notice } => self.apply_notice(now, &backend, notice, out),
            Event::RegistrationLapsed { backend } => self.record_lapse(now, &backend, out),
            Event::OwnLoad(load) => self.apply_own_load(now, load, out),
            Event::Load(load) => self.apply_load(now, &load),
            Event::CacheEvents {
                backend,
                events,
                gap,
            } => {
                if let Some(&key) = self.keys_by_name.get(&backend) {
                    self.replicas[key].cache.apply_events(now, &events, gap);
                }
            }
            Event::Verdict(v) => self.apply_verdict(now, &v, out),
            Event::Hint(hint) => self.apply_hint(now, &hint, out),
            Event::PermitMessage { from, message } => {
                self.handle_permit_message(now, from, message, out);
            }
            Event::Fleet(view) => self.set_fleet(now, view),
            Event::Tick => {
                self.expire(now, out);
                self.sweep_permits(now, out);
            }
        }
        self.dispatch(now, out);
        self.apply_gossip_fault(out);
    }

    /// Drops verdicts to the other routers, or removes their claims, if a test sets such a fault.
    fn apply_gossip_fault(&self, out: &mut Vec<Action>) {
        if self.has(Fault::DropVerdicts) {
            out.retain(|a| !matches!(a, Action::Verdict(_)));
        }
        if self.has(Fault::HideClaims) {
            let verdicts = out.iter_mut().filter_map(|a| match a {
                Action::Verdict(v) => Some(v),
                _ => None,
            });
            verdicts.for_each(|v| v.claim = None);
        }
    }

    /// Returns the number of calls that wait for a backend server.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pools.values().map(|p| p.queue.len()).sum()
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    // Admission

    fn admit(&mut self, now: Millis, req: RoutingRequest, out: &mut Vec<Action>) {
        let Some(key) = self.targets.get(&req.target).copied() else {
            refuse(&req, RefusalReason::NoBackend, RETRY_AFTER.0, out);
            return;
        };
        if self.suspects.permit(now, &req) == Permit::Never {
            refuse_permanently(&req, RefusalReason::Quarantined, out);
            return;
        }
        if !self.servable(key, &req) {
            self.refuse_as_unservable(key, &req, out);
            return;
        }
        if let Some(after) = self.backoff_retry_after(now, key) {
            refuse(&req, RefusalReason::BackingOff, after, out);
            return;
        }
        if let Some(after) = self.permit_retry_after(now, key) {
            let reason = self.limit_reason(now, key);
            refuse(&req, reason, after, out);
            return;
        }
        if !req.running_on.is_empty() && !self.may_hedge(now, &req) {
            refuse(&req, RefusalReason::Overloaded, Millis(0), out);
            return;
        }
        if !req.may_wait {
            self.admit_hedge(now, key, &req, out);
            return;
        }
        if req.attempts == 0 {
            self.pools[key].retries.record_fresh(now);
        } else if !self.take_retry(now, key) {
            refuse(&req, RefusalReason::RetriesExhausted, Millis(1_000), out);
            return;
        }
        self.enqueue(now, key, req, out);
    }

    fn take_retry(&mut self, now: Millis, key: PoolKey) -> bool {
        self.pools[key].retries.try_take(now) || self.has(Fault::UncountedRetries)
    }

    fn enqueue(&mut self, now: Millis, key: PoolKey, req: RoutingRequest, out: &mut Vec<Action>) {
        let start_late = self.has(Fault::StartLate);
        let propagating = self.suspects.is_propagating(now, &req);
        // Where all replicas are limited, the wait for a permit was checked before. What waits although
        // there is room, such as suspects, does not hold up a call that can start.
        let starts = self.is_pool_limited(now, key) || self.can_start(now, key, &req);
        let pool = &mut self.pools[key];
        let wait = match starts {
            true => Millis(0),
            false => pool.predicted_wait(pool.queue.count_ahead(&req)),
        };
        let late = now + wait > pool.latest_start(now, req.deadline);
        let long = wait > pool.max_wait(now);
        if (late || long) && !start_late && !propagating {
            refuse(&req, RefusalReason::Overloaded, wait, out);
            return;
        }
        let priority = req.priority;
        pool.queue.push(req);
        if pool.queue.len() > self.queue_limit.max(1)
            && !propagating
            && let Some(shed) = pool.queue.shed(priority)
        {
            refuse(&shed, RefusalReason::Overloaded, wait, out);
        }
    }

    /// Whether a call finds room now and is no suspect. Calls that could take that room first have been
    /// started before.
    fn can_start(&self, now: Millis, key: PoolKey, req: &RoutingRequest) -> bool {
        let members = self.pools[key].members.iter().map(|&k| &self.replicas[k]);
        let mut open = members.filter(|r| r.availability(now) == Availability::Open);
        open.any(|r| r.may_run(req)) && self.suspects.permit(now, req) == Permit::Free
    }

    fn abandon(&mut self, call: u64) {
        for pool in self.pools.values_mut() {
            pool.queue.remove(call);
        }
    }

    /// Whether a pool has a replica for a request that may get work now or later.
    fn servable(&self, key: PoolKey, req: &RoutingRequest) -> bool {
        let members = self.pools[key].members.iter().map(|&k| &self.replicas[k]);
        members
            .into_iter()
            .any(|r| r.is_staying() && r.may_run(req))
    }

    /// Refuses a request that no replica of a pool may get.
    fn refuse_as_unservable(&self, key: PoolKey, req: &RoutingRequest, out: &mut Vec<Action>) {
        let members = || self.pools[key].members.iter().map(|&k| &self.replicas[k]);
        let evacuated = members().any(|r| r.is_held_by_evacuation() && r.may_run(req));
        let outside = members().any(|r| r.is_staying() && !r.is_in_region_for(req));
        let reason = match (evacuated, outside) {
            (true, _) => RefusalReason::Evacuated,
            (false, true) => RefusalReason::OutsideRegions,
            (false, false) => RefusalReason::NoBackend,
        };
        refuse(req, reason, UNSERVABLE_RETRY_AFTER, out);
    }

    /// Refuses the waiting calls for which no replica is left.
    pub(super) fn refuse_unservable(&mut self, out: &mut Vec<Action>) {
        for key in self.pools.keys().collect::<Vec<PoolKey>>() {
            let waiting = self.pools[key].queue.calls();
            let unservable = waiting.filter(|req| !self.servable(key, req));
            let calls: Vec<u64> = unservable.map(|req| req.call).collect();
            for call in calls {
                if let Some(req) = self.pools[key].queue.remove(call) {
                    self.refuse_as_unservable(key, &req, out);
                }
            }
        }
    }

    /// Refuses waiting calls that can no longer get their first byte before their deadline, and
    /// sends the verdicts that are due.
    fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        let (ignore_deadlines, drop_silently) =
            (self.has(Fault::StartLate), self.has(Fault::DropLate));
        let survivors = Survivors {
            now,
            attempts: &self.attempts,
            replicas: &self.replicas,
            crashed: "",
        };
        let mut verdicts = self.suspects.end_unfounded_trust(now, &survivors);
        verdicts.extend(self.suspects.refresh(now));
        out.extend(verdicts.into_iter().map(Action::Verdict));
        for pool in self.pools.values_mut().filter(|p| !p.queue.is_empty()) {
            let propagating = |c: &RoutingRequest| self.suspects.is_propagating(now, c);
            let late = |c: &RoutingRequest| {
                pool.latest_start(now, c.deadline) < now && !ignore_deadlines && !propagating(c)
            };
            let ids: Vec<u64> = pool
                .queue
                .calls()
                .filter(|c| late(c))
                .map(|c| c.call)
                .collect();
            let wait = pool.predicted_wait(pool.queue.len());
            for id in ids {
                let req = pool.queue.remove(id).filter(|_| !drop_silently);
                req.iter()
                    .for_each(|r| refuse(r, RefusalReason::Overloaded, wait, out));
            }
        }
    }

    fn apply_verdict(&mut self, now: Millis, verdict: &Verdict, out: &mut Vec<Action>) {
        let survivors = Survivors {
            now,
            attempts: &self.attempts,
            replicas: &self.replicas,
            crashed: verdict.crash.as_ref().map_or("", |c| c.replica.as_str()),
        };
        let own_verdict = self.suspects.apply_verdict(now, verdict, &survivors);
        out.extend(own_verdict.map(Action::Verdict));
        self.refuse_quarantined(now, out);
    }

    pub(super) fn refuse_quarantined(&mut self, now: Millis, out: &mut Vec<Action>) {
        let never = |c: &RoutingRequest| self.suspects.permit(now, c) == Permit::Never;
        for pool in self.pools.values_mut() {
            for req in pool.queue.remove_if(never) {
                refuse_permanently(&req, RefusalReason::Quarantined, out);
            }
        }
    }
}

pub(super) fn refuse(
    req: &RoutingRequest,
    reason: RefusalReason,
    after: Millis,
    out: &mut Vec<Action>,
) {
    let after = after.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    out.push(Action::Refused {
        call: req.call,
        reason,
        retry_after: Some(after),
    });
}

fn refuse_permanently(req: &RoutingRequest, reason: RefusalReason, out: &mut Vec<Action>) {
    out.push(Action::Refused {
        call: req.call,
        reason,
        retry_after: None,
    });
}
