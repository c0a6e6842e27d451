//! The decisions of a gateway, without input or output.
//!
//! A gateway forwards calls by routes to services, and decides where in a
//! fleet of workers the adapters of a call are loaded. Every module takes
//! events and the time, a [`Now`], and answers with values, so that tests
//! drive it as they like.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | which route a call takes |
//! | [`directory`] | which instances may be used, from a store that comes and goes |
//! | [`scheduler`] | where model calls run, which adapters are loaded and evicted |
//! | [`spread`] | which instance of a plain service takes a call |
//! | [`budget`] | whether a call may be sent once more |
//! | [`health`] | which instances are left out after failures |
//! | [`ownership`] | whether this node orders loads for its availability zone |
//! | [`contact`] | whether this node is cut off |
//! | [`zones`] | which availability zone places a call |

pub mod budget;
pub mod config;
pub mod contact;
pub mod directory;
pub mod health;
pub mod ownership;
pub mod scheduler;
pub mod spread;
pub mod zones;

pub use reedford_core::{InstanceId, Now, ZoneId};

/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a base model.
pub type ModelName = Box<str>;
/// Name of an adapter within its model.
pub type AdapterName = Box<str>;
/// Number that rises with each new version of an adapter's weights.
pub type WeightVersion = u64;
