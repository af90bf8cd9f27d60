//! Reads the operator's configuration and the backend servers' registrations from the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::watch;
use toucanchute_core::fleet::StoreReadMode;
use toucanchute_platform::{BACKENDS_PREFIX, CONFIG_KEY, StoreClient, read_backend, read_config};
use toucanchute_proto::{
    Digest, Millis,
    config::{Config, Ledger, Routing},
    fleet::{FoundBody, Registration},
    settings::GatewaySettings,
};
use toucanchute_store::{Entry, Revision, Selection, Snapshot, Store, Update};
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, post},
    clock,
};

/// Pause after a first call that failed, and after each where this router reads for all.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between readings that succeed where this router reads for itself.
const OWN_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause between calls that fail where this router reads for itself.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How long a router takes work beyond the age at which it reads the store itself: longer than
/// routers need to agree that the store is away for all.
const AGREEMENT_TIME: Millis = Millis(3_600);

/// Part of the fleet's retries that is used, in percent, since windows of different routers differ.
const RETRY_PERCENT: u64 = 70;

/// Time of the bounds that is left for a reading of one's own.
const READING_TIME: Millis = Millis(600);

/// Least age of a view at which a router reads the store itself.
const MIN_VIEW_AGE: Millis = Millis(500);

/// Returns the age of the view from which on a router reads the store itself.
pub(super) fn max_view_age(settings: &GatewaySettings) -> Millis {
    let bounds = &settings.bounds;
    let bound = Millis(bounds.withdrawal_ms.min(bounds.configuration_ms));
    bound.since(READING_TIME).max(MIN_VIEW_AGE)
}

/// Returns how long a watch waits for a change. Its end tells that the store is there, so that it is
/// well below the age that a view may have.
pub(super) fn watch_wait(settings: &GatewaySettings) -> Millis {
    Millis(max_view_age(settings).0 / 2)
}

/// What the store tells, and whom.
#[derive(Clone)]
pub(super) struct Feeds {
    pub(super) store: StoreClient,
    pub(super) fleet: Address<FleetActor>,
    /// How this router reads the store.
    pub(super) reading: watch::Receiver<StoreReadMode>,
}

impl Feeds {
    /// Starts to read, whenever this router has to.
    pub(super) fn start(self, settings: &GatewaySettings) {
        let mut configs = ConfigFeed {
            feeds: self.clone(),
            policy: Policy::new(settings),
            last: None,
        };
        let mut backends = BackendFeed {
            feeds: self.clone(),
            told: 0,
            malformed: BTreeMap::new(),
        };
        let reading = self.reading;
        tokio::spawn(while_wanted(reading.clone(), async move || {
            configs.read().await;
        }));
        tokio::spawn(while_wanted(reading, async move || {
            backends.read().await;
        }));
    }

    /// Whether this router reads for itself only, so that one reading should do; waits before a
    /// further one.
    async fn reads_once(&self) -> bool {
        let once = *self.reading.borrow() == StoreReadMode::Own;
        if once {
            tokio::time::sleep(OWN_PAUSE).await;
        }
        once
    }

