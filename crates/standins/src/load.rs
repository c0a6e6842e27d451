//! The load and experiment tool, `reedford-load`.
//!
//! It sends generated requests to entry instances, measures their answers, and
//! sets the figures beside a floor computed for the same arrivals.
//!
//! | module | job |
//! |---|---|
//! | [`experiment`] | the experiment file |
//! | [`workload`] | arrivals from a seed, without I/O |
//! | [`floor`] | load stalls that future knowledge allows, without I/O |
//! | [`balancer`] | which entry instances a request tries |
//! | [`answer`] | reads and checks an answer |
//! | [`sse`] | reads server-sent events |
//! | [`runner`] | sends the arrivals at their times |
//! | [`probe`] | counters of the targets and entry instances |
//! | [`machine`] | processor use of this process and the machine |
//! | [`report`] | figures of a run |
//! | [`table`] | figures as text |

pub mod answer;
pub mod balancer;
pub mod experiment;
pub mod floor;
pub mod machine;
pub mod probe;
pub mod report;
pub mod runner;
pub(crate) mod sender;
pub mod sse;
pub mod table;
pub mod workload;
