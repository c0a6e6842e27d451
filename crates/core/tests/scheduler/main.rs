//! The scheduler of one worker, in simulated time.

mod admission;
mod engine;
mod loads;
mod property;
mod restart;
mod simulation;
mod steps;
mod support;
mod takeover;
