//! The scheduler of one worker, in logical time.

mod admission;
mod engine;
mod loads;
mod property;
mod restart;
mod steps;
mod support;
mod takeover;
mod world;
