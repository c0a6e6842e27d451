//! Slopes for the capacity page: what one step of control costs in processor
//! time and bytes, at several sizes.
//!
//! `reedford-slopes` prints them. Each module measures the public parts that
//! an entry instance is made of, on one thread and without input or output;
//! [`layout`] writes deployments of chosen sizes for runs of whole instances.
//!
//! | module | measures |
//! |---|---|
//! | [`exchange`] | summaries between peers, the view, the choice of the broker |
//! | [`schedule`] | permits, placement, and the order of loads |
//! | [`stored`] | rules, zone tables and the list of instances |

pub mod exchange;
mod fleet;
pub mod layout;
pub mod meter;
pub mod schedule;
pub mod stored;
