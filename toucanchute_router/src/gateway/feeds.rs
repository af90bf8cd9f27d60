//! Reads the operator's configuration and the backend servers' registrations from the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use toucanchute_core::discovery::Discovery;
use toucanchute_platform::{BACKENDS_PREFIX, CONFIG_KEY, StoreClient, read_backend, read_config};
use toucanchute_proto::{
    Digest, Millis,
    config::{Config, Ledger, Routing},
    fleet::Found,
    settings::GatewaySettings,
};
use toucanchute_store::{Entry, Revision, Selection, Snapshot, Store, StoreError, Update};
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, post},
    clock,
    view::View,
};

/// Pause between two readings of the registrations: a third of the time in which a leaving backend
/// server has to be known.
const BACKENDS_PAUSE: Duration = Duration::from_millis(600);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How long a router takes work whose view is not confirmed: longer than routers need to agree that
/// the store is away for all.
const VIEW_BOUND: Millis = Millis(5_000);

/// Part of the fleet's retries that is used, in percent, since windows of different routers differ.
const RETRY_PERCENT: u64 = 70;

/// What the store tells, and whom.
pub(super) struct Feeds {
    pub(super) store: StoreClient,
    pub(super) fleet: Address<FleetActor>,
    pub(super) view: Arc<View>,
}

impl Feeds {
    /// Starts to read.
    pub(super) fn start(self, settings: &GatewaySettings) {
        let configs = ConfigFeed {
            store: self.store.clone(),
            fleet: self.fleet.clone(),
            policy: Policy::new(settings),
            last: None,
        };
        tokio::spawn(configs.run());
        let backends = BackendFeed {
            feeds: self,
            discovery: Discovery::default(),
            malformed: BTreeMap::new(),
        };
        tokio::spawn(backends.run());
    }
}

/// What a process's settings add to the operator's configuration.
struct Policy {
    routing: Routing,
    ledger: Ledger,
}

impl Policy {
    fn new(settings: &GatewaySettings) -> Policy {
        Policy {
            routing: Routing {
                address_max_age_ms: settings.callers.address_max_age_ms,
                retry_share_percent: part(settings.retries.percent),
                retry_burst: part(settings.retries.burst),
                view_bound_ms: VIEW_BOUND.0,
                ..Routing::default()
            },
            ledger: Ledger {
                witnesses: settings.prepaid.witnesses,
                acks: settings.prepaid.acks,
                ..Ledger::default()
            },
        }
    }
}

/// The part of the fleet's retries that is used.
fn part(retries: u32) -> u32 {
    let used = u64::from(retries) * RETRY_PERCENT / 100;
    u32::try_from(used).unwrap_or(u32::MAX)
}

/// Follows the configuration.
struct ConfigFeed {
    store: StoreClient,
    fleet: Address<FleetActor>,
    policy: Policy,
    /// Version and digest of the newest configuration that was read.
    last: Option<(u64, Digest)>,
}

impl ConfigFeed {
    async fn run(mut self) {
        loop {
            let asked = clock::now();
            // The key itself may be older than the history that a watch can begin with.
            match self.store.get_prefix(CONFIG_KEY).await {
                Ok(snapshot) => {
                    let mut entries = snapshot.entries.iter();
                    if let Some(entry) = entries.find(|e| e.key == CONFIG_KEY) {
                        self.take(entry);
                    }
                    self.confirm(asked);
                    self.follow(snapshot.revision.next()).await;
                }
                Err(e) => self.unread(&e).await,
            }
        }
    }

    /// Follows the changes from a revision on until some are missed.
    async fn follow(&mut self, from: Revision) {
        let selection = Selection::Key(CONFIG_KEY.to_owned());
        let mut watch = self.store.watch(selection, from);
        let mut asked = clock::now();
        while let Some(update) = watch.next().await {
            match update {
                Update::Put(entry) => self.take(&entry),
                Update::Progress { .. } => {
                    self.confirm(asked);
                    asked = clock::now();
                }
                Update::Disconnected => {
                    post(&self.fleet, FleetInput::PlatformDown);
                    asked = clock::now();
                }
                Update::Gap { .. } => {
                    log::info!("config-history-lost");
                    return;
                }
                Update::Delete { .. } => {}
            }
        }
    }

    /// Tells that the newest configuration read was the newest one at `asked`.
    fn confirm(&self, asked: Millis) {
        let (version, digest) = self.last.unwrap_or_default();
        post(&self.fleet, FleetInput::HeadSeen(asked, version, digest));
    }

    fn take(&mut self, entry: &Entry) {
        let digest = Digest::new(CONFIG_KEY, &entry.value);
        if self.last.is_some_and(|(_, last)| last == digest) {
            return;
        }
        match read_config(&entry.value) {
            Ok(config) => {
                self.last = Some((config.version, digest));
                let config = Config {
                    routing: self.policy.routing.clone(),
                    ledger: self.policy.ledger.clone(),
                    ..config
                };
                post(&self.fleet, FleetInput::Config(Arc::new(config), digest));
            }
            Err(e) => log::error!(revision = entry.revision.0, error:% = e; "config-malformed"),
        }
    }

    async fn unread(&self, error: &StoreError) {
        log::debug!(error:% = error; "config-unread");
        post(&self.fleet, FleetInput::PlatformDown);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads the backend servers' registrations again and again.
struct BackendFeed {
    feeds: Feeds,
    discovery: Discovery,
    /// Entries that could not be read, by key, to log each once.
    malformed: BTreeMap<String, Revision>,
}

impl BackendFeed {
    async fn run(mut self) {
        loop {
            let asked = clock::now();
            let pause = match self.feeds.store.get_prefix(BACKENDS_PREFIX).await {
                Ok(snapshot) => {
                    self.take(asked, &snapshot);
                    BACKENDS_PAUSE
                }
                Err(e) => {
                    log::debug!(error:% = e; "backends-unread");
                    post(&self.feeds.fleet, FleetInput::PlatformDown);
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn take(&mut self, asked: Millis, snapshot: &Snapshot) {
        let found = snapshot.entries.iter();
        let found: Vec<Found> = found.filter_map(|entry| self.read(entry)).collect();
        if let Some(at) = self.feeds.view.outage_at() {
            self.discovery.outage_agreed(at);
        }
        let change = self.discovery.list(clock::now(), found);
        if change.changed {
            log::info!(
                backends = change.live.len(),
                left:? = change.withdrawn,
                revision = snapshot.revision.0;
                "backends-read"
            );
        }
        post(&self.feeds.fleet, FleetInput::Found(change.live, asked));
    }

    fn read(&mut self, entry: &Entry) -> Option<Found> {
        match read_backend(&entry.key, &entry.value) {
            Ok(found) => Some(found),
            Err(e) => {
                let known = self.malformed.insert(entry.key.clone(), entry.revision);
                if known.is_none() {
                    log::warn!(key = entry.key, error:% = e; "backend-entry-malformed");
                }
                None
            }
        }
    }
}
