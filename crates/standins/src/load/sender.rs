//! Sends requests and reads their responses.

mod request;

use crate::load::answer::{
    Expected, Failure, Outcome, Record, StreamReader, Streamed, Violation, read_refusal, read_whole,
};
use crate::load::balancer::Balancer;
use crate::load::experiment::{Experiment, Model, NamesError};
use crate::load::sse::EventReader;
use crate::load::workload::{Arrival, ClassMix};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use reedford_wire::headers;
use reedford_wire::plain::Receipt;
use request::Call;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the deadline for which the sender waits for the end of a
/// response.
const ANSWER_GRACE: Duration = Duration::from_secs(5);
/// Timeout for connecting to an entry instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the requests of one run.
#[derive(Debug)]
pub(crate) struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    balancer: Balancer,
    models: Vec<Model>,
    classes: Vec<ClassMix>,
    come_back: bool,
    /// Unique name of the run, the prefix of its idempotency keys.
    run: Box<str>,
}

/// Result of one exchange. Times count from the intended arrival.
struct Answer {
    outcome: Outcome,
    stall: Option<Duration>,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    violations: Vec<Violation>,
}

impl Answer {
    const fn plain(outcome: Outcome) -> Self {
        Self {
            outcome,
            stall: None,
            first_token: None,
            token_gaps: Vec::new(),
            violations: Vec::new(),
        }
    }

    const fn failed(failure: Failure) -> Self {
        Self::plain(Outcome::Failed(failure))
    }
}

impl Sender {
    pub(crate) fn new(experiment: &Experiment, run: &str) -> Result<Self, NamesError> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Ok(Self {
            client,
            balancer: Balancer::new(&experiment.entries, experiment.spread),
            models: experiment.names.models(experiment.workload.adapters)?,
            classes: experiment.workload.classes.clone(),
            come_back: experiment.come_back,
            run: run.into(),
        })
    }

    /// Sends request number `seq`, whose intended arrival is `intended`.
    pub(crate) async fn send(&self, seq: usize, arrival: Arrival, intended: Instant) -> Record {
        let mix = &self.classes[arrival.class];
        let call = Call {
            mix,
            model: &self.models[arrival.adapter],
            tokens: arrival.tokens,
            key: format!("{}-{seq}", self.run).into(),
        };
        let send_lag = intended.elapsed();
        let answer = self.exchange(seq, &call, intended).await;
        let end = intended.elapsed();
        let on_return = self.come_back(seq, &call, &answer.outcome).await;
        Record {
            at: arrival.at,
            class: arrival.class,
            send_lag,
            outcome: answer.outcome,
            stall: answer.stall,
            first_token: answer.first_token,
            token_gaps: answer.token_gaps,
            end,
            violations: answer.violations,
            on_return,
        }
    }

    async fn come_back(&self, seq: usize, call: &Call<'_>, outcome: &Outcome) -> Option<Outcome> {
        let Outcome::Refused(refused) = outcome else {
            return None;
        };
        let wait = refused.retry_after.filter(|_wait| self.come_back)?;
        tokio::time::sleep(wait).await;
        let answer = self.exchange(seq, call, Instant::now()).await;
        Some(answer.outcome)
    }

    async fn exchange(&self, seq: usize, call: &Call<'_>, intended: Instant) -> Answer {
        let limit = intended + call.mix.deadline() + ANSWER_GRACE;
        let exchange = async {
            match self.connect_and_send(seq, call).await {
                Ok(response) => read(call, response, intended).await,
                Err(failure) => Answer::failed(failure),
            }
        };
        let answer = tokio::time::timeout_at(limit, exchange).await;
        answer.unwrap_or(Answer::failed(Failure::NoAnswer))
    }

    /// Tries the entry instances in the balancer's order until one accepts the
    /// connection.
    async fn connect_and_send(
        &self,
        seq: usize,
        call: &Call<'_>,
    ) -> Result<Response<Incoming>, Failure> {
        for address in self.balancer.order(seq) {
            let req: Request<Full<Bytes>> = call.request(address);
            match self.client.request(req).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => (),
                Err(_) => return Err(Failure::Cut),
            }
        }
        Err(Failure::Connect)
    }
}

