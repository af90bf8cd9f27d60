use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{FetchFound, FleetBody, FoundBody},
};

use super::{Action, Fleet, registrations::ApplyOutcome};

/// Time for a peer to send its registrations before another is asked.
const FETCH_TIMEOUT: Millis = Millis(300);

/// Time after which the list is looked at again although nothing changed: what had lapsed in an
/// outage is gone some time after it.
const REFRESH_PERIOD: Millis = Millis(500);

/// Exchange of the registrations of backend servers.
impl Fleet {
    /// Takes in a list or changes that the store or a peer told.
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
        self.update_backends(now, out);
        self.forward_registrations(before, from, out);
    }

    /// Tells the peers what changed after `before`, but for the one that it was learned from.
    fn forward_registrations(
        &mut self,
        before: u64,
        from: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let changes = self.registrations.changes_since(before);
        // Peers ask for a whole list if they lack one.
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

    /// Asks a peer that knows of later changes for them.
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

    /// Sends a peer what it lacks.
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

    /// Looks at the list again once the view was confirmed anew.
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
        let change = self
            .discovery
            .apply_list(now, self.registrations.backends());
        if change.changed {
            out.push(Action::Backends(change));
        }
    }
}
