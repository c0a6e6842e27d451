//! The scheduler of a zone: single decisions, and load patterns against a
//! simulation of its engines.

mod decisions;
mod fair_shares;
mod gaps;
mod late_orders;
mod load_patterns;
mod prompts;
mod support;
mod zone;
