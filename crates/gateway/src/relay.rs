//! Relays a stream of events to a caller, and resumes it at another instance if
//! the route allows it.
//!
//! Only complete events are relayed, so that another instance can continue
//! after the last one. The caller's response keeps the head of the first
//! instance. An instance that sends nothing for a while may go on later, so that
//! its stream is given up only once another instance has taken the call.

use crate::call::Call;
use crate::dialect::Dialect;
use crate::handler::{Attempt, Gateway, STREAM_SILENCE_FACTOR, Sent};
use crate::reply::Truncated;
use crate::sender::{PendingResponse, SendOutcome, idle_timeout};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Frame, Incoming};
use reedford_fleet::Now;
use reedford_fleet::health::CallOutcome;
use reedford_targets::{Connection, Event, EventReader};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout_at};

/// Gap between events after which another instance is sought for a stream, as a
/// multiple of the route's [`max_gap`](reedford_fleet::config::Route::max_gap).
const STALL_FACTOR: u32 = 4;
/// Longest time for which two instances may run a call, while the second has
/// neither rejected nor begun it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);
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
            let deadline = self.gateway.shared.clock.instant(self.call.deadline);
            let silent_at = self.silent_at();
            let Some(source) = &mut self.source else {
                return Err(NoEvent::Broken("no_source"));
            };
            let instance = &self.attempt.grant.instance;
            let next = tokio::select! {
                biased;
                event = timeout_at(deadline, source.next_event()) => {
                    let event = event.unwrap_or(Err(NoEvent::Broken("deadline")));
                    return self.on_event(event);
                }
                next = self.gateway
                    .replace_silent(&self.call, &self.tried, instance, self.runs, silent_at) => next,
            };
            if let Some(event) = self.switch_to(next).await {
                return self.on_event(event);
            }
        }
    }

    /// Returns when to seek another instance unless an event comes before.
    fn silent_at(&self) -> Now {
        let limit = if self.events == 0 {
            self.call.route.objective.mul_f64(STREAM_SILENCE_FACTOR)
        } else {
            self.call.route.max_gap.unwrap_or(DEFAULT_MAX_GAP) * STALL_FACTOR
        };
        self.gateway.shared.now() + limit
    }

    /// Sends the call to another instance while the silent one may still go on.
    /// Returns the next event if it comes from the silent one first.
    async fn switch_to(&mut self, mut next: Attempt<D>) -> Option<Result<Event, NoEvent>> {
        tracing::info!(event = "stream_silent", id = %self.call.id, events = self.events,
            instance = %self.attempt.grant.instance, next = %next.grant.instance);
        let last = self.last_event_id.clone();
        let sent = {
            let sending = self
                .gateway
                .sender
                .send(&self.call, &next.grant, last.as_deref());
            let mut sending = std::pin::pin!(sending);
            let overlap = tokio::select! {
                biased;
                event = next_event_of(&mut self.source) => {
                    // The other instance may have begun the call.
                    self.runs += 1;
                    return Some(event);
                }
                sent = sending.as_mut() => Some(sent),
                () = sleep(MAX_OVERLAP) => None,
            };
            match overlap {
                Some(sent) => sent,
                None => {
                    self.source = None;
                    self.attempt.end();
                    sending.await
                }
            }
        };
        match sent {
            SendOutcome::Response(response) if response.incoming.status.is_success() => {
                self.runs += 1;
                self.gateway
                    .sender
                    .on_silent(&self.attempt.grant, CallOutcome::Failed);
                self.attempt.end();
                self.tried.insert(self.attempt.grant.instance.clone());
                self.source = Some(EventSource::new(*response));
                self.attempt = next;
                return None;
            }
            SendOutcome::Response(_) | SendOutcome::Lost(_) => self.runs += 1,
            SendOutcome::NotRun(rejection) => next.report_rejected(rejection),
        }
        self.tried.insert(next.grant.instance.clone());
        match self.source {
            Some(_) => None,
            None => Some(Err(NoEvent::Broken("silent"))),
        }
    }

    fn on_event(&mut self, event: Result<Event, NoEvent>) -> Result<Bytes, NoEvent> {
        let event = match event {
            Ok(event) => event,
            Err(NoEvent::End) => return Err(self.on_body_end()),
            Err(broken @ NoEvent::Broken(_)) => return Err(broken),
        };
        if let Some(id) = event.id {
            self.last_event_id = Some(id.into_boxed_str());
        }
        self.record_event();
        Ok(event.raw)
    }

    fn record_event(&mut self) {
        self.events += 1;
        let now = self.gateway.shared.now();
        self.call.silent_since = now;
        if self.events == 1 {
            let took = now.saturating_sub(self.call.arrived);
            self.gateway
                .metrics
                .first_event(&self.call.route.name, took);
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

    /// Resumes the stream at another instance; returns whether one was found.
    async fn resume(&mut self, why: &'static str) -> bool {
        self.source = None;
        if why != "deadline" {
            self.gateway
                .sender
                .record_outcome(&self.attempt.grant, CallOutcome::Failed);
        }
        let mut replaced = self.attempt.grant.instance.clone();
        let mut next = None;
        loop {
            if next.is_none() {
                next = self
                    .gateway
                    .try_replace(&self.call, &self.tried, &replaced, self.runs, why)
                    .await;
            }
            self.tried.insert(replaced);
            let Some(attempt) = next.take() else {
                return false;
            };
            self.attempt = attempt;
            replaced = self.attempt.grant.instance.clone();
            tracing::info!(event = "stream_resumed", id = %self.call.id, why,
                instance = %replaced, events = self.events);
            let last = self.last_event_id.as_deref();
            let sent = self.gateway.send_stream(
                &self.call,
                &self.attempt,
                last,
                &self.tried,
                self.runs + 1,
            );
            match sent.await {
                Sent::Outcome(SendOutcome::Response(response))
                    if response.incoming.status.is_success() =>
                {
                    self.runs += 1;
                    self.source = Some(EventSource::new(*response));
                    return true;
                }
                Sent::Outcome(SendOutcome::Response(_) | SendOutcome::Lost(_)) => self.runs += 1,
                Sent::Outcome(SendOutcome::NotRun(rejection)) => {
                    self.attempt.report_rejected(rejection);
                }
                Sent::Replaced(attempt) => {
                    self.runs += 1;
                    next = Some(attempt);
                }
            }
            self.attempt.end();
        }
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

/// Returns the next event of a source; waits forever if there is none.
async fn next_event_of(source: &mut Option<EventSource>) -> Result<Event, NoEvent> {
    match source {
        Some(source) => source.next_event().await,
        None => std::future::pending().await,
    }
}

impl EventSource {
    /// Returns the next event. Nothing is lost if the future is dropped.
    async fn next_event(&mut self) -> Result<Event, NoEvent> {
        loop {
            match self.reader.next_event() {
                Ok(Some(event)) => return Ok(event),
                Ok(None) => {}
                Err(_unreadable) => return Err(NoEvent::Broken("unreadable")),
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.reader.push(&data);
                    }
                }
                Some(Err(_cut)) => return Err(NoEvent::Broken("closed")),
                None => return Err(NoEvent::End),
            }
        }
    }

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
