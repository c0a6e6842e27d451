//! Client of the platform: its key-value service, its list of instances, and
//! texts that are kept in the key-value service.
//!
//! [`KeyValue`] is the edge: the rest of the program names only that trait, so
//! that another store can take the place of [`HttpKeyValue`]. Every call tells
//! apart what surely had no effect from what may have had one; see [`KvError`].

mod document;
mod http;
mod http_kv;
mod instances;
mod kv;
mod watch;

pub use document::{ApplyOutcome, Document, DocumentError, DocumentStore};
pub use http::{Endpoint, EndpointConfig};
pub use http_kv::HttpKeyValue;
pub use instances::InstanceDirectory;
pub use kv::{
    Change, ChangeKind, Changes, Delete, Entry, Expect, KeyValue, KvError, Lease, LeaseId, Listing,
    Put, Swapped, Transaction, Watch,
};
