use std::sync::{Arc, PoisonError, RwLock};

use toucanchute_edge::{AddressList, Refusal};
use toucanchute_proto::config::Config;

/// What the HTTP edge reads without asking an actor; the fleet actor writes it.
#[derive(Debug)]
pub(crate) struct View {
    state: RwLock<State>,
}

#[derive(Clone, Debug)]
struct State {
    /// Configuration in force; versions only rise.
    config: Arc<Config>,
    addresses: AddressList,
    unready: Option<Refusal>,
}

impl View {
    /// Creates the view of a router that takes no work for the reason given.
    pub(crate) fn new(config: Arc<Config>, unready: Refusal) -> View {
        let addresses = AddressList::default();
        View {
            state: RwLock::new(State {
                config,
                addresses,
                unready: Some(unready),
            }),
        }
    }

    // --- reading

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.read(|state| Arc::clone(&state.config))
    }

    /// Returns the addresses that callers may use now.
    pub(crate) fn addresses(&self) -> AddressList {
        self.read(|state| state.addresses.clone())
    }

    /// Returns why this router takes no new work, if it takes none.
    pub(crate) fn unready(&self) -> Option<Refusal> {
        self.read(|state| state.unready.clone())
    }

    fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    // --- writing

    /// Puts a newer configuration into force; an older one changes nothing.
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

    /// Sets or clears the reason why this router takes no new work.
    pub(crate) fn set_unready(&self, unready: Option<Refusal>) {
        self.write(|state| state.unready = unready);
    }

    fn write(&self, f: impl FnOnce(&mut State)) {
        f(&mut self.state.write().unwrap_or_else(PoisonError::into_inner));
    }
}
