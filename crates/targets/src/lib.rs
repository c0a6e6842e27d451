//! HTTP client of the targets: model engines and plain services.
//!
//! The client sends requests and orders, and reports how each one ended; it
//! contains no policy. Its callers rely on the distinction between failures:
//! [`NotSentReason`] is returned only if no byte of the request was sent, a
//! [`reedford_wire::engine::Refusal`] only if the target refused it in a response
//! with the attempt id of this request. Every other failure is a
//! [`LostReason`] or a [`Mismatch`], after which the request may have run.
//!
//! A request is never sent again once any of its bytes may have been sent.

mod client;
mod error;
mod exchange;
mod options;
mod pool;
mod response;
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
pub use response::{Cancellation, DispatchResponse, PlainResponse};
pub use sse::{Event, EventReader, InvalidEvent};
pub use status::refusal_status;
pub use stream::{TokenEvent, TokenStream};

/// Id of one attempt to run a request.
pub type AttemptId = Box<str>;
/// Name of an adapter and version, `adapter@version`.
pub type ModelName = Box<str>;
