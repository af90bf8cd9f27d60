use std::sync::{Arc, PoisonError, RwLock};

use toucanchute_core::fleet::MemberView;
use toucanchute_edge::{AddressList, Refusal, RefusalOutcome, RefusalReason};
use toucanchute_proto::{Millis, config::Config};

/// Time for which a confirmation of readiness by the fleet actor is valid. In a process that resumes
/// after a freeze it has expired, even before the fleet actor runs again.
const MAX_READINESS_AGE: Millis = Millis(1_500);

/// View of the router's state that the HTTP edge and other tasks read without a message to an actor.
/// The fleet actor writes it.
#[derive(Debug)]
pub(crate) struct RouterView {
    state: RwLock<State>,
}

#[derive(Clone, Debug)]
struct State {
    /// Configuration in force. Its version never decreases.
    config: Arc<Config>,
    /// Addresses of routers for callers.
    addresses: AddressList,
    /// The known other members of the fleet.
    members: Vec<MemberView>,
    /// Why this router refuses new work; absent if it is ready.
    unready: Option<Refusal>,
    /// When the fleet actor last confirmed `unready`.
    readiness_confirmed_at: Millis,
    /// When the store last answered this router or another one, as far as known.
    store_answered_at: Option<Millis>,
}

impl RouterView {
    /// Creates the view of a router that refuses new work with `unready`.
    pub(crate) fn new(config: Arc<Config>, unready: Refusal) -> RouterView {
        let addresses = AddressList::default();
        RouterView {
            state: RwLock::new(State {
                config,
                addresses,
                members: Vec::new(),
                unready: Some(unready),
                readiness_confirmed_at: Millis::default(),
                store_answered_at: None,
            }),
        }
    }

    // --- reading

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.read(|state| Arc::clone(&state.config))
    }

    /// Returns the addresses of the routers that callers may use now.
    pub(crate) fn addresses(&self) -> AddressList {
        self.read(|state| state.addresses.clone())
    }

    /// Returns the other members of the fleet.
    pub(crate) fn members(&self) -> Vec<MemberView> {
        self.read(|state| state.members.clone())
    }

    /// Returns when the store last answered this router or another one, as far as known.
    pub(crate) fn store_answered_at(&self) -> Option<Millis> {
        self.read(|state| state.store_answered_at)
    }

    /// Returns the refusal of new work at `now`; `None` if this router is ready and the fleet actor
    /// confirmed it recently.
    pub(crate) fn unready(&self, now: Millis) -> Option<Refusal> {
        self.read(|state| {
            let expired = now.since(state.readiness_confirmed_at) > MAX_READINESS_AGE;
            state
                .unready
                .clone()
                .or_else(|| expired.then(stale_view_refusal))
        })
    }

    fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    // --- writing

    /// Sets the configuration in force. One of an older version is ignored.
    pub(crate) fn set_config(&self, config: Arc<Config>) {
        self.write(|state| {
            if config.version >= state.config.version {
                state.config = config;
            }
        });
    }

    /// Replaces the addresses for callers.
    pub(crate) fn set_addresses(&self, addresses: AddressList) {
        self.write(|state| state.addresses = addresses);
    }

    /// Replaces the other members of the fleet.
    pub(crate) fn set_members(&self, members: Vec<MemberView>) {
        self.write(|state| state.members = members);
    }

    /// Sets or clears the refusal of new work.
    pub(crate) fn set_unready(&self, unready: Option<Refusal>) {
        self.write(|state| state.unready = unready);
    }

    /// Confirms at `now` the readiness that was set last, and sets when the store last answered.
    pub(crate) fn confirm_readiness(&self, now: Millis, store_answered_at: Option<Millis>) {
        self.write(|state| {
            state.readiness_confirmed_at = state.readiness_confirmed_at.max(now);
            state.store_answered_at = store_answered_at;
        });
    }

    fn write(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.state.write().unwrap_or_else(PoisonError::into_inner));
    }
}

fn stale_view_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::StaleView,
        outcome: RefusalOutcome::NothingSent,
        retry_after: Some(Millis(1_000)),
        elsewhere: None,
    }
}

#[cfg(test)]
mod tests;
