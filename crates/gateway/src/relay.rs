//! Relays a stream of events to a caller, and resumes it at another instance if
//! the route allows it.
//!
//! Only complete events are relayed, so that another instance can continue
//! after the last one. The caller's response keeps the head of the first
//! instance.

use crate::call::Call;
use crate::dialect::Dialect;
use crate::handler::{Attempt, Gateway};
use crate::reply::Truncated;
use crate::sender::{PendingResponse, STREAM_TIMEOUT_FACTOR, SendOutcome, idle_timeout};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use reedford_fleet::Now;
use reedford_fleet::health::CallOutcome;
use reedford_targets::{Connection, EventReader};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Gap between events after which a stream is resumed elsewhere, as a multiple
/// of the route's [`max_gap`](reedford_fleet::config::Route::max_gap).
const STALL_FACTOR: u32 = 4;
/// `max_gap` of routes that set none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(500);

/// A stream that is relayed to a caller.
pub(crate) struct Relay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    call: Call,
    source: Option<EventSource>,
    attempt: Attempt<D>,
    tried: BTreeSet<Box<str>>,
    /// Attempts that may have run the call.
    runs: u32,
    last_event_id: Option<Box<str>>,
    events: u64,
    done: bool,
}

/// An instance's response body, read as events.
struct EventSource {
    body: Incoming,
    conn: Connection,
    reader: EventReader,
    idle_timeout: Option<Duration>,
}

