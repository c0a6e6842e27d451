//! The key-value service as the rest of the program sees it.

use futures::stream::BoxStream;
use std::time::Duration;

/// Id of a lease.
pub type LeaseId = i64;

/// A stream of changes. It ends after the first error; the caller then reads
/// the keys again and watches from the revision of that read.
pub type Watch = BoxStream<'static, Result<Changes, KvError>>;

/// Why a call gave no answer that can be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KvError {
    /// No byte of the call left this process: it has no effect, now or later.
    #[error("not sent: {message}")]
    NotSent {
        /// What went wrong.
        message: Box<str>,
    },
    /// The call was sent and its outcome is not known: a write may have taken
    /// effect, and may still take effect.
    #[error("no answer: {message}")]
    Unknown {
        /// What went wrong.
        message: Box<str>,
    },
    /// The service refused the call, which has no effect.
    #[error("rejected with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// The service's text.
        message: Box<str>,
    },
}

impl KvError {
    /// Whether a watch failed because its history is no longer kept. The
    /// service is there and can be listed.
    #[must_use]
    pub const fn is_history_gone(&self) -> bool {
        const GONE: u16 = 410;
        matches!(self, Self::Rejected { status: GONE, .. })
    }
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: Box<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision of the last change of this key; never 0.
    pub revision: i64,
}

/// Keys found by a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Store revision of the read; a watch goes on from the next one.
    pub revision: i64,
    /// The entries, by key.
    pub entries: Vec<Entry>,
}

/// What became of a conditional write that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swapped {
    /// It took effect.
    Done {
        /// Store revision of the write, which its keys now have.
        revision: i64,
    },
    /// A key was not as expected, and nothing was written.
    Lost {
        /// The first key that differs, as it is; `None` when it is absent.
        current: Option<Entry>,
    },
}

/// A condition of a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Expect {
    /// The key.
    pub key: Box<str>,
    /// Revision that it must have; 0 when it must be absent.
    pub revision: i64,
}

/// A value to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The key.
    pub key: Box<str>,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
    /// Lease at whose end the key is deleted.
    pub lease: Option<LeaseId>,
}

/// Keys to delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delete {
    /// One key.
    Key(Box<str>),
    /// Every key that starts with this text.
    Prefix(Box<str>),
}

/// Writes that take effect all together, or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// What must hold.
    pub expect: Vec<Expect>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub deletes: Vec<Delete>,
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// Time to live. The service counts it from some time between call and
    /// answer, so that a holder counts it from before its call.
    pub ttl: Duration,
}

/// Changes made by one write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Store revision up to which the watch has told everything.
    pub revision: i64,
    /// The changes; empty when the service only tells that it is there.
    pub changes: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: Box<str>,
    /// Store revision of the change.
    pub revision: i64,
    /// What happened.
    pub kind: ChangeKind,
}

/// What a [`Change`] did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The key was deleted, or its lease ended.
    Delete,
    /// The key has this value now.
    Put(Vec<u8>),
}

/// The key-value service. Reads are linearizable.
///
/// A future that is dropped before it ends leaves its call in the state that
/// [`KvError::Unknown`] describes.
pub trait KeyValue: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, KvError>> + Send;

    /// Reads all keys that start with `prefix`, which must not be empty.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, KvError>> + Send;

    /// Does a transaction.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn txn(&self, txn: Transaction) -> impl Future<Output = Result<Swapped, KvError>> + Send;

    /// Watches the keys that start with `prefix`, from the changes of
    /// `from_revision` on; 0 starts with the next change.
    ///
    /// # Errors
    /// Any [`KvError`]; rejected when the service no longer has the changes.
    fn watch(
        &self,
        prefix: &str,
        from_revision: i64,
    ) -> impl Future<Output = Result<Watch, KvError>> + Send;

    /// Takes a new lease. `ttl` is rounded up to whole seconds.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>> + Send;

    /// Prolongs a lease; `None` when it has ended.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_keep_alive(
        &self,
        id: LeaseId,
    ) -> impl Future<Output = Result<Option<Lease>, KvError>> + Send;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn lease_revoke(&self, id: LeaseId) -> impl Future<Output = Result<(), KvError>> + Send;

    /// Writes `value` if the key's revision is `expected`; 0 when the key must
    /// be absent.
    ///
    /// # Errors
    /// Any [`KvError`].
    fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<Swapped, KvError>> + Send {
        self.txn(Transaction {
            expect: vec![expect(key, expected)],
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
    fn delete_if(
        &self,
        key: &str,
        expected: i64,
    ) -> impl Future<Output = Result<Swapped, KvError>> + Send {
        self.txn(Transaction {
            expect: vec![expect(key, expected)],
            puts: Vec::new(),
            deletes: vec![Delete::Key(key.into())],
        })
    }
}

fn expect(key: &str, revision: i64) -> Expect {
    Expect {
        key: key.into(),
        revision,
    }
}
