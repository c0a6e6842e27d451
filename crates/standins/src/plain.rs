//! Stand-in for a plain service: accepts `POST` on any path, responds with a
//! [`Receipt`] that names the attempt id, and records every run.
//!
//! | call | effect or response |
//! |---|---|
//! | `POST /control/faults` with [`PlainFaults`] | switches faults on or off |
//! | `GET /control/record` | list of [`Receipt`] |
//! | `GET /control/runs` | list of [`PlainRun`] |

use crate::target_http::{
    self, Body, CloseConnection, ConnectionNumber, Silence, header_value, json_response, read_body,
    read_json, refusal, refusal_response, unix_ms,
};
use crate::target_program::{register, register_with_retries};
use eyre::WrapErr as _;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use reedford_wire::engine::RefusalCode;
use reedford_wire::headers;
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use reedford_wire::plain::Receipt;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Settings of a plain service stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainConfig {
    /// Name of the instance, unique in the fleet.
    pub id: Box<str>,
    /// Group of the instance.
    pub group: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of each call in milliseconds.
    pub delay_ms: u64,
    /// Address of the platform to register with.
    pub register: Option<SocketAddr>,
}

impl Default for PlainConfig {
    fn default() -> Self {
        Self {
            id: "plain".into(),
            group: "services".into(),
            zone: "zone".into(),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            delay_ms: 0,
            register: None,
        }
    }
}

/// Faults to switch on or off; an absent field leaves its fault unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Duration of each call in milliseconds.
    pub delay_ms: Option<u64>,
    /// Whether the service is leaving.
    pub leaving: Option<bool>,
    /// Number of upcoming calls that run but get no response.
    pub lose_answers: Option<u32>,
    /// `true` makes all currently open connections silent permanently.
    pub silent_connections: Option<bool>,
}

/// A call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainRun {
    /// Receipt of the call.
    pub receipt: Receipt,
    /// Time of the start in milliseconds of Unix time.
    pub started_unix_ms: u64,
}

/// A running plain service stand-in.
#[derive(Debug)]
pub struct PlainStandin {
    service: Arc<Service>,
}

impl PlainStandin {
    /// Binds the address, starts serving, and registers with the platform if
    /// one is configured.
    ///
    /// # Errors
    /// When the address can't be bound or the registration fails.
    pub async fn start(cfg: PlainConfig) -> eyre::Result<Self> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .wrap_err_with(|| format!("binding {}", cfg.listen))?;
        let addr = listener.local_addr()?;
        let service = Arc::new(Service::new(cfg, addr));
        let stop = service.stop.clone();
        let silence = Arc::clone(&service.silence);
        let handler = {
            let service = Arc::clone(&service);
            move |req| route(Arc::clone(&service), req)
        };
        service
            .tasks
            .spawn(target_http::serve(listener, stop, silence, handler));
        let standin = Self { service };
        if let Some(platform) = standin.service.cfg.register {
            let instance = standin.service.instance(InstanceState::Live);
            if let Err(error) = register_with_retries(platform, &instance).await {
                standin.shutdown().await;
                return Err(error);
            }
        }
        Ok(standin)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.service.addr
    }

    /// Returns the receipts of the calls that ran.
    #[must_use]
    pub fn record(&self) -> Vec<Receipt> {
        self.service.receipts()
    }

    /// Returns the calls that ran, with their start times.
    #[must_use]
    pub fn runs(&self) -> Vec<PlainRun> {
        self.service.state().record.clone()
    }

    /// Switches faults on or off.
    pub async fn set_faults(&self, faults: &PlainFaults) {
        self.service.set_faults(faults, None).await;
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.service.stop.cancel();
        self.service.tasks.close();
        self.service.tasks.wait().await;
    }
}

