mod pool;
mod watch_task;
mod wire;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use toucanchute_proto::Millis;

pub(crate) use self::pool::ConnectionPool;
use self::wire::{
    Base64Bytes, DeleteRequest, DeleteResponse, LeaseRequest, LeaseResponse, PutRequest,
    PutResponse, RangeRequest, RangeResponse, ResponseOp, StreamMessage, StringInt, TxnRequest,
    TxnResponse,
};
use crate::{
    CallCounts, CallKind, CasOutcome, Entry, KeySelection, LeaseId, Revision, Snapshot, Store,
    StoreError, Watch,
};

const MS_PER_SECOND: u64 = 1000;

/// Settings of a [`Client`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Endpoints of the key-value service; a call that fails at one may be sent to the next.
    pub endpoints: Vec<SocketAddr>,
    /// Timeout of one call at one endpoint.
    pub timeout: Millis,
    /// Delay before a watch reconnects.
    pub watch_retry_delay: Millis,
}

impl ClientSettings {
    /// Creates settings for `endpoints`, with default values for all other settings.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>) -> ClientSettings {
        ClientSettings {
            endpoints,
            timeout: Millis(1000),
            watch_retry_delay: Millis(200),
        }
    }
}

/// Client of a key-value service, using etcd v3's JSON mapping.
///
/// Cloning is cheap; clones share connections and call counts. A read that fails is sent to the
/// next endpoint. A write is sent to the next endpoint only if the failure proves that it had no
/// effect, so that no write is applied twice.
///
/// ```
/// use toucanchute_fakes::{Platform, PlatformOptions};
/// use toucanchute_store::{CasOutcome, Client, ClientSettings, Revision, Store};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let platform = Platform::bind(listen, PlatformOptions::default()).await.unwrap();
/// let client = Client::new(ClientSettings::new(vec![platform.address()]));
///
/// let cas = client.cas("/head", Revision::ABSENT, "one".into()).await.unwrap();
/// assert!(matches!(cas, CasOutcome::Applied { .. }));
/// let cas = client.cas("/head", Revision::ABSENT, "two".into()).await.unwrap();
/// assert!(matches!(cas, CasOutcome::Conflict { current: Some(entry) } if entry.value == "one"));
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<ConnectionPool>,
    watch_retry_delay: Millis,
}

impl Client {
    /// Creates a client. It connects at the first call.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Client {
        Client {
            pool: Arc::new(ConnectionPool::new(settings.endpoints, settings.timeout)),
            watch_retry_delay: settings.watch_retry_delay,
        }
    }

    /// Returns the number of calls made so far, by kind.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.pool.counters().counts()
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        req: &Q,
    ) -> Result<A, StoreError> {
        self.pool.call(kind, path, req).await
    }
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let req = RangeRequest::key(key);
        let res: RangeResponse = self.call(CallKind::Read, "/v3/kv/range", &req).await?;
        Ok(res.kvs.into_iter().next().map(Entry::from))
    }

    async fn get_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let req = RangeRequest::prefix(prefix);
        let res: RangeResponse = self.call(CallKind::Read, "/v3/kv/range", &req).await?;
        Ok(Snapshot {
            revision: res.header.revision(),
            entries: res.kvs.into_iter().map(Entry::from).collect(),
        })
    }

    async fn cas(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<CasOutcome, StoreError> {
        let req = TxnRequest::cas(key, expected, value);
        let res: TxnResponse = self.call(CallKind::Write, "/v3/kv/txn", &req).await?;
        if res.succeeded {
            let revision = res.header.revision();
            return Ok(CasOutcome::Applied { revision });
        }
        let range = res.responses.into_iter().find_map(ResponseOp::into_range);
        let current = range.and_then(|range| range.kvs.into_iter().next());
        Ok(CasOutcome::Conflict {
            current: current.map(Entry::from),
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let req = PutRequest {
            key: Base64Bytes::from(key),
            value: Base64Bytes(value),
            lease: StringInt(lease.map_or(0, |lease| lease.0)),
        };
        let res: PutResponse = self.call(CallKind::Write, "/v3/kv/put", &req).await?;
        Ok(res.header.revision())
    }

    async fn delete(&self, key: &str) -> Result<bool, StoreError> {
        let key = Base64Bytes::from(key);
        let req = DeleteRequest { key };
        let path = "/v3/kv/deleterange";
        let res: DeleteResponse = self.call(CallKind::Write, path, &req).await?;
        Ok(res.deleted.0 > 0)
    }

    async fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let seconds = ttl.0.div_ceil(MS_PER_SECOND).max(1);
        let req = LeaseRequest {
            id: StringInt(0),
            ttl: StringInt(i64::try_from(seconds).unwrap_or(i64::MAX)),
        };
        let res: LeaseResponse = self.call(CallKind::Lease, "/v3/lease/grant", &req).await?;
        Ok(LeaseId(res.id.0))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Millis, StoreError> {
        let req = LeaseRequest::existing(lease);
        let path = "/v3/lease/keepalive";
        let res: StreamMessage<LeaseResponse> = self.call(CallKind::Lease, path, &req).await?;
        let seconds = u64::try_from(res.result.ttl.0).unwrap_or(0);
        Ok(Millis(seconds.saturating_mul(MS_PER_SECOND)))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let req = LeaseRequest::existing(lease);
        let path = "/v3/lease/revoke";
        let _: LeaseResponse = self.call(CallKind::Lease, path, &req).await?;
        Ok(())
    }

    fn watch(&self, selection: KeySelection, from: Revision) -> Watch {
        let (tx, watch) = Watch::channel();
        let pool = Arc::clone(&self.pool);
        tokio::spawn(watch_task::run_watch(
            pool,
            selection,
            from,
            self.watch_retry_delay,
            tx,
        ));
        watch
    }
}
