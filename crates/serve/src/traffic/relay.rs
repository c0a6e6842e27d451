//! Relays streamed responses to callers, and resumes a stream whose connection to
//! the worker fails.

use super::Traffic;
use super::check::ChatJob;
use super::claims::Claim;
use super::permits::Permit;
use bytes::{Bytes, BytesMut};
use reedford_core::claims::RecordedResponse;
use reedford_front::{RefusalCode, StreamError};
use reedford_targets::{TokenEvent, TokenStream};
use reedford_wire::chat::STREAM_END;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Capacity of the queue of events for a slow caller.
pub(super) const CALLER_QUEUE_EVENTS: usize = 64;
/// Largest number of times that a stream is resumed.
const MAX_RESUMES: u32 = 3;
/// Content type of a stream.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// An element of the response body for a caller.
pub(super) type CallerItem = Result<Bytes, StreamError>;

/// A stream that is relayed to a caller.
pub(super) struct Relay {
    pub(super) traffic: Arc<Traffic>,
    pub(super) job: ChatJob,
    pub(super) permit: Permit,
    pub(super) stream: Box<TokenStream>,
    pub(super) claim: Option<Claim>,
    pub(super) tx: mpsc::Sender<CallerItem>,
}

/// Whether the caller still reads the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallerState {
    Disconnected,
    Connected,
}

/// How a relay ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayEnd {
    /// The complete response was read from the worker.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The stream failed and could not be resumed.
    Failed,
}

impl Relay {
    /// Relays the response, which starts with `first`.
    pub(super) async fn run(mut self, first: Option<TokenEvent>) {
        let started = Instant::now();
        let mut record = BytesMut::new();
        let end = match first {
            Some(first) => self.relay_all(first, &mut record).await,
            None => RelayEnd::Complete,
        };
        match end {
            RelayEnd::Complete => {
                self.traffic
                    .token_time
                    .record(self.stream.next_index(), started.elapsed());
                self.finish(record).await;
            }
            RelayEnd::CallerDisconnected => {
                tracing::info!(event = "caller_gone", attempt = %self.permit.id)
            }
            RelayEnd::Failed => {
                let message = "the answer was cut; the request may have run to its end";
                let code = RefusalCode::TargetLost;
                self.send(Err(StreamError {
                    code,
                    message: message.into(),
                }))
                .await;
            }
        }
    }

    async fn relay_all(&mut self, first: TokenEvent, record: &mut BytesMut) -> RelayEnd {
        let mut next = Some(first);
        let mut resumes = 0;
        loop {
            if let Some(event) = next.take()
                && self.relay_event(event, record).await == CallerState::Disconnected
                && self.job.repeatable
            {
                return RelayEnd::CallerDisconnected;
            }
            match self.stream.next().await {
                Ok(Some(event)) => next = Some(event),
                Ok(None) => return RelayEnd::Complete,
                Err(error) => {
                    resumes += 1;
                    tracing::warn!(event = "stream_lost", attempt = %self.permit.id, resumes, %error);
                    let from = error.next_index();
                    let resumed = resume(&self.traffic, &self.job, &self.permit, from).await;
                    match resumed.filter(|_| resumes <= MAX_RESUMES) {
                        Some(stream) => *self.stream = stream,
                        None => return RelayEnd::Failed,
                    }
                }
            }
        }
    }

    async fn relay_event(&mut self, event: TokenEvent, record: &mut BytesMut) -> CallerState {
        if self.claim.is_some() {
            record.extend_from_slice(&event.raw);
        }
        self.send(Ok(event.raw)).await
    }

    async fn send(&mut self, item: CallerItem) -> CallerState {
        // A caller that has stopped reading counts as disconnected at its
        // deadline.
        let send = self.tx.send(item);
        match tokio::time::timeout(self.job.remaining(), send).await {
            Ok(Ok(())) => CallerState::Connected,
            Ok(Err(_)) | Err(_) => CallerState::Disconnected,
        }
    }

    /// Records the response if the request is not repeatable, then sends the
    /// end marker to the caller.
    async fn finish(mut self, mut record: BytesMut) {
        self.permit.mark_ended();
        let end = format!("data: {STREAM_END}\n\n");
        if let Some(claim) = self.claim.take() {
            record.extend_from_slice(end.as_bytes());
            let body = String::from_utf8_lossy(&record).into_owned().into();
            claim
                .complete(recorded_response(
                    &self.job,
                    &self.permit,
                    EVENT_STREAM,
                    body,
                ))
                .await;
        }
        self.send(Ok(Bytes::from(end))).await;
    }
}

/// Resumes a stream at the worker that runs the request. The request is not run
/// again.
pub(super) async fn resume(
    traffic: &Traffic,
    job: &ChatJob,
    permit: &Permit,
    from_event: u64,
) -> Option<TokenStream> {
    let attempt = permit.id.to_string();
    let model = job.target.to_string();
    traffic.metrics.record_retry("resume");
    let resuming = traffic
        .clients
        .targets
        .resume(permit.address, &attempt, &model, from_event);
    match tokio::time::timeout(job.remaining(), resuming).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(error)) => {
            tracing::warn!(event = "resume_failed", %attempt, %error);
            None
        }
        Err(_) => None,
    }
}

/// Returns the response of a chat request as it is recorded with the claim.
pub(super) fn recorded_response(
    job: &ChatJob,
    permit: &Permit,
    content_type: &str,
    body: Box<str>,
) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: content_type.into(),
        body,
        model: job.target.to_string().into(),
        target: permit.worker.clone(),
        attempt: permit.id.to_string().into(),
    }
}
