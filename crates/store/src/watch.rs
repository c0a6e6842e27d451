//! Parses the response body of a watch, which has one JSON message per line.

use crate::body::Body;
use crate::http::unknown_outcome;
use crate::http_kv;
use crate::kv::{Change, ChangeKind, Changes, KvError, Watch};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use reedford_core::Era;
use reedford_wire::kv as wire;
use std::time::Duration;
use tokio::time::timeout;

/// Largest line of a watch in bytes. A line may hold many values of up to 1 MiB,
/// in base64.
const MAX_LINE_BYTES: usize = 64 << 20;

/// Reads `body` line by line.
struct LineReader {
    body: Body,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that contain no line feed.
    scanned: usize,
    /// Longest time between two lines.
    idle_timeout: Duration,
    /// Whether an error was returned, after which the stream ends.
    failed: bool,
}

/// Returns the stream of changes in `body`. The stream ends with an error after
/// `idle_timeout` without a line, or when the connection ends.
pub(crate) fn change_stream(body: Body, idle_timeout: Duration) -> Watch {
    let reader = LineReader {
        body,
        buf: BytesMut::new(),
        scanned: 0,
        idle_timeout,
        failed: false,
    };
    futures::stream::unfold(reader, |mut reader| async move {
        if reader.failed {
            return None;
        }
        let changes = match timeout(reader.idle_timeout, reader.next_line()).await {
            Ok(Ok(line)) => parse_changes(&line),
            Ok(Err(error)) => Err(error),
            Err(elapsed) => Err(unknown_outcome(elapsed)),
        };
        reader.failed = changes.is_err();
        Some((changes, reader))
    })
    .boxed()
}

impl LineReader {
    async fn next_line(&mut self) -> Result<Bytes, KvError> {
        loop {
            if let Some(line) = self.take_line() {
                self.body.restart();
                return Ok(line);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(unknown_outcome("a line of the watch is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.buffer(frame.data_ref()),
                Some(Err(error)) => return Err(unknown_outcome(error)),
                None => return Err(unknown_outcome("the watch ended")),
            }
        }
    }

    fn buffer(&mut self, data: Option<&Bytes>) {
        if let Some(data) = data {
            self.buf.extend_from_slice(data);
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let found = self.buf[self.scanned..].iter().position(|b| *b == b'\n');
        let Some(offset) = found else {
            self.scanned = self.buf.len();
            return None;
        };
        let end = self.scanned + offset + 1;
        self.scanned = 0;
        Some(self.buf.split_to(end).freeze())
    }
}

fn parse_changes(line: &[u8]) -> Result<Changes, KvError> {
    let res: wire::WatchResponse = serde_json::from_slice(line).map_err(unknown_outcome)?;
    let changes: Result<Vec<Change>, KvError> =
        res.result.events.iter().map(parse_change).collect();
    Ok(Changes {
        era: Era::FIRST,
        revision: res.result.header.revision,
        changes: changes?,
    })
}

fn parse_change(event: &wire::WatchEvent) -> Result<Change, KvError> {
    let kind = match event.kind.as_str() {
        "PUT" => ChangeKind::Put(STANDARD.decode(&event.kv.value).map_err(unknown_outcome)?),
        "DELETE" => ChangeKind::Delete,
        other => return Err(unknown_outcome(format!("unknown kind of change: {other}"))),
    };
    Ok(Change {
        key: http_kv::decode_key(&event.kv)?,
        revision: event.kv.mod_revision,
        kind,
    })
}
