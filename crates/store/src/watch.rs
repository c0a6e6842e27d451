//! Reads a watch: one JSON message a line.

use crate::http::unknown;
use crate::http_kv;
use crate::kv::{Change, ChangeKind, Changes, KvError, Watch};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use reedford_wire::kv as wire;
use std::time::Duration;
use tokio::time::timeout;

/// Longest line of a watch in bytes: many values of a megabyte, in base64.
const LINE_LIMIT: usize = 64 << 20;

struct Lines {
    body: Incoming,
    buf: BytesMut,
    /// Bytes of `buf` known to hold no end of line.
    searched: usize,
    silence: Duration,
    failed: bool,
}

/// The changes told by the lines of `body`. The stream ends with an error
/// after `silence` without a line, or when the connection ends.
pub(crate) fn changes(body: Incoming, silence: Duration) -> Watch {
    let lines = Lines {
        body,
        buf: BytesMut::new(),
        searched: 0,
        silence,
        failed: false,
    };
    futures::stream::unfold(lines, |mut lines| async move {
        if lines.failed {
            return None;
        }
        let changes = match timeout(lines.silence, lines.next()).await {
            Ok(Ok(line)) => read(&line),
            Ok(Err(error)) => Err(error),
            Err(elapsed) => Err(unknown(elapsed)),
        };
        lines.failed = changes.is_err();
        Some((changes, lines))
    })
    .boxed()
}

impl Lines {
    async fn next(&mut self) -> Result<Bytes, KvError> {
        loop {
            if let Some(line) = self.take_line() {
                return Ok(line);
            }
            if self.buf.len() > LINE_LIMIT {
                return Err(unknown("a line of the watch is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self.add(frame.data_ref()),
                Some(Err(error)) => return Err(unknown(error)),
                None => return Err(unknown("the watch ended")),
            }
        }
    }

    fn add(&mut self, data: Option<&Bytes>) {
        if let Some(data) = data {
            self.buf.extend_from_slice(data);
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let found = self.buf[self.searched..].iter().position(|b| *b == b'\n');
        let Some(offset) = found else {
            self.searched = self.buf.len();
            return None;
        };
        let end = self.searched + offset + 1;
        self.searched = 0;
        Some(self.buf.split_to(end).freeze())
    }
}

fn read(line: &[u8]) -> Result<Changes, KvError> {
    let res: wire::WatchResponse = serde_json::from_slice(line).map_err(unknown)?;
    let changes: Result<Vec<Change>, KvError> = res.result.events.iter().map(change).collect();
    Ok(Changes {
        revision: res.result.header.revision,
        changes: changes?,
    })
}

fn change(event: &wire::WatchEvent) -> Result<Change, KvError> {
    let kind = match event.kind.as_str() {
        "PUT" => ChangeKind::Put(STANDARD.decode(&event.kv.value).map_err(unknown)?),
        "DELETE" => ChangeKind::Delete,
        other => return Err(unknown(format!("unknown kind of change: {other}"))),
    };
    Ok(Change {
        key: http_kv::key(&event.kv)?,
        revision: event.kv.mod_revision,
        kind,
    })
}
