//! The scheduler of one worker, in logical time.

mod admission;
mod engine;
mod loads;
mod restart;
mod support;
mod takeover;
