//! Protocol of the key-value service: HTTP with JSON bodies, keys and values in
//! base64, 64-bit numbers as decimal strings.
//!
//! | endpoint | request | response |
//! |---|---|---|
//! | `POST /v3/kv/range` | [`RangeRequest`] | [`RangeResponse`] |
//! | `POST /v3/kv/txn` | [`TxnRequest`] | [`TxnResponse`] |
//! | `POST /v3/lease/grant` | [`LeaseGrantRequest`] | [`LeaseGrantResponse`] |
//! | `POST /v3/lease/keepalive` | [`LeaseRequest`] | [`LeaseKeepAliveResponse`] |
//! | `POST /v3/lease/revoke` | [`LeaseRequest`] | `{}` |
//! | `POST /v3/watch` | [`WatchRequest`] | one [`WatchResponse`] on each line, until closed |

use serde::{Deserialize, Serialize};

/// Serde form of 64-bit numbers: serialized as decimal strings, deserialized from
/// strings and numbers.
pub mod number {
    use serde::de::Error as _;
    use serde::{Deserialize as _, Deserializer, Serializer};

    /// Serializes the number as a decimal string.
    ///
    /// # Errors
    /// Returns the errors of the serializer.
    pub fn serialize<S>(value: &i64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(value)
    }

    /// Deserializes a number or a decimal string.
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

/// Header of every response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseHeader {
    /// Revision of the whole store at the time of the response.
    #[serde(default, with = "number")]
    pub revision: i64,
}

/// Request to read or delete one key, or all keys in `key..range_end`. Reads are
/// linearizable.
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
    /// Lease that the key is bound to; 0 for none.
    #[serde(default, with = "number")]
    pub lease: i64,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeResponse {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// The pairs in the range, ordered by key.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A transaction: runs `success` if every comparison holds, else `failure`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TxnRequest {
    /// The comparisons.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations to run when all comparisons hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Operations to run when a comparison does not hold.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Requires that the last change of a key has a certain revision; 0 means that the
/// key is absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Compare {
    /// Key, base64.
    pub key: String,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The required revision.
    #[serde(default, with = "number")]
    pub mod_revision: i64,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOp {
    /// Writes a value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes a key or a range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
    /// Reads a key or a range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
}

/// Request to write a value.
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

/// Response to [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TxnResponse {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether all comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// One response for each operation that ran.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// Response to one operation of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseOp {
    /// Response to `request_range`; absent for other operations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Request to grant a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "number")]
    pub ttl: i64,
}

/// Id and time to live of a lease, in the response to a grant or a renewal.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseGrantResponse {
    /// Id of the lease.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "number")]
    pub ttl: i64,
}

/// Request to renew or revoke a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Id of the lease.
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
}

/// Response to a keep-alive; a TTL of 0 means that the lease has ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseKeepAliveResponse {
    /// Current state of the lease.
    pub result: LeaseGrantResponse,
}

/// Request to start a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// Keys to watch.
    pub create_request: WatchCreateRequest,
}

/// Keys to watch, and the revision to start from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchCreateRequest {
    /// First key, base64.
    pub key: String,
    /// End of the range (not included), base64; absent watches one key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
    /// First revision whose changes are reported; 0 for changes from now on.
    #[serde(default, with = "number")]
    pub start_revision: i64,
}

/// One line of the response to a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchResponse {
    /// Events of the line.
    pub result: WatchResult,
}

/// Content of one line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchResult {
    /// Store revision.
    #[serde(default)]
    pub header: ResponseHeader,
    /// Whether this is the first line, which confirms the watch.
    #[serde(default)]
    pub created: bool,
    /// Changes of the watched keys.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchEvent {
    /// `PUT` or `DELETE`.
    #[serde(rename = "type", default = "default_kind")]
    pub kind: String,
    /// The changed pair; after a delete only the key and the revision.
    pub kv: KeyValue,
}

fn default_kind() -> String {
    "PUT".to_owned()
}
