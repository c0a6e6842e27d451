//! Streams the changes of a range of keys, one JSON message per line.

use crate::platform::connection::Connection;
use crate::platform::store::{KeyRange, StoreError};
use bytes::Bytes;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use reedford_wire::kv::{WatchCreateRequest, WatchResponse, WatchResult};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::time::timeout;

struct Watcher {
    connection: Arc<Connection>,
    range: KeyRange,
    /// Revision of the first change that has not been sent.
    next_revision: i64,
    /// Whether the first line, which confirms the watch, was sent.
    created_sent: bool,
    rx: tokio::sync::watch::Receiver<i64>,
}

/// Starts a watch and returns its lines as a response body.
pub(crate) fn start(
    connection: Arc<Connection>,
    create: &WatchCreateRequest,
) -> Result<UnsyncBoxBody<Bytes, Infallible>, StoreError> {
    let range = KeyRange::read(&create.key, create.range_end.as_deref())?;
    let rx = connection.shared.revision.subscribe();
    let next = {
        let store = connection.shared.store();
        let next = match create.start_revision {
            0 => store.revision() + 1,
            revision => revision,
        };
        store.changes(&range, next)?;
        next
    };
    let watcher = Watcher {
        connection,
        range,
        next_revision: next,
        created_sent: false,
        rx,
    };
    let lines = futures::stream::unfold(watcher, |mut watcher| async move {
        let line = watcher.next_line().await?;
        Some((Ok(Frame::data(line)), watcher))
    });
    Ok(UnsyncBoxBody::new(StreamBody::new(lines)))
}

impl Watcher {
    /// Returns the next line: immediately if it is the first or there are
    /// changes, otherwise a line without events after the progress interval.
    /// `None` ends the watch: the platform is down, or the changes can't be
    /// read any more. Never completes if the connection must stay silent.
    async fn next_line(&mut self) -> Option<Bytes> {
        if self.created_sent && self.current_revision() < self.next_revision {
            let next = self.next_revision;
            let changed = self.rx.wait_for(|revision| *revision >= next);
            // Both a change and the end of the interval lead to a line.
            let _ = timeout(self.connection.shared.watch_progress, changed).await;
        }
        if self.connection.must_stay_silent() {
            std::future::pending::<()>().await;
        }
        if self.connection.shared.faults.borrow().faults.down {
            return None;
        }
        let result = self.read().ok()?;
        self.next_revision = result.header.revision + 1;
        self.created_sent = true;
        let mut line = serde_json::to_vec(&WatchResponse { result }).ok()?;
        line.push(b'\n');
        Some(line.into())
    }

    fn current_revision(&self) -> i64 {
        *self.rx.borrow()
    }

    fn read(&self) -> Result<WatchResult, StoreError> {
        let store = self.connection.shared.store();
        Ok(WatchResult {
            header: store.header(),
            created: !self.created_sent,
            events: store.changes(&self.range, self.next_revision)?,
        })
    }
}
