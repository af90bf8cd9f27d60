//! How routers find each other: each keeps a record of itself in the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

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

use crate::actor::{FleetActor, FleetInput, post};

/// Prefix of the routers' records.
const PREFIX: &str = "toucanchute/routers/";

/// Time to live of a record whose router is gone.
const LEASE_TTL: Millis = Millis(60_000);

/// Pause between two renewals of the lease.
const RENEW_PAUSE: Duration = Duration::from_secs(20);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Readings of the records shortly after the start, when most routers appear.
const FIRST_READS: u32 = 6;

/// Pause between those readings.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two readings later on; routers that start later open the links themselves.
const READ_PAUSE: Duration = Duration::from_secs(15);

/// Longest time that removing the record may take.
const LEAVE_TIME: Duration = Duration::from_millis(100);

/// This router's record; the others are told to the fleet machine as they are read.
#[derive(Clone)]
pub(super) struct Registry {
    store: StoreClient,
    fleet: Address<FleetActor>,
    lease: Arc<Mutex<Option<LeaseId>>>,
}

impl Registry {
    /// Starts to keep the record and to read the others.
    pub(super) fn start(
        store: StoreClient,
        fleet: Address<FleetActor>,
        settings: &GatewaySettings,
        incarnation: Incarnation,
    ) -> Registry {
        let registry = Registry {
            store,
            fleet,
            lease: Arc::default(),
        };
        let member = member(settings, incarnation);
        tokio::spawn(registry.clone().keep_record(member));
        tokio::spawn(registry.clone().read_records());
        registry
    }

    /// Removes the record.
    pub(super) async fn leave(&self) {
        let lease = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lease) = lease {
            let removed = tokio::time::timeout(LEAVE_TIME, self.store.revoke_lease(lease)).await;
            if !matches!(removed, Ok(Ok(()))) {
                log::info!("record-left-to-lapse");
            }
        }
    }

    async fn keep_record(self, member: Member) {
        loop {
            match self.write_record(&member).await {
                Ok(lease) => self.renew(lease).await,
                Err(e) => {
                    log::warn!(error:% = e; "record-not-written");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn write_record(&self, member: &Member) -> Result<LeaseId, StoreError> {
        let lease = self.store.grant_lease(LEASE_TTL).await?;
        let key = format!("{PREFIX}{}", member.host);
        self.store.put(&key, to_cbor(member), Some(lease)).await?;
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(lease)
    }

    /// Renews the lease until it has lapsed.
    async fn renew(&self, lease: LeaseId) {
        let mut pause = RENEW_PAUSE;
        loop {
            tokio::time::sleep(pause).await;
            match self.store.keep_alive(lease).await {
                Ok(Millis(0)) => return,
                Ok(_) => pause = RENEW_PAUSE,
                Err(e) => {
                    log::debug!(error:% = e; "lease-not-renewed");
                    pause = RETRY_PAUSE;
                }
            }
        }
    }

    async fn read_records(self) {
        let mut reads = 0;
        loop {
            match self.store.get_prefix(PREFIX).await {
                Ok(snapshot) => {
                    let entries = snapshot.entries.iter();
                    let routers = entries.filter_map(|e| router(&e.key, &e.value)).collect();
                    post(&self.fleet, FleetInput::Routers(routers));
                    reads += 1;
                }
                Err(e) => log::debug!(error:% = e; "records-unread"),
            }
            let pause = if reads < FIRST_READS {
                FIRST_PAUSE
            } else {
                READ_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads the address for routers out of a record.
fn router(key: &str, value: &[u8]) -> Option<SocketAddr> {
    let member: Member = match from_cbor(value) {
        Ok(member) => member,
        Err(e) => {
            log::warn!(key = key, error:% = e; "record-malformed");
            return None;
        }
    };
    member.peer_address.parse().ok()
}

fn member(settings: &GatewaySettings, incarnation: Incarnation) -> Member {
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
    }
}
