//! The interface for operators: JSON-RPC over HTTP. Every request needs the
//! operator token.

mod reports;
mod server;

pub(crate) use reports::InstanceReport;
pub(crate) use server::start;
