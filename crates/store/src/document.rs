//! A text with a revision, stored in the key-value service.
//!
//! The text is split into chunks under `<prefix>/<token>/<number>`; the pointer
//! `<prefix>/current` names the chunks of the current text. One transaction
//! writes the pointer and the new chunks and deletes the previous chunks. It
//! compares the pointer's store revision, so for each revision at most one write
//! takes effect, whether it was sent several times or by several writers.

use crate::kv::{
    Delete, Entry, KeyValue, KvError, Precondition, Put, Transaction, TransactionOutcome,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::sync::Arc;

/// Largest chunk in bytes.
const MAX_CHUNK_BYTES: usize = 192 * 1024;
/// Maximum number of write tokens (see [`DocumentStore::apply`]) that the pointer
/// keeps; it keeps the latest ones.
const RECENT_TOKENS: usize = 64;
/// Attempts to read a text that is replaced while it is read.
const LOAD_ATTEMPTS: u32 = 8;
/// Attempts to write a text while the outcome of the write stays unknown.
const APPLY_ATTEMPTS: u32 = 3;

/// A text and its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Revision of the text. The first is 1; each accepted text adds 1.
    pub revision: u64,
    /// The text.
    pub text: Box<str>,
}

/// Outcome of [`DocumentStore::apply`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The text was accepted.
    Applied {
        /// Revision of the accepted text.
        revision: u64,
    },
    /// The current revision is not the expected one, usually because another
    /// text was accepted first. This text was not accepted and won't be.
    LostRace {
        /// Current revision; 0 if there is no text.
        current: u64,
    },
    /// The text may have been accepted, or may still be. Applying the same text
    /// with the same token and expected revision again is safe and determines
    /// the outcome.
    StillUnknown,
}

/// Why an operation on a document failed. A text passed to
/// [`DocumentStore::apply`] was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DocumentError {
    /// The key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KvError),
    /// The stored pointer or chunks can't be decoded or don't match, or a new
    /// pointer can't be encoded.
    #[error("the stored text is damaged: {0}")]
    Damaged(Box<str>),
    /// The text was replaced during each attempt to read it.
    #[error("the text is replaced faster than it can be read")]
    Busy,
    /// The token is not 1 to 64 letters, digits, `-` or `_`.
    #[error("a token must be 1 to 64 letters, digits, '-' or '_'")]
    BadToken,
}

/// Stores one document under a key prefix.
#[derive(Clone, Debug)]
pub struct DocumentStore<K> {
    kv: Arc<K>,
    prefix: Box<str>,
}

/// Value of the key `<prefix>/current`.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Pointer {
    revision: u64,
    token: Box<str>,
    /// Number of chunks.
    chunks: usize,
    /// SHA-256 digest of the text, in hexadecimal.
    digest: Box<str>,
    /// Tokens of the latest revisions, oldest first; `token` is the last.
    recent: Vec<Box<str>>,
}

/// The pointer with the store revision of its key. If the key is absent, the
/// document's revision and `store_revision` are 0.
struct StoredPointer {
    pointer: Option<Pointer>,
    store_revision: i64,
}

