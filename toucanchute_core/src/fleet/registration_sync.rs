use toucanchute_proto::{
    Incarnation, Millis, Revision,
    fleet::{FetchFound, FleetBody, FoundBody},
};

use super::{Action, Fleet, registrations::ApplyOutcome};

/// Time for a peer to send its registrations before the next request for them is sent.
const FETCH_TIMEOUT: Millis = Millis(300);

/// Time after which the backend list is evaluated again although no registration changed. A
/// registration that lapsed in an outage is dropped only some time after the end of the outage.
const REFRESH_PERIOD: Millis = Millis(500);

/// Exchange of the registrations of backend servers with peers.
impl Fleet {
    /// Applies a whole list or changes, from the store or from the peer `from`.
    pub(super) fn apply_registrations(
        &mut self,
        now: Millis,
        body: FoundBody,
        from: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let before = self.registrations.revision();
        if self.registrations.apply(body) != ApplyOutcome::Updated {
            return;
        }
        let cold = self.registrations.take_cold();
        out.extend(
            cold.into_iter()
                .map(|(backend, remaining)| Action::Cold { backend, remaining }),
        );
        let era = Revision(self.registrations.revision()).era();
        if before > 0 && era > Revision(before).era() {
            self.discovery.record_restore(now);
        }
        self.update_backends(now, out);
        self.forward_registrations(before, from, out);
    }

    /// Sends the peers what changed after revision `before`, except the peer that it came from.
    fn forward_registrations(
        &mut self,
        before: u64,
        from: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let changes = self.registrations.changes_since(before);
        // Peers that need a whole list request it.
        if changes.since.is_none() {
            return self.push(from, out);
        }
        for to in self.push_targets(from) {
            let known = self.links.peer_versions.get(&to).map_or(0, |k| k.hosts);
            if known < changes.revision {
                self.send(to, FleetBody::Found(changes.clone()), out);
            }
        }
    }

    /// Requests later changes from a peer that has them.
    pub(super) fn fetch_registrations(
        &mut self,
        now: Millis,
        from: Incarnation,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let known = self.registrations.revision();
        if !self.follows_registrations() || revision <= known || now < self.next_registration_fetch
        {
            return;
        }
        self.next_registration_fetch = now + FETCH_TIMEOUT;
        let body = FleetBody::FetchFound(FetchFound { revision: known });
        self.send(from, body, out);
    }

    /// Sends a peer the registrations that it lacks.
    pub(super) fn send_registrations(
        &mut self,
        to: Incarnation,
        request: FetchFound,
        out: &mut Vec<Action>,
    ) {
        if self.registrations.revision() > request.revision {
            let body = self.registrations.changes_since(request.revision);
            self.send(to, FleetBody::Found(body), out);
        }
    }

    /// Evaluates the backend list again if the view has been confirmed since the last evaluation.
    pub(super) fn refresh_backends(&mut self, now: Millis, out: &mut Vec<Action>) {
        let confirmed = self.view.confirmed_at() > self.listed_confirmation;
        let listed = self.registrations.revision() > 0;
        if listed && confirmed && now.since(self.listed_at) >= REFRESH_PERIOD {
            self.update_backends(now, out);
        }
    }

    fn update_backends(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.listed_at = now;
        self.listed_confirmation = self.view.confirmed_at();
        let update = self
            .discovery
            .apply_list(now, self.registrations.backends());
        if update.changed {
            out.push(Action::Backends(update));
        }
    }
}
