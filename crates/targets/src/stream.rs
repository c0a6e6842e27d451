//! A streamed response, checked event by event.

use crate::error::{Mismatch, StreamError};
use crate::exchange::IncomingResponse;
use crate::pool::{Connection, Pool};
use crate::sse::{Event, EventReader};
use crate::{AttemptId, ModelName};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use reedford_bodies::BodyKind;
use reedford_wire::chat::{ChatChunk, STREAM_END};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Time to wait for the end of a body after its last event.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);

/// One event of a streamed response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenEvent {
    /// Index of the token, from 0.
    pub index: u64,
    /// The bytes of the whole server-sent event, for forwarding.
    pub raw: Bytes,
    /// Reason why generation ended; only the last token has it.
    pub finish: Option<Box<str>>,
}

/// The expected identity and the time limits of a stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamExpectation {
    pub(crate) attempt: AttemptId,
    pub(crate) deadline: Option<Instant>,
    /// Index of the first token.
    pub(crate) from: u64,
    pub(crate) model: ModelName,
    /// Longest time without data.
    pub(crate) progress: Duration,
}

/// A streamed response. Dropping it closes its connection, but the engine keeps
/// running the attempt: the stream can be resumed, or the attempt cancelled.
#[derive(Debug)]
pub struct TokenStream {
    attempt: AttemptId,
    deadline: Option<Instant>,
    /// Whether the last token has been received.
    finished: bool,
    model: ModelName,
    /// Index of the next token.
    next_index: u64,
    pool: Arc<Pool>,
    progress: Duration,
    reader: EventReader,
    /// `None` after the end marker or an error.
    source: Option<Source>,
}

#[derive(Debug)]
struct Source {
    body: Incoming,
    conn: Connection,
}

impl TokenStream {
    pub(crate) fn new(pool: Arc<Pool>, res: IncomingResponse, expected: StreamExpectation) -> Self {
        Self {
            attempt: expected.attempt,
            deadline: expected.deadline,
            finished: false,
            model: expected.model,
            next_index: expected.from,
            reader: EventReader::new(pool.bodies.share(BodyKind::Response)),
            pool,
            progress: expected.progress,
            source: Some(Source {
                body: res.body,
                conn: res.conn,
            }),
        }
    }

    /// Returns the index of the next token, at which the stream can be resumed.
    #[must_use]
    pub const fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Receives the next token, or returns `None` after the end marker.
    ///
    /// # Errors
    /// See [`StreamError`]. After an error the connection is closed, and every
    /// further call returns [`StreamError::Cut`], or `None` if the last token had
    /// been received.
    pub async fn next(&mut self) -> Result<Option<TokenEvent>, StreamError> {
        let result = self.advance().await;
        if result.is_err() {
            self.source = None;
        }
        result
    }

    async fn advance(&mut self) -> Result<Option<TokenEvent>, StreamError> {
        loop {
            let received = self.next_index;
            if self.source.is_none() {
                return self.result_after_end();
            }
            let event = self
                .reader
                .next_event()
                .map_err(|_invalid| StreamError::Unreadable { received })?;
            match event {
                Some(event) if event.data == STREAM_END => return self.finish(),
                Some(event) => {
                    if let Some(source) = &self.source {
                        source.conn.progress.restart();
                    }
                    return self.decode(event).map(Some);
                }
                None => self.read_body().await?,
            }
        }
    }

    fn result_after_end(&self) -> Result<Option<TokenEvent>, StreamError> {
        if self.finished {
            return Ok(None);
        }
        Err(StreamError::Cut {
            received: self.next_index,
        })
    }

    /// Handles the end marker, which is valid only after the last token.
    fn finish(&mut self) -> Result<Option<TokenEvent>, StreamError> {
        if !self.finished {
            return Err(self.unreadable());
        }
        if let Some(source) = self.source.take() {
            let pool = Arc::clone(&self.pool);
            self.pool.spawn(return_if_ended(pool, source));
        }
        Ok(None)
    }

    fn decode(&mut self, event: Event) -> Result<TokenEvent, StreamError> {
        let index = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let chunk: ChatChunk =
            serde_json::from_str(&event.data).map_err(|_invalid| self.unreadable())?;
        self.check_identity(&chunk)?;
        if self.finished || index != Some(self.next_index) {
            return Err(self.unreadable());
        }
        let finish = chunk.choices.into_iter().find_map(|c| c.finish_reason);
        let token = TokenEvent {
            index: self.next_index,
            raw: event.raw,
            finish,
        };
        self.next_index += 1;
        self.finished = token.finish.is_some();
        Ok(token)
    }

    fn check_identity(&self, chunk: &ChatChunk) -> Result<(), StreamError> {
        Mismatch::check(&self.attempt, &chunk.id)
            .and_then(|()| Mismatch::check(&self.model, &chunk.model))
            .map_err(|mismatch| StreamError::Mismatch {
                received: self.next_index,
                mismatch,
            })
    }

    const fn unreadable(&self) -> StreamError {
        StreamError::Unreadable {
            received: self.next_index,
        }
    }

    /// Reads more of the body into the event reader.
    async fn read_body(&mut self) -> Result<(), StreamError> {
        let received = self.next_index;
        let Some(source) = self.source.as_mut() else {
            return Err(StreamError::Cut { received });
        };
        let progress_limit = Instant::now() + self.progress;
        let limit = self
            .deadline
            .map_or(progress_limit, |d| d.min(progress_limit));
        let Ok(frame) = timeout_at(limit, source.body.frame()).await else {
            self.pool.drop_idle(source.conn.addr);
            return Err(if limit == progress_limit {
                StreamError::Silent { received }
            } else {
                StreamError::Deadline { received }
            });
        };
        let Some(Ok(frame)) = frame else {
            return Err(StreamError::Cut { received });
        };
        if let Ok(data) = frame.into_data() {
            source.conn.progress.on_frame(data.len());
            let pushed = self.reader.push(&data);
            pushed.map_err(|_full| StreamError::Cut { received })?;
        }
        Ok(())
    }
}

/// Returns the connection to the pool if the body ends right after the end
/// marker.
async fn return_if_ended(pool: Arc<Pool>, source: Source) {
    let Source { mut body, conn } = source;
    let rest = timeout(BODY_END_TIMEOUT, body.frame()).await;
    if matches!(rest, Ok(None)) {
        pool.put(conn);
    }
}
