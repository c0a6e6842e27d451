//! Relays a stream of events to a caller, and resumes it at another instance if
//! the route allows it.
//!
//! Only complete events are relayed, so that another instance can continue
//! after the last one. The caller's response keeps the head of the first
//! instance. An instance that sends nothing for a while may go on later, so that
//! its stream is given up only once another instance has taken the call.

mod source;

use crate::call::Call;
use crate::dialect::Dialect;
use crate::handler::{
    Attempt, Attempts, CallEnd, Gateway, Moved, Progressed, STREAM_SILENCE_FACTOR, StreamState,
};
use crate::reply::Truncated;
use crate::sender::{NO_MEMORY, PendingResponse, SendOutcome};
use bytes::Bytes;
use hyper::body::Frame;
use reedford_fleet::event_order::EventOrder;
use reedford_fleet::health::CallOutcome;
use reedford_targets::Event;
use source::{EventSource, NoEvent, StreamHead};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Gap between events after which another instance is sought for a stream, as a
/// multiple of the route's [`max_gap`](reedford_fleet::config::Route::max_gap).
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
    attempts: Attempts,
    /// Head that the caller got.
    head: StreamHead,
    /// What the caller has of the stream.
    order: EventOrder,
    progressed: Progressed,
    done: bool,
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
        attempts: Attempts,
    ) -> Self {
        attempt.report_slowdown(response.slowdown);
        let order = EventOrder::after(call.head.last_event_id.clone());
        Self {
            call,
            head: StreamHead::new(&response),
            source: Some(EventSource::new(response, &gateway.bodies)),
            gateway,
            attempt,
            attempts,
            order,
            progressed: Progressed::default(),
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
                    if why == NO_MEMORY {
                        self.gateway.log_no_memory(&self.call, "stream");
                    }
                    let Attempt {
                        grant,
                        first_event_at,
                        ..
                    } = &self.attempt;
                    let sender = &self.gateway.sender;
                    sender.on_broken(&self.call, grant, why, *first_event_at);
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
            let Some(mut source) = self.source.take() else {
                return Err(NoEvent::Broken("no_source"));
            };
            let reading = async move {
                let event = source.next_event().await;
                (event, source)
            };
            let stream = StreamState {
                call: &self.call,
                instance: &self.attempt.grant.instance,
                last_event_id: self.order.last(),
                silence_limit: silence_limit(&self.call, self.progressed.events),
            };
            let is_lost =
                |(event, _): &(Result<Event, NoEvent>, _)| matches!(event, Err(NoEvent::Broken(_)));
            let moving = self
                .gateway
                .move_if_silent(&stream, &mut self.attempts, reading, is_lost);
            let deadline = self.gateway.shared.clock.instant(self.call.deadline);
            let moved = timeout_at(deadline, moving).await;
            let (next, sent) = match moved.map_err(|_elapsed| NoEvent::Broken("deadline"))? {
                Moved::Stayed((event, source)) => {
                    self.source = Some(source);
                    return self.on_event(event);
                }
                Moved::Switched(next, sent) => (next, sent),
            };
            self.gateway.sender.on_silent(&self.attempt.grant);
            self.attempts
                .tried
                .insert(self.attempt.grant.instance.clone());
            self.attempt = *next;
            match sent {
                SendOutcome::Response(response) if self.continues(&response) => {
                    self.source = Some(EventSource::new(*response, &self.gateway.bodies));
                }
                SendOutcome::Response(_) => return Err(NoEvent::Broken("failed")),
                SendOutcome::Lost(why) => return Err(NoEvent::Broken(why)),
                SendOutcome::NotRun(proof) => {
                    self.attempts.sendings.on_not_run(&proof);
                    self.attempt.report_rejected(proof.rejection());
                    return Err(NoEvent::Broken("silent"));
                }
            }
        }
    }

    fn on_event(&mut self, event: Result<Event, NoEvent>) -> Result<Bytes, NoEvent> {
        let event = match event {
            Ok(event) => event,
            Err(NoEvent::End) => return Err(self.on_body_end()),
            Err(broken @ NoEvent::Broken(_)) => return Err(broken),
        };
        let Some(source) = &mut self.source else {
            return Err(NoEvent::Broken("no_source"));
        };
        let id = event.id.map(String::into_boxed_str);
        let version = self.gateway.dialect.event_weight_version(&event.raw);
        if source.events == 0 {
            let checked = self
                .order
                .check(id.as_deref(), source.weight_version, version);
            if let Err(mismatch) = checked {
                tracing::warn!(event = "continuation_refused", id = %self.call.id,
                    instance = %self.attempt.grant.instance, last = ?self.order.last(),
                    first = ?id, version = ?source.weight_version, ?mismatch);
                self.source = None;
                return Err(NoEvent::Broken("other_event"));
            }
        }
        source.events += 1;
        // The head names the version at which the response begins.
        let version = version.or(source.weight_version.filter(|_| source.events == 1));
        self.order.record(id, version);
        self.record_event();
        Ok(event.raw)
    }

    /// Whether a response can go on with the stream, as far as its head shows.
    fn continues(&self, response: &PendingResponse) -> bool {
        let head = StreamHead::new(response);
        let continues = self.head.accepts(&head);
        if !continues {
            tracing::warn!(event = "continuation_refused", id = %self.call.id,
                instance = %self.attempt.grant.instance, status = head.status.as_u16(),
                content_type = ?head.content_type);
        }
        continues
    }

    fn record_event(&mut self) {
        let now = self.gateway.shared.now();
        let gap = now.saturating_sub(self.call.silent_since);
        self.call.silent_since = now;
        let progressed = &mut self.progressed;
        progressed.events += 1;
        if progressed.events > 1 {
            progressed.longest_gap = progressed.longest_gap.max(Some(gap));
        } else {
            let took = now.saturating_sub(self.call.arrived);
            progressed.first_event = Some(took);
            self.gateway
                .metrics
                .first_event(&self.call.route.name, took);
        }
        if self.progressed.events == 1 {
            let software = self.attempt.software.clone();
            let instance = &self.attempt.grant.instance;
            self.gateway
                .record_origin(&mut self.call, instance, software);
        }
        self.attempt.on_event(&self.call);
    }

    /// Handles the end of the body. If it ended within an event, without an event, or with
    /// its connection if that is relayed, returns [`NoEvent::Broken`]. Only a caller that
    /// resumes a stream may already have all of its events. Otherwise records the success,
    /// keeps the connection if it is reusable, and returns [`NoEvent::End`].
    fn on_body_end(&mut self) -> NoEvent {
        let Some(source) = self.source.take() else {
            return NoEvent::End;
        };
        if source.reader.has_partial() {
            return NoEvent::Broken("partial_event");
        }
        if source.ends_with_conn && (source.events == 0 || source.conn.is_relayed()) {
            return NoEvent::Broken("closed");
        }
        let runs = self.attempts.sendings.may_have_run();
        let may_be_over = self.call.head.last_event_id.is_some() && runs <= 1;
        if source.events == 0 && !may_be_over {
            return NoEvent::Broken("no_event");
        }
        self.gateway
            .sender
            .record_outcome(&self.attempt.grant, CallOutcome::Good);
        self.attempt.on_answered(&self.call);
        self.attempt.record_run_time(&self.call);
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
        if !matches!(why, "deadline" | NO_MEMORY) {
            self.gateway
                .sender
                .record_outcome(&self.attempt.grant, CallOutcome::Failed);
        }
        loop {
            let broken = self.attempt.grant.instance.clone();
            let next = self
                .gateway
                .try_replace(&self.call, &self.attempts, &broken, why)
                .await;
            self.attempts.tried.insert(broken);
            let Some(next) = next else {
                return false;
            };
            self.attempt = next;
            tracing::info!(event = "stream_resumed", id = %self.call.id, why,
                instance = %self.attempt.grant.instance, software = ?self.attempt.software,
                events = self.progressed.events);
            let last = self.order.last();
            let sent =
                self.gateway
                    .send_stream(&self.call, &mut self.attempt, last, &mut self.attempts);
            match sent.await {
                SendOutcome::Response(response) if self.continues(&response) => {
                    self.source = Some(EventSource::new(*response, &self.gateway.bodies));
                    return true;
                }
                SendOutcome::Response(_) | SendOutcome::Lost(_) => {}
                SendOutcome::NotRun(proof) => self.attempt.report_rejected(proof.rejection()),
            }
            self.attempt.end();
        }
    }

    fn finish(&mut self, outcome: &'static str) {
        self.done = true;
        self.source = None;
        let gaps = self.progressed.longest_gap.zip(self.call.route.max_gap);
        // A stream that was moved has a gap that no engine is to blame for.
        if let Some((longest, most)) = gaps.filter(|_| self.attempts.sendings.may_have_run() <= 1) {
            self.attempt.report_gap(longest > most);
        }
        self.attempt.end();
        let end = CallEnd {
            instance: &self.attempt.grant.instance,
            outcome,
            status: self.head.status,
            progressed: self.progressed,
        };
        self.gateway.record_end(&self.call, &self.attempts, end);
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

/// Returns how long a stream may send nothing after its first `events` events
/// before another instance is sought.
fn silence_limit(call: &Call, events: u64) -> Duration {
    if events == 0 {
        call.route.objective.mul_f64(STREAM_SILENCE_FACTOR)
    } else {
        call.route.max_gap.unwrap_or(DEFAULT_MAX_GAP) * STALL_FACTOR
    }
}
