//! The scheduler of one worker, in logical time.

mod admission;
mod loads;
mod support;
