//! The edge of the process: what a platform's adapter translates.

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use reedford_fleet::balancer::ReportedLoad;
use reedford_fleet::config::Configuration;
use reedford_fleet::directory::Instance;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{EngineReport, Order, OrderOutcome};
use reedford_fleet::{AdapterName, InstanceId, ModelName, WeightVersion};
use std::time::Duration;

/// What a call says of itself in its head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// Id of this attempt of the caller.
    pub attempt: Option<Box<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Base model and adapter, for a model call.
    pub model: Option<(ModelName, Option<AdapterName>)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Last event of the stream that the caller has.
    pub last_event: Option<Box<str>>,
}

/// What this node adds to a call that it sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch<'a> {
    /// The instance that must take it.
    pub instance: &'a str,
    /// Version of the adapter that it must run on.
    pub version: Option<WeightVersion>,
    /// Time left.
    pub patience: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Last event that was passed on, when a stream goes on elsewhere.
    pub last_event: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// Whether the instance states that the call did not run, and why.
    pub refused: Option<NotRun>,
    /// Id of the attempt that it answers.
    pub attempt: Option<Box<str>>,
    /// Load that the instance tells.
    pub load: Option<ReportedLoad>,
}

/// Why an instance did not run a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// It is another instance, or lacks model, adapter or version.
    Misdirected,
    /// It is full or the deadline passed while the call waited.
    Full,
}

/// What a key of the store holds.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredItem {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// An instance.
    Instance(Instance),
    /// The newest version of an adapter.
    AdapterVersion {
        /// Its base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The version.
        version: WeightVersion,
    },
}

/// Translates between this node and a platform's formats. Holds no state.
pub trait Dialect: Send + Sync + 'static {
    /// Path at which the platform asks whether this node is ready.
    fn readiness_path(&self) -> &str;

    /// Keys under which operators write.
    fn operator_prefix(&self) -> &str;

    /// Keys under which instances register.
    fn instance_prefix(&self) -> &str;

    /// Reads the head of a call.
    fn call(&self, head: &Parts) -> CallHead;

    /// Changes the header fields of a call into those that an instance takes.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the head of an instance's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Header field and value that tell a caller when to come back.
    fn retry_after(
        &self,
        wait: Duration,
    ) -> (hyper::header::HeaderName, hyper::header::HeaderValue);

    /// Reads a key of the store.
    ///
    /// # Errors
    /// Why it can't be used.
    fn stored(&self, key: &str, value: &[u8]) -> Result<StoredItem, Box<str>>;

    /// Id of the instance that a key belongs to.
    fn instance_of<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// The request that carries an order.
    fn order(&self, order: &Order, holder: &InstanceId, fence: Fence) -> Request<Full<Bytes>>;

    /// Reads the answer to an order.
    fn order_answer(&self, status: StatusCode, body: &[u8]) -> OrderOutcome;

    /// The request for an engine's report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Reads an engine's report.
    ///
    /// # Errors
    /// Why it can't be used.
    fn report(&self, body: &[u8]) -> Result<EngineReport, Box<str>>;
}
