//! RPC connections to peers, the other nodes of the fleet. They are opened at the
//! first call and closed when a call on them fails.

mod clients;

pub use clients::{Client, PeerClients, PeerError};
