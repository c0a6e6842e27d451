//! The caller-facing HTTP edge of an entry instance.
//!
//! [`serve`] accepts connections, reads and checks requests, and hands them to
//! a [`Handler`], which decides everything. It turns the handler's [`CallResponse`]
//! into HTTP. What can't be read is refused here, before the handler sees it.
//!
//! | path | handler |
//! |---|---|
//! | `POST /v1/chat/completions` | [`Handler::chat`] |
//! | `POST /services/{service}/{path...}` | [`Handler::plain`] |
//! | `GET /healthz` | none: answers while the process runs |
//! | `GET /readyz` | [`Handler::ready`] |
//! | `GET /metrics` | [`Handler::metrics`] |

mod accept;
mod answer;
mod body;
mod chat;
mod handler;
mod linger;
mod options;
mod refused;
mod respond;
mod routes;
mod serve;
mod stream;

pub use accept::{ConnectionLimits, HttpService, ShutdownSignals, serve_connections};
pub use answer::{CallResponse, ResponseMeta, ResponseStream, StreamError};
pub use handler::{CallOptions, ChatCall, Handler, PlainCall, Readiness, RequestDigest};
pub use options::TENANT_HEADER;
pub use refused::{CallRefusal, ErrorBody, ErrorDetail, Outcome, RefusalCode};
pub use serve::{ServerLimits, serve};
