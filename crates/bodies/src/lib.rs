//! Limits the memory that the bodies of messages take together.
//!
//! Each body takes its share of a [`BodyMemory`] as it grows, and gives it back when the last
//! of its bytes is dropped, which is after the receiver has got them. A body that finds no
//! room gets none: nothing waits for memory.
//!
//! Bodies leave room to those that matter more: larger ones to smaller ones, and those of
//! requests, which can still be refused, to those of responses, which can't. Each body is tiny
//! first and grows, so that one limit alone would let many that begin at once take all.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a body is tiny, as most are.
pub const TINY_BODY_BYTES: usize = 4 << 10;
/// Size up to which a body that is not tiny is small.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Memory for the bodies of a process whose memory is not known.
pub const DEFAULT_LIMIT_BYTES: usize = 64 << 20;
/// Least and most by which the buffer of a body grows at once.
const GROWTH_BYTES: (usize, usize) = (1 << 10, 1 << 20);
/// Parts of the memory in which [`BodyKind::usable_parts`] counts.
const PARTS: usize = 16;

/// There is no room for a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no memory is left for the body")]
pub struct NoRoom;

/// Which message a body belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyKind {
    /// A request that nothing has run yet.
    Request,
    /// A response, whose loss may be that of a call that ran.
    Response,
}

impl BodyKind {
    /// Returns how many [`PARTS`] of the memory may be held once a body of this size is.
    const fn usable_parts(self, size: usize) -> usize {
        match (self, Size::of(size)) {
            (Self::Response, Size::Tiny) => 16,
            (Self::Request, Size::Tiny) => 15,
            (Self::Response, Size::Small) => 14,
            (Self::Request, Size::Small) => 13,
            (Self::Response, Size::Large) => 12,
            (Self::Request, Size::Large) => 8,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Size {
    Tiny,
    Small,
    Large,
}

impl Size {
    const fn of(bytes: usize) -> Self {
        if bytes <= TINY_BODY_BYTES {
            Self::Tiny
        } else if bytes <= SMALL_BODY_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }
}

/// The memory for all bodies of a process; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<State>);

#[derive(Debug)]
struct State {
    limit: usize,
    held: AtomicUsize,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT_BYTES)
    }
}

impl BodyMemory {
    /// Creates a memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(State {
            limit,
            held: AtomicUsize::new(0),
        }))
    }

    /// Returns the bytes that all bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Returns the most bytes that they may hold.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns a share without bytes.
    #[must_use]
    pub fn share(&self, kind: BodyKind) -> Share {
        Share {
            memory: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Returns a body without bytes.
    #[must_use]
    pub fn body(&self, kind: BodyKind) -> BodyBuf {
        BodyBuf {
            bytes: Vec::new(),
            share: self.share(kind),
        }
    }

    fn take(&self, kind: BodyKind, size: usize, more: usize) -> Result<(), NoRoom> {
        let usable = self.0.limit / PARTS * kind.usable_parts(size);
        let grown = |held: usize| held.checked_add(more).filter(|held| *held <= usable);
        let taken = self
            .0
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        taken.map(|_before| ()).map_err(|_full| NoRoom)
    }

    fn give_back(&self, bytes: usize) {
        self.0.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// What one body holds of a [`BodyMemory`]; given back when dropped.
#[derive(Debug)]
pub struct Share {
    memory: BodyMemory,
    kind: BodyKind,
    bytes: usize,
}

impl Share {
    /// Grows to `bytes` bytes, unless it has as many already.
    ///
    /// # Errors
    /// If there is no room; the share stays as it was.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            self.memory.take(self.kind, bytes, more)?;
            self.bytes = bytes;
        }
        Ok(())
    }

    /// Gives back all but `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        drop(self.split_off(self.bytes.saturating_sub(bytes)));
    }

    /// Returns a share with `bytes` bytes of this one.
    #[must_use]
    pub fn split_off(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            memory: self.memory.clone(),
            kind: self.kind,
            bytes,
        }
    }

    /// Returns bytes that hold the share.
    #[must_use]
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(BodyBuf { bytes, share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.give_back(self.bytes);
        }
    }
}

/// A body that arrives in pieces.
#[derive(Debug)]
pub struct BodyBuf {
    bytes: Vec<u8>,
    share: Share,
}

impl BodyBuf {
    /// Returns the number of bytes so far.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are none so far.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a piece.
    ///
    /// # Errors
    /// If there is no room; the body stays as it was.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), NoRoom> {
        let len = self.bytes.len() + piece.len();
        if len > self.bytes.capacity() {
            let capacity = self.grown_capacity(len);
            self.share.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the bytes, which hold the body's share until the last of them is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }

    /// Returns the capacity of the buffer for a body of at least `len` bytes. Most bodies come
    /// in one piece.
    fn grown_capacity(&self, len: usize) -> usize {
        let capacity = self.bytes.capacity();
        if capacity == 0 {
            return len;
        }
        let (least, most) = GROWTH_BYTES;
        let grown = capacity + capacity.clamp(least, most);
        // The body counts as what it is, not as what it may become.
        let grown = match Size::of(len) {
            Size::Tiny => grown.min(TINY_BODY_BYTES),
            Size::Small => grown.min(SMALL_BODY_BYTES),
            Size::Large => grown,
        };
        grown.max(len)
    }
}

impl AsRef<[u8]> for BodyBuf {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
