//! Placeholder until its modules land.
pub mod platform;
