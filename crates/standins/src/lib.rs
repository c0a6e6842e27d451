//! Stand-ins of the platform and the targets, and the load tool.

pub mod caller;
pub mod engine;
pub mod history;
pub mod load;
pub mod plain;
pub mod platform;
pub mod site;
pub mod slopes;
mod target_http;
pub mod target_program;
