//! The interface that the crate for a platform implements.

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use reedford_fleet::balancer::ReportedLoad;
use reedford_fleet::config::Configuration;
use reedford_fleet::directory::Instance;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{EngineReport, Order, OrderOutcome, PromptPart};
use reedford_fleet::workspaces::KeyDigest;
use reedford_fleet::{AdapterName, InstanceId, ModelName, WeightVersion};
use std::time::Duration;

/// Header fields of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// Id that the caller gave this attempt of its request.
    pub attempt_id: Option<Box<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Base model and adapter, for a model call.
    pub model: Option<(ModelName, Option<AdapterName>)>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Parts of the prompt in order; empty if they are not known.
    pub prompt_parts: Vec<PromptPart>,
    /// Maximum number of generated tokens.
    pub max_output_tokens: u32,
    /// Id of the last event that the caller received, to resume a stream.
    pub last_event_id: Option<Box<str>>,
    /// Id of the caller's attempt that brought the first event of the stream to
    /// resume.
    pub resumes: Option<Box<str>>,
    /// Whether the call names its numbers of tokens.
    pub names_tokens: bool,
    /// Digest of the caller's key; `None` if there is none that can be read.
    pub key: Option<KeyDigest>,
}

/// What an instance receives of the fields that identify a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerFields<'a> {
    /// The caller's own fields: the configuration has no workspaces.
    Unchanged,
    /// Neither a key nor a workspace.
    Removed,
    /// The name of the caller's workspace, but not its key.
    Workspace(&'a str),
}

/// What this node adds to a call that it sends to an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch<'a> {
    /// The only instance that may run the call.
    pub instance: &'a str,
    /// The adapter version that the call must run on.
    pub version: Option<WeightVersion>,
    /// Time until the call's deadline.
    pub time_left: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, to resume a stream.
    pub last_event_id: Option<&'a str>,
    /// What identifies the caller.
    pub caller: CallerFields<'a>,
}

/// What the head of an instance's response states.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The reason, if the instance rejected the call, which then did not run.
    pub not_run: Option<NotRunReason>,
    /// Whether it has the instance's signature, without which a success is not one.
    pub signed: bool,
    /// Version of the weights at which a stream begins.
    pub weight_version: Option<WeightVersion>,
    /// Id of the caller's attempt that the response belongs to.
    pub attempt_id: Option<Box<str>>,
    /// The instance's load.
    pub load: Option<ReportedLoad>,
    /// Whether the instance is leaving and takes no new requests.
    pub leaving: bool,
    /// Time for which the instance, which refused the request, asks to be sent
    /// nothing; the text of the field if it can't be read.
    pub pushback: Option<Result<Duration, Box<str>>>,
    /// Calls per second that the instance takes from all nodes together, if it names a
    /// limit; the text of the field if it can't be read.
    pub rate_limit: Option<Result<f64, Box<str>>>,
    /// Calls that the instance can reject in a second for want of room without falling
    /// over, if it names a limit; the text of the field if it can't be read.
    pub rejection_limit: Option<Result<f64, Box<str>>>,
}

/// Why an instance rejected a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The call is for another instance, or the instance lacks the model,
    /// adapter or version.
    Misdirected,
    /// The instance is full, or the deadline passed while the call waited.
    Full,
}

/// A value of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredItem {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// An instance's entry.
    Instance(Instance),
    /// The version that an operator set for an adapter.
    AdapterVersion {
        /// The adapter's base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The version.
        version: WeightVersion,
    },
}

/// Translates between this crate's types and a platform's formats. Has no
/// state.
pub trait Dialect: Send + Sync + 'static {
    /// Path at which the platform probes whether this node is ready.
    fn readiness_path(&self) -> &str;

    /// Prefix of the keys that operators write.
    fn operator_prefix(&self) -> &str;

    /// Prefix of the keys under which instances register.
    fn instance_prefix(&self) -> &str;

    /// Parses the head of a call.
    fn parse_call(&self, head: &Parts) -> CallHead;

    /// Replaces the header fields of a call with those for an instance.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Parses the head of an instance's response to a call, an order or a request
    /// for a report.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns the version of the weights that an event names because it changes there.
    fn event_weight_version(&self, event: &[u8]) -> Option<WeightVersion>;

    /// Returns the header field that tells a caller when to retry.
    fn retry_after_header(
        &self,
        wait: Duration,
    ) -> (hyper::header::HeaderName, hyper::header::HeaderValue);

    /// Parses a value of the store.
    ///
    /// # Errors
    /// When the key is not known or the value is invalid.
    fn parse_stored(&self, key: &str, value: &[u8]) -> Result<StoredItem, Box<str>>;

    /// Returns the id of the instance that a key belongs to.
    fn instance_id<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Builds the request for an order.
    fn order_request(
        &self,
        order: &Order,
        holder: &InstanceId,
        fence: Fence,
    ) -> Request<Full<Bytes>>;

    /// Parses the response to an order.
    fn parse_order_response(&self, status: StatusCode, body: &[u8]) -> OrderOutcome;

    /// Builds the request for an engine's report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Parses an engine's report.
    ///
    /// # Errors
    /// When the report is invalid.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, Box<str>>;
}
