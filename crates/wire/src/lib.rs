//! Messages of the published protocols of external systems: model engines, plain
//! services, and the platform.
//!
//! The clients (`reedford-targets`, `reedford-store`) and the stand-ins share these
//! types, so that both sides speak the same protocol.

pub mod chat;
pub mod engine;
pub mod headers;
pub mod instances;
pub mod kv;
pub mod plain;