async fn read(call: &Call<'_>, response: Response<Incoming>, intended: Instant) -> Answer {
    let headers = response.headers().clone();
    if !response.status().is_success() {
        return read_error(response.into_body(), &headers).await;
    }
    let mut answer = match (&call.mix.plain, call.mix.stream) {
        (Some(_), _) => read_receipt(call, response.into_body(), &headers).await,
        (None, true) => read_stream(call, response.into_body(), &headers, intended).await,
        (None, false) => read_model(call, response.into_body(), &headers).await,
    };
    if call.mix.plain.is_none() {
        answer.stall = millis(&headers, headers::LOAD_STALL_MS);
        check_model_header(call, &headers, &mut answer.violations);
    }
    answer
}

async fn read_error(body: Incoming, headers: &HeaderMap) -> Answer {
    let retry_after = text(headers, RETRY_AFTER.as_str());
    let retry_after = retry_after.and_then(|value| value.parse().ok());
    match body.collect().await {
        Ok(body) => {
            let after = retry_after.map(Duration::from_secs);
            Answer::plain(read_refusal(&body.to_bytes(), after))
        }
        Err(_) => Answer::failed(Failure::Cut),
    }
}

async fn read_model(call: &Call<'_>, body: Incoming, headers: &HeaderMap) -> Answer {
    let Ok(body) = body.collect().await else {
        return Answer::failed(Failure::Cut);
    };
    let (outcome, violations) = read_whole(&expected(call, headers), &body.to_bytes());
    Answer {
        violations,
        ..Answer::plain(outcome)
    }
}

async fn read_receipt(call: &Call<'_>, body: Incoming, headers: &HeaderMap) -> Answer {
    let Ok(body) = body.collect().await else {
        return Answer::failed(Failure::Cut);
    };
    let Ok(receipt) = serde_json::from_slice::<Receipt>(&body.to_bytes()) else {
        return Answer::failed(Failure::BadAnswer);
    };
    let mut answer = Answer::plain(Outcome::Done);
    let attempt = text(headers, headers::ATTEMPT_ID);
    if attempt.is_some_and(|attempt| attempt != &*receipt.attempt) {
        answer.violations.push(Violation::Attempt);
    }
    if *receipt.body != call.plain_body() {
        answer.violations.push(Violation::Text);
    }
    answer
}

async fn read_stream(
    call: &Call<'_>,
    mut body: Incoming,
    headers: &HeaderMap,
    intended: Instant,
) -> Answer {
    let mut events = EventReader::default();
    let mut stream = StreamReader::new(expected(call, headers));
    while let Some(Ok(frame)) = body.frame().await {
        let now = intended.elapsed();
        let piece = frame.into_data().unwrap_or_else(|_trailers| Bytes::new());
        for event in events.push(&piece) {
            stream.on_event(now, &event);
        }
    }
    streamed_answer(stream.finish())
}

fn streamed_answer(streamed: Streamed) -> Answer {
    Answer {
        outcome: streamed.outcome,
        stall: None,
        first_token: streamed.first_token,
        token_gaps: streamed.token_gaps,
        violations: streamed.violations,
    }
}

fn expected(call: &Call<'_>, headers: &HeaderMap) -> Expected {
    Expected {
        model: call.model.name.clone(),
        attempt: text(headers, headers::ATTEMPT_ID).map(Box::from),
        tokens: call.tokens,
    }
}

fn check_model_header(call: &Call<'_>, headers: &HeaderMap, violations: &mut Vec<Violation>) {
    let names_it = text(headers, headers::MODEL) == Some(&*call.model.name);
    if !names_it && !violations.contains(&Violation::Model) {
        violations.push(Violation::Model);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value = text(headers, name)?.parse().ok()?;
    Some(Duration::from_millis(value))
}
