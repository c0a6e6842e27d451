//! Decision logic of a gateway, free of I/O.
//!
//! A gateway routes calls to services and decides on which engines of a fleet
//! the adapters of model calls are loaded. Every module takes events and the
//! current time, and returns values, so that tests can drive it through any
//! sequence of events. [`Now`] is the type of all points in time, deadlines
//! included: the time since a fixed start, usually that of the process.
//!
//! | module | decides |
//! |---|---|
//! | [`config`] | route and service of a call |
//! | [`attribution`] | which request a response belongs to |
//! | [`not_run`] | whether it is proved that a call did not run |
//! | [`recent_calls`] | whether a call came to this node before |
//! | [`event_order`] | whether an event of another instance goes on with a stream |
//! | [`departures`] | which instances announced that they are leaving |
//! | [`directory`] | which instances may be used, also during outages of the store |
//! | [`scheduler`] | where model calls run, which adapters are loaded and evicted |
//! | [`balancer`] | which instance of a plain service runs a call |
//! | [`budget`] | whether a call may be retried |
//! | [`health`] | which instances are ejected after failures |
//! | [`ownership`] | whether this node coordinates its availability zone |
//! | [`stream_versions`] | at which service and software version a stream may be resumed |
//! | [`quarantine`] | which calls are refused because instances crash under them |
//! | [`pushback`] | which instances asked this node to send nothing for a time |
//! | [`rate_limits`] | how many calls a second instances take |
//! | [`store_retries`] | when to try a store again that does not respond |
//! | [`links`] | whether this node's own links to the instances are broken |
//! | [`relays`] | which other node opens connections to instances for this one |
//! | [`stopping`] | until when a node that stops sends calls to instances |
//! | [`key_lag`] | how far this node is behind the keys that operators write |
//! | [`transfer`] | how large values get from one node to many others |
//! | [`connectivity`] | whether this node is cut off from the store and its peers |
//! | [`zones`] | which availability zone places a call |
//! | [`workspaces`] | whose key a call has, and whether it may use a route |
//! | [`quota`] | whether a workspace has used up its limit |

pub mod attribution;
pub mod balancer;
pub mod budget;
pub mod config;
pub mod connectivity;
pub mod departures;
pub mod directory;
pub mod event_order;
pub mod health;
pub mod key_lag;
pub mod links;
pub mod not_run;
pub mod ownership;
pub mod pushback;
pub mod quarantine;
pub mod quota;
pub mod rate_limits;
pub mod recent_calls;
pub mod relays;
pub mod scheduler;
pub mod stopping;
pub mod store_retries;
pub mod stream_versions;
pub mod transfer;
pub mod workspaces;
pub mod zones;

pub use reedford_core::{Era, InstanceId, Now, ZoneId};

/// Id that a caller gives one attempt of its request.
pub type AttemptId = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;
/// Name of a base model.
pub type ModelName = Box<str>;
/// Name of an adapter within its model.
pub type AdapterName = Box<str>;
/// Version of an adapter's or a base model's weights; increases with each new one.
pub type WeightVersion = u64;
/// Version of an instance's software; versions are not ordered.
pub type SoftwareVersion = Box<str>;
