//! The entry instance, as a library that the command `reedford serve` runs.
//!
//! | module | purpose |
//! |---|---|
//! | [`entry`] | starts and stops an entry instance |
//! | `control` | the thread that owns all control state |
//! | `traffic` | handles callers' requests |
//! | `peer` | the protocol between entry instances |
//! | `operators` | the interface for operators |
//! | `spans` | tracing spans of requests |
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
pub use daemon::{ShutdownOutcome, run};
pub use entry::{DrainOutcome, EntryInstance, EntryReport};
pub use telemetry::Telemetry;
