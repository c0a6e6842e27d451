//! Passes a stream of events on, and goes on at another instance where the
//! call may be resumed.
//!
//! Only whole events are passed on, so that another instance can go on after
//! the last one. The caller's answer keeps the head of the first instance.

use crate::call::Call;
use crate::handler::{Gateway, Sending};
use crate::ports::Dialect;
use crate::reply::Cut;
use crate::sending::{Answered, FIRST_EVENT_FACTOR, Sent, idle_time};
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

/// Pause between events after which a stream is taken elsewhere, in parts of
/// the longest useful pause.
const STALL_FACTOR: u32 = 4;
/// Longest useful pause of a route that names none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// A stream on its way to a caller.
pub(crate) struct Relay<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    call: Call,
    source: Option<Source>,
    sending: Sending<D>,
    tried: BTreeSet<Box<str>>,
    /// Instances that the call ran on.
    runs: u32,
    last_event: Option<Box<str>>,
    events: u64,
    done: bool,
}

/// Where events come from.
struct Source {
    body: Incoming,
    conn: Connection,
    reader: EventReader,
    idle: Option<Duration>,
}

/// Why a source gave no event.
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
        answered: Answered,
        sending: Sending<D>,
        tried: BTreeSet<Box<str>>,
        runs: u32,
    ) -> Self {
        Self {
            gateway,
            call,
            source: Some(Source::new(answered)),
            sending,
            tried,
            runs,
            last_event: None,
            events: 0,
            done: false,
        }
    }

    /// The next part of the caller's body.
    pub(crate) async fn next(mut self) -> Option<(Result<Frame<Bytes>, Cut>, Self)> {
        if self.done {
            return None;
        }
        loop {
            match self.event().await {
                Ok(raw) => return Some((Ok(Frame::data(raw)), self)),
                Err(NoEvent::End) => {
                    self.finish("complete");
                    return None;
                }
                Err(NoEvent::Broken(why)) => {
                    self.sending.end();
                    if !self.resume(why).await {
                        self.finish(why);
                        return Some((Err(Cut(why)), self));
                    }
                }
            }
        }
    }

    async fn event(&mut self) -> Result<Bytes, NoEvent> {
        loop {
            let limit = self.limit();
            let Some(source) = &mut self.source else {
                return Err(NoEvent::Broken("no_source"));
            };
            match source.reader.next_event() {
                Ok(Some(event)) => {
                    if let Some(id) = event.id {
                        self.last_event = Some(id.into_boxed_str());
                    }
                    self.on_event();
                    return Ok(event.raw);
                }
                Ok(None) => {}
                Err(_unreadable) => return Err(NoEvent::Broken("unreadable")),
            }
            let at = self.gateway.shared.clock.instant(limit);
            match timeout_at(at, source.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        source.reader.push(&data);
                    }
                }
                Ok(Some(Err(_cut))) => return Err(NoEvent::Broken("closed")),
                Ok(None) => return self.at_end(),
                Err(_elapsed) => self.on_silence(limit)?,
            }
        }
    }

    /// When to stop waiting for the next event.
    fn limit(&self) -> Now {
        let now = self.gateway.shared.now();
        if !self.may_resume() {
            return self.call.until;
        }
        let pause = if self.events == 0 {
            self.call.route.objective.mul_f64(FIRST_EVENT_FACTOR)
        } else {
            self.call.route.max_gap.unwrap_or(DEFAULT_GAP) * STALL_FACTOR
        };
        self.call.until.min(now + pause)
    }

    fn on_silence(&mut self, limit: Now) -> Result<(), NoEvent> {
        if limit >= self.call.until {
            return Err(NoEvent::Broken("deadline"));
        }
        Err(NoEvent::Broken("silent"))
    }

    fn on_event(&mut self) {
        self.events += 1;
        if self.events == 1 {
            let now = self.gateway.shared.now();
            let took = now.saturating_sub(self.call.arrived);
            self.gateway
                .metrics
                .first_event(&self.call.route.name, took);
        }
        self.sending.started();
    }

    /// A body that ended cleanly ends the stream.
    fn at_end(&mut self) -> Result<Bytes, NoEvent> {
        let Some(source) = self.source.take() else {
            return Err(NoEvent::End);
        };
        if source.reader.has_partial() {
            return Err(NoEvent::Broken("partial_event"));
        }
        self.gateway
            .sender
            .observe(&self.sending.grant, CallOutcome::Good);
        if let Some(idle) = source.idle {
            self.gateway
                .sender
                .pool
                .put_with_idle_timeout(source.conn, idle);
        }
        Err(NoEvent::End)
    }

    fn may_resume(&self) -> bool {
        self.call.route.kind.repeatable() && self.runs < self.call.route.attempts
    }

    /// Goes on at another instance; answers whether there is one.
    async fn resume(&mut self, why: &'static str) -> bool {
        self.source = None;
        if why != "deadline" {
            self.gateway
                .sender
                .observe(&self.sending.grant, CallOutcome::Failed);
        }
        self.tried.insert(self.sending.grant.instance.clone());
        while self.may_resume() && why != "deadline" {
            if !self.gateway.take_repeat(&self.call, why) {
                return false;
            }
            let Ok(sending) = self.gateway.place(&self.call, &self.tried).await else {
                return false;
            };
            self.sending = sending;
            tracing::info!(event = "stream_resumed", id = %self.call.id, why,
                instance = %self.sending.grant.instance, events = self.events);
            let last = self.last_event.clone();
            let more = self.runs + 1 < self.call.route.attempts;
            let sent = self
                .gateway
                .sender
                .send(&self.call, &self.sending.grant, last.as_deref(), more)
                .await;
            match sent {
                Sent::Answered(answered) if answered.exchange.status.is_success() => {
                    self.runs += 1;
                    self.source = Some(Source::new(*answered));
                    return true;
                }
                Sent::Answered(_) | Sent::Lost(_) => self.runs += 1,
                Sent::NotRun(rejection) => self.sending.rejected(rejection),
            }
            self.sending.end();
            self.tried.insert(self.sending.grant.instance.clone());
        }
        false
    }

    fn finish(&mut self, outcome: &'static str) {
        self.done = true;
        self.source = None;
        self.sending.end();
        self.gateway.ended(
            &self.call,
            &self.sending.grant.instance,
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

impl Source {
    fn new(answered: Answered) -> Self {
        let exchange = answered.exchange;
        Self {
            idle: idle_time(&exchange.headers),
            body: exchange.body,
            conn: exchange.conn,
            reader: EventReader::default(),
        }
    }
}
