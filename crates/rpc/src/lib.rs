//! Calls between the nodes of a fleet: connections that are opened when first
//! used, and dropped when a call on them fails.

mod clients;

pub use clients::{Client, PeerClients, PeerError};
