use rand::seq::IteratorRandom;
use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{FetchFound, FleetBody, Found, FoundBody},
};

use super::{Action, Fleet};

/// Age of the list of registered backend servers from which on peers are asked for a newer one.
const ASK_AGE: Millis = Millis(1_300);

/// Time between two questions.
const ASK_PERIOD: Millis = Millis(300);

/// The newest list of registered backend servers known here.
#[derive(Debug)]
pub(super) struct FoundList {
    backends: Vec<Found>,
    /// When the platform was asked for it, by whichever router.
    asked: Millis,
}

impl Fleet {
    /// Takes in a list, unless a newer one is known.
    pub(super) fn take_found(
        &mut self,
        backends: Vec<Found>,
        asked: Millis,
        out: &mut Vec<Action>,
    ) {
        let old = self.found.as_ref();
        if old.is_some_and(|f| f.asked >= asked) {
            return;
        }
        if old.is_none_or(|f| f.backends != backends) {
            out.push(Action::Backends(backends.clone()));
        }
        self.found = Some(FoundList { backends, asked });
    }

    /// Asks a peer for a newer list when this router could not read one for a while.
    pub(super) fn ask_found(&mut self, now: Millis, out: &mut Vec<Action>) {
        let age = self.found.as_ref().map(|f| now.since(f.asked));
        let reads = self.hosts.reads_registrations;
        if !reads || age.is_some_and(|age| age < ASK_AGE) || now < self.next_ask_found {
            return;
        }
        self.next_ask_found = now + ASK_PERIOD;
        let to = self.links.up.iter().copied().choose(&mut self.rng);
        if let Some(to) = to {
            self.send(to, FleetBody::FetchFound(FetchFound { age }), out);
        }
    }

    /// Sends a peer the list, if it is newer than the peer's.
    pub(super) fn send_found(
        &mut self,
        now: Millis,
        to: Incarnation,
        ask: FetchFound,
        out: &mut Vec<Action>,
    ) {
        let Some(found) = &self.found else {
            return;
        };
        let age = now.since(found.asked);
        if ask.age.is_none_or(|other| age < other) {
            let backends = found.backends.clone();
            self.send(to, FleetBody::Found(FoundBody { backends, age }), out);
        }
    }
}
