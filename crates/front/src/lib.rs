//! HTTP server for the callers of an entry instance.
//!
//! [`serve`] accepts connections, reads and validates requests, passes them to a
//! [`Handler`], and sends the [`CallResponse`] that the handler returns. Malformed
//! requests are refused here and don't reach the handler.
//! [`serve_connections`] is the server without the routes, for any
//! [`HttpService`].
//!
//! | path | handler |
//! |---|---|
//! | `POST /v1/chat/completions` | [`Handler::chat`] |
//! | `POST /services/{service}/{path...}` | [`Handler::plain`] |
//! | `GET /healthz` | none: always `200` while the process runs |
//! | `GET /readyz` | [`Handler::readiness`] |
//! | `GET /metrics` | [`Handler::metrics`] |

mod accept;
mod body;
mod chat;
mod handler;
mod http_response;
mod linger;
mod options;
mod refusal;
mod response;
mod routes;
mod serve;
mod stream;
mod write_timeout;

pub use accept::{
    ConnectionLimits, HttpService, IDLE_CLOSE_DELAY, ShutdownSignals, serve_connections,
};
pub use handler::{CallOptions, ChatCall, Handler, PlainCall, Readiness, RequestDigest};
pub use linger::LingeringRefusal;
pub use options::TENANT_HEADER;
pub use refusal::{CallRefusal, ErrorBody, ErrorDetail, Outcome, RefusalCode};
pub use response::{CallResponse, ResponseMeta, ResponseStream, StreamError};
pub use serve::{ServerLimits, serve};
