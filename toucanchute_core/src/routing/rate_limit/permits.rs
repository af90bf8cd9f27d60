//! Gets permits for waiting calls from the issuers, and issues permits to other routers.

use std::collections::BTreeSet;

use rand::Rng;
use toucanchute_proto::{
    Incarnation, Millis,
    permits::{PermitAsk, PermitDenial, PermitGrant, PermitMessage, PermitRelease},
};

use super::{
    MIN_RATE,
    asks::{Ask, PermitStatus},
    issuer::{Decision, PermitIssuer, granted_per_second},
};
use crate::routing::{
    Action, Dispatcher, FleetView, RefusalReason,
    dispatcher::refuse,
    fault::Fault,
    pool::{BackendKey, PoolKey},
    replica::PermitNeed,
};

/// Longest time that a call waits for its permit if all replicas of its pool are limited.
const MAX_PERMIT_DELAY: Millis = Millis(1_000);

/// Time for which a replica gets no calls after its issuer did not answer.
const UNANSWERED_PAUSE: Millis = Millis(500);

/// Time without permits that a router tells others that take it for the issuer by mistake.
const ISSUER_CHANGE_PAUSE: Millis = Millis(200);

/// Number of denials after which a call is refused if all replicas of its pool are limited.
const MAX_DENIALS: u32 = 3;

/// Share of the permits that the returns of refused callers are spread to use. The routers spread
/// them independently, so that some meet; the rest serves those.
const RETURN_LOAD: f64 = 0.8;

/// Longest retry time in a refusal for lack of permits.
const MAX_RETRY_AFTER: Millis = Millis(30_000);

impl Dispatcher {
    // Issuing

    /// Applies another view of the fleet. A router that is no longer the issuer of a backend server
    /// forgets its permits, so that it starts anew if it becomes the issuer again.
    pub(in crate::routing) fn set_fleet(&mut self, now: Millis, view: FleetView) {
        self.issuers.set_view(view);
        let issuers = &self.issuers;
        self.permit_issuer
            .retain(|backend| issuers.is_issuer(backend));
        self.cold_issuer
            .retain(|backend| issuers.is_steady_issuer(backend));
        let limited: Vec<String> = self.known_limits.names().map(str::to_owned).collect();
        for backend in limited {
            self.open_issuer(now, &backend);
        }
    }

    /// Starts to issue the permits of a limited backend server, if this router is its issuer.
    pub(in crate::routing) fn open_issuer(&mut self, now: Millis, backend: &str) {
        if let Some(known) = self.known_limits.get(backend)
            && self.issuers.is_issuer(backend)
        {
            self.permit_issuer.open(now, backend, known.rate);
        }
    }

