//! A node that forwards calls by routes to a fleet of services and model
//! engines.
//!
//! Nodes are alike. Each takes callers, and one node of each availability zone
//! is also the zone's coordinator, which decides where model calls run and what
//! engines load; see [`reedford_fleet::scheduler`]. What has to be agreed goes
//! through the platform's store. [`ports`] is the edge that a platform's
//! adapter fills in; nothing here knows the platform's formats.

mod call;
mod clock;
mod coordinator;
mod daemon;
mod feeds;
mod handler;
mod log;
mod membership;
mod metrics;
mod peer;
mod peer_server;
mod places;
pub mod ports;
mod probes;
mod progress;
mod relay;
mod reply;
mod sending;
mod settings;
mod state;
mod sync;
mod view;

pub use daemon::{Node, run};
pub use settings::GatewaySettings;
pub use sync::Stores;
pub use view::{ConfigurationView, FleetView};
