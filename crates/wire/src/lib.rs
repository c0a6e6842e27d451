//! Messages of the published protocols of the outside systems: model engines,
//! plain services, and the platform.
//!
//! Both the clients (`reedford-targets`, `reedford-store`) and the
//! stand-ins use these types, so that the two sides can't drift apart.

pub mod chat;
pub mod engine;
pub mod headers;
pub mod instances;
pub mod kv;
pub mod plain;
