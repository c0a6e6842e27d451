//! The key-value service over HTTP with JSON bodies.

use crate::http::{Call, Effect, Endpoint, unknown};
use crate::kv::{
    Delete, Entry, Expect, KeyValue, KvError, Lease, LeaseId, Listing, Put, Swapped, Transaction,
    Watch,
};
use crate::watch;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::Method;
use reedford_wire::kv as wire;
use std::sync::Arc;
use std::time::Duration;

const NANOS_OF_SECOND: u32 = 1_000_000_000;

/// The key-value service behind an [`Endpoint`].
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    endpoint: Arc<Endpoint>,
}

impl HttpKeyValue {
    /// Makes a client over an endpoint.
    #[must_use]
    pub fn new(endpoint: Arc<Endpoint>) -> Self {
        Self { endpoint }
    }

    async fn range(&self, req: &wire::RangeRequest) -> Result<Listing, KvError> {
        let res: wire::RangeResponse = self
            .endpoint
            .post("/v3/kv/range", Effect::Read, req)
            .await?;
        Ok(Listing {
            revision: res.header.revision,
            entries: entries(&res)?,
        })
    }
}

impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let listing = self.range(&one(key)).await?;
        Ok(listing.entries.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, KvError> {
        self.range(&all(prefix)).await
    }

    async fn txn(&self, txn: Transaction) -> Result<Swapped, KvError> {
        let req = wire::TxnRequest {
            compare: txn.expect.iter().map(compare).collect(),
            success: operations(&txn),
            failure: txn.expect.iter().map(read_back).collect(),
        };
        let res: wire::TxnResponse = self
            .endpoint
            .post("/v3/kv/txn", Effect::Write, &req)
            .await?;
        if res.succeeded {
            return Ok(Swapped::Done {
                revision: res.header.revision,
            });
        }
        Ok(Swapped::Lost {
            current: first_difference(&txn.expect, &res)?,
        })
    }

    async fn watch(&self, prefix: &str, from_revision: i64) -> Result<Watch, KvError> {
        let range = all(prefix);
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
            body: serde_json::to_vec(&req).map_err(unknown)?.into(),
            effect: Effect::Read,
        };
        let body = self.endpoint.stream(&call).await?;
        Ok(watch::changes(body, self.endpoint.watch_timeout()))
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        let whole = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX - 1);
        let part = i64::from(ttl.subsec_nanos().div_ceil(NANOS_OF_SECOND));
        let req = wire::LeaseGrantRequest { ttl: whole + part };
        let res: wire::LeaseGrantResponse = self
            .endpoint
            .post("/v3/lease/grant", Effect::Write, &req)
            .await?;
        Ok(lease(&res))
    }

    async fn lease_keep_alive(&self, id: LeaseId) -> Result<Option<Lease>, KvError> {
        let res: wire::LeaseKeepAliveResponse = self
            .endpoint
            .post(
                "/v3/lease/keepalive",
                Effect::Read,
                &wire::LeaseRequest { id },
            )
            .await?;
        Ok((res.result.ttl > 0).then(|| lease(&res.result)))
    }

    async fn lease_revoke(&self, id: LeaseId) -> Result<(), KvError> {
        let _: serde_json::Value = self
            .endpoint
            .post(
                "/v3/lease/revoke",
                Effect::Write,
                &wire::LeaseRequest { id },
            )
            .await?;
        Ok(())
    }
}

fn one(key: &str) -> wire::RangeRequest {
    wire::RangeRequest {
        key: STANDARD.encode(key),
        range_end: None,
    }
}

fn all(prefix: &str) -> wire::RangeRequest {
    wire::RangeRequest {
        key: STANDARD.encode(prefix),
        range_end: Some(STANDARD.encode(prefix_end(prefix))),
    }
}

/// The first text after all those that start with `prefix`. No byte of UTF-8
/// is the highest one, so that the last byte can always be raised.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

fn compare(expect: &Expect) -> wire::Compare {
    wire::Compare {
        key: STANDARD.encode(expect.key.as_bytes()),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: expect.revision,
    }
}

fn operations(txn: &Transaction) -> Vec<wire::RequestOp> {
    let puts = txn.puts.iter().map(put);
    let deletes = txn.deletes.iter().map(delete);
    puts.chain(deletes).collect()
}

fn put(put: &Put) -> wire::RequestOp {
    wire::RequestOp {
        request_put: Some(wire::PutRequest {
            key: STANDARD.encode(put.key.as_bytes()),
            value: STANDARD.encode(&put.value),
            lease: put.lease.unwrap_or(0),
        }),
        ..wire::RequestOp::default()
    }
}

fn delete(delete: &Delete) -> wire::RequestOp {
    let range = match delete {
        Delete::Key(key) => one(key),
        Delete::Prefix(prefix) => all(prefix),
    };
    wire::RequestOp {
        request_delete_range: Some(range),
        ..wire::RequestOp::default()
    }
}

fn read_back(expect: &Expect) -> wire::RequestOp {
    wire::RequestOp {
        request_range: Some(one(&expect.key)),
        ..wire::RequestOp::default()
    }
}

fn first_difference(expect: &[Expect], res: &wire::TxnResponse) -> Result<Option<Entry>, KvError> {
    for (expect, response) in expect.iter().zip(&res.responses) {
        let range = response
            .response_range
            .as_ref()
            .ok_or_else(|| unknown("a read of the transaction has no answer"))?;
        let entry = entries(range)?.into_iter().next();
        if entry.as_ref().map_or(0, |entry| entry.revision) != expect.revision {
            return Ok(entry);
        }
    }
    Err(unknown(
        "the transaction failed though all keys are as expected",
    ))
}

fn entries(res: &wire::RangeResponse) -> Result<Vec<Entry>, KvError> {
    res.kvs.iter().map(entry).collect()
}

fn entry(pair: &wire::KeyValue) -> Result<Entry, KvError> {
    Ok(Entry {
        key: key(pair)?,
        value: STANDARD.decode(&pair.value).map_err(unknown)?,
        revision: pair.mod_revision,
    })
}

pub(crate) fn key(pair: &wire::KeyValue) -> Result<Box<str>, KvError> {
    let bytes = STANDARD.decode(&pair.key).map_err(unknown)?;
    let text = String::from_utf8(bytes).map_err(unknown)?;
    Ok(text.into())
}

fn lease(res: &wire::LeaseGrantResponse) -> Lease {
    Lease {
        id: res.id,
        ttl: Duration::from_secs(u64::try_from(res.ttl).unwrap_or(0)),
    }
}
