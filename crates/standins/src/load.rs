//! The load and experiment tool, `reedford-load`.
//!
//! It sends generated requests to entry instances, measures the responses, and
//! reports the figures next to a lower bound ("floor") of the load stalls,
//! computed for the same arrivals.
//!
//! | module | purpose |
//! |---|---|
//! | [`experiment`] | the experiment file |
//! | [`workload`] | arrivals from a seed, without I/O |
//! | [`floor`] | lower bound of the load stalls, without I/O |
//! | [`balancer`] | order in which a request tries the entry instances |
//! | [`response`] | reads and checks a response |
//! | [`sse`] | reads server-sent events |
//! | [`runner`] | sends the arrivals at their times |
//! | [`probe`] | counters of the engines and entry instances |
//! | [`machine`] | processor use of this process and the machine |
//! | [`report`] | figures of a run |
//! | [`table`] | figures as text |

pub mod balancer;
pub mod experiment;
pub mod floor;
pub mod machine;
pub mod probe;
pub mod report;
pub mod response;
pub mod runner;
pub(crate) mod sender;
pub mod sse;
pub mod table;
pub mod workload;
