//! Reads the operator's configuration and the backend servers' registrations from the store and
//! sends them to the fleet actor.

mod evacuation_orders;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::watch;
use toucanchute_core::fleet::StoreReadMode;
use toucanchute_platform::{
    BACKENDS_PREFIX, CONFIG_KEY, OPERATOR_PREFIX, StoreClient, read_backend, read_config,
};
use toucanchute_proto::{
    Digest, Millis,
    config::{Config, FailureDomain, Ledger, Routing},
    fleet::{FoundBody, Registration},
    settings::GatewaySettings,
};
use toucanchute_store::{Entry, KeySelection, Revision, Snapshot, Store, WatchUpdate};
use xtra::prelude::*;

use self::evacuation_orders::EvacuationOrders;
use crate::{
    actor::{FleetActor, FleetInput, post},
    clock,
};

/// Pause after a failed call where this router reads for the whole fleet, and after the first
/// failed call where it reads for itself only.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause between successful reads where this router reads for itself only.
const OWN_READ_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause between failed calls where this router reads for itself only; the pause doubles
/// with each failure.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// How long a router accepts work after its view has reached the age at which it reads the store
/// itself. This is longer than routers need to agree that the store is unreachable for all of them.
const OUTAGE_AGREEMENT_TIME: Millis = Millis(3_600);

/// Percentage of the fleet's retry limit that is used. The rest is a margin, since the time windows
/// in which routers count retries differ.
const USED_RETRY_PERCENT: u64 = 70;

/// Part of the settings' bounds that is reserved for a read by this router itself.
const OWN_READ_TIME: Millis = Millis(600);

/// Lower bound of the age of a view at which a router reads the store itself.
const MIN_VIEW_AGE: Millis = Millis(500);

/// Returns the age of its view at which a router starts to read the store itself.
pub(super) fn max_view_age(settings: &GatewaySettings) -> Millis {
    let bounds = &settings.bounds;
    let shortest = bounds.withdrawal_ms.min(bounds.configuration_ms);
    let bound = Millis(shortest.min(bounds.evacuation_ms));
    bound.since(OWN_READ_TIME).max(MIN_VIEW_AGE)
}

/// Returns how long a watch request waits for a change. Its completion without a change shows that
/// the store is reachable, so the time is half of the age that a view may have.
pub(super) fn watch_timeout(settings: &GatewaySettings) -> Millis {
    Millis(max_view_age(settings).0 / 2)
}

/// Reads the store as the current read mode requires and sends the results to the fleet actor.
#[derive(Clone)]
pub(super) struct StoreReader {
    pub(super) store: StoreClient,
    pub(super) fleet: Address<FleetActor>,
    /// How this router reads the store.
    pub(super) read_mode: watch::Receiver<StoreReadMode>,
}

impl StoreReader {
    /// Starts the tasks that read the configuration and the registrations whenever the read mode
    /// requires it.
    pub(super) fn start(self, settings: &GatewaySettings) {
        let mut configs = ConfigReader {
            reader: self.clone(),
            policy: LocalPolicy::new(settings),
            last_read: None,
            evacuations: EvacuationOrders::default(),
        };
        let mut backends = BackendReader {
            reader: self.clone(),
            sent_revision: 0,
            malformed: BTreeMap::new(),
        };
        let read_mode = self.read_mode;
        tokio::spawn(run_while_reading(read_mode.clone(), async move || {
            configs.run().await;
        }));
        tokio::spawn(run_while_reading(read_mode, async move || {
            backends.run().await;
        }));
    }

    /// Returns whether this router reads for itself only, so that a single read is enough and no
    /// watch is opened. If so, first sleeps for the pause between two reads.
    async fn pause_before_own_read(&self) -> bool {
        let reads_own = *self.read_mode.borrow() == StoreReadMode::Own;
        if reads_own {
            tokio::time::sleep(OWN_READ_PAUSE).await;
        }
        reads_own
    }