    /// Tells that the store did not answer, and waits. `failures` counts calls in a row that failed.
    async fn pause(&self, failures: u32) {
        post(&self.fleet, FleetInput::PlatformDown);
        let pause = match *self.reading.borrow() {
            StoreReadMode::Chosen => RETRY_PAUSE,
            _ => (RETRY_PAUSE * 2_u32.saturating_pow(failures.min(8))).min(LONGEST_PAUSE),
        };
        // Routers that lost the store together do not come back together.
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Returns when the store is known to have been there by an answer to what was asked at `asked` and
/// which it gave after it had `waited`.
fn as_of(asked: Millis, waited: Millis) -> Millis {
    // An answer that came sooner was cut short.
    match clock::now().since(asked) >= waited {
        true => asked + waited,
        false => asked,
    }
}

/// Runs `read` whenever this router has to read, until the process ends.
async fn while_wanted(mut reading: watch::Receiver<StoreReadMode>, mut read: impl AsyncFnMut()) {
    while reading
        .wait_for(|r| *r != StoreReadMode::None)
        .await
        .is_ok()
    {
        let mut relieved = reading.clone();
        tokio::select! {
            () = read() => {}
            // An error tells that the process ends.
            _ = relieved.wait_for(|r| *r == StoreReadMode::None) => {}
        }
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
                view_bound_ms: (max_view_age(settings) + AGREEMENT_TIME).0,
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
    feeds: Feeds,
    policy: Policy,
    /// Version and digest of the newest configuration that was read.
    last: Option<(u64, Digest)>,
}

impl ConfigFeed {
    async fn read(&mut self) {
        let mut failures = 0;
        loop {
            let asked = clock::now();
            // The key itself may be older than the history that a watch can begin with.
            match self.feeds.store.get_prefix(CONFIG_KEY).await {
                Ok(snapshot) => {
                    failures = 0;
                    let mut entries = snapshot.entries.iter();
                    if let Some(entry) = entries.find(|e| e.key == CONFIG_KEY) {
                        self.take(entry);
                    }
                    self.confirm(asked);
                    if self.feeds.reads_once().await {
                        continue;
                    }
                    self.follow(snapshot.revision.next()).await;
                }
                Err(e) => {
                    log::debug!(error:% = e; "config-unread");
                    self.feeds.pause(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Follows the changes from a revision on until some are missed.
    async fn follow(&mut self, from: Revision) {
        let selection = Selection::Key(CONFIG_KEY.to_owned());
        let mut watch = self.feeds.store.watch(selection, from);
        let mut asked = clock::now();
        while let Some(update) = watch.next().await {
            match update {
                Update::Put(entry) => self.take(&entry),
                Update::Progress { waited, .. } => {
                    self.confirm(as_of(asked, waited));
                    asked = clock::now();
                }
                Update::Disconnected => {
                    post(&self.feeds.fleet, FleetInput::PlatformDown);
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
        post(
            &self.feeds.fleet,
            FleetInput::ConfigHead(asked, version, digest),
        );
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
                post(
                    &self.feeds.fleet,
                    FleetInput::Config(Arc::new(config), digest),
                );
            }
            Err(e) => log::error!(revision = entry.revision.0, error:% = e; "config-malformed"),
        }
    }
}

/// Follows the registrations of backend servers.
struct BackendFeed {
    feeds: Feeds,
    /// Revision up to which the fleet machine was told all.
    told: u64,
    /// Entries that could not be read, by key, to log each once.
    malformed: BTreeMap<String, Revision>,
}

impl BackendFeed {
    async fn read(&mut self) {
        let mut failures = 0;
        loop {
            let asked = clock::now();
            match self.feeds.store.get_prefix(BACKENDS_PREFIX).await {
                Ok(snapshot) => {
                    failures = 0;
                    self.tell_all(&snapshot, asked);
                    if self.feeds.reads_once().await {
                        continue;
                    }
                    self.follow(snapshot.revision.next()).await;
                }
                Err(e) => {
                    log::debug!(error:% = e; "backends-unread");
                    self.feeds.pause(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Follows the changes from a revision on until some are missed.
    async fn follow(&mut self, from: Revision) {
        let selection = Selection::Prefix(BACKENDS_PREFIX.to_owned());
        let mut watch = self.feeds.store.watch(selection, from);
        let mut asked = clock::now();
        let mut changes = Vec::new();
        while let Some(update) = watch.next().await {
            match update {
                Update::Put(entry) => changes.push(self.registration(&entry)),
                Update::Delete { key, revision } => changes.push(Registration {
                    key,
                    revision: revision.0,
                    backend: None,
                }),
                Update::Progress { waited, .. } => {
                    let changes = std::mem::take(&mut changes);
                    self.tell_changes(changes, as_of(asked, waited));
                    asked = clock::now();
                }
                Update::Disconnected => {
                    post(&self.feeds.fleet, FleetInput::PlatformDown);
                    asked = clock::now();
                }
                Update::Gap { .. } => {
                    log::info!("backends-history-lost");
                    return;
                }
            }
        }
    }

    fn tell_all(&mut self, snapshot: &Snapshot, asked: Millis) {
        let entries = snapshot.entries.iter().map(|e| self.registration(e));
        let entries: Vec<_> = entries.collect();
        self.told = snapshot.revision.0;
        log::info!(entries = entries.len(), revision = self.told; "backends-read");
        let body = FoundBody {
            revision: self.told,
            since: None,
            entries,
        };
        post(&self.feeds.fleet, FleetInput::Registrations(body, asked));
    }

    /// Tells changes, or that there were none.
    fn tell_changes(&mut self, entries: Vec<Registration>, as_of: Millis) {
        let since = self.told;
        let newest = entries.iter().map(|e| e.revision).max();
        self.told = since.max(newest.unwrap_or(0));
        if !entries.is_empty() {
            log::info!(changes = entries.len(), revision = self.told; "backends-changed");
        }
        let body = FoundBody {
            revision: self.told,
            since: Some(since),
            entries,
        };
        post(&self.feeds.fleet, FleetInput::Registrations(body, as_of));
    }

    /// Reads an entry; one that cannot be read names no backend server.
    fn registration(&mut self, entry: &Entry) -> Registration {
        let backend = match read_backend(&entry.key, &entry.value) {
            Ok(found) => Some(found),
            Err(e) => {
                let known = self.malformed.insert(entry.key.clone(), entry.revision);
                if known.is_none() {
                    log::warn!(key = entry.key, error:% = e; "backend-entry-malformed");
                }
                None
            }
        };
        Registration {
            key: entry.key.clone(),
            revision: entry.revision.0,
            backend,
        }
    }
}
