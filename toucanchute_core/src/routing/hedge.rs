//! Second backend servers for requests whose first one is silent.

use toucanchute_proto::Millis;

use super::{
    Action, Dispatcher, RefusalReason, RoutingRequest,
    choose::Chooser,
    dispatcher::refuse,
    pool::{BackendKey, PoolKey},
    suspects::Permit,
};

impl Dispatcher {
    /// Starts a request that runs on a silent backend server on a second one, or refuses it at once.
    ///
    /// It does not wait: requests that can start now go first, and its own first server may go on at
    /// any moment. One that is refused takes nothing out of the retry budget, of which hedges leave
    /// a part to requests whose attempts have failed.
    pub(super) fn admit_hedge(
        &mut self,
        now: Millis,
        key: PoolKey,
        req: &RoutingRequest,
        out: &mut Vec<Action>,
    ) {
        self.advance_members(now, key, out);
        self.dispatch(now, out);
        let Some(replica) = self.hedge_replica(now, key, req) else {
            refuse(req, RefusalReason::Overloaded, Millis(0), out);
            return;
        };
        if !self.pools[key].retries.try_take_hedge(now) {
            refuse(req, RefusalReason::RetriesExhausted, Millis(1_000), out);
            return;
        }
        self.start(now, req, false, replica, out);
    }

    /// Returns the replica for a hedge, if the request may use one.
    fn hedge_replica(
        &mut self,
        now: Millis,
        key: PoolKey,
        req: &RoutingRequest,
    ) -> Option<BackendKey> {
        let pool = &self.pools[key];
        if self.suspects.permit(now, req) != Permit::Free {
            return None;
        }
        let chooser = Chooser {
            now,
            domain: &self.domain,
            pool,
            replicas: &self.replicas,
            suspects: &self.suspects,
            asks: &self.permit_asks,
        };
        chooser.choose_hedge(req, &mut self.rng)
    }
}
