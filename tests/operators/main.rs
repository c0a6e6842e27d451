//! What operators see of entry instances of a whole site.

mod commands;
mod metrics;
mod support;
