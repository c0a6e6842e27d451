//! Whole sites with faults induced, one and two together, and their histories
//! checked.

mod faults;
mod fleet;
mod operators;
mod processes;
mod retries;
mod scene;
mod stops;
mod table;
mod traffic;
