//! Microbenchmarks of control operations: processor time and encoded size in
//! bytes of one operation at several sizes. The capacity page of the
//! documentation derives from them how the costs grow (their slopes).
//!
//! `reedford-slopes` prints the figures. Each module measures public components of an
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
