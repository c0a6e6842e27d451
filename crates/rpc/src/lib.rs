//! RPC connections between the nodes of a fleet. They are opened at the first call
//! and closed when a call on them fails.

mod clients;

pub use clients::{Client, PeerClients, PeerError};
