//! The scheduler of a zone: single decisions, and whole load patterns against
//! a model of its engines.

mod decisions;
mod load_patterns;
mod support;
mod zone;
