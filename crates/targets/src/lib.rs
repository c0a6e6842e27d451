//! HTTP client of the targets: model engines and plain services.
//!
//! The client sends requests and orders, and reports how each one ended; it
//! contains no policy. Its callers rely on the distinction between failures:
//! [`NotSentReason`] is returned only if no byte of the request was sent.
//! [`TargetClient::dispatch`] and [`TargetClient::plain`] return a
//! [`reedford_wire::engine::Refusal`] only if the target refused the request in a
//! response with its attempt id; every other failure of theirs is a [`LostReason`]
//! or a [`Mismatch`], after which the request may have run. Responses to orders
//! have no attempt id. A stream that fails later returns a [`StreamError`], one
//! that can't be resumed a [`ResumeError`].
//!
//! A request is never sent again once any of its bytes may have been sent.

mod client;
mod error;
mod exchange;
mod failed_calls;
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
    BufferedResponse, HeadDeadline, IncomingResponse, read_body, send_request, send_request_on,
};
pub use failed_calls::CallKey;
pub use options::{DispatchOptions, PlainRequest, Timeouts};
pub use pool::{Connection, ConnectionId, Dialed, Dialer, Pool, Relay, Reuse};
pub use response::{Cancellation, DispatchResponse, PlainResponse};
pub use sse::{Event, EventReader, InvalidEvent};
pub use status::refusal_status;
pub use stream::{TokenEvent, TokenStream};

/// Id of one attempt to run a request.
pub type AttemptId = Box<str>;
/// Name of an adapter and version, `adapter@version`.
pub type ModelName = Box<str>;