    /// Reports to the fleet actor that a call failed, and waits before the next one. `failures` is
    /// the number of failed calls in a row before this one.
    async fn pause(&self, failures: u32) {
        post(&self.fleet, FleetInput::PlatformDown);
        let pause = match *self.read_mode.borrow() {
            StoreReadMode::Chosen => RETRY_PAUSE,
            _ => (RETRY_PAUSE * 2_u32.saturating_pow(failures.min(8))).min(MAX_RETRY_PAUSE),
        };
        // Routers that lost the store at the same time must not retry at the same time.
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Returns the latest time at which the store is known to have been reachable, given a response
/// that it sent after waiting for `waited`, to a request sent at `requested_at`.
fn confirmed_at(requested_at: Millis, waited: Millis) -> Millis {
    // A response that arrived earlier was cut short, so that only the time of the request counts.
    match clock::now().since(requested_at) >= waited {
        true => requested_at + waited,
        false => requested_at,
    }
}

/// Runs `run` while the read mode requires reads and cancels it when the mode becomes
/// [`StoreReadMode::None`]. Returns when the process ends.
async fn run_while_reading(
    mut read_mode: watch::Receiver<StoreReadMode>,
    mut run: impl AsyncFnMut(),
) {
    while read_mode
        .wait_for(|mode| *mode != StoreReadMode::None)
        .await
        .is_ok()
    {
        let mut mode_changes = read_mode.clone();
        tokio::select! {
            () = run() => {}
            // An error means that the sender is gone, that is, that the process ends.
            _ = mode_changes.wait_for(|mode| *mode == StoreReadMode::None) => {}
        }
    }
}

/// Parts of the configuration that come from the settings of this process, not from the operator's
/// configuration in the store.
struct LocalPolicy {
    routing: Routing,
    ledger: Ledger,
    failure_domains: Vec<FailureDomain>,
}

impl LocalPolicy {
    fn new(settings: &GatewaySettings) -> LocalPolicy {
        let regions = settings.router.regions.iter().map(String::as_str);
        LocalPolicy {
            routing: Routing {
                address_max_age_ms: settings.callers.address_max_age_ms,
                retry_share_percent: used_retries(settings.retries.percent),
                retry_burst: used_retries(settings.retries.burst),
                cold_overshoot_permille: settings.bounds.cold_overshoot_permille,
                cold_slack_permille: settings.bounds.cold_slack_permille,
                view_bound_ms: (max_view_age(settings) + OUTAGE_AGREEMENT_TIME).0,
                ..Routing::default()
            },
            ledger: Ledger {
                witnesses: settings.prepaid.witnesses,
                acks: settings.prepaid.acks,
                ..Ledger::default()
            },
            failure_domains: regions.filter_map(domain).collect(),
        }
    }
}

/// Returns a failure domain with its region, written as `failure_domain:region`.
fn domain(pair: &str) -> Option<FailureDomain> {
    let (name, region) = pair.split_once(':')?;
    Some(FailureDomain {
        name: name.to_owned(),
        region: region.to_owned(),
    })
}

/// Returns the part of the fleet's retry limit that is used, see [`USED_RETRY_PERCENT`].
fn used_retries(retries: u32) -> u32 {
    let used = u64::from(retries) * USED_RETRY_PERCENT / 100;
    u32::try_from(used).unwrap_or(u32::MAX)
}

/// Reads what the operator wrote, that is, the configuration and the orders to evacuate failure domains,
/// and follows its changes.
struct ConfigReader {
    reader: StoreReader,
    policy: LocalPolicy,
    /// Version and digest of the newest configuration that was read.
    last_read: Option<(u64, Digest)>,
    evacuations: EvacuationOrders,
}

impl ConfigReader {
    async fn run(&mut self) {
        let mut failures = 0;
        loop {
            let requested_at = clock::now();
            // A watch alone is not enough: the key may have changed last before the oldest revision
            // that the store's history still contains.
            match self.reader.store.get_prefix(OPERATOR_PREFIX).await {
                Ok(snapshot) => {
                    failures = 0;
                    self.evacuations.replace(&snapshot);
                    self.send_evacuations();
                    let mut entries = snapshot.entries.iter();
                    if let Some(entry) = entries.find(|e| e.key == CONFIG_KEY) {
                        self.apply_entry(entry);
                    }
                    self.send_head(requested_at);
                    if self.reader.pause_before_own_read().await {
                        continue;
                    }
                    self.follow(snapshot.revision.next()).await;
                }
                Err(e) => {
                    log::debug!(error:% = e; "config-read-failed");
                    self.reader.pause(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Follows the changes from a revision on, until the store's history no longer contains the
    /// next one.
    async fn follow(&mut self, from: Revision) {
        let selection = KeySelection::Prefix(OPERATOR_PREFIX.to_owned());
        let mut watch = self.reader.store.watch(selection, from);
        let mut requested_at = clock::now();
        while let Some(update) = watch.next().await {
            match update {
                WatchUpdate::Put(entry) if entry.key == CONFIG_KEY => self.apply_entry(&entry),
                WatchUpdate::Put(entry) => self.record_evacuation(&entry.key, entry.revision, true),
                WatchUpdate::Delete { key, revision } => {
                    self.record_evacuation(&key, revision, false);
                }
                WatchUpdate::Progress { waited, .. } => {
                    self.send_head(confirmed_at(requested_at, waited));
                    requested_at = clock::now();
                }
                WatchUpdate::Disconnected => {
                    post(&self.reader.fleet, FleetInput::PlatformDown);
                    requested_at = clock::now();
                }
                WatchUpdate::Gap { .. } => {
                    log::info!("config-history-lost");
                    return;
                }
            }
        }
    }

    /// Records that an order to evacuate a failure domain was given or taken back, if the key is one.
    fn record_evacuation(&mut self, key: &str, revision: Revision, ordered: bool) {
        if self.evacuations.record(key, revision, ordered) {
            self.send_evacuations();
        }
    }

    /// Sends the orders to evacuate failure domains to the fleet actor.
    fn send_evacuations(&self) {
        let list = self.evacuations.list();
        post(&self.reader.fleet, FleetInput::Evacuations(list));
    }

    /// Reports to the fleet actor that the last configuration read was the current one at
    /// `requested_at`.
    fn send_head(&self, requested_at: Millis) {
        let (version, digest) = self.last_read.unwrap_or_default();
        post(
            &self.reader.fleet,
            FleetInput::ConfigHead(requested_at, version, digest),
        );
    }

    /// Decodes a configuration and sends it to the fleet actor, unless it is the one read last.
    fn apply_entry(&mut self, entry: &Entry) {
        let digest = Digest::new(CONFIG_KEY, &entry.value);
        if self.last_read.is_some_and(|(_, last)| last == digest) {
            return;
        }
        match read_config(&entry.value) {
            Ok(config) => {
                self.last_read = Some((config.version, digest));
                let config = Config {
                    routing: self.policy.routing.clone(),
                    ledger: self.policy.ledger.clone(),
                    failure_domains: self.policy.failure_domains.clone(),
                    ..config
                };
                post(
                    &self.reader.fleet,
                    FleetInput::Config(Arc::new(config), digest),
                );
            }
            Err(e) => log::error!(revision = entry.revision.0, error:% = e; "config-malformed"),
        }
    }
}

/// Reads the registrations of backend servers and follows their changes.
struct BackendReader {
    reader: StoreReader,
    /// Revision up to which all changes have been sent to the fleet actor.
    sent_revision: u64,
    /// Revisions of entries that could not be decoded, by key, so that each key is logged once.
    malformed: BTreeMap<String, Revision>,
}

impl BackendReader {
    async fn run(&mut self) {
        let mut failures = 0;
        loop {
            let requested_at = clock::now();
            match self.reader.store.get_prefix(BACKENDS_PREFIX).await {
                Ok(snapshot) => {
                    failures = 0;
                    self.send_all(&snapshot, requested_at);
                    if self.reader.pause_before_own_read().await {
                        continue;
                    }
                    self.follow(snapshot.revision.next()).await;
                }
                Err(e) => {
                    log::debug!(error:% = e; "backends-read-failed");
                    self.reader.pause(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Follows the changes from a revision on, until the store's history no longer contains the
    /// next one.
    async fn follow(&mut self, from: Revision) {
        let selection = KeySelection::Prefix(BACKENDS_PREFIX.to_owned());
        let mut watch = self.reader.store.watch(selection, from);
        let mut requested_at = clock::now();
        let mut changes = Vec::new();
        while let Some(update) = watch.next().await {
            match update {
                WatchUpdate::Put(entry) => changes.push(self.decode_registration(&entry)),
                WatchUpdate::Delete { key, revision } => changes.push(Registration {
                    key,
                    revision: revision.0,
                    backend: None,
                }),
                WatchUpdate::Progress { waited, .. } => {
                    let changes = std::mem::take(&mut changes);
                    self.send_changes(changes, confirmed_at(requested_at, waited));
                    requested_at = clock::now();
                }
                WatchUpdate::Disconnected => {
                    post(&self.reader.fleet, FleetInput::PlatformDown);
                    requested_at = clock::now();
                }
                WatchUpdate::Gap { .. } => {
                    log::info!("backends-history-lost");
                    return;
                }
            }
        }
    }

    /// Sends all registrations, as they were at `requested_at`, to the fleet actor.
    fn send_all(&mut self, snapshot: &Snapshot, requested_at: Millis) {
        let entries = snapshot.entries.iter().map(|e| self.decode_registration(e));
        let entries: Vec<_> = entries.collect();
        self.sent_revision = snapshot.revision.0;
        log::info!(entries = entries.len(), revision = self.sent_revision; "backends-read");
        let body = FoundBody {
            revision: self.sent_revision,
            since: None,
            entries,
        };
        post(
            &self.reader.fleet,
            FleetInput::Registrations(body, requested_at),
        );
    }

    /// Sends changes to the fleet actor, or the fact that there were none up to `as_of`.
    fn send_changes(&mut self, entries: Vec<Registration>, as_of: Millis) {
        let since = self.sent_revision;
        let newest = entries.iter().map(|e| e.revision).max();
        self.sent_revision = since.max(newest.unwrap_or(0));
        if !entries.is_empty() {
            log::info!(changes = entries.len(), revision = self.sent_revision; "backends-changed");
        }
        let body = FoundBody {
            revision: self.sent_revision,
            since: Some(since),
            entries,
        };
        post(&self.reader.fleet, FleetInput::Registrations(body, as_of));
    }

    /// Decodes an entry. The result has no backend server if the entry is malformed.
    fn decode_registration(&mut self, entry: &Entry) -> Registration {
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
