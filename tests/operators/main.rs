//! The operators' commands and the metrics of entry instances, on a site with
//! stand-ins.

mod commands;
mod metrics;
mod support;