    pub(in crate::routing) fn handle_permit_message(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: PermitMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PermitMessage::Ask(ask) => {
                let message = self.decide_ask(now, from, &ask);
                out.push(Action::SendPermitMessage { to: from, message });
            }
            PermitMessage::Grant(grant) => self.handle_grant(now, from, grant, out),
            PermitMessage::Denial(denial) => self.handle_denial(now, denial, out),
            PermitMessage::Release(PermitRelease { backend, warming }) => {
                self.issuer_of(warming).release(&backend);
            }
        }
    }

    /// Decides on an ask of another router or of this one.
    fn decide_ask(&mut self, now: Millis, from: Incarnation, ask: &PermitAsk) -> PermitMessage {
        let (seq, warming) = (ask.seq, ask.warming);
        let is_issuer = match warming {
            true => self.steady_issuer(&ask.backend) == Some(self.incarnation),
            false => self.issuers.is_issuer(&ask.backend),
        };
        if !is_issuer {
            return PermitMessage::Denial(PermitDenial {
                seq,
                retry_after: ISSUER_CHANGE_PAUSE,
                askers: 1,
            });
        }
        let known = self.known_limits.get(&ask.backend);
        let rate = known.map_or(ask.rate, |k| k.rate.min(ask.rate));
        let rate = rate.max(MIN_RATE).scaled(self.issuers.share());
        let issuer = self.issuer_of(warming);
        let (decision, askers) = issuer.decide(now, &ask.backend, rate, ask.max_delay, from);
        match decision {
            Decision::Granted(delay) => PermitMessage::Grant(PermitGrant {
                seq,
                backend: ask.backend.clone(),
                delay,
                askers,
                warming,
            }),
            Decision::Denied(retry_after) => PermitMessage::Denial(PermitDenial {
                seq,
                retry_after,
                askers,
            }),
        }
    }

    /// Returns the router that issues the permits of a cold backend server, if one may do so now.
    fn steady_issuer(&self, backend: &str) -> Option<Incarnation> {
        match self.has(Fault::OwnColdPermits) {
            true => Some(self.incarnation),
            false => self.issuers.steady_issuer(backend),
        }
    }

    /// Returns the buckets of cold servers or those of rate-limited ones.
    fn issuer_of(&mut self, warming: bool) -> &mut PermitIssuer {
        match warming {
            true => &mut self.cold_issuer,
            false => &mut self.permit_issuer,
        }
    }

    // Asking

    /// Asks the issuer of a limited replica for a permit for a waiting call.
    pub(in crate::routing) fn ask_for_permit(
        &mut self,
        now: Millis,
        call: u64,
        deadline: Millis,
        key: BackendKey,
        out: &mut Vec<Action>,
    ) {
        self.release_permit(call, out);
        let r = &self.replicas[key];
        let need = r.permit_need(now);
        let issuer = match need.is_some_and(|n| n.warming) {
            true => self.steady_issuer(&r.name),
            false => self.issuers.issuer(&r.name),
        };
        let (Some(PermitNeed { rate, warming }), Some(issuer)) = (need, issuer) else {
            self.replicas[key].no_permit_until = now + UNANSWERED_PAUSE;
            return;
        };
        let backend = r.name.clone();
        let max_delay = self.max_permit_delay(now, r.pool, deadline);
        let seq = self
            .permit_asks
            .record_sent(now, call, key, issuer, warming);
        let ask = PermitAsk {
            seq,
            backend,
            rate,
            max_delay,
            warming,
        };
        if issuer == self.incarnation {
            let answer = self.decide_ask(now, issuer, &ask);
            self.handle_permit_message(now, issuer, answer, out);
            return;
        }
        let message = PermitMessage::Ask(ask);
        out.push(Action::SendPermitMessage {
            to: issuer,
            message,
        });
    }

    /// Returns how long a call may wait for a permit: not at all if another replica can take it
    /// without one.
    fn max_permit_delay(&self, now: Millis, pool: PoolKey, deadline: Millis) -> Millis {
        match self.is_pool_limited(now, pool) {
            true => MAX_PERMIT_DELAY.min(self.pools[pool].latest_start(now, deadline).since(now)),
            false => Millis(0),
        }
    }

    /// Records a granted permit. One that nobody waits for any more is given back.
    fn handle_grant(
        &mut self,
        now: Millis,
        from: Incarnation,
        grant: PermitGrant,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.permit_asks.call_of(now, grant.seq) else {
            self.send_release(from, grant.backend, grant.warming, out);
            return;
        };
        self.permit_asks.record_granted(now, call, grant.delay);
        self.record_askers(call, grant.askers);
    }

    fn handle_denial(&mut self, now: Millis, denial: PermitDenial, out: &mut Vec<Action>) {
        let Some(call) = self.permit_asks.call_of(now, denial.seq) else {
            return;
        };
        self.record_askers(call, denial.askers);
        let Some(ask) = self.permit_asks.remove(call) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(ask.replica) {
            r.no_permit_until = now + denial.retry_after;
            let pool = r.pool;
            self.refuse_without_permit(now, call, pool, out);
        }
    }

    /// Records how many routers share the permits of a pool's replicas.
    fn record_askers(&mut self, call: u64, askers: u32) {
        let replica = self.permit_asks.replica(call);
        let pool = replica.and_then(|key| Some(self.replicas.get(key)?.pool));
        if let Some(pool) = pool {
            self.pools[pool].permit_askers = askers.max(1);
        }
    }

    // Giving back

    /// Ends the asks that were not answered, and gives back the permits that were not used in time
    /// or whose calls no longer wait.
    pub(in crate::routing) fn sweep_permits(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.permit_asks.is_empty() {
            return;
        }
        for call in self.permit_asks.unanswered(now) {
            self.end_unanswered_ask(now, call, out);
        }
        let queues = self.pools.values().map(|p| &p.queue);
        let waiting: BTreeSet<u64> = queues.flat_map(|q| q.calls().map(|c| c.call)).collect();
        self.permit_asks.retain_denials(&waiting);
        for call in self.permit_asks.calls() {
            let expired = self.permit_asks.status(now, call) == PermitStatus::Expired;
            if expired || !waiting.contains(&call) {
                self.release_permit(call, out);
            }
        }
    }

    fn end_unanswered_ask(&mut self, now: Millis, call: u64, out: &mut Vec<Action>) {
        let ask = self.permit_asks.remove(call);
        let Some(r) = ask.and_then(|ask| self.replicas.get_mut(ask.replica)) else {
            return;
        };
        r.no_permit_until = now + UNANSWERED_PAUSE;
        out.push(Action::PermitUnanswered {
            backend: r.name.clone(),
        });
        let pool = r.pool;
        self.refuse_without_permit(now, call, pool, out);
    }

    /// Removes the ask of a call, and gives its permit back if it has one.
    pub(in crate::routing) fn release_permit(&mut self, call: u64, out: &mut Vec<Action>) {
        let ask = self.permit_asks.remove(call).filter(Ask::is_granted);
        let Some(ask) = ask else {
            return;
        };
        if let Some(r) = self.replicas.get(ask.replica) {
            let backend = r.name.clone();
            self.send_release(ask.issuer, backend, ask.warming, out);
        }
    }

    fn send_release(
        &mut self,
        issuer: Incarnation,
        backend: String,
        warming: bool,
        out: &mut Vec<Action>,
    ) {
        if issuer == self.incarnation {
            self.issuer_of(warming).release(&backend);
            return;
        }
        let message = PermitMessage::Release(PermitRelease { backend, warming });
        out.push(Action::SendPermitMessage {
            to: issuer,
            message,
        });
    }

    // Refusing

    /// Whether all replicas of a pool that may get work are limited.
    pub(in crate::routing) fn is_pool_limited(&self, now: Millis, pool: PoolKey) -> bool {
        let members = self.pools[pool].members.iter().map(|&k| &self.replicas[k]);
        let mut staying = members.filter(|r| r.is_staying()).peekable();
        staying.peek().is_some() && staying.all(|r| r.permit_need(now).is_some())
    }

    /// Returns why requests for a pool all of whose replicas need permits are refused.
    pub(in crate::routing) fn limit_reason(&self, now: Millis, pool: PoolKey) -> RefusalReason {
        let members = self.pools[pool].members.iter().map(|&k| &self.replicas[k]);
        let mut needs = members.filter_map(|r| r.permit_need(now));
        match needs.any(|n| n.warming) {
            true => RefusalReason::WarmingUp,
            false => RefusalReason::RateLimited,
        }
    }

    /// Returns when the replicas of a pool will grant permits; `None` unless all of them are limited.
    fn permit_outlook(&self, now: Millis, pool: PoolKey) -> Option<PermitOutlook> {
        if !self.is_pool_limited(now, pool) {
            return None;
        }
        let p = &self.pools[pool];
        let members = p.members.iter().map(|&k| &self.replicas[k]);
        let (mut total_rate, mut first) = (0.0, Millis::MAX);
        for r in members.filter(|r| r.is_staying()) {
            total_rate += r
                .permit_need(now)
                .map_or(0.0, |n| granted_per_second(n.rate));
            let backoff = r.backoff.remaining(now).unwrap_or_default();
            first = first.min(r.no_permit_until.since(now).max(backoff));
        }
        let gap_ms = f64::from(p.permit_askers) / (total_rate * RETURN_LOAD) * 1_000.0;
        Some(PermitOutlook { first, gap_ms })
    }

    /// Returns the time after which to retry if all replicas of a pool are limited and a call that
    /// arrives now would get no permit in time, otherwise `None`.
    pub(in crate::routing) fn permit_retry_after(
        &mut self,
        now: Millis,
        pool: PoolKey,
    ) -> Option<Millis> {
        let outlook = self.permit_outlook(now, pool)?;
        let waiting = self.pools[pool].queue.len();
        let queue_wait = Millis((waiting as f64 * outlook.gap_ms) as u64);
        let has_place = waiting < self.queue_limit.max(1);
        if outlook.first == Millis(0) && queue_wait <= MAX_PERMIT_DELAY && has_place {
            return None;
        }
        let wait = outlook.first.max(queue_wait);
        Some(self.next_return(
            now,
            pool,
            PermitOutlook {
                first: wait,
                ..outlook
            },
        ))
    }

    /// Returns the time after which the next refused caller should retry. The times of successive
    /// refusals are apart by what the sum of the limits leaves to one of the routers that ask, so
    /// that callers who retry find permits. If several routers ask, a random part spreads their first
    /// ones.
    fn next_return(&mut self, now: Millis, pool: PoolKey, outlook: PermitOutlook) -> Millis {
        let gap = Millis(outlook.gap_ms.ceil() as u64);
        let p = &mut self.pools[pool];
        let first = now + outlook.first;
        if p.next_return < first {
            let others = f64::from(p.permit_askers.saturating_sub(1));
            let spread = outlook.gap_ms * others / f64::from(p.permit_askers);
            p.next_return = first + Millis(self.rng.random_range(0..=spread as u64));
        }
        let at = p.next_return.min(now + MAX_RETRY_AFTER);
        p.next_return = at + gap;
        at - now
    }

    /// Refuses the calls of a pool that wait without a permit, if no replica would grant one now.
    /// `call` was denied one and is refused after [`MAX_DENIALS`] in any case.
    fn refuse_without_permit(
        &mut self,
        now: Millis,
        call: u64,
        pool: PoolKey,
        out: &mut Vec<Action>,
    ) {
        let Some(outlook) = self.permit_outlook(now, pool) else {
            return;
        };
        let mut refused = Vec::new();
        if outlook.first > Millis(0) {
            let waiting = self.pools[pool].queue.calls().map(|c| c.call);
            refused.extend(waiting.filter(|&c| !self.permit_asks.contains(c)));
        } else if self.permit_asks.record_denial(call) >= MAX_DENIALS {
            refused.push(call);
        }
        for call in refused {
            if let Some(req) = self.pools[pool].queue.remove(call) {
                let after = self.next_return(now, pool, outlook);
                let reason = self.limit_reason(now, pool);
                refuse(&req, reason, after, out);
            }
        }
    }
}

/// When a pool all of whose replicas are limited will grant permits.
#[derive(Clone, Copy, Debug)]
struct PermitOutlook {
    /// Time until a replica may grant one.
    first: Millis,
    /// Average time between two permits for this router, in milliseconds.
    gap_ms: f64,
}
