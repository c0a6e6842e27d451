//! Client of the platform: its key-value service, its list of instances, and
//! revisioned texts ([`DocumentStore`]) stored in the key-value service.
//!
//! Other crates use the key-value service only through the [`KeyValue`] trait,
//! so that another implementation can replace [`HttpKeyValue`]. [`DocumentStore`]
//! needs one that supports [`Delete::Prefix`].
//!
//! Errors distinguish calls that certainly had no effect from calls that may have
//! had one; see [`KvError`].

mod body;
mod connector;
mod document;
mod eras;
mod http;
mod http_kv;
mod instances;
mod kv;
mod watch;

pub use document::{ApplyOutcome, Document, DocumentError, DocumentStore};
pub use eras::{EraHeader, EraTracker};
pub use http::{Endpoint, EndpointConfig, Reply};
pub use http_kv::HttpKeyValue;
pub use instances::InstanceDirectory;
pub use kv::{
    Change, ChangeKind, Changes, Delete, Entry, KeyValue, KvError, Lease, LeaseId, Listing,
    Position, Precondition, Put, Transaction, TransactionOutcome, Watch,
};
