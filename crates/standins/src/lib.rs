//! Stand-ins for the platform and the targets, the load tool, the history
//! checker, and the cost measurements behind the capacity page.

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