#[derive(Debug)]
struct Service {
    addr: SocketAddr,
    cfg: PlainConfig,
    silence: Arc<Silence>,
    state: Mutex<State>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct State {
    delay: Duration,
    leaving: bool,
    lose_answers: u32,
    record: Vec<PlainRun>,
}

impl Service {
    fn new(cfg: PlainConfig, addr: SocketAddr) -> Self {
        let state = State {
            delay: Duration::from_millis(cfg.delay_ms),
            leaving: false,
            lose_answers: 0,
            record: Vec::new(),
        };
        Self {
            addr,
            cfg,
            silence: Arc::default(),
            state: Mutex::new(state),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn receipts(&self) -> Vec<Receipt> {
        let state = self.state();
        state.record.iter().map(|run| run.receipt.clone()).collect()
    }

    async fn set_faults(&self, faults: &PlainFaults, from: Option<ConnectionNumber>) {
        self.state().apply(faults);
        if faults.silent_connections == Some(true) {
            self.silence.silence_open(from);
        }
        let (Some(platform), Some(leaving)) = (self.cfg.register, faults.leaving) else {
            return;
        };
        let state = if leaving {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        };
        if let Err(e) = register(platform, &self.instance(state)).await {
            tracing::warn!(event = "register_failed", id = %self.cfg.id, error = %e);
        }
    }

    fn instance(&self, state: InstanceState) -> Instance {
        Instance {
            id: self.cfg.id.clone(),
            group: self.cfg.group.clone(),
            kind: InstanceKind::Plain,
            zone: self.cfg.zone.clone(),
            address: self.addr,
            state,
            checks_fence: false,
        }
    }
}

impl State {
    fn apply(&mut self, faults: &PlainFaults) {
        self.delay = faults.delay_ms.map_or(self.delay, Duration::from_millis);
        self.leaving = faults.leaving.unwrap_or(self.leaving);
        self.lose_answers = faults.lose_answers.unwrap_or(self.lose_answers);
    }

    /// Consumes one of the responses to lose; returns whether there was one.
    fn take_lost_response(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}

async fn route(
    service: Arc<Service>,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/control/record") => json_response(StatusCode::OK, &service.receipts()),
        (&Method::GET, "/control/runs") => json_response(StatusCode::OK, &service.state().record),
        (&Method::POST, "/control/faults") => set_faults(&service, req).await,
        (&Method::POST, _) => run(&service, req).await,
        _ => json_response(StatusCode::NOT_FOUND, &serde_json::json!({})),
    }
}

async fn set_faults(
    service: &Service,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    let from = ConnectionNumber::of(&req);
    let faults: PlainFaults = match read_json(req.into_body()).await? {
        Ok(faults) => faults,
        Err(unreadable) => return refusal_response(&unreadable, None),
    };
    service.set_faults(&faults, from).await;
    json_response(StatusCode::OK, &faults)
}

async fn run(service: &Service, req: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
    let Some(attempt) = header_value(&req, headers::ATTEMPT_ID).map(Box::<str>::from) else {
        let missing = refusal(RefusalCode::BadRequest, "no attempt id");
        return refusal_response(&missing, None);
    };
    let receipt = receipt(attempt, req).await?;
    if service.state().leaving {
        let leaving = refusal(RefusalCode::Leaving, "the service is leaving");
        return refusal_response(&leaving, Some(&receipt.attempt));
    }
    let delay = {
        let mut state = service.state();
        state.record.push(PlainRun {
            receipt: receipt.clone(),
            started_unix_ms: unix_ms(),
        });
        state.delay
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if service.state().take_lost_response() {
        return Err(CloseConnection);
    }
    respond(service, &receipt)
}

async fn receipt(attempt: Box<str>, req: Request<Incoming>) -> Result<Receipt, CloseConnection> {
    let path = req.uri().path().into();
    let key = header_value(&req, headers::IDEMPOTENCY_KEY).map(Box::from);
    let bytes = read_body(req.into_body()).await?;
    Ok(Receipt {
        attempt,
        path,
        key,
        body: String::from_utf8_lossy(&bytes).into(),
    })
}

fn respond(service: &Service, receipt: &Receipt) -> Result<Response<Body>, CloseConnection> {
    let mut res = json_response(StatusCode::OK, receipt)?;
    let res_headers = [
        (headers::ATTEMPT_ID, &receipt.attempt),
        (headers::TARGET, &service.cfg.id),
    ];
    for (name, value) in res_headers {
        let value = value.parse().map_err(|_invalid| CloseConnection)?;
        res.headers_mut().insert(name, value);
    }
    Ok(res)
}
