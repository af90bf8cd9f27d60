//! Lets routers find each other: each keeps a record of itself in the store and reads those of the
//! others.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::watch;
use toucanchute_core::placement::FULL_SHARE;
use toucanchute_platform::StoreClient;
use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{Member, MemberState},
    from_cbor,
    settings::GatewaySettings,
    to_cbor,
};
use toucanchute_store::{LeaseId, Store, StoreError};
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, post},
    link::Mesh,
};

/// Prefix of the keys of the routers' records.
const RECORDS_PREFIX: &str = "toucanchute/routers/";

/// Time to live of a record after the last renewal of its lease, so of the record of a router that
/// is gone.
const LEASE_TTL: Millis = Millis(180_000);

/// Pause between two renewals of the lease.
const RENEW_PAUSE: Duration = Duration::from_secs(60);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Mean pause before the records are read again while there is no link to another router.
const UNLINKED_READ_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two reads while there are links. It can be long, since routers that start later
/// open the links themselves.
const READ_PAUSE: Duration = Duration::from_secs(60);

/// Longest time for removing the record at shutdown.
const REMOVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Keeps this router's record in the store and sends the addresses in the others' records to the
/// fleet actor.
#[derive(Clone)]
pub(super) struct RouterRegistry {
    store: StoreClient,
    fleet: Address<FleetActor>,
    mesh: Mesh,
    lease: Arc<Mutex<Option<LeaseId>>>,
}

impl RouterRegistry {
    /// Starts the tasks that maintain this router's record and read those of the others.
    pub(super) fn start(
        store: StoreClient,
        fleet: Address<FleetActor>,
        mesh: Mesh,
        settings: &GatewaySettings,
        incarnation: Incarnation,
    ) -> RouterRegistry {
        let registry = RouterRegistry {
            store,
            fleet,
            mesh,
            lease: Arc::default(),
        };
        let member = own_member(settings, incarnation);
        let (written, is_written) = watch::channel(false);
        tokio::spawn(registry.clone().keep_record(member, written));
        tokio::spawn(registry.clone().read_records(is_written));
        registry
    }

    /// Removes this router's record by revoking its lease. If that fails, the record stays until
    /// the lease expires.
    pub(super) async fn remove_record(&self) {
        let lease = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lease) = lease {
            let removed =
                tokio::time::timeout(REMOVE_TIMEOUT, self.store.revoke_lease(lease)).await;
            if !matches!(removed, Ok(Ok(()))) {
                log::info!("record-left-to-lapse");
            }
        }
    }

    async fn keep_record(self, member: Member, written: watch::Sender<bool>) {
        loop {
            match self.write_record(&member).await {
                Ok(lease) => {
                    written.send_replace(true);
                    self.renew_until_expired(lease).await;
                }
                Err(e) => {
                    log::warn!(error:% = e; "router-record-write-failed");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn write_record(&self, member: &Member) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(LEASE_TTL).await?;
        let key = format!("{RECORDS_PREFIX}{}", member.host);
        self.store.put(&key, to_cbor(member), Some(lease)).await?;
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(lease)
    }

    /// Renews the lease until it has expired, or until the store has come back from an older copy, which
    /// may lack it.
    async fn renew_until_expired(&self, lease: LeaseId) {
        let mut eras = self.store.eras();
        eras.mark_unchanged();
        let mut pause = RENEW_PAUSE;
        loop {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(()) = eras.changed() => return,
            }
            match self.store.keep_alive(lease).await {
                Ok(Millis(0)) => return,
                Ok(_) => pause = RENEW_PAUSE,
                Err(e) => {
                    log::debug!(error:% = e; "router-record-renewal-failed");
                    pause = RETRY_PAUSE;
                }
            }
        }
    }

    /// Reads the records, beginning only after this router's own record is written, so that of two
    /// routers that start together at least one finds the other.
    async fn read_records(self, mut written: watch::Receiver<bool>) {
        if written.wait_for(|written| *written).await.is_err() {
            return;
        }
        let mut read_at = None;
        loop {
            let due = read_at.is_none_or(|at: Instant| at.elapsed() >= READ_PAUSE);
            if due || !self.is_linked() {
                match self.store.get_prefix(RECORDS_PREFIX).await {
                    Ok(snapshot) => {
                        let entries = snapshot.entries.iter();
                        let routers = entries
                            .filter_map(|e| peer_address(&e.key, &e.value))
                            .collect();
                        post(&self.fleet, FleetInput::RouterAddresses(routers));
                        read_at = Some(Instant::now());
                    }
                    Err(e) => log::debug!(error:% = e; "router-records-read-failed"),
                }
            }
            let jitter = rand::random_range(0.5..1.5);
            tokio::time::sleep(UNLINKED_READ_PAUSE.mul_f64(jitter)).await;
        }
    }

    fn is_linked(&self) -> bool {
        self.mesh.counts().peers > 0
    }
}

/// Returns the address for links from other routers in a record, or `None` if the record or the
/// address cannot be decoded.
fn peer_address(key: &str, value: &[u8]) -> Option<SocketAddr> {
    let member: Member = match from_cbor(value) {
        Ok(member) => member,
        Err(e) => {
            log::warn!(key = key, error:% = e; "router-record-malformed");
            return None;
        }
    };
    member.peer_address.parse().ok()
}

fn own_member(settings: &GatewaySettings, incarnation: Incarnation) -> Member {
    Member {
        incarnation,
        host: settings.router.host.clone(),
        failure_domain: settings.router.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: settings.callers.listen.to_string(),
        peer_address: settings.router.peer_advertise.to_string(),
        state: MemberState::Alive,
        update: 0,
        outage: false,
        capacity: settings.router.capacity,
        bandwidth: settings.router.bandwidth,
        list_share: FULL_SHARE,
    }
}
