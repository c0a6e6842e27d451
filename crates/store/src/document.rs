//! A text with a revision, kept in the key-value service.
//!
//! The text is cut into chunks under `<prefix>/<token>/<number>`; the pointer
//! `<prefix>/current` names the chunks of the text in force. One transaction
//! writes pointer and chunks and deletes the chunks before. It compares the
//! pointer's store revision, so that of several copies of one write, and of
//! several writers, at most one takes effect for each revision.

use crate::kv::{Delete, Entry, Expect, KeyValue, KvError, Put, Swapped, Transaction};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::sync::Arc;

/// Largest chunk in bytes.
const CHUNK_BYTES: usize = 192 * 1024;
/// Tokens that the pointer remembers, newest last.
const REMEMBERED: usize = 64;
/// Reads of a text that is replaced while it is read.
const LOAD_TRIES: u32 = 8;
/// Writes and read-backs whose outcome stays unknown before giving up.
const SETTLE_TRIES: u32 = 3;

/// A text and its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Revision, which rises by one with each accepted text; the first is 1.
    pub revision: u64,
    /// The text.
    pub text: Box<str>,
}

/// What became of a text that was handed in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// It was accepted.
    Applied {
        /// The revision that it got.
        revision: u64,
    },
    /// Another text was accepted first; this one was not and never will be.
    LostRace {
        /// The revision in force; 0 when there is no text.
        current: u64,
    },
    /// It may have been accepted, or may still be. Handing in the same text
    /// with the same token and revision again is safe and settles it.
    StillUnknown,
}

/// Why a call failed. A text that was handed in was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DocumentError {
    /// The key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KvError),
    /// What is stored can't be read.
    #[error("the stored text is damaged: {0}")]
    Damaged(Box<str>),
    /// The text was replaced at each attempt to read it.
    #[error("the text is replaced faster than it can be read")]
    Busy,
    /// A token must be 1 to 64 letters, digits, `-` or `_`.
    #[error("a token must be 1 to 64 letters, digits, '-' or '_'")]
    BadToken,
}

