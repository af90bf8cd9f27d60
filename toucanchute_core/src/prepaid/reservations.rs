use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis};

/// Identifies a request for tokens across the fleet: the router that sent it and the number that it
/// has there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId {
    pub(super) router: Incarnation,
    pub(super) seq: u64,
}

/// Tokens set aside for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) tokens: u64,
    /// Further tokens that the request may ask for.
    pub(super) rest: u64,
    pub(super) since: Millis,
}

/// Reservations of the requests in progress at all routers.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_id: BTreeMap<RequestId, Reservation>,
    /// Sum of `rest` over all reservations.
    rest: u64,
}

impl Reservations {
    /// Adds a reservation.
    pub(super) fn insert(&mut self, id: RequestId, reservation: Reservation) {
        self.rest += reservation.rest;
        if let Some(old) = self.by_id.insert(id, reservation) {
            self.rest -= old.rest;
        }
    }

    /// Removes a reservation and returns it.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Reservation> {
        let removed = self.by_id.remove(&id)?;
        self.rest -= removed.rest;
        Some(removed)
    }

    /// Drops reservations that are `age` old or older.
    pub(super) fn drop_older(&mut self, now: Millis, age: Millis) {
        let late = |_: &RequestId, r: &mut Reservation| now.since(r.since) >= age;
        for (_, dropped) in self.by_id.extract_if(.., late) {
            self.rest -= dropped.rest;
        }
    }

    /// Leaves nothing to ask for by a request that holds `id`, and returns what it was.
    pub(super) fn take_rest(&mut self, id: RequestId) -> u64 {
        let rest = self.by_id.get_mut(&id).map(|r| &mut r.rest);
        let taken = rest.map_or(0, std::mem::take);
        self.rest -= taken;
        taken
    }

    /// Leaves nothing to ask for by the requests of `router`.
    pub(super) fn take_rests_of(&mut self, router: Incarnation) {
        let first = RequestId { router, seq: 0 };
        let last = RequestId {
            router,
            seq: u64::MAX,
        };
        for (_, reservation) in self.by_id.range_mut(first..=last) {
            self.rest -= std::mem::take(&mut reservation.rest);
        }
    }

    /// Returns a reservation.
    pub(super) fn get(&self, id: RequestId) -> Option<&Reservation> {
        self.by_id.get(&id)
    }

    /// Returns the tokens that the requests in progress may still ask for.
    pub(super) fn rest(&self) -> u64 {
        self.rest
    }

    /// Returns all reservations.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Reservation)> {
        self.by_id.iter()
    }
}