impl<K> DocumentStore<K>
where
    K: KeyValue,
{
    /// Creates a store. `prefix` must not end with `/`.
    #[must_use]
    pub fn new(kv: Arc<K>, prefix: &str) -> Self {
        Self {
            kv,
            prefix: prefix.into(),
        }
    }

    /// Reads the document; `None` if no text was ever applied.
    ///
    /// # Errors
    /// See [`DocumentError`].
    pub async fn load(&self) -> Result<Option<Document>, DocumentError> {
        for _ in 0..LOAD_ATTEMPTS {
            let Some(pointer) = self.read_pointer().await?.pointer else {
                return Ok(None);
            };
            let prefix = self.chunk_prefix(&pointer.token);
            let chunks = self.kv.list(&prefix).await?.entries;
            // All chunks of a token are written in one transaction, together with
            // the pointer, and deleted in one later transaction, so an empty list
            // means that the text was replaced since the pointer was read.
            if !chunks.is_empty() {
                return join_chunks(&pointer, &chunks).map(Some);
            }
        }
        Err(DocumentError::Busy)
    }

    /// Reads the current revision; 0 if no text was ever applied.
    ///
    /// # Errors
    /// See [`DocumentError`].
    pub async fn revision(&self) -> Result<u64, DocumentError> {
        Ok(self.read_pointer().await?.revision())
    }

    /// Replaces the text of `expected_revision` (0 if there is no text yet).
    /// `token` identifies this write and must never be used for another one.
    ///
    /// If the response to the transaction is lost, the pointer is read again. If
    /// it is unchanged, the same transaction is sent again: whichever is processed
    /// first changes the pointer's store revision, so the other one fails.
    ///
    /// # Errors
    /// See [`DocumentError`]. If an error is returned, the text was not accepted.
    pub async fn apply(
        &self,
        expected_revision: u64,
        text: &str,
        token: &str,
    ) -> Result<ApplyOutcome, DocumentError> {
        check_token(token)?;
        let mut in_doubt = false;
        for _ in 0..APPLY_ATTEMPTS {
            match self
                .try_apply(expected_revision, text, token, in_doubt)
                .await
            {
                Ok(outcome) => return Ok(outcome),
                Err(AttemptError::InDoubt) => in_doubt = true,
                Err(AttemptError::Failed(_)) if in_doubt => (),
                Err(AttemptError::Failed(error)) => return Err(error),
            }
        }
        Ok(ApplyOutcome::StillUnknown)
    }

    async fn try_apply(
        &self,
        expected_revision: u64,
        text: &str,
        token: &str,
        in_doubt: bool,
    ) -> Result<ApplyOutcome, AttemptError> {
        let stored = self.read_pointer().await.map_err(AttemptError::Failed)?;
        if let Some(outcome) = stored.known_outcome(expected_revision, token, in_doubt) {
            return Ok(outcome);
        }
        let txn = self.transaction(&stored, text, token)?;
        match self.kv.txn(txn).await {
            Ok(TransactionOutcome::Committed { .. }) => Ok(ApplyOutcome::Applied {
                revision: expected_revision + 1,
            }),
            // On a conflict, an earlier attempt at this write or another writer
            // changed the pointer. The next attempt reads the pointer to find
            // out which.
            Ok(TransactionOutcome::Conflict { .. }) | Err(KvError::Unknown { .. }) => {
                Err(AttemptError::InDoubt)
            }
            Err(error) => Err(AttemptError::Failed(error.into())),
        }
    }

    fn transaction(
        &self,
        stored: &StoredPointer,
        text: &str,
        token: &str,
    ) -> Result<Transaction, AttemptError> {
        let chunks = split_into_chunks(text);
        let pointer = stored.next_pointer(text, token, chunks.len());
        let value = serde_json::to_vec(&pointer).map_err(|error| {
            AttemptError::Failed(DocumentError::Damaged(error.to_string().into()))
        })?;
        let mut puts = vec![put_without_lease(self.pointer_key(), value)];
        for (number, chunk) in chunks.iter().enumerate() {
            let key = format!("{}{number:06}", self.chunk_prefix(token));
            puts.push(put_without_lease(key, chunk.to_vec()));
        }
        let old = stored.pointer.iter();
        Ok(Transaction {
            preconditions: vec![Precondition {
                key: self.pointer_key().into(),
                revision: stored.store_revision,
            }],
            puts,
            deletes: old
                .map(|old| Delete::Prefix(self.chunk_prefix(&old.token).into()))
                .collect(),
        })
    }

    async fn read_pointer(&self) -> Result<StoredPointer, DocumentError> {
        let Some(entry) = self.kv.get(&self.pointer_key()).await? else {
            return Ok(StoredPointer {
                pointer: None,
                store_revision: 0,
            });
        };
        let pointer = serde_json::from_slice(&entry.value)
            .map_err(|error| DocumentError::Damaged(error.to_string().into()))?;
        Ok(StoredPointer {
            pointer: Some(pointer),
            store_revision: entry.revision,
        })
    }

    fn pointer_key(&self) -> String {
        format!("{}/current", self.prefix)
    }

    fn chunk_prefix(&self, token: &str) -> String {
        format!("{}/{token}/", self.prefix)
    }
}

