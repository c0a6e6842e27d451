//! Slopes for the capacity page: the cost of one control operation in
//! processor time and bytes, at several sizes.
//!
//! `reedford-slopes` prints them. Each module measures public components of an
//! entry instance on one thread and without I/O; [`layout`] writes deployments
//! of chosen sizes for runs of whole instances.
//!
//! | module | measures |
//! |---|---|
//! | [`exchange`] | summaries between peers, the cluster view, the choice of the broker |
//! | [`schedule`] | permits, placement, and the order of loads |
//! | [`stored`] | rules, zone tables and the list of instances |

pub mod exchange;
mod fleet;
pub mod layout;
pub mod meter;
pub mod schedule;
pub mod stored;
