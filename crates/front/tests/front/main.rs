//! Tests the server with a fake handler over raw TCP.

mod bad_requests;
mod responses;
mod shutdown;
mod support;
