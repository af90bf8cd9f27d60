use std::{
    collections::{BTreeMap, VecDeque},
    ops::{Bound, RangeBounds},
};

use super::wire::{
    Blob, Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event,
    EventKind, Header, Int64, KeyValue, LeaseResponse, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};

/// Reason for which a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    ValueTooLarge,
    LeaseNotFound,
    EmptyKey,
}

/// Versioned keys and values, with leases and a history of changes.
#[derive(Debug)]
pub(crate) struct KvStore {
    kvs: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    /// Revision of the latest change; it never decreases.
    revision: i64,
    /// Latest changes in ascending order of revision.
    history: VecDeque<Event>,
    /// Greatest revision of which events have been removed from `history`; later events are in it.
    compacted: i64,
    next_lease: i64,
    max_value_bytes: usize,
    max_history: usize,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_s: i64,
    expires_ms: u64,
}

impl KvStore {
    pub(crate) fn new(max_value_bytes: usize, max_history: usize) -> KvStore {
        KvStore {
            kvs: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            compacted: 0,
            next_lease: 1000,
            max_value_bytes,
            max_history,
        }
    }

    pub(crate) fn header(&self) -> Header {
        Header {
            cluster_id: Int64(1),
            member_id: Int64(1),
            revision: Int64(self.revision),
            raft_term: Int64(1),
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    // Keys and values

    pub(crate) fn range(&self, req: &RangeRequest) -> RangeResponse {
        let limit = match usize::try_from(req.limit.0) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(limit) => limit,
        };
        let found = self.kvs.range::<[u8], _>(bounds(&req.key, &req.range_end));
        let found: Vec<&KeyValue> = found.map(|(_, kv)| kv).collect();
        let kvs = found.iter().take(limit).map(|kv| KeyValue {
            value: if req.keys_only {
                Blob::default()
            } else {
                kv.value.clone()
            },
            ..(*kv).clone()
        });
        RangeResponse {
            header: self.header(),
            kvs: if req.count_only {
                Vec::new()
            } else {
                kvs.collect()
            },
            more: found.len() > limit,
            count: Int64(found.len() as i64),
        }
    }

    pub(crate) fn put(&mut self, req: PutRequest) -> Result<PutResponse, Rejection> {
        self.check_put(&req)?;
        self.revision += 1;
        self.apply_put(req);
        Ok(PutResponse {
            header: self.header(),
        })
    }

    pub(crate) fn delete_range(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        self.revision += 1;
        let deleted = self.apply_delete(req);
        if deleted == 0 {
            self.revision -= 1;
        }
        DeleteRangeResponse {
            header: self.header(),
            deleted: Int64(deleted),
        }
    }

    pub(crate) fn txn(&mut self, req: TxnRequest) -> Result<TxnResponse, Rejection> {
        let succeeded = req.compare.iter().all(|compare| self.is_satisfied(compare));
        let ops = if succeeded { req.success } else { req.failure };
        for op in &ops {
            if let RequestOp::Put(put) = op {
                self.check_put(put)?;
            }
        }
        let before = self.revision;
        self.revision += 1;
        let mut changed = false;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(match op {
                RequestOp::Range(req) => ResponseOp::Range(self.range(&req)),
                RequestOp::Put(req) => {
                    changed = true;
                    self.apply_put(req);
                    ResponseOp::Put(PutResponse {
                        header: self.header(),
                    })
                }
                RequestOp::DeleteRange(req) => {
                    let deleted = self.apply_delete(&req);
                    changed |= deleted > 0;
                    let deleted = Int64(deleted);
                    ResponseOp::DeleteRange(DeleteRangeResponse {
                        header: self.header(),
                        deleted,
                    })
                }
            });
        }
        if !changed {
            self.revision = before;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn check_put(&self, req: &PutRequest) -> Result<(), Rejection> {
        if req.key.0.is_empty() {
            return Err(Rejection::EmptyKey);
        }
        if req.value.0.len() > self.max_value_bytes {
            return Err(Rejection::ValueTooLarge);
        }
        if req.lease.0 != 0 && !self.leases.contains_key(&req.lease.0) {
            return Err(Rejection::LeaseNotFound);
        }
        Ok(())
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let kv = self.kvs.get(&compare.key.0).unwrap_or(&absent);
        let ordering = match compare.target {
            CompareTarget::Version => kv.version.cmp(&compare.version),
            CompareTarget::Create => kv.create_revision.cmp(&compare.create_revision),
            CompareTarget::Mod => kv.mod_revision.cmp(&compare.mod_revision),
            CompareTarget::Value => kv.value.cmp(&compare.value),
            CompareTarget::Lease => kv.lease.cmp(&compare.lease),
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    fn apply_put(&mut self, req: PutRequest) {
        let old = self.kvs.get(&req.key.0);
        let kv = KeyValue {
            create_revision: old.map_or(Int64(self.revision), |kv| kv.create_revision),
            mod_revision: Int64(self.revision),
            version: Int64(old.map_or(0, |kv| kv.version.0) + 1),
            key: req.key,
            value: req.value,
            lease: req.lease,
        };
        self.kvs.insert(kv.key.0.clone(), kv.clone());
        self.record_event(Event {
            kind: EventKind::Put,
            kv,
        });
    }

    fn apply_delete(&mut self, req: &DeleteRangeRequest) -> i64 {
        let found = self.kvs.range::<[u8], _>(bounds(&req.key, &req.range_end));
        let keys: Vec<Vec<u8>> = found.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.kvs.remove(key);
            let kv = KeyValue {
                key: Blob(key.clone()),
                mod_revision: Int64(self.revision),
                ..KeyValue::default()
            };
            self.record_event(Event {
                kind: EventKind::Delete,
                kv,
            });
        }
        keys.len() as i64
    }

    // Watches

    fn record_event(&mut self, event: Event) {
        self.history.push_back(event);
        while self.history.len() > self.max_history {
            if let Some(event) = self.history.pop_front() {
                self.compacted = event.kv.mod_revision.0;
            }
        }
    }

    /// Returns the changes in a range of keys from revision `start` on. Fails with the revision up
    /// to which the history has been removed if `start` is not after it.
    pub(crate) fn events(&self, key: &Blob, end: &Blob, start: i64) -> Result<Vec<Event>, i64> {
        if start <= self.compacted {
            return Err(self.compacted);
        }
        let bounds = bounds(key, end);
        let from = self
            .history
            .partition_point(|e| e.kv.mod_revision.0 < start);
        let events = self.history.range(from..);
        let matching =
            events.filter(|e| RangeBounds::<[u8]>::contains(&bounds, e.kv.key.0.as_slice()));
        Ok(matching.cloned().collect())
    }

    // Leases

    pub(crate) fn grant(&mut self, now_ms: u64, id: i64, ttl_s: i64) -> LeaseResponse {
        let id = if id == 0 { self.next_lease } else { id };
        self.next_lease = self.next_lease.max(id) + 1;
        let expires_ms = now_ms + ttl_s.max(1) as u64 * 1000;
        self.leases.insert(id, Lease { ttl_s, expires_ms });
        LeaseResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(ttl_s),
        }
    }

    /// Extends a lease. The TTL in the response is zero if the lease has expired.
    pub(crate) fn keep_alive(&mut self, now_ms: u64, id: i64) -> LeaseResponse {
        let lease = self.leases.get_mut(&id);
        let ttl = lease.map_or(0, |lease| {
            lease.expires_ms = now_ms + lease.ttl_s.max(1) as u64 * 1000;
            lease.ttl_s
        });
        LeaseResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(ttl),
        }
    }

    /// Revokes a lease and deletes its keys.
    pub(crate) fn revoke(&mut self, id: i64) -> Result<LeaseResponse, Rejection> {
        if self.leases.remove(&id).is_none() {
            return Err(Rejection::LeaseNotFound);
        }
        let held = self.kvs.values().filter(|kv| kv.lease.0 == id);
        let keys: Vec<Blob> = held.map(|kv| kv.key.clone()).collect();
        for key in keys {
            self.delete_range(&DeleteRangeRequest {
                key,
                range_end: Blob::default(),
            });
        }
        Ok(LeaseResponse {
            header: self.header(),
            id: Int64(id),
            ttl: Int64(0),
        })
    }

    /// Revokes the expired leases. Returns whether there were any.
    pub(crate) fn expire(&mut self, now_ms: u64) -> bool {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_ms <= now_ms);
        let ids: Vec<i64> = expired.map(|(&id, _)| id).collect();
        for &id in &ids {
            let _ = self.revoke(id);
        }
        !ids.is_empty()
    }
}

/// Returns the bounds of the range that etcd's `key` and `range_end` describe.
fn bounds<'a>(key: &'a Blob, end: &'a Blob) -> (Bound<&'a [u8]>, Bound<&'a [u8]>) {
    let start = key.0.as_slice();
    match end.0.as_slice() {
        [] => (Bound::Included(start), Bound::Included(start)),
        [0] => (Bound::Included(start), Bound::Unbounded),
        end if end <= start => (Bound::Excluded(start), Bound::Included(start)),
        end => (Bound::Included(start), Bound::Excluded(end)),
    }
}