/// Stores a document under a prefix.
#[derive(Clone, Debug)]
pub struct DocumentStore<K> {
    kv: Arc<K>,
    prefix: Box<str>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Pointer {
    revision: u64,
    token: Box<str>,
    chunks: usize,
    digest: Box<str>,
    /// Tokens of the last revisions, this one's last.
    recent: Vec<Box<str>>,
}

/// The pointer as it is stored. Without one, both revisions are 0.
struct Stored {
    pointer: Option<Pointer>,
    store_revision: i64,
}

impl<K> DocumentStore<K>
where
    K: KeyValue,
{
    /// Makes a store; `prefix` has no `/` at its end.
    #[must_use]
    pub fn new(kv: Arc<K>, prefix: &str) -> Self {
        Self {
            kv,
            prefix: prefix.into(),
        }
    }

    /// Reads the document; `None` when nothing was ever applied.
    ///
    /// # Errors
    /// See [`DocumentError`].
    pub async fn load(&self) -> Result<Option<Document>, DocumentError> {
        for _ in 0..LOAD_TRIES {
            let Some(pointer) = self.stored().await?.pointer else {
                return Ok(None);
            };
            let prefix = self.chunk_prefix(&pointer.token);
            let chunks = self.kv.list(&prefix).await?.entries;
            // The chunks of a token are written and deleted all at once, so
            // that none at all means that the text was replaced.
            if !chunks.is_empty() {
                return join(&pointer, &chunks).map(Some);
            }
        }
        Err(DocumentError::Busy)
    }

    /// Reads the revision in force; 0 when nothing was ever applied.
    ///
    /// # Errors
    /// See [`DocumentError`].
    pub async fn revision(&self) -> Result<u64, DocumentError> {
        Ok(self.stored().await?.revision())
    }

    /// Replaces the text of `expected_revision` (0 for none yet). The token
    /// names this attempt; no other attempt may ever use it.
    ///
    /// A lost answer is settled by reading the pointer back. If it still is
    /// as before, the same transaction is sent again: whichever copy comes
    /// first changes the pointer's store revision, and the other then fails.
    ///
    /// # Errors
    /// See [`DocumentError`]; after one, the text was not accepted.
    pub async fn apply(
        &self,
        expected_revision: u64,
        text: &str,
        token: &str,
    ) -> Result<ApplyOutcome, DocumentError> {
        check_token(token)?;
        let mut in_doubt = false;
        for _ in 0..SETTLE_TRIES {
            match self
                .try_apply(expected_revision, text, token, in_doubt)
                .await
            {
                Ok(outcome) => return Ok(outcome),
                Err(Attempt::InDoubt) => in_doubt = true,
                Err(Attempt::Failed(_)) if in_doubt => (),
                Err(Attempt::Failed(error)) => return Err(error),
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
    ) -> Result<ApplyOutcome, Attempt> {
        let stored = self.stored().await.map_err(Attempt::Failed)?;
        if let Some(outcome) = stored.settle(expected_revision, token, in_doubt) {
            return Ok(outcome);
        }
        let txn = self.transaction(&stored, text, token)?;
        match self.kv.txn(txn).await {
            Ok(Swapped::Done { .. }) => Ok(ApplyOutcome::Applied {
                revision: expected_revision + 1,
            }),
            // Another copy of this write, or another writer, came first; the
            // pointer tells which.
            Ok(Swapped::Lost { .. }) | Err(KvError::Unknown { .. }) => Err(Attempt::InDoubt),
            Err(error) => Err(Attempt::Failed(error.into())),
        }
    }

    fn transaction(
        &self,
        stored: &Stored,
        text: &str,
        token: &str,
    ) -> Result<Transaction, Attempt> {
        let chunks = split(text);
        let pointer = stored.next(text, token, chunks.len());
        let value = serde_json::to_vec(&pointer)
            .map_err(|error| Attempt::Failed(DocumentError::Damaged(error.to_string().into())))?;
        let mut puts = vec![plain_put(self.pointer_key(), value)];
        for (number, chunk) in chunks.iter().enumerate() {
            let key = format!("{}{number:06}", self.chunk_prefix(token));
            puts.push(plain_put(key, chunk.to_vec()));
        }
        let old = stored.pointer.iter();
        Ok(Transaction {
            expect: vec![Expect {
                key: self.pointer_key().into(),
                revision: stored.store_revision,
            }],
            puts,
            deletes: old
                .map(|old| Delete::Prefix(self.chunk_prefix(&old.token).into()))
                .collect(),
        })
    }

    async fn stored(&self) -> Result<Stored, DocumentError> {
        let Some(entry) = self.kv.get(&self.pointer_key()).await? else {
            return Ok(Stored {
                pointer: None,
                store_revision: 0,
            });
        };
        let pointer = serde_json::from_slice(&entry.value)
            .map_err(|error| DocumentError::Damaged(error.to_string().into()))?;
        Ok(Stored {
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

/// Why one attempt gave no outcome.
enum Attempt {
    /// The write may have taken effect.
    InDoubt,
    /// Nothing was written by this attempt.
    Failed(DocumentError),
}

impl Stored {
    fn revision(&self) -> u64 {
        self.pointer.as_ref().map_or(0, |pointer| pointer.revision)
    }

    /// The outcome, if the pointer decides it: the token is among those
    /// remembered, or the expected revision is not the one in force. With an
    /// earlier copy in doubt, a token counts as lost only if the revision that
    /// it would have got is still remembered.
    fn settle(&self, expected_revision: u64, token: &str, in_doubt: bool) -> Option<ApplyOutcome> {
        let current = self.revision();
        if let Some(pointer) = &self.pointer {
            let age = pointer.recent.iter().rev().position(|t| **t == *token);
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

    fn next(&self, text: &str, token: &str, chunks: usize) -> Pointer {
        let mut recent = match &self.pointer {
            Some(pointer) => pointer.recent.clone(),
            None => Vec::new(),
        };
        recent.push(token.into());
        let excess = recent.len().saturating_sub(REMEMBERED);
        recent.drain(..excess);
        Pointer {
            revision: self.revision() + 1,
            token: token.into(),
            chunks,
            digest: digest(text.as_bytes()),
            recent,
        }
    }
}

fn check_token(token: &str) -> Result<(), DocumentError> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if (1..=64).contains(&token.len()) && token.bytes().all(plain) {
        Ok(())
    } else {
        Err(DocumentError::BadToken)
    }
}

/// Cuts a text into chunks; an empty text has one, which is empty.
fn split(text: &str) -> Vec<&[u8]> {
    if text.is_empty() {
        return vec![&[]];
    }
    text.as_bytes().chunks(CHUNK_BYTES).collect()
}

fn join(pointer: &Pointer, chunks: &[Entry]) -> Result<Document, DocumentError> {
    let bytes: Vec<u8> = chunks
        .iter()
        .flat_map(|c| c.value.iter().copied())
        .collect();
    if chunks.len() != pointer.chunks || digest(&bytes) != pointer.digest {
        return Err(DocumentError::Damaged("its digest differs".into()));
    }
    let text = String::from_utf8(bytes)
        .map_err(|error| DocumentError::Damaged(error.to_string().into()))?;
    Ok(Document {
        revision: pointer.revision,
        text: text.into(),
    })
}

fn digest(bytes: &[u8]) -> Box<str> {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    text.into()
}

fn plain_put(key: String, value: Vec<u8>) -> Put {
    Put {
        key: key.into(),
        value,
        lease: None,
    }
}
