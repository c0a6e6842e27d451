//! Client of the key-value service over HTTP with JSON bodies. This service has
//! one era.

use crate::http::{Call, Endpoint, Idempotency, unknown_outcome};
use crate::kv::{
    Delete, Entry, KeyValue, KvError, Lease, LeaseId, Listing, Precondition, Put, Transaction,
    TransactionOutcome, Watch,
};
use crate::watch;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::Method;
use reedford_core::Era;
use reedford_wire::kv as wire;
use std::sync::Arc;
use std::time::Duration;

const NANOS_PER_SECOND: u32 = 1_000_000_000;

/// Implements [`KeyValue`] over an [`Endpoint`].
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    endpoint: Arc<Endpoint>,
}

impl HttpKeyValue {
    /// Creates a client that uses `endpoint`.
    #[must_use]
    pub fn new(endpoint: Arc<Endpoint>) -> Self {
        Self { endpoint }
    }

    async fn range(&self, req: &wire::RangeRequest) -> Result<Listing, KvError> {
        let res: wire::RangeResponse = self
            .endpoint
            .post("/v3/kv/range", Idempotency::Idempotent, req)
            .await?
            .body;
        Ok(Listing {
            era: Era::FIRST,
            revision: res.header.revision,
            entries: decode_entries(&res)?,
        })
    }
}

impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let listing = self.range(&key_range(key)).await?;
        Ok(listing.entries.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, KvError> {
        self.range(&prefix_range(prefix)).await
    }

    async fn txn(&self, txn: Transaction) -> Result<TransactionOutcome, KvError> {
        let req = wire::TxnRequest {
            compare: txn.preconditions.iter().map(comparison).collect(),
            success: write_ops(&txn),
            failure: txn.preconditions.iter().map(read_op).collect(),
        };
        let res: wire::TxnResponse = self
            .endpoint
            .post("/v3/kv/txn", Idempotency::NonIdempotent, &req)
            .await?
            .body;
        if res.succeeded {
            return Ok(TransactionOutcome::Committed {
                era: Era::FIRST,
                revision: res.header.revision,
            });
        }
        Ok(TransactionOutcome::Conflict {
            era: Era::FIRST,
            current: first_failed_precondition(&txn.preconditions, &res)?,
        })
    }

    async fn watch(&self, prefix: &str, from_revision: i64) -> Result<Watch, KvError> {
        let range = prefix_range(prefix);
        let req = wire::WatchRequest {
            create_request: wire::WatchCreateRequest {
                key: range.key,
                range_end: range.range_end,
                start_revision: from_revision,
            },
        };
        let call = Call {
            method: Method::POST,
            path: "/v3/watch",
            body: serde_json::to_vec(&req).map_err(unknown_outcome)?.into(),
            idempotency: Idempotency::Idempotent,
        };
        let body = self.endpoint.open_stream(&call).await?;
        Ok(watch::change_stream(body, self.endpoint.watch_timeout()))
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        // The service accepts whole seconds only, so `ttl` is rounded up. The
        // fallback is 1 below the maximum, so that the addition can't overflow.
        let seconds = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX - 1);
        let rounding = i64::from(ttl.subsec_nanos().div_ceil(NANOS_PER_SECOND));
        let req = wire::LeaseGrantRequest {
            ttl: seconds + rounding,
        };
        let res: wire::LeaseGrantResponse = self
            .endpoint
            .post("/v3/lease/grant", Idempotency::NonIdempotent, &req)
            .await?
            .body;
        Ok(decode_lease(&res))
    }

    async fn lease_keep_alive(&self, id: LeaseId) -> Result<Option<Lease>, KvError> {
        let res: wire::LeaseKeepAliveResponse = self
            .endpoint
            .post(
                "/v3/lease/keepalive",
                Idempotency::Idempotent,
                &wire::LeaseRequest { id },
            )
            .await?
            .body;
        Ok((res.result.ttl > 0).then(|| decode_lease(&res.result)))
    }

    async fn lease_revoke(&self, id: LeaseId) -> Result<(), KvError> {
        let _: serde_json::Value = self
            .endpoint
            .post(
                "/v3/lease/revoke",
                Idempotency::NonIdempotent,
                &wire::LeaseRequest { id },
            )
            .await?
            .body;
        Ok(())
    }
}

