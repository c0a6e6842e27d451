//! The entry instance: a library under the thin `reedford serve`.
//!
//! | module | job |
//! |---|---|
//! | [`entry`] | starts and stops the parts |
//! | `control` | the one thread that owns control state |
//! | `traffic` | the way of a request |
//! | `peer` | the protocol between entry instances |
//! | `operators` | the operators' interface |
//! | `spans` | the spans of a request's hops |
//! | [`telemetry`] | logs and traces |

mod clients;
mod clock;
mod control;
mod daemon;
pub mod entry;
mod metrics;
mod operators;
mod peer;
mod retention;
mod spans;
pub mod telemetry;
mod traffic;

pub use clients::RULES_PREFIX;
pub use daemon::{Ended, run};
pub use entry::{Drained, Entry, EntryReport};
pub use telemetry::Telemetry;
