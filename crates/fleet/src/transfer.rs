//! How large values get from one node to many others.
//!
//! A body is compressed against a value that its receiver already has, and is sent in
//! parts that the receiver requests a few at a time, so that a time limit is for a part
//! whatever the size of the body, a transfer that breaks off goes on where it ended, and
//! a narrow link has at most a few parts of each receiver in its queue.

use crate::Now;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a value or a body.
pub type Digest = u64;

/// Bytes in one part of a body.
pub const PART_BYTES: usize = 16 << 10;
/// Values that are kept to compress later ones against.
const MAX_RECENT_VALUES: usize = 4;
/// Encoded bodies that are kept for their receivers.
const MAX_BODIES: usize = 8;
/// Maximum size of a decoded body, well above the largest value of the store.
const MAX_DECODED_BYTES: usize = 16 << 20;
/// Compression level at which a change of a few bytes in a value of a megabyte is found.
const COMPRESSION_LEVEL: i32 = 3;

/// Why a body can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The body is larger than any that is sent.
    #[error("a body of {0} bytes is too large")]
    TooLarge(usize),
    /// The value that the body was compressed against is not known any more.
    #[error("the base {0:016x} is not known")]
    UnknownBase(Digest),
    /// The bytes are not those that were sent.
    #[error("the body is corrupt")]
    Corrupt,
}

/// Describes an encoded body to its receiver.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyInfo {
    /// Hash of the encoded body, by which its parts are requested.
    pub id: Digest,
    /// Size of the encoded body in bytes.
    pub size: usize,
    /// Hash of the decoded body.
    pub decoded_digest: Digest,
    /// Size of the decoded body in bytes.
    pub decoded_size: usize,
    /// Hash of the value that the body was compressed against, if any.
    pub base: Option<Digest>,
}

/// An encoded body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Body {
    /// What its receiver has to know.
    pub info: BodyInfo,
    bytes: Box<[u8]>,
}

impl Body {
    /// Returns the part at an offset; `None` if the body has none there.
    #[must_use]
    pub fn part(&self, offset: usize) -> Option<&[u8]> {
        let rest = self.bytes.get(offset..)?;
        (!rest.is_empty()).then(|| &rest[..rest.len().min(PART_BYTES)])
    }
}

/// Returns the hash of a value.
#[must_use]
pub fn digest(value: &[u8]) -> Digest {
    xxh3_64(value)
}

/// The last large values, to compress later ones against.
#[derive(Clone, Debug, Default)]
pub struct RecentValues(VecDeque<(Digest, Arc<[u8]>)>);

impl RecentValues {
    /// Records a value if it is large enough to be compressed against.
    pub fn record(&mut self, value: &[u8]) {
        if value.len() < PART_BYTES {
            return;
        }
        let digest = digest(value);
        self.0.retain(|(known, _)| *known != digest);
        self.0.push_back((digest, value.into()));
        if self.0.len() > MAX_RECENT_VALUES {
            self.0.pop_front();
        }
    }

    /// Returns the hash of the value that was recorded last.
    #[must_use]
    pub fn newest(&self) -> Option<Digest> {
        self.0.back().map(|(digest, _)| *digest)
    }

    /// Returns a value that was recorded lately.
    #[must_use]
    pub fn get(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let found = self.0.iter().find(|(known, _)| *known == digest);
        found.map(|(_, value)| Arc::clone(value))
    }
}

/// Encoded bodies, each of which many nodes request at about the same time.
#[derive(Clone, Debug, Default)]
pub struct Bodies(VecDeque<Arc<Body>>);

impl Bodies {
    /// Returns a body for receivers that have `base`, encoding it unless it is kept.
    ///
    /// # Errors
    /// When the body can't be compressed.
    pub fn encode(
        &mut self,
        decoded: &[u8],
        base: Option<(Digest, &[u8])>,
    ) -> std::io::Result<BodyInfo> {
        let decoded_digest = digest(decoded);
        let base_digest = base.map(|(digest, _)| digest);
        let is_same =
            |info: &BodyInfo| info.decoded_digest == decoded_digest && info.base == base_digest;
        if let Some(kept) = self.0.iter().find(|body| is_same(&body.info)) {
            return Ok(kept.info);
        }
        let bytes = match base {
            Some((_, base)) => zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base)?
                .compress(decoded)?,
            None => zstd::bulk::compress(decoded, COMPRESSION_LEVEL)?,
        };
        let info = BodyInfo {
            id: digest(&bytes),
            size: bytes.len(),
            decoded_digest,
            decoded_size: decoded.len(),
            base: base_digest,
        };
        self.0.push_back(Arc::new(Body {
            info,
            bytes: bytes.into(),
        }));
        if self.0.len() > MAX_BODIES {
            self.0.pop_front();
        }
        Ok(info)
    }

    /// Returns a kept body.
    #[must_use]
    pub fn get(&self, id: Digest) -> Option<Arc<Body>> {
        self.0.iter().find(|body| body.info.id == id).cloned()
    }
}

