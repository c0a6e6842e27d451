//! The interface to the key-value service that other crates use.

use futures::stream::BoxStream;
use reedford_core::Era;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Id of a lease, assigned by the service.
pub type LeaseId = i64;

/// A stream of changes. It ends after the first error; the consumer then lists
/// the keys again and watches from the revision after that listing.
pub type Watch = BoxStream<'static, Result<Changes, KvError>>;

/// Why a call to the service failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KvError {
    /// No part of the request was sent, so it has no effect, now or later.
    #[error("not sent: {message}")]
    NotSent {
        /// What went wrong.
        message: Box<str>,
    },
    /// The outcome of the request is not known, because no response was received
    /// or the response doesn't determine it: a write may have taken effect, or
    /// may still take effect.
    #[error("no answer: {message}")]
    Unknown {
        /// What went wrong.
        message: Box<str>,
    },
    /// The service responded with an error status. A request that is not
    /// idempotent has no effect; an idempotent one may have had its effect if
    /// the status is a server error.
    #[error("rejected with status {status}: {message}")]
    Rejected {
        /// HTTP status code.
        status: u16,
        /// Era of the store that responded.
        era: Era,
        /// Body of the response.
        message: Box<str>,
    },
}

impl Listing {
    /// Returns the position of the read.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

impl Changes {
    /// Returns the position up to which the watch has delivered all changes.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }
}

impl KvError {
    /// Returns whether a watch failed because the service no longer has the
    /// changes since its start revision. The keys can still be listed.
    #[must_use]
    pub const fn is_history_compacted(&self) -> bool {
        const HTTP_GONE: u16 = 410;
        matches!(
            self,
            Self::Rejected {
                status: HTTP_GONE,
                ..
            }
        )
    }
}

/// A point in the history of the store. A later era is later than all of an
/// earlier one, whatever the revisions.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    // The order of the fields is that of the comparison.
    /// Era in which the revision was given out.
    pub era: Era,
    /// Revision within the era; 0 is before all of its changes.
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last change to this key; never 0.
    pub revision: i64,
}

/// All keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Era of the revisions.
    pub era: Era,
    /// Store revision of the read; a watch continues from the next one. The
    /// entries may also show later changes, which that watch delivers again.
    pub revision: i64,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// Outcome of a [`Transaction`] that the service has processed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// The transaction took effect.
    Committed {
        /// Era of the revision.
        era: Era,
        /// Store revision of the transaction, which is now that of its keys.
        revision: i64,
    },
    /// A precondition did not hold, and nothing was written.
    Conflict {
        /// Era of the current entry.
        era: Era,
        /// Current entry of the first key whose precondition did not hold; `None`
        /// if the key is absent.
        current: Option<Entry>,
    },
}

/// A condition on the revision of a key in a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Precondition {
    /// The key.
    pub key: Box<str>,
    /// Revision that the key must have; 0 if the key must be absent.
    pub revision: i64,
}

/// A value to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The key.
    pub key: Box<str>,
    /// The value, at most 1 MiB.
    pub value: Vec<u8>,
    /// Lease that the key is bound to: the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Keys to delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delete {
    /// One key.
    Key(Box<str>),
    /// All keys with this prefix. [`crate::DocumentStore`] requires it; other
    /// implementations of [`KeyValue`] may reject it with
    /// [`KvError::NotSent`].
    Prefix(Box<str>),
}

/// Writes that take effect atomically, if all preconditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions under which the writes take effect.
    pub preconditions: Vec<Precondition>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<Delete>,
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Era in which it was granted or renewed. A lease of an earlier era than the
    /// store's has ended, and its id may have been given out again.
    pub era: Era,
    /// Id of the lease.
    pub id: LeaseId,
    /// Time to live. It starts when the service processes the request, so the
    /// holder must measure it from before it sent the request.
    pub ttl: Duration,
}

/// The changes of one message of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Era of the revisions. If it is not that of the watch's start revision, the
    /// changes don't continue what the consumer knows.
    pub era: Era,
    /// Store revision up to which the watch has delivered all changes.
    pub revision: i64,
    /// The changes; empty in a progress message.
    pub changes: Vec<Change>,
}

/// A change to one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: Box<str>,
    /// Store revision of the change.
    pub revision: i64,
    /// The kind of change, with the new value.
    pub kind: ChangeKind,
}

/// Kind of a [`Change`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The key was deleted, explicitly or because its lease ended.
    Delete,
    /// The key was created or updated with this value.
    Put(Vec<u8>),
}

/// The key-value service. Reads are linearizable.
///
/// A service that was restored from a copy begins a new era: it has forgotten
/// its latest changes, ended all leases, and gives out revisions and lease ids
/// again. Revisions of different eras are not comparable; see [`Position`].
///
/// If a future is dropped before it completes, the outcome of its request is
/// unknown, as with [`KvError::Unknown`].
pub trait KeyValue: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, KvError>> + Send;

    /// Lists all keys that start with `prefix`, which must not be empty.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, KvError>> + Send;

    /// Like [`Self::list`], but the listing may be a few seconds old, which a
    /// service may offer at a lower cost.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Listing, KvError>> + Send {
        self.list(prefix)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn txn(
        &self,
        txn: Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, KvError>> + Send;

    /// Watches the keys that start with `prefix`, from the changes at
    /// `from_revision` on; 0 starts with the next change.
    ///
    /// # Errors
    /// Any [`KvError`]; [`KvError::Rejected`] if the service no longer has the
    /// changes since `from_revision`.
    fn watch(
        &self,
        prefix: &str,
        from_revision: i64,
    ) -> impl Future<Output = Result<Watch, KvError>> + Send;

    /// Requests a new lease. The service may round `ttl` up.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Renews a lease; returns `None` if it has ended.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_keep_alive(
        &self,
        id: LeaseId,
    ) -> impl Future<Output = Result<Option<Lease>, KvError>> + Send;

    /// Revokes a lease and deletes the keys bound to it.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_revoke(&self, id: LeaseId) -> impl Future<Output = Result<(), KvError>> + Send;

    /// Writes `value` if the key's revision is `expected`; 0 requires that the
    /// key is absent.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn compare_and_swap(
        &self,
        key: &str,
        expected: i64,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<TransactionOutcome, KvError>> + Send {
        self.txn(Transaction {
            preconditions: vec![precondition(key, expected)],
            puts: vec![Put {
                key: key.into(),
                value,
                lease: None,
            }],
            deletes: Vec::new(),
        })
    }

    /// Deletes the key if its revision is `expected`.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn compare_and_delete(
        &self,
        key: &str,
        expected: i64,
    ) -> impl Future<Output = Result<TransactionOutcome, KvError>> + Send {
        self.txn(Transaction {
            preconditions: vec![precondition(key, expected)],
            puts: Vec::new(),
            deletes: vec![Delete::Key(key.into())],
        })
    }
}

fn precondition(key: &str, revision: i64) -> Precondition {
    Precondition {
        key: key.into(),
        revision,
    }
}