fn key_range(key: &str) -> wire::RangeRequest {
    wire::RangeRequest {
        key: STANDARD.encode(key),
        range_end: None,
    }
}

fn prefix_range(prefix: &str) -> wire::RangeRequest {
    wire::RangeRequest {
        key: STANDARD.encode(prefix),
        range_end: Some(STANDARD.encode(prefix_end(prefix))),
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
/// Adding 1 to the last byte can't overflow, because 0xff never occurs in UTF-8.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn comparison(precondition: &Precondition) -> wire::Compare {
    wire::Compare {
        key: STANDARD.encode(precondition.key.as_bytes()),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: precondition.revision,
    }
}

fn write_ops(txn: &Transaction) -> Vec<wire::RequestOp> {
    let puts = txn.puts.iter().map(put_op);
    let deletes = txn.deletes.iter().map(delete_op);
    puts.chain(deletes).collect()
}

fn put_op(put: &Put) -> wire::RequestOp {
    wire::RequestOp {
        request_put: Some(wire::PutRequest {
            key: STANDARD.encode(put.key.as_bytes()),
            value: STANDARD.encode(&put.value),
            lease: put.lease.unwrap_or(0),
        }),
        ..wire::RequestOp::default()
    }
}

fn delete_op(delete: &Delete) -> wire::RequestOp {
    let range = match delete {
        Delete::Key(key) => key_range(key),
        Delete::Prefix(prefix) => prefix_range(prefix),
    };
    wire::RequestOp {
        request_delete_range: Some(range),
        ..wire::RequestOp::default()
    }
}

/// Returns the operation that reads the key of a precondition, so that a
/// conflict reports its current entry.
fn read_op(precondition: &Precondition) -> wire::RequestOp {
    wire::RequestOp {
        request_range: Some(key_range(&precondition.key)),
        ..wire::RequestOp::default()
    }
}

/// Returns the current entry of the first key whose precondition does not hold.
fn first_failed_precondition(
    preconditions: &[Precondition],
    res: &wire::TxnResponse,
) -> Result<Option<Entry>, KvError> {
    for (precondition, response) in preconditions.iter().zip(&res.responses) {
        let range = response
            .response_range
            .as_ref()
            .ok_or_else(|| unknown_outcome("a read of the transaction has no response"))?;
        let entry = decode_entries(range)?.into_iter().next();
        if entry.as_ref().map_or(0, |entry| entry.revision) != precondition.revision {
            return Ok(entry);
        }
    }
    Err(unknown_outcome(
        "the transaction failed though all keys are as expected",
    ))
}

fn decode_entries(res: &wire::RangeResponse) -> Result<Vec<Entry>, KvError> {
    res.kvs.iter().map(decode_entry).collect()
}

fn decode_entry(pair: &wire::KeyValue) -> Result<Entry, KvError> {
    Ok(Entry {
        key: decode_key(pair)?,
        value: STANDARD.decode(&pair.value).map_err(unknown_outcome)?,
        revision: pair.mod_revision,
    })
}

pub(crate) fn decode_key(pair: &wire::KeyValue) -> Result<Box<str>, KvError> {
    let bytes = STANDARD.decode(&pair.key).map_err(unknown_outcome)?;
    let text = String::from_utf8(bytes).map_err(unknown_outcome)?;
    Ok(text.into())
}

fn decode_lease(res: &wire::LeaseGrantResponse) -> Lease {
    Lease {
        era: Era::FIRST,
        id: res.id,
        ttl: Duration::from_secs(u64::try_from(res.ttl).unwrap_or(0)),
    }
}
