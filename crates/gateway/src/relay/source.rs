//! Responses of instances, read as events of a stream.

use crate::connection_headers::idle_timeout;
use crate::sender::{NO_MEMORY, PendingResponse, lost_reason};
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use reedford_bodies::{BodyKind, BodyMemory};
use reedford_fleet::WeightVersion;
use reedford_targets::{Connection, Event, EventReader, IncomingResponse, InvalidEvent};
use std::time::Duration;

/// What the heads of all responses that go on with a stream have in common.
#[derive(Clone, Debug)]
pub(super) struct StreamHead {
    pub(super) status: StatusCode,
    /// Content type without parameters, if the head has one.
    pub(super) content_type: Option<Box<str>>,
}

impl StreamHead {
    pub(super) fn new(response: &PendingResponse) -> Self {
        let IncomingResponse {
            headers, status, ..
        } = &response.incoming;
        Self {
            status: *status,
            content_type: headers.get(CONTENT_TYPE).map(media_type),
        }
    }

    /// Whether a response with the head `next` can go on with the stream.
    pub(super) fn accepts(&self, next: &Self) -> bool {
        let types = self.content_type.as_ref().zip(next.content_type.as_ref());
        self.status == next.status && types.is_none_or(|(a, b)| a == b)
    }
}

fn media_type(content_type: &HeaderValue) -> Box<str> {
    let text = String::from_utf8_lossy(content_type.as_bytes());
    let media_type = text.split(';').next().unwrap_or_default();
    media_type.trim().to_ascii_lowercase().into()
}

/// An instance's response body, read as events.
pub(super) struct EventSource {
    pub(super) body: Incoming,
    pub(super) conn: Connection,
    pub(super) reader: EventReader,
    pub(super) idle_timeout: Option<Duration>,
    /// Whether the end of the connection is the end of the body.
    pub(super) ends_with_conn: bool,
    /// Version of the weights that the head of the response names.
    pub(super) weight_version: Option<WeightVersion>,
    /// Number of events that came.
    pub(super) events: u64,
}

/// Why there is no next event.
pub(super) enum NoEvent {
    End,
    Broken(&'static str),
}

impl EventSource {
    /// Returns the next event. Nothing is lost if the future is dropped.
    pub(super) async fn next_event(&mut self) -> Result<Event, NoEvent> {
        loop {
            match self.reader.next_event() {
                Ok(Some(event)) => {
                    self.conn.progress.restart();
                    return Ok(event);
                }
                Ok(None) => {}
                Err(InvalidEvent::Unreadable) => return Err(NoEvent::Broken("unreadable")),
                Err(InvalidEvent::Missing) => return Err(NoEvent::Broken("no_progress")),
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.conn.progress.on_frame(data.len());
                        let pushed = self.reader.push(&data);
                        pushed.map_err(|_full| NoEvent::Broken(NO_MEMORY))?;
                    }
                }
                Some(Err(_cut)) => {
                    return Err(NoEvent::Broken(lost_reason(self.conn.body_error())));
                }
                None => return Err(NoEvent::End),
            }
        }
    }

    pub(super) fn new(response: PendingResponse, bodies: &BodyMemory) -> Self {
        let incoming = response.incoming;
        Self {
            ends_with_conn: incoming.ends_with_conn(),
            idle_timeout: idle_timeout(&incoming.headers),
            weight_version: response.weight_version,
            events: 0,
            body: incoming.body,
            conn: incoming.conn,
            reader: EventReader::new(bodies.share(BodyKind::Response)),
        }
    }
}
