use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::Deserialize;
use toucanchute_core::routing::{CacheChange, CacheEvent};
use toucanchute_proto::{Millis, config::PoolKind, fleet::Load};
use xtra::prelude::*;

use crate::{
    actor::{DispatchActor, DispatchInput, FleetActor, FleetInput, QueryDuties, post},
    http_client::HttpClient,
    view::RouterView,
};

/// Interval at which a backend server is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Polls model engines for their load and cache events.
pub(crate) struct EnginePoller {
    /// Source of the configuration, which lists the backend servers.
    pub(crate) view: Arc<RouterView>,
    /// Decides which of them this router polls, and receives their load.
    pub(crate) fleet: Address<FleetActor>,
    /// Receives their cache events.
    pub(crate) dispatch: Address<DispatchActor>,
    /// Client that calls the backend servers.
    pub(crate) http: HttpClient,
}

/// A model engine's response to `GET /v1/load`.
#[derive(Debug, Deserialize)]
struct LoadDocument {
    running: u32,
    waiting: u32,
    capacity: u32,
    kv_used: f64,
    as_of_ms: u64,
}

/// A model engine's response to `GET /v1/cache-events`.
#[derive(Debug, Deserialize)]
struct CacheDocument {
    next: u64,
    events: Vec<CacheDocumentEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheDocumentEvent {
    seq: u64,
    kind: CacheDocumentKind,
    prefix: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CacheDocumentKind {
    Stored,
    Evicted,
}

impl EnginePoller {
    /// Polls at each interval until the fleet actor stops.
    pub(crate) async fn run(self) {
        let mut cursors = HashMap::new();
        let mut interval = tokio::time::interval(POLL_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let engines = self.engines();
            let backends = engines.keys().cloned().collect();
            let Ok(duties) = self.fleet.send(QueryDuties { backends }).await else {
                return;
            };
            cursors.retain(|name, _| engines.contains_key(name));
            let polls = duties.polled_backends.into_iter().filter_map(|name| {
                let address = *engines.get(&name)?;
                let after = cursors.get(&name).copied().unwrap_or(0);
                Some(self.poll(name, address, after))
            });
            for (name, next) in futures_util::future::join_all(polls).await {
                cursors.insert(name, next);
            }
        }
    }

    /// Returns the addresses of all model engines in the configuration, by name.
    fn engines(&self) -> HashMap<String, SocketAddr> {
        let config = self.view.config();
        let pools = config
            .pools
            .iter()
            .filter(|pool| pool.kind == PoolKind::Engine);
        let pools: Vec<_> = pools.map(|pool| pool.name.as_str()).collect();
        let engines = config
            .backends
            .iter()
            .filter(|b| pools.contains(&b.pool.as_str()));
        engines
            .filter_map(|b| Some((b.name.clone(), b.address.parse().ok()?)))
            .collect()
    }

    /// Polls one engine for its load and for cache events after number `after`. Returns the engine's
    /// name and the number after which the next poll reads on, which is `after` on failure.
    async fn poll(&self, backend: String, address: SocketAddr, after: u64) -> (String, u64) {
        if let Ok(load) = self
            .http
            .get_json::<LoadDocument>(address, "/v1/load")
            .await
        {
            post(&self.fleet, FleetInput::Load(load_message(&backend, &load)));
        }
        let path = format!("/v1/cache-events?after={after}");
        let Ok(document) = self.http.get_json::<CacheDocument>(address, &path).await else {
            return (backend, after);
        };
        let next = document.next;
        let gap = document
            .events
            .first()
            .is_some_and(|e| after > 0 && e.seq > after + 1);
        let events = document.events.iter().filter_map(cache_event).collect();
        post(
            &self.dispatch,
            DispatchInput::CacheEvents {
                backend: backend.clone(),
                events,
                gap,
            },
        );
        (backend, next)
    }
}

fn load_message(backend: &str, load: &LoadDocument) -> Load {
    Load {
        backend: backend.to_owned(),
        running: load.running,
        waiting: load.waiting,
        capacity: load.capacity,
        polled: true,
        pace_percent: None,
        token_time_us: None,
        kv_used: (load.kv_used.clamp(0.0, 1.0) * 1000.0) as u32,
        as_of: Millis(load.as_of_ms),
    }
}

fn cache_event(event: &CacheDocumentEvent) -> Option<CacheEvent> {
    let prefix = u64::from_str_radix(&event.prefix, 16).ok()?;
    let change = match event.kind {
        CacheDocumentKind::Stored => CacheChange::Stored,
        CacheDocumentKind::Evicted => CacheChange::Evicted,
    };
    Some(CacheEvent { prefix, change })
}
