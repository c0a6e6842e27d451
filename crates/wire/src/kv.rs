//! The key-value service's calls: HTTP with JSON bodies, keys and values in
//! base64, 64-bit numbers as decimal strings.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /v3/kv/range` | [`RangeRequest`] | [`RangeResponse`] |
//! | `POST /v3/kv/txn` | [`TxnRequest`] | [`TxnResponse`] |
//! | `POST /v3/lease/grant` | [`LeaseGrantRequest`] | [`LeaseGrantResponse`] |
//! | `POST /v3/lease/keepalive` | [`LeaseRequest`] | [`LeaseKeepAliveResponse`] |
//! | `POST /v3/lease/revoke` | [`LeaseRequest`] | `{}` |
//! | `POST /v3/watch` | [`WatchRequest`] | one [`WatchResponse`] a line, until closed |

use serde::{Deserialize, Serialize};

/// Serde form of 64-bit numbers: written as strings, read from both.
pub mod number {
    use serde::de::Error as _;
    use serde::{Deserialize as _, Deserializer, Serializer};

    /// Writes the number as a decimal string.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S>(value: &i64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(value)
    }

    /// Reads a number or a decimal string.
    ///
    /// # Errors
    /// When the value is neither.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<i64, D::Error>
    where
        D: Deserializer<'de>,
    {
        match serde_json::Value::deserialize(deserializer)? {
            serde_json::Value::Number(n) => n.as_i64().ok_or_else(|| D::Error::custom("range")),
            serde_json::Value::String(s) => s.parse().map_err(D::Error::custom),
            other => Err(D::Error::custom(format!("expected a number, got {other}"))),
        }
    }
}

/// Part of every answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHeader {
    /// Revision of the whole store when it answered.
    #[serde(default, with = "number")]
    pub revision: i64,
}

/// Reads one key, or all keys in `key..range_end`. Reads are linearizable.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeRequest {
    /// First key, base64.
    pub key: String,
    /// End of the range (not included), base64; absent reads one key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
}

/// A key and its value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyValue {
    /// Key, base64.
    pub key: String,
    /// Value, base64.
    #[serde(default)]
    pub value: String,
    /// Revision at which the key was created.
    #[serde(default, with = "number")]
    pub create_revision: i64,
    /// Revision of the last change.
    #[serde(default, with = "number")]
    pub mod_revision: i64,
    /// Lease the key is bound to; 0 for none.
    #[serde(default, with = "number")]
    pub lease: i64,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeResponse {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The pairs found, by key.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A transaction: `success` if every comparison holds, else `failure`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TxnRequest {
    /// The comparisons.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Done when all hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Done when one does not.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Compares a key's last revision for equality; 0 means that it is absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Compare {
    /// Key, base64.
    pub key: String,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The revision expected.
    #[serde(default, with = "number")]
    pub mod_revision: i64,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOp {
    /// Writes a value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes a key or range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
    /// Reads a key or range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
}

/// Writes a value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PutRequest {
    /// Key, base64.
    pub key: String,
    /// Value, base64; at most a megabyte.
    pub value: String,
    /// Lease to bind the key to; 0 for none.
    #[serde(default, with = "number")]
    pub lease: i64,
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TxnResponse {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether the comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// One answer for each operation done.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// Answer to one operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseOp {
    /// Set for a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Asks for a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "number")]
    pub ttl: i64,
}

/// A lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGrantResponse {
    /// Its id.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "number")]
    pub ttl: i64,
}

/// Names a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Its id.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
}

/// Answer to a keep-alive; a TTL of 0 means that the lease has ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseKeepAliveResponse {
    /// The lease as it is now.
    pub result: LeaseGrantResponse,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchCreateRequest {
    /// First key, base64.
    pub key: String,
    /// End of the range (not included), base64; absent watches one key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
    /// Changes from this revision on; 0 means from now.
    #[serde(default, with = "number")]
    pub start_revision: i64,
}

/// One line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchResponse {
    /// What happened.
    pub result: WatchResult,
}

/// Events of one line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchResult {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Set on the first line.
    #[serde(default)]
    pub created: bool,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchEvent {
    /// `PUT` or `DELETE`.
    #[serde(rename = "type", default = "put")]
    pub kind: String,
    /// The pair; on a delete only the key and its revision.
    pub kv: KeyValue,
}

fn put() -> String {
    "PUT".to_owned()
}
