//! HTTP client of the targets: model engines and plain services.
//!
//! The client carries requests and orders out and tells exactly how each one
//! ended; it takes no decisions. The distinction that everything above rests
//! on is made here: [`NotSentReason`] is given only when no byte of a request
//! went out, a [`reedford_wire::engine::Refusal`] only when the target said so
//! under the attempt id of this very request, and whatever else goes wrong is
//! [`LostReason`], after which the request may have run.
//!
//! Nothing is ever resent once a byte may have left.

mod client;
mod error;
mod exchange;
mod options;
mod pool;
mod reply;
mod sse;
mod status;
mod stream;

pub use client::TargetClient;
pub use error::{
    CallError, DispatchError, LostReason, Mismatch, NotSentReason, OrderError, ResumeError,
    StreamError,
};
pub use exchange::{
    BufferedResponse, HeadDeadline, IncomingResponse, Reuse, read_body, send_request,
};
pub use options::{DispatchOptions, PlainCall, Timeouts};
pub use pool::{Connection, Pool};
pub use reply::{Cancellation, DispatchResponse, PlainResponse};
pub use sse::{Event, EventReader, InvalidEvent};
pub use status::refusal_status;
pub use stream::{TokenEvent, TokenStream};

/// Id of one attempt to run a request.
pub type AttemptId = Box<str>;
/// Name of an adapter and version, `adapter@version`.
pub type ModelName = Box<str>;
