//! State of the key-value service: key-value pairs, change history and leases,
//! without I/O.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reedford_wire::kv::{
    Compare, KeyValue, LeaseGrantResponse, PutRequest, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse, WatchEvent,
};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;
use tokio::time::Instant;

/// Largest value in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Maximum number of changes kept for watches.
const HISTORY_LIMIT: usize = 10_000;

type Key = Vec<u8>;

/// Reason why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreError {
    BadBase64,
    BadCompare,
    BadOperation,
    ValueTooLarge,
    NoLease,
    Compacted,
}

/// A single key, or the keys from `start` up to and excluding `end`.
#[derive(Clone, Debug)]
pub(crate) struct KeyRange {
    start: Key,
    end: Option<Key>,
}

#[derive(Debug)]
struct Lease {
    ttl: i64,
    expires_at: Instant,
}

#[derive(Debug)]
struct Event {
    revision: i64,
    key: Key,
    event: WatchEvent,
}

/// State of the key-value service.
#[derive(Debug)]
pub(crate) struct Store {
    revision: i64,
    /// Oldest revision from which the history is complete.
    oldest: i64,
    pairs: BTreeMap<Key, KeyValue>,
    history: VecDeque<Event>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl KeyRange {
    pub(crate) fn read(key: &str, end: Option<&str>) -> Result<Self, StoreError> {
        Ok(Self {
            start: decode(key)?,
            end: end.map(decode).transpose()?,
        })
    }

    fn of(req: &RangeRequest) -> Result<Self, StoreError> {
        Self::read(&req.key, req.range_end.as_deref())
    }

    fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            None => key == self.start,
            Some(end) => key >= self.start.as_slice() && key < end.as_slice(),
        }
    }

    fn bounds(&self) -> (Bound<Key>, Bound<Key>) {
        let start = Bound::Included(self.start.clone());
        match &self.end {
            None => (start.clone(), start),
            Some(end) if *end > self.start => (start, Bound::Excluded(end.clone())),
            Some(_) => (start, Bound::Excluded(self.start.clone())),
        }
    }
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            oldest: 1,
            pairs: BTreeMap::new(),
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            revision: self.revision,
        }
    }

    pub(crate) fn range(&self, req: &RangeRequest) -> Result<RangeResponse, StoreError> {
        let range = KeyRange::of(req)?;
        Ok(RangeResponse {
            header: self.header(),
            kvs: self
                .pairs
                .range(range.bounds())
                .map(|(_, kv)| kv.clone())
                .collect(),
        })
    }

    /// Returns the changes of a range of keys from revision `from` on.
    pub(crate) fn changes(
        &self,
        range: &KeyRange,
        from: i64,
    ) -> Result<Vec<WatchEvent>, StoreError> {
        if from < self.oldest {
            return Err(StoreError::Compacted);
        }
        let later = self.history.iter().filter(|e| e.revision >= from);
        Ok(later
            .filter(|e| range.contains(&e.key))
            .map(|e| e.event.clone())
            .collect())
    }

    /// Executes a transaction. All its operations are checked first, so that
    /// it never takes effect in part.
    pub(crate) fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse, StoreError> {
        for op in req.success.iter().chain(&req.failure) {
            self.check(op)?;
        }
        let mut succeeded = true;
        for compare in &req.compare {
            succeeded &= self.compare_succeeds(compare)?;
        }
        let ops = if succeeded {
            &req.success
        } else {
            &req.failure
        };
        if ops.iter().any(|op| op.request_range.is_none()) {
            self.revision += 1;
        }
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.execute(op)?);
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    pub(crate) fn lease_grant(&mut self, ttl: i64, now: Instant) -> LeaseGrantResponse {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl = ttl.max(1);
        let expires_at = now + seconds(ttl);
        self.leases.insert(id, Lease { ttl, expires_at });
        LeaseGrantResponse { id, ttl }
    }

    pub(crate) fn lease_keep_alive(&mut self, id: i64, now: Instant) -> LeaseGrantResponse {
        let Some(lease) = self.leases.get_mut(&id) else {
            return LeaseGrantResponse { id, ttl: 0 };
        };
        lease.expires_at = now + seconds(lease.ttl);
        LeaseGrantResponse { id, ttl: lease.ttl }
    }

    /// Removes a lease and deletes its keys.
    pub(crate) fn lease_revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound = self.pairs.iter().filter(|(_, kv)| kv.lease == id);
        let keys: Vec<Key> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(key);
        }
    }

    pub(crate) fn expired_leases(&self, now: Instant) -> Vec<i64> {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        expired.map(|(id, _)| *id).collect()
    }

    fn check(&self, op: &RequestOp) -> Result<(), StoreError> {
        match (&op.request_put, &op.request_delete_range, &op.request_range) {
            (Some(put), None, None) => {
                decode(&put.key)?;
                if decode(&put.value)?.len() > VALUE_LIMIT {
                    return Err(StoreError::ValueTooLarge);
                }
                if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                    return Err(StoreError::NoLease);
                }
                Ok(())
            }
            (None, Some(range), None) | (None, None, Some(range)) => {
                KeyRange::of(range).map(|_| ())
            }
            _ => Err(StoreError::BadOperation),
        }
    }

    fn compare_succeeds(&self, compare: &Compare) -> Result<bool, StoreError> {
        if compare.target != "MOD" || compare.result != "EQUAL" {
            return Err(StoreError::BadCompare);
        }
        let pair = self.pairs.get(&decode(&compare.key)?);
        Ok(pair.map_or(0, |kv| kv.mod_revision) == compare.mod_revision)
    }

    fn execute(&mut self, op: &RequestOp) -> Result<ResponseOp, StoreError> {
        let mut response = ResponseOp::default();
        if let Some(put) = &op.request_put {
            self.put(put)?;
        } else if let Some(range) = &op.request_delete_range {
            let bounds = KeyRange::of(range)?.bounds();
            let keys: Vec<Key> = self
                .pairs
                .range(bounds)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.delete(key);
            }
        } else if let Some(range) = &op.request_range {
            response.response_range = Some(self.range(range)?);
        }
        Ok(response)
    }

    fn put(&mut self, put: &PutRequest) -> Result<(), StoreError> {
        let key = decode(&put.key)?;
        let created = self
            .pairs
            .get(&key)
            .map_or(self.revision, |kv| kv.create_revision);
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: created,
            mod_revision: self.revision,
            lease: put.lease,
        };
        self.pairs.insert(key.clone(), kv.clone());
        self.record(key, "PUT", kv);
        Ok(())
    }

    fn delete(&mut self, key: Key) {
        if let Some(old) = self.pairs.remove(&key) {
            let kv = KeyValue {
                key: old.key,
                mod_revision: self.revision,
                ..KeyValue::default()
            };
            self.record(key, "DELETE", kv);
        }
    }

    fn record(&mut self, key: Key, kind: &str, kv: KeyValue) {
        self.history.push_back(Event {
            revision: self.revision,
            key,
            event: WatchEvent {
                kind: kind.to_owned(),
                kv,
            },
        });
        if self.history.len() > HISTORY_LIMIT
            && let Some(dropped) = self.history.pop_front()
        {
            self.oldest = dropped.revision + 1;
        }
    }
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD.decode(text).or(Err(StoreError::BadBase64))
}

fn seconds(count: i64) -> Duration {
    Duration::from_secs(u64::try_from(count).unwrap_or(0))
}
