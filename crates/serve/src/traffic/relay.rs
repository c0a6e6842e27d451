//! Passing a streamed answer on to the caller, and going on with it when its
//! connection fails.

use super::Traffic;
use super::check::Job;
use super::claims::Claim;
use super::permits::Permit;
use bytes::{Bytes, BytesMut};
use reedford_core::claims::RecordedResponse;
use reedford_front::{RefusedCode, StreamFault};
use reedford_targets::{TokenEvent, TokenStream};
use reedford_wire::chat::STREAM_END;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Events that may wait for a slow caller.
pub(super) const CALLER_QUEUE: usize = 64;
/// Times that a stream is resumed.
const RESUMES: u32 = 3;
/// Content type of a stream.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

/// What is passed to the caller.
pub(super) type CallerItem = Result<Bytes, StreamFault>;

/// A stream on its way to a caller.
pub(super) struct Relay {
    pub(super) traffic: Arc<Traffic>,
    pub(super) job: Job,
    pub(super) permit: Permit,
    pub(super) stream: Box<TokenStream>,
    pub(super) claim: Option<Claim>,
    pub(super) tx: mpsc::Sender<CallerItem>,
}

/// Whether the caller still listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Caller {
    Gone,
    Listening,
}

/// How a relay ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The whole answer was read from the target.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The answer's end was lost.
    Cut,
}

impl Relay {
    /// Passes the answer on, `first` before the rest.
    pub(super) async fn run(mut self, first: Option<TokenEvent>) {
        let started = Instant::now();
        let mut record = BytesMut::new();
        let end = match first {
            Some(first) => self.pass_all(first, &mut record).await,
            None => End::Whole,
        };
        match end {
            End::Whole => {
                self.traffic
                    .pace
                    .note(self.stream.next_index(), started.elapsed());
                self.finish(record).await;
            }
            End::CallerGone => tracing::info!(event = "caller_gone", attempt = %self.permit.id),
            End::Cut => {
                let message = "the answer was cut; the request may have run to its end";
                let code = RefusedCode::TargetLost;
                self.send(Err(StreamFault {
                    code,
                    message: message.into(),
                }))
                .await;
            }
        }
    }

    async fn pass_all(&mut self, first: TokenEvent, record: &mut BytesMut) -> End {
        let mut next = Some(first);
        let mut resumes = 0;
        loop {
            if let Some(event) = next.take()
                && self.pass(event, record).await == Caller::Gone
                && self.job.repeatable
            {
                return End::CallerGone;
            }
            match self.stream.next().await {
                Ok(Some(event)) => next = Some(event),
                Ok(None) => return End::Whole,
                Err(error) => {
                    resumes += 1;
                    tracing::warn!(event = "stream_lost", attempt = %self.permit.id, resumes, %error);
                    let from = error.received();
                    let resumed = resume(&self.traffic, &self.job, &self.permit, from).await;
                    match resumed.filter(|_| resumes <= RESUMES) {
                        Some(stream) => *self.stream = stream,
                        None => return End::Cut,
                    }
                }
            }
        }
    }

    async fn pass(&mut self, event: TokenEvent, record: &mut BytesMut) -> Caller {
        if self.claim.is_some() {
            record.extend_from_slice(&event.raw);
        }
        self.send(Ok(event.raw)).await
    }

    async fn send(&mut self, item: CallerItem) -> Caller {
        // A caller that stops reading counts as gone at its deadline.
        let sending = self.tx.send(item);
        match tokio::time::timeout(self.job.remaining(), sending).await {
            Ok(Ok(())) => Caller::Listening,
            Ok(Err(_)) | Err(_) => Caller::Gone,
        }
    }

    /// Records the answer of a request that may run only once, then gives the
    /// caller the end mark.
    async fn finish(mut self, mut record: BytesMut) {
        self.permit.ended();
        let end = format!("data: {STREAM_END}\n\n");
        if let Some(claim) = self.claim.take() {
            record.extend_from_slice(end.as_bytes());
            let body = String::from_utf8_lossy(&record).into_owned().into();
            claim
                .done(recorded(&self.job, &self.permit, EVENT_STREAM, body))
                .await;
        }
        self.send(Ok(Bytes::from(end))).await;
    }
}

/// Goes on with a stream at the target that runs it; nothing runs again.
pub(super) async fn resume(
    traffic: &Traffic,
    job: &Job,
    permit: &Permit,
    from: u64,
) -> Option<TokenStream> {
    let attempt = permit.id.to_string();
    let model = job.target.to_string();
    traffic.metrics.retry("resume");
    let resuming = traffic
        .clients
        .targets
        .resume(permit.address, &attempt, &model, from);
    match tokio::time::timeout(job.remaining(), resuming).await {
        Ok(Ok(stream)) => Some(stream),
        Ok(Err(error)) => {
            tracing::warn!(event = "resume_failed", %attempt, %error);
            None
        }
        Err(_) => None,
    }
}

/// The answer of a chat request as its claim keeps it.
pub(super) fn recorded(
    job: &Job,
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
