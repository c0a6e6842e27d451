//! Attempts to run a request on a worker.

use super::check::Job;
use super::permits::{Permit, permit};
use super::refusals::{fault, no_permit};
use super::{Traffic, lock};
use crate::spans;
use bytes::Bytes;
use reedford_front::{Refused, RefusedCode};
use reedford_rules::Class;
use reedford_targets::{DispatchError, DispatchOptions, DispatchResponse, TokenEvent, TokenStream};
use reedford_wire::chat::ChatRequest;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;
use tracing::Instrument as _;

/// Priority of a class at the engines; higher runs sooner.
const fn priority(class: Class) -> i32 {
    match class {
        Class::Lookup => 10,
        Class::Standard => 5,
        Class::Writing => 0,
    }
}

/// An answer that has come, or has begun to.
#[derive(Debug)]
pub(super) enum Answered {
    /// All of it.
    Whole { body: Bytes, permit: Permit },
    /// Its first token, if it has any, and what follows.
    Stream {
        first: Option<TokenEvent>,
        stream: Box<TokenStream>,
        permit: Permit,
    },
}

/// How one attempt failed.
#[derive(Debug)]
enum Failed {
    /// Nothing ran at this worker.
    NotRun,
    /// The request may have run.
    Lost,
}

/// Runs a request: again at another worker when it surely did not run, or when
/// it may be repeated, as long as the retry budget and the deadline allow.
///
/// # Errors
/// The refusal for the caller. It says "not run" only when no attempt can have
/// run and none is under way.
pub(super) async fn run(
    traffic: &Arc<Traffic>,
    job: &Job,
    request: &ChatRequest,
) -> Result<Answered, Refused> {
    lock(&traffic.retries).record_call();
    let mut tried = BTreeSet::new();
    let mut may_have_run = false;
    for attempt in 0..traffic.cfg.bounds.attempts {
        if attempt > 0 && !traffic.may_retry(if may_have_run { "lost" } else { "not_run" }) {
            break;
        }
        let permit = match permit(traffic, job, &tried).await {
            Ok(permit) => permit,
            Err(_) if may_have_run => return Err(lost(job)),
            Err(refusal) => return Err(no_permit(refusal)),
        };
        let worker = permit.worker.clone();
        let span = spans::dispatch(&worker, &permit.id);
        let dispatched = dispatch(traffic, job, request, permit).instrument(span);
        match dispatched.await {
            Ok(answered) => return Ok(answered),
            Err(Failed::NotRun) => {}
            Err(Failed::Lost) => may_have_run = true,
        }
        if may_have_run && !job.repeatable {
            return Err(lost(job));
        }
        tried.insert(worker);
    }
    if may_have_run {
        return Err(lost(job));
    }
    Err(fault(RefusedCode::NoWorker, "no worker took the request"))
}

async fn dispatch(
    traffic: &Traffic,
    job: &Job,
    request: &ChatRequest,
    mut permit: Permit,
) -> Result<Answered, Failed> {
    if !permit.is_current() || job.remaining().is_zero() {
        return Err(Failed::NotRun);
    }
    let options = DispatchOptions {
        attempt: permit.id.to_string().into(),
        priority: priority(job.class),
        traceparent: spans::current_traceparent().or_else(|| job.traceparent.clone()),
        deadline: Some(job.remaining()),
    };
    let started = Instant::now();
    permit.sent();
    let reply = traffic
        .clients
        .targets
        .dispatch(permit.address, request, options)
        .await;
    match reply {
        Ok(DispatchResponse::Complete(_, body)) => {
            permit.ended();
            Ok(Answered::Whole { body, permit })
        }
        Ok(DispatchResponse::Stream(stream)) => begin(traffic, job, stream, permit, started).await,
        Err(DispatchError::NotSent(_) | DispatchError::Refused(_)) => {
            permit.ended();
            Err(Failed::NotRun)
        }
        Err(error @ (DispatchError::Lost(_) | DispatchError::Mismatch(_))) => {
            tracing::warn!(event = "answer_lost", worker = %permit.worker, attempt = %permit.id, %error);
            Err(Failed::Lost)
        }
    }
}

/// Waits for the first token: until then the caller has seen nothing, and the
/// request may still be run elsewhere.
async fn begin(
    traffic: &Traffic,
    job: &Job,
    mut stream: TokenStream,
    permit: Permit,
    started: Instant,
) -> Result<Answered, Failed> {
    let first = match stream.next().await {
        Ok(first) => first,
        Err(error) => {
            tracing::warn!(event = "stream_lost", worker = %permit.worker, attempt = %permit.id, %error);
            let resumed = super::relay::resume(traffic, job, &permit, 0).await;
            stream = resumed.ok_or(Failed::Lost)?;
            stream.next().await.map_err(|_again| Failed::Lost)?
        }
    };
    traffic
        .metrics
        .first_token(job.class, started.elapsed() + permit.load_stall);
    Ok(Answered::Stream {
        first,
        stream: Box::new(stream),
        permit,
    })
}

fn lost(job: &Job) -> Refused {
    let message = "the target's answer was lost; the request may have run";
    let mut refused = Refused::unknown(RefusedCode::TargetLost, message);
    if job.repeatable {
        refused.retry_after = fault(RefusedCode::TargetLost, message).retry_after;
    }
    refused
}
