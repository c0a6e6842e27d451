//! The caller-facing edge with a fake handler, over raw TCP.

mod answers;
mod bad_requests;
mod stop;
mod support;