/// A body of which some parts have been received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reception {
    info: BodyInfo,
    received: Vec<u8>,
    /// When the transfer from the current sender began.
    began_at: Now,
    /// Bytes that had been received by then.
    began_with: usize,
}

impl Reception {
    /// Begins to receive a body.
    #[must_use]
    pub const fn new(info: BodyInfo, now: Now) -> Self {
        Self {
            info,
            received: Vec::new(),
            began_at: now,
            began_with: 0,
        }
    }

    /// Goes on where an earlier transfer of this body ended.
    pub const fn resume(&mut self, now: Now) {
        self.began_at = now;
        self.began_with = self.received.len();
    }

    /// Returns whether the transfer, which began at the last resumption, will last longer
    /// than `limit` at its rate so far.
    #[must_use]
    pub fn is_too_slow(&self, limit: Duration, now: Now) -> bool {
        /// Share of the limit after which the rate is known.
        const TRIAL_SHARE: f64 = 0.25;
        let elapsed = now.saturating_sub(self.began_at);
        if self.next_offset().is_none() || elapsed < limit.mul_f64(TRIAL_SHARE) {
            return false;
        }
        let received = self.received.len() - self.began_with;
        let all = self.info.size - self.began_with;
        let left = limit.as_secs_f64() / elapsed.as_secs_f64();
        (received as f64) * left < all as f64
    }

    /// Returns which body is received.
    #[must_use]
    pub const fn info(&self) -> &BodyInfo {
        &self.info
    }

    /// Returns the offset of the next part; `None` once the body is complete.
    #[must_use]
    pub fn next_offset(&self) -> Option<usize> {
        (self.received.len() < self.info.size).then_some(self.received.len())
    }

    /// Appends the part at the next offset.
    ///
    /// # Errors
    /// When the body has no such part, or is too large.
    pub fn push(&mut self, part: &[u8]) -> Result<(), DecodeError> {
        if self.info.size > MAX_DECODED_BYTES {
            return Err(DecodeError::TooLarge(self.info.size));
        }
        if part.is_empty() || self.received.len() + part.len() > self.info.size {
            return Err(DecodeError::Corrupt);
        }
        self.received.extend_from_slice(part);
        Ok(())
    }

    /// Decodes a complete body.
    ///
    /// # Errors
    /// When it is not the body that was described, or its base is not known.
    pub fn decode(&self, values: &RecentValues) -> Result<Vec<u8>, DecodeError> {
        let info = &self.info;
        if info.decoded_size > MAX_DECODED_BYTES {
            return Err(DecodeError::TooLarge(info.decoded_size));
        }
        if digest(&self.received) != info.id {
            return Err(DecodeError::Corrupt);
        }
        let decoded = match info.base {
            Some(base) => {
                let base = values.get(base).ok_or(DecodeError::UnknownBase(base))?;
                zstd::bulk::Decompressor::with_dictionary(&base)
                    .and_then(|mut d| d.decompress(&self.received, info.decoded_size))
            }
            None => zstd::bulk::decompress(&self.received, info.decoded_size),
        };
        let decoded = decoded.map_err(|_error| DecodeError::Corrupt)?;
        if digest(&decoded) != info.decoded_digest {
            return Err(DecodeError::Corrupt);
        }
        Ok(decoded)
    }
}

/// The share of a node's link that transfers to other nodes may use, so that the streams
/// of callers and prompt messages don't wait behind them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkShare {
    /// `None` if the bandwidth of the link is not known.
    bytes_per_s: Option<f64>,
    free_at: Now,
}

impl LinkShare {
    /// Share of the link's bandwidth.
    const SHARE: f64 = 0.5;

    /// Creates the share of a link with so many bytes per second.
    #[must_use]
    pub fn new(link_bytes_per_s: Option<f64>) -> Self {
        Self {
            bytes_per_s: link_bytes_per_s.map(|rate| rate * Self::SHARE),
            free_at: Now::ZERO,
        }
    }

    /// Takes the link for a part; returns how long it has to wait for its turn.
    pub fn take(&mut self, bytes: usize, now: Now) -> Duration {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return Duration::ZERO;
        };
        let begins_at = self.free_at.max(now);
        self.free_at = begins_at + Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        begins_at.saturating_sub(now)
    }
}
