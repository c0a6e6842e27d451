//! A node that routes calls to a fleet of services and model engines.
//!
//! A call is one request of a caller. All nodes are alike: each serves callers,
//! and one node of each availability zone is also the zone's coordinator, which
//! decides where model calls run and what engines load; see
//! [`reedford_fleet::scheduler`]. Nodes coordinate through the platform's
//! store. The crate for a platform implements [`dialect::Dialect`]; this crate
//! knows nothing of the platform's formats.
//!
//! Instances reject calls, and the scheduler refuses them. A caller may send a
//! request again, as an attempt of its own; `attempt` otherwise means that this
//! node sends a call to an instance.

mod body_part;
mod call;
mod caller;
mod calls_report;
mod clock;
mod confirmation;
mod connection_headers;
mod coordinator;
mod daemon;
mod departures;
pub mod dialect;
mod dialer;
mod feeds;
mod handler;
mod log;
mod membership;
mod metrics;
mod notices;
mod peer;
mod peer_server;
mod placer;
mod probes;
mod progress;
mod quarantine;
mod quarantine_record;
mod relay;
mod relay_nodes;
mod relay_watch;
mod reply;
mod response_head;
mod sender;
mod serving_versions;
mod settings;
mod signals;
mod state;
mod stop;
mod store_retries;
mod stream_record;
mod sync;
mod tunnel;
mod usage;
mod view;

pub use daemon::{Node, run};
pub use settings::GatewaySettings;
pub use sync::StoreClients;
pub use view::{ConfigurationView, FleetView};
