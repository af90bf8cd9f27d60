use std::{sync::Arc, time::Duration};

use tokio::sync::Notify;
use toucanchute_core::fleet::{HostEntry, HostRole, HostState};
use toucanchute_proto::Digest;
use toucanchute_store::{self as store, Client, HostListClient};
use xtra::prelude::*;

use super::config::{fetch_config, fetch_head, head_digest};
use crate::actor::{FleetActor, FleetInput, QueryDuties, post};
use crate::clock;

/// Time between two reads of the head and the host list by a router that has the duty to read them.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Reads the platform on behalf of the fleet: the head of the configuration, the host list and, on
/// request, the configuration itself.
#[derive(Clone, Debug)]
pub(crate) struct PlatformReader {
    fetch_requested: Arc<Notify>,
}

/// Components of a [`PlatformReader`].
pub(crate) struct PlatformReaderParts {
    /// Client of the key-value service.
    pub(crate) client: Arc<Client>,
    /// Client of the host list.
    pub(crate) hosts: Arc<HostListClient>,
    /// Receiver of the results.
    pub(crate) fleet: Address<FleetActor>,
}

impl PlatformReader {
    /// Starts the tasks that read the platform.
    pub(crate) fn start(parts: PlatformReaderParts) -> PlatformReader {
        let fetch_requested = Arc::new(Notify::new());
        let PlatformReaderParts {
            client,
            hosts,
            fleet,
        } = parts;
        tokio::spawn(fetch_configs_on_request(
            Arc::clone(&client),
            fleet.clone(),
            Arc::clone(&fetch_requested),
        ));
        tokio::spawn(read_head_and_hosts(client, hosts, fleet));
        PlatformReader { fetch_requested }
    }

    /// Requests that the configuration at the head is fetched and sent to the fleet actor.
    pub(crate) fn request_config(&self) {
        self.fetch_requested.notify_one();
    }
}

async fn fetch_configs_on_request(
    client: Arc<Client>,
    fleet: Address<FleetActor>,
    fetch_requested: Arc<Notify>,
) {
    loop {
        fetch_requested.notified().await;
        match fetch_config(&client).await {
            Ok(Some((config, digest))) => post(&fleet, FleetInput::Config(config, digest)),
            Ok(None) => {}
            Err(e) => log::warn!(error:% = e; "config-fetch-failed"),
        }
    }
}

async fn read_head_and_hosts(
    client: Arc<Client>,
    hosts: Arc<HostListClient>,
    fleet: Address<FleetActor>,
) {
    let mut interval = tokio::time::interval(READ_PAUSE);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Ok(duties) = fleet
            .send(QueryDuties {
                backends: Vec::new(),
            })
            .await
        else {
            return;
        };
        if duties.reads_platform {
            read_head(&client, &fleet).await;
            read_hosts(&hosts, &fleet).await;
        }
    }
}

async fn read_head(client: &Client, fleet: &Address<FleetActor>) {
    let requested_at = clock::now();
    let input = match fetch_head(client).await {
        Ok(Some(head)) => FleetInput::ConfigHead(requested_at, head.version, head_digest(&head)),
        Ok(None) => FleetInput::ConfigHead(requested_at, 0, Digest::default()),
        Err(e) => {
            log::debug!(error:% = e; "config-head-read-failed");
            FleetInput::PlatformDown
        }
    };
    post(fleet, input);
}

async fn read_hosts(hosts: &HostListClient, fleet: &Address<FleetActor>) {
    let requested_at = clock::now();
    match hosts.get().await {
        Ok(list) => {
            let entries = list.hosts.iter().map(host_entry).collect();
            post(
                fleet,
                FleetInput::HostList(requested_at, list.version, entries),
            );
        }
        Err(e) => {
            log::debug!(error:% = e; "host-list-read-failed");
            post(fleet, FleetInput::PlatformDown);
        }
    }
}

fn host_entry(host: &store::Host) -> HostEntry {
    HostEntry {
        name: host.name.clone(),
        address: host.address,
        role: match host.role {
            store::HostRole::Entry => HostRole::Router,
            _ => HostRole::Backend,
        },
        state: match host.state {
            store::HostState::Live => HostState::Live,
            _ => HostState::Leaving,
        },
    }
}
