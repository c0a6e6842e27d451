//! The operators' interface: JSON-RPC over HTTP. Without the token nothing is
//! told.

mod reports;
mod server;

pub(crate) use reports::InstanceReport;
pub(crate) use server::start;
