//! Placeholder until its modules land.