/// Why an attempt to apply a text has no outcome.
enum AttemptError {
    /// The transaction, as sent by this attempt or an earlier one, may have taken
    /// effect.
    InDoubt,
    /// This attempt wrote nothing.
    Failed(DocumentError),
}

impl StoredPointer {
    fn revision(&self) -> u64 {
        self.pointer.as_ref().map_or(0, |pointer| pointer.revision)
    }

    /// Returns the outcome of a write if the pointer determines it: the token is
    /// among the recent ones, or the expected revision is not the current one.
    /// If an earlier attempt may have taken effect, a missing token is a proof
    /// only if `recent` reaches back to revision `expected_revision + 1`.
    /// Otherwise the token may have been dropped from the list, and the outcome
    /// is unknown.
    fn known_outcome(
        &self,
        expected_revision: u64,
        token: &str,
        in_doubt: bool,
    ) -> Option<ApplyOutcome> {
        let current = self.revision();
        if let Some(pointer) = &self.pointer {
            let age = pointer
                .recent
                .iter()
                .rev()
                .position(|recent| **recent == *token);
            if let Some(age) = age {
                return Some(ApplyOutcome::Applied {
                    revision: current - age as u64,
                });
            }
            if in_doubt && current > expected_revision + pointer.recent.len() as u64 {
                return Some(ApplyOutcome::StillUnknown);
            }
        }
        (current != expected_revision).then_some(ApplyOutcome::LostRace { current })
    }

    fn next_pointer(&self, text: &str, token: &str, chunks: usize) -> Pointer {
        let mut recent = match &self.pointer {
            Some(pointer) => pointer.recent.clone(),
            None => Vec::new(),
        };
        recent.push(token.into());
        let excess = recent.len().saturating_sub(RECENT_TOKENS);
        recent.drain(..excess);
        Pointer {
            revision: self.revision() + 1,
            token: token.into(),
            chunks,
            digest: sha256_hex(text.as_bytes()),
            recent,
        }
    }
}

fn check_token(token: &str) -> Result<(), DocumentError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if (1..=64).contains(&token.len()) && token.bytes().all(is_allowed) {
        Ok(())
    } else {
        Err(DocumentError::BadToken)
    }
}

/// Splits a text into chunks. An empty text has one empty chunk.
fn split_into_chunks(text: &str) -> Vec<&[u8]> {
    if text.is_empty() {
        return vec![&[]];
    }
    text.as_bytes().chunks(MAX_CHUNK_BYTES).collect()
}

fn join_chunks(pointer: &Pointer, chunks: &[Entry]) -> Result<Document, DocumentError> {
    let bytes: Vec<u8> = chunks
        .iter()
        .flat_map(|chunk| chunk.value.iter().copied())
        .collect();
    if chunks.len() != pointer.chunks || sha256_hex(&bytes) != pointer.digest {
        return Err(DocumentError::Damaged(
            "the chunks do not match the pointer".into(),
        ));
    }
    let text = String::from_utf8(bytes)
        .map_err(|error| DocumentError::Damaged(error.to_string().into()))?;
    Ok(Document {
        revision: pointer.revision,
        text: text.into(),
    })
}

fn sha256_hex(bytes: &[u8]) -> Box<str> {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    text.into()
}

fn put_without_lease(key: String, value: Vec<u8>) -> Put {
    Put {
        key: key.into(),
        value,
        lease: None,
    }
}