/// Why there is no next event.
enum NoEvent {
    End,
    Broken(&'static str),
}

impl<D> Relay<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        gateway: Arc<Gateway<D>>,
        call: Call,
        response: PendingResponse,
        attempt: Attempt<D>,
        tried: BTreeSet<Box<str>>,
        runs: u32,
    ) -> Self {
        Self {
            gateway,
            call,
            source: Some(EventSource::new(response)),
            attempt,
            tried,
            runs,
            last_event_id: None,
            events: 0,
            done: false,
        }
    }

    /// Returns the next frame of the caller's body.
    pub(crate) async fn next(mut self) -> Option<(Result<Frame<Bytes>, Truncated>, Self)> {
        if self.done {
            return None;
        }
        loop {
            match self.next_event().await {
                Ok(raw) => return Some((Ok(Frame::data(raw)), self)),
                Err(NoEvent::End) => {
                    self.finish("complete");
                    return None;
                }
                Err(NoEvent::Broken(why)) => {
                    self.attempt.end();
                    if !self.resume(why).await {
                        self.finish(why);
                        return Some((Err(Truncated(why)), self));
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> Result<Bytes, NoEvent> {
        loop {
            let deadline = self.event_deadline();
            let Some(source) = &mut self.source else {
                return Err(NoEvent::Broken("no_source"));
            };
            match source.reader.next_event() {
                Ok(Some(event)) => {
                    if let Some(id) = event.id {
                        self.last_event_id = Some(id.into_boxed_str());
                    }
                    self.on_event();
                    return Ok(event.raw);
                }
                Ok(None) => {}
                Err(_unreadable) => return Err(NoEvent::Broken("unreadable")),
            }
            let deadline_at = self.gateway.shared.clock.instant(deadline);
            match timeout_at(deadline_at, source.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        source.reader.push(&data);
                    }
                }
                Ok(Some(Err(_cut))) => return Err(NoEvent::Broken("closed")),
                Ok(None) => return Err(self.on_body_end()),
                Err(_elapsed) => return Err(self.timeout_reason(deadline)),
            }
        }
    }

    /// Returns when to stop waiting for the next event.
    fn event_deadline(&self) -> Now {
        let now = self.gateway.shared.now();
        if !self.may_resume() {
            return self.call.deadline;
        }
        let limit = if self.events == 0 {
            self.call.route.objective.mul_f64(STREAM_TIMEOUT_FACTOR)
        } else {
            self.call.route.max_gap.unwrap_or(DEFAULT_MAX_GAP) * STALL_FACTOR
        };
        self.call.deadline.min(now + limit)
    }

    /// Returns why no event came until `deadline`.
    fn timeout_reason(&self, deadline: Now) -> NoEvent {
        if deadline >= self.call.deadline {
            return NoEvent::Broken("deadline");
        }
        NoEvent::Broken("silent")
    }

    fn on_event(&mut self) {
        self.events += 1;
        let now = self.gateway.shared.now();
        self.call.silent_since = now;
        if self.events == 1 {
            let took = now.saturating_sub(self.call.arrived);
            self.gateway
                .metrics
                .first_event(&self.call.route.name, took);
        }
        if self.events == 1 {
            let software = self.attempt.software.clone();
            self.gateway.record_origin(&mut self.call, software);
        }
        self.attempt.report_started();
    }

    /// Handles the end of the body. If it ended within an event, returns
    /// [`NoEvent::Broken`]. Otherwise records the success, keeps the connection if
    /// it is reusable, and returns [`NoEvent::End`].
    fn on_body_end(&mut self) -> NoEvent {
        let Some(source) = self.source.take() else {
            return NoEvent::End;
        };
        if source.reader.has_partial() {
            return NoEvent::Broken("partial_event");
        }
        self.gateway
            .sender
            .record_outcome(&self.attempt.grant, CallOutcome::Good);
        if let Some(idle_timeout) = source.idle_timeout {
            self.gateway
                .sender
                .pool
                .put_with_idle_timeout(source.conn, idle_timeout);
        }
        NoEvent::End
    }

    fn may_resume(&self) -> bool {
        let version_known = self.events == 0 || self.call.required_software.is_some();
        version_known && self.call.route.kind.retryable() && self.runs < self.call.route.attempts
    }

    /// Resumes the stream at another instance; returns whether one was found.
    async fn resume(&mut self, why: &'static str) -> bool {
        self.source = None;
        if why != "deadline" {
            self.gateway
                .sender
                .record_outcome(&self.attempt.grant, CallOutcome::Failed);
        }
        self.tried.insert(self.attempt.grant.instance.clone());
        while self.may_resume() && why != "deadline" {
            if !self.gateway.try_withdraw_retry(&self.call, why) {
                return false;
            }
            let Ok(attempt) = self.gateway.find_instance(&self.call, &self.tried).await else {
                return false;
            };
            self.attempt = attempt;
            tracing::info!(event = "stream_resumed", id = %self.call.id, why,
                instance = %self.attempt.grant.instance, software = ?self.attempt.software,
                events = self.events);
            let last = self.last_event_id.clone();
            let may_retry = self.runs + 1 < self.call.route.attempts;
            let sent = self
                .gateway
                .sender
                .send(&self.call, &self.attempt.grant, last.as_deref(), may_retry)
                .await;
            match sent {
                SendOutcome::Response(response) if response.incoming.status.is_success() => {
                    self.runs += 1;
                    self.source = Some(EventSource::new(*response));
                    return true;
                }
                SendOutcome::Response(_) | SendOutcome::Lost(_) => self.runs += 1,
                SendOutcome::NotRun(rejection) => self.attempt.report_rejected(rejection),
            }
            self.attempt.end();
            self.tried.insert(self.attempt.grant.instance.clone());
        }
        false
    }

    fn finish(&mut self, outcome: &'static str) {
        self.done = true;
        self.source = None;
        self.attempt.end();
        self.gateway.record_end(
            &self.call,
            &self.attempt.grant.instance,
            outcome,
            self.events,
        );
    }
}

impl<D> Drop for Relay<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        if !self.done {
            self.finish("caller_gone");
        }
    }
}

impl EventSource {
    fn new(response: PendingResponse) -> Self {
        let incoming = response.incoming;
        Self {
            idle_timeout: idle_timeout(&incoming.headers),
            body: incoming.body,
            conn: incoming.conn,
            reader: EventReader::default(),
        }
    }
}
