//! Incremental reader of server-sent events, bounded in size.

use bytes::{Buf as _, Bytes, BytesMut};
use reedford_bodies::{NoRoom, SMALL_BODY_BYTES, Share};

/// Longest event in bytes.
const EVENT_MAX_BYTES: usize = 256 << 10;
/// Bytes of blank lines, of comments and of other lines without data after which an event
/// must have come. Comments that show that a stream is alive are far from it: at ten a
/// second, for hours.
const SKIPPED_MAX_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Values of the `data:` lines, joined by line feeds.
    pub data: String,
    /// Value of the `id:` line.
    pub id: Option<String>,
    /// The bytes of the event, including the blank line that ends it. They hold their share
    /// of the memory.
    pub raw: Bytes,
}

/// Why there is no next event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidEvent {
    /// No event came within as many bytes as should have had one.
    Missing,
    /// An event is too long or not UTF-8.
    Unreadable,
}

/// Buffers received bytes and splits them into events.
#[derive(Debug)]
pub struct EventReader {
    buf: BytesMut,
    /// Holds the bytes of `buf`.
    share: Share,
    /// Length of the prefix of `buf` that has been searched for the end of an event.
    scanned: usize,
    /// Where the line begins that `scanned` is in.
    line: usize,
    /// Bytes since the last event that belong to none.
    skipped: usize,
}

impl EventReader {
    /// Creates a reader whose bytes, and those of its events, `share` holds.
    #[must_use]
    pub fn new(share: Share) -> Self {
        Self {
            buf: BytesMut::new(),
            share,
            scanned: 0,
            line: 0,
            skipped: 0,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    /// If there is no room for them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoRoom> {
        self.share.grow_to(self.buf.len() + bytes.len())?;
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the next complete event, skipping comments.
    ///
    /// # Errors
    /// If an event is too long or not UTF-8, or too much came that is no event.
    pub fn next_event(&mut self) -> Result<Option<Event>, InvalidEvent> {
        loop {
            let Some(len) = self.event_len()? else {
                return Ok(None);
            };
            // A copy, so that an event that waits for a slow receiver keeps no other bytes.
            let raw = self.buf[..len].to_vec();
            self.buf.advance(len);
            self.scanned = 0;
            self.line = 0;
            let raw = self.share.split_off(len).hold(raw);
            if let Some(event) = parse(raw)? {
                self.skipped = 0;
                return Ok(Some(event));
            }
            self.skip(len)?;
        }
    }

    /// Returns the length of the first event, including the blank line that ends
    /// it, or `None` if the event is incomplete.
    fn event_len(&mut self) -> Result<Option<usize>, InvalidEvent> {
        self.skip_blank_lines()?;
        self.release();
        while let Some(offset) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') {
            let line_end = self.scanned + offset;
            let line = &self.buf[self.line..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            self.scanned = line_end + 1;
            self.line = self.scanned;
            if is_blank {
                return within_limit(self.scanned).map(Some);
            }
        }
        self.scanned = self.buf.len();
        within_limit(self.buf.len())?;
        Ok(None)
    }

    /// Gives back what the buffer no longer needs.
    fn release(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > SMALL_BODY_BYTES {
            self.buf = BytesMut::new();
        }
        self.share.shrink_to(self.buf.len());
    }

    fn skip_blank_lines(&mut self) -> Result<(), InvalidEvent> {
        if self.scanned > 0 {
            return Ok(());
        }
        let is_line_end = |b: &u8| matches!(b, b'\n' | b'\r');
        let blank = self.buf.iter().take_while(|b| is_line_end(b)).count();
        self.buf.advance(blank);
        self.skip(blank)
    }

    /// Counts bytes that belong to no event.
    fn skip(&mut self, bytes: usize) -> Result<(), InvalidEvent> {
        self.skipped += bytes;
        if self.skipped > SKIPPED_MAX_BYTES {
            return Err(InvalidEvent::Missing);
        }
        Ok(())
    }
}

fn within_limit(len: usize) -> Result<usize, InvalidEvent> {
    if len > EVENT_MAX_BYTES {
        return Err(InvalidEvent::Unreadable);
    }
    Ok(len)
}

fn parse(raw: Bytes) -> Result<Option<Event>, InvalidEvent> {
    let text = std::str::from_utf8(&raw).map_err(|_invalid| InvalidEvent::Unreadable)?;
    let mut data: Option<String> = None;
    let mut id = None;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match (field, &mut data) {
            ("data", Some(data)) => {
                data.push('\n');
                data.push_str(value);
            }
            ("data", None) => data = Some(value.to_owned()),
            ("id", _) => id = Some(value.to_owned()),
            _ => {}
        }
    }
    Ok(data.map(|data| Event { data, id, raw }))
}
