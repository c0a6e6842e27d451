//! What came on a connection since a response last made progress.

use crate::MAX_HEAD_BYTES;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Bytes after which a frame of a body, an event or a head must have come. What is read of a
/// body together with its head counts, too.
const MAX_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Size of a small frame of a body. A larger one makes up for as many small ones as would fit
/// into it.
const SMALL_FRAME_BYTES: usize = 64;
/// Small frames after which an event must have come, or the body must have ended.
const MAX_SMALL_FRAMES: usize = 64 << 10;

/// What came on a connection since a response last made progress. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<State>);

#[derive(Debug, Default)]
struct State {
    bytes: AtomicUsize,
    small_frames: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl Progress {
    /// Whether too much came without progress, so that nothing more is read.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.load(Ordering::Relaxed)
    }

    /// Records that a request is sent, or that the head of its response or an event has come.
    pub fn restart(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
        self.0.small_frames.store(0, Ordering::Relaxed);
    }

    /// Records a frame of a body with `len` bytes.
    pub fn on_frame(&self, len: usize) {
        self.0.bytes.store(0, Ordering::Relaxed);
        let before = self.0.small_frames.load(Ordering::Relaxed);
        let frames = (before + 1).saturating_sub(len / SMALL_FRAME_BYTES);
        self.0.small_frames.store(frames, Ordering::Relaxed);
        if frames > MAX_SMALL_FRAMES {
            self.0.is_exceeded.store(true, Ordering::Relaxed);
        }
    }

    /// Records bytes that were read.
    pub(crate) fn on_bytes(&self, len: usize) {
        let bytes = self.0.bytes.fetch_add(len, Ordering::Relaxed) + len;
        if bytes > MAX_BYTES {
            self.0.is_exceeded.store(true, Ordering::Relaxed);
        }
    }
}
