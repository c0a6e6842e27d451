//! Bounds on what a peer sends, for the connections of HTTP clients and servers.
//!
//! One thread serves all connections of a process. hyper reads a connection for as long as
//! bytes are there: an HTTP client takes any number of informational responses before a
//! head, and parses the framing of a body, without a pause. [`BoundedStream`] gives the
//! others their turn, and ends a connection on which nothing but such bytes comes, as its
//! [`Progress`] tells.

mod bounded;
mod progress;

pub use bounded::BoundedStream;
pub use progress::Progress;

/// Longest head in bytes, for [`max_buf_size`](hyper::client::conn::http1::Builder::max_buf_size).
/// A response whose informational responses and head are no longer together is always
/// received; none is received of which more than twice as much comes before the end of its
/// head.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
